"""How blocks of a cache store are fetched and saved, by what other entries may know.

Failure guarded against: after a restart that no entry has observed yet, one entry lets a runner
fetch a block that another, which never knew it, is just saving.
"""

import random

from filbertstream.process.cache_index import BlockKey, CacheIndex
from filbertstream.process.cache_stores import (
    EVENT_PAUSE_S,
    FETCH_TIMEOUT_S,
    LISTING_MAX_AGE_S,
    NEW_BLOCK_FETCH_TIMEOUT_S,
    SAVE_HOLDOFF_S,
    SETTLING_S,
    UNTOLD_S,
    CacheBlocksListed,
    CacheChange,
    CacheEventsFailed,
    CacheEventsReceived,
    CacheStores,
)
from tests.gateway_world import STORE

KEY: BlockKey = ("names", "block")
TOKENS = 1_000
BEGIN_S = 100.0
READY_S = BEGIN_S + SAVE_HOLDOFF_S + 1.0
MOMENT_S = 0.01
CLOCK_MS = 5_000
START_S = 0.5
"""The least time in which a cache store starts again."""


class Entry:
    """What one entry knows of a cache store."""

    def __init__(self) -> None:
        self.stores = CacheStores(CacheIndex(), random.Random(1))
        self.stores.configure([("keep", STORE)])
        self.learn(BEGIN_S)

    def learn(self, at_s: float, *changes: CacheChange, start_id: int = 1) -> None:
        self.stores.on_events(
            CacheEventsReceived("keep", at_s, at_s, start_id, 0, CLOCK_MS, tuple(changes))
        )

    def list(self, at_s: float, *keys: BlockKey) -> None:
        held = tuple((key, TOKENS) for key in keys)
        self.stores.on_listed(CacheBlocksListed("keep", at_s, 1, 0, held, 0), at_s)

    def limit_s(self, at_s: float) -> float:
        """Return the time limit of a fetch that begins now."""
        self.learn(at_s)
        assert self.stores.source(KEY, TOKENS, "dc1", at_s) is not None
        until_ms = self.stores.fetch_until_ms([KEY], at_s)
        assert until_ms is not None
        return (until_ms - CLOCK_MS) / 1000

    def saves(self, at_s: float) -> bool:
        self.learn(at_s)
        return self.stores.save_to(KEY, TOKENS, at_s) is not None


def test_fetch_of_a_new_block_lasts_until_its_store_is_back() -> None:
    """Another entry that has not had the event saves the block anew, and its runner begins late."""
    entry = Entry()
    entry.list(BEGIN_S)
    entry.learn(READY_S, CacheChange(True, KEY, TOKENS))
    assert entry.limit_s(READY_S + SETTLING_S - MOMENT_S) == NEW_BLOCK_FETCH_TIMEOUT_S
    assert entry.limit_s(READY_S + SETTLING_S) == FETCH_TIMEOUT_S
    assert EVENT_PAUSE_S + NEW_BLOCK_FETCH_TIMEOUT_S <= START_S


def test_store_is_used_after_an_event_call_has_failed() -> None:
    """A restart has cut the call; the next response may be that of an empty store."""
    entry = Entry()
    entry.list(BEGIN_S)
    entry.learn(READY_S, CacheChange(True, KEY, TOKENS))
    entry.stores.on_events_failed(CacheEventsFailed("keep"), READY_S)
    other = ("names", "other")
    assert entry.stores.source(KEY, TOKENS, "dc1", READY_S) is None
    assert entry.stores.save_to(other, TOKENS, READY_S) is None
    entry.learn(READY_S + MOMENT_S)
    assert entry.stores.source(KEY, TOKENS, "dc1", READY_S + MOMENT_S) is not None
    assert entry.stores.save_to(other, TOKENS, READY_S + MOMENT_S) is not None


def test_known_block_is_saved_again() -> None:
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


def test_fetch_of_a_block_whose_event_was_lost_lasts_until_its_store_is_back() -> None:
    """Only this entry knows the block, which the others would save anew."""
    entry = Entry()
    entry.list(BEGIN_S)
    entry.list(READY_S, KEY)
    assert entry.limit_s(READY_S + UNTOLD_S - MOMENT_S) == NEW_BLOCK_FETCH_TIMEOUT_S
    assert entry.limit_s(READY_S + UNTOLD_S) == FETCH_TIMEOUT_S


def test_fetch_of_a_block_that_was_saved_again_lasts_until_its_store_is_back() -> None:
    """A block was dropped; others may not know that it has been saved again."""
    entry = Entry()
    entry.list(BEGIN_S)
    entry.learn(READY_S, CacheChange(True, KEY, TOKENS))
    later_s = READY_S + SETTLING_S
    assert entry.limit_s(later_s) == FETCH_TIMEOUT_S
    entry.learn(later_s, CacheChange(False, KEY, 0), CacheChange(True, KEY, TOKENS))
    assert entry.limit_s(later_s + MOMENT_S) == NEW_BLOCK_FETCH_TIMEOUT_S


def test_records_of_settled_blocks_are_kept_for_ever() -> None:
    """Blocks are stored all the time, and most are never fetched or removed."""
    entry = Entry()
    for number in range(1_000):
        key = ("names", f"block {number}")
        entry.learn(READY_S + number * MOMENT_S, CacheChange(True, key, TOKENS))
    state = entry.stores.states["keep"]
    assert len(state.settles_at_s) <= SETTLING_S / MOMENT_S + 1
