"""Relays: a few entries of a large fleet read the object store and send updates to the others.

Load pattern: every entry of a large fleet would follow every registration by itself.  Faults:
relays that are dead, cut off, suspended, late, stale, or wrong about the age of their state.
"""

from typing import Any

import msgspec
import pytest

from filbertstream.actions import Log, SendPeer
from filbertstream.gateway import Gateway, GatewayConfig
from filbertstream.gateway_events import (
    EntriesListed,
    EntryObserved,
    PeerMessage,
    PublishKind,
    Tick,
    WriteEntry,
)
from filbertstream.log_events import LogEvent
from filbertstream.messages import KindUpdate, ObjectRow, ViewRequest, ViewResponse
from filbertstream.platform.documents import (
    DOCUMENTS_KIND,
    ENTRIES_KIND,
    LEASES_KIND,
    TARGETS_KIND,
)
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.relayed_view import START_WAIT_S
from filbertstream.process.relays import (
    DIRECT_READ_MEMBERS,
    MEMBERS_PER_RELAY,
    MIN_RELAYS,
    POLL_INTERVAL_S,
    REQUEST_RECENT_S,
    RESPONSE_TIMEOUT_S,
    SUBSTITUTE_RELAYS,
    SUSPECT_S,
    Relays,
    VmResources,
)
from filbertstream.process.rollout_lease import LeaseRecord
from filbertstream.process.store_view import KIND_UPDATE_LIMIT_BYTES, KindObserved
from filbertstream.request.call_events import SendCall
from filbertstream.version.config_freshness import UNREADY_FRACTION
from tests.gateway_world import BOUNDS, FOLLOWED, World, configuration_row
from tests.helpers import rev

FLEET = tuple(f"f{number}" for number in range(30))
KINDS = tuple(item.kind for item in FOLLOWED)


def relays_of(local_name: str, fleet: tuple[str, ...] = FLEET) -> Relays:
    return Relays(local_name, lambda: fleet)


RELAYS = tuple(name for name in FLEET if relays_of(name).is_relay)
FOLLOWER = next(name for name in FLEET if name not in RELAYS)


def target_row(name: str, revision: int, state: str = "ready") -> ObjectRow:
    """Return a runner's registration as a row of the object store."""
    content = {
        "service": "models",
        "address": "10.0.0.9:80",
        "zone": "dc1",
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold_left_ms": 0,
        "born": 1,
        "seq": revision,
        "models": [{"name": "m", "version": 1}],
    }
    return ObjectRow(name, revision, msgspec.json.encode(content))


def kind_update(kind: str, age_s: float, as_of: int = 5, **changes: Any) -> KindUpdate:
    base = KindUpdate(kind, False, 0, as_of, age_s, ())
    return base._replace(**changes)


def unchanged_view(number: int, age_s: float = 0.2, **kinds: KindUpdate) -> ViewResponse:
    """Return a relay's response that nothing has changed, except for ``kinds``."""
    updates = {kind: kind_update(kind, age_s, since=5) for kind in KINDS}
    return ViewResponse(number, tuple({**updates, **kinds}.values()))


class Fleet(World):
    """An entry of a large fleet that has listed the object store once."""

    def __init__(self, local_name: str = FOLLOWER) -> None:
        super().__init__(local_name)
        for kind in KINDS:
            self.step(KindObserved(kind, True, rev(0), rev(5), self.now_s, self.listed(kind)))
        for name in FLEET:
            self.step(EntryObserved(name, EntryRecord(f"tcp://{name}", 1), rev(1)))

    @staticmethod
    def listed(kind: str) -> tuple[ObjectRow, ...]:
        if kind == DOCUMENTS_KIND:
            return (configuration_row(1, ("k",), 1),)
        if kind == TARGETS_KIND:
            return (target_row("r1", 2), target_row("r2", 3))
        if kind == ENTRIES_KIND:
            record = EntryRecord("tcp://x", 1)
            return tuple(ObjectRow(name, 4, msgspec.json.encode(record)) for name in FLEET)
        return ()

    def run_for(self, seconds: float, *, responds: bool = True, age_s: float = 0.2) -> list[Any]:
        """Let time pass; requests get a response at once, or none at all."""
        actions: list[Any] = []
        for _ in range(round(seconds / 0.1)):
            self.now_s += 0.1
            for action in self.step(Tick()):
                actions.append(action)
                if responds and (request := view_request_of(action)) is not None:
                    actions += self.step(PeerMessage(unchanged_view(request.number, age_s)))
        return actions

    def next_request(self) -> int:
        """Let time pass until a request is sent that gets no response; return its number."""
        while True:
            self.now_s += 0.1
            for action in self.step(Tick()):
                if (request := view_request_of(action)) is not None:
                    return request.number

    @property
    def reads_object_store(self) -> bool:
        return self.core.relayed_view.reads_object_store(self.now_s)


def view_request_of(action: object) -> ViewRequest | None:
    payload = action.payload if isinstance(action, SendPeer) else None
    return payload if isinstance(payload, ViewRequest) else None


def test_every_entry_of_a_small_fleet_reads_the_object_store() -> None:
    """A fleet of at most ``DIRECT_READ_MEMBERS`` entries has no relays."""
    fleet = FLEET[:DIRECT_READ_MEMBERS]
    selections = [relays_of(name, fleet) for name in fleet]
    assert all(selection.small_fleet and selection.due(1.0) is None for selection in selections)
    assert not any(selection.serves_peers(1.0) for selection in selections)


@pytest.mark.parametrize("size", [DIRECT_READ_MEMBERS + 1, 60, 195, 1_300])
def test_all_entries_agree_on_a_few_relays_and_spread_over_them(size: int) -> None:
    """Each entry ranks the members by itself. Different ranks would lead to more relays."""
    fleet = tuple(f"f{number}" for number in range(size))
    relays = {name for name in fleet if relays_of(name, fleet).is_relay}
    assert len(relays) == max(MIN_RELAYS, -(-size // MEMBERS_PER_RELAY))
    requested = [relays_of(name, fleet).relay(0.0) for name in fleet]
    assert set(requested) == relays
    assert max(requested.count(name) for name in relays) <= 3 * MEMBERS_PER_RELAY


def test_follower_stays_ready_on_relayed_updates_without_reading_the_object_store() -> None:
    """A relay responds to every request for three times the revocation bound."""
    world = Fleet()
    world.run_for(3 * BOUNDS.revoke_s)
    assert world.core.ready(world.now_s)
    assert not world.reads_object_store


@pytest.mark.parametrize("name", RELAYS)
def test_relay_keeps_reading_the_object_store(name: str) -> None:
    """A relay that relied on another relay could pass on state that nobody reads."""
    world = Fleet(name)
    world.run_for(3.0)
    assert world.reads_object_store


def test_follower_without_responses_reads_the_object_store_before_it_is_unready() -> None:
    """All relays stop responding."""
    world = Fleet()
    world.run_for(2.0)
    assert not world.reads_object_store
    while not world.reads_object_store:
        assert world.core.ready(world.now_s)
        world.run_for(0.1, responds=False)
    longest_s = min(item.max_age_s for item in FOLLOWED)
    world.run_for(2.0)
    world.run_for(longest_s, responds=False)
    assert world.reads_object_store


def test_unresponsive_relay_is_skipped_for_longer_each_time() -> None:
    """One relay never responds, and others do."""
    selection = relays_of(FOLLOWER)
    first = selection.due(0.0)
    assert first is not None
    retried_at_s = []
    now_s = 0.0
    while now_s < 6 * SUSPECT_S:
        now_s += POLL_INTERVAL_S
        due = selection.due(now_s)
        assert due is not None
        if due.member == first.member:
            retried_at_s.append(now_s)
        else:
            selection.mark_healthy(due.number)
            selection.accept_response(due.number, now_s)
    assert len(retried_at_s) == 2
    assert retried_at_s[0] >= SUSPECT_S
    assert retried_at_s[1] - retried_at_s[0] >= 2 * SUSPECT_S


def test_next_in_rank_replace_the_relays_if_all_of_them_are_dead() -> None:
    """Fault: a data center with all relays is lost, and their registrations stay."""
    selection = relays_of(FOLLOWER)
    substitutes = set()
    for attempt in range(3 * MIN_RELAYS):
        due = selection.due(attempt * POLL_INTERVAL_S)
        assert due is not None
        if due.member not in RELAYS:
            substitutes.add(due.member)
            selection.accept_response(due.number, attempt * POLL_INTERVAL_S)
            selection.mark_healthy(due.number)
    assert 1 <= len(substitutes) <= SUBSTITUTE_RELAYS
    substitute = relays_of(substitutes.pop())
    assert not substitute.serves_peers(10.0)
    substitute.note_view_request(10.0)
    assert substitute.serves_peers(10.0)
    assert not substitute.serves_peers(10.0 + REQUEST_RECENT_S)


def test_follower_of_stale_relays_reads_the_object_store() -> None:
    """Load pattern: the object store refuses the relays' requests and serves the other entries."""
    world = Fleet()
    world.run_for(2.0)
    outage_s = 0.0
    while not world.reads_object_store:
        outage_s += 0.5
        world.run_for(0.5, age_s=0.2 + outage_s)
    assert outage_s < BOUNDS.revoke_s * UNREADY_FRACTION
    assert world.core.ready(world.now_s)


def test_age_of_relayed_state_counts_from_before_the_request() -> None:
    """A relay's response takes 0.4 s, and its state may be as old as the request."""
    world = Fleet()
    world.run_for(3.0)
    number = world.next_request()
    sent_at_s = world.now_s
    world.now_s += 0.4
    world.step(PeerMessage(unchanged_view(number, 0.1)))
    assert world.core.config_freshness.confirmed_at_s == pytest.approx(sent_at_s - 0.1)


def test_late_or_duplicate_response_of_a_relay_confirms_nothing() -> None:
    """A response arrives after its timeout; another one arrives twice with a lower age."""
    world = Fleet()
    world.run_for(1.0)
    number = world.next_request()
    confirmed_at_s = world.core.config_freshness.confirmed_at_s
    world.now_s += RESPONSE_TIMEOUT_S
    world.step(PeerMessage(unchanged_view(number, 0.0)))
    assert world.core.config_freshness.confirmed_at_s == confirmed_at_s
    number = world.next_request()
    world.step(PeerMessage(unchanged_view(number, 0.0)))
    confirmed_at_s = world.core.config_freshness.confirmed_at_s
    world.now_s += 0.2
    world.step(PeerMessage(unchanged_view(number, -0.2)))
    assert world.core.config_freshness.confirmed_at_s == confirmed_at_s


def test_older_state_that_a_relay_reports_as_newer_is_rejected() -> None:
    """Fault: a relay whose clock stands still reports its old state as if it were new."""
    world = Fleet()
    world.run_for(1.0)
    number = world.next_request()
    row = configuration_row(2, (), 9)
    changed = kind_update(DOCUMENTS_KIND, 0.0, 9, rows=(row,))
    world.step(PeerMessage(unchanged_view(number, **{DOCUMENTS_KIND: changed})))
    confirmed_at_s = world.core.config_freshness.confirmed_at_s
    relay_before = world.core.relays.relay(world.now_s)
    number = world.next_request()
    world.step(PeerMessage(unchanged_view(number, 0.0)))
    assert world.core.config_freshness.confirmed_at_s == confirmed_at_s
    assert world.core.relays.relay(world.now_s) != relay_before


def test_configuration_from_a_relay_takes_effect_at_once() -> None:
    """A relay's response contains a newer configuration."""
    world = Fleet()
    number = world.next_request()
    row = configuration_row(2, (), 9)
    world.step(
        PeerMessage(ViewResponse(number, (kind_update(DOCUMENTS_KIND, 0.0, 9, rows=(row,)),)))
    )
    assert world.core.authorizer.config is not None
    assert world.core.authorizer.config.version == rev(2)


def test_update_that_begins_after_the_known_revision_is_not_applied() -> None:
    """A relay's update begins at a later revision than the entry has.

    Changes in between would be skipped, so the entry requests them again.
    """
    world = Fleet()
    number = world.next_request()
    world.step(PeerMessage(ViewResponse(number, (kind_update(DOCUMENTS_KIND, 0.0, 20, since=11),))))
    assert world.core.relayed_view.view.as_of()[DOCUMENTS_KIND] == rev(5)
    assert world.core.config_freshness.confirmed_at_s == 100.0


def test_drains_and_removals_are_relayed() -> None:
    """A relay's response contains a target that drains and one that was removed."""
    world = Fleet()
    number = world.next_request()
    rows = (target_row("r1", 8, "draining"), ObjectRow("r2", 9, None))
    update = kind_update(TARGETS_KIND, 0.1, 9, rows=rows)
    world.step(PeerMessage(ViewResponse(number, (update,))))
    targets = world.core.roster.targets
    assert targets["r1"].registration.draining
    assert "r2" not in targets


def test_expired_registration_is_kept_as_long_as_the_relay_keeps_it() -> None:
    """The object store was unavailable for a moment, and only the relay has observed it."""
    world = Fleet()
    number = world.next_request()
    update = kind_update(TARGETS_KIND, 0.1, 9, rows=(ObjectRow("r2", 9, None),))
    world.step(PeerMessage(ViewResponse(number, (update,), 1.5)))
    world.run_for(1.2)
    assert "r2" in world.core.roster.targets
    world.run_for(0.5)
    assert "r2" not in world.core.roster.targets


def test_relay_responds_with_the_changes_and_the_age_of_its_view() -> None:
    """A follower requests two kinds, of which one has changed since its revision."""
    world = Fleet(RELAYS[0])
    world.now_s += 0.7
    row = target_row("r3", 9)
    world.step(KindObserved(TARGETS_KIND, False, rev(5), rev(9), world.now_s - 0.1, (row,)))
    request = ViewRequest(FOLLOWER, 3, {TARGETS_KIND: 5, DOCUMENTS_KIND: 5})
    (action,) = world.step(PeerMessage(request))
    assert action.address == f"tcp://{FOLLOWER}"
    updates = {item.kind: item for item in action.payload.kinds}
    assert updates[TARGETS_KIND].rows == (row,)
    assert updates[TARGETS_KIND].age_s == pytest.approx(0.1)
    assert updates[DOCUMENTS_KIND].rows == ()
    assert updates[DOCUMENTS_KIND].age_s == pytest.approx(0.7)


def test_follower_with_a_view_older_than_the_relays_first_listing_gets_a_full_listing() -> None:
    """A follower's view may contain an object that was removed before the relay's first listing."""
    world = Fleet(RELAYS[0])
    request = ViewRequest(FOLLOWER, 1, {TARGETS_KIND: 4})
    (action,) = world.step(PeerMessage(request))
    assert action.payload.kinds[0].full
    follower = Fleet()
    follower.step(KindObserved(TARGETS_KIND, False, rev(5), rev(5), 100.0, ()))
    removed_row = target_row("gone", 4)
    follower.core.relayed_view.view.take(
        KindObserved(TARGETS_KIND, False, rev(5), rev(5), 100.0, (removed_row,)), 100.0
    )
    number = follower.next_request()
    (update,) = action.payload.kinds
    follower.step(PeerMessage(ViewResponse(number, (update,))))
    assert "gone" not in follower.core.roster.targets


def test_change_of_the_roll_out_lease_is_sent_to_followers_at_once() -> None:
    """A follower would otherwise send calls to a runner that is being swapped.

    The update does not confirm the age of the follower's view.
    """
    world = Fleet(RELAYS[0])
    world.step(PeerMessage(ViewRequest(FOLLOWER, 1, {})))
    record = msgspec.json.encode(LeaseRecord("f9#1", 1, True, 1, ["r1"]))
    kind_observed = KindObserved(
        LEASES_KIND, False, rev(5), rev(9), 100.0, (ObjectRow("weights", 9, record),)
    )
    (action,) = world.step(kind_observed)
    assert action.address == f"tcp://{FOLLOWER}"
    follower = Fleet()
    lease_observed_at_s = follower.core.weights.lease_observed_at_s
    follower.step(PeerMessage(action.payload))
    assert follower.core.rollout_lease.swapping(follower.now_s) == {"r1"}
    assert follower.core.weights.lease_observed_at_s == lease_observed_at_s


def test_kind_too_large_for_a_response_is_read_from_the_object_store() -> None:
    """A configuration exceeds the size of a response. Other kinds are still relayed."""
    relay = Fleet(RELAYS[0])
    keys = tuple(f"{number:064}" for number in range(KIND_UPDATE_LIMIT_BYTES // 64))
    row = configuration_row(2, keys, 9)
    relay.step(KindObserved(DOCUMENTS_KIND, False, rev(5), rev(9), 100.0, (row,)))
    (action,) = relay.step(PeerMessage(ViewRequest(FOLLOWER, 1, {DOCUMENTS_KIND: 5})))
    (update,) = action.payload.kinds
    assert update.rows is None
    world = Fleet()
    world.run_for(1.0)
    world.step(PeerMessage(ViewResponse(world.next_request(), (update,))))
    assert world.core.relayed_view.reads_kind(DOCUMENTS_KIND, world.now_s)
    assert not world.core.relayed_view.reads_kind(TARGETS_KIND, world.now_s)


class StartingEntry(World):
    """An entry that has just started and has no state yet."""

    def __init__(self, local_name: str) -> None:
        super().__init__(local_name)
        self.began_s = self.now_s

    def reads(self) -> set[str]:
        view = self.core.relayed_view
        return {kind for kind in KINDS if view.reads_kind(kind, self.now_s)}

    def list_entries(self, fleet: tuple[str, ...]) -> None:
        for name in fleet:
            self.step(EntryObserved(name, EntryRecord(f"tcp://{name}", 1), rev(1)))
        self.step(
            KindObserved(ENTRIES_KIND, True, rev(0), rev(5), self.now_s, Fleet.listed(ENTRIES_KIND))
        )


def test_entry_that_starts_in_a_large_fleet_gets_its_state_from_a_relay() -> None:
    """Load pattern: hundreds of entries start within moments of each other."""
    world = StartingEntry(FOLLOWER)
    assert world.reads() == {ENTRIES_KIND}
    world.list_entries(FLEET)
    assert world.reads() == {ENTRIES_KIND}
    (request,) = [item for action in world.step(Tick()) if (item := view_request_of(action))]
    updates = [kind_update(kind, 0.2, full=True, rows=Fleet.listed(kind)) for kind in KINDS]
    world.step(PeerMessage(ViewResponse(request.number, tuple(updates))))
    world.step(Tick())
    assert world.core.ready(world.now_s)
    assert world.reads() == set()


@pytest.mark.parametrize("local_name", [FOLLOWER, RELAYS[0]])
def test_entry_that_starts_and_gets_no_response_reads_the_object_store(local_name: str) -> None:
    """No relay responds to an entry that starts; a relay reads the object store in any case."""
    world = StartingEntry(local_name)
    world.list_entries(FLEET)
    assert world.reads() == (set(KINDS) if local_name in RELAYS else {ENTRIES_KIND})
    world.now_s += START_WAIT_S
    assert world.reads() == set(KINDS)


def test_entry_that_starts_in_a_small_fleet_reads_all_kinds_at_once() -> None:
    """The listing of entries shows a small fleet, which has no relays."""
    world = StartingEntry("f1")
    world.step(KindObserved(ENTRIES_KIND, True, rev(0), rev(5), world.now_s, ()))
    assert world.reads() == set(KINDS)


@pytest.mark.parametrize(("age_s", "admitted"), [(0.5, True), (BOUNDS.revoke_s, False)])
def test_entry_that_starts_during_an_outage_uses_relayed_state_only_if_recent(
    age_s: float, admitted: bool
) -> None:
    """Fault: the only copy left is what a relay observed before the object store's outage."""
    world = StartingEntry(FOLLOWER)
    world.list_entries(FLEET)
    world.core.config_freshness.confirmed_at_s = float("-inf")
    (request,) = [item for action in world.step(Tick()) if (item := view_request_of(action))]
    updates = [kind_update(kind, age_s, full=True, rows=Fleet.listed(kind)) for kind in KINDS]
    world.step(PeerMessage(ViewResponse(request.number, tuple(updates))))
    assert world.core.ready(world.now_s) is admitted
    actions = world.arrive("draft", key="k")
    assert any(isinstance(item, SendCall) for item in actions) is admitted


def test_relays_are_entries_with_no_less_bandwidth_and_cores_than_most() -> None:
    """Load pattern: what a relay sends to its followers would fill a link of a few Mbit/s."""
    fleet = tuple(f"f{number}" for number in range(195))
    strengths = {
        name: VmResources((10.0, 50.0, 100.0)[number % 3], (0.5, 2.0, 2.0, 2.0)[number % 4])
        for number, name in enumerate(fleet)
    }
    selections = {name: Relays(name, lambda: fleet, strengths.__getitem__) for name in fleet}
    relays = {name for name, selection in selections.items() if selection.is_relay}
    assert len(relays) == -(-195 // MEMBERS_PER_RELAY)
    assert all(strengths[name].link_mbps >= 50.0 for name in relays)
    assert all(strengths[name].cores >= 2.0 for name in relays)
    assert {selection.relay(0.0) for selection in selections.values()} == relays


def test_entry_registers_the_bandwidth_and_cores_of_its_vm() -> None:
    """Other entries rank relays by these figures."""
    cfg = GatewayConfig("e1", 1, "dc1", BOUNDS, "tcp://e1", 7, FOLLOWED, 20.0, 0.5)
    core = Gateway(cfg)
    kind_observed = KindObserved(ENTRIES_KIND, True, rev(0), rev(5), 100.0, ())
    (show,) = core.step(100.0, kind_observed)
    (write,) = core.step(100.0, EntriesListed(frozenset()))
    assert isinstance(show, PublishKind)
    assert isinstance(write, WriteEntry)
    assert (write.record.link_mbps, write.record.cores) == (20.0, 0.5)


def test_log_shows_changes_of_the_relay() -> None:
    """Relays respond to nothing, later to all requests, and then to none again."""
    world = Fleet()
    lines: list[Log] = []
    for _ in range(100):
        world.now_s += 0.1
        lines += [item for item in world.core.step(world.now_s, Tick()) if isinstance(item, Log)]
    changes = [dict(line.fields) for line in lines if line.number == LogEvent.RELAY_CHANGED]
    assert changes[0]["before"] == ""
    assert len({str(line["relay"]) for line in changes}) > 1
    world.run_for(2.0)
    world.run_for(2.0, responds=False)
    world.now_s += 0.1
    assert world.reads_object_store
