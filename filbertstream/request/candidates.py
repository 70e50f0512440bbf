"""Selects the candidate runners of a prompt in a large fleet.

Load pattern handled: hundreds of entries that have received the same load reports would all select
the same one of hundreds of runners as the least loaded.  Each entry therefore compares only the
preferred runners of the prompt, the runners that hold the most of it, and a few random ones.  This
also takes constant time whatever the size of the fleet.
"""

import heapq
import random
from collections.abc import Sequence
from typing import Final

from filbertstream.names import rank
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.roster import RosterTarget
from filbertstream.request.placement import PlacementRequest, affinity_block_id

MAX_COMPARED_ALL: Final = 12
"""Up to this many runners, all are candidates."""

COMPARED_HOLDERS: Final = 3
"""How many of the runners that hold the most of a prompt are candidates; they differ little in
cost."""

COMPARED_RANDOM: Final = 7
"""How many random runners are candidates: with 7, one of them is among the least loaded sixth in
seven cases of ten."""

PREFERRED_PER_BLOCK: Final = 4
"""How many preferred runners are cached for each block; the next one takes over while one is not
available."""

PREFERRED_CACHE_SIZE: Final = 20_000
"""Blocks whose preferred runners are cached, which takes about 4 MB."""


class Candidates:
    """Selects the candidate runners of a prompt in a large fleet.

    The preferred runners of a block are cached for as long as the set of registered runners does
    not change.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._registered: frozenset[str] = frozenset()
        self._preferred: dict[str, tuple[str, ...]] = {}

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[RosterTarget],
        registered: frozenset[str],
        index: CacheIndex,
    ) -> Sequence[RosterTarget]:
        """Return the candidates among ``targets``.

        ``registered`` contains the names of all runners of the service.
        """
        if len(targets) <= MAX_COMPARED_ALL:
            return targets
        if registered is not self._registered or len(self._preferred) > PREFERRED_CACHE_SIZE:
            self._registered, self._preferred = registered, {}
        by_name = {target.target_id: target for target in targets}
        names = [*self._preferred_names(request), *_holding_most(request, index)]
        found = {name: by_name[name] for name in names if name in by_name}
        for target in self._rng.sample(targets, COMPARED_RANDOM):
            found[target.target_id] = target
        return tuple(found.values())

    def _preferred_names(self, request: PlacementRequest) -> tuple[str, ...]:
        block_id = affinity_block_id(request)
        if block_id is None:
            return ()
        cached = self._preferred.get(block_id)
        if cached is None:
            ranked = heapq.nlargest(
                PREFERRED_PER_BLOCK, self._registered, key=lambda name: rank(name, block_id)
            )
            cached = self._preferred[block_id] = tuple(ranked)
        return cached


def _holding_most(request: PlacementRequest, index: CacheIndex) -> list[str]:
    """Return holders of the last shared block that any runner holds.

    They are likely to hold the blocks before it too.
    """
    for block in reversed(request.prompt.blocks[:-1] or request.prompt.blocks):
        for namespace in request.namespaces.values():
            holders = index.holders((namespace, block.block_id))
            if holders:
                return heapq.nlargest(
                    COMPARED_HOLDERS, holders, key=lambda name: (holders[name], name)
                )
    return []
