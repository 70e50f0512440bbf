"""The events and actions by which the I/O layer and the core exchange data about calls.

Events go to the core, and the core returns actions.  ``number`` counts the sends of one call, so
that the core can ignore a late event of an earlier send.
"""

from typing import Final, NamedTuple, TypeAlias

from filbertstream.process.deployment import Address
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.call import (
    BufferedResponse,
    CacheDirectives,
    CallHead,
    ResponseHead,
    TargetLoad,
)
from filbertstream.statuses import OK


class CallArrived(NamedTuple):
    """A caller's request has been read completely."""

    call_id: int
    head: CallHead


class ResponseStarted(NamedTuple):
    """The head of a response to a send has arrived; nothing has been relayed to the caller yet."""

    call_id: int
    number: int
    response: ResponseHead


class FirstEvent(NamedTuple):
    """The first complete event of a stream has arrived, or the first bytes of another body."""

    call_id: int
    number: int


class ResponseComplete(NamedTuple):
    """The complete response to a send has been relayed to the caller.

    ``response`` is that response if it is to be stored for an idempotency key, or None.  ``events``
    counts the events of a stream that the caller has received.
    """

    call_id: int
    number: int
    body_bytes: int
    response: BufferedResponse | None = None
    events: int = 0


WITHHELD: Final = "withheld"
"""Cause of a send whose target was evacuated before a byte was written."""


class SendFailed(NamedTuple):
    """A send ended without a complete response.

    ``sent`` is False only if no byte can have reached the target.  ``response_started`` is whether
    the caller has received a part of the response.  ``last_event_id`` is the id of the last event
    that the caller received.
    """

    call_id: int
    number: int
    cause: str
    sent: bool
    response_started: bool
    last_event_id: str | None


class SendStalled(NamedTuple):
    """A response that has started makes no progress, while its connection is still open.

    The fields are those of ``SendFailed``.
    """

    call_id: int
    number: int
    response_started: bool
    last_event_id: str | None


class SendProgressed(NamedTuple):
    """A send that had stalled makes progress again while another one is tried."""

    call_id: int
    number: int


class CallerDisconnected(NamedTuple):
    """The caller closed its connection before its response was complete."""

    call_id: int


class SendCall(NamedTuple):
    """Send a call to a target.

    An open connection is reused only if it has been idle for ``max_idle_s`` at most.  If a response
    that has started brings no byte for ``progress_timeout_s``, the I/O layer reports
    ``SendStalled``.
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


class ProbeLoad(NamedTuple):
    """Ask a target for its load on behalf of a call."""

    call_id: int
    start: TargetStart
    address: Address
    health_path: str
    timeout_s: float


class LoadProbed(NamedTuple):
    """The answer to a ``ProbeLoad``; ``head`` is None without one in time."""

    call_id: int
    start: TargetStart
    sent_at_s: float
    head: ResponseHead | None

    @property
    def load(self) -> TargetLoad | None:
        """The load that a healthy target reports."""
        return self.head.load if self.head is not None and self.head.status == OK else None


class RelayResponse(NamedTuple):
    """Relay the response of a send to the caller."""

    call_id: int
    number: int
    stream: bool


class ContinueResponse(NamedTuple):
    """Continue the caller's stream with the response of a further send."""

    call_id: int
    number: int


class CancelSend(NamedTuple):
    """Cancel a send by closing its connection."""

    call_id: int
    number: int


class RespondLocally(NamedTuple):
    """Respond to the caller with a status and an error code that this entry generates."""

    call_id: int
    status: int
    code: str
    detail: str
    retry_after_s: float | None


class ReplayResponse(NamedTuple):
    """Respond to the caller with the stored response of the first call with its idempotency key."""

    call_id: int
    response: BufferedResponse


class AbortResponse(NamedTuple):
    """Close the caller's connection, because its response has started and can't be completed."""

    call_id: int


CallEvent: TypeAlias = (
    CallArrived
    | ResponseStarted
    | FirstEvent
    | ResponseComplete
    | SendFailed
    | SendStalled
    | SendProgressed
    | CallerDisconnected
    | LoadProbed
)
CallAction: TypeAlias = (
    SendCall
    | ProbeLoad
    | RelayResponse
    | ContinueResponse
    | CancelSend
    | RespondLocally
    | ReplayResponse
    | AbortResponse
)
