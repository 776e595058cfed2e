"""Term keeper: leader election for a singleton job, through the log."""

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
_CHECK_INTERVAL_S = 0.5
_RENEWALS_PER_LEASE = 3
_JITTER_FRACTION = 0.25


class TermKeeper:
    """Acquires the term of a singleton job when it is free, and renews it.

    Safety relies on the fencing token alone: records written under an older
    term are ignored when the log is applied. The lease only decides when a
    holder stops on its own and when another instance tries to take over.
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
        check_interval_s: float = _CHECK_INTERVAL_S,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a keeper that does nothing until `start`.

        Args:
            job: Name of the singleton job.
            follower: Provides the current term from the log.
            appender: Appends the records that start and renew a term.
            instance_id: Name of this instance.
            incarnation: Number of this run of the instance; larger after each
                restart.
            lease_s: Seconds for which the lease lasts from each renewal.
            margin_s: Safety margin in seconds: the holder stops this long
                before the lease ends, and others wait at least this long after
                its end.
            check_interval_s: Seconds between checks of the term.
            clock: Returns monotonic time in seconds.
            rng: Source of random delays; a new one when None.
        """
        self._job = job
        self._follower = follower
        self._appender = appender
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._margin_s = margin_s
        self._check_interval_s = check_interval_s
        self._clock = clock
        self._rng = rng or random.Random()
        self._last_term: log_state.Term | None = None
        self._last_change_s = clock()
        self._takeover_delay_s = self._random_takeover_delay_s()
        self._lease_start_s: float | None = None
        self._task = owned_task.OwnedTask(f"term-{job}", self._run)

    async def start(self) -> None:
        """Starts the task that acquires and renews the term."""
        await self._task.start()

    async def close(self) -> None:
        """Stops renewing; the lease of a held term runs out."""
        await self._task.close()

    def fence(self) -> records.Fence | None:
        """Returns the fencing token for records that require the term.

        Returns:
            The token. None when this instance does not hold the term, when none
            of its own term records was confirmed yet, or when its lease is
            about to end.
        """
        term = self._term()
        if term is None or not self._is_held_here(term):
            return None
        if self._lease_start_s is None:
            return None
        usable_until_s = self._lease_start_s + self._lease_s - self._margin_s
        if self._clock() >= usable_until_s:
            return None
        return records.Fence(self._job, term.number)

    async def _run(self) -> None:
        await self._follower.wait_until_ready()
        self._last_change_s = self._clock()
        while True:
            self._observe_term()
            if self._is_append_due():
                await self._append_term()
            await asyncio.sleep(self._check_interval_s)

    def _term(self) -> log_state.Term | None:
        return self._follower.state.terms.get(self._job)

    def _is_held_here(self, term: log_state.Term) -> bool:
        return (
            term.holder == self._instance_id
            and term.incarnation == self._incarnation
        )

    def _observe_term(self) -> None:
        term = self._term()
        if term != self._last_term:
            self._last_term = term
            self._last_change_s = self._clock()
            self._takeover_delay_s = self._random_takeover_delay_s()

    def _is_append_due(self) -> bool:
        if not self._follower.readiness.is_ready:
            return False
        unchanged_s = self._clock() - self._last_change_s
        if self._last_term is None:
            return unchanged_s >= self._rng.uniform(0.0, self._check_interval_s)
        if self._is_held_here(self._last_term):
            return unchanged_s >= self._lease_s / _RENEWALS_PER_LEASE
        return unchanged_s >= self._takeover_delay_s

    def _random_takeover_delay_s(self) -> float:
        """Returns the seconds without renewal after which to take over."""
        jitter_s = self._lease_s * _JITTER_FRACTION * self._rng.random()
        return self._lease_s + self._margin_s + jitter_s

    async def _append_term(self) -> None:
        start_s = self._clock()
        record = records.TermRecord(
            job=self._job,
            holder=self._instance_id,
            incarnation=self._incarnation,
            based_on=-1 if self._last_term is None else self._last_term.number,
        )
        result = await self._appender.append(
            record, timeout_s=self._lease_s / _RENEWALS_PER_LEASE
        )
        if not isinstance(result, appender_lib.Appended):
            return
        term = self._term()
        if term is None or not self._is_held_here(term):
            return
        if self._lease_start_s is None:
            logging.info(
                "state: This instance now holds job %s, term %d.",
                self._job,
                term.number,
            )
        if term.renewed_at == result.offset:
            self._lease_start_s = start_s
