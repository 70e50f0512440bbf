"""Connections from callers on the event loop: reads requests within limits and writes responses.

httptools parses.  A request with ambiguous framing is rejected and its connection closed, which
prevents request smuggling.  A connection serves one request at a time; pipelined requests are
queued.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol, cast

import httptools

from filbertstream.connection.unread_bytes import has_unread_bytes
from filbertstream.platform.headers import Headers, encode_local_response
from filbertstream.process.clock import boot_time_s
from filbertstream.statuses import (
    BAD_REQUEST,
    FIELDS_TOO_LARGE,
    NOT_IMPLEMENTED,
    REASONS,
    TIMEOUT,
    TOO_LARGE,
)
from filbertstream.version.routes import CallerLimits

PIPELINE_LIMIT: Final = 16
"""Reading from a connection pauses while this many pipelined requests are queued."""

WRITE_HIGH_BYTES: Final = 256 * 1024
"""Reading from the target pauses while this many bytes to the caller are unsent."""

MAX_FRAMING_FACTOR: Final = 8
"""Largest number of bytes on the wire for each byte of a chunked body.  Chunks of one byte take
six."""

BODY_TIMEOUT_S: Final = 15.0
"""A body must be complete this long after its head.  Callers announce shorter deadlines."""

FRAMING_HEADERS: Final = (b"content-length", b"transfer-encoding")
"""Of these, a request may have one, and only once: its end would be ambiguous."""

LINGER_S: Final = 1.0
"""After the last response, what the caller still sends is read and dropped for this long."""


class RawRequest(NamedTuple):
    """A request as read; if ``last`` is set, the connection is closed after its response."""

    method: str
    path: str
    headers: Headers
    body: bytes
    last: bool = False


class CallerApp(Protocol):
    """The application that serves the connections of callers."""

    @property
    def limits(self) -> CallerLimits:
        """The current limits."""

    @property
    def closing(self) -> bool:
        """Whether responses should close their connections."""

    def on_request(self, conn: "CallerConnection", raw: RawRequest) -> None:
        """Serve a request that was read completely."""

    def on_disconnected(self, conn: "CallerConnection") -> None:
        """The caller closed its connection."""

    def on_pause(self, conn: "CallerConnection", paused: bool) -> None:
        """The write buffer to the caller is full (``paused``), or has drained again."""

    def on_rejected(self, status: int, detail: str) -> None:
        """A request was rejected before it was read completely."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    ``began_s`` is when the first bytes of the request that is being served arrived.
    """

    def __init__(self, app: CallerApp, on_closed: Callable[["CallerConnection"], None]) -> None:
        self._app = app
        self._on_closed = on_closed
        self.transport: asyncio.Transport | None = None
        self.call_id: int | None = None
        self.busy = False
        self._parser = httptools.HttpRequestParser(self)
        self.began_s = boot_time_s()
        self._queued: deque[tuple[RawRequest, float]] = deque()
        self._reading_since_s = self.began_s
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._body_wire_bytes = 0
        self._in_request = False
        self._head_done = False
        self._expects_continue = False
        self._close_after = False
        self._close_announced = False
        self._rejection: tuple[int, str] | None = None
        self._lingering = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout for the first request."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._set_timer(self._app.limits.idle_timeout_s, self._on_idle_timeout)

    def _set_timer(self, seconds: float, then: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, then)

    def _set_request_timer(self) -> None:
        """Limit the time for the rest of the request; one behind others starts after them."""
        seconds = BODY_TIMEOUT_S if self._head_done else self._app.limits.header_timeout_s
        self._set_timer(seconds, self._on_request_timeout)

    def _on_idle_timeout(self) -> None:
        self._set_timer(self._app.limits.idle_timeout_s, self._on_idle_timeout)
        self.close_if_idle()

    def _on_request_timeout(self) -> None:
        self._reject(TIMEOUT, "request not received completely within the time limit")
        if not self.busy:
            self._next()

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being served or has begun to arrive."""
        if self.idle and self.transport is not None and not has_unread_bytes(self.transport):
            self.transport.close()

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served."""
        reads = self._in_request or self._rejection is not None
        return not self.busy and not reads and not self._queued and not self._lingering

    def data_received(self, data: bytes) -> None:
        """Read requests and serve the first.

        Requests that arrive together are read before any is served: the response to the first may
        close the connection.
        """
        if self._lingering:
            return
        self._read(data)
        if not self.busy and (self._queued or self._rejection is not None):
            self._next()

    def _read(self, data: bytes) -> None:
        """Feed the parser and enforce the limits."""
        if self._rejection is not None:
            return
        if not self._head_done:
            self._head_bytes += len(data)
        else:
            self._body_wire_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(NOT_IMPLEMENTED, "protocol upgrades are not supported")
            return
        except httptools.HttpParserError as exc:
            self._reject(BAD_REQUEST, f"malformed request: {exc}")
            return
        if self._rejection is not None:
            return
        limits = self._app.limits
        if not self._head_done and self._head_bytes > limits.header_bytes:
            self._reject(FIELDS_TOO_LARGE, f"request head exceeds {limits.header_bytes} bytes")
        wire_limit_bytes = limits.header_bytes + MAX_FRAMING_FACTOR * self._body_bytes
        if self._in_request and self._body_wire_bytes > wire_limit_bytes:
            self._reject(BAD_REQUEST, "chunked body has too much framing overhead")

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._reading_since_s = boot_time_s()
        self._url = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._body_wire_bytes = 0
        self._in_request = True
        self._head_done = False
        self._expects_continue = False
        if not self.busy:
            self._set_request_timer()

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser; trailer fields are ignored."""
        if not self._head_done:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._head_done = True
        self._head_bytes = 0
        size = len(self._url) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        names = [name for name, _ in self._headers]
        if size > self._app.limits.header_bytes:
            self._reject(
                FIELDS_TOO_LARGE,
                f"request head of {size} bytes exceeds {self._app.limits.header_bytes} bytes",
            )
        elif sum(name in FRAMING_HEADERS for name in names) > 1:
            self._reject(BAD_REQUEST, "more than one Content-Length or Transfer-Encoding")
        else:
            self._after_head(dict(self._headers))

    def _after_head(self, first: dict[bytes, bytes]) -> None:
        length = first.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._app.limits.body_bytes:
            self._reject(TOO_LARGE, f"request body exceeds {self._app.limits.body_bytes} bytes")
            return
        if not self.busy:
            self._set_request_timer()
        self._expects_continue = first.get(b"expect", b"").lower() == b"100-continue"
        if not self.busy and not self._queued:
            self._send_continue()

    def _send_continue(self) -> None:
        """Ask for the body if the caller waits for that; must not come inside a response."""
        if self._expects_continue and self.transport is not None:
            self._expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self._rejection is not None:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._app.limits.body_bytes:
            self._reject(TOO_LARGE, f"request body exceeds {self._app.limits.body_bytes} bytes")
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._rejection is not None:
            return
        self._in_request = False
        last = not self._parser.should_keep_alive()
        method = self._parser.get_method().decode("ascii")
        path = self._url.decode("latin-1")
        raw = RawRequest(method, path, self._headers, b"".join(self._body), last)
        self._queued.append((raw, self._reading_since_s))
        self._body = []
        if len(self._queued) >= PIPELINE_LIMIT and self.transport is not None:
            self.transport.pause_reading()

    def _next(self) -> None:
        if not self._queued:
            if self._rejection is not None:
                self._close_rejected(*self._rejection)
            elif self._in_request:
                self._set_request_timer()
                self._send_continue()
            else:
                self._set_timer(self._app.limits.idle_timeout_s, self._on_idle_timeout)
            return
        if self._timer is not None:
            self._timer.cancel()
        self.busy = True
        raw, self.began_s = self._queued.popleft()
        if len(self._queued) == PIPELINE_LIMIT - 1 and self.transport is not None:
            self.transport.resume_reading()
        self._close_after = self._close_after or raw.last
        self._app.on_request(self, raw)

    def _reject(self, status: int, detail: str) -> None:
        """Reject the request being read, once the requests before it have their responses."""
        if self._rejection is None:
            self._rejection = (status, detail)
            self._app.on_rejected(status, detail)

    def _close_rejected(self, status: int, detail: str) -> None:
        if self.transport is None or self.transport.is_closing() or self._lingering:
            return
        head, body = encode_local_response(status, REASONS[status], "", {"detail": detail}, None)
        self.transport.write(head + b"\r\nConnection: close\r\n\r\n" + body)
        self._close_after_response(self.transport)

    def _close_after_response(self, transport: asyncio.Transport) -> None:
        """Close the connection; if the caller still sends, a reset could destroy the response."""
        sends = self._in_request or self._rejection is not None or has_unread_bytes(transport)
        if sends and transport.can_write_eof() and not transport.is_closing():
            self._lingering = True
            transport.write_eof()
            self._set_timer(LINGER_S, self.close)
        else:
            transport.close()

    @property
    def _closes_next(self) -> bool:
        """Whether the connection is to be closed and no request waits or arrives."""
        more = self._queued or self._in_request or self._rejection is not None
        return (self._app.closing or self._close_announced) and not more

    def _end_of_head(self) -> bytes:
        if not self._close_after and not self._closes_next:
            return b"\r\n\r\n"
        # What arrives behind a long response all the same is answered before the close.
        self._close_announced = True
        return b"\r\nConnection: close\r\n\r\n"

    def send_response(self, head: bytes, body: bytes) -> None:
        """Send a complete response."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(head + self._end_of_head() + body)
        self._finish()

    def begin(self, head: bytes) -> None:
        """Send the head of a streamed response."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(head + self._end_of_head())

    def stream(self, data: bytes) -> None:
        """Send a chunk of a streamed response."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """End a streamed response that is complete."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Close the connection at once, so that the caller sees a streamed response as cut off."""
        if self.transport is not None:
            self.transport.abort()

    def _finish(self) -> None:
        self.busy = False
        self.call_id = None
        if self.transport is None:
            return
        if self._close_after or (self._closes_next and not has_unread_bytes(self.transport)):
            self._close_after_response(self.transport)
            return
        asyncio.get_running_loop().call_soon(self._next_if_idle)

    def _next_if_idle(self) -> None:
        if self.busy or self._lingering or self.transport is None:
            return
        if not self.transport.is_closing():
            self._next()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnect."""
        if self.busy:
            self._app.on_disconnected(self)
        return False

    def pause_writing(self) -> None:
        """Called when the write buffer is full."""
        self._app.on_pause(self, True)

    def resume_writing(self) -> None:
        """Called when the write buffer has drained."""
        self._app.on_pause(self, False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call in progress, if any."""
        if self._timer is not None:
            self._timer.cancel()
        if self.busy:
            self._app.on_disconnected(self)
        self.busy = False
        self.transport = None
        self._on_closed(self)
