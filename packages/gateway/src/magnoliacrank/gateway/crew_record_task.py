"""CrewRecordTask: periodically appends due crew records to the log.

The crew of a service is the set of instances that own its slots. A crew
record in the log replaces the crew of one service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.gateway import periodic_task
from magnoliacrank.state import appender
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

_PERIOD_S = 0.5
_APPEND_TIMEOUT_S = 2.0


class CrewRecordTask:
    """Appends the crew records that this instance proposes.

    Any live instance may propose a crew. Concurrent proposals are safe, since
    a record that is based on an older crew than the one in force has no
    effect.

    Args:
        due_records: Returns the records to append now.
        log_appender: Appends records to the log.
    """

    def __init__(
        self,
        due_records: Callable[[], Sequence[records.CrewRecord]],
        log_appender: appender.Appender,
    ) -> None:
        self._due_records = due_records
        self._log_appender = log_appender
        self._task = periodic_task.PeriodicTask(
            "crews", _PERIOD_S, self._append_due
        )

    async def start(self) -> None:
        """Starts the periodic task."""
        await self._task.start()

    async def close(self) -> None:
        """Stops the periodic task."""
        await self._task.close()

    async def _append_due(self) -> None:
        for record in self._due_records():
            result = await self._log_appender.append(
                record,
                append_id=_append_id(record),
                timeout_s=_APPEND_TIMEOUT_S,
            )
            if not isinstance(result, appender.Appended):
                logging.warning(
                    "crews: The crew record of %s was not confirmed: %s.",
                    record.service,
                    result.reason.value,
                )


def _append_id(record: records.CrewRecord) -> str:
    names = ",".join(
        f"{one.instance_id}/{one.incarnation}" for one in record.members
    )
    return f"crew-{record.service}-{record.based_on}-{names}"
