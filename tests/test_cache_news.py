"""What a few entries read of stores of kept cache, passed on to hundreds of others.

Load pattern: sixty entries before a store that takes twelve event calls at once.
"""

from typing import Any

from filbertstream.actions import SendPeer
from filbertstream.gateway_events import EntryObserved, PeerMessage, Tick
from filbertstream.messages import CacheUpdate, CacheUpdateBatch, CacheUpdateRow, ViewRequest
from filbertstream.process.cache_stores import (
    HOLDINGS_MAX_AGE_S,
    CacheChange,
    CacheEventsFailed,
    CacheEventsReceived,
    PollCacheEvents,
)
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.store_view import KindObserved
from tests.gateway_world import FOLLOWED, STORE
from tests.test_gateway_cache import Keeping

HELD = ("10.9.0.1:80/800", "")


class Member(Keeping):
    """An entry whose view of the store is shown to be recent, without what it holds."""

    def show(self, shown: KindObserved) -> None:
        self.core.relayed_view.view.take(shown, self.now_s)


class Fleet:
    """Entries that hear each other, and a store that answers whoever calls it."""

    def __init__(self, size: int = 60) -> None:
        self.worlds = {f"e{number}": Member(f"e{number}") for number in range(size)}
        self.dead: set[str] = set()
        self.calls: set[str] = set()
        self.sent: dict[str, int] = dict.fromkeys(self.worlds, 0)
        self.event = 0
        self.changes: list[CacheChange] = []
        for name, world in self.worlds.items():
            for item in FOLLOWED:
                world.show(KindObserved(item.kind, True, 0, 5, world.now_s, ()))
            # The call of its start, which nobody has answered.
            world.tell(CacheEventsFailed("keep"))
            for other in self.worlds:
                record = EntryRecord(f"tcp://{other}", 1)
                world.tell(EntryObserved(other, record, 1 + (other != name)))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            messages: list[SendPeer] = []
            for name, world in self.worlds.items():
                world.now_s += 0.1
                if name not in self.dead:
                    world.confirm()
                    for item in FOLLOWED if world.core.relays.is_relay else ():
                        world.show(KindObserved(item.kind, False, 5, 5, world.now_s, ()))
                    messages += self._step(world, name, Tick())
            while messages:
                action = messages.pop(0)
                name = action.address.removeprefix("tcp://")
                if name not in self.dead:
                    told = PeerMessage(action.payload)
                    messages += self._step(self.worlds[name], name, told)

    def _step(self, world: Keeping, name: str, event: Any) -> list[SendPeer]:
        found = []
        for action in world.tell(event):
            if isinstance(action, PollCacheEvents) and action.holder == "keep":
                self.calls.add(name)
                found += self._step(world, name, self._answer(world, action))
            elif isinstance(action, SendPeer):
                self.sent[name] += isinstance(action.payload, CacheUpdate | CacheUpdateBatch)
                found.append(action)
        return found

    def _answer(self, world: Keeping, ask: PollCacheEvents) -> CacheEventsReceived:
        changes = tuple(self.changes[ask.since :])
        number = len(self.changes)
        return CacheEventsReceived("keep", world.now_s, world.now_s, 1, number, 5_000, changes)

    def fetching(self) -> set[str]:
        """Return the entries that would fetch the shared part from the store."""
        found = set()
        for name, world in self.worlds.items():
            cache = world.send().cache
            assert cache is not None
            if cache.fetch == HELD:
                found.add(name)
        return found


def stored(fleet: Fleet) -> CacheChange:
    namespace = next(iter(fleet.worlds.values())).namespace()
    return CacheChange(True, (namespace, "shared"), 800)


def test_in_a_large_fleet_few_entries_read_a_store_and_all_others_are_told() -> None:
    fleet = Fleet()
    fleet.run(3.0)
    fleet.calls.clear()
    fleet.changes.append(stored(fleet))
    fleet.run(2.0)
    assert fleet.fetching() == set(fleet.worlds)
    assert 1 <= len(fleet.calls) <= STORE.event_readers / 2


def test_an_entry_that_neither_reads_nor_relays_sends_no_news() -> None:
    fleet = Fleet()
    fleet.run(5.0)
    relays = {name for name, world in fleet.worlds.items() if world.core.relays.is_relay}
    silent = [name for name in fleet.worlds if name not in relays | fleet.calls]
    assert all(fleet.sent[name] == 0 for name in silent)


def test_where_all_readers_of_a_store_die_the_relays_read_it() -> None:
    fleet = Fleet()
    fleet.run(3.0)
    fleet.changes.append(stored(fleet))
    readers = {
        name
        for name, world in fleet.worlds.items()
        if world.core.peers.reads("keep", STORE.event_readers)
    }
    fleet.dead |= readers
    fleet.run(3 * HOLDINGS_MAX_AGE_S)
    relays = [name for name, item in fleet.worlds.items() if item.core.relays.is_relay]
    for name in relays:
        cache = fleet.worlds[name].send().cache
        assert cache is not None
        assert name in readers or cache.fetch == HELD, name


def test_news_from_before_a_restart_is_not_taken_after_it() -> None:
    """Fault: of two readers of a store one has not heard yet that it restarted."""
    fleet = Fleet()
    told = next(
        world
        for world in fleet.worlds.values()
        if not world.core.peers.reads("keep", STORE.event_readers)
    )
    row = CacheUpdateRow(True, told.namespace(), "kept", 800)
    told.tell(PeerMessage(CacheUpdate("keep", 2, 1, 0.3, 5_000, ())))
    told.tell(PeerMessage(CacheUpdate("keep", 1, 9, 0.5, 5_000, (row,))))
    state = told.core.stores.states["keep"]
    assert state.start_id == 2
    assert not told.core.index.holders((told.namespace(), "kept"))
    told.now_s += 1.0
    told.tell(PeerMessage(CacheUpdate("keep", 3, 1, 0.3, 5_000, ())))
    assert state.start_id == 3


def test_a_relay_passes_each_event_on_once_though_two_readers_tell_it() -> None:
    """Load pattern: a hundred saves a second, told by both readers of their store."""
    fleet = Fleet()
    relay = next(world for world in fleet.worlds.values() if world.core.relays.is_relay)
    relay.tell(PeerMessage(ViewRequest("e0", 1, {})))
    rows = tuple(CacheUpdateRow(True, "n", f"p{number}", 10) for number in range(12))
    for start_id, since, until in ((1, 0, 6), (1, 2, 9), (1, 5, 9), (1, 7, 12), (2, 0, 3)):
        told = CacheUpdate("keep", start_id, until, 0.1, 5_000, rows[since:until])
        relay.tell(PeerMessage(told))
    relay.now_s += 0.5
    batches = [
        item.payload
        for item in relay.tell(Tick())
        if isinstance(item, SendPeer) and isinstance(item.payload, CacheUpdateBatch)
    ]
    (batch,) = batches
    passed_on = [(item.start_id, row.block_id) for item in batch.items for row in item.rows]
    assert passed_on == [(1, row.block_id) for row in rows] + [(2, f"p{n}") for n in range(3)]
