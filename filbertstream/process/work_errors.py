"""How wrong the estimates of work were, as histograms by route for the metrics page.

A value is the actual work divided by the estimate, output tokens of prompts and seconds of other
calls, so 1 is right and 4 an estimate of a quarter.

>>> errors = WorkErrors()
>>> errors.note("draft", 1.1); errors.note("draft", 9.0)
>>> errors.histograms()["draft"].buckets[-3:]
[('2.0', 1), ('4.0', 1), ('+Inf', 2)]
"""

from bisect import bisect_left
from itertools import accumulate
from typing import Final, NamedTuple

BOUNDS: Final = (0.125, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0)
"""Upper bounds of the buckets; the estimates have to cope with a factor of 4."""

MAX_ROUTES: Final = 256
"""Routes with a histogram; further ones, after changes of the configuration, are not counted."""


class ErrorHistogram(NamedTuple):
    """Cumulative counts by upper bound, and the sum of all values."""

    buckets: list[tuple[str, int]]
    total: float


class WorkErrors:
    """Counts of errors by route."""

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}
        self._totals: dict[str, float] = {}

    def note(self, route: str, ratio: float) -> None:
        """Record the actual work of a call, divided by its estimate."""
        counts = self._counts.get(route)
        if counts is None:
            if len(self._counts) == MAX_ROUTES:
                return
            counts = self._counts[route] = [0] * (len(BOUNDS) + 1)
            self._totals[route] = 0.0
        counts[bisect_left(BOUNDS, ratio)] += 1
        self._totals[route] += ratio

    def histograms(self) -> dict[str, ErrorHistogram]:
        """Return the histogram of each route."""
        names = [*(str(bound) for bound in BOUNDS), "+Inf"]
        return {
            route: ErrorHistogram(
                list(zip(names, accumulate(counts), strict=True)), self._totals[route]
            )
            for route, counts in self._counts.items()
        }
