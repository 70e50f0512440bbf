"""What entries know of each other's work in fleets of any size, and what it costs to tell it.

Load pattern: hundreds of entries, each of which sends a runner a prompt once in many seconds, so
that each by itself knows next to nothing of the runners' queues.
"""

import pytest

from filbertstream.actions import SendPeer
from filbertstream.messages import EntryWork, FleetWork, GroupWork, WorkRow
from filbertstream.process.peer_work import WORK_MAX_AGE_S, EntryRecord, PeerWork
from filbertstream.process.relays import POLL_INTERVAL_S, Relays
from filbertstream.process.work_exchange import MAX_ROWS, RELAYED_SEND_INTERVAL_S, WorkExchange

STEP_S = 0.05


class Entry:
    """One entry's part, with the questions that make a relay know its followers."""

    def __init__(self, name: str, fleet: tuple[str, ...]) -> None:
        self.name = name
        self.peers = PeerWork(name)
        for other in fleet:
            self.peers.join(other, EntryRecord(other, 1))
        self.relays = Relays(name, self.peers.names)
        self.exchange = WorkExchange(self.peers, self.relays)
        self.rows: tuple[WorkRow, ...] = ()
        self.asked_at_s: dict[str, float] = {}


class Fleet:
    """Entries whose messages arrive in the next step."""

    def __init__(self, size: int) -> None:
        names = tuple(f"e{number}" for number in range(size))
        self.entries = {name: Entry(name, names) for name in names}
        self.now_s = 50.0
        self.sent = dict.fromkeys(names, 0)
        self.dead: set[str] = set()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            messages = [
                (name, item)
                for name, entry in self.entries.items()
                if name not in self.dead
                for item in self._step(entry)
            ]
            for name, item in messages:
                self.sent[name] += 1
                if item.address not in self.dead:
                    self._arrive(self.entries[item.address], item)

    def _step(self, entry: Entry) -> list[SendPeer]:
        question = entry.relays.due(self.now_s)
        if question is not None and question.member not in self.dead:
            self.entries[question.member].asked_at_s[entry.name] = self.now_s
            entry.relays.accept_response(question.number, self.now_s)
        lately = self.now_s - 3 * POLL_INTERVAL_S
        followers = [name for name, at_s in entry.asked_at_s.items() if at_s > lately]
        return entry.exchange.due(entry.rows, True, followers, self.now_s)

    def _arrive(self, entry: Entry, item: SendPeer) -> None:
        if isinstance(item.payload, EntryWork):
            entry.peers.on_work(item.payload, self.now_s)
        elif isinstance(item.payload, GroupWork):
            entry.peers.on_group(item.payload, self.now_s)
        elif isinstance(item.payload, FleetWork):
            entry.peers.on_fleet(item.payload, self.now_s)

    def expect(self, target: str, runs: int) -> None:
        """Every entry knows exactly what the others have under way at a target."""
        for name, entry in self.entries.items():
            if name not in self.dead:
                own = sum(row.runs for row in entry.rows if row.target == target)
                assert entry.peers.peer_work_at(target, self.now_s).runs == runs - own, name


@pytest.mark.parametrize("size", [3, 12, 13, 60, 195])
def test_every_entry_knows_the_work_of_all_within_a_second(size: int) -> None:
    fleet = Fleet(size)
    fleet.run(2.0)
    for number, entry in enumerate(fleet.entries.values()):
        entry.rows = (WorkRow("r1", 1, 1_000, 500), WorkRow(f"r{2 + number % 5}", 2, 10, 5))
    fleet.run(1.0)
    fleet.expect("r1", size)
    for entry in fleet.entries.values():
        entry.rows = ()
    fleet.run(WORK_MAX_AGE_S + 0.5)
    fleet.expect("r1", 0)


def test_an_entry_tells_no_more_in_a_larger_fleet() -> None:
    told = {}
    for size in (60, 195):
        fleet = Fleet(size)
        for turn in range(40):
            for entry in fleet.entries.values():
                entry.rows = (WorkRow("r1", 1 + turn, 1_000, 500),)
            fleet.run(STEP_S)
        followers = [name for name, item in fleet.entries.items() if not item.relays.is_relay]
        told[size] = max(fleet.sent[name] for name in followers)
    assert told[60] == told[195] <= 2.0 / RELAYED_SEND_INTERVAL_S + 2


def test_an_idle_fleet_tells_nothing() -> None:
    fleet = Fleet(40)
    fleet.run(2.0)
    before = dict(fleet.sent)
    fleet.run(5.0)
    assert fleet.sent == before


def test_when_a_relay_dies_its_followers_know_the_work_of_all_again() -> None:
    fleet = Fleet(60)
    for entry in fleet.entries.values():
        entry.rows = (WorkRow("r1", 1, 1_000, 500),)
    fleet.run(2.0)
    fleet.expect("r1", 60)
    relay = next(name for name, entry in fleet.entries.items() if entry.relays.is_relay)
    fleet.dead.add(relay)
    fleet.run(3.0)
    fleet.expect("r1", 59)


def test_when_all_relays_die_others_take_their_place() -> None:
    fleet = Fleet(60)
    for entry in fleet.entries.values():
        entry.rows = (WorkRow("r1", 1, 1_000, 500),)
    fleet.run(2.0)
    relays = [name for name, entry in fleet.entries.items() if entry.relays.is_relay]
    fleet.dead |= set(relays)
    fleet.run(2.0 + 2 * POLL_INTERVAL_S * len(relays))
    fleet.expect("r1", 60 - len(relays))


def test_one_message_holds_a_bounded_number_of_targets() -> None:
    fleet = Fleet(13)
    entry = next(iter(fleet.entries.values()))
    rows = tuple(WorkRow(f"r{number}", 1, 10, number) for number in range(MAX_ROWS + 50))
    found = entry.exchange.due(rows, True, [], 1.0) or entry.exchange.due(rows, True, ["e1"], 1.0)
    payload, *_ = [item.payload for item in found]
    assert isinstance(payload, EntryWork | GroupWork)
    assert len(payload.rows) == MAX_ROWS
    assert min(row.queued_tokens for row in payload.rows) == 50
