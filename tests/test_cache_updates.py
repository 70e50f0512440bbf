"""Cache updates: a few entries read the events of cache stores and send them to hundreds of others.

Load pattern: sixty entries use a cache store that serves twelve event requests at once.
"""

from typing import Any

from filbertstream.actions import SendPeer
from filbertstream.gateway_events import EntryObserved, PeerMessage, Tick
from filbertstream.messages import CacheUpdate, CacheUpdateBatch, CacheUpdateRow, ViewRequest
from filbertstream.process.cache_stores import (
    HOLDINGS_MAX_AGE_S,
    SETTLING_S,
    CacheChange,
    CacheEventsFailed,
    CacheEventsReceived,
    PollCacheEvents,
)
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.store_view import KindObserved
from tests.gateway_world import FOLLOWED, STORE
from tests.helpers import rev
from tests.test_gateway_cache import CacheWorld

FETCH_FROM_STORE = ("10.9.0.1:80/800", "")


class Member(CacheWorld):
    """An entry whose view of the object store is recent, without any objects in it."""

    def show(self, kind_observed: KindObserved) -> None:
        self.core.relayed_view.view.take(kind_observed, self.now_s)


class Fleet:
    """Entries that exchange messages, and a cache store that responds to every request."""

    def __init__(self, size: int = 60) -> None:
        self.worlds = {f"e{number}": Member(f"e{number}") for number in range(size)}
        self.dead: set[str] = set()
        self.calls: set[str] = set()
        self.sent: dict[str, int] = dict.fromkeys(self.worlds, 0)
        self.event = 0
        self.changes: list[CacheChange] = []
        for name, world in self.worlds.items():
            for item in FOLLOWED:
                world.show(KindObserved(item.kind, True, rev(0), rev(5), world.now_s, ()))
            # The event request at its start got no response.
            world.step(CacheEventsFailed("keep"))
            for other in self.worlds:
                record = EntryRecord(f"tcp://{other}", 1)
                world.step(EntryObserved(other, record, rev(1 + (other != name))))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            messages: list[SendPeer] = []
            for name, world in self.worlds.items():
                world.now_s += 0.1
                if name not in self.dead:
                    world.confirm()
                    for item in FOLLOWED if world.core.relays.is_relay else ():
                        world.show(KindObserved(item.kind, False, rev(5), rev(5), world.now_s, ()))
                    messages += self._step(world, name, Tick())
            while messages:
                action = messages.pop(0)
                name = action.address.removeprefix("tcp://")
                if name not in self.dead:
                    message = PeerMessage(action.payload)
                    messages += self._step(self.worlds[name], name, message)

    def _step(self, world: CacheWorld, name: str, event: Any) -> list[SendPeer]:
        messages = []
        for action in world.step(event):
            if isinstance(action, PollCacheEvents) and action.holder == "keep":
                self.calls.add(name)
                messages += self._step(world, name, self._read_events(world, action))
            elif isinstance(action, SendPeer):
                self.sent[name] += isinstance(action.payload, CacheUpdate | CacheUpdateBatch)
                messages.append(action)
        return messages

    def _read_events(self, world: CacheWorld, poll: PollCacheEvents) -> CacheEventsReceived:
        changes = tuple(self.changes[poll.since :])
        number = len(self.changes)
        return CacheEventsReceived("keep", world.now_s, world.now_s, 1, number, 5_000, changes)

    def fetching(self) -> set[str]:
        """Return the entries that would fetch the shared block from the cache store."""
        fetching = set()
        for name, world in self.worlds.items():
            cache = world.send().cache
            assert cache is not None
            if cache.fetch == FETCH_FROM_STORE:
                fetching.add(name)
        return fetching


def shared_block_saved(fleet: Fleet) -> CacheChange:
    namespace = next(iter(fleet.worlds.values())).namespace()
    return CacheChange(True, (namespace, "shared"), 800)


def test_few_entries_of_a_large_fleet_read_a_store_and_all_get_its_updates() -> None:
    """A block is saved after the readers of a cache store were chosen."""
    fleet = Fleet()
    fleet.run(3.0)
    fleet.calls.clear()
    fleet.changes.append(shared_block_saved(fleet))
    fleet.run(2.0 + SETTLING_S)
    assert fleet.fetching() == set(fleet.worlds)
    assert 1 <= len(fleet.calls) <= STORE.event_readers / 2


def test_entry_that_is_neither_reader_nor_relay_sends_no_cache_updates() -> None:
    """Sixty entries use one cache store; a few read its events, and a few are relays."""
    fleet = Fleet()
    fleet.run(5.0)
    relays = {name for name, world in fleet.worlds.items() if world.core.relays.is_relay}
    idle = [name for name in fleet.worlds if name not in relays | fleet.calls]
    assert all(fleet.sent[name] == 0 for name in idle)


def test_relays_read_a_store_whose_readers_have_all_died() -> None:
    """All readers of a cache store die at once."""
    fleet = Fleet()
    fleet.run(3.0)
    fleet.changes.append(shared_block_saved(fleet))
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
        assert name in readers or cache.fetch == FETCH_FROM_STORE, name


def test_cache_update_from_before_a_store_restart_is_rejected_after_it() -> None:
    """Fault: one of a cache store's two readers has not yet observed its restart."""
    fleet = Fleet()
    follower = next(
        world
        for world in fleet.worlds.values()
        if not world.core.peers.reads("keep", STORE.event_readers)
    )
    row = CacheUpdateRow(True, follower.namespace(), "kept", 800)
    follower.step(PeerMessage(CacheUpdate("keep", 2, 1, 0.3, 5_000, ())))
    follower.step(PeerMessage(CacheUpdate("keep", 1, 9, 0.5, 5_000, (row,))))
    state = follower.core.stores.states["keep"]
    assert state.start_id == 2
    assert not follower.core.index.holders((follower.namespace(), "kept"))
    follower.now_s += 1.0
    follower.step(PeerMessage(CacheUpdate("keep", 3, 1, 0.3, 5_000, ())))
    assert state.start_id == 3


def test_relay_forwards_each_event_once_although_two_readers_send_it() -> None:
    """Load pattern: a hundred saves a second, sent by both readers of their store."""
    fleet = Fleet()
    relay = next(world for world in fleet.worlds.values() if world.core.relays.is_relay)
    relay.step(PeerMessage(ViewRequest("e0", 1, {})))
    rows = tuple(CacheUpdateRow(True, "n", f"p{number}", 10) for number in range(12))
    for start_id, since, until in ((1, 0, 6), (1, 2, 9), (1, 5, 9), (1, 7, 12), (2, 0, 3)):
        update = CacheUpdate("keep", start_id, until, 0.1, 5_000, rows[since:until])
        relay.step(PeerMessage(update))
    relay.now_s += 0.5
    batches = [
        item.payload
        for item in relay.step(Tick())
        if isinstance(item, SendPeer) and isinstance(item.payload, CacheUpdateBatch)
    ]
    (batch,) = batches
    forwarded = [(item.start_id, row.block_id) for item in batch.items for row in item.rows]
    assert forwarded == [(1, row.block_id) for row in rows] + [(2, f"p{n}") for n in range(3)]
