"""The retry budget of all entries, enforced by each entry without knowing how many there are.

In any window, the retries to a service may be at most a fraction of its calls.  Each entry keeps to
that fraction of the calls that it has itself received, so the sum over all entries stays within the
bound however stale their views of each other are.  Dividing the operator's additional allowance
would require the number of entries, so each entry uses only ``floor`` retries of it in a window.

Load pattern handled: many targets fail at once.  Without a bound the retries would double the load
on the remaining targets.
"""

from collections import deque
from typing import Final

RATIO_USED_FRACTION: Final = 0.9
"""The fraction of the allowed ratio that is used, since the bound may be checked over other windows
than those of this count."""


class SharedRetryBudget:
    """Calls and retries by service within a sliding window.

    >>> budget = SharedRetryBudget(ratio=0.5, window_s=10.0, floor=1)
    >>> [budget.take("s", 0.0), budget.take("s", 0.0), budget.take("s", 10.5)]
    [True, False, True]
    """

    def __init__(self, ratio: float, window_s: float, floor: int) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._floor = floor
        self._calls: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def set_bounds(self, ratio: float, window_s: float, floor: int) -> None:
        """Change the bounds from now on."""
        self._ratio, self._window_s, self._floor = ratio, window_s, floor

    def note_call(self, service: str, now_s: float) -> None:
        """Count a call from a caller."""
        calls = self._calls.setdefault(service, deque())
        calls.append(now_s)
        self._expire(calls, now_s)

    def _expire(self, times: deque[float], now_s: float) -> None:
        while times and times[0] <= now_s - self._window_s:
            times.popleft()

    def take(self, service: str, now_s: float) -> bool:
        """Consume budget for a retry; return False if none is left."""
        calls = self._calls.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        self._expire(calls, now_s)
        self._expire(retries, now_s)
        if len(retries) + 1 > self._floor + RATIO_USED_FRACTION * self._ratio * len(calls):
            return False
        retries.append(now_s)
        return True
