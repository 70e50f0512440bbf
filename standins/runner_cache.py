"""The cache of the stand-in for a runner: cache blocks by namespace, with LRU eviction."""

import threading
import time
from collections import OrderedDict
from typing import Final

import urllib3

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
        self._http = urllib3.PoolManager(retries=False, timeout=TRANSFER_S)
        self.counts = {"read": 0, "cached": 0, "fetched": 0}

    def clear(self) -> None:
        """Drop all blocks."""
        with self._lock:
            self._blocks.clear()

    def read_prompt(self, environ: Environ) -> None:
        """Take each block from the cache, a cache store or prefill; save those to be saved."""
        salt = environ.get("HTTP_CACHE_SALT", "")
        items = [item for item in environ.get("HTTP_PREFIX_HASH", "").split(",") if item]
        fetches = _per_block(environ.get("HTTP_KV_FETCH", ""), len(items))
        saves = _per_block(environ.get("HTTP_KV_SAVE", ""), len(items))
        until_ms = int(environ.get("HTTP_KV_UNTIL", "0")) or None
        for item, fetch, save in zip(items, fetches, saves, strict=True):
            block_id, _, tokens = item.partition(":")
            key = (salt, block_id)
            self._read_block(key, int(tokens), fetch, until_ms)
            if save:
                url = f"http://{save}/part?salt={salt}&id={block_id}&tokens={tokens}"
                threading.Thread(target=self._transfer, args=("PUT", url), daemon=True).start()

    def _read_block(self, key: BlockKey, tokens: int, fetch: str, until_ms: int | None) -> None:
        with self._lock:
            if key in self._blocks:
                self._blocks.move_to_end(key)
                self.counts["cached"] += tokens
                return
        in_time = until_ms is None or time.monotonic() * MS < until_ms
        url = f"http://{fetch}/part?salt={key[0]}&id={key[1]}"
        fetched = bool(fetch) and in_time and self._transfer("GET", url)
        with self._lock:
            self.counts["fetched" if fetched else "read"] += tokens
            self._blocks[key] = tokens
            while sum(self._blocks.values()) > self._capacity_tokens:
                self._blocks.popitem(last=False)

    def _transfer(self, method: str, url: str) -> bool:
        try:
            return self._http.request(method, url).status == 200
        except urllib3.exceptions.HTTPError:
            # The cache store is unreachable: the block is prefilled, or not saved.
            return False


def _per_block(header: str, count: int) -> list[str]:
    """Return an address or an empty string for each block; a single item applies to all."""
    listed = [item.partition("/")[0].strip("-") for item in header.split(",")]
    return listed if len(listed) == count else [listed[0]] * count
