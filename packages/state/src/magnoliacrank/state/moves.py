"""Moves job: records the steps of all moves (version rollouts) in the log.

It is a singleton job: only the instance that holds its term records steps.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.model import move as move_lib
from magnoliacrank.policy import rollout
from magnoliacrank.state import appender as appender_lib
from magnoliacrank.state import move_table
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.policy import rollout_evidence
    from magnoliacrank.state import term_keeper

JOB = move_table.MOVES_JOB
"""Name of the singleton job."""

_TICK_S = 0.5
_APPEND_TIMEOUT_S = 5.0

_PHASE_BY_DECISION = {
    rollout.Decision.GROW: move_lib.Phase.RUNNING,
    rollout.Decision.COMPLETE: move_lib.Phase.DONE,
    rollout.Decision.TAKE_BACK: move_lib.Phase.TAKEN_BACK,
}


class MovesJob:
    """Sends rollout evidence and, as the term holder, records steps.

    Every instance runs this job: each sends its evidence to the instances that
    need it, and the holder of the term appends the steps on which its move
    table decides.
    """

    def __init__(
        self,
        table: move_table.MoveTable,
        keeper: term_keeper.TermKeeper,
        appender: appender_lib.Appender,
        *,
        send_evidence: Callable[[rollout_evidence.Evidence], None],
        tick_s: float = _TICK_S,
    ) -> None:
        """Creates a job that does nothing until `start`.

        Args:
            table: Trackers of the running moves on this instance.
            keeper: Acquires and renews the term of `JOB`.
            appender: Appends the step records to the log.
            send_evidence: Function that sends evidence to the instances that
                need it; it must not block.
            tick_s: Seconds between two ticks of the move table, and between
                two checks for steps to record.
        """
        self._table = table
        self._keeper = keeper
        self._appender = appender
        self._send_evidence = send_evidence
        self._tick_s = tick_s
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the tasks that send evidence and record steps."""
        self._tasks = [
            asyncio.create_task(self._tick_periodically(), name="moves-tick"),
            asyncio.create_task(
                self._record_periodically(), name="moves-record"
            ),
        ]

    async def close(self) -> None:
        """Cancels both tasks and waits for their end."""
        tasks = self._tasks
        self._tasks = []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _tick_periodically(self) -> None:
        while True:
            for evidence in self._table.on_tick():
                self._send_evidence(evidence)
            await asyncio.sleep(self._tick_s)

    async def _record_periodically(self) -> None:
        while True:
            await self._record_steps()
            await asyncio.sleep(self._tick_s)

    async def _record_steps(self) -> None:
        fence = self._keeper.fence()
        if fence is None:
            return
        steps = [
            step
            for move, verdict in self._table.verdicts()
            if (step := next_step(move, verdict)) is not None
        ]
        await asyncio.gather(
            *(self._append_step(step, fence) for step in steps)
        )

    async def _append_step(
        self, step: records.MoveRecord, fence: records.Fence
    ) -> None:
        result = await self._appender.append(
            step, fence=fence, timeout_s=_APPEND_TIMEOUT_S
        )
        if not isinstance(result, appender_lib.Appended):
            logging.warning(
                "state: Step %d of move %s was not recorded: %s",
                step.step,
                step.move_id,
                result.reason.value,
            )


def next_step(
    move: move_lib.Move, verdict: rollout.RolloutVerdict
) -> records.MoveRecord | None:
    """Returns the step record for a rollout verdict, or None to hold."""
    phase = _PHASE_BY_DECISION.get(verdict.decision)
    if phase is None:
        return None
    return records.MoveRecord(
        service=move.service,
        move_id=move.move_id,
        step=move.step + 1,
        phase=phase,
        route_shares=verdict.route_shares,
        reason=verdict.reason,
        route=verdict.route,
    )
