"""What the other entries have under way at each target, told by them several times a second.

Without it, entries that know the same old reports would all choose the same runner.  Each message
holds the sender's work at each target as it is, so a lost one is made good by the next.  What was
told counts for nothing after ``WORK_MAX_AGE_S``.  In a small fleet each entry tells all others; in a large
one a relay sums up what its followers and the other relays tell it (``process.work_exchange``).
"""

from typing import Final, NamedTuple

import msgspec

from filbertstream.messages import EntryWork, FleetWork, FleetWorkRow, GroupWork, WorkRow
from filbertstream.process.cache_readers import readers, told_by
from filbertstream.process.relays import UNKNOWN_RESOURCES, VmResources

WORK_MAX_AGE_S: Final = 1.0
"""What a member told last counts this long."""

HALF_WEIGHT_AGE_S: Final = 0.05
"""Age at which what was told of unread prompts weighs half when runners are compared: about as long
as a short queue lasts.  From the routing bench, the least p95 at 0.8 load on four seeds."""


class EntryRecord(msgspec.Struct, frozen=True):
    """How other entries reach one, and what its VM has; kept in the platform's store."""

    peer_address: str
    incarnation: int
    link_mbps: float = 0.0
    cores: float = 0.0


class WorkTotals(NamedTuple):
    """The runs, the memory and the unread prompt tokens of other entries at a target.

    ``weighted_queued_tokens`` are the unread ones, each message weighted by its age.
    """

    runs: int
    memory_tokens: int
    queued_tokens: int
    weighted_queued_tokens: int


NO_WORK: Final = WorkTotals(0, 0, 0, 0)


class _Heard(NamedTuple):
    at_s: float
    rows: dict[str, WorkRow]
    is_current: bool


class _Fleet(NamedTuple):
    at_s: float
    rows: dict[str, FleetWorkRow]
    is_current: bool


def _weight(age_s: float) -> float:
    return HALF_WEIGHT_AGE_S / (HALF_WEIGHT_AGE_S + age_s)


class PeerWork:
    """The work of the other entries."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.members: dict[str, EntryRecord] = {}
        self._names: tuple[str, ...] = (own,)
        self._heard: dict[str, _Heard] = {}
        self._groups: dict[str, _Heard] = {}
        self._fleet: _Fleet | None = None
        self._totals: dict[str, WorkTotals] = {}
        self._totals_at_s = float("-inf")

    def is_registered(self, name: str, incarnation: int) -> bool:
        """Whether the registration of a name is that of this process."""
        record = self.members.get(name)
        return record is not None and record.incarnation == incarnation

    def on_work(self, work: EntryWork, now_s: float) -> None:
        """Take in another entry's message."""
        if work.member != self.own:
            self._heard[work.member] = _heard(work.rows, work.is_current, now_s)
            self._totals_at_s = float("-inf")

    def on_group(self, work: GroupWork, now_s: float) -> None:
        """Take in what another relay has summed up."""
        if work.relay != self.own:
            self._groups[work.relay] = _heard(work.rows, work.is_current, now_s)
            self._totals_at_s = float("-inf")

    def on_fleet(self, work: FleetWork, now_s: float) -> None:
        """Take in what a relay tells of the whole fleet."""
        self._fleet = _Fleet(now_s, {row.target: row for row in work.rows}, work.is_current)
        self._totals_at_s = float("-inf")

    def _told(self, now_s: float) -> list[_Heard]:
        """Return what counts of what other entries and relays told of themselves."""
        told = [*self._heard.values(), *self._groups.values()]
        return [heard for heard in told if now_s - heard.at_s < WORK_MAX_AGE_S]

    def members_heard(self, now_s: float) -> dict[str, dict[str, WorkRow]]:
        """Return the rows of each entry that told this one of its own work."""
        return {
            name: heard.rows
            for name, heard in self._heard.items()
            if now_s - heard.at_s < WORK_MAX_AGE_S
        }

    def relays_heard(self, now_s: float) -> tuple[str, ...]:
        """Return the relays that told this entry what they have summed up."""
        groups = self._groups.items()
        return tuple(name for name, heard in groups if now_s - heard.at_s < WORK_MAX_AGE_S)

    def any_peer_current(self, now_s: float) -> bool:
        """Whether another entry has said lately that it takes new calls."""
        fleet = self._fleet
        if fleet is not None and fleet.is_current and now_s - fleet.at_s < WORK_MAX_AGE_S:
            return True
        return any(heard.is_current for heard in self._told(now_s))

    def peer_work_at(self, target: str, now_s: float) -> WorkTotals:
        """Return what others have under way at a target."""
        return self.totals(now_s).get(target, NO_WORK)

    def totals(self, now_s: float) -> dict[str, WorkTotals]:
        """Return what others have under way, by target."""
        if now_s != self._totals_at_s:
            self._totals_at_s = now_s
            self._totals = self._add_up(now_s)
        return self._totals

    def _add_up(self, now_s: float) -> dict[str, WorkTotals]:
        fleet, told = self._fleet, self._told(now_s)
        if fleet is not None and now_s - fleet.at_s < WORK_MAX_AGE_S and not told:
            weight = _weight(now_s - fleet.at_s)
            return {
                row.target: WorkTotals(*row[1:4], int(row.weighted_queued_tokens * weight))
                for row in fleet.rows.values()
            }
        totals: dict[str, WorkTotals] = {}
        for heard in told:
            weight = _weight(now_s - heard.at_s)
            for name, row in heard.rows.items():
                before = totals.get(name, NO_WORK)
                totals[name] = WorkTotals(
                    before.runs + row.runs,
                    before.memory_tokens + row.memory_tokens,
                    before.queued_tokens + row.queued_tokens,
                    before.weighted_queued_tokens + int(row.queued_tokens * weight),
                )
        return totals

    def vm_resources(self, name: str) -> VmResources:
        """Return what an entry's VM has, nothing where it isn't known."""
        record = self.members.get(name)
        return UNKNOWN_RESOURCES if record is None else VmResources(record.link_mbps, record.cores)

    def reads(self, store: str, limit: int) -> bool:
        """Whether this entry reads a store's events itself."""
        return self.own in readers(store, limit, self.names())

    def join(self, name: str, record: EntryRecord) -> bool:
        """Take in an entry's registration; whether its name was not known."""
        known = name in self.members
        self.members[name] = record
        self._names = self._names if known else tuple(sorted({*self.members, self.own}))
        return not known

    def leave(self, name: str) -> None:
        """Take in that an entry's registration is gone."""
        if self.members.pop(name, None) is not None:
            self._names = tuple(sorted({*self.members, self.own}))

    def names(self) -> tuple[str, ...]:
        """Return the names of all entries in a fixed order; the same tuple while they stay."""
        return self._names

    def told_of(self, store: str, limit: int) -> list[str]:
        """Return the addresses of the members that this entry tells of a store."""
        told = told_by(store, limit, self.names(), self.own)
        return [self.members[name].peer_address for name in told if name in self.members]

    def addresses(self) -> list[str]:
        """Return the addresses of all other entries."""
        return [record.peer_address for name, record in self.members.items() if name != self.own]


def _heard(rows: tuple[WorkRow, ...], is_current: bool, now_s: float) -> _Heard:
    return _Heard(now_s, {row.target: row for row in rows}, is_current)
