"""A store VM for kept cache: staging, publishing, pins, a limited link, memory and disk.

    PUT    /v1/staging/NAME      bytes of a piece under a name of their own
    POST   /v1/publish           {"staging", "name", "root", "index", "digest", "length"}: checked
    GET    /v1/pieces            {"pieces": [{"name", "root"}], "full"}
    GET    /v1/pieces/NAME       bytes, with X-Digest; pinned while they are sent
    DELETE /v1/pieces/NAME       unpublish; freed once the last pin's deadline is over

Faults besides those of ``standins.base``: ``full`` refuses new bytes, ``torn`` cuts this many
staged pieces in half, ``link_slow`` divides the link's rate.
"""

import hashlib
import threading
import time
from typing import Any, Final, NamedTuple

from standins.base import Environ, Faults, Start, parser, read, read_json, reply, serve

LINK_BYTES_PER_S: Final = 100e6
MEMORY_BYTES: Final = 64_000_000
DISK_BYTES: Final = 256_000_000
DISK_DELAY_S: Final = 0.002
PIN_S: Final = 5.0
FULL_SHARE: Final = 0.95


class Piece(NamedTuple):
    """A published piece."""

    root: str
    data: bytes
    digest: str


class Store:
    """Staged and published pieces."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._lock = threading.Lock()
        self._link_free_s = 0.0
        self._staged: dict[str, bytes] = {}
        self._pieces: dict[str, Piece] = {}
        self._pinned_until_s: dict[str, float] = {}
        self.counts = {"published": 0, "refused": 0, "served": 0}

    def __call__(self, environ: Environ, start: Start) -> list[bytes]:
        """Serve one call."""
        parts = environ["PATH_INFO"].strip("/").split("/")
        method = environ["REQUEST_METHOD"]
        if method == "PUT" and parts[1] == "staging":
            return self._stage(parts[2], read(environ), start)
        if method == "POST" and parts[1] == "publish":
            return self._publish(read_json(environ), start)
        if method == "GET" and len(parts) == 2:
            return self._list(start)
        if method == "GET":
            return self._serve(parts[2], start)
        return self._unpublish(parts[2], start)

    def _use_link(self, length: int) -> None:
        """Wait as long as the bytes take on the link, behind those before them."""
        rate = LINK_BYTES_PER_S / max(1.0, self._faults.get("link_slow"))
        with self._lock:
            begin_s = max(time.monotonic(), self._link_free_s)
            self._link_free_s = begin_s + length / rate
            wait_s = self._link_free_s - time.monotonic()
        time.sleep(max(0.0, wait_s))

    def _used(self) -> int:
        return sum(len(piece.data) for piece in self._pieces.values()) + sum(
            len(data) for data in self._staged.values()
        )

    def _is_full(self, more: int) -> bool:
        room = FULL_SHARE * (MEMORY_BYTES + DISK_BYTES)
        return bool(self._faults.get("full")) or self._used() + more > room

    def _stage(self, name: str, data: bytes, start: Start) -> list[bytes]:
        with self._lock:
            full = self._is_full(len(data))
        if full:
            return reply(start, 507, {"error": "full"})
        self._use_link(len(data))
        if self._faults.take("torn"):
            data = data[: len(data) // 2]
        with self._lock:
            self._staged[name] = data
        return reply(start, 200, {"length": len(data)})

    def _publish(self, asked: dict[str, Any], start: Start) -> list[bytes]:
        with self._lock:
            data = self._staged.pop(asked["staging"], b"")
            digest = hashlib.blake2b(data, digest_size=16).hexdigest()
            if len(data) != asked["length"] or digest != asked["digest"]:
                self.counts["refused"] += 1
                return reply(start, 409, {"error": "not the bytes that were announced"})
            self._pieces.setdefault(asked["name"], Piece(asked["root"], data, digest))
            self.counts["published"] += 1
        return reply(start, 200, {"name": asked["name"]})

    def _list(self, start: Start) -> list[bytes]:
        with self._lock:
            rows = [{"name": name, "root": piece.root} for name, piece in self._pieces.items()]
            full = self._is_full(0)
        return reply(start, 200, {"pieces": rows, "full": full})

    def _serve(self, name: str, start: Start) -> list[bytes]:
        with self._lock:
            piece = self._pieces.get(name)
            on_disk = self._used() > MEMORY_BYTES
            if piece is not None:
                self._pinned_until_s[name] = time.monotonic() + PIN_S
                self.counts["served"] += 1
        if piece is None:
            return reply(start, 404, {"error": "no such piece"})
        if on_disk:
            time.sleep(DISK_DELAY_S)
        self._use_link(len(piece.data))
        headers = [("Content-Length", str(len(piece.data))), ("X-Digest", piece.digest)]
        start("200 OK", headers)
        return [piece.data]

    def _unpublish(self, name: str, start: Start) -> list[bytes]:
        with self._lock:
            if time.monotonic() < self._pinned_until_s.get(name, 0.0):
                return reply(start, 409, {"error": "pinned"})
            self._pieces.pop(name, None)
        return reply(start, 200, {})


def main() -> None:
    """Run the stand-in."""
    options = parser("stand-in for a store VM").parse_args()
    faults = Faults()
    app = Store(faults)
    serve(options.listen, options.control, app, faults, lambda: app.counts)


if __name__ == "__main__":
    main()
