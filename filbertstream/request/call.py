"""The data of one call: the caller's request, the head of a response, and cache directives."""

from typing import Final, NamedTuple


class PromptBlock(NamedTuple):
    """A cache block of a prompt; blocks with equal ids have equal text up to their end."""

    block_id: str
    tokens: int


class Prompt(NamedTuple):
    """The prompt of a call: its size, the most tokens to generate, and its blocks in order.

    ``length_hint`` is the caller's estimate of the tokens to be generated.
    """

    model: str
    tokens: int
    max_new_tokens: int
    blocks: tuple[PromptBlock, ...]
    length_hint: int | None = None


class IdempotencyKey(NamedTuple):
    """A caller's idempotency key, with a digest of the request that carried it."""

    key: str
    fingerprint: str


class CallHead(NamedTuple):
    """A caller's request, which has been read completely.

    ``deadline_s`` is how long the caller still waits, counted from the call's arrival in
    the core.  A call with an ``idempotency_key`` runs at most once for that key.
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
    """A target's complete response, buffered so that it can be stored for an idempotency key."""

    status: int
    content_type: str
    body: bytes


class TargetLoad(NamedTuple):
    """The load that a target reports in the headers of a response.

    ``slowness`` is by which factor work takes longer on its VM at this moment than it usually does
    there.  It holds only with ``reports_slowness``; most targets don't report it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
    reports_slowness: bool = False


class RequestRate(NamedTuple):
    """The requests per second that a target accepts from all entries together.

    ``per_s`` is None if the target named no limit.  A ``malformed`` value says nothing: neither
    that there is a limit nor that there is none.
    """

    per_s: float | None = None
    malformed: bool = False


UNLIMITED: Final = RequestRate()


class TargetNotice(NamedTuple):
    """What a response says of its target: how long it wants no calls, and whether it leaves."""

    pause_s: float | None = None
    leaving: bool = False


NO_NOTICE: Final = TargetNotice()


class ResponseHead(NamedTuple):
    """The status and headers of a target's response.

    With ``not_run`` the target states that it has not run the request.  ``cold_left_s`` is how long
    it says that it stays cold.
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
    request_rate: RequestRate = UNLIMITED
    content_type: str = ""
    notice: TargetNotice = NO_NOTICE
    cold_left_s: float | None = None


class CacheDirectives(NamedTuple):
    """The instructions to a runner on its use of the KV cache.

    Cached blocks are looked up only within ``namespace``.  ``weights`` is the version that the
    runner must have loaded.  ``fetch`` and ``save`` contain an address for each block of the
    prompt, or an empty string.  Fetches must end by ``fetch_until_ms`` on the targets' clock.
    """

    namespace: str
    weights: int | None
    fetch: tuple[str, ...] = ()
    save: tuple[str, ...] = ()
    fetch_until_ms: int | None = None
