"""Finds from where a runner can fetch the blocks of a prompt."""

from collections.abc import Mapping
from typing import NamedTuple

from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.cache_stores import CacheStores
from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import Prompt


class CacheView(NamedTuple):
    """The observed cache contents: the holders of each block, and the cache stores."""

    blocks: CacheIndex
    stores: CacheStores


class CacheSource(NamedTuple):
    """The holder to fetch a block from.

    ``tokens`` is the size of the complete block in a cache store, or 0 if the holder is a runner,
    which may have only a part of the block.
    """

    holder: str
    tokens: int


def block_sources(
    prompt: Prompt,
    target: RosterTarget,
    namespace: str,
    cache_view: CacheView,
    barred: frozenset[str],
    now_s: float,
) -> tuple[tuple[CacheSource | None, ...], int, int]:
    """Return the source of each block, the tokens to fetch, and the tokens held by the target.

    A block in a cache store gets that store as its source even if the target appears to hold it.
    The target fetches only what it lacks, and it may have evicted the block in the meantime.
    Nothing is fetched from the ``barred`` runners and cache stores.
    """
    fetch: list[CacheSource | None] = []
    fetched = held = 0
    chain_ends = False
    for block in prompt.blocks:
        key = (namespace, block.block_id)
        holders = cache_view.blocks.holders(key)
        if chain_ends or not holders:
            # A block is usable only if all blocks before it are available.
            chain_ends = True
            fetch.append(None)
            continue
        data_center = target.registration.data_center
        store = cache_view.stores.source(key, block.tokens, data_center, now_s, barred)
        source = None if store is None else CacheSource(store, block.tokens)
        if target.target_id in holders:
            held += min(block.tokens, holders[target.target_id])
        elif source is not None:
            fetched += block.tokens
        else:
            source = _runner_source(target, holders, cache_view, barred)
            if source is None:
                chain_ends = True
            else:
                fetched += min(block.tokens, holders[source.holder])
        fetch.append(source)
    return tuple(fetch), fetched, held


def _runner_source(
    target: RosterTarget,
    holders: Mapping[str, int],
    cache_view: CacheView,
    barred: frozenset[str],
) -> CacheSource | None:
    runners = [
        name
        for name in holders
        if name not in cache_view.stores.states and name != target.target_id and name not in barred
    ]
    if not runners:
        return None
    return CacheSource(max(runners, key=lambda name: (holders[name], name)), 0)


def from_preferred(
    prompt: Prompt, fetch: tuple[CacheSource | None, ...], preferred: RosterTarget
) -> tuple[CacheSource | None, ...]:
    """Fetch the shared blocks without a known holder from the preferred runner.

    It may hold them for another entry.  If it doesn't, the target loses a millisecond.
    """
    source = CacheSource(preferred.target_id, 0)
    shared = len(prompt.blocks) - 1
    return tuple(
        source if known is None and index < shared else known for index, known in enumerate(fetch)
    )
