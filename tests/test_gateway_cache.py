"""Which cache blocks the core fetches from cache stores and saves to them.

Failure guarded against: a runner fetches a block that is incomplete, freed or of other weights.
This comes about when an entry acts on a cache store's state from before a restart, on events that
are too old, or on an outdated view of the roll-out lease.
"""

from filbertstream.process.cache_index import BlockKey
from filbertstream.process.cache_stores import (
    HOLDINGS_MAX_AGE_S,
    SAVE_HOLDOFF_S,
    SETTLING_S,
    CacheBlocksListed,
    CacheChange,
    CacheEventsReceived,
    PollCacheEvents,
)
from filbertstream.request.call_events import (
    SendCall,
)
from filbertstream.version.weights_view import MAX_FETCH_VIEW_AGE_S
from tests.gateway_world import World, sends


class CacheWorld(World):
    """A world whose cache store responds to event requests."""

    def __init__(self, name: str = "e1") -> None:
        super().__init__(name)
        self.next_event = 0
        self.start_id = 1
        self.held: tuple[tuple[BlockKey, int], ...] = ()
        self.run(0.1)

    def store(self, *changes: CacheChange) -> None:
        self.next_event += len(changes)
        self.step(
            CacheEventsReceived(
                "keep",
                self.now_s,
                self.now_s,
                self.start_id,
                self.next_event,
                5_000,
                tuple(changes),
            )
        )

    def list(self) -> None:
        self.step(
            CacheBlocksListed("keep", self.now_s, self.start_id, self.next_event, self.held, 0)
        )

    def follow(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.5)):
            self.store()
            self.run(0.5)
        self.store()

    def store_and_settle(self, *changes: CacheChange) -> None:
        """Store blocks and wait until all entries know them."""
        self.store(*changes)
        self.follow(SETTLING_S + 0.5)

    def send(self) -> SendCall:
        (sent,) = sends(self.arrive("draft"))
        assert sent.cache is not None
        return sent

    def namespace(self) -> str:
        cache = self.send().cache
        assert cache is not None
        return cache.namespace


def followed_for(quiet_s: float) -> CacheWorld:
    world = CacheWorld()
    world.store()
    world.list()
    world.follow(quiet_s)
    return world


def test_block_is_fetched_only_after_its_store_reported_it_complete() -> None:
    """A block is being saved while other prompts with the same prefix arrive."""
    world = followed_for(4.0)
    saved = world.send().cache
    assert saved is not None
    assert saved.save == ("10.9.0.1:80", "")
    assert not any(saved.fetch)
    world.store_and_settle(CacheChange(True, (saved.namespace, "shared"), 800))
    fetched = world.send().cache
    assert fetched is not None
    assert fetched.fetch == ("10.9.0.1:80/800", "")
    assert fetched.fetch_until_ms is not None
    assert not any(fetched.save)


def test_block_stored_with_fewer_tokens_than_needed_is_not_fetched() -> None:
    """A cache store holds a block under the same id with one token less."""
    world = followed_for(4.0)
    world.store_and_settle(CacheChange(True, (world.namespace(), "shared"), 799))
    cache = world.send().cache
    assert cache is not None
    assert not any(cache.fetch)


def test_nothing_is_fetched_from_a_store_whose_state_is_too_old() -> None:
    """A cache store stops responding; it may have restarted and lost its blocks."""
    world = followed_for(4.0)
    world.store_and_settle(CacheChange(True, (world.namespace(), "shared"), 800))
    world.run(HOLDINGS_MAX_AGE_S + 0.1)
    cache = world.send().cache
    assert cache is not None
    assert not any(cache.fetch)


def test_restarted_store_counts_as_empty_and_gets_no_saves_until_old_fetches_have_ended() -> None:
    """A fetch planned before the restart could read a block while it is saved again."""
    world = followed_for(4.0)
    world.store_and_settle(CacheChange(True, (world.namespace(), "shared"), 800))
    world.start_id, world.next_event = 2, 0
    world.store()
    world.list()
    cache = world.send().cache
    assert cache is not None
    assert not any(cache.fetch)
    assert not any(cache.save)
    for _ in range(round(SAVE_HOLDOFF_S / 0.5) + 1):
        world.run(0.5)
        world.store()
    later = world.send().cache
    assert later is not None
    assert any(later.save)


def test_nothing_is_fetched_on_an_outdated_view_of_the_roll_out_lease() -> None:
    """Blocks of replaced weights may have been freed since the entry last read the lease record."""
    world = followed_for(4.0)
    world.store_and_settle(CacheChange(True, (world.namespace(), "shared"), 800))
    world.run(0.1)
    world.core.weights.lease_observed_at_s = world.now_s - MAX_FETCH_VIEW_AGE_S - 0.1
    cache = world.send().cache
    assert cache is not None
    assert not any(cache.fetch)


def test_events_of_a_configured_store_are_requested() -> None:
    """Without event requests, no block of the cache store would ever be fetched."""
    world = World()
    follows = [item for item in world.run(0.2) if isinstance(item, PollCacheEvents)]
    assert [(item.holder, item.since) for item in follows] == [("keep", 0)]
