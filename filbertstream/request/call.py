"""The data of one call: what its head says, what an answer's head says, what a target is told."""

from typing import NamedTuple


class PromptBlock(NamedTuple):
    """A part of a prompt; equal ids are equal texts."""

    block_id: str
    tokens: int


class Prompt(NamedTuple):
    """What a call asks of a model: tokens to read, tokens to make at most, the parts in order."""

    model: str
    tokens: int
    max_new_tokens: int
    blocks: tuple[PromptBlock, ...]


class IdempotencyKey(NamedTuple):
    """A caller's idempotency key, and a digest of the request that it was sent with."""

    key: str
    fingerprint: str


class CallHead(NamedTuple):
    """A caller's request once its bytes were read whole.

    ``deadline_s`` is how long the caller waits, counted from the arrival.  ``idempotency_key`` asks that the
    call runs once for its key.
    """

    request_id: str
    method: str
    host: str
    path: str
    key: str | None
    deadline_s: float | None
    body_bytes: int
    prompt: Prompt | None
    last_event_id: str | None
    idempotency_key: IdempotencyKey | None = None


class BufferedResponse(NamedTuple):
    """A target's answer that was passed on whole."""

    status: int
    content_type: str
    body: bytes


class TargetLoad(NamedTuple):
    """What a target says of its load with an answer."""

    running: int
    waiting: int
    slots: int


class ResponseHead(NamedTuple):
    """What a target's answer says before its body.

    ``not_run`` is the target's word that it did not run the request.
    """

    status: int
    request_id: str
    not_run: bool
    signed: bool
    encoded: bool
    load: TargetLoad | None
    weights: int | None
    target_id: str
    retry_after_s: float | None


class CacheDirectives(NamedTuple):
    """What a runner is told about its cache.

    Cached parts are found only within ``namespace``.  ``weights`` is the version that must be
    loaded.  ``fetch`` and ``save`` name an address for each part, or nothing.
    """

    namespace: str
    weights: int | None
    fetch: tuple[str, ...] = ()
    save: tuple[str, ...] = ()
    fetch_until_ms: int | None = None
