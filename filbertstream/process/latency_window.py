"""A high quantile of the most recent latencies of a route, for its send timeouts.

Load pattern handled: work that varies, with a few calls that take many times the mean.  A multiple
of the mean, or of the mean deviation, is below their latency, so each of them would be sent to a
second target.  A single outlier, such as the late response of a suspended target, does not raise
the quantile of a full window.

>>> window = LatencyWindow()
>>> for seconds in [0.05] * 95 + [1.6] * 5:
...     window.note(seconds)
>>> window.high_s
1.6
"""

import math
from bisect import bisect_left, insort
from collections import deque
from typing import Final

WINDOW_SAMPLES: Final = 128
QUANTILE: Final = 0.98


class LatencyWindow:
    """The last ``WINDOW_SAMPLES`` samples, also in order of size."""

    def __init__(self) -> None:
        self._recent_s: deque[float] = deque()
        self._sorted_s: list[float] = []

    def note(self, seconds: float) -> None:
        """Record a sample in place of the oldest one."""
        if len(self._recent_s) == WINDOW_SAMPLES:
            del self._sorted_s[bisect_left(self._sorted_s, self._recent_s.popleft())]
        self._recent_s.append(seconds)
        insort(self._sorted_s, seconds)

    @property
    def high_s(self) -> float:
        """The quantile ``QUANTILE`` of the samples, 0 without any."""
        if not self._sorted_s:
            return 0.0
        return self._sorted_s[math.ceil(QUANTILE * len(self._sorted_s)) - 1]
