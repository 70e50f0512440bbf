"""A cache store on the users' platform: cache blocks by namespace, events, listings, frees.

    GET  /kv-events?since=N     changes after N; with ``Wait-Ms`` it waits for the next change
    GET  /kv-list               all complete blocks
    POST /kv-free               frees blocks; 409 after a restart or past ``until_ms``
    PUT  /part?salt=S&id=I&tokens=N   a runner saves a block
    GET  /part?salt=S&id=I      a runner fetches a block; 404 is a miss

Faults beside the common ones: ``torn`` (counted) leaves a saved block partly written, ``full``
rejects new blocks.  ``/counts`` returns saves, fetches, misses and frees.
"""

import threading
import time
from typing import Any, Final

from standins.base import Environ, Faults, Start, parser, query, read_json, reply, serve

MS: Final = 1_000


class CacheStore:
    """All cache blocks, in memory."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._changed = threading.Condition()
        self._blocks: dict[tuple[str, str], int] = {}
        self._partial: dict[tuple[str, str], int] = {}
        self._events: list[list[Any]] = []
        self._boot = time.time_ns() // 1_000_000
        self.counts = {"saved": 0, "torn": 0, "fetched": 0, "missed": 0, "freed": 0}

    def __call__(self, environ: Environ, start: Start) -> list[bytes]:
        """Serve one call."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path == "/kv-events":
            return self._watch(environ, start)
        with self._changed:
            if path == "/kv-list":
                held = [[*key, tokens, ""] for key, tokens in self._blocks.items()]
                partial = [[*key, 0, tokens] for key, tokens in self._partial.items()]
                fields = {"boot_epoch": self._boot, "next": len(self._events)}
                return reply(start, 200, {**fields, "held": held, "partial": partial})
            if path == "/kv-free":
                return self._free(read_json(environ), start)
            params = query(environ)
            key = (params["salt"], params["id"])
            if method == "PUT":
                return self._save(key, int(params["tokens"]), start)
            found = key in self._blocks
            self.counts["fetched" if found else "missed"] += 1
            return reply(start, 200 if found else 404, None)

    def _save(self, key: tuple[str, str], tokens: int, start: Start) -> list[bytes]:
        if self._faults.get("full") or key in self._blocks:
            return reply(start, 200, None)
        if self._faults.take("torn"):
            self._partial[key] = tokens
            self.counts["torn"] += 1
            return reply(start, 200, None)
        self._blocks[key] = tokens
        self.counts["saved"] += 1
        self._add_event("+", key, tokens)
        return reply(start, 200, None)

    def _add_event(self, sign: str, key: tuple[str, str], tokens: int) -> None:
        self._events.append([len(self._events) + 1, sign, *key, tokens, ""])
        self._changed.notify_all()

    def _free(self, params: Any, start: Start) -> list[bytes]:
        if params.get("boot_epoch") not in (None, self._boot):
            return reply(start, 409, None)
        until_ms = params.get("until_ms")
        if until_ms is not None and until_ms < time.monotonic() * MS:
            return reply(start, 409, None)
        for salt, block_id in params["parts"]:
            tokens = self._blocks.pop((salt, block_id), None)
            self._partial.pop((salt, block_id), None)
            if tokens is not None:
                self.counts["freed"] += 1
                self._add_event("-", (salt, block_id), tokens)
        return reply(start, 200, None)

    def _watch(self, environ: Environ, start: Start) -> list[bytes]:
        since = int(query(environ).get("since", "0"))
        end_s = time.monotonic() + int(environ.get("HTTP_WAIT_MS", "0")) / MS
        with self._changed:
            while len(self._events) <= since:
                left_s = end_s - time.monotonic()
                if left_s <= 0 or not self._changed.wait(left_s):
                    break
            events = self._events[since:]
            fields = {"boot_epoch": self._boot, "next": len(self._events), "lost": False}
            clock_ms = time.monotonic() * MS
            return reply(start, 200, {**fields, "events": events, "clock_ms": clock_ms})


def main() -> None:
    """Run the stand-in."""
    options = parser("stand-in for a cache store").parse_args()
    faults = Faults()
    store = CacheStore(faults)
    serve(options.listen, options.control, store, faults, lambda: store.counts)


if __name__ == "__main__":
    main()
