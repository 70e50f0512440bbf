"""Callers' connections with mutated requests.

Failures guarded against: a request that raises an exception, one that is parsed differently when
its bytes arrive in other portions, and one with an ambiguous length (request smuggling).
"""

import asyncio
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from filbertstream.connection.buffer_budget import BufferBudget
from filbertstream.connection.caller_connection import CallerConnection
from filbertstream.connection.request_parser import RawRequest
from filbertstream.version.routes import CallerLimits

VALID = (
    b"POST /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\nX-Api-Key: k\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
CHUNKED = (
    b"POST /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q2\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)
INSERTIONS = (
    b"Content-Length: 3\r\n",
    b"Content-Length: 5, 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: xchunked\r\n",
    b"Transfer-Encoding : chunked\r\n",
    b" folded: x\r\n",
    b"\x00",
    b"\n",
    b"\r",
    b"GET / HTTP/1.1\r\n",
    b"Upgrade: h2c\r\nConnection: Upgrade\r\n",
)


class Transport:
    """A transport that records writes and whether it was closed."""

    def __init__(self) -> None:
        self.written = b""
        self.closed = False
        self.paused = False

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True

    abort = close

    def is_closing(self) -> bool:
        return self.closed

    def can_write_eof(self) -> bool:
        """Return False, as over TLS: the connection is closed in both directions at once."""
        return False

    def get_extra_info(self, name: str) -> None:
        """Return None, because there is no socket."""

    def get_write_buffer_size(self) -> int:
        """Return 0, because everything is sent at once."""
        return 0

    def set_write_buffer_limits(self, high: int) -> None:
        """Ignore the limits."""

    def pause_reading(self) -> None:
        """Record that nothing is to be read."""
        self.paused = True

    def resume_reading(self) -> None:
        """Record that reading goes on."""
        self.paused = False


class App:
    """Responds to each request at once and records it."""

    limits = CallerLimits(header_bytes=2_000, body_bytes=1_000)
    closing = False

    def __init__(self) -> None:
        self.requests: list[RawRequest] = []
        self.rejected: list[int] = []

    def on_request(self, conn: CallerConnection, raw: RawRequest) -> None:
        self.requests.append(raw)
        conn.send_response(b"HTTP/1.1 200 OK\r\nContent-Length: 0", b"")

    def on_disconnected(self, conn: CallerConnection) -> None:
        """Do nothing, because every response was already sent."""

    def on_pause(self, conn: CallerConnection, paused: bool) -> None:
        """Do nothing, because no response is streamed."""

    def on_rejected(self, status: int, detail: str) -> None:
        self.rejected.append(status)


async def feed(chunks: list[bytes]) -> tuple[App, Transport]:
    app, transport = App(), Transport()
    conn = CallerConnection(app, lambda closed_conn: None)
    untyped: Any = transport
    conn.connection_made(untyped)
    for chunk in chunks:
        if transport.closed:
            break
        conn.data_received(chunk)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    conn.connection_lost(None)
    return app, transport


def split(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]


@given(st.sampled_from([VALID, CHUNKED]), st.integers(1, 200))
def test_requests_are_parsed_the_same_in_portions_of_any_size(data: bytes, size: int) -> None:
    """Two requests on one connection arrive in portions of any size."""
    app, _ = asyncio.run(feed(split(data + data, size)))
    assert [raw.body for raw in app.requests] == [b"hello", b"hello"]
    assert not app.rejected


@given(
    st.sampled_from([VALID, CHUNKED]),
    st.lists(st.tuples(st.integers(0, 180), st.sampled_from(INSERTIONS)), min_size=1, max_size=4),
    st.integers(1, 400),
)
def test_mutated_request_is_rejected_once_or_parsed_with_a_single_framing(
    data: bytes, mutations: list[tuple[int, bytes]], size: int
) -> None:
    """Duplicate, conflicting and malformed framing headers are inserted anywhere in a request."""
    for position, insertion in mutations:
        data = data[:position] + insertion + data[position:]
    app, transport = asyncio.run(feed(split(data, size)))
    assert len(app.rejected) <= 1
    if app.rejected:
        assert transport.closed
    for raw in app.requests:
        names = [name for name, _ in raw.headers]
        assert not (b"content-length" in names and b"transfer-encoding" in names)
        assert names.count(b"content-length") <= 1
        assert len(raw.body) <= App.limits.body_bytes


@given(st.binary(max_size=600), st.integers(1, 100))
def test_random_bytes_raise_no_exception(data: bytes, size: int) -> None:
    """A caller sends arbitrary bytes."""
    app, _ = asyncio.run(feed(split(data, size)))
    assert len(app.rejected) <= 1


def test_chunked_body_over_the_limit_is_rejected_before_its_end() -> None:
    """A chunked body has no declared length and exceeds the limit."""
    head = CHUNKED.partition(b"5\r\n")[0]
    app, transport = asyncio.run(feed([head, *[b"c8\r\n" + b"x" * 200 + b"\r\n"] * 20]))
    assert (app.rejected, app.requests, transport.closed) == ([413], [], True)


class SlowApp(App):
    """Records requests and responds later."""

    def on_request(self, conn: CallerConnection, raw: RawRequest) -> None:
        self.requests.append(raw)


def test_request_that_is_pipelined_when_the_entry_stops_gets_no_answer() -> None:
    """SIGTERM comes between the arrival of two pipelined requests and the response to the first."""

    async def exchange() -> Transport:
        app, transport = SlowApp(), Transport()
        conn = CallerConnection(app, lambda conn: None)
        untyped: Any = transport
        conn.connection_made(untyped)
        conn.data_received(VALID + VALID.replace(b"q1", b"q2"))
        app.closing = True
        for number in (1, 2):
            assert len(app.requests) == number
            conn.send_response(b"HTTP/1.1 200 OK\r\nContent-Length: 1", b"%d" % number)
            await asyncio.sleep(0)
        return transport

    transport = asyncio.run(exchange())
    first, second = transport.written.split(b"HTTP/1.1 200 OK")[1:]
    assert b"Connection: close" not in first
    assert b"Connection: close" in second
    assert transport.closed


OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"


@given(
    st.lists(st.tuples(st.sampled_from([VALID, CHUNKED]), st.booleans()), min_size=1, max_size=4),
    st.integers(1, 400),
)
def test_request_that_offers_another_protocol_runs_without_its_body(
    sent: list[tuple[bytes, bool]], size: int
) -> None:
    """A client library offers HTTP/2 with its requests, and a booking runs with an empty body."""
    data = b"".join(
        data.replace(b"Host:", OFFER + b"Host:", 1) if offers else data for data, offers in sent
    )
    app, transport = asyncio.run(feed(split(data, size)))
    assert [raw.body for raw in app.requests] == [b"hello"] * len(sent)
    assert not app.rejected
    assert not transport.closed
    assert transport.written.count(b"HTTP/1.1 ") == len(sent)


def test_request_that_offers_another_protocol_escapes_the_limits() -> None:
    """Its body exceeds the limit, or its method opens a tunnel."""
    large = VALID.replace(b"Host:", OFFER + b"Host:").replace(b"Length: 5", b"Length: 1001")
    for data, status in ((large, 413), (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 501)):
        app, _ = asyncio.run(feed([data]))
        assert app.rejected == [status]
        assert not app.requests


@given(st.integers(1, 400))
def test_trailer_line_without_an_end_is_kept(size: int) -> None:
    """The parser keeps what is in no buffer that counts, as long as the caller sends."""
    chunked = CHUNKED.removesuffix(b"\r\n")
    sound, _ = asyncio.run(feed(split(chunked + b"t: " + b"y" * 1_000 + b"\r\n\r\n", size)))
    assert [raw.body for raw in sound.requests] == [b"hello"]
    app, _ = asyncio.run(feed(split(chunked + b"t: " + b"y" * 4_000, size)))
    assert app.rejected == [431]


async def stop_in_heads(count: int, budget: BufferBudget) -> int:
    """Return the most that is kept of callers that stop inside a head of short lines."""
    head = b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 450
    most_bytes = 0
    for _ in range(count):
        conn, transport = CallerConnection(App(), lambda closed_conn: None, budget), Transport()
        untyped: Any = transport
        conn.connection_made(untyped)
        sent = 0
        while sent < len(head) and not transport.paused:
            buffer = conn.get_buffer(-1)
            size = min(len(buffer), len(head) - sent)
            buffer[:size] = head[sent : sent + size]
            conn.buffer_updated(size)
            sent += size
        most_bytes = max(most_bytes, budget.total_bytes)
    return most_bytes


def test_each_caller_adds_a_slice_of_short_lines_although_nothing_more_should_be_kept() -> None:
    """Thousands of callers stop inside a head with 450 lines, which take 70 kB each."""
    limit_bytes, count = 1_000_000, 300
    most_bytes = asyncio.run(stop_in_heads(count, BufferBudget(limit_bytes)))
    assert most_bytes <= limit_bytes + 8_192 * count
