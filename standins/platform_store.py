"""The users' object store: objects by kind with revisions, conditional writes and watches.

    GET    /objects/KIND?after=NAME             {items, has_more, as_of}
    GET    /objects/KIND?watch=REV&wait_ms=N    {events, as_of}, or 410 if REV is compacted
    GET    /objects/KIND/NAME
    POST   /objects/KIND                        409 if the object exists
    PUT    /objects/KIND/NAME                   409 if ``metadata.revision`` differs
    DELETE /objects/KIND/NAME

Faults beside the common ones: ``busy`` responds with 503 and does nothing, ``compact`` (counted)
drops the history, ``lose KIND`` (counted) carries out writes of a kind and closes the connection
without a response.  Objects of the system itself don't expire.
"""

import threading
import time
from typing import Any, Final

from standins.base import (
    DropConnection,
    Environ,
    Faults,
    Start,
    parser,
    query,
    read_json,
    reply,
    serve,
)

PAGE_OBJECTS: Final = 3
"""Small, so that listings in tests span several pages."""

WATCH_LIMIT_MS: Final = 30_000

Stored = dict[str, Any]


class ObjectStore:
    """All objects, in memory."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._changed = threading.Condition()
        self._objects: dict[str, dict[str, Stored]] = {}
        self._history: list[tuple[int, str, Stored, bool]] = []
        self._oldest = 0
        self._revision = 10
        self.counts = {"reads": 0, "writes": 0}

    def __call__(self, environ: Environ, start: Start) -> list[bytes]:
        """Serve one call."""
        if self._faults.get("busy"):
            return reply(start, 503, {"error": "busy"})
        parts = environ["PATH_INFO"].strip("/").split("/")
        method = environ["REQUEST_METHOD"]
        with self._changed:
            self.counts["reads" if method == "GET" else "writes"] += 1
            if self._faults.take("compact"):
                self._history, self._oldest = [], self._revision
            if method == "GET":
                return self._read(parts[1:], query(environ), start)
            response = self._write(method, parts[1:], read_json(environ), start)
            if self._faults.take(f"lose {parts[1]}"):
                raise DropConnection
            return response

    def _read(self, path: list[str], params: dict[str, str], start: Start) -> list[bytes]:
        objects = self._objects.get(path[0], {})
        if len(path) > 1:
            found = objects.get(path[1])
            return reply(start, 404 if found is None else 200, found)
        if "watch" in params:
            return self._watch(path[0], params, start)
        names = [name for name in sorted(objects) if name > params.get("after", "")]
        page = [objects[name] for name in names[:PAGE_OBJECTS]]
        more = len(names) > PAGE_OBJECTS
        return reply(start, 200, {"items": page, "has_more": more, "as_of": self._revision})

    def _watch(self, kind: str, params: dict[str, str], start: Start) -> list[bytes]:
        since = int(params["watch"])
        wait_s = min(WATCH_LIMIT_MS, int(params.get("wait_ms", "0"))) / 1000
        end_s = time.monotonic() + wait_s
        while True:
            if since < self._oldest:
                return reply(start, 410, {"error": "revision is compacted"})
            events = [
                {"object": item, "removed": removed}
                for revision, changed_kind, item, removed in self._history
                if revision > since and changed_kind == kind
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0 or not self._changed.wait(left_s):
                return reply(start, 200, {"events": events, "as_of": self._revision})

    def _write(self, method: str, path: list[str], body: Any, start: Start) -> list[bytes]:
        objects = self._objects.setdefault(path[0], {})
        meta = (body or {}).get("metadata") or {}
        name = path[1] if len(path) > 1 else meta["name"]
        current = objects.get(name)
        if method == "POST" and current is not None:
            return reply(start, 409, current)
        if method != "POST" and current is None:
            return reply(start, 404, None)
        expected = meta.get("revision")
        if current is not None and expected not in (None, current["metadata"]["revision"]):
            return reply(start, 409, current)
        if method == "PUT" and current is not None and _is_heartbeat(current, body):
            current["spec"] = body["spec"]
            return reply(start, 200, current)
        self._revision += 1
        if method == "DELETE":
            self._history.append((self._revision, path[0], objects.pop(name), True))
            self._changed.notify_all()
            return reply(start, 200, None)
        stored = {
            "metadata": {"name": name, "revision": self._revision, "finalizers": []},
            "spec": body["spec"],
            "status": None,
        }
        objects[name] = stored
        self._history.append((self._revision, path[0], stored, False))
        self._changed.notify_all()
        return reply(start, 200, stored)


def _is_heartbeat(current: Stored, body: Any) -> bool:
    """Whether a write changes only the heartbeat's ``seq``, which watches don't report."""
    return bool(current["spec"] | {"seq": 0} == body["spec"] | {"seq": 0})


def main() -> None:
    """Run the stand-in."""
    options = parser("stand-in for the users' object store").parse_args()
    faults = Faults()
    store = ObjectStore(faults)
    serve(options.listen, options.control, store, faults, lambda: store.counts)


if __name__ == "__main__":
    main()
