"""The cache of the stand-in for a runner: parts by namespace, least recently used dropped first."""

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
    """What a runner keeps, and how it fetches and saves parts."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._lock = threading.Lock()
        self._parts: OrderedDict[BlockKey, int] = OrderedDict()
        self._http = urllib3.PoolManager(retries=False, timeout=TRANSFER_S)
        self.counts = {"read": 0, "cached": 0, "fetched": 0}

    def clear(self) -> None:
        """Drop everything."""
        with self._lock:
            self._parts.clear()

    def take_in(self, environ: Environ) -> None:
        """Read a prompt: from the cache, from a store, or anew; save what is asked for."""
        salt = environ.get("HTTP_CACHE_SALT", "")
        items = [item for item in environ.get("HTTP_PREFIX_HASH", "").split(",") if item]
        fetches = _per_part(environ.get("HTTP_KV_FETCH", ""), len(items))
        saves = _per_part(environ.get("HTTP_KV_SAVE", ""), len(items))
        until_ms = int(environ.get("HTTP_KV_UNTIL", "0")) or None
        for item, fetch, save in zip(items, fetches, saves, strict=True):
            block_id, _, tokens = item.partition(":")
            key = (salt, block_id)
            self._read(key, int(tokens), fetch, until_ms)
            if save:
                url = f"http://{save}/part?salt={salt}&id={block_id}&tokens={tokens}"
                threading.Thread(target=self._transfer, args=("PUT", url), daemon=True).start()

    def _read(self, key: BlockKey, tokens: int, fetch: str, until_ms: int | None) -> None:
        with self._lock:
            if key in self._parts:
                self._parts.move_to_end(key)
                self.counts["cached"] += tokens
                return
        in_time = until_ms is None or time.monotonic() * MS < until_ms
        url = f"http://{fetch}/part?salt={key[0]}&id={key[1]}"
        fetched = bool(fetch) and in_time and self._transfer("GET", url)
        with self._lock:
            self.counts["fetched" if fetched else "read"] += tokens
            self._parts[key] = tokens
            while sum(self._parts.values()) > self._capacity_tokens:
                self._parts.popitem(last=False)

    def _transfer(self, method: str, url: str) -> bool:
        try:
            return self._http.request(method, url).status == 200
        except urllib3.exceptions.HTTPError:
            # A store that is gone: the part is read anew, or not saved.
            return False


def _per_part(header: str, count: int) -> list[str]:
    """Return an address for each part, or nothing; one address stands for all parts."""
    listed = [item.partition("/")[0].strip("-") for item in header.split(",")]
    return listed if len(listed) == count else [listed[0]] * count
