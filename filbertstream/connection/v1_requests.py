"""Reads model and service requests of the product's own interface.

Each becomes a ``CallHead`` for the core, the request that a target receives, and the format of the
response.  No routing decision is made here.
"""

import itertools
import secrets
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from filbertstream.connection.request_parser import RawRequest
from filbertstream.connection.response_format import ResponseFormat
from filbertstream.connection.v1_responses import ModelCall, V1Collect, V1Service, V1Stream
from filbertstream.names import digest_bytes
from filbertstream.platform.headers import Headers, encode_prompt
from filbertstream.request.call import CallHead, IdempotencyKey, Prompt
from filbertstream.request.prefix import text_blocks, token_count
from filbertstream.statuses import BAD_REQUEST, NOT_FOUND, UNAUTHORIZED
from filbertstream.version.compiled import METHODS, model_host, service_host

MODEL_PATHS: Final = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX: Final = "/v1/services/"
IDEMPOTENCY_KEY_MAX_CHARS: Final = 255
ROLE_SEPARATOR: Final = b"\x1f"
MESSAGE_SEPARATOR: Final = b"\x1e"
MS: Final = 1_000

DEFAULT_MAX_TOKENS: Final = 256
"""Most tokens of a response if the caller sets no ``max_tokens``."""


MAX_DECODED_VALUES: Final = 50_000
"""Content with more values than this is not decoded: a body of 4 MB took 101 MB as objects."""

EMPTY: Final = (b"", b"null")
"""A field that is absent, or present without a value."""


class ChatMessage(msgspec.Struct):
    """One message of a chat; content is a string or a list of typed parts."""

    role: str
    content: msgspec.Raw

    def content_text(self) -> bytes:
        """Return the text of the content; raise ``msgspec.DecodeError`` if it is neither."""
        content = bytes(self.content)
        if content.startswith(b"["):
            if content.count(b",") + content.count(b"{") > MAX_DECODED_VALUES:
                return msgspec.json.format(content, indent=-1)
            return msgspec.json.encode(msgspec.json.decode(content, type=list[dict[str, Any]]))
        return msgspec.json.decode(content, type=str).encode()


class ModelBody(msgspec.Struct):
    """The fields of a model request that this system reads; others are passed on unchanged."""

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | None = None
    stream: bool = False
    max_tokens: int = DEFAULT_MAX_TOKENS
    tools: msgspec.Raw = msgspec.Raw()
    logprobs: msgspec.Raw = msgspec.Raw()
    n: int = 1


class Rejection(NamedTuple):
    """Why a request is rejected before it reaches the core."""

    status: int
    code: str
    detail: str
    retry_after_s: float | None = None


class V1Call(NamedTuple):
    """A request as read: its head, the request sent to the target, and the response format."""

    head: CallHead
    target_request: RawRequest
    response_format: ResponseFormat


def prompt_text(body: ModelBody) -> bytes:
    """Return the text whose prefix is matched against KV caches."""
    if body.prompt is not None:
        return body.prompt.encode()
    fields = []
    for message in body.messages or ():
        text = message.content_text()
        fields.append(message.role.encode() + ROLE_SEPARATOR + text + MESSAGE_SEPARATOR)
    return b"".join(fields)


def bearer_token(headers: Headers) -> str | None:
    """Return the bearer key of a request."""
    value = dict(reversed(headers)).get(b"authorization", b"").decode("latin-1")
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


class RequestIdGenerator:
    """Generates request ids that are unique across entries and restarts."""

    def __init__(self, entry: str, incarnation: int) -> None:
        self._prefix = f"{entry}-{incarnation:x}"
        self._numbers = itertools.count(1)

    def take(self) -> str:
        """Return a new id."""
        return f"{self._prefix}-{next(self._numbers):x}{secrets.token_hex(3)}"


def read_call(raw: RawRequest, request_id: str) -> Result[V1Call, Rejection]:
    """Return the call for a request, or why it is rejected."""
    if bearer_token(raw.headers) is None:
        return Err(Rejection(UNAUTHORIZED, "unauthorized", ""))
    path = raw.path.partition("?")[0]
    if path in MODEL_PATHS and raw.method == "POST":
        return _read_model(raw, request_id, path)
    if path.startswith(SERVICE_PREFIX) and raw.method in METHODS:
        return _read_service(raw, request_id)
    return Err(Rejection(NOT_FOUND, "not_found", ""))


def _bad_request(detail: str) -> Err[Rejection]:
    return Err(Rejection(BAD_REQUEST, "bad_request", detail))


def _deadline(headers: Headers) -> Result[float | None, Rejection]:
    """Return the caller's own deadline, in seconds, from ``X-Deadline-Ms``."""
    text = dict(reversed(headers)).get(b"x-deadline-ms")
    if text is None:
        return Ok(None)
    if not text.isdigit() or int(text) == 0:
        return _bad_request("X-Deadline-Ms: expected an integer number of milliseconds above 0")
    return Ok(int(text) / MS)


def _read_model(raw: RawRequest, request_id: str, path: str) -> Result[V1Call, Rejection]:
    try:
        body = msgspec.json.decode(raw.body, type=ModelBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return _bad_request(str(exc))
    chat = path == MODEL_PATHS[0]
    if chat and not body.messages:
        return _bad_request("messages: expected a list with at least one message")
    if not chat and body.prompt is None:
        return _bad_request("prompt: expected a string")
    if body.n != 1 or bytes(body.tools) not in EMPTY or bytes(body.logprobs) not in EMPTY:
        return _bad_request("n must be 1; tools and logprobs are not supported by the runners")
    if body.max_tokens < 1:
        return _bad_request("max_tokens: expected an integer above 0")
    if not body.model.isascii() or not body.model.isprintable():
        return _bad_request("model: expected a name of printable ASCII characters")
    match _deadline(raw.headers):
        case Err(rejection):
            return Err(rejection)
        case Ok(deadline_s):
            pass
    try:
        text = prompt_text(body)
    except (msgspec.DecodeError, UnicodeError) as exc:
        return _bad_request(f"content: {exc}")
    blocks = text_blocks(text)
    prompt = Prompt(body.model, token_count(text), body.max_tokens, blocks)
    head = CallHead(
        request_id,
        raw.method,
        model_host(body.model),
        "/",
        bearer_token(raw.headers),
        deadline_s,
        len(raw.body),
        prompt,
        None,
    )
    call = ModelCall(request_id, body.model, chat, prompt.tokens)
    response_format: ResponseFormat = V1Stream(call) if body.stream else V1Collect(call)
    headers = [*_target_headers(raw, request_id), *encode_prompt(prompt)]
    return Ok(V1Call(head, RawRequest(raw.method, path, headers, raw.body), response_format))


def _read_service(raw: RawRequest, request_id: str) -> Result[V1Call, Rejection]:
    service, _, rest = raw.path.removeprefix(SERVICE_PREFIX).partition("/")
    path = f"/{rest}"
    if any(character < "!" or character > "~" for character in raw.path):
        return _bad_request("path: expected visible ASCII characters")
    match _deadline(raw.headers):
        case Err(rejection):
            return Err(rejection)
        case Ok(deadline_s):
            pass
    text = dict(reversed(raw.headers)).get(b"idempotency-key")
    idempotency_key = None
    if text is not None:
        if not 0 < len(text) <= IDEMPOTENCY_KEY_MAX_CHARS:
            return _bad_request(
                f"Idempotency-Key: expected 1 to {IDEMPOTENCY_KEY_MAX_CHARS} characters"
            )
        request = raw.method.encode() + b" " + path.encode() + b"\n" + raw.body
        idempotency_key = IdempotencyKey(text.decode("latin-1"), digest_bytes(request))
    head = CallHead(
        request_id,
        raw.method,
        service_host(service, raw.method),
        "/",
        bearer_token(raw.headers),
        deadline_s,
        len(raw.body),
        None,
        None,
        idempotency_key,
    )
    target_request = RawRequest(raw.method, path, _target_headers(raw, request_id), raw.body)
    return Ok(V1Call(head, target_request, V1Service(request_id)))


def _target_headers(raw: RawRequest, request_id: str) -> Headers:
    """Return the headers for a target, which never include the caller's API key."""
    kept = [item for item in raw.headers if item[0] in (b"content-type", b"accept")]
    return [(b"host", b"target"), (b"request-id", request_id.encode()), *kept]
