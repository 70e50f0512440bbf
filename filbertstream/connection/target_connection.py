"""Connections to targets on the event loop: one request at a time on each, answers by their id.

httptools parses; this module matches answers to requests.  An answer that bears another request's
id is skipped, and a connection that could still hold foreign bytes is never used again.
"""

import asyncio
import socket
import ssl
from collections.abc import Callable
from typing import Final, Protocol, cast

import httptools

from filbertstream.platform.headers import Headers, decode_response, keep_alive_s
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address
from filbertstream.request.call import ResponseHead

CONNECT_S: Final = 0.35
"""Targets are a few milliseconds away; a lost opening packet is sent again after a second."""

IDLE_S: Final = 3.0
"""Idle connections are closed after this, if the target doesn't announce less."""

IDLE_PER_TARGET: Final = 6
USER_TIMEOUT_MS: Final = 2_500
"""Unacknowledged bytes end a connection after this."""

KEEPALIVE_S: Final = 1
KEEPALIVE_PROBES: Final = 2

HEAD_LIMIT_BYTES: Final = 65_536
"""What may come up to the end of an answer's head; targets answer with a few headers."""

SKIPPED_LIMIT_BYTES: Final = 1_000_000
"""The same where another request's late answer comes first, which may be as large as any."""

SWITCHING: Final = 200
"""Statuses below this are interim and don't answer the request."""


class ResponseSink(Protocol):
    """Takes what arrives for one send."""

    def on_head(self, answer: ResponseHead, reason: str, headers: Headers) -> None:
        """Take the head of the answer."""

    def on_body(self, data: bytes) -> bool:
        """Take a part of the body; whether the answer has got on by it."""

    def on_complete(self) -> None:
        """The answer is whole."""

    def on_stalled(self) -> None:
        """An answer that has begun brings nothing any more."""

    def on_failed(self, cause: str) -> None:
        """The connection ended, or what arrived is no answer."""


class TargetConnection(asyncio.Protocol):
    """One connection; ``expect`` tells it which request it is used for."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.idle_since_s = 0.0
        self.idle_limit_s = IDLE_S
        self.usable = True
        self.closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._sink: ResponseSink | None = None
        self._request_id = ""
        self._on_idle: Callable[[TargetConnection], None] | None = None
        self._headers: Headers = []
        self._reason = b""
        self._foreign = False
        self._waiting_bytes = 0
        self._skipped = False
        self._framed = True
        self._in_body = False
        self._silence_s = 0.0
        self._silence: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and have dead peers noticed."""
        self.transport = cast(asyncio.Transport, transport)
        sock: socket.socket = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def request(
        self,
        request_id: str,
        data: bytes,
        sink: ResponseSink,
        progress_timeout_s: float,
        on_idle: Callable[["TargetConnection"], None],
    ) -> None:
        """Send a request and have its answer told to the sink."""
        if self.transport is None:
            raise AssertionError("a request on a connection that is not open")
        self._sink, self._request_id, self._on_idle = sink, request_id, on_idle
        self._silence_s = progress_timeout_s
        self._foreign = self._in_body = False
        self._waiting_bytes = 0
        self._skipped = False
        self.transport.write(data)

    def abort(self) -> None:
        """Close at once; nothing more is told to the sink."""
        self._sink = None
        self.usable = False
        self._stop_timer()
        if self.transport is not None:
            self.transport.abort()

    def pause(self, paused: bool) -> None:
        """Stop or go on reading: the caller is slower than the target."""
        if self.transport is None or self.closed:
            return
        if paused:
            self._stop_timer()
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
            self._restart_timer()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._sink is None:
            # Bytes that nobody asked for: whatever follows could be taken for an answer.
            self.abort()
            return
        if not self._in_body:
            self._waiting_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._break("malformed")
        except httptools.HttpParserUpgrade:
            self._break("malformed")
        if self._in_body or self._sink is None:
            return
        if self._waiting_bytes > (SKIPPED_LIMIT_BYTES if self._skipped else HEAD_LIMIT_BYTES):
            self._break("too_large")

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._headers = []
        self._reason = b""
        if self._sink is None:
            self.usable = False

    def on_status(self, reason: bytes) -> None:
        """Called by the parser."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        sink = self._sink
        if sink is None:
            return
        status = int(self._parser.get_status_code())
        answer = decode_response(status, self._headers)
        names = {name for name, _ in self._headers}
        self._framed = b"content-length" in names or b"transfer-encoding" in names
        # Refusals by a target that read only the head may lack the id.
        anonymous = not answer.request_id and (answer.not_run or not self._request_id)
        if status < SWITCHING or not (anonymous or answer.request_id == self._request_id):
            self._foreign = True
            self._skipped = self._skipped or status >= SWITCHING
            self.usable = self.usable and status < SWITCHING
            return
        self._foreign = False
        self._in_body = True
        limit_s = keep_alive_s(self._headers)
        if limit_s is not None:
            self.idle_limit_s = min(IDLE_S, limit_s * 0.5)
        self._restart_timer()
        sink.on_head(answer, self._reason.decode("latin-1"), self._headers)

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self._sink is not None and not self._foreign and self._sink.on_body(data):
            self._restart_timer()

    def on_message_complete(self) -> None:
        """Called by the parser."""
        sink = self._sink
        if sink is None:
            return
        if self._foreign:
            self._foreign = False
            return
        self._sink = None
        self._in_body = False
        self._stop_timer()
        if self.transport is None or self.transport.get_write_buffer_size():
            self.usable = False
        if not self._parser.should_keep_alive():
            self.usable = False
        sink.on_complete()
        asyncio.get_running_loop().call_soon(self._retire)

    def _retire(self) -> None:
        """Give the connection back once the parser has seen all that came with the answer."""
        if not self.usable or self.closed or self._on_idle is None:
            self.abort()
        elif self._sink is None:
            self._on_idle(self)

    def eof_received(self) -> bool:
        """End an answer that has no length; any other is cut."""
        sink = self._sink
        if sink is not None and self._in_body and not self._framed:
            self._sink = None
            self.usable = False
            self._stop_timer()
            sink.on_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the sink that its answer is cut."""
        self.closed = True
        self.usable = False
        self._break("cut" if exc is None else "reset")

    def _break(self, cause: str) -> None:
        sink, self._sink = self._sink, None
        self.usable = False
        self._stop_timer()
        if self.transport is not None and not self.closed:
            self.transport.abort()
        if sink is not None:
            sink.on_failed(cause)

    def _restart_timer(self) -> None:
        self._stop_timer()
        if self._in_body and self._silence_s:
            loop = asyncio.get_running_loop()
            self._silence = loop.call_later(self._silence_s, self._on_silence)

    def _on_silence(self) -> None:
        """Tell the sink, which may give the send up, and go on waiting if it does not."""
        self._restart_timer()
        if self._sink is not None:
            self._sink.on_stalled()

    def _stop_timer(self) -> None:
        if self._silence is not None:
            self._silence.cancel()
            self._silence = None


class TargetConnectionPool:
    """Idle connections by address; with ``tls``, targets must prove who they are."""

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self.tls = tls
        self._idle: dict[Address, list[TargetConnection]] = {}
        self.opened = 0

    def take(self, address: Address, max_idle_s: float, now_s: float) -> TargetConnection | None:
        """Return the connection used last, if it may be used and was not idle for longer."""
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            limit_s = min(max_idle_s, conn.idle_limit_s)
            if conn.usable and not conn.closed and now_s - conn.idle_since_s < limit_s:
                return conn
            conn.abort()
        return None

    async def open(self, address: Address) -> TargetConnection | None:
        """Return a new connection, or None where it can't be opened in time."""
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            _, conn = await asyncio.wait_for(
                loop.create_connection(
                    lambda: TargetConnection(address), address.host, address.port, ssl=self.tls
                ),
                CONNECT_S,
            )
        except OSError:
            return None
        return conn

    def give_back(self, conn: TargetConnection, now_s: float) -> None:
        """Keep a connection for the next request."""
        idle = self._idle.setdefault(conn.address, [])
        if len(idle) >= IDLE_PER_TARGET:
            conn.abort()
            return
        conn.idle_since_s = now_s
        idle.append(conn)

    def sweep(self, now_s: float) -> None:
        """Close connections that were idle for too long."""
        for address in list(self._idle):
            kept = []
            for conn in self._idle[address]:
                if conn.usable and now_s - conn.idle_since_s < conn.idle_limit_s:
                    kept.append(conn)
                else:
                    conn.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.abort()
        self._idle = {}


class _Whole:
    """Collects an answer to a call of this system's own."""

    def __init__(self, done: asyncio.Future[tuple[int, bytes] | None], limit_bytes: int) -> None:
        self._done = done
        self._limit_bytes = limit_bytes
        self._status = 0
        self._body: list[bytes] = []
        self._size = 0

    def on_head(self, answer: ResponseHead, reason: str, headers: Headers) -> None:
        """Keep the status."""
        self._status = answer.status

    def on_body(self, data: bytes) -> bool:
        """Keep a part of the body, or give up on one that is too large to be an answer."""
        self._size += len(data)
        if self._size > self._limit_bytes:
            self._body.clear()
            self.on_failed("too_large")
            return False
        self._body.append(data)
        return True

    def on_complete(self) -> None:
        """Hand the answer over."""
        if not self._done.done():
            self._done.set_result((self._status, b"".join(self._body)))

    def on_stalled(self) -> None:
        """Wait on: calls of this system's own have a time limit."""

    def on_failed(self, cause: str) -> None:
        """Hand over that there is none."""
        if not self._done.done():
            self._done.set_result(None)


async def call_target(
    pool: TargetConnectionPool,
    address: Address,
    data: bytes,
    within_s: float,
    now_s: float,
    limit_bytes: int = HEAD_LIMIT_BYTES,
) -> tuple[int, bytes] | None:
    """Make a call of this system's own; return status and body, or None without an answer.

    A body of more than ``limit_bytes`` is no answer; its connection is closed.
    """
    link = pool.take(address, IDLE_S, now_s) or await pool.open(address)
    if link is None or link.closed:
        return None
    done: asyncio.Future[tuple[int, bytes] | None] = asyncio.get_running_loop().create_future()
    sink = _Whole(done, limit_bytes)
    link.request("", data, sink, 0.0, lambda idle: pool.give_back(idle, boot_time_s()))
    try:
        answer = await asyncio.wait_for(done, within_s)
    except TimeoutError:
        answer = None
    if answer is None:
        link.abort()
    return answer
