"""The client of the platform's object store.

Failure guarded against: a result that says more than is certain, such as "not written" for a write
that may have taken effect.  This comes about through late, lost, rejected or malformed responses.
"""

import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import ClassVar

import pytest
from result import Err, Ok

from filbertstream.epoch_number import EpochNumber
from filbertstream.platform.objects import ObjectStore, ObjectStoreFailure
from filbertstream.process.clock import boot_time_s

SHUTDOWN_POLL_S = 0.01
PAGE = b'{"items":[{"metadata":{"name":"a","revision":4},"spec":1},7],"has_more":false,"as_of":9}'


class FixedResponses(BaseHTTPRequestHandler):
    """Sends the same response to every request."""

    status = 200
    body = b""
    era: str | None = None
    calls: ClassVar[list[str]] = []
    pages: ClassVar[dict[str, bytes]] = {}
    """Bodies by the ``after`` parameter of the request, instead of the one body."""

    protocol_version = "HTTP/1.1"

    def _respond(self) -> None:
        if self.status == 0:
            self.close_connection = True
            return
        _, _, after = self.path.partition("after=")
        body = self.pages.get(after, self.body)
        self.send_response(self.status)
        self.calls.append(self.command)
        self.send_header("Content-Length", str(len(body)))
        if self.era is not None:
            self.send_header("Store-Era", self.era)
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_PUT = do_DELETE = _respond  # noqa: N815

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the log line."""


@pytest.fixture
def store() -> Iterator[ObjectStore]:
    server = ThreadingHTTPServer(("127.0.0.1", 0), FixedResponses)
    # ``shutdown`` waits for the end of an interval.
    threading.Thread(target=server.serve_forever, args=(SHUTDOWN_POLL_S,), daemon=True).start()
    client = ObjectStore(f"http://127.0.0.1:{server.server_port}")
    yield client
    client.close()
    server.shutdown()
    server.server_close()


def set_response(status: int, body: bytes = b"") -> None:
    FixedResponses.status, FixedResponses.body = status, body
    FixedResponses.pages = {}


@pytest.mark.parametrize(
    ("status", "body", "fault"),
    [
        (503, b"", ObjectStoreFailure.REFUSED),
        (429, b"", ObjectStoreFailure.REFUSED),
        (500, b"", ObjectStoreFailure.OUTCOME_UNKNOWN),
        (0, b"", ObjectStoreFailure.OUTCOME_UNKNOWN),
        (200, b"no json", ObjectStoreFailure.MALFORMED),
        (200, b"[]", ObjectStoreFailure.MALFORMED),
        (410, b"", ObjectStoreFailure.EXPIRED),
    ],
)
def test_failed_watch_or_listing_returns_its_cause(
    store: ObjectStore, status: int, body: bytes, fault: ObjectStoreFailure
) -> None:
    """The object store rejects requests, fails, closes connections, or sends malformed content."""
    set_response(status, body)
    assert store.watch("config", EpochNumber(0, 3), 0.1) == Err(fault)
    listed = store.list("config")
    assert listed == Err(
        ObjectStoreFailure.OUTCOME_UNKNOWN if fault is ObjectStoreFailure.EXPIRED else fault
    )


def test_undecodable_object_does_not_hide_others_in_a_listing(store: ObjectStore) -> None:
    """One item of a listing is malformed."""
    set_response(200, PAGE)
    before_s = boot_time_s()
    listed = store.list("servers")
    assert isinstance(listed, Ok)
    assert [item.name for item in listed.ok_value.objects] == ["a"]
    assert listed.ok_value.as_of == EpochNumber(0, 9)
    assert before_s <= listed.ok_value.sent_at_s <= boot_time_s()


def test_write_without_a_response_is_unsure_and_one_never_sent_is_rejected(
    store: ObjectStore,
) -> None:
    """A connection closes after a write was sent; another write finds no server."""
    set_response(0)
    assert store.create("k", "n", 1) == Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
    unreachable_store = ObjectStore("http://127.0.0.1:1")
    assert unreachable_store.create("k", "n", 1) == Err(ObjectStoreFailure.REFUSED)


def test_conflict_returns_the_object_as_it_is_stored(store: ObjectStore) -> None:
    """A conditional write is based on an outdated revision."""
    set_response(409, b'{"metadata":{"name":"n","revision":8},"spec":{"x":1}}')
    written = store.replace("k", "n", {}, EpochNumber(0, 7))
    assert isinstance(written, Ok)
    assert not written.ok_value.done
    assert written.ok_value.present is not None
    assert written.ok_value.present.revision == EpochNumber(0, 8)


def test_listing_of_several_pages_is_as_of_its_first_page(store: ObjectStore) -> None:
    """An object that sorts before the second page is written between two pages.

    Only a watch from the first page's revision shows it.
    """
    set_response(200)
    FixedResponses.pages = {
        "": b'{"items":[{"metadata":{"name":"m","revision":4}}],"has_more":true,"as_of":9}',
        "m": b'{"items":[{"metadata":{"name":"z","revision":5}}],"as_of":12}',
    }
    listed = store.list("servers")
    assert isinstance(listed, Ok)
    assert [item.name for item in listed.ok_value.objects] == ["m", "z"]
    assert listed.ok_value.as_of == EpochNumber(0, 9)


EPOCH_2 = EpochNumber(2, 9)


@pytest.fixture
def restored(store: ObjectStore) -> Iterator[ObjectStore]:
    set_response(200, PAGE)
    FixedResponses.era = "2"
    assert store.list("k").unwrap().as_of == EPOCH_2
    yield store
    FixedResponses.era = None


@pytest.mark.parametrize(
    ("era", "fault"),
    [
        ("1", ObjectStoreFailure.OUTCOME_UNKNOWN),
        (None, ObjectStoreFailure.MALFORMED),
        ("", ObjectStoreFailure.MALFORMED),
        ("-3", ObjectStoreFailure.MALFORMED),
        ("3.0", ObjectStoreFailure.MALFORMED),
        ("9" * 400, ObjectStoreFailure.MALFORMED),
    ],
)
def test_response_of_an_earlier_or_unknown_epoch_is_used(
    restored: ObjectStore, era: str | None, fault: ObjectStoreFailure
) -> None:
    """A response of the old history is still on the way, or its header is garbled or missing."""
    FixedResponses.era = era
    assert restored.list("k") == Err(fault)
    set_response(200, b'{"events":[],"as_of":9}')
    assert restored.watch("k", EPOCH_2, 0.0) == Err(fault)
    FixedResponses.era = "2"
    assert restored.watch("k", EPOCH_2, 0.0).unwrap().as_of == EPOCH_2


def test_watch_or_write_of_an_earlier_epoch_is_carried_out_in_the_next_one(
    restored: ObjectStore,
) -> None:
    """The store is restored between a read and what builds on its revision."""
    set_response(200, b'{"events":[],"as_of":41}')
    assert restored.watch("k", EpochNumber(1, 9), 0.0) == Err(ObjectStoreFailure.EXPIRED)
    calls = len(FixedResponses.calls)
    written = restored.replace("k", "a", {}, EpochNumber(1, 9)).unwrap()
    assert (written.done, len(FixedResponses.calls)) == (False, calls)
    FixedResponses.era = "3"
    set_response(200, b'{"metadata":{"name":"a","revision":10},"spec":1}')
    unsure = restored.replace("k", "a", {}, EPOCH_2)
    assert unsure == Err(ObjectStoreFailure.OUTCOME_UNKNOWN)


class SilentResponses(FixedResponses):
    """Sends nothing while its connections stay open."""

    def _respond(self) -> None:
        threading.Event().wait(8.0)

    do_GET = do_POST = do_PUT = do_DELETE = _respond  # noqa: N815


def test_watch_goes_on_after_other_connections_have_gone_silent() -> None:
    """The open connections to the store carry no data any more, and a call on one of them ends."""
    server = ThreadingHTTPServer(("127.0.0.1", 0), SilentResponses)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, args=(SHUTDOWN_POLL_S,), daemon=True).start()
    client = ObjectStore(f"http://127.0.0.1:{server.server_port}")
    results: dict[str, object] = {}

    def watch(kind: str) -> None:
        results[kind] = client.watch(kind, EpochNumber(0, 9), 5.0)

    threads = [threading.Thread(target=watch, args=("older",), daemon=True)]
    threads[0].start()
    assert until_awaited(client, 1)
    doubted = threading.Thread(target=client.list, args=("config",), daemon=True)
    doubted.start()
    assert until_awaited(client, 2)
    threads.append(threading.Thread(target=watch, args=("newer",), daemon=True))
    threads[1].start()
    doubted.join(6.0)
    threads[0].join(2.0)
    assert results == {"older": Err(ObjectStoreFailure.OUTCOME_UNKNOWN)}
    assert threads[1].is_alive()
    server.shutdown()


def until_awaited(client: ObjectStore, count: int) -> bool:
    """Wait until calls await responses; return whether they do."""
    for _ in range(500):
        if len(client._connections._awaited) >= count:
            return True
        threading.Event().wait(0.01)
    return False
