"""Chooses the runners that a prompt is compared on, where there are many.

Load pattern answered: hundreds of entries that were told the same would all find the same one of
hundreds of runners to be the least loaded.  Each compares the preferred runners of the prompt,
those that hold the most of it and a few drawn ones, which also takes the same time whatever the
fleet.
"""

import heapq
import random
from collections.abc import Sequence
from typing import Final

from filbertstream.names import rank
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.roster import RosterTarget
from filbertstream.request.placement import PlacementRequest, preference

MAX_COMPARED_ALL: Final = 12
"""Up to this many runners, all are compared."""

COMPARED_HOLDERS: Final = 3
"""Runners that hold the most of a prompt and are compared; they differ little in cost."""

COMPARED_RANDOM: Final = 7
"""Runners that are drawn for comparison: of so many, one is among the least loaded sixth in seven
cases of ten."""

PREFERRED_PER_BLOCK: Final = 4
"""Preferred runners of a part that are remembered; the next one counts while one is left out."""

PREFERRED_PARTS: Final = 20_000
"""Parts of which the preferred runners are remembered, about 4 MB."""


class Candidates:
    """Chooses the runners that a prompt is compared on, where there are many.

    The preferred runners of a part are remembered as long as the same runners are registered.
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
        """Return some of ``targets``; ``registered`` names all runners of the service."""
        if len(targets) <= MAX_COMPARED_ALL:
            return targets
        if registered is not self._registered or len(self._preferred) > PREFERRED_PARTS:
            self._registered, self._preferred = registered, {}
        by_name = {target.target_id: target for target in targets}
        names = [*self._homes(request), *_holding_most(request, index)]
        found = {name: by_name[name] for name in names if name in by_name}
        for target in self._rng.sample(targets, COMPARED_RANDOM):
            found[target.target_id] = target
        return tuple(found.values())

    def _homes(self, request: PlacementRequest) -> tuple[str, ...]:
        subject = preference(request)
        if subject is None:
            return ()
        known = self._preferred.get(subject)
        if known is None:
            ranked = heapq.nlargest(
                PREFERRED_PER_BLOCK, self._registered, key=lambda name: rank(name, subject)
            )
            known = self._preferred[subject] = tuple(ranked)
        return known


def _holding_most(request: PlacementRequest, index: CacheIndex) -> list[str]:
    """Return holders of the last shared part that is held, whose parts before it are likely too."""
    for block in reversed(request.prompt.blocks[:-1] or request.prompt.blocks):
        for namespace in request.namespaces.values():
            holders = index.holders((namespace, block.block_id))
            if holders:
                return heapq.nlargest(
                    COMPARED_HOLDERS, holders, key=lambda name: (holders[name], name)
                )
    return []
