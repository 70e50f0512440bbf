"""Reading requests and writing answers of WSGI, shared by ``caller_api`` and ``operator_api``."""

from collections.abc import Callable, Iterable
from typing import Any, Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from filbertstream.texts import PROBLEMS

Environ: TypeAlias = dict[str, Any]
StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]
WsgiApp: TypeAlias = Callable[[Environ, StartResponse], Iterable[bytes]]

REASONS: Final[dict[int, str]] = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

PROBLEM_TYPE: Final = "application/problem+json"


class ProblemBody(msgspec.Struct):
    """A problem document (RFC 9457); ``run`` says whether the request may have run."""

    type: str
    title: str
    status: int
    detail: str
    run: str
    request_id: str
    retry_after_s: float


def status_line(status: int) -> str:
    """Return a status with its reason."""
    return f"{status} {REASONS.get(status, 'Status')}"


def problem_body(
    code: str, detail: str, run: str, request_id: str, retry_after_s: float
) -> ProblemBody:
    """Return the document for a refusal."""
    problem = PROBLEMS[code]
    return ProblemBody(code, problem.title, problem.status, detail, run, request_id, retry_after_s)


def send_problem(start: StartResponse, body: ProblemBody) -> list[bytes]:
    """Answer with a problem document; Retry-After is there wherever coming back may help."""
    headers = [("Content-Type", PROBLEM_TYPE), ("X-Request-Id", body.request_id)]
    if body.retry_after_s > 0:
        headers.append(("Retry-After", str(max(1, round(body.retry_after_s)))))
    return send_bytes(start, body.status, headers, msgspec.json.encode(body))


def send_json(start: StartResponse, status: int, value: object) -> list[bytes]:
    """Answer with a JSON document."""
    return send_bytes(
        start, status, [("Content-Type", "application/json")], msgspec.json.encode(value)
    )


def send_bytes(
    start: StartResponse, status: int, headers: list[tuple[str, str]], body: bytes
) -> list[bytes]:
    """Answer with a whole body."""
    start(status_line(status), [*headers, ("Content-Length", str(len(body)))])
    return [body]


def read_body(environ: Environ, limit_bytes: int) -> Result[bytes, str]:
    """Return the request's whole body, or the code of the refusal.

    A request with both a length and a transfer encoding could be read differently by something
    before this process, so it is refused.
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


def bearer_of(environ: Environ) -> str | None:
    """Return the bearer key of a request."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None
