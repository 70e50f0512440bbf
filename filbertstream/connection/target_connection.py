"""Connections to targets on the event loop; ``connection.target_pool`` keeps idle ones.

Each connection carries one request at a time.  httptools parses; this module matches responses to
requests by their id.  A response with another request's id is skipped, and a connection that may
still hold bytes of another response is never reused.
"""

import asyncio
import contextlib
import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Callable
from typing import Final, Protocol, cast

import httptools

from filbertstream.connection.response_budget import FramingBudget
from filbertstream.platform.headers import Headers, decode_response, keep_alive_s
from filbertstream.process.deployment import Address
from filbertstream.request.call import ResponseHead

IDLE_TIMEOUT_S: Final = 3.0
"""Idle connections are closed after this time, or earlier if the target announces less."""

USER_TIMEOUT_MS: Final = 2_500
"""A connection is closed if sent bytes stay unacknowledged for this time."""

KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2

JOINED_BYTES: Final = 65_536
"""A body up to this size is sent in one write with its head; a larger one is not copied for it."""

MAX_REFUSALS: Final = 64
"""Rejections after which a connection is closed; their request ids are kept."""

UPLOAD_CHECK_S: Final = 0.02
"""Interval of checking whether a request has arrived whose response has ended."""

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""A linger time of zero, which makes the kernel drop what is unsent and reset the connection."""

STATUSES: Final = range(100, 600)
"""The status codes of RFC 9110.  Other bytes in their place are no response."""

FIRST_FINAL_STATUS: Final = 200
"""Statuses below this are those of interim responses."""


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes the other side's kernel has not acknowledged, 0 if that is unknown."""
    try:
        count = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


class ResponseSink(Protocol):
    """Receives the response to one send."""

    def on_head(self, response: ResponseHead, reason: str, headers: Headers) -> None:
        """Receive the head of the response."""

    def on_body(self, data: bytes) -> bool:
        """Receive a part of the body; return whether it counts as progress of the response."""

    def on_complete(self) -> None:
        """The response is complete."""

    def on_connection_end(self) -> None:
        """The connection ended after a response that has no length and no chunks."""

    def on_stalled(self) -> None:
        """A response that has begun made no progress for the progress timeout."""

    def on_failed(self, cause: str) -> None:
        """The connection ended early, or the response is invalid."""


class TargetConnection(asyncio.Protocol):
    """One connection to a target; ``request`` starts its next request."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.idle_since_s = 0.0
        self.idle_limit_s = IDLE_TIMEOUT_S
        self.usable = True
        self.closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._sink: ResponseSink | None = None
        self._request_id = ""
        self.refused_ids: set[str] = set()
        self._on_idle: Callable[[TargetConnection], None] | None = None
        self.on_idle_lost: Callable[[TargetConnection], None] | None = None
        self._headers: Headers = []
        self._reason = b""
        self._skipping = False
        self._framing = FramingBudget()
        self._has_length = True
        self._in_body = False
        self._ended = False
        self._progress_timeout_s = 0.0
        self._progress_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and enable the detection of dead connections."""
        self.transport = cast(asyncio.Transport, transport)
        sock: socket.socket = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def request(
        self,
        request_id: str,
        data: bytes,
        sink: ResponseSink,
        progress_timeout_s: float,
        on_idle: Callable[["TargetConnection"], None],
        body: bytes = b"",
    ) -> None:
        """Send a request and deliver its response to the sink."""
        if self.transport is None:
            raise AssertionError("request on a connection that was never opened")
        self._sink, self._request_id, self._on_idle = sink, request_id, on_idle
        self._progress_timeout_s = progress_timeout_s
        self._skipping = self._in_body = self._ended = False
        self._framing = FramingBudget()
        if len(body) <= JOINED_BYTES:
            self.transport.write(data + body)
        else:
            self.transport.write(data)
            self.transport.write(body)

    @property
    def unsent_bytes(self) -> int:
        """The bytes of requests that the kernel has not accepted yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close at once; the sink is not called any more.

        A request without a response is reset: a close would let the kernel deliver the rest first.
        """
        if self._sink is not None and self.transport is not None and not self.closed:
            sock: socket.socket | None = self.transport.get_extra_info("socket")
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._sink = None
        self.usable = False
        self._stop_timer()
        if self.transport is not None:
            self.transport.abort()

    def pause(self, paused: bool) -> None:
        """Pause or resume reading, because the caller reads slower than the target sends.

        A response that is complete pauses nothing: the connection may get another call's next.
        """
        if self.transport is None or self.closed or self._sink is None or self._ended:
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
            # Unsolicited bytes: anything after them could be mistaken for a response.
            self.abort()
            return
        self._framing.add(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._break("malformed")
        except httptools.HttpParserUpgrade:
            self._break("malformed")
        if self._sink is not None and self._framing.exceeded:
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
        """Called by the parser; trailer fields are ignored."""
        if not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        sink = self._sink
        if sink is None:
            return
        status = int(self._parser.get_status_code())
        if status not in STATUSES:
            self._break("malformed")
            return
        response = decode_response(status, self._headers)
        names = {name for name, _ in self._headers}
        self._has_length = b"content-length" in names or b"transfer-encoding" in names
        # A target that rejects a request after reading only its head may omit the request id.
        # After an earlier rejection it may also be that one, written once more.
        rejected = response.not_run and not self.refused_ids
        without_id = not response.request_id and (rejected or not self._request_id)
        if status < FIRST_FINAL_STATUS or not (
            without_id or response.request_id == self._request_id
        ):
            self._skipping = True
            if status >= FIRST_FINAL_STATUS:
                self._framing.note_skipped()
            self.usable = self.usable and status < FIRST_FINAL_STATUS
            return
        self._skipping = False
        self._in_body = True
        if response.not_run:
            self._note_refusal()
        limit_s = keep_alive_s(self._headers)
        if limit_s is not None:
            self.idle_limit_s = min(IDLE_TIMEOUT_S, limit_s * 0.5)
        self._restart_timer()
        sink.on_head(response, self._reason.decode("latin-1"), self._headers)

    def _note_refusal(self) -> None:
        self.refused_ids.add(self._request_id)
        if len(self.refused_ids) >= MAX_REFUSALS:
            self.usable = False

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self._sink is None or self._skipping:
            return
        self._framing.note_body()
        if self._sink.on_body(data):
            self._restart_timer()

    def on_message_complete(self) -> None:
        """Called by the parser."""
        sink = self._sink
        if sink is None:
            return
        if self._skipping:
            self._skipping = False
            return
        self._sink = None
        self._in_body = False
        self._stop_timer()
        if self.transport is None or self.unsent_bytes:
            self.usable = False
        else:
            self.transport.resume_reading()
        if not self._parser.should_keep_alive():
            self.usable = False
        sink.on_complete()
        asyncio.get_running_loop().call_soon(self._release)

    def _release(self) -> None:
        """Return the connection to the pool once the parser has consumed all received bytes."""
        if not self.usable or self.closed or self._on_idle is None:
            self.abort()
        elif self._sink is None:
            self._on_idle(self)

    def eof_received(self) -> bool:
        """Report the end of a response without a length; any other is cut off.

        The target may have ended its side while the request is still on its way.  It is sent on, as
        a target that has not read it resets the connection, and then its response was not whole.
        """
        if self._sink is None or not self._in_body or self._has_length:
            return False
        self._ended = True
        self.usable = False
        self._stop_timer()
        self._end_after_upload()
        return self._sink is not None

    def _end_after_upload(self) -> None:
        """Report the end of the response once the target has received the whole request."""
        if self.transport is None or self._sink is None:
            return
        sock: socket.socket | None = self.transport.get_extra_info("socket")
        if sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._break("reset")
        elif self.unsent_bytes or (sock is not None and unacknowledged_bytes(sock)):
            loop = asyncio.get_running_loop()
            self._progress_timer = loop.call_later(UPLOAD_CHECK_S, self._end_after_upload)
        else:
            sink, self._sink = self._sink, None
            sink.on_connection_end()
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the sink that its response is cut off, or to the pool that it ended idle."""
        if self._sink is None and self.usable and self.on_idle_lost is not None:
            self.on_idle_lost(self)
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
        if self._in_body and self._progress_timeout_s:
            loop = asyncio.get_running_loop()
            self._progress_timer = loop.call_later(self._progress_timeout_s, self._on_stall)

    def _on_stall(self) -> None:
        """Report the stall to the sink, which may abandon the send; otherwise keep waiting."""
        self._restart_timer()
        if self._sink is not None:
            self._sink.on_stalled()

    def _stop_timer(self) -> None:
        if self._progress_timer is not None:
            self._progress_timer.cancel()
            self._progress_timer = None
