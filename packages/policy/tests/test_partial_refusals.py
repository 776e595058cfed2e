"""Replays backend servers that all refuse a part of their requests.

Six instances share the budget of repeats. Callers that are refused come back
once after a moment, at one of the two instances of their data centre.
"""

import collections
import heapq
import itertools
import random

import pytest

from magnoliacrank.policy import repeat_budget
from magnoliacrank.policy import return_register

RATIO, SLACK, WINDOW_S = 0.2, 186.0, 10.0
INSTANCES = 6
RATE_PER_S = 240.0
REFUSED_SHARE = 0.55
STARTS_S, ENDS_S = 30.0, 40.0
MAX_REPEATS = 4
RETURN_S = 0.03
URGENT_SHARE = 0.1

Urgency = repeat_budget.Urgency


class Instance:
    """Budget and refusals of one instance."""

    def __init__(self):
        self.budget = repeat_budget.RepeatBudget(
            RATIO, SLACK, WINDOW_S, -WINDOW_S
        )
        self.returns = return_register.ReturnRegister()


class Replay:
    """Callers and instances; `spares` keeps repeats for returning callers."""

    def __init__(self, seed, *, spares=True):
        self._rng = random.Random(seed)
        self._spares = spares
        self._instances = [Instance() for _ in range(INSTANCES)]
        self.requests = []
        self.repeats = []
        self.refused = collections.Counter()
        self.asked = collections.Counter()

    def play(self):
        order = itertools.count()
        events = []
        now_s = 0.0
        while now_s < ENDS_S:
            now_s += self._rng.expovariate(RATE_PER_S)
            priority = 0 if self._rng.random() < URGENT_SHARE else 1
            events.append((now_s, next(order), priority, True))
        heapq.heapify(events)
        while events:
            now_s, caller, priority, is_first = heapq.heappop(events)
            if is_first and now_s >= STARTS_S:
                self.asked[priority] += 1
            if self._serve(now_s, caller, priority):
                continue
            if is_first:
                event = (now_s + RETURN_S, caller, priority, False)
                heapq.heappush(events, event)
            else:
                self.refused[priority] += 1
        return self

    def _serve(self, now_s, caller, priority):
        pair = caller % (INSTANCES // 2) * 2
        instance = self._rng.choice(self._instances[pair : pair + 2])
        self.requests.append(now_s)
        instance.budget.on_request(now_s, priority)
        urgency = Urgency.NORMAL
        if instance.returns.take(str(caller), now_s) or not self._spares:
            urgency = Urgency.RETURNED
        for _ in range(MAX_REPEATS + 1):
            fails = now_s >= STARTS_S and self._rng.random() < REFUSED_SHARE
            if not fails:
                return True
            if not instance.budget.try_take(
                now_s,
                repeat_budget.SlackShare.CREW,
                INSTANCES,
                urgency,
                priority,
            ):
                break
            self.repeats.append(now_s)
        instance.returns.on_refused(str(caller), now_s)
        return False

    def refused_share(self, priority):
        return self.refused[priority] / self.asked[priority]


@pytest.mark.parametrize("seed", range(3))
def test_repeats_are_kept_for_callers_that_came_back(seed):
    kept = Replay(seed).play()
    flat = Replay(seed, spares=False).play()
    assert kept.refused_share(1) < 0.95 * flat.refused_share(1)
    assert kept.refused_share(0) < 0.3 * kept.refused_share(1)


@pytest.mark.parametrize("seed", range(3))
def test_repeats_of_all_instances_stay_within_the_budget(seed):
    replay = Replay(seed).play()
    for start_s in range(int(STARTS_S) - 5, int(ENDS_S)):
        span = range(start_s, start_s + int(WINDOW_S))
        requests = sum(int(at_s) in span for at_s in replay.requests)
        repeats = sum(int(at_s) in span for at_s in replay.repeats)
        assert repeats <= RATIO * requests + SLACK
