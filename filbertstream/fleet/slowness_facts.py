"""The facts of the kind ``slowness``: what targets have reported of their VMs' speed.

Load pattern handled: 65 entries and 35 targets.  Each entry gets a response of a given target once
in several seconds, while a report loses its effect within a second.  So entries tell one another
the reports that differ from usual; those of the others need no message, since an old report counts
as usual anyway.
"""

import math
from collections.abc import Sequence
from typing import Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.fleet.facts import fact
from filbertstream.fleet.scope import Scope
from filbertstream.process.reported_slowness import ReportedSlowness
from filbertstream.process.roster import Roster

MAX_ROWS: Final = 12
"""Reports in a message, those that differ most from usual: below 400 bytes, five times a second."""

PERCENT: Final = 100.0
MS: Final = 1000.0

MAX_AGE_S: Final = 1.0
"""Age at which a report is not sent any more; 4% of its effect is left then."""


@fact("slowness")
class SlownessRow(NamedTuple):
    """A target's slowness as reported some time ago; whole numbers keep the message small."""

    target: str
    started_ms: int
    percent: int
    age_ms: int


class SlownessFacts:
    """The reports of slowness that an entry and its peers tell one another."""

    def __init__(self, roster: Roster) -> None:
        self._roster = roster

    @property
    def changes(self) -> int:
        """The number of reports that peers should learn of."""
        return sum(
            target.reported_slowness.unusual_reports for target in self._roster.targets.values()
        )

    def rows(self, scope: Scope, now_s: float) -> Sequence[SlownessRow]:
        """Return the recent reports that differ from usual."""
        found: list[tuple[float, SlownessRow]] = []
        for target in self._roster.targets.values():
            report: ReportedSlowness = target.reported_slowness
            age_s = now_s - report.at_s
            if report.is_unusual and report.scope <= scope and age_s < MAX_AGE_S:
                row = SlownessRow(
                    target.target_id,
                    target.start.started_ms,
                    round(PERCENT * report.value),
                    math.ceil(MS * max(0.0, age_s)),
                )
                found.append((-abs(math.log(report.value)), row))
        return [row for _, row in sorted(found)[:MAX_ROWS]]

    def take(self, rows: Sequence[SlownessRow], scope: Scope, now_s: float) -> list[Log]:
        """Take the reports of a peer that are newer than the known ones."""
        for row in rows:
            target = self._roster.targets.get(row.target)
            if target is not None and target.start.started_ms == row.started_ms:
                value, age_s = row.percent / PERCENT, row.age_ms / MS
                target.reported_slowness.note_peer(value, age_s, scope, now_s)
        return []
