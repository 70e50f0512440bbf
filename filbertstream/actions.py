"""The actions that the core asks for: plain data, no behaviour.

``process.host`` hands each to the edge that carries it out: request-bound actions go to the thread
that serves the request, platform and peer actions to their own edges.
"""

from typing import Final, NamedTuple, TypeAlias

from filbertstream.messages import PeerPayload

MUST_NOT_EXIST: Final = 0


class ImportHint(NamedTuple):
    """Where a runner can fetch a piece of kept cache."""

    piece: str
    address: str


class SendAttempt(NamedTuple):
    """Send the request to a target, as the attempt ``attempt_id``.

    ``fresh`` demands a new connection, on which nothing is resent.  ``progress_s`` bounds the wait
    for each next byte, ``deadline_s`` the wait for the whole answer.
    """

    request_id: str
    attempt_id: str
    target: str
    address: str
    kind: str
    weight_version: str
    priority: int
    imports: tuple[ImportHint, ...]
    piece_names: tuple[str, ...]
    fresh: bool
    first_byte_s: float
    progress_s: float
    deadline_s: float


class ResumeAttempt(NamedTuple):
    """Fetch the rest of a cut stream on a new connection, from event ``offset`` on."""

    request_id: str
    attempt_id: str
    target: str
    address: str
    offset: int
    progress_s: float


class Refuse(NamedTuple):
    """Give the caller its final answer at once, as a problem document.

    ``run`` is ``not_run`` or ``may_have_run``; ``code`` names the reason in ``texts.PROBLEMS``.
    """

    request_id: str
    code: str
    detail: str
    run: str
    retry_after_s: float


class AnswerKept(NamedTuple):
    """Answer the caller from the kept outcome of an earlier run of the same key."""

    request_id: str
    status: int
    body: bytes


class CancelAttempt(NamedTuple):
    """Tell a target that nobody waits for an attempt any more."""

    attempt_id: str
    target: str
    address: str


class PutObject(NamedTuple):
    """Write an object on the platform if its version is ``expect``; ``value`` None deletes it.

    ``MUST_NOT_EXIST`` as the expected version makes it a conditional create.
    """

    op_id: int
    kind: str
    name: str
    value: bytes | None
    expect: int


class ListObjects(NamedTuple):
    """List the objects of a kind whose names come after ``after``."""

    op_id: int
    kind: str
    after: str


class AwaitDecision(NamedTuple):
    """Wait for the next action of the request; after ``within_s`` report ``DecisionOverdue``."""

    request_id: str
    within_s: float


class OrderTarget(NamedTuple):
    """Order a runner to load a weight version, under a fencing number."""

    target: str
    address: str
    weight_version: str
    fencing: int


class SendPeer(NamedTuple):
    """Send a message to another entry, without waiting for an answer."""

    address: str
    payload: PeerPayload


class PollTarget(NamedTuple):
    """Ask a target for its load report or its listing."""

    target: str
    address: str
    kind: str


class ExportPieces(NamedTuple):
    """Order a runner to export pieces to a store; then check and publish them there."""

    request_id: str
    runner: str
    runner_address: str
    store: str
    store_address: str
    names: tuple[str, ...]
    first_index: int
    root: str
    weight_version: str


class ApplyEnded(NamedTuple):
    """The answer to an operator's change.

    ``state`` is ``accepted``, ``staged``, ``lost`` (to revision ``revision``), ``invalid`` or
    ``unavailable``; ``missing`` names the members that have not acknowledged it.
    """

    request_id: str
    state: str
    revision: int
    detail: str
    missing: tuple[str, ...]


class DrainEnded(NamedTuple):
    """The answer to a planned stop.

    ``state`` is ``draining`` with the work still running, ``drained``, or ``unknown`` where the VM
    is neither this entry's nor a known target's.
    """

    request_id: str
    state: str
    running: int


class Log(NamedTuple):
    """Write a numbered event of ``log_events``; ``fields`` are its key and value pairs."""

    number: int
    fields: tuple[tuple[str, str | int | float], ...]


Action: TypeAlias = (
    SendAttempt
    | ResumeAttempt
    | Refuse
    | AnswerKept
    | CancelAttempt
    | AwaitDecision
    | OrderTarget
    | PutObject
    | ListObjects
    | SendPeer
    | PollTarget
    | ExportPieces
    | ApplyEnded
    | DrainEnded
    | Log
)
