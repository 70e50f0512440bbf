"""The bound on the requests that a target gets after it has named a request rate.

The bound holds for all entries together and in every window, so it is checked on the target's own
record of arrivals.
"""

import itertools
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

WINDOW_S: Final = 4.0
TOLERANCE: Final = 1.5
EXTRA_REQUESTS: Final = 5

CONTACT_S: Final = 3.0
"""The bound holds from this long after a target has named its limit."""


class Window(NamedTuple):
    """The window of ``WINDOW_S`` with the most arrivals: its start and their number."""

    start_s: float
    arrivals: int


def allowed(per_s: float) -> float:
    """Return how many requests a target with a rate limit may get in a window.

    >>> allowed(2.0)
    17.0
    """
    return TOLERANCE * per_s * WINDOW_S + EXTRA_REQUESTS


def busiest_window(times_s: Sequence[float], from_s: float, until_s: float) -> Window:
    """Return the busiest window among those that begin at an arrival within a period.

    >>> busiest_window([0.0, 2.0, 4.5, 5.0, 9.0], 0.0, 10.0)
    Window(start_s=2.0, arrivals=3)
    """
    times = sorted(item for item in times_s if from_s <= item < until_s)
    best = Window(from_s, 0)
    end = 0
    for start, at_s in enumerate(times):
        while end < len(times) and times[end] < at_s + WINDOW_S:
            end += 1
        if end - start > best.arrivals:
            best = Window(at_s, end - start)
    return best


def excesses(arrivals: Sequence[tuple[float, float]]) -> Iterator[str]:
    """Yield where a target got more than allowed; arrivals have a time and the rate named then.

    >>> list(excesses([(0.0, 1.0), *((3.0 + n / 100, 1.0) for n in range(12))]))
    ['12 requests in 4 s at a limit of 1.0 a second, 11 allowed']
    """
    for per_s, group in itertools.groupby(arrivals, key=lambda item: item[1]):
        times = [at_s for at_s, _ in group]
        window = busiest_window(times, times[0] + CONTACT_S, times[-1] + WINDOW_S)
        if per_s and window.arrivals > allowed(per_s):
            yield (
                f"{window.arrivals} requests in {WINDOW_S:.0f} s at a limit of {per_s} a second, "
                f"{allowed(per_s):.0f} allowed"
            )
