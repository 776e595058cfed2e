"""DemoReport: results of the demo, and which promises were kept."""

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
    """One promise of the system, and whether the demo saw it kept."""

    name: str
    """The promise in a few words, as printed."""

    is_kept: bool
    """Whether the promise was kept."""

    observed: str
    """The figures on which `is_kept` is based, as printed."""


@attrs.define
class DemoReport:
    """Collects and prints the results of one demo run."""

    facts: list[str] = attrs.Factory(list)
    """Further lines to print, such as notices for operators."""

    promises: list[Promise] = attrs.Factory(list)
    """Promises checked so far, with their results."""

    @property
    def is_kept(self) -> bool:
        """Whether every promise was kept."""
        return all(promise.is_kept for promise in self.promises)

    def check(self, name: str, observed: str, *, is_kept: bool) -> None:
        """Adds the result of one promise.

        Args:
            name: The promise in a few words.
            observed: The figures on which `is_kept` is based.
            is_kept: Whether the promise was kept.
        """
        self.promises.append(Promise(name, is_kept, observed))

    def check_traffic(
        self,
        results: Sequence[caller.Result],
        journal: execution_journal.ExecutionJournal,
    ) -> None:
        """Checks the promises about single requests.

        Args:
            results: Results of all requests, as their callers saw them.
            journal: Executions of these requests by the backend servers.
        """
        runs = journal.runs_by_key()
        at_most_once_keys = [
            result.key
            for result in results
            if result.request_class is request.RequestClass.AT_MOST_ONCE
        ]
        duplicate_keys = [
            key for key in at_most_once_keys if runs.get(key, 0) > 1
        ]
        self.check(
            "confirmations run at most once",
            f"{len(duplicate_keys)} doubles in {len(at_most_once_keys)}",
            is_kept=not duplicate_keys,
        )
        not_run_keys = [
            result.key
            for result in results
            if result.key and result.outcome is verdict.Outcome.NOT_RUN
        ]
        contradicted_keys = [key for key in not_run_keys if runs.get(key, 0)]
        self.check(
            'a refusal as "not run" was not run',
            f"{len(contradicted_keys)} ran of {len(not_run_keys)} refused",
            is_kept=not contradicted_keys,
        )
        corrupt_answers = sum(not result.is_whole for result in _done(results))
        self.check(
            "every answer is whole and the caller's own",
            f"{corrupt_answers} broken of {len(_done(results))}",
            is_kept=not corrupt_answers,
        )

    def print(self, results: Sequence[caller.Result]) -> None:
        """Prints latencies by request class, the facts and the promises."""
        print(f"{'class':<14}{'requests':>9}{'done':>7}{'not run':>9}", end="")
        print(f"{'unknown':>9}{'p50 ms':>8}{'p99 ms':>8}")
        for request_class in request.RequestClass:
            own = [one for one in results if one.request_class is request_class]
            print(_row(request_class, own))
        for fact in self.facts:
            print(fact)
        for promise in self.promises:
            mark = "kept  " if promise.is_kept else "BROKEN"
            print(f"{mark} {promise.name}: {promise.observed}")


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
