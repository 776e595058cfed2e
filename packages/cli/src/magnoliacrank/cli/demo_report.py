"""DemoReport: what the demo measured, and which promises held."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import request
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliacrank.standins import caller
    from magnoliacrank.standins import execution_journal

_MS_PER_S = 1000.0


@attrs.frozen
class Promise:
    """One thing that must hold."""

    name: str
    """What must hold."""

    is_kept: bool
    """Whether it held."""

    seen: str
    """What was seen."""


@attrs.define
class DemoReport:
    """Collected figures."""

    facts: list[str] = attrs.Factory(list)
    """Lines about the course of the demo."""

    promises: list[Promise] = attrs.Factory(list)
    """Promises with their result."""

    @property
    def is_kept(self) -> bool:
        """Whether every promise held."""
        return all(promise.is_kept for promise in self.promises)

    def check(self, name: str, seen: str, *, is_kept: bool) -> None:
        """Records whether a promise held."""
        self.promises.append(Promise(name, is_kept, seen))

    def check_traffic(
        self,
        results: Sequence[caller.Result],
        journal: execution_journal.ExecutionJournal,
    ) -> None:
        """Checks the promises about single requests."""
        runs = journal.runs_by_key()
        once = [
            result.key
            for result in results
            if result.request_class is request.RequestClass.AT_MOST_ONCE
        ]
        doubles = [key for key in once if runs.get(key, 0) > 1]
        self.check(
            "confirmations run at most once",
            f"{len(doubles)} doubles in {len(once)}",
            is_kept=not doubles,
        )
        refused = [
            result.key
            for result in results
            if result.key and result.outcome is verdict.Outcome.NOT_RUN
        ]
        lies = [key for key in refused if runs.get(key, 0)]
        self.check(
            'a refusal as "not run" was not run',
            f"{len(lies)} ran of {len(refused)} refused",
            is_kept=not lies,
        )
        broken = sum(not result.is_whole for result in _done(results))
        self.check(
            "every answer is whole and the caller's own",
            f"{broken} broken of {len(_done(results))}",
            is_kept=not broken,
        )

    def print(self, results: Sequence[caller.Result]) -> None:
        """Prints the report."""
        print(f"{'class':<14}{'requests':>9}{'done':>7}{'not run':>9}", end="")
        print(f"{'unknown':>9}{'p50 ms':>8}{'p99 ms':>8}")
        for request_class in request.RequestClass:
            own = [one for one in results if one.request_class is request_class]
            print(_row(request_class, own))
        for fact in self.facts:
            print(fact)
        for promise in self.promises:
            mark = "kept  " if promise.is_kept else "BROKEN"
            print(f"{mark} {promise.name}: {promise.seen}")


def _row(
    request_class: request.RequestClass, results: Sequence[caller.Result]
) -> str:
    counts = [
        sum(one.outcome is outcome for one in results)
        for outcome in (
            verdict.Outcome.DONE,
            verdict.Outcome.NOT_RUN,
            verdict.Outcome.MAY_HAVE_RUN,
        )
    ]
    latencies = sorted(one.latency_s for one in _done(results))
    p50_ms = _quantile(latencies, 0.5) * _MS_PER_S
    p99_ms = _quantile(latencies, 0.99) * _MS_PER_S
    return (
        f"{request_class.value:<14}{len(results):>9}{counts[0]:>7}"
        f"{counts[1]:>9}{counts[2]:>9}{p50_ms:>8.1f}{p99_ms:>8.1f}"
    )


def _done(results: Sequence[caller.Result]) -> list[caller.Result]:
    done = verdict.Outcome.DONE
    return [one for one in results if one.outcome is done]


def _quantile(ordered: Sequence[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
