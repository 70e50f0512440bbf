"""What the core and the edge tell each other about calls: events in, actions out, plain data.

``number`` counts the sends of one call, so that a late event of an earlier send finds nothing.
"""

from typing import NamedTuple, TypeAlias

from filbertstream.process.deployment import Address
from filbertstream.request.call import BufferedResponse, CacheDirectives, CallHead, ResponseHead


class CallArrived(NamedTuple):
    """A caller's request was read whole."""

    call_id: int
    head: CallHead


class ResponseStarted(NamedTuple):
    """The head of an answer to a send has arrived; nothing of it was passed on yet."""

    call_id: int
    number: int
    response: ResponseHead


class FirstEvent(NamedTuple):
    """The first part of an answer's body has arrived."""

    call_id: int
    number: int


class ResponseComplete(NamedTuple):
    """The whole answer to a send has been passed on; ``response`` is it where a key is to keep it."""

    call_id: int
    number: int
    body_bytes: int
    response: BufferedResponse | None = None


class SendFailed(NamedTuple):
    """A send ended without a whole answer.

    ``sent`` is False only where no byte can have reached the target.  ``begun`` tells whether the
    caller has received a part of the answer; ``last_event_id`` is the last event it received.
    """

    call_id: int
    number: int
    cause: str
    sent: bool
    begun: bool
    last_event_id: str | None


class SendStalled(NamedTuple):
    """An answer that has begun brings nothing any more; its connection is still open.

    The fields are those of ``SendFailed``.
    """

    call_id: int
    number: int
    begun: bool
    last_event_id: str | None


class CallerDisconnected(NamedTuple):
    """The caller closed its connection before its answer was whole."""

    call_id: int


class SendCall(NamedTuple):
    """Send a call to a target.

    A connection is used again only if it was idle for ``max_idle_s`` at most.  ``progress_timeout_s`` is
    the time without a byte of an answer that has begun after which ``SendStalled`` is told.
    """

    call_id: int
    number: int
    target_id: str
    address: Address
    workspace: str | None
    deadline_s: float
    priority: int | None
    last_event_id: str | None
    cache: CacheDirectives | None
    max_idle_s: float
    progress_timeout_s: float


class RelayResponse(NamedTuple):
    """Pass the answer of a send on to the caller."""

    call_id: int
    number: int
    stream: bool


class ContinueResponse(NamedTuple):
    """Go on with the caller's stream from the answer of a further send."""

    call_id: int
    number: int


class CancelSend(NamedTuple):
    """Give a send up by closing its connection."""

    call_id: int
    number: int


class RespondLocally(NamedTuple):
    """Give the caller an answer of this system's own."""

    call_id: int
    status: int
    code: str
    detail: str
    retry_after_s: float | None


class ReplayResponse(NamedTuple):
    """Give the caller the answer that the first call of its key got."""

    call_id: int
    response: BufferedResponse


class AbortResponse(NamedTuple):
    """Close the caller's connection: its answer has begun and can't be made whole."""

    call_id: int


CallEvent: TypeAlias = (
    CallArrived
    | ResponseStarted
    | FirstEvent
    | ResponseComplete
    | SendFailed
    | SendStalled
    | CallerDisconnected
)
CallAction: TypeAlias = (
    SendCall
    | RelayResponse
    | ContinueResponse
    | CancelSend
    | RespondLocally
    | ReplayResponse
    | AbortResponse
)
