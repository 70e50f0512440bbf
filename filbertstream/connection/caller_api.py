"""The callers' API as a WSGI application: models, plain services and health.

Each request is read whole and becomes a ``CallerRequest``; ``connection.work`` then serves it on
the same thread.  No decision is taken here.  cheroot runs the application, see
``connection.listener``.
"""

import itertools
import secrets
from collections.abc import Iterator
from typing import Any, Final

import msgspec
from result import Err, Ok

from filbertstream.connection.metrics import metrics_page
from filbertstream.connection.target_client import TargetClient
from filbertstream.connection.wire import (
    Environ,
    StartResponse,
    bearer_of,
    problem_body,
    read_body,
    send_bytes,
    send_json,
    send_problem,
)
from filbertstream.connection.work import AnswerMode, Work
from filbertstream.core import Core
from filbertstream.events import CallerRequest
from filbertstream.names import digest_bytes, digest_key
from filbertstream.process.host import Host
from filbertstream.request.prefix import text_pieces, token_count

MODEL_PATHS: Final = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX: Final = "/v1/services/"
SERVICE_METHODS: Final = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})
DECISION_WITHIN_S: Final = 10.0
"""The core always decides; this bound only guards against a broken invariant."""

KEY_LIMIT_CHARACTERS: Final = 255
ROLE_END: Final = b"\x1f"
MESSAGE_END: Final = b"\x1e"


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
    tools: Any = None
    logprobs: Any = None
    n: int = 1


class Unreadable(Exception):  # noqa: N818 - a reason to refuse, caught where the request is read
    """A request that can't be read; the text says what would be right."""


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


class CallerApi:
    """The WSGI application for callers."""

    def __init__(
        self, name: str, incarnation: int, body_limit_bytes: int, host: Host, client: TargetClient
    ) -> None:
        self._prefix = f"{name}-{incarnation:x}"
        self._body_limit_bytes = body_limit_bytes
        self._host = host
        self._client = client
        self._numbers = itertools.count(1)

    def __call__(self, environ: Environ, start: StartResponse) -> "list[bytes] | Iterator[bytes]":
        """Serve one request."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "GET" and path in ("/healthz", "/readyz", "/metrics"):
            return self._serve_health(path, start)
        request_id = f"{self._prefix}-{next(self._numbers):x}{secrets.token_hex(3)}"
        match read_body(environ, self._body_limit_bytes):
            case Err(code):
                return send_problem(start, problem_body(code, "", "not_run", request_id, 0.0))
            case Ok(body):
                pass
        key = bearer_of(environ)
        if key is None:
            return send_problem(start, problem_body("unauthorized", "", "not_run", request_id, 0.0))
        if method == "GET" and path == "/v1/models":
            return self._serve_models(key, request_id, start)
        try:
            return self._serve_work(environ, start, request_id, key, body)
        except Unreadable as exc:
            problem = problem_body("bad_request", str(exc), "not_run", request_id, 0.0)
            return send_problem(start, problem)

    def _serve_health(self, path: str, start: StartResponse) -> list[bytes]:
        if path == "/metrics":
            page, content_type = metrics_page(self._host)
            return send_bytes(start, 200, [("Content-Type", content_type)], page)
        if path == "/healthz":
            self._host.query(lambda core, now_s: core.governance.ready)
            return send_json(start, 200, {"status": "alive"})
        blocked = self._host.query(lambda core, now_s: core.blocked(now_s))
        return send_json(start, 503 if blocked else 200, {"status": blocked or "ready"})

    def _serve_models(self, key: str, request_id: str, start: StartResponse) -> list[bytes]:
        digest = digest_key(key)

        def ask(core: Core, now_s: float) -> list[str] | None:
            grant = core.config.view.grant_for_key(digest)
            return None if grant is None else sorted(grant.models)

        models = self._host.query(ask)
        if models is None:
            return send_problem(start, problem_body("unauthorized", "", "not_run", request_id, 0.0))
        rows = [{"id": name, "object": "model"} for name in models]
        return send_json(start, 200, {"object": "list", "data": rows})

    def _serve_work(
        self, environ: Environ, start: StartResponse, request_id: str, key: str, body: bytes
    ) -> "list[bytes] | Iterator[bytes]":
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path in MODEL_PATHS and method == "POST":
            req, mode = _read_model_request(environ, request_id, key, body)
            return Work(self._host, self._client, req, body, environ).run(start, mode)
        if path.startswith(SERVICE_PREFIX) and method in SERVICE_METHODS:
            req = _read_service_request(environ, request_id, key, body)
            work = Work(self._host, self._client, req, body, environ)
            return work.run(start, AnswerMode.WHOLE)
        return send_problem(start, problem_body("not_found", "", "not_run", request_id, 0.0))


def _deadline_of(environ: Environ) -> float | None:
    """Return the caller's own deadline, in seconds, from ``X-Deadline-Ms``."""
    text = environ.get("HTTP_X_DEADLINE_MS")
    if text is None:
        return None
    if not text.isdecimal() or int(text) == 0:
        raise Unreadable("X-Deadline-Ms: expected a whole number of milliseconds above 0")
    return int(text) / 1_000


def _key_of(environ: Environ) -> str | None:
    key: str | None = environ.get("HTTP_IDEMPOTENCY_KEY")
    if key is not None and not 0 < len(key) <= KEY_LIMIT_CHARACTERS:
        raise Unreadable(f"Idempotency-Key: expected 1 to {KEY_LIMIT_CHARACTERS} characters")
    return key


def _read_model_request(
    environ: Environ, request_id: str, key: str, body: bytes
) -> tuple[CallerRequest, AnswerMode]:
    """Return the request and how its answer is to be passed on."""
    try:
        parsed = msgspec.json.decode(body, type=ModelBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise Unreadable(str(exc)) from exc
    chat = environ["PATH_INFO"] == MODEL_PATHS[0]
    if chat and not parsed.messages:
        raise Unreadable("messages: expected a list with at least one message")
    if not chat and parsed.prompt is None:
        raise Unreadable("prompt: expected a text")
    text = prompt_text(parsed)
    req = CallerRequest(
        request_id,
        digest_key(key),
        "model",
        parsed.model,
        "POST",
        environ["PATH_INFO"],
        token_count(text),
        text_pieces(text),
        _deadline_of(environ),
        None,
        "",
        not parsed.stream,
    )
    return req, _mode_of(parsed)


def _mode_of(body: ModelBody) -> AnswerMode:
    """Return how to pass an answer on.

    A whole answer is collected from a stream, so that a silent connection is noticed early; answers
    with parts that only the runner can put together are waited for whole.
    """
    if body.stream:
        return AnswerMode.STREAM
    special = body.tools is not None or body.logprobs is not None or body.n != 1
    return AnswerMode.WHOLE if special else AnswerMode.COLLECT


def _read_service_request(
    environ: Environ, request_id: str, key: str, body: bytes
) -> CallerRequest:
    service, _, rest = environ["PATH_INFO"].removeprefix(SERVICE_PREFIX).partition("/")
    query = environ.get("QUERY_STRING", "")
    path = f"/{rest}?{query}" if query else f"/{rest}"
    if any(character < "!" or character > "~" for character in path):
        raise Unreadable("path: expected visible ASCII characters")
    method = environ["REQUEST_METHOD"]
    return CallerRequest(
        request_id,
        digest_key(key),
        "service",
        service,
        method,
        path,
        0,
        (),
        _deadline_of(environ),
        _key_of(environ),
        digest_bytes(method.encode() + b" " + path.encode() + b"\n" + body),
        True,
    )
