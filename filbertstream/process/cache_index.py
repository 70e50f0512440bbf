"""Which runner or store is believed to hold which part of a prompt.

Fed by what this entry has sent and by the cache events of runners and stores.  Events come late and
some are lost, so a holding is a hint: a runner that no longer has a part reads it again.  Parts on
a store are entered only once the store itself reported them complete.
"""

from collections import OrderedDict
from typing import Final

PARTS_LIMIT: Final = 40_000
"""Parts that are remembered; the ones unused for longest go first (about 300 bytes each)."""

BlockKey = tuple[str, str]
"""Namespace and part id."""


class CacheIndex:
    """Holders of parts, by namespace and part id."""

    def __init__(self) -> None:
        self._holders: OrderedDict[BlockKey, dict[str, int]] = OrderedDict()
        self._by_holder: dict[str, set[BlockKey]] = {}

    def __len__(self) -> int:
        """Return the number of parts that are remembered."""
        return len(self._holders)

    def add(self, holder: str, key: BlockKey, tokens: int) -> None:
        """Note that a holder has the first ``tokens`` of a part."""
        holders = self._holders.get(key)
        if holders is None:
            holders = self._holders[key] = {}
            if len(self._holders) > PARTS_LIMIT:
                self._evict()
        holders[holder] = tokens
        self._by_holder.setdefault(holder, set()).add(key)

    def remove(self, holder: str, key: BlockKey) -> None:
        """Note that a holder no longer has a part."""
        holders = self._holders.get(key)
        if holders is not None and holders.pop(holder, None) is not None:
            self._by_holder[holder].discard(key)
            if not holders:
                del self._holders[key]

    def forget(self, holder: str) -> None:
        """Drop all that is known of a holder: it restarted, or is gone."""
        for key in self._by_holder.pop(holder, ()):
            holders = self._holders.get(key)
            if holders is not None:
                holders.pop(holder, None)
                if not holders:
                    del self._holders[key]

    def holders(self, key: BlockKey) -> dict[str, int]:
        """Return the tokens of a part by holder."""
        found = self._holders.get(key)
        if found is None:
            return {}
        self._holders.move_to_end(key)
        return found

    def held_by(self, holder: str) -> frozenset[BlockKey]:
        """Return the parts that a holder has."""
        return frozenset(self._by_holder.get(holder, ()))

    def _evict(self) -> None:
        key, holders = self._holders.popitem(last=False)
        for holder in holders:
            self._by_holder[holder].discard(key)
