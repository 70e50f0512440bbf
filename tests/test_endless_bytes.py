"""Targets, object stores, entries and callers that send bytes without end.

Failure guarded against: memory use that grows with what a peer sends.  Each case runs over a
loopback socket: the other side sends until it is cut off, and counts the bytes that were accepted.
A limit in bytes holds at any speed; calls also have timeouts.
"""

import asyncio
import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from filbertstream.connection.caller_connection import CallerConnection
from filbertstream.connection.event_relay import EVENT_LIMIT_BYTES, EventRelay
from filbertstream.connection.request_parser import RawRequest
from filbertstream.connection.response_budget import HEAD_LIMIT_BYTES, SKIPPED_LIMIT_BYTES
from filbertstream.connection.target_call import call_target
from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.platform.headers import Headers
from filbertstream.platform.objects import RESPONSE_LIMIT_BYTES, ObjectStore, ObjectStoreFailure
from filbertstream.platform.runner_calls import REPORT_LIMIT_BYTES, RunnerCalls
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address
from filbertstream.request.call import ResponseHead
from filbertstream.version.rollout import OrderResponse, OrderWeights, PollReport, ReportFailed
from filbertstream.version.routes import CallerLimits

IN_FLIGHT_BYTES = 6_000_000
"""What the buffers of a loopback connection and of the reader may hold beyond the limit."""

SENT_LIMIT_BYTES = 64 << 20
FILLER = b"x" * 65_536
LINE = b"X-Line: " + b"y" * 1_000 + b"\r\n"
OK_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nResponse-Signature: s\r\n"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: else\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + FILLER + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
WITHOUT_LENGTH = OK_HEAD + b"\r\n"

STREAM_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS: dict[str, tuple[bytes, bytes]] = {
    "lines of a head": (OK_HEAD, LINE * 64),
    "one line of a head": (OK_HEAD + b"X-Line: ", FILLER),
    "a reason": (b"HTTP/1.1 200 ", FILLER),
    "interim answers": (b"", INTERIM * 2_000),
    "another request's answer": (OTHER_RESPONSE, CHUNK),
    "another request's answers": (b"", OTHER_RESPONSE + b"0\r\n\r\n"),
    "no answer at all": (b"", FILLER),
    "lines of a trailer": (STREAM_HEAD + CHUNK + b"0\r\n", LINE * 64),
    "one name of a trailer": (STREAM_HEAD + b"0\r\n", FILLER),
    "one line of a trailer": (STREAM_HEAD + CHUNK + b"0\r\nX-Line: ", FILLER),
    "a chunk extension": (STREAM_HEAD + CHUNK + b"1;", FILLER),
    "a chunk size": (STREAM_HEAD + CHUNK, b"0" * 65_536),
    "another request's trailer": (OTHER_RESPONSE + b"0\r\n", LINE * 64),
}


class Sender:
    """A server that sends one thing and then another without end, until it is cut off."""

    def __init__(self, first: bytes, again: bytes) -> None:
        self._first, self._again = first, again
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self.sent = 0
        self.cut_off = False
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        self._stopped.set()
        self._listener.close()
        self._thread.join(timeout=5.0)

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            conn, _ = self._listener.accept()
            conn.settimeout(0.2)
            with conn:
                conn.recv(65_536)
                self._send(conn, self._first)
                while self.sent < SENT_LIMIT_BYTES and not self._stopped.is_set():
                    self._send(conn, self._again)

    def _send(self, conn: socket.socket, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining and not self._stopped.is_set():
            try:
                count = conn.send(remaining)
            except TimeoutError:
                continue
            except OSError:
                self.cut_off = True
                raise
            self.sent += count
            remaining = remaining[count:]


@contextlib.contextmanager
def sending(first: bytes, again: bytes) -> Iterator[Sender]:
    sender = Sender(first, again)
    sender.start()
    try:
        yield sender
    finally:
        sender.close()


class Sink:
    """Receives a response and counts its bytes."""

    def __init__(self) -> None:
        self.body_bytes = 0
        self.end: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def on_head(self, response: ResponseHead, reason: str, headers: Headers) -> None:
        """A response has started."""

    def on_body(self, data: bytes) -> bool:
        self.body_bytes += len(data)
        return True

    def on_complete(self) -> None:
        self.end.set_result("complete")

    def on_connection_end(self) -> None:
        self.on_complete()

    def on_stalled(self) -> None:
        """No bytes have arrived for some time."""

    def on_failed(self, cause: str) -> None:
        self.end.set_result(cause)


@pytest.mark.parametrize("kind", ENDLESS)
def test_target_that_sends_endless_bytes_without_a_response_is_cut_off(kind: str) -> None:
    """A target sends heads, skipped responses or other bytes without end."""

    async def send_request(address: Address) -> str:
        conn = await TargetConnectionPool().open(address)
        assert conn is not None
        sink = Sink()
        conn.request("mine", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", sink, 0.5, lambda idle: None)
        return await asyncio.wait_for(sink.end, 20.0)

    with sending(*ENDLESS[kind]) as sender:
        cause = asyncio.run(send_request(sender.address))
    assert cause in ("too_large", "malformed")
    assert sender.sent <= max(HEAD_LIMIT_BYTES, SKIPPED_LIMIT_BYTES) + IN_FLIGHT_BYTES


def test_endless_response_to_a_system_request_is_cut_off() -> None:
    """A target sends an endless body in response to a request of the entry itself."""

    async def send_request(address: Address) -> tuple[int, bytes] | None:
        data = b"GET /list HTTP/1.1\r\nHost: h\r\n\r\n"
        return await call_target(
            TargetConnectionPool(), address, data, 20.0, boot_time_s(), 100_000
        )

    with sending(b"HTTP/1.1 200 OK\r\n\r\n", FILLER) as sender:
        assert asyncio.run(send_request(sender.address)) is None
    assert sender.sent <= 100_000 + IN_FLIGHT_BYTES


def test_many_endless_responses_together_exceed_the_memory_of_the_process() -> None:
    """A target answers many calls at once with bodies that each stay within their own limit."""
    limit_bytes = 1_000_000

    async def send_requests(address: Address) -> tuple[list[tuple[int, bytes] | None], int]:
        pool = TargetConnectionPool(buffer_bytes=limit_bytes)
        data = b"GET /list HTTP/1.1\r\nHost: h\r\n\r\n"
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        sound = Address(*server.sockets[0].getsockname())
        most = 0

        async def watch() -> None:
            nonlocal most
            while True:
                most = max(most, pool.buffers.total_bytes)
                await asyncio.sleep(0)

        watcher = asyncio.create_task(watch())
        calls = [
            call_target(pool, target, data, 20.0, boot_time_s(), 8 * limit_bytes)
            for target in (address, sound, sound)
        ]
        found = await asyncio.gather(*calls)
        watcher.cancel()
        pool.close()
        server.close()
        await asyncio.sleep(0.05)
        assert pool.buffers.total_bytes == 0
        return list(found), most

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nso")
        await asyncio.sleep(0.3)
        writer.write(b"und")
        await reader.read()
        writer.close()

    with sending(b"HTTP/1.1 200 OK\r\n\r\n", FILLER) as sender:
        found, most = asyncio.run(send_requests(sender.address))
    assert found == [None, (200, b"sound"), (200, b"sound")]
    assert most <= limit_bytes


def test_event_without_end_ends_its_stream() -> None:
    """A runner never ends an event of its stream."""
    relay = EventRelay(None)
    fed = 0
    while not relay.malformed and fed < SENT_LIMIT_BYTES:
        relay.feed(FILLER)
        fed += len(FILLER)
    assert fed <= EVENT_LIMIT_BYTES + len(FILLER)
    assert not relay.complete


WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n"


@pytest.mark.parametrize("head", [WITHOUT_LENGTH, WITH_LENGTH])
def test_endless_report_of_a_runner_counts_as_missed(head: bytes) -> None:
    """A runner sends a report without end, with and without a length."""
    with sending(head, FILLER) as sender:
        result = RunnerCalls("e1").report(PollReport("r1"), sender.address)
    assert result == ReportFailed("r1")
    assert sender.sent <= REPORT_LIMIT_BYTES + IN_FLIGHT_BYTES


def test_report_whose_head_arrives_byte_by_byte_holds_its_thread() -> None:
    """A runner sends a byte of a head each 0.1 s, so that no single read times out."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def drip() -> None:
            conn, _ = listener.accept()
            with contextlib.suppress(OSError):
                conn.sendall(OK_HEAD + b"X-Line: ")
                while True:
                    conn.sendall(b"x")
                    threading.Event().wait(0.1)

        threading.Thread(target=drip, daemon=True).start()
        results: list[object] = []
        address = Address(*listener.getsockname())
        call = threading.Thread(
            target=lambda: results.append(RunnerCalls("e1").report(PollReport("r1"), address)),
            daemon=True,
        )
        call.start()
        call.join(10.0)
    assert results == [ReportFailed("r1")]


def test_order_with_an_endless_response_body_still_counts_as_answered() -> None:
    """The status shows the result of the order; the rest of the body is not needed."""
    with sending(WITHOUT_LENGTH, FILLER) as sender:
        result = RunnerCalls("e1").order(OrderWeights("r1", "m", 2, 1, 0), sender.address)
    assert result == OrderResponse("r1", 200, result.sent_at_s)
    assert sender.sent <= REPORT_LIMIT_BYTES + IN_FLIGHT_BYTES


def test_endless_listing_of_the_object_store_is_an_error() -> None:
    """The object store sends a listing without end."""
    with sending(WITHOUT_LENGTH, FILLER) as sender:
        result = ObjectStore(f"http://{sender.address}").list("k")
    assert result.err_value in (ObjectStoreFailure.MALFORMED, ObjectStoreFailure.OUTCOME_UNKNOWN)
    assert sender.sent <= RESPONSE_LIMIT_BYTES + IN_FLIGHT_BYTES


class App:
    """Records the requests of callers."""

    limits = CallerLimits(header_bytes=16_384, body_bytes=65_536)
    closing = False

    def __init__(self) -> None:
        self.requests: list[RawRequest] = []
        self.rejected: list[int] = []

    def on_request(self, conn: CallerConnection, raw: RawRequest) -> None:
        self.requests.append(raw)

    def on_disconnected(self, conn: CallerConnection) -> None:
        """The caller has disconnected."""

    def on_pause(self, conn: CallerConnection, paused: bool) -> None:
        """The caller reads slowly."""

    def on_rejected(self, status: int, detail: str) -> None:
        self.rejected.append(status)


POST = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("first", "again"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\n", LINE),
        (b"GET /", FILLER),
        (POST, CHUNK),
        (POST + b"1;", FILLER),
        (POST + b"0\r\n", LINE),
        (POST, b"1;" + b"e" * 1_000 + b"\r\nx\r\n"),
    ],
    ids=["head", "path", "body", "chunk extension", "trailers", "extensions"],
)
def test_caller_that_sends_endless_bytes_is_cut_off(first: bytes, again: bytes) -> None:
    """A caller sends a head, a body, a chunk extension or trailers without end."""

    async def receive() -> tuple[App, int]:
        app = App()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(app, lambda conn: None), "127.0.0.1", 0
        )
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(first)
        sent = 0
        with contextlib.suppress(OSError):
            while sent < SENT_LIMIT_BYTES and not app.rejected:
                writer.write(again)
                await asyncio.wait_for(writer.drain(), 1.0)
                sent += len(again)
        writer.transport.abort()
        server.close()
        return app, sent

    app, sent = asyncio.run(receive())
    assert app.rejected
    assert not app.requests
    assert sent <= App.limits.body_bytes * 16 + IN_FLIGHT_BYTES


def test_trailers_of_a_request_are_not_merged_into_its_headers() -> None:
    """A caller sends a trailer, which could replace a header that was already checked."""

    async def receive() -> App:
        app = App()
        conn = CallerConnection(app, lambda conn: None)
        conn.transport = _Transport()
        conn.on_message_begin()
        conn.data_received(POST + b"1\r\nx\r\n0\r\nX-Late: v\r\n\r\n")
        return app

    (raw,) = asyncio.run(receive()).requests
    assert b"x-late" not in {name for name, _ in raw.headers}


class _Transport(asyncio.Transport):
    """A transport that discards everything."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Discard the data."""

    def close(self) -> None:
        """Do nothing."""
