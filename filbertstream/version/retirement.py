"""Frees the blocks on cache stores that belong to replaced weight versions.

A block must not be freed while a runner fetches it, so a version is first marked as *retired* in
the record of the roll-out lease.  An entry has blocks fetched from cache stores only while its copy
of that record is recent, and each fetch has a time limit.  Once both times have passed since the
record was written, no fetch of a retired block can be in progress, and the leader frees the blocks.
"""

from collections.abc import Callable, Iterable
from typing import Final

from filbertstream.process.cache_index import BlockKey
from filbertstream.process.cache_stores import FETCH_TIMEOUT_S, CacheStores, FreeBlocks
from filbertstream.version.weights_view import MAX_FETCH_VIEW_AGE_S

FREE_AFTER_S: Final = MAX_FETCH_VIEW_AGE_S + FETCH_TIMEOUT_S + 0.3
"""The time from the retirement of a version until its blocks may be freed."""

BLOCKS_PER_CALL: Final = 400
"""Bounds the blocks freed with one call; later calls free the rest."""

MIN_STALE_BLOCKS: Final = 16
"""Fewer stale blocks than this don't justify taking the lease.

After lost cache events, a few freed blocks may still appear to be on a cache store.
"""

FREE_INTERVAL_S: Final = 0.5
"""Interval between calls to one cache store, whose events then show which blocks are left."""

FREE_TIMEOUT_MS: Final = 800
"""The cache store ignores a call that it would execute later than this."""


class Retirement:
    """Decides whether there are blocks to free, and frees them."""

    def __init__(self, stores: CacheStores, blocks_on: Callable[[str], Iterable[BlockKey]]) -> None:
        self._stores = stores
        self._blocks_on = blocks_on
        self._next_call_at_s: dict[str, float] = {}

    def has_work(self, replaced: frozenset[str]) -> bool:
        """Whether a cache store holds enough blocks of replaced weights to free them."""
        if not replaced:
            return False
        return any(
            len(self._stale_blocks(name, replaced)) >= MIN_STALE_BLOCKS
            for name in self._stores.states
        )

    def _stale_blocks(self, store: str, replaced: frozenset[str]) -> list[BlockKey]:
        return [key for key in self._blocks_on(store) if key[0] in replaced]

    def step(self, replaced: frozenset[str], now_s: float) -> list[FreeBlocks]:
        """Return the calls that are due.

        Must only be called once no stale block can be in the process of being fetched.
        """
        calls = []
        for name, state in self._stores.states.items():
            clock_ms = state.clock_ms(now_s)
            ready = now_s >= self._next_call_at_s.get(name, 0.0) and state.fetchable(now_s)
            if not ready or clock_ms is None or state.start_id is None:
                continue
            stale = self._stale_blocks(name, replaced)[:BLOCKS_PER_CALL]
            if stale:
                self._next_call_at_s[name] = now_s + FREE_INTERVAL_S
                until_ms = clock_ms + FREE_TIMEOUT_MS
                address = state.spec.address
                calls.append(FreeBlocks(name, address, state.start_id, until_ms, tuple(stale)))
        return calls
