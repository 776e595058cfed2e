"""CrewKeeper: appends the crew records that are due."""

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


class CrewKeeper:
    """Appends the crew records that this instance proposes.

    Every live instance may propose; a record that is based on an older crew
    than the one in force folds to nothing.

    Args:
        due: Returns the records that are due.
        log: Appends records.
    """

    def __init__(
        self,
        due: Callable[[], Sequence[records.CrewRecord]],
        log: appender.Appender,
    ) -> None:
        self._due = due
        self._log = log
        self._task = periodic_task.PeriodicTask(
            "crews", _PERIOD_S, self._propose
        )

    async def start(self) -> None:
        """Begins to propose."""
        await self._task.start()

    async def close(self) -> None:
        """Stops proposing."""
        await self._task.close()

    async def _propose(self) -> None:
        for record in self._due():
            result = await self._log.append(
                record,
                append_id=_append_id(record),
                timeout_s=_APPEND_TIMEOUT_S,
            )
            if not isinstance(result, appender.Appended):
                logging.warning(
                    "crews: The crew of %s was not recorded: %s.",
                    record.service,
                    result.reason.value,
                )


def _append_id(record: records.CrewRecord) -> str:
    names = ",".join(
        f"{one.instance_id}/{one.incarnation}" for one in record.members
    )
    return f"crew-{record.service}-{record.based_on}-{names}"
