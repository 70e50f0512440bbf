"""The users' object store: objects by kind with revisions, conditional writes and watches.

    GET    /objects/KIND?after=NAME             {items, has_more, as_of}
    GET    /objects/KIND?watch=REV&wait_ms=N    {events, as_of}, or 410 if REV is compacted
    GET    /objects/KIND/NAME
    POST   /objects/KIND                        409 if the object exists
    PUT    /objects/KIND/NAME                   409 if ``metadata.revision`` differs
    DELETE /objects/KIND/NAME

Faults beside the common ones: ``busy`` responds with 503 and does nothing, ``compact`` (counted)
drops the history, ``lose KIND`` (counted) carries out writes of a kind and closes the connection
without a response, ``delay KIND`` carries out changes of a kind's objects after that time, ``slow
KIND`` carries out reads of a kind after that time.  Objects of the system itself don't expire.

``restore`` brings the store back from a copy of that age in seconds, after it was away for
``restore_away_s``.  Revisions continue from the copy's, ``Store-Era`` of all responses rises by
one, and what operators wrote since the copy is written again ``rewrite_s`` after the return; the
targets renew their own registrations, and what the system wrote is lost.  With ``keep_history`` a
watch from a revision of the old history is accepted as soon as the new one has reached it.
"""

import threading
import time
from typing import Any, Final, NamedTuple

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

OPERATORS_KINDS: Final = ("config", "versions")
RESTORE_CHECK_S: Final = 0.02

Stored = dict[str, Any]


class _Write(NamedTuple):
    """A write with the revision and time at which it was done; ``stored`` is None if removed."""

    at_s: float
    revision: int
    kind: str
    name: str
    stored: Stored | None


class ObjectStore:
    """All objects, in memory."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._changed = threading.Condition()
        self._objects: dict[str, dict[str, Stored]] = {}
        self._history: list[tuple[int, str, Stored, bool]] = []
        self._oldest = 0
        self._revision = 10
        self._era = 1
        self._away_until_s = 0.0
        self._writes: list[_Write] = []
        self.counts = {"reads": 0, "writes": 0}

    def __call__(self, environ: Environ, start: Start) -> list[bytes]:
        """Serve one call; every response names the era."""
        if self._is_away:
            raise DropConnection

        def start_in_era(status: str, headers: list[tuple[str, str]]) -> Any:
            return start(status, [*headers, ("Store-Era", str(self._era))])

        return self._respond(environ, start_in_era)

    @property
    def _is_away(self) -> bool:
        return time.monotonic() < self._away_until_s

    def restore_when_asked(self) -> None:
        """Restore the store each time the fault is set, until the process is ended."""
        while True:
            time.sleep(RESTORE_CHECK_S)
            age_s = self._faults.get("restore")
            if age_s:
                away_s, rewrite_s = self._faults.get("restore_away_s"), self._faults.get(
                    "rewrite_s"
                )
                self._faults.put({"restore": 0.0})
                self._restore(age_s, away_s, rewrite_s)

    def _restore(self, age_s: float, away_s: float, rewrite_s: float) -> None:
        with self._changed:
            before = {kind: dict(objects) for kind, objects in self._objects.items()}
            copy_s = time.monotonic() - age_s
            self._writes = [write for write in self._writes if write.at_s <= copy_s]
            self._objects = {}
            for write in self._writes:
                objects = self._objects.setdefault(write.kind, {})
                if write.stored is None:
                    objects.pop(write.name, None)
                else:
                    objects[write.name] = write.stored
            self._revision = max((write.revision for write in self._writes), default=self._oldest)
            self._history = [item for item in self._history if item[0] <= self._revision]
            restored_to = self._revision
            self._era += 1
            self._away_until_s = time.monotonic() + away_s
            self._changed.notify_all()
        threading.Timer(away_s + rewrite_s, self._write_again, (before, restored_to)).start()

    def _write_again(self, before: dict[str, dict[str, Stored]], restored_to: int) -> None:
        """Write what operators had written when the store went away, unless they did so since."""
        with self._changed:
            for kind in OPERATORS_KINDS:
                for name, stored in before.get(kind, {}).items():
                    present = self._objects.get(kind, {}).get(name)
                    written_since = present and present["metadata"]["revision"] > restored_to
                    if not written_since and (present is None or present["spec"] != stored["spec"]):
                        self._put(kind, name, stored["spec"])

    def _respond(self, environ: Environ, start: Start) -> list[bytes]:
        if self._faults.get("busy"):
            return reply(start, 503, {"error": "busy"})
        parts = environ["PATH_INFO"].strip("/").split("/")
        method = environ["REQUEST_METHOD"]
        if method == "PUT":
            time.sleep(self._faults.get(f"delay {parts[1]}"))
        if method == "GET":
            time.sleep(self._faults.get(f"slow {parts[1]}"))
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
            if self._is_away:
                raise DropConnection
            known = since <= self._revision or self._faults.get("keep_history")
            if since < self._oldest or not known:
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
        if method == "DELETE":
            self._revision += 1
            self._record(path[0], name, objects.pop(name), True)
            return reply(start, 200, None)
        return reply(start, 200, self._put(path[0], name, body["spec"]))

    def _put(self, kind: str, name: str, spec: Any) -> Stored:
        self._revision += 1
        stored = {
            "metadata": {"name": name, "revision": self._revision, "finalizers": []},
            "spec": spec,
            "status": None,
        }
        self._objects.setdefault(kind, {})[name] = stored
        self._record(kind, name, stored, False)
        return stored

    def _record(self, kind: str, name: str, stored: Stored, removed: bool) -> None:
        self._history.append((self._revision, kind, stored, removed))
        present = None if removed else stored
        self._writes.append(_Write(time.monotonic(), self._revision, kind, name, present))
        self._changed.notify_all()


def _is_heartbeat(current: Stored, body: Any) -> bool:
    """Whether a write changes only the heartbeat's ``seq``, which watches don't report."""
    return bool(current["spec"] | {"seq": 0} == body["spec"] | {"seq": 0})


def main() -> None:
    """Run the stand-in."""
    options = parser("stand-in for the users' object store").parse_args()
    faults = Faults()
    store = ObjectStore(faults)
    threading.Thread(target=store.restore_when_asked, daemon=True).start()
    serve(options.listen, options.control, store, faults, lambda: store.counts)


if __name__ == "__main__":
    main()
