"""How answers look to a caller: one form for each interface, chosen when a call arrives.

The edge passes whole events and whole answers to a form and writes what it returns; forms keep no
sockets and decide nothing.
"""

from typing import Protocol

from filbertstream.platform.headers import Headers, encode_local_response, encode_response_head
from filbertstream.request.call import BufferedResponse
from filbertstream.statuses import REASONS


class Refusal(Protocol):
    """An answer of this system's own, as ``request.call_events`` describes it."""

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def code(self) -> str:
        """Why, in a word."""

    @property
    def detail(self) -> str:
        """Why, for a person."""

    @property
    def retry_after_s(self) -> float | None:
        """When to come back."""


class ResponseFormat(Protocol):
    """Turns a target's answer, or this system's own, into a caller's bytes.

    ``collects`` asks that a stream is gathered and answered whole.  Heads come without the empty
    line that ends them, since the connection adds its own header.
    """

    collects: bool

    def begin(self, status: int, reason: str, headers: Headers) -> bytes:
        """Return the head of a streamed answer."""

    def events(self, data: bytes) -> bytes:
        """Return what to pass on of whole events."""

    def end(self) -> bytes:
        """Return what follows the last event."""

    def broken(self) -> bytes | None:
        """Return what ends a stream that can't be made whole; None: its connection is cut."""

    def complete(
        self, status: int, reason: str, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        """Return head and body of an answer that is passed on whole."""

    def kept(self, answer: BufferedResponse) -> tuple[bytes, bytes]:
        """Return head and body of the answer that an earlier call of the same key got."""

    def refusal(self, request_id: str, refusal: Refusal) -> tuple[bytes, bytes]:
        """Return head and body of an answer of this system's own."""


class PassThroughFormat:
    """The form of callers that speak the targets' own protocol: what comes is passed on."""

    collects = False

    def begin(self, status: int, reason: str, headers: Headers) -> bytes:
        """Return the target's head."""
        return encode_response_head(status, reason, headers, None)

    def events(self, data: bytes) -> bytes:
        """Return the events as they came."""
        return data

    def end(self) -> bytes:
        """Return nothing: the end of the body is the end of the stream."""
        return b""

    def broken(self) -> bytes | None:
        """Ask for the connection to be cut."""
        return None

    def complete(
        self, status: int, reason: str, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        """Return the target's answer."""
        return encode_response_head(status, reason, headers, len(body)), body

    def kept(self, answer: BufferedResponse) -> tuple[bytes, bytes]:
        """Return a kept answer."""
        headers = [(b"content-type", answer.content_type.encode())]
        reason = REASONS.get(answer.status, "Answer")
        return encode_response_head(answer.status, reason, headers, len(answer.body)), answer.body

    def refusal(self, request_id: str, refusal: Refusal) -> tuple[bytes, bytes]:
        """Return a problem document with the request's id."""
        problem = {"code": refusal.code, "detail": refusal.detail, "request_id": request_id}
        reason = REASONS[refusal.status]
        return encode_local_response(
            refusal.status, reason, request_id, problem, refusal.retry_after_s
        )
