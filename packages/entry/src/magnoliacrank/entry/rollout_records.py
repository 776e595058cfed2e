"""RolloutRecords: recorded states of rollouts in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.model import orders
from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import store_client
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import backoff

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import event_log

_CALL_TIMEOUT_S = 1.0
"""Timeout of one call to the store."""

_INITIAL_BACKOFF_S = 0.25
"""Delay after a failed call to the store; doubles up to `_MAX_BACKOFF_S`."""

_MAX_BACKOFF_S = 2.0
"""Longest delay between failed calls to the store."""


class RolloutRecords:
    """Reads and writes the states that operators read.

    Args:
        store: Client of the store.
        log: Log for failed calls and unreadable records.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._log = log
        self._clock = clock
        self._backoff = backoff.Backoff(_INITIAL_BACKOFF_S, _MAX_BACKOFF_S)

    async def read(self) -> list[orders.RolloutStatus] | None:
        """Returns the recorded states.

        Returns:
            The states; None if the store failed, also shortly after a failure.
        """
        if not self._backoff.may_call(self._clock()):
            return None
        newest = await self._store.newest(
            store_client.STATUS_TOPIC, _CALL_TIMEOUT_S
        )
        self._set_backoff(newest)
        if isinstance(newest, store_client.StoreFailure):
            return None
        return self._decode(newest)

    async def write(
        self,
        status: orders.RolloutStatus,
        *,
        may_restart: bool,
        was_recorded: bool,
    ) -> orders.RolloutStatus | None:
        """Writes a state to the store, unless a final one is recorded.

        The write is conditional on the end of the topic, so an instance that
        was paused between reading and writing overwrites nothing.

        Args:
            status: The state.
            may_restart: Whether a recorded final state may belong to an
                earlier order for the same version, so that `running` may
                replace it.
            was_recorded: Whether the state was recorded before, in an older
                era of the store. Any other state in the store is then older.

        Returns:
            The state that is recorded now; None if the store failed, also
            shortly after a failure.
        """
        if not self._backoff.may_call(self._clock()):
            return None
        newest = await self._store.newest(
            store_client.STATUS_TOPIC, _CALL_TIMEOUT_S
        )
        self._set_backoff(newest)
        if isinstance(newest, store_client.StoreFailure):
            self._log_failure(status, newest)
            return None
        known = self._final_state(newest, status)
        if was_recorded and status.state is not orders.RolloutState.RUNNING:
            may_replace = known != status
        else:
            may_replace = (
                may_restart and status.state is orders.RolloutState.RUNNING
            )
        if known is not None and not may_replace:
            return known
        result = await self._store.append(
            store_client.STATUS_TOPIC,
            operator_wire.rollout_key(status.service),
            operator_wire.encode_rollout_status(status),
            _CALL_TIMEOUT_S,
            newest.end,
            newest.era,
        )
        self._set_backoff(result)
        if isinstance(result, store_client.StoreFailure):
            self._log_failure(status, result)
            return None
        return status

    def _final_state(
        self,
        newest: store_client.NewestRecords,
        status: orders.RolloutStatus,
    ) -> orders.RolloutStatus | None:
        """Returns the final state that is recorded for a version, or None."""
        for known in self._decode(newest):
            if (
                known.service == status.service
                and known.target_version == status.target_version
                and known.state is not orders.RolloutState.RUNNING
            ):
                return known
        return None

    def _set_backoff(self, result: object) -> None:
        """Delays further calls to the store if one has failed."""
        failed = isinstance(result, store_client.StoreFailure)
        self._backoff.on_result(failed=failed, now_s=self._clock())

    def _log_failure(
        self, status: orders.RolloutStatus, failure: store_client.StoreFailure
    ) -> None:
        self._log.warning(
            "rollout state not recorded",
            service=status.service,
            state=status.state.value,
            reason=failure.kind.value,
            detail=failure.detail,
        )

    def _decode(
        self, newest: store_client.NewestRecords
    ) -> list[orders.RolloutStatus]:
        found = []
        for record in newest.records:
            service = operator_wire.rollout_service(record.key)
            if service is None or record.value is None:
                continue
            try:
                found.append(
                    operator_wire.decode_rollout_status(service, record.value)
                )
            except wire_values.WireValueError as error:
                self._log.warning(
                    "rollout state unreadable",
                    service=service,
                    reason=str(error),
                )
        return found
