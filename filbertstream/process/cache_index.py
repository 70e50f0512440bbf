"""Index of the cache blocks that runners and cache stores hold, as observed by this entry.

It is fed by the prompts that this entry has sent and by the cache events of runners and cache
stores.  Events are delayed and some are lost, so an indexed block is a hint: a runner that no
longer has a block prefills it again.  Blocks on a cache store are indexed only after the store
itself has reported them complete.
"""

from collections import OrderedDict
from typing import Final

BLOCKS_LIMIT: Final = 40_000
"""Blocks in the index, about 300 bytes each; the least recently used are evicted first."""

BlockKey = tuple[str, str]
"""Namespace and block id."""


class CacheIndex:
    """Holders of cache blocks, by namespace and block id."""

    def __init__(self) -> None:
        self._holders: OrderedDict[BlockKey, dict[str, int]] = OrderedDict()
        self._by_holder: dict[str, set[BlockKey]] = {}

    def __len__(self) -> int:
        """Return the number of blocks in the index."""
        return len(self._holders)

    def add(self, holder: str, key: BlockKey, tokens: int) -> None:
        """Record that a holder has the first ``tokens`` of a block."""
        holders = self._holders.get(key)
        if holders is None:
            holders = self._holders[key] = {}
            if len(self._holders) > BLOCKS_LIMIT:
                self._evict()
        holders[holder] = tokens
        self._by_holder.setdefault(holder, set()).add(key)

    def remove(self, holder: str, key: BlockKey) -> None:
        """Record that a holder no longer has a block."""
        holders = self._holders.get(key)
        if holders is not None and holders.pop(holder, None) is not None:
            self._by_holder[holder].discard(key)
            if not holders:
                del self._holders[key]

    def forget(self, holder: str) -> None:
        """Drop all blocks of a holder that has restarted or is gone."""
        for key in self._by_holder.pop(holder, ()):
            holders = self._holders.get(key)
            if holders is not None:
                holders.pop(holder, None)
                if not holders:
                    del self._holders[key]

    def holders(self, key: BlockKey) -> dict[str, int]:
        """Return the tokens of a block by holder, and mark the block as recently used."""
        found = self._holders.get(key)
        if found is None:
            return {}
        self._holders.move_to_end(key)
        return found

    def held_by(self, holder: str) -> frozenset[BlockKey]:
        """Return the blocks of a holder."""
        return frozenset(self._by_holder.get(holder, ()))

    def _evict(self) -> None:
        key, holders = self._holders.popitem(last=False)
        for holder in holders:
            self._by_holder[holder].discard(key)
