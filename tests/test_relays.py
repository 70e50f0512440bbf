"""Entries of a large fleet that are told of the platform's store by a few that read it.

Load pattern: every entry of a large fleet would follow every registration by itself.  Faults:
relays that are dead, cut off, suspended, late, wrong about their age or out of touch themselves.
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

FLEET = tuple(f"f{number}" for number in range(30))
KINDS = tuple(item.kind for item in FOLLOWED)


def relays_of(own: str, fleet: tuple[str, ...] = FLEET) -> Relays:
    return Relays(own, lambda: fleet)


RELAYS = tuple(name for name in FLEET if relays_of(name).is_relay)
FOLLOWER = next(name for name in FLEET if name not in RELAYS)


def target_row(name: str, revision: int, state: str = "ready") -> ObjectRow:
    """Return a runner's registration as the store holds it."""
    content = {
        "service": "models",
        "address": "10.0.0.9:80",
        "zone": "dc1",
        "slots": 8,
        "state": state,
        "born": 1,
        "seq": revision,
        "models": [{"name": "m", "version": 1}],
    }
    return ObjectRow(name, revision, msgspec.json.encode(content))


def kind_update(kind: str, age_s: float, as_of: int = 5, **changes: Any) -> KindUpdate:
    base = KindUpdate(kind, False, 0, as_of, age_s, ())
    return base._replace(**changes)


def current(number: int, age_s: float = 0.2, **kinds: KindUpdate) -> ViewResponse:
    """Return the word of a relay that nothing has changed, but for ``kinds``."""
    told = {kind: kind_update(kind, age_s, since=5) for kind in KINDS}
    return ViewResponse(number, tuple({**told, **kinds}.values()))


class Fleet(World):
    """An entry of a large fleet that has listed the store once."""

    def __init__(self, own: str = FOLLOWER) -> None:
        super().__init__(own)
        for kind in KINDS:
            self.tell(KindObserved(kind, True, 0, 5, self.now_s, self.listed(kind)))
        for name in FLEET:
            self.tell(EntryObserved(name, EntryRecord(f"tcp://{name}", 1), 1))

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

    def turn(self, seconds: float, *, answers: bool = True, age_s: float = 0.2) -> list[Any]:
        """Let time pass; questions are answered at once, or not at all."""
        found: list[Any] = []
        for _ in range(round(seconds / 0.1)):
            self.now_s += 0.1
            for action in self.tell(Tick()):
                found.append(action)
                if answers and (asked := question_of(action)) is not None:
                    found += self.tell(PeerMessage(current(asked.number, age_s)))
        return found

    def question(self) -> int:
        """Let time pass until a question is sent that nobody has answered; return its number."""
        while True:
            self.now_s += 0.1
            for action in self.tell(Tick()):
                if (asked := question_of(action)) is not None:
                    return asked.number

    @property
    def reads_object_store(self) -> bool:
        return self.core.relayed_view.reads_object_store(self.now_s)


def question_of(action: object) -> ViewRequest | None:
    payload = action.payload if isinstance(action, SendPeer) else None
    return payload if isinstance(payload, ViewRequest) else None


def test_in_a_small_fleet_each_entry_reads_the_store() -> None:
    fleet = FLEET[:DIRECT_READ_MEMBERS]
    parts = [relays_of(name, fleet) for name in fleet]
    assert all(part.small_fleet and part.due(1.0) is None for part in parts)
    assert not any(part.serves_peers(1.0) for part in parts)


@pytest.mark.parametrize("size", [DIRECT_READ_MEMBERS + 1, 60, 195, 1_300])
def test_all_entries_agree_on_a_few_relays_and_spread_over_them(size: int) -> None:
    fleet = tuple(f"f{number}" for number in range(size))
    relays = {name for name in fleet if relays_of(name, fleet).is_relay}
    assert len(relays) == max(MIN_RELAYS, -(-size // MEMBERS_PER_RELAY))
    asked = [relays_of(name, fleet).relay(0.0) for name in fleet]
    assert set(asked) == relays
    assert max(asked.count(name) for name in relays) <= 3 * MEMBERS_PER_RELAY


def test_an_entry_that_is_told_often_stays_ready_without_reading_the_store() -> None:
    world = Fleet()
    world.turn(3 * BOUNDS.revoke_s)
    assert world.core.ready(world.now_s)
    assert not world.reads_object_store


@pytest.mark.parametrize("name", RELAYS)
def test_a_relay_goes_on_reading_the_store(name: str) -> None:
    world = Fleet(name)
    world.turn(3.0)
    assert world.reads_object_store


def test_an_entry_that_nobody_answers_reads_the_store_before_it_is_unready() -> None:
    world = Fleet()
    world.turn(2.0)
    assert not world.reads_object_store
    while not world.reads_object_store:
        assert world.core.ready(world.now_s)
        world.turn(0.1, answers=False)
    longest_s = min(item.max_age_s for item in FOLLOWED)
    world.turn(2.0)
    world.turn(longest_s, answers=False)
    assert world.reads_object_store


def test_a_relay_that_does_not_answer_is_passed_over_longer_each_time() -> None:
    part = relays_of(FOLLOWER)
    first = part.due(0.0)
    assert first is not None
    asked_again = []
    now_s = 0.0
    while now_s < 6 * SUSPECT_S:
        now_s += POLL_INTERVAL_S
        due = part.due(now_s)
        assert due is not None
        if due.member == first.member:
            asked_again.append(now_s)
        else:
            part.mark_healthy(due.number)
            part.accept_response(due.number, now_s)
    assert len(asked_again) == 2
    assert asked_again[0] >= SUSPECT_S
    assert asked_again[1] - asked_again[0] >= 2 * SUSPECT_S


def test_where_all_relays_are_dead_the_next_in_rank_are_asked_and_read_the_store() -> None:
    """Fault: a data center with all relays is lost, and their registrations stay."""
    part = relays_of(FOLLOWER)
    asked = set()
    for turn in range(3 * MIN_RELAYS):
        due = part.due(turn * POLL_INTERVAL_S)
        assert due is not None
        if due.member not in RELAYS:
            asked.add(due.member)
            part.accept_response(due.number, turn * POLL_INTERVAL_S)
            part.mark_healthy(due.number)
    assert 1 <= len(asked) <= SUBSTITUTE_RELAYS
    substitute = relays_of(asked.pop())
    assert not substitute.serves_peers(10.0)
    substitute.note_view_request(10.0)
    assert substitute.serves_peers(10.0)
    assert not substitute.serves_peers(10.0 + REQUEST_RECENT_S)


def test_relays_that_are_out_of_touch_themselves_are_not_relied_on() -> None:
    """Load pattern: the store turns the relays away and serves the others."""
    world = Fleet()
    world.turn(2.0)
    outage_s = 0.0
    while not world.reads_object_store:
        outage_s += 0.5
        world.turn(0.5, age_s=0.2 + outage_s)
    assert outage_s < BOUNDS.revoke_s * UNREADY_FRACTION
    assert world.core.ready(world.now_s)


def test_the_age_counts_from_before_the_question() -> None:
    world = Fleet()
    world.turn(3.0)
    number = world.question()
    sent_at_s = world.now_s
    world.now_s += 0.4
    world.tell(PeerMessage(current(number, 0.1)))
    assert world.core.config_freshness.confirmed_at_s == pytest.approx(sent_at_s - 0.1)


def test_an_answer_that_comes_late_or_twice_confirms_nothing() -> None:
    world = Fleet()
    world.turn(1.0)
    number = world.question()
    confirmed_at_s = world.core.config_freshness.confirmed_at_s
    world.now_s += RESPONSE_TIMEOUT_S
    world.tell(PeerMessage(current(number, 0.0)))
    assert world.core.config_freshness.confirmed_at_s == confirmed_at_s
    number = world.question()
    world.tell(PeerMessage(current(number, 0.0)))
    confirmed_at_s = world.core.config_freshness.confirmed_at_s
    world.now_s += 0.2
    world.tell(PeerMessage(current(number, -0.2)))
    assert world.core.config_freshness.confirmed_at_s == confirmed_at_s


def test_a_relay_that_claims_an_older_state_for_a_later_moment_is_not_believed() -> None:
    """Fault: a relay whose clock stands still tells what it knew as if it were new."""
    world = Fleet()
    world.turn(1.0)
    number = world.question()
    row = configuration_row(2, (), 9)
    changed = kind_update(DOCUMENTS_KIND, 0.0, 9, rows=(row,))
    world.tell(PeerMessage(current(number, **{DOCUMENTS_KIND: changed})))
    confirmed_at_s = world.core.config_freshness.confirmed_at_s
    asked = world.core.relays.relay(world.now_s)
    number = world.question()
    world.tell(PeerMessage(current(number, 0.0)))
    assert world.core.config_freshness.confirmed_at_s == confirmed_at_s
    assert world.core.relays.relay(world.now_s) != asked


def test_a_configuration_that_a_relay_tells_is_in_force_at_once() -> None:
    world = Fleet()
    number = world.question()
    row = configuration_row(2, (), 9)
    world.tell(
        PeerMessage(ViewResponse(number, (kind_update(DOCUMENTS_KIND, 0.0, 9, rows=(row,)),)))
    )
    assert world.core.authorizer.config is not None
    assert world.core.authorizer.config.version == 2


def test_a_change_between_what_is_known_and_what_is_told_is_not_skipped() -> None:
    """What is told began after a later revision than this entry knows: it is asked for again."""
    world = Fleet()
    number = world.question()
    world.tell(PeerMessage(ViewResponse(number, (kind_update(DOCUMENTS_KIND, 0.0, 20, since=11),))))
    assert world.core.relayed_view.view.as_of()[DOCUMENTS_KIND] == 5
    assert world.core.config_freshness.confirmed_at_s == 100.0


def test_drains_and_removals_are_told_too() -> None:
    world = Fleet()
    number = world.question()
    rows = (target_row("r1", 8, "draining"), ObjectRow("r2", 9, None))
    told = kind_update(TARGETS_KIND, 0.1, 9, rows=rows)
    world.tell(PeerMessage(ViewResponse(number, (told,))))
    targets = world.core.roster.targets
    assert targets["r1"].entry.draining
    assert "r2" not in targets


def test_lapses_are_held_back_as_long_as_the_relay_holds_them_back() -> None:
    """The store was away for a moment, and only the relay has noticed."""
    world = Fleet()
    number = world.question()
    told = kind_update(TARGETS_KIND, 0.1, 9, rows=(ObjectRow("r2", 9, None),))
    world.tell(PeerMessage(ViewResponse(number, (told,), 1.5)))
    world.turn(1.2)
    assert "r2" in world.core.roster.targets
    world.turn(0.5)
    assert "r2" not in world.core.roster.targets


def test_a_relay_answers_with_what_has_changed_and_how_old_its_view_is() -> None:
    world = Fleet(RELAYS[0])
    world.now_s += 0.7
    row = target_row("r3", 9)
    world.tell(KindObserved(TARGETS_KIND, False, 5, 9, world.now_s - 0.1, (row,)))
    asked = ViewRequest(FOLLOWER, 3, {TARGETS_KIND: 5, DOCUMENTS_KIND: 5})
    (action,) = world.tell(PeerMessage(asked))
    assert action.address == f"tcp://{FOLLOWER}"
    told = {item.kind: item for item in action.payload.kinds}
    assert told[TARGETS_KIND].rows == (row,)
    assert told[TARGETS_KIND].age_s == pytest.approx(0.1)
    assert told[DOCUMENTS_KIND].rows == ()
    assert told[DOCUMENTS_KIND].age_s == pytest.approx(0.7)


def test_an_asker_whose_view_is_older_than_the_relays_first_listing_is_told_all() -> None:
    """An object that came and went before the relay's listing may be known to the asker."""
    world = Fleet(RELAYS[0])
    asked = ViewRequest(FOLLOWER, 1, {TARGETS_KIND: 4})
    (action,) = world.tell(PeerMessage(asked))
    assert action.payload.kinds[0].full
    follower = Fleet()
    follower.tell(KindObserved(TARGETS_KIND, False, 5, 5, 100.0, ()))
    gone = target_row("gone", 4)
    follower.core.relayed_view.view.take(
        KindObserved(TARGETS_KIND, False, 5, 5, 100.0, (gone,)), 100.0
    )
    number = follower.question()
    (told,) = action.payload.kinds
    follower.tell(PeerMessage(ViewResponse(number, (told,))))
    assert "gone" not in follower.core.roster.targets


def test_a_change_of_the_duty_is_passed_on_at_once_to_those_who_ask() -> None:
    world = Fleet(RELAYS[0])
    world.tell(PeerMessage(ViewRequest(FOLLOWER, 1, {})))
    record = msgspec.json.encode(LeaseRecord("f9#1", 1, True, 1, ["r1"]))
    shown = KindObserved(LEASES_KIND, False, 5, 9, 100.0, (ObjectRow("weights", 9, record),))
    (action,) = world.tell(shown)
    assert action.address == f"tcp://{FOLLOWER}"
    follower = Fleet()
    lease_observed_at_s = follower.core.weights.lease_observed_at_s
    follower.tell(PeerMessage(action.payload))
    assert follower.core.rollout_lease.swapping(follower.now_s) == {"r1"}
    assert follower.core.weights.lease_observed_at_s == lease_observed_at_s


def test_what_is_too_large_to_tell_is_read_from_the_store() -> None:
    relay = Fleet(RELAYS[0])
    keys = tuple(f"{number:064}" for number in range(KIND_UPDATE_LIMIT_BYTES // 64))
    row = configuration_row(2, keys, 9)
    relay.tell(KindObserved(DOCUMENTS_KIND, False, 5, 9, 100.0, (row,)))
    (action,) = relay.tell(PeerMessage(ViewRequest(FOLLOWER, 1, {DOCUMENTS_KIND: 5})))
    (told,) = action.payload.kinds
    assert told.rows is None
    world = Fleet()
    world.turn(1.0)
    world.tell(PeerMessage(ViewResponse(world.question(), (told,))))
    assert world.core.relayed_view.reads_kind(DOCUMENTS_KIND, world.now_s)
    assert not world.core.relayed_view.reads_kind(TARGETS_KIND, world.now_s)


class Starting(World):
    """An entry that has just started and has read nothing yet."""

    def __init__(self, own: str) -> None:
        super().__init__(own)
        self.began_s = self.now_s

    def reads(self) -> set[str]:
        view = self.core.relayed_view
        return {kind for kind in KINDS if view.reads_kind(kind, self.now_s)}

    def list_entries(self, fleet: tuple[str, ...]) -> None:
        for name in fleet:
            self.tell(EntryObserved(name, EntryRecord(f"tcp://{name}", 1), 1))
        self.tell(KindObserved(ENTRIES_KIND, True, 0, 5, self.now_s, Fleet.listed(ENTRIES_KIND)))


def test_an_entry_that_starts_in_a_large_fleet_is_told_instead_of_listing_all() -> None:
    """Load pattern: hundreds of entries start within moments of each other."""
    world = Starting(FOLLOWER)
    assert world.reads() == {ENTRIES_KIND}
    world.list_entries(FLEET)
    assert world.reads() == {ENTRIES_KIND}
    (asked,) = [item for action in world.tell(Tick()) if (item := question_of(action))]
    told = [kind_update(kind, 0.2, full=True, rows=Fleet.listed(kind)) for kind in KINDS]
    world.tell(PeerMessage(ViewResponse(asked.number, tuple(told))))
    world.tell(Tick())
    assert world.core.ready(world.now_s)
    assert world.reads() == set()


@pytest.mark.parametrize("own", [FOLLOWER, RELAYS[0]])
def test_an_entry_that_starts_and_is_not_told_reads_the_store(own: str) -> None:
    world = Starting(own)
    world.list_entries(FLEET)
    assert world.reads() == (set(KINDS) if own in RELAYS else {ENTRIES_KIND})
    world.now_s += START_WAIT_S
    assert world.reads() == set(KINDS)


def test_an_entry_that_starts_in_a_small_fleet_reads_all_at_once() -> None:
    world = Starting("f1")
    world.tell(KindObserved(ENTRIES_KIND, True, 0, 5, world.now_s, ()))
    assert world.reads() == set(KINDS)


@pytest.mark.parametrize(("age_s", "admitted"), [(0.5, True), (BOUNDS.revoke_s, False)])
def test_an_entry_that_starts_while_the_store_is_out_goes_by_a_recent_word_only(
    age_s: float, admitted: bool
) -> None:
    """Fault: all that is left of the store is what a relay was shown before the outage."""
    world = Starting(FOLLOWER)
    world.list_entries(FLEET)
    world.core.config_freshness.confirmed_at_s = float("-inf")
    (asked,) = [item for action in world.tell(Tick()) if (item := question_of(action))]
    told = [kind_update(kind, age_s, full=True, rows=Fleet.listed(kind)) for kind in KINDS]
    world.tell(PeerMessage(ViewResponse(asked.number, tuple(told))))
    assert world.core.ready(world.now_s) is admitted
    found = world.arrive("draft", key="k")
    assert any(isinstance(item, SendCall) for item in found) is admitted


def test_relays_are_members_that_have_no_less_than_most() -> None:
    """Load pattern: what a relay sends to its followers would fill a link of a few Mbit/s."""
    fleet = tuple(f"f{number}" for number in range(195))
    strengths = {
        name: VmResources((10.0, 50.0, 100.0)[number % 3], (0.5, 2.0, 2.0, 2.0)[number % 4])
        for number, name in enumerate(fleet)
    }
    parts = {name: Relays(name, lambda: fleet, strengths.__getitem__) for name in fleet}
    relays = {name for name, part in parts.items() if part.is_relay}
    assert len(relays) == -(-195 // MEMBERS_PER_RELAY)
    assert all(strengths[name].link_mbps >= 50.0 for name in relays)
    assert all(strengths[name].cores >= 2.0 for name in relays)
    assert {part.relay(0.0) for part in parts.values()} == relays


def test_an_entry_registers_what_its_vm_has() -> None:
    cfg = GatewayConfig("e1", 1, "dc1", BOUNDS, "tcp://e1", 7, FOLLOWED, 20.0, 0.5)
    core = Gateway(cfg)
    shown = KindObserved(ENTRIES_KIND, True, 0, 5, 100.0, ())
    (show,) = core.step(100.0, shown)
    (write,) = core.step(100.0, EntriesListed(frozenset()))
    assert isinstance(show, PublishKind)
    assert isinstance(write, WriteEntry)
    assert (write.record.link_mbps, write.record.cores) == (20.0, 0.5)


def test_the_log_tells_who_is_asked_and_how_old_the_word_is() -> None:
    world = Fleet()
    lines: list[Log] = []
    for _ in range(100):
        world.now_s += 0.1
        lines += [item for item in world.core.step(world.now_s, Tick()) if isinstance(item, Log)]
    changes = [dict(line.fields) for line in lines if line.number == LogEvent.RELAY_CHANGED]
    assert changes[0]["before"] == ""
    assert len({str(line["relay"]) for line in changes}) > 1
    world.turn(2.0)
    world.turn(2.0, answers=False)
    world.now_s += 0.1
    assert world.reads_object_store
