"""Exponential backoff of calls to a dependency that fails.

Load pattern: the store refuses the calls of all instances for seconds, and each
of them has something to read or to record.
"""

from __future__ import annotations


class Backoff:
    """Delays the next call after a failed one, longer after each failure.

    Args:
        initial_s: Delay in seconds after the first failure; doubled at each
            further one.
        max_s: Longest delay in seconds.
    """

    def __init__(self, initial_s: float, max_s: float) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._delay_s = initial_s
        self._next_call_s = float("-inf")

    def may_call(self, now_s: float) -> bool:
        """Returns whether no delay is running.

        Args:
            now_s: Current monotonic time in seconds.
        """
        return now_s >= self._next_call_s

    def on_result(self, *, failed: bool, now_s: float) -> None:
        """Records the result of a call.

        Args:
            failed: Whether the call failed.
            now_s: Current monotonic time in seconds.
        """
        if not failed:
            self._delay_s = self._initial_s
            self._next_call_s = now_s
            return
        self._next_call_s = now_s + self._delay_s
        self._delay_s = min(2 * self._delay_s, self._max_s)
