"""The client of the platform's store against answers that are late, lost, refused or unreadable."""

import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import ClassVar

import pytest
from result import Err, Ok

from filbertstream.platform.objects import ObjectStore, ObjectStoreFailure
from filbertstream.process.clock import boot_time_s

PAGE = b'{"items":[{"metadata":{"name":"a","revision":4},"spec":1},7],"has_more":false,"as_of":9}'


class Answers(BaseHTTPRequestHandler):
    """Answers each call alike."""

    status = 200
    body = b""
    pages: ClassVar[dict[str, bytes]] = {}
    """Bodies by the name that a page begins after, instead of the one body."""

    protocol_version = "HTTP/1.1"

    def _answer(self) -> None:
        if self.status == 0:
            self.close_connection = True
            return
        _, _, after = self.path.partition("after=")
        body = self.pages.get(after, self.body)
        self.send_response(self.status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_PUT = do_DELETE = _answer  # noqa: N815

    def log_message(self, format: str, *args: object) -> None:
        """Write nothing."""


@pytest.fixture
def store() -> Iterator[ObjectStore]:
    server = ThreadingHTTPServer(("127.0.0.1", 0), Answers)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    client = ObjectStore(f"http://127.0.0.1:{server.server_port}")
    yield client
    client.close()
    server.shutdown()
    server.server_close()


def answer(status: int, body: bytes = b"") -> None:
    Answers.status, Answers.body = status, body
    Answers.pages = {}


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
def test_a_watch_tells_why_it_has_nothing(
    store: ObjectStore, status: int, body: bytes, fault: ObjectStoreFailure
) -> None:
    answer(status, body)
    assert store.watch("config", 3, 0.1) == Err(fault)
    listed = store.list("config")
    assert listed == Err(
        ObjectStoreFailure.OUTCOME_UNKNOWN if fault is ObjectStoreFailure.EXPIRED else fault
    )


def test_an_object_that_cannot_be_read_hides_no_other(store: ObjectStore) -> None:
    answer(200, PAGE)
    before_s = boot_time_s()
    listed = store.list("servers")
    assert isinstance(listed, Ok)
    assert [item.name for item in listed.ok_value.objects] == ["a"]
    assert listed.ok_value.as_of == 9
    assert before_s <= listed.ok_value.sent_at_s <= boot_time_s()


def test_a_write_without_an_answer_is_unsure_and_one_that_was_never_sent_is_refused(
    store: ObjectStore,
) -> None:
    answer(0)
    assert store.create("k", "n", 1) == Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
    gone = ObjectStore("http://127.0.0.1:1")
    assert gone.create("k", "n", 1) == Err(ObjectStoreFailure.REFUSED)


def test_a_conflict_shows_the_object_as_it_is(store: ObjectStore) -> None:
    answer(409, b'{"metadata":{"name":"n","revision":8},"spec":{"x":1}}')
    written = store.replace("k", "n", {}, 7)
    assert isinstance(written, Ok)
    assert not written.ok_value.done
    assert written.ok_value.present is not None
    assert written.ok_value.present.revision == 8


def test_a_listing_of_several_pages_is_as_old_as_its_first(store: ObjectStore) -> None:
    """An object named before the second page was written in between: only a watch shows it."""
    answer(200)
    Answers.pages = {
        "": b'{"items":[{"metadata":{"name":"m","revision":4}}],"has_more":true,"as_of":9}',
        "m": b'{"items":[{"metadata":{"name":"z","revision":5}}],"as_of":12}',
    }
    listed = store.list("servers")
    assert isinstance(listed, Ok)
    assert [item.name for item in listed.ok_value.objects] == ["m", "z"]
    assert listed.ok_value.as_of == 9
