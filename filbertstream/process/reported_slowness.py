"""How long work takes at a target at this moment, from its reports, compared with observed times.

Load pattern handled: the VM of a target becomes several times slower for a fraction of a second or
for minutes, and reports it with each response.  Observed prefill times and latencies follow such a
change only after several responses.  The reports are noisy and change many times a second, so they
are smoothed, and a report counts less with its age.  The observed times were themselves measured
while the target had some slowness; ``at`` returns the slowness relative to that one, so a target
that is slow for a long time is not counted as slow twice.

>>> slowness = ReportedSlowness()
>>> slowness.at(5.0)
1.0
>>> slowness.note(2.5, 5.0); round(slowness.at(5.0), 3), round(slowness.at(6.5), 2)
(2.5, 1.01)
"""

import math
from typing import Final

from filbertstream.fleet.scope import Scope

LOWEST: Final = 0.25
HIGHEST: Final = 8.0
"""Bounds of a reported value; a report beyond them is taken to be wrong."""

SMOOTHING_S: Final = 0.04
"""Time constant of the smoothing: reports change many times a second."""

MIN_WEIGHT: Final = 0.2
"""Weight of a report that arrives together with another one."""

DECAY_S: Final = 0.3
"""Time constant with which a report loses its effect: 4% is left after a second."""

UNUSUAL_LOG: Final = 0.4
"""Distance of a logarithm from usual, a factor of 1.5, from which peers are told of a report."""


class ReportedSlowness:
    """The reports of one start of a target.  Averages are those of logarithms.

    ``scope`` states who got the latest report, and ``at_s`` when that was.
    """

    def __init__(self) -> None:
        self._reported_log: float | None = None
        self._observed_log = 0.0
        self.at_s = float("-inf")
        self.scope = Scope.LOCAL
        self.unusual_reports = 0

    @property
    def is_reported(self) -> bool:
        """Whether the target has ever reported its slowness."""
        return self._reported_log is not None

    @property
    def is_unusual(self) -> bool:
        """Whether the latest reports differ much from usual."""
        return self._reported_log is not None and abs(self._reported_log) > UNUSUAL_LOG

    @property
    def value(self) -> float:
        """The smoothed reports, whatever their age."""
        return 1.0 if self._reported_log is None else math.exp(self._reported_log)

    def note(self, value: float, now_s: float) -> None:
        """Record a report; 1.0 means that work takes as long as usual on the target's VM."""
        reported = math.log(_clamped(value))
        if self._reported_log is not None:
            since_s = max(0.0, now_s - self.at_s)
            weight = max(MIN_WEIGHT, 1.0 - math.exp(-since_s / SMOOTHING_S))
            reported = self._reported_log + weight * (reported - self._reported_log)
        self._set(reported, now_s, Scope.LOCAL)

    def note_peer(self, value: float, age_s: float, scope: Scope, now_s: float) -> None:
        """Record the smoothed reports of a peer, unless there is a newer one."""
        at_s = now_s - max(0.0, age_s)
        if at_s > self.at_s and math.isfinite(value):
            self._set(math.log(_clamped(value)), at_s, scope)

    def _set(self, reported: float, at_s: float, scope: Scope) -> None:
        self._reported_log, self.at_s, self.scope = reported, at_s, scope
        self.unusual_reports += self.is_unusual

    def note_observed(self, weight: float) -> None:
        """Record that an observed time went into a moving average with this weight."""
        if self._reported_log is not None:
            self._observed_log += weight * (self._reported_log - self._observed_log)

    def at(self, now_s: float) -> float:
        """Return by which factor work takes longer now than it did on average when observed."""
        if self._reported_log is None:
            return 1.0
        decay = math.exp(-max(0.0, now_s - self.at_s) / DECAY_S)
        return _clamped(math.exp(decay * (self._reported_log - self._observed_log)))


def _clamped(value: float) -> float:
    return min(HIGHEST, max(LOWEST, value))
