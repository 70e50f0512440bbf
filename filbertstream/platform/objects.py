"""The client of the platform's object store: lists, watches, conditional writes.

Calls block and run on worker threads.  A write without a response is reported as one whose outcome
is unknown: it may have been applied, or may still be.  ``sent_at_s`` is read right before a request
is sent, from a clock that includes suspended time; what the response shows was true at that time or
later.

Each response names the epoch of the store's history, in which its revisions count.  A response of
an earlier epoch than the latest known one is worth nothing: what it shows may be lost.
"""

import enum
import threading
from collections import Counter
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError, ReadTimeoutError

from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.platform.bounded_read import read_bounded
from filbertstream.platform.raw_json import decode_or_none, elements, fields, is_text
from filbertstream.platform.tracked_connections import TrackedConnections, was_not_sent
from filbertstream.process.clock import boot_time_s
from filbertstream.statuses import CONFLICT, CREATED, GONE, NOT_FOUND, OK

CONNECT_TIMEOUT_S: Final = 1.0
"""Timeout for a new connection; a healthy object store accepts one within milliseconds."""

RESPONSE_TIMEOUT_S: Final = 1.5
"""Timeout for a response, on top of the wait time of a watch."""

RESPONSE_LIMIT_BYTES: Final = 16_000_000
"""A response may hold a page of a megabyte, or all events of the object store's history."""

MAX_PAGES: Final = 200
"""Bounds the pages of a listing; one that never ends is a fault of the object store."""

REFUSED_STATUSES: Final = (429, 503)

EPOCH_HEADER: Final = "Store-Era"
"""The number of the object store's history; it rises when the store comes back from a copy."""

MAX_EPOCH_DIGITS: Final = 9


class ObjectStoreFailure(enum.Enum):
    """Why a call has no usable response.

    ``REFUSED``: the call was not executed.  ``OUTCOME_UNKNOWN``: there was no response, so a write
    may have been applied or may still be.  ``EXPIRED``: the history that a watch requested is gone.
    ``MALFORMED``: the response could not be decoded.
    """

    REFUSED = "refused"
    OUTCOME_UNKNOWN = "unsure"
    EXPIRED = "expired"
    MALFORMED = "unreadable"


class StoredObject(NamedTuple):
    """One object as it is in the object store; ``content`` is undecoded."""

    name: str
    revision: EpochNumber
    content: msgspec.Raw


class Listing(NamedTuple):
    """All objects of a kind, as of a revision."""

    sent_at_s: float
    as_of: EpochNumber
    objects: tuple[StoredObject, ...]


class Change(NamedTuple):
    """A write or removal of an object."""

    stored: StoredObject
    removed: bool


class Changes(NamedTuple):
    """The changes that a watch returned."""

    sent_at_s: float
    as_of: EpochNumber
    changes: tuple[Change, ...]


class Written(NamedTuple):
    """The outcome of a write: whether it was applied, and the current object or None."""

    done: bool
    present: StoredObject | None


class _Meta(msgspec.Struct):
    name: str = ""
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    as_of: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    as_of: int


def _stored(raw: bytes, epoch: int) -> StoredObject | None:
    """Return an object; its content is null if it can't be read, None without a readable name."""
    item = decode_or_none(raw, _Object)
    if item is None:
        meta = decode_or_none(fields(raw).get("metadata", b""), _Meta)
        if meta is None:
            return None
        item = _Object(meta)
    if not is_text(item.metadata.name):
        return None
    revision = EpochNumber(epoch, item.metadata.revision)
    return StoredObject(item.metadata.name, revision, item.spec)


def _page(body: bytes) -> _Page | None:
    """Return a page of a listing, split by hand if an item can't be read."""
    page = decode_or_none(body, _Page)
    if page is not None:
        return page
    found = fields(body)
    as_of = decode_or_none(found.get("as_of", b""), int)
    more = decode_or_none(found.get("has_more", b"false"), bool)
    if as_of is None or more is None or "items" not in found:
        return None
    return _Page([msgspec.Raw(item) for item in elements(found["items"])], as_of, more)


def _events(body: bytes) -> _Events | None:
    """Return the events of a watch, split by hand if an object can't be read."""
    events = decode_or_none(body, _Events)
    if events is not None:
        return events
    found = fields(body)
    as_of = decode_or_none(found.get("as_of", b""), int)
    if as_of is None or "events" not in found:
        return None
    split = [fields(event) for event in elements(found["events"])]
    decoded = [
        _Event(msgspec.Raw(event["object"]), event.get("removed") == b"true")
        for event in split
        if "object" in event
    ]
    return _Events(decoded, as_of)


def _epoch(value: str | None) -> int | None:
    """Return the epoch in a header's value, 0 without the header, None if it is malformed."""
    if value is None:
        return 0
    valid = value.isascii() and value.isdigit() and len(value) <= MAX_EPOCH_DIGITS
    return int(value) if valid else None


class _Response(NamedTuple):
    status: int
    body: bytes
    epoch: int


class ObjectStore:
    """Blocking calls to the object store at a URL; ``ca_file`` verifies its certificate.

    ``on_epoch`` is called with each new epoch that a response names.
    """

    def __init__(
        self,
        url: str,
        ca_file: str | None = None,
        on_epoch: Callable[[int], None] = lambda epoch: None,
    ) -> None:
        self._on_epoch = on_epoch
        self._epoch = 0
        self._url = f"{url}/objects"
        self._connections = TrackedConnections()
        self._pool = self._connections.pool(maxsize=8, retries=False, ca_certs=ca_file)
        self._calls_lock = threading.Lock()
        self._calls: Counter[str] = Counter()

    def calls(self) -> dict[str, int]:
        """Return the number of calls by method and kind, since the platform meters every call."""
        with self._calls_lock:
            return dict(self._calls)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()

    def list(self, kind: str) -> Result[Listing, ObjectStoreFailure]:
        """Return all objects of a kind, as of the first page; later pages may show later changes.

        A write between two pages may be missing from both, so a watch must continue from the
        revision of the first page.
        """
        found: list[StoredObject] = []
        as_of: EpochNumber | None = None
        after: str | None = None
        first_sent_at_s = boot_time_s()
        for _ in range(MAX_PAGES):
            query = {} if after is None else {"after": after}
            match self._call("GET", f"/{kind}", query, None, RESPONSE_TIMEOUT_S):
                case Err(failure):
                    return Err(failure)
                case Ok(resp) if resp.status == OK:
                    page = _page(resp.body)
                case Ok(_):
                    return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
            if page is None:
                return Err(ObjectStoreFailure.MALFORMED)
            items = [_stored(bytes(raw), resp.epoch) for raw in page.items]
            found += [item for item in items if item is not None]
            page_as_of = EpochNumber(resp.epoch, page.as_of)
            as_of = page_as_of if as_of is None else as_of
            if not as_of.comparable(page_as_of):
                return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
            if not page.has_more or not found:
                return Ok(Listing(first_sent_at_s, as_of, tuple(found)))
            after = found[-1].name
        return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)

    def watch(
        self, kind: str, since: EpochNumber, wait_s: float
    ) -> Result[Changes, ObjectStoreFailure]:
        """Return the changes after a revision, waiting up to ``wait_s`` for the first one."""
        query = {"watch": str(since.number), "wait_ms": str(int(wait_s * 1000))}
        sent_at_s = boot_time_s()
        match self._call("GET", f"/{kind}", query, None, wait_s + RESPONSE_TIMEOUT_S):
            case Err(failure):
                return Err(failure)
            case Ok(resp) if resp.status == GONE:
                return Err(ObjectStoreFailure.EXPIRED)
            case Ok(resp) if resp.status == OK:
                events = _events(resp.body)
            case Ok(_):
                return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
        if events is None:
            return Err(ObjectStoreFailure.MALFORMED)
        as_of = EpochNumber(resp.epoch, events.as_of)
        if not as_of.comparable(since):
            # The new history may have given out the revision again, and skip what came before it.
            return Err(ObjectStoreFailure.EXPIRED)
        found = [
            (_stored(bytes(event.object), resp.epoch), event.removed) for event in events.events
        ]
        changes = tuple(Change(item, removed) for item, removed in found if item is not None)
        return Ok(Changes(sent_at_s, as_of, changes))

    def read(self, kind: str, name: str) -> Result[StoredObject | None, ObjectStoreFailure]:
        """Return one object, or None if it doesn't exist."""
        match self._call("GET", f"/{kind}/{name}", {}, None, RESPONSE_TIMEOUT_S):
            case Err(failure):
                return Err(failure)
            case Ok(resp) if resp.status == OK:
                return Ok(_stored(resp.body, resp.epoch))
            case Ok(resp) if resp.status == NOT_FOUND:
                return Ok(None)
        return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)

    def create(self, kind: str, name: str, content: Any) -> Result[Written, ObjectStoreFailure]:
        """Create an object unless one of that name exists."""
        body = {"metadata": {"name": name}, "spec": content}
        return self._write("POST", f"/{kind}", body)

    def replace(
        self, kind: str, name: str, content: Any, revision: EpochNumber
    ) -> Result[Written, ObjectStoreFailure]:
        """Replace an object if it still has the given revision."""
        body = {"metadata": {"name": name, "revision": revision.number}, "spec": content}
        return self._write("PUT", f"/{kind}/{name}", body, revision)

    def put(
        self, kind: str, name: str, content: Any, revision: EpochNumber
    ) -> Result[Written, ObjectStoreFailure]:
        """Replace an object that has the given revision, or create it for ``NO_REVISION``."""
        if revision == NO_REVISION:
            return self.create(kind, name, content)
        return self.replace(kind, name, content, revision)

    def remove(
        self, kind: str, name: str, revision: EpochNumber = NO_REVISION
    ) -> Result[Written, ObjectStoreFailure]:
        """Remove an object, if a revision is given only if it still has that one."""
        body = None if revision == NO_REVISION else {"metadata": {"revision": revision.number}}
        return self._write("DELETE", f"/{kind}/{name}", body, revision)

    def _write(
        self, method: str, path: str, body: Any, condition: EpochNumber = NO_REVISION
    ) -> Result[Written, ObjectStoreFailure]:
        if condition != NO_REVISION and condition.epoch != self._epoch:
            return Ok(Written(False, None))
        data = None if body is None else msgspec.json.encode(body)
        match self._call(method, path, {}, data, RESPONSE_TIMEOUT_S):
            case Err(failure):
                return Err(failure)
            case Ok(resp) if condition != NO_REVISION and condition.epoch != resp.epoch:
                # The condition was checked against a revision of another history.
                return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
            case Ok(resp) if resp.status in (OK, CREATED):
                return Ok(Written(True, _stored(resp.body, resp.epoch)))
            case Ok(resp) if resp.status == CONFLICT:
                return Ok(Written(False, _stored(resp.body, resp.epoch)))
            case Ok(resp) if resp.status == NOT_FOUND:
                return Ok(Written(False, None))
        return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        read_timeout_s: float,
    ) -> Result[_Response, ObjectStoreFailure]:
        with self._calls_lock:
            self._calls[f"{method} {path.split('/')[1]}"] += 1
        headers = {"Content-Type": "application/json"} if body is not None else {}
        url = self._url + path
        if query:
            url += "?" + "&".join(f"{key}={value}" for key, value in query.items())
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)
        sent_at_s = boot_time_s()
        try:
            resp = self._pool.request(
                method, url, body=body, headers=headers, timeout=timeout, preload_content=False
            )
            data = read_bounded(resp, RESPONSE_LIMIT_BYTES, boot_time_s() + RESPONSE_TIMEOUT_S)
        except HTTPError as exc:
            # Other connections may have become unresponsive together with this one.
            self._pool.clear()
            if isinstance(exc, ReadTimeoutError):
                self._connections.interrupt_reads(sent_at_s)
            return Err(
                ObjectStoreFailure.REFUSED
                if was_not_sent(exc)
                else ObjectStoreFailure.OUTCOME_UNKNOWN
            )
        epoch = self._note_epoch(resp.headers.get(EPOCH_HEADER))
        if resp.status in REFUSED_STATUSES:
            return Err(ObjectStoreFailure.REFUSED)
        if epoch is None:
            return Err(ObjectStoreFailure.MALFORMED)
        if epoch < self._epoch:
            return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
        return Ok(_Response(resp.status, data, epoch))

    def _note_epoch(self, value: str | None) -> int | None:
        """Return the epoch that a response names, None if it is malformed or missing.

        A store that has not named an epoch yet has epoch 0.
        """
        epoch = _epoch(value)
        with self._calls_lock:
            if epoch == 0 and self._epoch:
                return None
            if epoch is None or epoch <= self._epoch:
                return epoch
            self._epoch = epoch
        self._on_epoch(epoch)
        return epoch
