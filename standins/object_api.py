"""The platform's object API: versions, conditional updates, watches, rates, and a count of calls.

    GET    /v1/objects/KIND?after=NAME&limit=N   objects in the order of their names
    GET    /v1/objects/KIND/NAME
    PUT    /v1/objects/KIND/NAME                 If-None-Match: * or If-Match: VERSION
    DELETE /v1/objects/KIND/NAME                 If-Match: VERSION
    GET    /v1/watch/KIND?since=VERSION&wait_s=S changes after a version; counts as one call

Writes and reads over the rate get 429 and are not applied.
"""

import base64
import threading
import time
from typing import Final, NamedTuple

from standins.base import Environ, Faults, Start, parser, query, read, reply, serve

WRITES_PER_S: Final = 300.0
READS_PER_S: Final = 2_000.0
VALUE_LIMIT_BYTES: Final = 1_000_000
WATCH_LIMIT_S: Final = 10.0


class Stored(NamedTuple):
    """One object."""

    version: int
    value: bytes


class Rate:
    """A token bucket of one second."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._tokens = per_s
        self._at_s = time.monotonic()

    def take(self) -> bool:
        """Whether one more call is within the rate."""
        now_s = time.monotonic()
        self._tokens = min(self.per_s, self._tokens + (now_s - self._at_s) * self.per_s)
        self._at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ObjectApi:
    """All objects, in memory: the platform outlives everything that the tests kill."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, dict[str, Stored]] = {}
        self._version = 0
        self._writes = Rate(WRITES_PER_S)
        self._reads = Rate(READS_PER_S)
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "throttled": 0}

    def __call__(self, environ: Environ, start: Start) -> list[bytes]:
        """Serve one call."""
        parts = environ["PATH_INFO"].strip("/").split("/")
        method = environ["REQUEST_METHOD"]
        with self._changed:
            rate = self._reads if method == "GET" else self._writes
            if not rate.take():
                self.counts["throttled"] += 1
                return reply(start, 429, {"error": "over the rate"})
            self.counts["reads" if method == "GET" else "writes"] += 1
            if parts[1] == "watch":
                return self._watch(parts[2], environ, start)
            if len(parts) == 3:
                return self._list(parts[2], environ, start)
            if method == "GET":
                return self._get(parts[2], parts[3], start)
            return self._write(parts[2], parts[3], method, environ, start)

    def _list(self, kind: str, environ: Environ, start: Start) -> list[bytes]:
        asked = query(environ)
        names = sorted(self._objects.get(kind, {}))
        after = asked.get("after", "")
        chosen = [name for name in names if name > after][: int(asked.get("limit", "500"))]
        rows = [_row(name, self._objects[kind][name]) for name in chosen]
        return reply(start, 200, {"objects": rows, "version": self._version})

    def _get(self, kind: str, name: str, start: Start) -> list[bytes]:
        stored = self._objects.get(kind, {}).get(name)
        if stored is None:
            return reply(start, 404, {"error": "no such object"})
        return reply(start, 200, _row(name, stored))

    def _write(
        self, kind: str, name: str, method: str, environ: Environ, start: Start
    ) -> list[bytes]:
        objects = self._objects.setdefault(kind, {})
        present = objects.get(name)
        expected = environ.get("HTTP_IF_MATCH")
        holds = (
            present is None if expected is None else str(present and present.version) == expected
        )
        if not holds:
            return reply(start, 412, {"error": "not the expected version"})
        value = read(environ)
        if len(value) > VALUE_LIMIT_BYTES:
            return reply(start, 413, {"error": "value too large"})
        self._version += 1
        if method == "DELETE":
            objects.pop(name, None)
        else:
            objects[name] = Stored(self._version, value)
        self._changed.notify_all()
        return reply(start, 200, {"version": self._version})

    def _watch(self, kind: str, environ: Environ, start: Start) -> list[bytes]:
        self.counts["watches"] += 1
        asked = query(environ)
        since = int(asked.get("since", "0"))
        wait_s = min(WATCH_LIMIT_S, float(asked.get("wait_s", "5")))
        end_s = time.monotonic() + wait_s
        rows: list[dict[str, object]] = []
        while not rows:
            objects = self._objects.get(kind, {})
            rows = [_row(n, item) for n, item in sorted(objects.items()) if item.version > since]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0 or not self._changed.wait(left_s):
                break
        return reply(start, 200, {"objects": rows, "version": self._version})


def _row(name: str, stored: Stored) -> dict[str, object]:
    value = base64.b64encode(stored.value).decode()
    return {"name": name, "version": stored.version, "value": value}


def main() -> None:
    """Run the stand-in."""
    options = parser("stand-in for the platform's object API").parse_args()
    api = ObjectApi()
    serve(options.listen, options.control, api, Faults(), lambda: api.counts)


if __name__ == "__main__":
    main()
