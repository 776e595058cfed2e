"""Sequential test of whether a new version has more faults than the old one.

A block is a set of requests on one route over a short time. If the versions
behave alike, the version that a request went to is independent of its outcome.
Given the number of faults in a block, the number of those of the new version
then follows a hypergeometric distribution. Each block is a bet against that
hypothesis at fair odds, and the product of the bets is the evidence (a test
martingale). If the versions behave alike, the probability that the evidence
ever reaches 1/a is at most a (Ville's inequality), at any time and however the
load or the common fault rate shifts. The bets are averaged over several odds
ratios and over all blocks at which a fault could begin.
"""

from __future__ import annotations

import math

import attrs

_ODDS_RATIOS = (3.0, 10.0, 100.0)
_MAX_EVIDENCE = 1e15
_MAX_LOG_BET = 50.0


@attrs.frozen
class FaultCounts:
    """Numbers of requests and faults of both versions in one block."""

    new_requests: int
    """Requests to the new version."""

    new_faults: int
    """Faults among the requests to the new version."""

    old_requests: int
    """Requests to the old version."""

    old_faults: int
    """Faults among the requests to the old version."""

    @property
    def is_informative(self) -> bool:
        """Whether the block can distinguish the versions.

        This takes requests to both versions, both faulty and faultless ones.
        """
        faults = self.new_faults + self.old_faults
        requests = self.new_requests + self.old_requests
        has_both = self.new_requests > 0 and self.old_requests > 0
        return has_both and 0 < faults < requests


class FaultTest:
    """Accumulates evidence against a new version on one route."""

    def __init__(self) -> None:
        self._blocks = 0
        self._wealth = [0.0] * len(_ODDS_RATIOS)

    @property
    def evidence(self) -> float:
        """Evidence that the new version has more faults.

        If the new version has no more faults than the old one, the probability
        that the evidence ever reaches 1/a is at most a.
        """
        reserve = 1.0 / (self._blocks + 1)
        return reserve + sum(self._wealth) / len(_ODDS_RATIOS)

    def on_block(self, counts: FaultCounts) -> None:
        """Updates the evidence by one block.

        Args:
            counts: Counts of the block; pass each block only once.
        """
        if not counts.is_informative:
            return
        stake = 1.0 / ((self._blocks + 1) * (self._blocks + 2))
        self._blocks += 1
        for index, odds_ratio in enumerate(_ODDS_RATIOS):
            wealth = self._wealth[index] + stake
            wealth *= math.exp(_log_bet(counts, odds_ratio))
            self._wealth[index] = min(wealth, _MAX_EVIDENCE)


def _log_bet(counts: FaultCounts, odds_ratio: float) -> float:
    """Returns the logarithm of a block's likelihood ratio.

    The ratio compares the given odds ratio of faults with an odds ratio of 1.
    """
    faults = counts.new_faults + counts.old_faults
    log_odds = math.log(odds_ratio)
    least = max(0, faults - counts.old_requests)
    most = min(faults, counts.new_requests)
    weights = [
        _log_choose(counts.new_requests, new_faults)
        + _log_choose(counts.old_requests, faults - new_faults)
        for new_faults in range(least, most + 1)
    ]
    tilted = [
        weight + (least + index) * log_odds
        for index, weight in enumerate(weights)
    ]
    expected = _log_sum(tilted) - _log_sum(weights)
    bet = counts.new_faults * log_odds - expected
    return min(max(bet, -_MAX_LOG_BET), _MAX_LOG_BET)


def _log_choose(count: int, chosen: int) -> float:
    return (
        math.lgamma(count + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(count - chosen + 1)
    )


def _log_sum(logs: list[float]) -> float:
    largest = max(logs)
    return largest + math.log(sum(math.exp(each - largest) for each in logs))
