"""The facts of the kind ``shares``: the work of the heaviest workspaces, as entries see it.

Load pattern handled: each of 65 entries sees a 65th of a workspace's calls, or all calls of one
workspace and none of others, and can't tell from these whether it is above its fair share.

A report gives for each service under pressure the fair share and the work of all, and the work of
the few workspaces that are above half of the share.  Entries report their own calls; a relay sums
the reports of its group, and then of all groups, so what is sent does not grow with the fleet or
with the number of workspaces.  Each report replaces the previous one of its sender and expires, so
a lost entry has no share for longer than ``REPORT_MAX_AGE_S``.  An entry that changes its relay may
be counted by both for as long, with its work as well as with its share: the ratio stays.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.fleet.facts import fact
from filbertstream.fleet.scope import Scope

MAX_WORKSPACES: Final = 6
"""Workspaces of a service in a report, those with the most work."""

MAX_ROWS: Final = 12
"""Rows in a report, for all services; 1.7 KB at names of 40 characters, 1.0 KB at 20."""

MAX_NAME_LENGTH: Final = 128

MAX_REPORTS: Final = 256
"""Reports of peers that are kept, the latest ones; a relay has up to 64 followers."""

REPORT_INTERVAL_S: Final = 1.0
"""Interval of reports while capacity is scarce."""

SUM_INTERVAL_S: Final = 0.2
"""Interval at which a sum of reports is calculated again; a relay gets up to 64 a second."""

REPORT_MAX_AGE_S: Final = 4.0
"""Age at which a report expires: two intervals of repetition (``facts.REPEAT_INTERVAL_S``)."""

REPORTED_FRACTION: Final = 0.5
"""The fraction of a fair share from which a workspace is reported.  Entries where it is below that
are missing in the sum, which errs to the advantage of the workspace."""


@fact("shares")
class ShareRow(NamedTuple):
    """The work of a workspace, or of all if ``workspace`` is None, and the fair share of each.

    ``scope`` states whose calls are counted: those of ``origin``, of its group, or of the fleet.
    """

    origin: str
    scope: int
    service: str
    workspace: str | None
    work: float
    share: float


class ServiceShares(NamedTuple):
    """The fair share, the work of all, and the work of the heaviest workspaces of a service."""

    share: float
    total: float
    work: dict[str, float]


LocalShares = Callable[[float], dict[str, ServiceShares]]
"""Returns what this entry has seen itself, for each service under pressure."""


class _Report(NamedTuple):
    at_s: float
    services: dict[str, ServiceShares]


class ShareFacts:
    """What the entry ``name`` and its peers report of workspaces."""

    def __init__(self, name: str, local: LocalShares) -> None:
        self.changes = 0
        self._name = name
        self._local = local
        self._reports: dict[tuple[Scope, str], _Report] = {}
        self._changed_at_s = float("-inf")
        self._sums: dict[str, ServiceShares] = {}
        self._sums_at_s = float("-inf")

    def note_pressure(self, now_s: float) -> None:
        """Have peers told of this entry's calls, at most once an interval."""
        if now_s - self._changed_at_s >= REPORT_INTERVAL_S:
            self._changed_at_s = now_s
            self.changes += 1

    def rows(self, scope: Scope, now_s: float) -> Sequence[ShareRow]:
        """Return the report of this entry, of its group, or of the fleet."""
        rows: list[ShareRow] = []
        for service, item in sorted(self._sum(scope, now_s).items()):
            if len(rows) >= MAX_ROWS:
                break
            share = round(item.share, 1)
            total = ShareRow(self._name, scope, service, None, round(item.total, 1), share)
            heavy = _heaviest(item)[: min(MAX_WORKSPACES, MAX_ROWS - len(rows) - 1)]
            rows.append(total)
            rows += [
                ShareRow(self._name, scope, service, name, round(work, 1), share)
                for name, work in heavy
            ]
        return rows

    def take(self, rows: Sequence[ShareRow], scope: Scope, now_s: float) -> list[Log]:
        """Take the report of a peer."""
        valid = [row for row in rows[:MAX_ROWS] if _is_valid(row)]
        if not valid or valid[0].origin == self._name:
            return []
        key = (Scope(valid[0].scope), valid[0].origin)
        services: dict[str, ServiceShares] = {}
        for row in valid:
            item = services.setdefault(row.service, ServiceShares(row.share, row.work, {}))
            if row.workspace is not None:
                item.work[row.workspace] = row.work
        self._reports.pop(key, None)
        self._reports[key] = _Report(now_s, services)
        for old in [key for key, item in self._reports.items() if _is_old(item, now_s)]:
            del self._reports[old]
        while len(self._reports) > MAX_REPORTS:
            del self._reports[next(iter(self._reports))]
        self.note_pressure(now_s)
        return []

    def fleet(self, service: str, now_s: float) -> ServiceShares | None:
        """Return what is known of the fleet's calls to a service, None if no peer reports any."""
        if not self._reports:
            return None
        if now_s - self._sums_at_s >= SUM_INTERVAL_S:
            self._sums_at_s = now_s
            recent = any(not _is_old(item, now_s) for item in self._reports.values())
            self._sums = self._known(now_s) if recent else {}
        return self._sums.get(service)

    def _known(self, now_s: float) -> dict[str, ServiceShares]:
        """Return a relay's report on the fleet, which includes all others, or else their sum."""
        reports = [item for (scope, _), item in self._reports.items() if scope is Scope.FLEET]
        latest = max(reports, key=lambda item: item.at_s, default=None)
        if latest is not None and not _is_old(latest, now_s):
            return latest.services
        return self._sum(Scope.FLEET, now_s)

    def _sum(self, scope: Scope, now_s: float) -> dict[str, ServiceShares]:
        """Return the sum of this entry's calls and of the reports of a narrower scope.

        Reports on the fleet are never passed on, so that no report goes in a circle.
        """
        reports = self._reports.items()
        parts = [
            item.services
            for (known, _), item in reports
            if known < scope and not _is_old(item, now_s)
        ]
        return _sum_of([self._local(now_s), *parts])


def _heaviest(item: ServiceShares) -> list[tuple[str, float]]:
    above = [pair for pair in item.work.items() if pair[1] > REPORTED_FRACTION * item.share]
    return sorted(above, key=lambda pair: (-pair[1], pair[0]))[:MAX_WORKSPACES]


def _sum_of(parts: Iterable[dict[str, ServiceShares]]) -> dict[str, ServiceShares]:
    sums: dict[str, ServiceShares] = {}
    for part in parts:
        for service, item in part.items():
            known = sums.get(service, ServiceShares(0.0, 0.0, {}))
            work = dict(known.work)
            for name, amount in item.work.items():
                work[name] = work.get(name, 0.0) + amount
            sums[service] = ServiceShares(known.share + item.share, known.total + item.total, work)
    return sums


def _is_old(report: _Report, now_s: float) -> bool:
    return now_s - report.at_s > REPORT_MAX_AGE_S


def _is_valid(row: ShareRow) -> bool:
    names = (row.origin, row.service, row.workspace or "")
    # Comparisons with NaN are false.
    amounts = row.work >= 0.0 and row.share >= 0.0 and row.work + row.share < float("inf")
    return amounts and 0 <= row.scope <= Scope.FLEET and max(map(len, names)) <= MAX_NAME_LENGTH
