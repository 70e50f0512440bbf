"""The work in progress of peers at each target, as reported several times a second.

Without it, entries with the same outdated load of the runners would all choose the same runner.
Each message holds the sender's complete current work, so the next message makes up for a lost one.
A report expires after ``WORK_MAX_AGE_S``.  In a small fleet each entry reports to all peers; in a
large one a relay sums the reports of its followers and the other relays
(``process.work_exchange``).
"""

from typing import Final, NamedTuple

import msgspec

from filbertstream.messages import EntryWork, FleetWork, FleetWorkRow, GroupWork, WorkRow
from filbertstream.process.cache_readers import members_notified_by, readers
from filbertstream.process.relays import UNKNOWN_RESOURCES, VmResources

WORK_MAX_AGE_S: Final = 1.0
"""Age at which a report expires."""

HALF_WEIGHT_AGE_S: Final = 0.05
"""Age at which reported queued tokens count half when runners are compared: about the duration of a
short queue.  This value gave the lowest p95 in the routing bench at 0.8 load on four seeds."""


class EntryRecord(msgspec.Struct, frozen=True):
    """The registration of an entry in the object store: its peer address and its VM's resources.

    ``epoch`` is the latest epoch of the store in which the entry has written again what it knew,
    and ``settled_epoch`` the latest in which operators have had time to do so; builds without that
    field don't tell.
    """

    peer_address: str
    incarnation: int
    link_mbps: float = 0.0
    cores: float = 0.0
    epoch: int = 0
    settled_epoch: int | None = None


class WorkTotals(NamedTuple):
    """Totals over the peers at one target: runs, their memory, and queued prompt tokens.

    Queued tokens are those that were sent and not prefilled yet.  In ``weighted_queued_tokens``
    each report is weighted by its age.
    """

    runs: int
    memory_tokens: int
    queued_tokens: int
    weighted_queued_tokens: int


NO_WORK: Final = WorkTotals(0, 0, 0, 0)


class _Report(NamedTuple):
    at_s: float
    rows: dict[str, WorkRow]
    is_current: bool


class _FleetReport(NamedTuple):
    at_s: float
    rows: dict[str, FleetWorkRow]
    is_current: bool


def _weight(age_s: float) -> float:
    return HALF_WEIGHT_AGE_S / (HALF_WEIGHT_AGE_S + age_s)


class PeerWork:
    """The registered entries, and the work that peers have reported."""

    def __init__(self, local_name: str) -> None:
        self.local_name = local_name
        self.members: dict[str, EntryRecord] = {}
        self._names: tuple[str, ...] = (local_name,)
        self._reports: dict[str, _Report] = {}
        self._groups: dict[str, _Report] = {}
        self._fleet: _FleetReport | None = None
        self._totals: dict[str, WorkTotals] = {}
        self._totals_at_s = float("-inf")

    def is_registered(self, name: str, incarnation: int) -> bool:
        """Whether the registration of a name is that of this process."""
        record = self.members.get(name)
        return record is not None and record.incarnation == incarnation

    def on_work(self, work: EntryWork, now_s: float) -> None:
        """Record a peer's report of its own work."""
        if work.member != self.local_name:
            self._reports[work.member] = _report_of(work.rows, work.is_current, now_s)
            self._totals_at_s = float("-inf")

    def on_group(self, work: GroupWork, now_s: float) -> None:
        """Record the sum of another relay's group."""
        if work.relay != self.local_name:
            self._groups[work.relay] = _report_of(work.rows, work.is_current, now_s)
            self._totals_at_s = float("-inf")

    def on_fleet(self, work: FleetWork, now_s: float) -> None:
        """Record a relay's sum of the fleet's work."""
        self._fleet = _FleetReport(now_s, {row.target: row for row in work.rows}, work.is_current)
        self._totals_at_s = float("-inf")

    def _recent_reports(self, now_s: float) -> list[_Report]:
        """Return the reports of peers and of relays' groups that have not expired."""
        reports = [*self._reports.values(), *self._groups.values()]
        return [report for report in reports if now_s - report.at_s < WORK_MAX_AGE_S]

    def member_reports(self, now_s: float) -> dict[str, dict[str, WorkRow]]:
        """Return the rows of each peer that reports its own work to this entry."""
        return {
            name: report.rows
            for name, report in self._reports.items()
            if now_s - report.at_s < WORK_MAX_AGE_S
        }

    def reporting_relays(self, now_s: float) -> tuple[str, ...]:
        """Return the relays that send their group's work to this entry."""
        groups = self._groups.items()
        return tuple(name for name, report in groups if now_s - report.at_s < WORK_MAX_AGE_S)

    def any_peer_current(self, now_s: float) -> bool:
        """Whether a peer has recently reported that it is ready with a current configuration."""
        fleet = self._fleet
        if fleet is not None and fleet.is_current and now_s - fleet.at_s < WORK_MAX_AGE_S:
            return True
        return any(report.is_current for report in self._recent_reports(now_s))

    def peer_work_at(self, target: str, now_s: float) -> WorkTotals:
        """Return the peers' work at a target."""
        return self.totals(now_s).get(target, NO_WORK)

    def totals(self, now_s: float) -> dict[str, WorkTotals]:
        """Return the peers' work by target."""
        if now_s != self._totals_at_s:
            self._totals_at_s = now_s
            self._totals = self._sum_reports(now_s)
        return self._totals

    def _sum_reports(self, now_s: float) -> dict[str, WorkTotals]:
        fleet, reports = self._fleet, self._recent_reports(now_s)
        if fleet is not None and now_s - fleet.at_s < WORK_MAX_AGE_S and not reports:
            weight = _weight(now_s - fleet.at_s)
            return {
                row.target: WorkTotals(*row[1:4], int(row.weighted_queued_tokens * weight))
                for row in fleet.rows.values()
            }
        totals: dict[str, WorkTotals] = {}
        for report in reports:
            weight = _weight(now_s - report.at_s)
            for name, row in report.rows.items():
                before = totals.get(name, NO_WORK)
                totals[name] = WorkTotals(
                    before.runs + row.runs,
                    before.memory_tokens + row.memory_tokens,
                    before.queued_tokens + row.queued_tokens,
                    before.weighted_queued_tokens + int(row.queued_tokens * weight),
                )
        return totals

    def vm_resources(self, name: str) -> VmResources:
        """Return the resources of an entry's VM, zeros if unknown."""
        record = self.members.get(name)
        return UNKNOWN_RESOURCES if record is None else VmResources(record.link_mbps, record.cores)

    def reads(self, store: str, limit: int) -> bool:
        """Whether this entry reads a cache store's events itself."""
        return self.local_name in readers(store, limit, self.names())

    def join(self, name: str, record: EntryRecord) -> bool:
        """Record an entry's registration; return whether its name is new."""
        known = name in self.members
        self.members[name] = record
        self._names = self._names if known else tuple(sorted({*self.members, self.local_name}))
        return not known

    def leave(self, name: str) -> None:
        """Drop an entry whose registration has been removed."""
        if self.members.pop(name, None) is not None:
            self._names = tuple(sorted({*self.members, self.local_name}))

    def names(self) -> tuple[str, ...]:
        """Return the sorted names of all entries; the same tuple object until they change."""
        return self._names

    def addresses_to_notify(self, store: str, limit: int) -> list[str]:
        """Return the addresses of the members to which this entry sends a cache store's updates."""
        notified = members_notified_by(store, limit, self.names(), self.local_name)
        return [self.members[name].peer_address for name in notified if name in self.members]

    def addresses(self) -> list[str]:
        """Return the addresses of all peers."""
        return [
            record.peer_address for name, record in self.members.items() if name != self.local_name
        ]


def _report_of(rows: tuple[WorkRow, ...], is_current: bool, now_s: float) -> _Report:
    return _Report(now_s, {row.target: row for row in rows}, is_current)
