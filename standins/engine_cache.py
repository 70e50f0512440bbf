"""The engine stand-in's prefix cache: limited, by piece, filled by computing or from a store."""

import hashlib
import itertools
import threading
from collections import OrderedDict, deque
from typing import NamedTuple

import urllib3

from standins.base import Faults


class Block(NamedTuple):
    """A cached piece: the weight version that made it, and the first piece of its chain."""

    version: str
    root: str


class PrefixCache:
    """Cached pieces, longest unused first."""

    def __init__(self, capacity: int, faults: Faults, pool: urllib3.PoolManager) -> None:
        self.capacity = capacity
        self.imported = 0
        self._faults = faults
        self._pool = pool
        self._lock = threading.Lock()
        self._cache: OrderedDict[str, Block] = OrderedDict()
        self._evicted: deque[dict[str, str]] = deque(maxlen=1_000)

    def take_evicted(self) -> list[dict[str, str]]:
        """Return the evictions since the last call."""
        with self._lock:
            evicted = list(self._evicted)
            self._evicted.clear()
        return evicted

    def leading(self, names: list[str], version: str) -> int:
        """Return how many of the first pieces are here."""
        with self._lock:
            held = itertools.takewhile(lambda name: self._holds_locked(name, version), names)
            return sum(1 for _ in held)

    def holds(self, name: str, version: str) -> bool:
        """Whether a piece made by a weight version is here."""
        with self._lock:
            return self._holds_locked(name, version)

    def _holds_locked(self, name: str, version: str) -> bool:
        block = self._cache.get(name)
        return block is not None and block.version == version

    def import_missing(
        self, names: list[str], cached: int, hints: list[dict[str, str]], version: str
    ) -> int:
        """Fetch pieces that follow the cached ones; a missing or torn one ends the import."""
        places = {hint["piece"]: hint["from"] for hint in hints}
        imported = 0
        for name in names[cached:]:
            if name not in places or not self._fetch(name, places[name]):
                break
            imported += 1
            with self._lock:
                self._cache[name] = Block(version, names[0])
                self.imported += 1
        return imported

    def _fetch(self, name: str, address: str) -> bool:
        try:
            resp = self._pool.request("GET", f"{address}/v1/pieces/{name}")
        except urllib3.exceptions.HTTPError:
            return False
        digest = hashlib.blake2b(resp.data, digest_size=16).hexdigest()
        return resp.status == 200 and digest == resp.headers.get("X-Digest")

    def keep(self, names: list[str], version: str) -> None:
        """Keep pieces; the longest unused go, and the events of that may get lost."""
        with self._lock:
            self._keep_locked(names, version)

    def _keep_locked(self, names: list[str], version: str) -> None:
        for name in names:
            self._cache[name] = Block(version, names[0])
            self._cache.move_to_end(name)
        while len(self._cache) > self.capacity:
            name, block = self._cache.popitem(last=False)
            if not self._faults.take("drop_events"):
                self._evicted.append({"name": name, "root": block.root})
