"""Term keeper: holds a singular job by a term in the log."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.state import appender as appender_lib
from magnoliacrank.state import owned_task
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.model import ids
    from magnoliacrank.state import log_follower
    from magnoliacrank.state import log_state

_LEASE_S = 20.0
_MARGIN_S = 2.0
_CHECK_S = 0.5
_RENEWALS_PER_LEASE = 3
_JITTER_PART = 0.25


class TermKeeper:
    """Takes a job's term when it is free and renews it while it is held.

    Safety rests on the fence alone: records under an older term fold to
    nothing. The lease only decides when a holder stops by itself and when
    another instance tries to follow it.
    """

    def __init__(
        self,
        job: str,
        follower: log_follower.LogFollower,
        appender: appender_lib.Appender,
        *,
        instance_id: ids.InstanceId,
        incarnation: ids.Incarnation,
        lease_s: float = _LEASE_S,
        margin_s: float = _MARGIN_S,
        check_s: float = _CHECK_S,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._job = job
        self._follower = follower
        self._appender = appender
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._margin_s = margin_s
        self._check_s = check_s
        self._clock = clock
        self._rng = rng or random.Random()
        self._seen: log_state.Term | None = None
        self._seen_s = clock()
        self._patience_s = self._draw_patience()
        self._held_from_s: float | None = None
        self._task = owned_task.OwnedTask(f"term-{job}", self._run)

    async def start(self) -> None:
        """Begins to watch the term."""
        await self._task.start()

    async def close(self) -> None:
        """Stops; a held term lapses."""
        await self._task.close()

    def fence(self) -> records.Fence | None:
        """Returns the fence of the held term, or None when it isn't held."""
        term = self._term()
        if term is None or not self._is_mine(term):
            return None
        if self._held_from_s is None:
            return None
        ends_s = self._held_from_s + self._lease_s - self._margin_s
        if self._clock() >= ends_s:
            return None
        return records.Fence(self._job, term.number)

    async def _run(self) -> None:
        await self._follower.wait_until_ready()
        self._seen_s = self._clock()
        while True:
            self._observe()
            if self._is_due():
                await self._append()
            await asyncio.sleep(self._check_s)

    def _term(self) -> log_state.Term | None:
        return self._follower.state.terms.get(self._job)

    def _is_mine(self, term: log_state.Term) -> bool:
        return (
            term.holder == self._instance_id
            and term.incarnation == self._incarnation
        )

    def _observe(self) -> None:
        term = self._term()
        if term != self._seen:
            self._seen = term
            self._seen_s = self._clock()
            self._patience_s = self._draw_patience()

    def _is_due(self) -> bool:
        if not self._follower.readiness.is_ready:
            return False
        quiet_s = self._clock() - self._seen_s
        if self._seen is None:
            return quiet_s >= self._rng.uniform(0.0, self._check_s)
        if self._is_mine(self._seen):
            return quiet_s >= self._lease_s / _RENEWALS_PER_LEASE
        return quiet_s >= self._patience_s

    def _draw_patience(self) -> float:
        """Returns the quiet time after which another holder is given up."""
        jitter_s = self._lease_s * _JITTER_PART * self._rng.random()
        return self._lease_s + self._margin_s + jitter_s

    async def _append(self) -> None:
        begun_s = self._clock()
        record = records.TermRecord(
            job=self._job,
            holder=self._instance_id,
            incarnation=self._incarnation,
            based_on=-1 if self._seen is None else self._seen.number,
        )
        result = await self._appender.append(
            record, timeout_s=self._lease_s / _RENEWALS_PER_LEASE
        )
        if not isinstance(result, appender_lib.Appended):
            return
        term = self._term()
        if term is None or not self._is_mine(term):
            return
        if self._held_from_s is None:
            logging.info(
                "state: This instance holds %s, term %d.",
                self._job,
                term.number,
            )
        if term.renewed_at == result.offset:
            self._held_from_s = begun_s
