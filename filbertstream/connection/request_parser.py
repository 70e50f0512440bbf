"""Assembles the requests of one connection from its bytes, within the limits of the configuration.

httptools parses.  A request with ambiguous framing is rejected, which prevents request smuggling.
Bodies are joined as they arrive, because many small ``bytes`` objects take far more memory than
their content; header lines count with what Python takes to keep them.

httptools keeps a trailer line until it ends, so the bytes behind the last piece of a body
count, too.  They are limited as a head is.

An offer of another protocol (``Upgrade``) is ignored, as HTTP/1.1 allows.  httptools takes the head
of such a request for the end of its HTTP, so the head is parsed once more without the offer.
"""

from abc import ABC, abstractmethod
from typing import Final, NamedTuple

import httptools

from filbertstream.platform.headers import Headers
from filbertstream.statuses import BAD_REQUEST, FIELDS_TOO_LARGE, NOT_IMPLEMENTED, TOO_LARGE
from filbertstream.version.routes import CallerLimits

MAX_FRAMING_FACTOR: Final = 8
"""Largest number of bytes on the wire for each byte of a chunked body.  Chunks of one byte take
six."""

FRAMING_HEADERS: Final = (b"content-length", b"transfer-encoding")
"""Of these, a request may have one, and only once: its end would be ambiguous."""

MAX_HEADER_LINES: Final = 512
"""Callers behind proxies send a few dozen.  A head of 32 KiB has room for 6,500 lines, which would
take a megabyte."""

LINE_BYTES: Final = 160
"""What a header line takes beside its content: two ``bytes`` objects, a tuple and a place in a
list."""

REQUEST_BYTES: Final = 512
"""What a request takes beside its lines and its body."""

UPGRADE: Final = b"upgrade"

SLOW_FRAMING_FACTOR: Final = 2
"""A body with more bytes on the wire than this for each byte is read in the smallest slices, since
the parser makes three calls for each chunk."""


class RawRequest(NamedTuple):
    """A request as read; if ``last`` is set, the connection is closed after its response."""

    method: str
    path: str
    headers: Headers
    body: bytes
    last: bool = False


def kept_bytes(raw: RawRequest) -> int:
    """Return about how much memory a request takes."""
    lines = sum(len(name) + len(value) + LINE_BYTES for name, value in raw.headers)
    return REQUEST_BYTES + len(raw.path) + lines + len(raw.body)


class RequestParser(ABC):
    """The request that is being read; a subclass receives what the parser finds."""

    def __init__(self) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._lines_bytes = 0
        self._head_bytes = 0
        self._body_wire_bytes = 0
        self._bytes_since_body = 0
        self._in_request = False
        self._head_done = False
        self._offers_upgrade = False
        self._rejection: tuple[int, str] | None = None

    @property
    @abstractmethod
    def _limits(self) -> CallerLimits:
        """The current limits."""

    @abstractmethod
    def _on_begun(self) -> None:
        """A request has begun."""

    @abstractmethod
    def _on_head(self, first: dict[bytes, bytes]) -> None:
        """A head within the limits has arrived; of repeated headers one value is given."""

    @abstractmethod
    def _on_complete(self, raw: RawRequest) -> None:
        """A request has arrived completely."""

    @abstractmethod
    def _on_rejection(self, status: int, detail: str) -> None:
        """The request being read was rejected."""

    def _reject(self, status: int, detail: str) -> None:
        """Reject the request being read; nothing of it is kept."""
        if self._rejection is None:
            self._rejection = (status, detail)
            self._drop()
            self._on_rejection(status, detail)

    def _drop(self) -> None:
        self._headers, self._body, self._url, self._lines_bytes = [], bytearray(), b"", 0

    def _end(self) -> None:
        """Keep nothing.  The parser refers back here, which only a garbage collection would end."""
        self._drop()
        self._parser = None

    @property
    def _kept_bytes(self) -> int:
        """What is kept of the request being read."""
        if not self._in_request or self._rejection is not None:
            return 0
        kept_bytes = REQUEST_BYTES + self._lines_bytes + self._head_bytes + len(self._body)
        return kept_bytes + self._bytes_since_body

    @property
    def _is_slow_to_parse(self) -> bool:
        """Whether parsing takes long: the body comes in small chunks, or a trailer line goes on."""
        if self._bytes_since_body:
            return True
        return self._body_wire_bytes > SLOW_FRAMING_FACTOR * len(self._body)

    def _feed(self, data: bytes | memoryview) -> None:
        """Feed the parser and enforce the limits."""
        if self._rejection is not None or self._parser is None:
            return
        if not self._head_done:
            self._head_bytes += len(data)
        else:
            self._body_wire_bytes += len(data)
            self._bytes_since_body += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError as exc:
            self._reject(BAD_REQUEST, f"malformed request: {exc}")
        if self._rejection is not None:
            return
        limits = self._limits
        if not self._head_done and self._head_bytes > limits.header_bytes:
            self._reject(FIELDS_TOO_LARGE, f"request head exceeds {limits.header_bytes} bytes")
        if self._bytes_since_body > limits.header_bytes:
            self._reject(FIELDS_TOO_LARGE, f"request trailer exceeds {limits.header_bytes} bytes")
        wire_limit_bytes = limits.header_bytes + MAX_FRAMING_FACTOR * len(self._body)
        if self._in_request and self._body_wire_bytes > wire_limit_bytes:
            self._reject(BAD_REQUEST, "chunked body has too much framing overhead")

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse bytes; the heads of requests with an offer of another protocol twice."""
        while self._parser is not None:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                if self._rejection is not None:
                    return
                data = bytes(data[exc.args[0] :])
                head = self._head_without_offer()
                self._parser = httptools.HttpRequestParser(self)
                self._parser.feed_data(head)
            else:
                return

    def _head_without_offer(self) -> bytes:
        """Return the head that was just parsed, without the offer of another protocol."""
        if self._parser is None:
            return b""
        method, version = self._parser.get_method(), self._parser.get_http_version().encode()
        lines = [b"%b: %b\r\n" % line for line in self._headers if line[0] != UPGRADE]
        return b"%b %b HTTP/%b\r\n%b\r\n" % (method, self._url, version, b"".join(lines))

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._offers_upgrade = False
        self._url = b""
        self._headers = []
        self._body = bytearray()
        self._lines_bytes = 0
        self._body_wire_bytes = 0
        self._bytes_since_body = 0
        self._in_request = True
        self._head_done = False
        self._on_begun()

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser; trailer fields are ignored."""
        if self._head_done or self._rejection is not None:
            return
        if len(self._headers) >= MAX_HEADER_LINES:
            self._reject(FIELDS_TOO_LARGE, f"request head exceeds {MAX_HEADER_LINES} lines")
            return
        self._headers.append((name.lower(), value))
        self._lines_bytes += len(name) + len(value) + LINE_BYTES

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._head_done = True
        self._head_bytes = 0
        if self._rejection is not None or self._parser is None:
            return
        if self._parser.get_method() == b"CONNECT":
            self._reject(NOT_IMPLEMENTED, "tunnels are not supported")
            return
        self._offers_upgrade = self._parser.should_upgrade()
        if self._offers_upgrade:
            return
        size = len(self._url) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        names = [name for name, _ in self._headers]
        first = dict(self._headers)
        length = first.get(b"content-length", b"0")
        limits = self._limits
        if size > limits.header_bytes:
            self._reject(
                FIELDS_TOO_LARGE,
                f"request head of {size} bytes exceeds {limits.header_bytes} bytes",
            )
        elif sum(name in FRAMING_HEADERS for name in names) > 1:
            self._reject(BAD_REQUEST, "more than one Content-Length or Transfer-Encoding")
        elif length.isdigit() and int(length) > limits.body_bytes:
            self._reject(TOO_LARGE, f"request body exceeds {limits.body_bytes} bytes")
        else:
            self._on_head(first)

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self._rejection is not None:
            return
        self._body += data
        self._bytes_since_body = 0
        limit_bytes = self._limits.body_bytes
        if len(self._body) > limit_bytes:
            self._reject(TOO_LARGE, f"request body exceeds {limit_bytes} bytes")

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._rejection is not None or self._parser is None or self._offers_upgrade:
            return
        self._in_request = False
        self._bytes_since_body = 0
        last = not self._parser.should_keep_alive()
        method = self._parser.get_method().decode("ascii")
        path = self._url.decode("latin-1")
        raw = RawRequest(method, path, self._headers, bytes(self._body), last)
        self._headers, self._body, self._lines_bytes = [], bytearray(), 0
        self._on_complete(raw)
