"""Connections to targets that send faulty bytes, over loopback sockets.

Failure guarded against: a caller gets a truncated response or that of another request.  This comes
about through stray bytes, cut connections and late responses to earlier requests.
"""

import asyncio
import struct
from socket import SO_LINGER, SOL_SOCKET
from typing import NamedTuple

import pytest

from filbertstream.connection.target_connection import TargetConnection
from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.platform.headers import Headers
from filbertstream.process.deployment import Address
from filbertstream.request.call import ResponseHead

OWN_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nown"
)
OTHER_RESPONSE = OWN_RESPONSE.replace(b"mine", b"else").replace(b"own", b"not")
LARGE_OTHER_RESPONSE = OTHER_RESPONSE.replace(b"Length: 3", b"Length: 300000").replace(
    b"not", b"n" * 300_000
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nResponse-Signature: s\r\n\r\nunframed"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class Received(NamedTuple):
    heads: list[int]
    body: bytes
    end: str
    reusable: bool


class Sink:
    def __init__(self, ends_when_stalled: bool = True) -> None:
        self.ends_when_stalled = ends_when_stalled
        self.accepts_more = True
        self.stalls = 0
        self.heads: list[int] = []
        self.body = b""
        self.end: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def on_head(self, response: ResponseHead, reason: str, headers: Headers) -> None:
        self.heads.append(response.status)

    def on_body(self, data: bytes) -> bool:
        self.body += data
        return self.accepts_more

    def on_complete(self) -> None:
        self.end.set_result("complete")

    def on_connection_end(self) -> None:
        self.end.set_result("connection ended")

    def on_stalled(self) -> None:
        self.stalls += 1
        if self.ends_when_stalled:
            self.end.set_result("stalled")

    def on_failed(self, cause: str) -> None:
        self.end.set_result(cause)


async def exchange(sent: bytes, ending: str = "open", progress_timeout_s: float = 0.5) -> Received:
    """Return what a sink receives from a target that sends bytes and then ends the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await writer.drain()
        if ending == "reset":
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        elif ending == "close":
            writer.close()
        else:
            await reader.read()
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    links = TargetConnectionPool()
    conn = await links.open(Address(host, port))
    assert conn is not None
    returned: list[TargetConnection] = []
    sink = Sink()
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    conn.request("mine", request, sink, progress_timeout_s, returned.append)
    end = await asyncio.wait_for(sink.end, 3.0)
    await asyncio.sleep(0.05)
    reusable = bool(returned) and not conn.closed and conn.usable
    conn.abort()
    server.close()
    return Received(sink.heads, sink.body, end, reusable)


@pytest.mark.parametrize(
    ("sent", "ending", "expected"),
    [
        (OWN_RESPONSE, "open", Received([200], b"own", "complete", True)),
        (INTERIM + OWN_RESPONSE, "open", Received([200], b"own", "complete", True)),
        (OTHER_RESPONSE + OWN_RESPONSE, "open", Received([200], b"own", "complete", False)),
        (OWN_RESPONSE + OTHER_RESPONSE, "open", Received([200], b"own", "complete", False)),
        (OWN_RESPONSE + b"stray bytes", "open", Received([200], b"own", "complete", False)),
        (OWN_RESPONSE[:-1], "close", Received([200], b"ow", "cut", False)),
        (OWN_RESPONSE[:-1], "reset", Received([200], b"ow", "reset", False)),
        (OWN_RESPONSE[:-1], "open", Received([200], b"ow", "stalled", False)),
        (UNFRAMED, "close", Received([200], b"unframed", "connection ended", False)),
        (UNFRAMED, "reset", Received([200], b"unframed", "reset", False)),
        (b"", "close", Received([], b"", "cut", False)),
        (b"no answer at all\r\n\r\n", "open", Received([], b"", "malformed", False)),
        (OTHER_RESPONSE, "close", Received([], b"", "cut", False)),
        (LARGE_OTHER_RESPONSE + OWN_RESPONSE, "open", Received([200], b"own", "complete", False)),
    ],
)
def test_only_the_complete_response_to_the_request_itself_counts_as_complete(
    sent: bytes, ending: str, expected: Received
) -> None:
    """A target sends responses of other requests, stray bytes, or a part of a response."""
    assert asyncio.run(exchange(sent, ending)) == expected


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
def test_response_without_a_valid_status_is_passed_on_or_waited_out(status: bytes) -> None:
    """A target in trouble sends a response whose status belongs to no class."""
    sent = OWN_RESPONSE.replace(b"200", status)
    assert asyncio.run(exchange(sent)) == Received([], b"", "malformed", False)


def test_response_that_continues_after_a_stall_arrives_complete() -> None:
    """A target stalls for longer than the progress timeout and then sends the rest."""

    async def exchange_slowly() -> tuple[str, bytes, int]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OWN_RESPONSE[:-1])
            await asyncio.sleep(0.5)
            writer.write(OWN_RESPONSE[-1:])
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        conn = await TargetConnectionPool().open(Address(*server.sockets[0].getsockname()))
        assert conn is not None
        sink = Sink(ends_when_stalled=False)
        conn.request("mine", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", sink, 0.1, lambda idle: None)
        end = await asyncio.wait_for(sink.end, 3.0)
        conn.abort()
        server.close()
        return end, sink.body, sink.stalls

    end, body, stalls = asyncio.run(exchange_slowly())
    assert (end, body) == ("complete", b"own")
    assert stalls > 0


def test_target_that_does_not_listen_yields_no_connection() -> None:
    """A target's process has ended, and its port refuses connections."""

    async def attempt() -> TargetConnection | None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        return await TargetConnectionPool().open(Address(host, port))

    assert asyncio.run(attempt()) is None


REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nRequest-Id: mine\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"
)


async def second_exchange(first: bytes, again: bytes, request_id: str) -> tuple[bool, list[int]]:
    """Return whether the connection is reused after a refusal, and the heads of the next send."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for sent in (first, again):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await writer.drain()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname())
    links = TargetConnectionPool()
    conn = await links.open(address)
    assert conn is not None
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    sink = Sink()
    conn.request("mine", request, sink, 0.5, lambda idle: links.release(idle, 0.0))
    assert await asyncio.wait_for(sink.end, 3.0) == "complete"
    await asyncio.sleep(0.05)
    kept = links.take(address, 1.0, 0.0, request_id)
    heads: list[int] = []
    if kept is not None:
        sink = Sink()
        kept.request(request_id, request, sink, 0.5, lambda idle: None)
        await asyncio.wait_for(sink.end, 3.0)
        heads = sink.heads
        kept.abort()
    server.close()
    return kept is not None, heads


@pytest.mark.parametrize(
    ("refusal", "request_id", "expected"),
    [
        (REFUSAL, "mine", (False, [])),
        (REFUSAL, "next", (True, [200])),
        (REFUSAL.replace(b"Request-Id: mine\r\n", b""), "next", (True, [200])),
        (REFUSAL.replace(b"Request-Id: mine\r\n", b""), "mine", (False, [])),
    ],
)
def test_repeated_refusal_is_taken_for_that_of_the_next_request(
    refusal: bytes, request_id: str, expected: tuple[bool, list[int]]
) -> None:
    """A target writes a refusal once more before the response to the next request."""
    own = OWN_RESPONSE.replace(b"mine", request_id.encode())
    assert asyncio.run(second_exchange(refusal, refusal + own, request_id)) == expected


class PausingSink(Sink):
    """Pauses its connection as a caller does that reads slowly."""

    def __init__(self, conn: TargetConnection, in_body: bool) -> None:
        super().__init__()
        self._conn = conn
        self._in_body = in_body

    def on_body(self, data: bytes) -> bool:
        if self._in_body:
            self._conn.pause(True)
        return super().on_body(data)

    def on_complete(self) -> None:
        if not self._in_body:
            self._conn.pause(True)
        super().on_complete()


async def responses_on_a_paused_connection(in_body: bool) -> list[str]:
    """Return the ends of two responses on a connection, of which the first pauses it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(2):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OWN_RESPONSE)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    conn = await TargetConnectionPool().open(Address(*server.sockets[0].getsockname()))
    assert conn is not None
    ends = []
    for sink in (PausingSink(conn, in_body), Sink()):
        conn.request("mine", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", sink, 0.0, lambda idle: None)
        done, _ = await asyncio.wait([sink.end], timeout=1.0)
        ends.append(sink.end.result() if done else "no response")
        await asyncio.sleep(0.05)
    conn.abort()
    server.close()
    await asyncio.sleep(0.05)
    return ends


@pytest.mark.parametrize("in_body", [True, False])
def test_connection_that_a_slow_caller_has_paused_swallows_the_next_response(
    in_body: bool,
) -> None:
    """A caller reads slowly; its target's connection is reused after the response."""
    assert asyncio.run(responses_on_a_paused_connection(in_body)) == ["complete", "complete"]


class RecordingTransport(asyncio.Transport):
    """Accepts everything and is aborted without effect."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Discard the data."""

    def abort(self) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        return 0

    def resume_reading(self) -> None:
        """Do nothing."""


SIGNED = b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nResponse-Signature: s\r\n"
HEADS = {
    "length": SIGNED + b"Content-Length: 300\r\n\r\n",
    "empty": SIGNED + b"Content-Length: 0\r\n\r\n",
    "chunks": SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
    "end of the connection": SIGNED + b"Connection: close\r\n\r\n",
    "after an interim response": INTERIM + SIGNED + b"Content-Length: 3\r\n\r\n",
    "after another's response": OTHER_RESPONSE + SIGNED + b"Content-Length: 3\r\n\r\n",
    "without a reason": b"HTTP/1.1 200\r\nRequest-Id: mine\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.0": SIGNED.replace(b"1.1", b"1.0") + b"\r\n",
    "bare line feeds": SIGNED.replace(b"\r", b"") + b"\n",
}


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("kind", HEADS)
def test_response_that_is_cut_inside_its_head_is_passed_on_as_whole(kind: str, ending: str) -> None:
    """A target sends a part of its response's head and closes, after each of its bytes."""

    async def ends() -> list[tuple[list[int], str]]:
        found = []
        for size in range(len(HEADS[kind])):
            conn = TargetConnection(Address("127.0.0.1", 1))
            conn.transport = RecordingTransport()
            sink = Sink()
            conn.request("mine", b"", sink, 0.0, lambda idle: None)
            conn.data_received(HEADS[kind][:size])
            if ending == "close":
                conn.eof_received()
            conn.connection_lost(None if ending == "close" else ConnectionResetError())
            found.append((sink.heads, await asyncio.wait_for(sink.end, 1.0)))
        return found

    for heads, end in asyncio.run(ends()):
        assert heads == []
        assert end in ("cut", "reset", "malformed")
