"""Responses of the product's own interface: runner events become chunks of a model response.

``V1Stream`` sends each event as a chunk, ``V1Collect`` buffers the events and sends one document,
and ``V1Service`` passes a service's complete response on.  Refusals are problem documents
(RFC 9457) that say whether the request may have run.
"""

import math
import time
from typing import Any, Final, NamedTuple

import msgspec

from filbertstream.connection.event_relay import DATA_FIELD, EVENT_END, ID_FIELD
from filbertstream.connection.response_format import Refusal
from filbertstream.platform.headers import Headers
from filbertstream.request.call import BufferedResponse
from filbertstream.statuses import REASONS, UNPROCESSABLE
from filbertstream.texts import DEFAULT_TITLE_CODE, TITLES

JSON: Final = "application/json"
STREAM: Final = "text/event-stream"
PROBLEM: Final = "application/problem+json"
DONE: Final = b"data: [DONE]\n\n"
MAY_HAVE_RUN: Final = (502, 504)
"""Statuses of refusals of calls that may have run."""

STATUSES: Final[dict[str, int]] = {"quarantined": UNPROCESSABLE}
"""Statuses by code that differ from those on the platform, whose callers take no other status as
the promise that a request has not run.  This one tells HTTP clients that a retry can't help."""


class Problem(msgspec.Struct):
    """A problem document; ``run`` says whether the request may have run."""

    type: str
    title: str
    status: int
    detail: str
    run: str
    request_id: str
    retry_after_s: float


def problem_of(request_id: str, refusal: Refusal) -> Problem:
    """Return the document for a refusal."""
    code = refusal.code if refusal.code in TITLES else DEFAULT_TITLE_CODE
    run = "may_have_run" if refusal.status in MAY_HAVE_RUN else "not_run"
    return Problem(
        code,
        TITLES[code],
        STATUSES.get(code, refusal.status),
        refusal.detail,
        run,
        request_id,
        refusal.retry_after_s or 0.0,
    )


def encode_head(
    status: int, request_id: str, content_type: str, length: int | None, extra: tuple[str, ...] = ()
) -> bytes:
    """Return the head of a response, with chunked encoding if the length is unknown."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    lines = [
        f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}",
        f"Content-Type: {content_type}",
        f"X-Request-Id: {request_id}",
        framing,
        *extra,
    ]
    return "\r\n".join(lines).encode()


def encode_refusal(request_id: str, refusal: Refusal) -> tuple[bytes, bytes]:
    """Return head and body of a refusal, with ``Retry-After`` if a retry can help."""
    problem = problem_of(request_id, refusal)
    body = msgspec.json.encode(problem)
    wait_s = refusal.retry_after_s
    extra = () if wait_s is None else (f"Retry-After: {max(1, math.ceil(wait_s))}",)
    return encode_head(problem.status, request_id, PROBLEM, len(body), extra), body


class ModelCall(NamedTuple):
    """The fields of a model request that its response repeats."""

    request_id: str
    model: str
    chat: bool
    prompt_tokens: int


def _event_text(event: bytes) -> tuple[bytes, str]:
    """Return an event's id and its data, with the data lines joined."""
    event_id, lines = b"", []
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            event_id = line[len(ID_FIELD) :].strip()
        elif line.startswith(DATA_FIELD):
            lines.append(line[len(DATA_FIELD) :].removeprefix(b" "))
    return event_id, b"\n".join(lines).decode("utf-8", "replace")


class _V1Format:
    """Common base of the response formats of this interface."""

    collects = False

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id

    def begin(self, status: int, reason: str, headers: Headers) -> bytes:
        """Return the head of a stream."""
        extra = ("Cache-Control: no-store",)
        return encode_head(status, self._request_id, STREAM, None, extra)

    def events(self, data: bytes) -> bytes:
        """Return the events unchanged."""
        return data

    def end(self) -> bytes:
        """Return no bytes."""
        return b""

    def broken(self) -> bytes | None:
        """Return None: the connection is closed."""
        return None

    def complete(
        self, status: int, reason: str, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        """Return a target's response with its content type and none of its other headers."""
        content_type = dict(reversed(headers)).get(b"content-type", b"application/octet-stream")
        head = encode_head(status, self._request_id, content_type.decode("latin-1"), len(body))
        return head, body

    def stored(self, response: BufferedResponse) -> tuple[bytes, bytes]:
        """Return a stored response, marked with ``Idempotency-Replayed``."""
        extra = ("Idempotency-Replayed: true",)
        length = len(response.body)
        head = encode_head(response.status, self._request_id, response.content_type, length, extra)
        return head, response.body

    def refusal(self, request_id: str, refusal: Refusal) -> tuple[bytes, bytes]:
        """Return a problem document."""
        return encode_refusal(request_id, refusal)


class V1Service(_V1Format):
    """The format of a service's response."""


class V1Stream(_V1Format):
    """A model's response as a stream of chunks."""

    def __init__(self, call: ModelCall) -> None:
        super().__init__(call.request_id)
        self._call = call
        self._created = int(time.time())
        self._count = 0

    def events(self, data: bytes) -> bytes:
        """Return a chunk for each event."""
        return b"".join(self._chunk(event) for event in data.split(EVENT_END) if event)

    def _chunk(self, event: bytes) -> bytes:
        event_id, text = _event_text(event)
        self._count += 1
        return self._event(event_id, text, None)

    def _event(self, event_id: bytes, text: str, finish: str | None) -> bytes:
        content: dict[str, Any] = (
            {"delta": {"content": text}} if self._call.chat else {"text": text}
        )
        body: dict[str, Any] = {
            "id": self._call.request_id,
            "object": "chat.completion.chunk" if self._call.chat else "text_completion",
            "created": self._created,
            "model": self._call.model,
            "choices": [{"index": 0, **content, "finish_reason": finish}],
        }
        if finish is not None:
            body["usage"] = _usage(self._call, self._count)
        prefix = b"id: " + event_id + b"\n" if event_id else b""
        return prefix + b"data: " + msgspec.json.encode(body) + EVENT_END

    def end(self) -> bytes:
        """Return the chunk with the finish reason and token counts, and the end marker."""
        return self._event(b"", "", "stop") + DONE

    def broken(self) -> bytes | None:
        """Return the error event that ends an incomplete stream."""
        error = {
            "type": DEFAULT_TITLE_CODE,
            "title": TITLES[DEFAULT_TITLE_CODE],
            "run": "may_have_run",
        }
        return b"event: error\ndata: " + msgspec.json.encode({"error": error}) + EVENT_END


class V1Collect(_V1Format):
    """A model's response as one document."""

    collects = True

    def __init__(self, call: ModelCall) -> None:
        super().__init__(call.request_id)
        self._call = call
        self._texts: list[str] = []

    def events(self, data: bytes) -> bytes:
        """Buffer the texts and return no bytes."""
        self._texts += [_event_text(event)[1] for event in data.split(EVENT_END) if event]
        return b""

    def complete(
        self, status: int, reason: str, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        """Return the document, or the target's response if it was not a stream."""
        if not self._texts:
            return super().complete(status, reason, headers, body)
        text = "".join(self._texts)
        content: dict[str, Any] = (
            {"message": {"role": "assistant", "content": text}}
            if self._call.chat
            else {"text": text}
        )
        document = msgspec.json.encode(
            {
                "id": self._call.request_id,
                "object": "chat.completion" if self._call.chat else "text_completion",
                "created": int(time.time()),
                "model": self._call.model,
                "choices": [{"index": 0, **content, "finish_reason": "stop"}],
                "usage": _usage(self._call, len(self._texts)),
            }
        )
        return encode_head(status, self._request_id, JSON, len(document)), document


def _usage(call: ModelCall, count: int) -> dict[str, int]:
    return {
        "prompt_tokens": call.prompt_tokens,
        "completion_tokens": count,
        "total_tokens": call.prompt_tokens + count,
    }
