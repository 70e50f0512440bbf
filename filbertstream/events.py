"""The events that the core consumes: plain data, no behaviour.

The edges (``connection``) build them from what arrives on sockets, ``process.host`` feeds them to
``core.Core.step`` one at a time.  Times in events are durations; the moment itself is the
``now_s`` argument of ``step``.
"""

from typing import NamedTuple, TypeAlias

from filbertstream.messages import PeerPayload


class CallerRequest(NamedTuple):
    """A caller's request after its bytes were read whole and before any decision.

    ``key_digest`` is the digest of the bearer key.  ``target_name`` is a model or a service.
    ``pieces`` are the chained names of the prompt's full pieces of cache, without workspace and
    version, which only the core knows; see ``request.prefix``.  ``buffered`` says that nothing is
    passed on before the answer is whole, so an attempt that broke off can begin again.
    """

    request_id: str
    key_digest: str
    kind: str
    target_name: str
    method: str
    path: str
    prompt_tokens: int
    pieces: tuple[bytes, ...]
    deadline_s: float | None
    idempotency_key: str | None
    body_digest: str
    buffered: bool = False


class AttemptStarted(NamedTuple):
    """The target's answer head arrived and carried the attempt's id and the right version."""

    request_id: str
    attempt_id: str
    first_byte_s: float


class AttemptFinished(NamedTuple):
    """The target's answer arrived whole.

    ``imported_tokens`` came from a store, ``cached_tokens`` from the runner's own memory; the rest
    of ``prompt_tokens`` was computed.  ``body`` is filled for calls whose answer is to be kept.
    """

    request_id: str
    attempt_id: str
    status: int
    prompt_tokens: int
    cached_tokens: int
    imported_tokens: int
    first_byte_s: float
    body: bytes


class AttemptFailed(NamedTuple):
    """An attempt ended without a whole answer.

    ``sent`` tells whether any byte of the request may have reached the target; ``passed_on``
    counts the stream events that the caller has already received.
    """

    request_id: str
    attempt_id: str
    cause: str
    sent: bool
    passed_on: int


class CallerLeft(NamedTuple):
    """The caller closed its connection before its answer was whole."""

    request_id: str


class DecisionOverdue(NamedTuple):
    """Nothing was decided for a waiting request within the time that ``AwaitDecision`` gave."""

    request_id: str


class OrderFinished(NamedTuple):
    """A runner answered an order: ``done``, ``stale`` (old fencing number) or ``failed``.

    ``weight_version`` is what the runner itself says it serves now.
    """

    target: str
    outcome: str
    weight_version: str


class StoredPiece(NamedTuple):
    """A piece on a runner or store, and the first piece of the chain it belongs to."""

    name: str
    root: str


class LoadReported(NamedTuple):
    """A runner's own report, which lags by ``age_s``."""

    target: str
    running: int
    queued: int
    queued_tokens: int
    model: str
    weight_version: str
    age_s: float
    evicted: tuple[StoredPiece, ...]


class TargetSilent(NamedTuple):
    """A poll of a target's load report failed."""

    target: str


class ListedTarget(NamedTuple):
    """One row of the platform's lagging list of VMs."""

    name: str
    vm: str
    kind: str
    address: str
    data_center: str
    state: str
    model: str
    service: str


class TargetsListed(NamedTuple):
    """The platform's list of VMs, as it was some seconds ago."""

    targets: tuple[ListedTarget, ...]


class ObjectRecord(NamedTuple):
    """One object of the platform's API."""

    name: str
    version: int
    value: bytes


class PutFinished(NamedTuple):
    """A conditional create or update ended: ``ok``, ``conflict``, ``refused`` or ``unsure``.

    ``refused`` means that the platform certainly did not apply it, ``unsure`` that the answer was
    lost and the write may have taken effect.
    """

    op_id: int
    outcome: str
    version: int = 0


class ReadFinished(NamedTuple):
    """A listing ended; ``records`` are in the order of their names.  ``ok`` False: no answer."""

    op_id: int
    ok: bool
    records: tuple[ObjectRecord, ...]


class PeerMessage(NamedTuple):
    """A message from another entry."""

    message: PeerPayload


class ApplyRequested(NamedTuple):
    """An operator asks for changes of configuration; ``base`` is the revision they were made on.

    ``base`` None accepts whatever revision is in force.
    """

    request_id: str
    changes: bytes
    base: int | None


class DrainRequested(NamedTuple):
    """An operator plans a stop of a VM: an entry's own or a target's."""

    request_id: str
    vm: str


class PiecesExported(NamedTuple):
    """Pieces of a finished prompt were staged, checked and published on a store.

    ``names`` holds only those that were published; ``seconds`` and ``bytes_moved`` tell how fast
    the link was.
    """

    store: str
    root: str
    names: tuple[str, ...]
    seconds: float
    bytes_moved: int


class StoreListed(NamedTuple):
    """The published pieces of a store, from its own listing, and whether it takes no more."""

    store: str
    pieces: tuple[StoredPiece, ...]
    full: bool


class Tick(NamedTuple):
    """Time passed; the host sends one every ``host.TICK_S``."""


Event: TypeAlias = (
    CallerRequest
    | AttemptStarted
    | AttemptFinished
    | AttemptFailed
    | CallerLeft
    | DecisionOverdue
    | OrderFinished
    | LoadReported
    | TargetSilent
    | TargetsListed
    | PutFinished
    | ReadFinished
    | PeerMessage
    | ApplyRequested
    | DrainRequested
    | PiecesExported
    | StoreListed
    | Tick
)
