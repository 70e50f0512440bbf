"""Decodes and encodes the headers of requests and responses.

Headers that only this system may set are removed from callers' requests, so that callers can't
forge them.
"""

import math
from typing import Final

import msgspec
from result import Err, Ok, Result

from filbertstream.platform.reported_values import (
    MAX_COUNT,
    decode_cold_left,
    decode_load,
    decode_notice,
    decode_request_rate,
    seconds,
    whole_number,
)
from filbertstream.request.call import (
    CacheDirectives,
    CallHead,
    Prompt,
    PromptBlock,
    ResponseHead,
)

MS: Final = 1000.0

Headers = list[tuple[bytes, bytes]]

REQUEST_ID: Final = b"request-id"
DEADLINE: Final = b"deadline-ms"
KEY: Final = b"x-api-key"
LAST_EVENT_ID: Final = b"last-event-id"
HOST: Final = b"host"
REQUEST_RATE: Final = b"server-limit"
LEAVING: Final = b"server-leaving"
RETRY_AFTER: Final = b"retry-after"
COLD_LEFT: Final = b"cold-ms"
LENGTH_HINT: Final = b"length-hint"

SINGLETON: Final = frozenset(
    {
        REQUEST_ID,
        DEADLINE,
        KEY,
        LAST_EVENT_ID,
        HOST,
        b"model",
        b"token-count",
        b"prefix-hash",
        b"content-length",
        b"transfer-encoding",
    }
)
"""Headers that determine how a call is served; a call that repeats one is malformed."""

HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

RESERVED: Final = frozenset(
    {
        KEY,
        DEADLINE,
        LAST_EVENT_ID,
        b"tenant",
        b"expect-instance",
        b"expect-version",
        b"cache-salt",
        b"request-priority",
        b"kv-fetch",
        b"kv-save",
        b"kv-until",
        b"kv-from",
        b"kv-backup",
        b"hold",
        b"pin-ms",
        b"server-load",
        REQUEST_RATE,
        LEAVING,
        b"not-executed",
        b"instance-id",
    }
)

INTERNAL_RESPONSE: Final = frozenset(
    {b"server-load", REQUEST_RATE, LEAVING, b"instance-id", b"not-executed"}
)

MAX_PROMPT_BLOCKS: Final = 64


def decode_call(method: str, path: str, headers: Headers, body_bytes: int) -> Result[CallHead, str]:
    """Return the head of a caller's request, or a message that says why it is malformed."""
    first: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in SINGLETON and name in first:
            return Err(f"header {name.decode()} occurs more than once")
        first.setdefault(name, value)
    if not path.startswith("/"):
        return Err("request target must be a path")
    if HOST not in first or REQUEST_ID not in first:
        return Err("headers Host and Request-Id are required")
    try:
        deadline_s = float(first[DEADLINE]) / MS if DEADLINE in first else None
        if deadline_s is not None and not math.isfinite(deadline_s):
            raise ValueError("deadline is not finite")
        prompt = _prompt(first, _length_hint(_values(headers, LENGTH_HINT)))
        texts = {name: value.decode("ascii") for name, value in first.items() if name in SINGLETON}
    except ValueError as exc:
        return Err(f"malformed header: {exc}")
    return Ok(
        CallHead(
            texts[REQUEST_ID],
            method,
            texts[HOST],
            path,
            texts.get(KEY),
            deadline_s,
            body_bytes,
            prompt,
            texts.get(LAST_EVENT_ID),
        )
    )


def _prompt(first: dict[bytes, bytes], length_hint: int | None) -> Prompt | None:
    model = first.get(b"model")
    counts = first.get(b"token-count")
    if model is None or counts is None:
        return None
    tokens_in, _, tokens_out = counts.partition(b",")
    blocks = []
    for item in first.get(b"prefix-hash", b"").split(b","):
        if not item:
            continue
        block_id, _, tokens = item.strip().partition(b":")
        blocks.append(PromptBlock(block_id.decode("ascii"), _count(tokens)))
    if len(blocks) > MAX_PROMPT_BLOCKS:
        raise ValueError("too many items in Prefix-Hash")
    return Prompt(
        model.decode("ascii"),
        _count(tokens_in),
        _count(tokens_out or b"0"),
        tuple(blocks),
        length_hint,
    )


def _length_hint(values: list[bytes]) -> int | None:
    """Return the caller's estimate of the output tokens; one that is odd or repeated is ignored."""
    hint = whole_number(values[0]) if len(values) == 1 else None
    return hint if hint is not None and 0 < hint <= MAX_COUNT else None


def _count(text: bytes) -> int:
    """Return a number of tokens; raises ``ValueError`` if it is none that a prompt can have."""
    count = int(text)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError("number of tokens out of range")
    return count


def encode_prompt(prompt: Prompt) -> Headers:
    """Return the headers that describe a prompt, for a call that came without them."""
    blocks = ",".join(f"{block.block_id}:{block.tokens}" for block in prompt.blocks)
    counts = f"{prompt.tokens},{prompt.max_new_tokens}"
    headers = [(b"model", prompt.model.encode()), (b"token-count", counts.encode())]
    return [*headers, (b"prefix-hash", blocks.encode())] if blocks else headers


def encode_target_head(
    method: str,
    path: str,
    headers: Headers,
    directives: CacheDirectives | None,
    target_id: str,
    workspace: str | None,
    deadline_s: float,
    priority: int | None,
    last_event_id: str | None,
    body_bytes: int,
) -> bytes:
    """Return the head of a request to a target."""
    connection_headers = _connection_headers(headers)
    lines = [f"{method} {path} HTTP/1.1".encode()]
    for name, value in headers:
        if name in HOP_BY_HOP or name in RESERVED or name in connection_headers:
            continue
        lines.append(name.title() + b": " + value)
    lines.append(b"Expect-Instance: " + target_id.encode())
    lines.append(b"Deadline-Ms: %d" % max(1, int(deadline_s * MS)))
    if workspace is not None:
        lines.append(b"Tenant: " + workspace.encode())
    if last_event_id is not None:
        lines.append(b"Last-Event-Id: " + last_event_id.encode())
    if priority is not None:
        lines.append(b"Request-Priority: %d" % priority)
    if directives is not None:
        lines += _cache_lines(directives)
    if body_bytes or method in ("POST", "PUT", "PATCH"):
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _cache_lines(directives: CacheDirectives) -> list[bytes]:
    lines = [b"Cache-Salt: " + directives.namespace.encode()]
    if directives.weights is not None:
        lines.append(b"Expect-Version: %d" % directives.weights)
    if any(directives.fetch):
        lines.append(b"Kv-Fetch: " + ",".join(item or "-" for item in directives.fetch).encode())
    if any(directives.save):
        lines.append(b"Kv-Save: " + ",".join(item or "-" for item in directives.save).encode())
    if directives.fetch_until_ms is not None:
        lines.append(b"Kv-Until: %d" % directives.fetch_until_ms)
    return lines


def _connection_headers(headers: Headers) -> frozenset[bytes]:
    """Return the header names listed in Connection headers, except for ``SINGLETON`` ones."""
    names = {
        item.strip().lower()
        for name, value in headers
        if name == b"connection"
        for item in value.split(b",")
    }
    return frozenset(names - SINGLETON)


def decode_response(status: int, headers: Headers) -> ResponseHead:
    """Decode the head of a response; malformed optional headers count as absent."""
    first = dict(reversed(headers))
    return ResponseHead(
        status,
        first.get(REQUEST_ID, b"").decode("latin-1"),
        b"not-executed" in first,
        b"response-signature" in first,
        b"content-encoding" in first,
        decode_load(first.get(b"server-load")),
        whole_number(first.get(b"weight-versions")),
        first.get(b"instance-id", b"").decode("latin-1"),
        seconds(first.get(RETRY_AFTER)),
        decode_request_rate(_values(headers, REQUEST_RATE)),
        first.get(b"content-type", b"").partition(b";")[0].strip().lower().decode("latin-1"),
        decode_notice(status, _values(headers, RETRY_AFTER), _values(headers, LEAVING)),
        decode_cold_left(_values(headers, COLD_LEFT)),
    )


def _values(headers: Headers, name: bytes) -> list[bytes]:
    return [value for found, value in headers if found == name]


def keep_alive_s(headers: Headers) -> float | None:
    """Return how long a target keeps an idle connection open, if a header says so."""
    for name, value in headers:
        if name == b"keep-alive":
            for item in value.split(b","):
                key, _, number = item.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    return float(number)
    return None


def encode_response_head(status: int, reason: str, headers: Headers, length: int | None) -> bytes:
    """Return the head of a target's response for the caller; chunked if ``length`` is None."""
    lines = [f"HTTP/1.1 {status} {reason}".encode()]
    for name, value in headers:
        if name not in HOP_BY_HOP and name not in INTERNAL_RESPONSE:
            lines.append(name.title() + b": " + value)
    if length is None:
        lines.append(b"Transfer-Encoding: chunked")
    else:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines)


def encode_local_response(
    status: int, reason: str, request_id: str, detail: dict[str, str], retry_after_s: float | None
) -> tuple[bytes, bytes]:
    """Return the head, without the final blank line, and the body of a locally created response."""
    body = msgspec.json.encode(detail)
    lines = [
        f"HTTP/1.1 {status} {reason}",
        "Content-Type: application/problem+json",
        f"Content-Length: {len(body)}",
    ]
    if request_id:
        lines.append(f"Request-Id: {request_id}")
    if retry_after_s is not None:
        lines.append(f"Retry-After: {retry_after_s:.3f}")
    return "\r\n".join(lines).encode(), body
