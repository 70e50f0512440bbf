"""Reads requests of the product's own interface: models, plain services, and what callers may ask.

Each becomes a ``CallHead`` for the core, the request that a target gets, and the form of its
answer.  No decision is taken here.
"""

import itertools
import secrets
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from filbertstream.connection.caller_connection import RawRequest
from filbertstream.connection.response_format import ResponseFormat
from filbertstream.connection.v1_responses import ModelCall, V1Collect, V1Plain, V1Stream
from filbertstream.names import digest_bytes
from filbertstream.platform.headers import Headers, encode_prompt
from filbertstream.request.call import CallHead, IdempotencyKey, Prompt
from filbertstream.request.prefix import text_blocks, token_count
from filbertstream.statuses import BAD_REQUEST, NOT_FOUND, UNAUTHORIZED
from filbertstream.version.compiled import METHODS, model_host, service_host

MODEL_PATHS: Final = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX: Final = "/v1/services/"
KEY_LIMIT_CHARACTERS: Final = 255
ROLE_END: Final = b"\x1f"
MESSAGE_END: Final = b"\x1e"
MS: Final = 1_000

DEFAULT_TOKENS: Final = 256
"""Tokens that an answer has at most where the caller doesn't say."""


class ChatMessage(msgspec.Struct):
    """One message of a chat; content is a text or a list of typed parts."""

    role: str
    content: str | list[dict[str, Any]]


class ModelBody(msgspec.Struct):
    """The fields of a model request that this system reads; the others go on unread."""

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | None = None
    stream: bool = False
    max_tokens: int = DEFAULT_TOKENS
    tools: Any = None
    logprobs: Any = None
    n: int = 1


class Rejection(NamedTuple):
    """Why a request is refused before the core sees it."""

    status: int
    code: str
    detail: str
    retry_after_s: float | None = None


class V1Call(NamedTuple):
    """A request that was read: for the core, for the target, and how to answer."""

    head: CallHead
    sent: RawRequest
    form: ResponseFormat


def prompt_text(body: ModelBody) -> bytes:
    """Return the text whose prefix decides which cache fits."""
    if body.prompt is not None:
        return body.prompt.encode()
    parts = []
    for message in body.messages or ():
        content = message.content
        text = content.encode() if isinstance(content, str) else msgspec.json.encode(content)
        parts.append(message.role.encode() + ROLE_END + text + MESSAGE_END)
    return b"".join(parts)


def bearer_of(headers: Headers) -> str | None:
    """Return the bearer key of a request."""
    value = dict(reversed(headers)).get(b"authorization", b"").decode("latin-1")
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


class RequestIdGenerator:
    """Ids that no other process and no earlier life of this one gives out."""

    def __init__(self, entry: str, incarnation: int) -> None:
        self._prefix = f"{entry}-{incarnation:x}"
        self._numbers = itertools.count(1)

    def take(self) -> str:
        """Return a new id."""
        return f"{self._prefix}-{next(self._numbers):x}{secrets.token_hex(3)}"


def read_call(raw: RawRequest, request_id: str) -> Result[V1Call, Rejection]:
    """Return the call that a request asks for, or why it is refused."""
    if bearer_of(raw.headers) is None:
        return Err(Rejection(UNAUTHORIZED, "unauthorized", ""))
    path = raw.path.partition("?")[0]
    if path in MODEL_PATHS and raw.method == "POST":
        return _read_model(raw, request_id, path)
    if path.startswith(SERVICE_PREFIX) and raw.method in METHODS:
        return _read_service(raw, request_id)
    return Err(Rejection(NOT_FOUND, "not_found", ""))


def _bad(detail: str) -> Err[Rejection]:
    return Err(Rejection(BAD_REQUEST, "bad_request", detail))


def _deadline(headers: Headers) -> Result[float | None, Rejection]:
    """Return the caller's own deadline, in seconds, from ``X-Deadline-Ms``."""
    text = dict(reversed(headers)).get(b"x-deadline-ms")
    if text is None:
        return Ok(None)
    if not text.isdigit() or int(text) == 0:
        return _bad("X-Deadline-Ms: expected a whole number of milliseconds above 0")
    return Ok(int(text) / MS)


def _read_model(raw: RawRequest, request_id: str, path: str) -> Result[V1Call, Rejection]:
    try:
        body = msgspec.json.decode(raw.body, type=ModelBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return _bad(str(exc))
    chat = path == MODEL_PATHS[0]
    if chat and not body.messages:
        return _bad("messages: expected a list with at least one message")
    if not chat and body.prompt is None:
        return _bad("prompt: expected a text")
    if body.n != 1 or body.tools is not None or body.logprobs is not None:
        return _bad("n, tools, logprobs: not served by these runners")
    if body.max_tokens < 1:
        return _bad("max_tokens: expected a whole number above 0")
    if not body.model.isascii() or not body.model.isprintable():
        return _bad("model: expected a name")
    match _deadline(raw.headers):
        case Err(rejection):
            return Err(rejection)
        case Ok(deadline_s):
            pass
    text = prompt_text(body)
    parts = text_blocks(text)
    prompt = Prompt(body.model, token_count(text), body.max_tokens, parts)
    head = CallHead(
        request_id,
        raw.method,
        model_host(body.model),
        "/",
        bearer_of(raw.headers),
        deadline_s,
        len(raw.body),
        prompt,
        None,
    )
    call = ModelCall(request_id, body.model, chat, prompt.tokens)
    form: ResponseFormat = V1Stream(call) if body.stream else V1Collect(call)
    headers = [*_sent_headers(raw, request_id), *encode_prompt(prompt)]
    return Ok(V1Call(head, RawRequest(raw.method, path, headers, raw.body), form))


def _read_service(raw: RawRequest, request_id: str) -> Result[V1Call, Rejection]:
    service, _, rest = raw.path.removeprefix(SERVICE_PREFIX).partition("/")
    path = f"/{rest}"
    if any(character < "!" or character > "~" for character in raw.path):
        return _bad("path: expected visible ASCII characters")
    match _deadline(raw.headers):
        case Err(rejection):
            return Err(rejection)
        case Ok(deadline_s):
            pass
    text = dict(reversed(raw.headers)).get(b"idempotency-key")
    idempotency_key = None
    if text is not None:
        if not 0 < len(text) <= KEY_LIMIT_CHARACTERS:
            return _bad(f"Idempotency-Key: expected 1 to {KEY_LIMIT_CHARACTERS} characters")
        request = raw.method.encode() + b" " + path.encode() + b"\n" + raw.body
        idempotency_key = IdempotencyKey(text.decode("latin-1"), digest_bytes(request))
    head = CallHead(
        request_id,
        raw.method,
        service_host(service, raw.method),
        "/",
        bearer_of(raw.headers),
        deadline_s,
        len(raw.body),
        None,
        None,
        idempotency_key,
    )
    sent = RawRequest(raw.method, path, _sent_headers(raw, request_id), raw.body)
    return Ok(V1Call(head, sent, V1Plain(request_id)))


def _sent_headers(raw: RawRequest, request_id: str) -> Headers:
    """Return what a target gets of the headers: never the caller's key."""
    kept = [item for item in raw.headers if item[0] in (b"content-type", b"accept")]
    return [(b"host", b"target"), (b"request-id", request_id.encode()), *kept]
