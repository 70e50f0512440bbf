"""Response formats: how responses are encoded for callers, one class for each interface.

The format is chosen when a call arrives.  The I/O layer passes complete events and complete
responses to it and writes the bytes that it returns.  Formats own no sockets and make no decisions.
"""

from typing import Protocol

from filbertstream.platform.headers import Headers, encode_local_response, encode_response_head
from filbertstream.request.call import BufferedResponse
from filbertstream.statuses import REASONS


class Refusal(Protocol):
    """A local response, made by the entry itself; see ``request.call_events``."""

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def code(self) -> str:
        """The machine-readable reason."""

    @property
    def detail(self) -> str:
        """The human-readable reason."""

    @property
    def retry_after_s(self) -> float | None:
        """After how many seconds to retry, if a retry can help."""


class ResponseFormat(Protocol):
    """Encodes responses of targets and local responses for a caller.

    If ``collects`` is set, a stream is buffered and sent as one complete response.  Heads are
    returned without the empty line that ends them, since the connection may add a header.
    """

    collects: bool

    def begin(self, status: int, reason: str, headers: Headers) -> bytes:
        """Return the head of a streamed response."""

    def events(self, data: bytes) -> bytes:
        """Return the encoded form of complete events."""

    def end(self) -> bytes:
        """Return the bytes that follow the last event."""

    def broken(self) -> bytes | None:
        """Return the bytes that end an incomplete stream, or None to close the connection."""

    def complete(
        self, status: int, reason: str, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        """Return head and body of a target's complete response."""

    def stored(self, response: BufferedResponse) -> tuple[bytes, bytes]:
        """Return head and body of the response stored for the call's idempotency key."""

    def refusal(self, request_id: str, refusal: Refusal) -> tuple[bytes, bytes]:
        """Return head and body of a local response."""


class PassThroughFormat:
    """The format for callers that speak the targets' own protocol: responses pass unchanged."""

    collects = False

    def begin(self, status: int, reason: str, headers: Headers) -> bytes:
        """Return the target's head."""
        return encode_response_head(status, reason, headers, None)

    def events(self, data: bytes) -> bytes:
        """Return the events unchanged."""
        return data

    def end(self) -> bytes:
        """Return nothing: the end of the body is the end of the stream."""
        return b""

    def broken(self) -> bytes | None:
        """Return None: the connection is closed."""
        return None

    def complete(
        self, status: int, reason: str, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        """Return the target's response."""
        return encode_response_head(status, reason, headers, len(body)), body

    def stored(self, response: BufferedResponse) -> tuple[bytes, bytes]:
        """Return a stored response."""
        headers = [(b"content-type", response.content_type.encode())]
        reason = REASONS.get(response.status, "Answer")
        return (
            encode_response_head(response.status, reason, headers, len(response.body)),
            response.body,
        )

    def refusal(self, request_id: str, refusal: Refusal) -> tuple[bytes, bytes]:
        """Return a problem document with the request's id."""
        problem = {"code": refusal.code, "detail": refusal.detail, "request_id": request_id}
        reason = REASONS[refusal.status]
        return encode_local_response(
            refusal.status, reason, request_id, problem, refusal.retry_after_s
        )
