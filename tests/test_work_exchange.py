"""Reports between entries of their work at runners, in fleets of any size.

Load pattern: hundreds of entries, each of which sends a prompt to a given runner only once in many
seconds, so that an entry by itself has next to no information about the runners' queues.
"""

import pytest

from filbertstream.actions import SendPeer
from filbertstream.fleet.facts import FactExchange
from filbertstream.messages import EntryWork, FleetWork, GroupWork, WorkRow
from filbertstream.process.counters import Counters
from filbertstream.process.peer_work import WORK_MAX_AGE_S, EntryRecord, PeerWork
from filbertstream.process.relays import POLL_INTERVAL_S, Relays
from filbertstream.process.request_rates import RequestRates
from filbertstream.process.work_exchange import MAX_ROWS, RELAYED_SEND_INTERVAL_S, WorkExchange

STEP_S = 0.05


class Entry:
    """One entry's exchange, with the requests that show a relay its followers."""

    def __init__(self, name: str, fleet: tuple[str, ...]) -> None:
        self.name = name
        self.peers = PeerWork(name)
        for other in fleet:
            self.peers.join(other, EntryRecord(other, 1))
        self.relays = Relays(name, self.peers.names)
        self.exchange = WorkExchange(
            self.peers, self.relays, RequestRates(Counters()), FactExchange({}, Counters())
        )
        self.rows: tuple[WorkRow, ...] = ()
        self.requested_at_s: dict[str, float] = {}


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
        request = entry.relays.due(self.now_s)
        if request is not None and request.member not in self.dead:
            self.entries[request.member].requested_at_s[entry.name] = self.now_s
            entry.relays.accept_response(request.number, self.now_s)
        recent_s = self.now_s - 3 * POLL_INTERVAL_S
        followers = [name for name, at_s in entry.requested_at_s.items() if at_s > recent_s]
        return entry.exchange.due(entry.rows, True, followers, self.now_s)

    def _arrive(self, entry: Entry, item: SendPeer) -> None:
        if isinstance(item.payload, EntryWork):
            entry.peers.on_work(item.payload, self.now_s)
        elif isinstance(item.payload, GroupWork):
            entry.peers.on_group(item.payload, self.now_s)
        elif isinstance(item.payload, FleetWork):
            entry.peers.on_fleet(item.payload, self.now_s)

    def expect(self, target: str, runs: int) -> None:
        """Assert that every entry has the exact number of its peers' runs at a target."""
        for name, entry in self.entries.items():
            if name not in self.dead:
                local_runs = sum(row.runs for row in entry.rows if row.target == target)
                assert entry.peers.peer_work_at(target, self.now_s).runs == runs - local_runs, name


@pytest.mark.parametrize("size", [3, 12, 13, 60, 195])
def test_every_entry_has_the_work_of_all_others_within_a_second(size: int) -> None:
    """All entries start runs at the same runner."""
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


def test_number_of_reports_of_a_follower_does_not_grow_with_the_fleet() -> None:
    """Every entry's work changes in every step."""
    sent = {}
    for size in (60, 195):
        fleet = Fleet(size)
        for turn in range(40):
            for entry in fleet.entries.values():
                entry.rows = (WorkRow("r1", 1 + turn, 1_000, 500),)
            fleet.run(STEP_S)
        followers = [name for name, item in fleet.entries.items() if not item.relays.is_relay]
        sent[size] = max(fleet.sent[name] for name in followers)
    assert sent[60] == sent[195] <= 2.0 / RELAYED_SEND_INTERVAL_S + 2


def test_idle_fleet_sends_no_reports() -> None:
    """No entry has any work, so no message is needed."""
    fleet = Fleet(40)
    fleet.run(2.0)
    before = dict(fleet.sent)
    fleet.run(5.0)
    assert fleet.sent == before


def test_followers_of_a_dead_relay_get_the_work_of_all_others_again() -> None:
    """A relay dies without leaving the fleet."""
    fleet = Fleet(60)
    for entry in fleet.entries.values():
        entry.rows = (WorkRow("r1", 1, 1_000, 500),)
    fleet.run(2.0)
    fleet.expect("r1", 60)
    relay = next(name for name, entry in fleet.entries.items() if entry.relays.is_relay)
    fleet.dead.add(relay)
    fleet.run(3.0)
    fleet.expect("r1", 59)


def test_reports_continue_when_all_relays_have_died() -> None:
    """All relays die at once."""
    fleet = Fleet(60)
    for entry in fleet.entries.values():
        entry.rows = (WorkRow("r1", 1, 1_000, 500),)
    fleet.run(2.0)
    relays = [name for name, entry in fleet.entries.items() if entry.relays.is_relay]
    fleet.dead |= set(relays)
    fleet.run(2.0 + 2 * POLL_INTERVAL_S * len(relays))
    fleet.expect("r1", 60 - len(relays))


def test_message_contains_a_bounded_number_of_targets() -> None:
    """An entry has work at more targets than a message may contain."""
    fleet = Fleet(13)
    entry = next(iter(fleet.entries.values()))
    rows = tuple(WorkRow(f"r{number}", 1, 10, number) for number in range(MAX_ROWS + 50))
    messages = entry.exchange.due(rows, True, [], 1.0) or entry.exchange.due(
        rows, True, ["e1"], 1.0
    )
    payload, *_ = [item.payload for item in messages]
    assert isinstance(payload, EntryWork | GroupWork)
    assert len(payload.rows) == MAX_ROWS
    assert min(row.queued_tokens for row in payload.rows) == 50
