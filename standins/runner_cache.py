"""The cache of the stand-in for a runner: cache blocks by namespace, with LRU eviction.

It remembers the tenant whose request made each block.
"""

import threading
import time
from collections import OrderedDict
from typing import Final

import msgspec
import urllib3

from standins.arrivals import mark_used
from standins.base import Environ

TRANSFER_S: Final = 1.0
MS: Final = 1_000

BlockKey = tuple[str, str]


class RunnerCache:
    """The blocks that a runner has cached, and the transfers from and to cache stores."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._lock = threading.Lock()
        self._blocks: OrderedDict[BlockKey, int] = OrderedDict()
        self._makers: dict[BlockKey, str | None] = {}
        self._http = urllib3.PoolManager(retries=False, timeout=TRANSFER_S)
        self.counts = {"read": 0, "cached": 0, "fetched": 0}

    def clear(self) -> None:
        """Drop all blocks."""
        with self._lock:
            self._blocks.clear()

    def maker(self, key: BlockKey) -> list[str | None]:
        """Return the tenant whose request made a block, or nothing if it is not cached."""
        with self._lock:
            return [self._makers.get(key)] if key in self._blocks else []

    def read_prompt(self, environ: Environ) -> None:
        """Take each block from the cache, a cache store or prefill; save those to be saved."""
        salt = environ.get("HTTP_CACHE_SALT", "")
        items = [item for item in environ.get("HTTP_PREFIX_HASH", "").split(",") if item]
        fetches = _per_block(environ.get("HTTP_KV_FETCH", ""), len(items))
        saves = _per_block(environ.get("HTTP_KV_SAVE", ""), len(items))
        until_ms = int(environ.get("HTTP_KV_UNTIL", "0")) or None
        tenant, used = environ.get("HTTP_TENANT"), []
        for item, fetch, save in zip(items, fetches, saves, strict=True):
            block_id, _, tokens = item.partition(":")
            key = (salt, block_id)
            found = self._read_block(key, int(tokens), fetch, until_ms, tenant)
            used += [(block_id, maker) for maker in found if maker != tenant]
            if save:
                url = f"http://{save}/part?salt={salt}&id={block_id}&tokens={tokens}"
                threading.Thread(target=self._transfer, args=("PUT", url), daemon=True).start()
        if used:
            mark_used(environ, tenant, used)

    def _read_block(
        self, key: BlockKey, tokens: int, fetch: str, until_ms: int | None, tenant: str | None
    ) -> list[str | None]:
        """Cache a block; return the tenant that made it, or nothing if it had to be prefilled."""
        with self._lock:
            if key in self._blocks:
                self._blocks.move_to_end(key)
                self.counts["cached"] += tokens
                return [self._makers.get(key)]
        in_time = until_ms is None or time.monotonic() * MS < until_ms
        url = f"http://{fetch}/part?salt={key[0]}&id={key[1]}"
        body = self._transfer("GET", url) if fetch and in_time else None
        with self._lock:
            self.counts["read" if body is None else "fetched"] += tokens
            self._blocks[key] = tokens
            # A cache store doesn't tell who made a block.
            made_by = msgspec.json.decode(body) if body else []
            self._makers[key] = made_by[0] if made_by else tenant
            while sum(self._blocks.values()) > self._capacity_tokens:
                evicted, _ = self._blocks.popitem(last=False)
                self._makers.pop(evicted, None)
        return made_by[:1]

    def _transfer(self, method: str, url: str) -> bytes | None:
        """Return the body of a successful response, or None."""
        try:
            resp = self._http.request(method, url)
        except urllib3.exceptions.HTTPError:
            # The holder is unreachable: the block is prefilled, or not saved.
            return None
        return resp.data if resp.status == 200 else None


def _per_block(header: str, count: int) -> list[str]:
    """Return an address or an empty string for each block; a single item applies to all."""
    listed = [item.partition("/")[0].strip("-") for item in header.split(",")]
    return listed if len(listed) == count else [listed[0]] * count
