"""Connections from callers on the event loop: bounded, checked requests in, answers out.

httptools parses.  A request whose framing is ambiguous is refused and its connection closed, so
that nothing can be smuggled inside another.  One request of a connection is served at a time; those
sent ahead wait.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol, cast

import httptools

from filbertstream.platform.headers import Headers, encode_local_response
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
"""Requests that a connection may send ahead before it is read no further."""

WRITE_HIGH_BYTES: Final = 256 * 1024
"""Unsent bytes of a caller's connection at which its target is read no further."""

FRAMING_FACTOR: Final = 8
"""Bytes on the wire for each byte of a body that comes in chunks: six for chunks of one byte."""

BODY_S: Final = 15.0
"""A body must be complete this long after its head; callers announce shorter deadlines."""


class RawRequest(NamedTuple):
    """A request as it was read; ``last`` asks for the connection to end with its answer."""

    method: str
    path: str
    headers: Headers
    body: bytes
    last: bool = False


class CallerApp(Protocol):
    """What the connections of callers are served by."""

    @property
    def limits(self) -> CallerLimits:
        """The limits in force."""

    @property
    def closing(self) -> bool:
        """Whether answers should end their connections."""

    def on_request(self, conn: "CallerConnection", raw: RawRequest) -> None:
        """Serve a request that was read whole."""

    def on_disconnected(self, conn: "CallerConnection") -> None:
        """The caller closed its connection."""

    def on_pause(self, conn: "CallerConnection", paused: bool) -> None:
        """The caller reads too slowly, or reads again."""

    def on_rejected(self, status: int, detail: str) -> None:
        """A request was refused before it could be read whole."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, app: CallerApp, forget: Callable[["CallerConnection"], None]) -> None:
        self._app = app
        self._forget = forget
        self.transport: asyncio.Transport | None = None
        self.call_id: int | None = None
        self.busy = False
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[RawRequest] = deque()
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._wire_bytes = 0
        self._in_request = False
        self._head_done = False
        self._close_after = False
        self._refusing = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for the first request."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._wait(self._app.limits.idle_timeout_s, self._on_idle)

    def _wait(self, seconds: float, then: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, then)

    def _on_idle(self) -> None:
        self.close()

    def _on_slow(self) -> None:
        self._reject(TIMEOUT, "the request did not arrive in time")

    def close(self) -> None:
        """Close the connection once what was written is sent."""
        if self.transport is not None:
            self.transport.close()

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served."""
        return not self.busy and not self._in_request and not self._waiting

    def data_received(self, data: bytes) -> None:
        """Feed the parser, within the limits."""
        if self._refusing:
            return
        if not self._head_done:
            self._head_bytes += len(data)
        else:
            self._wire_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(NOT_IMPLEMENTED, "upgrades are not served")
            return
        except httptools.HttpParserError as exc:
            self._reject(BAD_REQUEST, f"malformed request: {exc}")
            return
        if self._refusing:
            return
        limits = self._app.limits
        if not self._head_done and self._head_bytes > limits.header_bytes:
            self._reject(FIELDS_TOO_LARGE, "the head is too large")
        framing_bytes = limits.header_bytes + FRAMING_FACTOR * self._body_bytes
        if self._in_request and self._wire_bytes > framing_bytes:
            self._reject(BAD_REQUEST, "the body is mostly framing")

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._url = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._wire_bytes = 0
        self._in_request = True
        self._head_done = False
        if not self.busy:
            self._wait(self._app.limits.header_timeout_s, self._on_slow)

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser; what comes after a body has no meaning here."""
        if not self._head_done:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._head_done = True
        self._head_bytes = 0
        size = len(self._url) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        names = [name for name, _ in self._headers]
        if size > self._app.limits.header_bytes:
            self._reject(FIELDS_TOO_LARGE, "the head is too large")
        elif b"content-length" in names and b"transfer-encoding" in names:
            self._reject(BAD_REQUEST, "both Content-Length and Transfer-Encoding")
        else:
            self._after_head(dict(self._headers))

    def _after_head(self, first: dict[bytes, bytes]) -> None:
        length = first.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._app.limits.body_bytes:
            self._reject(TOO_LARGE, "the body is too large")
            return
        if not self.busy:
            self._wait(BODY_S, self._on_slow)
        if first.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self._refusing:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._app.limits.body_bytes:
            self._reject(TOO_LARGE, "the body is too large")
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._refusing:
            return
        self._in_request = False
        last = not self._parser.should_keep_alive()
        method = self._parser.get_method().decode("ascii")
        path = self._url.decode("latin-1")
        self._waiting.append(RawRequest(method, path, self._headers, b"".join(self._body), last))
        self._body = []
        if len(self._waiting) >= PIPELINE_LIMIT and self.transport is not None:
            self.transport.pause_reading()
        if not self.busy:
            self._next()

    def _next(self) -> None:
        if not self._waiting:
            if not self._in_request:
                self._wait(self._app.limits.idle_timeout_s, self._on_idle)
            return
        if len(self._waiting) >= PIPELINE_LIMIT and self.transport is not None:
            self.transport.resume_reading()
        if self._timer is not None:
            self._timer.cancel()
        self.busy = True
        raw = self._waiting.popleft()
        self._close_after = self._close_after or raw.last
        self._app.on_request(self, raw)

    def _reject(self, status: int, detail: str) -> None:
        """Refuse what can't be read and close, after the answers that are still due."""
        if self._refusing:
            return
        self._refusing = True
        self._app.on_rejected(status, detail)
        if self.busy or self.transport is None:
            self._close_after = True
            self._waiting.clear()
            return
        head, body = encode_local_response(status, REASONS[status], "", {"detail": detail}, None)
        self.transport.write(head + b"\r\nConnection: close\r\n\r\n" + body)
        self.transport.close()

    def _ending(self) -> bytes:
        if self._app.closing:
            self._close_after = True
        return b"\r\nConnection: close\r\n\r\n" if self._close_after else b"\r\n\r\n"

    def send_response(self, head: bytes, body: bytes) -> None:
        """Send a whole answer."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(head + self._ending() + body)
        self._done()

    def begin(self, head: bytes) -> None:
        """Send the head of a streamed answer."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(head + self._ending())

    def stream(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """End a streamed answer as whole."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"0\r\n\r\n")
        self._done()

    def abort(self) -> None:
        """End a streamed answer as broken."""
        if self.transport is not None:
            self.transport.abort()

    def _done(self) -> None:
        self.busy = False
        self.call_id = None
        if self.transport is None:
            return
        if self._close_after or self._app.closing:
            # A request that the caller has sent ahead was not passed on and may be repeated.
            self.transport.close()
            return
        # The parser may be in the middle of the bytes that brought this request.
        asyncio.get_running_loop().call_soon(self._next_if_idle)

    def _next_if_idle(self) -> None:
        if not self.busy and self.transport is not None and not self.transport.is_closing():
            self._next()

    def eof_received(self) -> bool:
        """A caller that closes its side has left."""
        if self.busy:
            self._app.on_disconnected(self)
        return False

    def pause_writing(self) -> None:
        """Called when the caller reads too slowly."""
        self._app.on_pause(self, True)

    def resume_writing(self) -> None:
        """Called when the caller reads again."""
        self._app.on_pause(self, False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the caller waited for."""
        if self._timer is not None:
            self._timer.cancel()
        if self.busy:
            self._app.on_disconnected(self)
        self.busy = False
        self.transport = None
        self._forget(self)
