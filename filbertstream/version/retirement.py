"""Frees the parts on stores that were made by weights which have been replaced.

A part must not be freed while a runner fetches it.  So versions are first *retired* in the duty's
record: an entry fetches from stores only while its view of that record is fresh, and the fetch must
end within a bound.  Once both times have passed since the record was written, no fetch of a retired
part can be under way, and the holder of the duty frees them.
"""

from collections.abc import Callable, Iterable
from typing import Final

from filbertstream.process.cache_index import BlockKey
from filbertstream.process.cache_stores import FETCH_TIMEOUT_S, CacheStores, FreeBlocks
from filbertstream.version.weights_view import MAX_FETCH_VIEW_AGE_S

FREE_AFTER_S: Final = MAX_FETCH_VIEW_AGE_S + FETCH_TIMEOUT_S + 0.3
"""From the retirement of a version until its parts may be freed."""

PARTS_A_CALL: Final = 400
"""Parts that are freed with one call; the rest follow."""

WORTH_FREEING: Final = 16
"""Fewer parts than this are not worth a holder; some seem to be left where events got lost."""

FREE_PAUSE_S: Final = 0.5
"""Pause between two calls to one store: its events tell what is left."""

FREE_WITHIN_MS: Final = 800
"""A call that the store carries out later than this does nothing."""


class Retirement:
    """Which versions to retire, and which parts to free."""

    def __init__(self, stores: CacheStores, parts_of: Callable[[str], Iterable[BlockKey]]) -> None:
        self._stores = stores
        self._parts_of = parts_of
        self._next_s: dict[str, float] = {}

    def has_work(self, replaced: frozenset[str]) -> bool:
        """Whether a store holds enough parts of replaced weights to be worth the work."""
        if not replaced:
            return False
        return any(
            len(self._stale(name, replaced)) >= WORTH_FREEING for name in self._stores.states
        )

    def _stale(self, store: str, replaced: frozenset[str]) -> list[BlockKey]:
        return [key for key in self._parts_of(store) if key[0] in replaced]

    def step(self, replaced: frozenset[str], now_s: float) -> list[FreeBlocks]:
        """Return the calls that are due; only called once nothing stale can be fetched."""
        calls = []
        for name, state in self._stores.states.items():
            clock_ms = state.clock_ms(now_s)
            ready = now_s >= self._next_s.get(name, 0.0) and state.fetchable(now_s)
            if not ready or clock_ms is None or state.start_id is None:
                continue
            stale = self._stale(name, replaced)[:PARTS_A_CALL]
            if stale:
                self._next_s[name] = now_s + FREE_PAUSE_S
                until_ms = clock_ms + FREE_WITHIN_MS
                address = state.spec.address
                calls.append(FreeBlocks(name, address, state.start_id, until_ms, tuple(stale)))
        return calls
