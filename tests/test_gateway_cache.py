"""What the core fetches, saves and follows of kept cache, driven in virtual time."""

from filbertstream.process.cache_stores import (
    HOLDINGS_MAX_AGE_S,
    SAVE_HOLDOFF_S,
    CacheChange,
    CacheEventsReceived,
    PollCacheEvents,
)
from filbertstream.request.call_events import (
    SendCall,
)
from filbertstream.version.weights_view import MAX_FETCH_VIEW_AGE_S
from tests.gateway_world import World, sends


class Keeping(World):
    """A world whose store answers event calls."""

    def __init__(self, name: str = "e1") -> None:
        super().__init__(name)
        self.next_event = 0
        self.start_id = 1
        self.run(0.1)

    def store(self, *changes: CacheChange) -> None:
        self.next_event += len(changes)
        self.tell(
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

    def send(self) -> SendCall:
        (sent,) = sends(self.arrive("draft"))
        assert sent.cache is not None
        return sent

    def namespace(self) -> str:
        cache = self.send().cache
        assert cache is not None
        return cache.namespace


def keeping_after(quiet_s: float) -> Keeping:
    world = Keeping()
    for _ in range(round(quiet_s / 0.5)):
        world.store()
        world.run(0.5)
    world.store()
    return world


def test_a_part_is_fetched_only_once_its_store_reported_it_whole() -> None:
    world = keeping_after(4.0)
    saved = world.send().cache
    assert saved is not None
    assert saved.save == ("10.9.0.1:80", "")
    assert not any(saved.fetch)
    world.store(CacheChange(True, (saved.namespace, "shared"), 800))
    fetched = world.send().cache
    assert fetched is not None
    assert fetched.fetch == ("10.9.0.1:80/800", "")
    assert fetched.fetch_until_ms is not None
    assert not any(fetched.save)


def test_a_part_of_which_less_is_stored_than_asked_is_not_fetched() -> None:
    world = keeping_after(4.0)
    world.store(CacheChange(True, (world.namespace(), "shared"), 799))
    cache = world.send().cache
    assert cache is not None
    assert not any(cache.fetch)


def test_nothing_is_fetched_from_a_store_that_has_not_answered_lately() -> None:
    world = keeping_after(4.0)
    world.store(CacheChange(True, (world.namespace(), "shared"), 800))
    world.run(HOLDINGS_MAX_AGE_S + 0.1)
    cache = world.send().cache
    assert cache is not None
    assert not any(cache.fetch)


def test_a_store_that_restarted_is_empty_and_gets_nothing_until_no_old_fetch_can_run() -> None:
    world = keeping_after(4.0)
    world.store(CacheChange(True, (world.namespace(), "shared"), 800))
    world.start_id, world.next_event = 2, 0
    world.store()
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


def test_an_old_view_of_the_duty_fetches_nothing_from_stores() -> None:
    world = keeping_after(4.0)
    world.store(CacheChange(True, (world.namespace(), "shared"), 800))
    world.run(0.1)
    world.core.weights.lease_observed_at_s = world.now_s - MAX_FETCH_VIEW_AGE_S - 0.1
    cache = world.send().cache
    assert cache is not None
    assert not any(cache.fetch)


def test_a_configured_store_is_followed() -> None:
    world = World()
    follows = [item for item in world.run(0.2) if isinstance(item, PollCacheEvents)]
    assert [(item.holder, item.since) for item in follows] == [("keep", 0)]
