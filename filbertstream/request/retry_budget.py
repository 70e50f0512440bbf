"""The budget of repeated sends that all entries share, kept without knowing how many there are.

In any window, a service may get at most a share of its calls again.  Each entry keeps to that share
of the calls that it has itself received, so the sum over all entries stays within the bound however
old their views of each other are.  The slack that the operator grants on top is not used, except
``floor`` repeats a window and entry, since its division would need the number of entries.

Load pattern: many targets fail at once; without a bound the repeats would double the load on the
rest.
"""

from collections import deque
from typing import Final

SHARE_USED: Final = 0.9
"""The part of the allowed ratio that is used: windows of the bound and of this count differ."""


class SharedRetryBudget:
    """First sends and repeats by service within a sliding window.

    >>> budget = SharedRetryBudget(ratio=0.5, window_s=10.0, floor=1)
    >>> [budget.take("s", 0.0), budget.take("s", 0.0), budget.take("s", 10.5)]
    [True, False, True]
    """

    def __init__(self, ratio: float, window_s: float, floor: int) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._floor = floor
        self._calls: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def set_bounds(self, ratio: float, window_s: float, floor: int) -> None:
        """Go by other bounds from now on."""
        self._ratio, self._window_s, self._floor = ratio, window_s, floor

    def note_call(self, service: str, now_s: float) -> None:
        """Count a call that a caller made."""
        calls = self._calls.setdefault(service, deque())
        calls.append(now_s)
        self._expire(calls, now_s)

    def _expire(self, times: deque[float], now_s: float) -> None:
        while times and times[0] <= now_s - self._window_s:
            times.popleft()

    def take(self, service: str, now_s: float) -> bool:
        """Count a repeat in, if there is room for it."""
        calls = self._calls.setdefault(service, deque())
        repeats = self._repeats.setdefault(service, deque())
        self._expire(calls, now_s)
        self._expire(repeats, now_s)
        if len(repeats) + 1 > self._floor + SHARE_USED * self._ratio * len(calls):
            return False
        repeats.append(now_s)
        return True
