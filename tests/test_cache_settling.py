"""When a block of a cache store is fetched and saved, by what other entries may know.

Failure guarded against: after a restart that no entry has observed yet, one entry lets a runner
fetch a block that another, which never knew it, is just saving.
"""

import random

from filbertstream.process.cache_index import BlockKey, CacheIndex
from filbertstream.process.cache_stores import (
    LISTING_MAX_AGE_S,
    SAVE_HOLDOFF_S,
    SETTLING_S,
    UNTOLD_S,
    CacheBlocksListed,
    CacheChange,
    CacheEventsReceived,
    CacheStores,
)
from tests.gateway_world import STORE

KEY: BlockKey = ("names", "block")
TOKENS = 1_000
BEGIN_S = 100.0
READY_S = BEGIN_S + SAVE_HOLDOFF_S + 1.0
MOMENT_S = 0.01


class Entry:
    """What one entry knows of a cache store."""

    def __init__(self) -> None:
        self.stores = CacheStores(CacheIndex(), random.Random(1))
        self.stores.configure([("keep", STORE)])
        self.learn(BEGIN_S)

    def learn(self, at_s: float, *changes: CacheChange, start_id: int = 1) -> None:
        self.stores.on_events(
            CacheEventsReceived("keep", at_s, at_s, start_id, 0, None, tuple(changes))
        )

    def list(self, at_s: float, *keys: BlockKey) -> None:
        held = tuple((key, TOKENS) for key in keys)
        self.stores.on_listed(CacheBlocksListed("keep", at_s, 1, 0, held, 0), at_s)

    def fetches(self, at_s: float) -> bool:
        self.learn(at_s)
        return self.stores.source(KEY, TOKENS, "dc1", at_s) is not None

    def saves(self, at_s: float) -> bool:
        self.learn(at_s)
        return self.stores.save_to(KEY, TOKENS, at_s) is not None


def test_block_is_fetched_before_others_can_know_it() -> None:
    """Another entry that has not had the event saves the block anew, and its runner begins late."""
    entry = Entry()
    entry.list(BEGIN_S)
    entry.learn(READY_S, CacheChange(True, KEY, TOKENS))
    assert not entry.fetches(READY_S + SETTLING_S - MOMENT_S)
    assert entry.fetches(READY_S + SETTLING_S)


def test_block_that_may_not_be_fetched_yet_is_saved_again() -> None:
    """An entry that knows a block would write it anew after a restart that it has not observed."""
    entry = Entry()
    entry.list(BEGIN_S)
    entry.learn(READY_S, CacheChange(True, KEY, TOKENS))
    assert not entry.saves(READY_S + MOMENT_S)


def test_entry_that_has_not_listed_a_cache_store_saves_to_it() -> None:
    """A new entry has not had the events of blocks that others fetch."""
    entry = Entry()
    assert not entry.saves(READY_S)
    entry.list(READY_S)
    assert entry.saves(READY_S)


def test_entry_whose_listing_is_old_saves_to_a_cache_store() -> None:
    """The event of a block that others know from a listing was lost."""
    entry = Entry()
    entry.list(READY_S)
    assert not entry.saves(READY_S + LISTING_MAX_AGE_S + MOMENT_S)


def test_block_whose_event_was_lost_is_fetched_before_others_have_listed_it() -> None:
    """Only this entry knows the block, which the others would save anew."""
    entry = Entry()
    entry.list(BEGIN_S)
    entry.list(READY_S, KEY)
    assert not entry.fetches(READY_S + UNTOLD_S - MOMENT_S)
    assert entry.fetches(READY_S + UNTOLD_S)


def test_removed_and_saved_block_is_fetched_at_once() -> None:
    """A block was dropped; others may not know that it has been saved again."""
    entry = Entry()
    entry.list(BEGIN_S)
    entry.learn(READY_S, CacheChange(True, KEY, TOKENS))
    later_s = READY_S + SETTLING_S
    assert entry.fetches(later_s)
    entry.learn(later_s, CacheChange(False, KEY, 0), CacheChange(True, KEY, TOKENS))
    assert not entry.fetches(later_s + MOMENT_S)
