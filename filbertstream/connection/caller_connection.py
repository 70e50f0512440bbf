"""Connections from callers on the event loop: reads requests within limits and writes responses.

A connection serves one request at a time; pipelined requests are queued.  What it holds is counted
in the process's ``BufferBudget``, which pauses its reading or refuses its request.  Bytes are read
in bounded slices, so that other connections have their turn between them.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol, cast

from filbertstream.connection.buffer_budget import (
    MAX_SLICE_BYTES,
    MIN_SLICE_BYTES,
    BufferBudget,
    Kind,
    Reason,
)
from filbertstream.connection.read_pauses import ReadPauses
from filbertstream.connection.request_parser import RawRequest, RequestParser, kept_bytes
from filbertstream.connection.unread_bytes import has_ended, has_unread_bytes
from filbertstream.platform.headers import encode_local_response
from filbertstream.process.clock import boot_time_s
from filbertstream.statuses import REASONS, TIMEOUT, UNAVAILABLE
from filbertstream.version.routes import CallerLimits

PIPELINE_LIMIT: Final = 16
"""Reading from a connection pauses while this many pipelined requests are queued."""

WRITE_HIGH_BYTES: Final = 256 * 1024
"""Reading from the target pauses while this many bytes to the caller are unsent."""

BODY_TIMEOUT_S: Final = 15.0
"""A body must be complete this long after its head.  Callers announce shorter deadlines."""

LINGER_S: Final = 1.0
"""After the last response, what the caller still sends is read and dropped for this long."""

RETRY_AFTER_S: Final = 1.0
"""What a caller is told for whom there is no memory; other entries may have some."""

_SLICE: Final = memoryview(bytearray(MAX_SLICE_BYTES))
"""What was read last.  All connections share it: its bytes are parsed before the next are read."""


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


class CallerConnection(RequestParser, asyncio.BufferedProtocol):
    """One connection of a caller.

    ``began_s`` is when the first bytes of the request that is being served arrived.
    """

    def __init__(
        self,
        app: CallerApp,
        on_closed: Callable[["CallerConnection"], None],
        buffers: BufferBudget | None = None,
    ) -> None:
        super().__init__()
        self._app = app
        self._on_closed = on_closed
        self._buffers = BufferBudget() if buffers is None else buffers
        self.transport: asyncio.Transport | None = None
        self.call_id: int | None = None
        self.busy = False
        self.began_s = boot_time_s()
        self._queued: deque[tuple[RawRequest, float]] = deque()
        self._queued_bytes = 0
        self._running_bytes = 0
        self._unsent_bytes = 0
        self._unsent_since_s = 0.0
        self._reading_since_s = self.began_s
        self.idle_since_s = self.began_s
        self._reading = ReadPauses()
        self._expects_continue = False
        self._close_after = False
        self._close_announced = False
        self._lingering = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def _limits(self) -> CallerLimits:
        return self._app.limits

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout for the first request."""
        self.transport = cast(asyncio.Transport, transport)
        self._reading.start(self.transport, self._on_left)
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

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is being served or has begun to arrive."""
        if self.transport is None or not self.idle or has_unread_bytes(self.transport):
            return False
        self.transport.close()
        return True

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served."""
        reads = self._in_request or self._rejection is not None
        return not self.busy and not reads and not self._queued and not self._lingering

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to put the next bytes, at most a slice."""
        if not self._in_request or not self._head_done:
            return _SLICE[: self._buffers.head_slice_bytes()]
        size = MIN_SLICE_BYTES if self._is_slow_to_parse else self._buffers.slice_bytes()
        return _SLICE[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Read what has arrived."""
        self.data_received(_SLICE[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Read requests and serve the first.

        Requests that arrive together are read before any is served: the response to the first may
        close the connection.
        """
        if self._lingering:
            return
        self._feed(data)
        self._count_kept()
        if not self.busy and (self._queued or self._rejection is not None):
            self._next()

    def _count_kept(self) -> None:
        size = self._kept_bytes
        if size:
            self._buffers.arrive(self, size, boot_time_s())
        else:
            self._buffers.arrived(self)

    def _count_requests(self) -> None:
        self._buffers.hold(self, Kind.RUNNING, self._queued_bytes + self._running_bytes)

    def pause_arrival(self) -> None:
        """Stop to read until there is room."""
        self._reading.pause("memory")

    def resume_arrival(self) -> None:
        """Read again."""
        self._reading.resume("memory")

    def refuse_arrival(self, reason: Reason) -> None:
        """Refuse the request being read, which has not run, to make room."""
        self._reject(reason.status, f"no memory for this request: {reason}")
        if not self.busy:
            self._next()

    def _on_begun(self) -> None:
        self._reading_since_s = boot_time_s()
        self._expects_continue = False
        if not self.busy:
            self._set_request_timer()

    def _on_head(self, first: dict[bytes, bytes]) -> None:
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

    def _on_complete(self, raw: RawRequest) -> None:
        if len(self._queued) >= PIPELINE_LIMIT and self._buffers.is_full:
            self._reject(UNAVAILABLE, "no memory for so many requests behind one another")
            return
        self._queued.append((raw, self._reading_since_s))
        self._queued_bytes += kept_bytes(raw)
        self._count_requests()
        if len(self._queued) >= PIPELINE_LIMIT:
            self._reading.pause("pipeline")

    def _next(self) -> None:
        if not self._queued:
            if self._rejection is not None:
                self._close_rejected(*self._rejection)
            elif self._in_request:
                self._set_request_timer()
                self._send_continue()
            else:
                self.idle_since_s = boot_time_s()
                self._set_timer(self._app.limits.idle_timeout_s, self._on_idle_timeout)
            return
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None and has_ended(self.transport):  # Nobody waits for it.
            self.close()
            return
        self.busy = True
        raw, self.began_s = self._queued.popleft()
        if len(self._queued) == PIPELINE_LIMIT - 1:
            self._reading.resume("pipeline")
        size = kept_bytes(raw)
        self._queued_bytes -= size
        # The socket's buffer to the target may hold the body once more.
        self._running_bytes = size + len(raw.body)
        self._count_requests()
        self._close_after = self._close_after or raw.last
        self._app.on_request(self, raw)

    def _on_rejection(self, status: int, detail: str) -> None:
        """The request is rejected once the requests before it have their responses."""
        self._buffers.arrived(self)
        self._app.on_rejected(status, detail)

    def _close_rejected(self, status: int, detail: str) -> None:
        if self.transport is None or self.transport.is_closing() or self._lingering:
            return
        retry_s = RETRY_AFTER_S if status == UNAVAILABLE else None
        head, body = encode_local_response(status, REASONS[status], "", {"detail": detail}, retry_s)
        self.transport.write(head + b"\r\nConnection: close\r\n\r\n" + body)
        self._close_after_response(self.transport)

    def _close_after_response(self, transport: asyncio.Transport) -> None:
        """Close the connection; if the caller still sends, a reset could destroy the response."""
        sends = self._in_request or self._rejection is not None or has_unread_bytes(transport)
        if sends and transport.can_write_eof() and not transport.is_closing():
            self._lingering = True
            try:
                transport.write_eof()
            except OSError:
                # The caller has reset the connection since the response was written.
                transport.abort()
            else:
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
            self.count_unsent(boot_time_s())
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

    def count_unsent(self, now_s: float) -> None:
        """Count what the caller has not read; close if it has read nothing for the idle timeout.

        A stream is left to its target's time limits: its request runs.
        """
        if self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes == 0 or unsent_bytes < self._unsent_bytes or not self._unsent_bytes:
            self._unsent_since_s = now_s
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._buffers.hold(self, Kind.UNSENT, unsent_bytes)
        unread_s = now_s - self._unsent_since_s
        if unsent_bytes and not self.busy and unread_s > self._app.limits.idle_timeout_s:
            self._buffers.closed["response_not_read"] += 1
            self.transport.abort()

    def _finish(self) -> None:
        self.busy = False
        self.call_id = None
        self._running_bytes = 0
        self._count_requests()
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

    def _on_left(self) -> None:
        self.eof_received()
        self.close()

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
        self._reading.close()
        self._end()
        self._queued.clear()
        self._queued_bytes = self._running_bytes = 0
        self._buffers.arrived(self)
        self._count_requests()
        self._buffers.hold(self, Kind.UNSENT, 0)
        self._on_closed(self)
