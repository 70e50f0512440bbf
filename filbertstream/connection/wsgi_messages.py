"""Helpers of ``operator_api`` that read WSGI requests and write responses."""

from collections.abc import Callable, Iterable
from typing import Any, Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from filbertstream.connection.v1_requests import Rejection
from filbertstream.connection.v1_responses import JSON, PROBLEM, problem_of
from filbertstream.statuses import REASONS

Environ: TypeAlias = dict[str, Any]
StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]
WsgiApp: TypeAlias = Callable[[Environ, StartResponse], Iterable[bytes]]

REFUSAL_STATUSES: Final = {
    "bad_request": 400,
    "unauthorized": 401,
    "not_found": 404,
    "too_large": 413,
}
"""HTTP statuses of the refusals on the operators' port."""


def send_refusal(start: StartResponse, code: str, detail: str) -> list[bytes]:
    """Send a problem document."""
    rejection = Rejection(REFUSAL_STATUSES[code], code, detail)
    body = msgspec.json.encode(problem_of("", rejection))
    return send_bytes(start, rejection.status, PROBLEM, body)


def send_json(start: StartResponse, status: int, value: object) -> list[bytes]:
    """Send a JSON document."""
    return send_bytes(start, status, JSON, msgspec.json.encode(value))


def send_bytes(start: StartResponse, status: int, content_type: str, body: bytes) -> list[bytes]:
    """Send a response with a complete body."""
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start(f"{status} {REASONS.get(status, 'OK')}", headers)
    return [body]


def read_body(environ: Environ, limit_bytes: int) -> Result[bytes, str]:
    """Return the request's complete body, or the code of the refusal.

    A request with both a length and a transfer encoding is refused, since a proxy in front of this
    process may frame it differently.
    """
    length = environ.get("CONTENT_LENGTH") or ""
    chunked = "HTTP_TRANSFER_ENCODING" in environ
    if chunked and length:
        return Err("bad_request")
    if length and not length.isdecimal():
        return Err("bad_request")
    if length and int(length) > limit_bytes:
        return Err("too_large")
    if not chunked and not length:
        return Ok(b"")
    body: bytes = environ["wsgi.input"].read(int(length) if length else limit_bytes + 1)
    if len(body) > limit_bytes:
        return Err("too_large")
    return Ok(body) if not length or len(body) == int(length) else Err("bad_request")


def bearer_token(environ: Environ) -> str | None:
    """Return the bearer key of a request."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None
