"""Builds the log lines of a call: each decision with its inputs and their age."""

from typing import Final

from filbertstream.actions import Log, LogFields
from filbertstream.log_events import LogEvent
from filbertstream.process.roster import RosterTarget
from filbertstream.request.authorization import Refused
from filbertstream.request.call import ResponseHead
from filbertstream.request.call_events import CallArrived, RespondLocally
from filbertstream.request.call_state import Call
from filbertstream.request.idempotency_keys import KeyClaimed

LOGGED_BLOCKS: Final = 8
"""Blocks of a prompt that a line lists, so that its size is bounded."""


def _id(call: Call) -> tuple[str, str]:
    return ("request_id", call.head.request_id)


def refused_on_arrival(
    event: CallArrived, refused: Refused, version: int, config_age_s: float
) -> Log:
    """Return the line of a call that is refused on arrival.

    An age of -1 means that the configuration has never been confirmed.
    """
    fields = (
        ("request_id", event.head.request_id),
        ("status", refused.status),
        ("code", refused.code),
        ("config", version),
        ("config_age_s", round(config_age_s, 3) if config_age_s < float("inf") else -1.0),
    )
    return Log(LogEvent.REQUEST_REFUSED, fields)


def refused(call: Call, refusal: RespondLocally, inputs: LogFields = ()) -> Log:
    """Return the line of a call that is refused after its admission."""
    after_s = refusal.retry_after_s
    fields = (
        _id(call),
        ("status", refusal.status),
        ("code", refusal.code),
        ("retry_after_s", -1.0 if after_s is None else round(after_s, 3)),
    )
    return Log(LogEvent.REQUEST_REFUSED, (*fields, *inputs))


def claimed(call: Call, event: KeyClaimed) -> Log:
    """Return the line for the outcome of claiming a call's idempotency key."""
    present = event.present
    fields = (
        _id(call),
        ("ours", event.claimed),
        ("state", "" if present is None else present.state.value),
        ("holder", "" if present is None else present.call),
    )
    return Log(LogEvent.CLAIM_SETTLED, fields)


def replayed(call: Call) -> Log:
    """Return the line of a call that gets the stored response of its idempotency key."""
    return Log(LogEvent.ANSWER_KEPT, (_id(call),))


def placed(call: Call, target: RosterTarget, inputs: LogFields, now_s: float) -> Log:
    """Return the line of a send that is about to start."""
    fields = (
        _id(call),
        ("target", target.target_id),
        ("send", call.sends + 1),
        ("running", target.running(now_s)),
        ("own", target.outstanding),
        ("load_age_s", round(now_s - target.load_at_s, 3)),
    )
    return Log(LogEvent.CALL_PLACED, (*fields, *inputs))


def not_run(call: Call, target: RosterTarget | None, response: ResponseHead) -> Log:
    """Return the line of a send that its target rejected without running it."""
    fields = (
        _id(call),
        ("target", "" if target is None else target.target_id),
        ("status", response.status),
        ("answered_by", response.target_id),
        ("weights", -1 if response.weights is None else response.weights),
    )
    return Log(LogEvent.SEND_REFUSED, fields)


def attempt_failed(call: Call, cause: str, now_s: float) -> Log:
    """Return the line of a failed send; must be called before the call releases its target."""
    fields = (
        _id(call),
        ("target", call.target.target_id if call.target else ""),
        ("cause", cause),
        ("waited_s", round(now_s - call.sent_at_s, 3)),
        ("stage", call.stage.value),
        ("blocks", _shared_blocks(call)),
    )
    return Log(LogEvent.ATTEMPT_FAILED, fields)


def set_aside(call: Call, now_s: float) -> Log:
    """Return the line of a silent send that goes on while another one is tried."""
    return Log(LogEvent.SEND_SET_ASIDE, _send_fields(call, now_s))


def resumed(call: Call, cause: str, now_s: float) -> Log:
    """Return the line of a send that is the current one again; ``cause`` ended the other one."""
    return Log(LogEvent.SEND_RESUMED, (*_send_fields(call, now_s), ("cause", cause)))


def replaced(call: Call, cause: str, now_s: float) -> Log:
    """Return the line of a silent send that has ended since another one took over or it failed."""
    return Log(LogEvent.SEND_REPLACED, (*_send_fields(call, now_s), ("cause", cause)))


def _send_fields(call: Call, now_s: float) -> LogFields:
    return (
        _id(call),
        ("target", call.target.target_id if call.target else ""),
        ("send", call.number),
        ("age_s", round(now_s - call.sent_at_s, 3)),
        ("stage", call.stage.value),
    )


def _shared_blocks(call: Call) -> str:
    """Return the ids of the first blocks of a prompt except its last one, which no other has."""
    prompt = call.head.prompt
    blocks = () if prompt is None else prompt.blocks[:-1]
    return ",".join(block.block_id for block in blocks[:LOGGED_BLOCKS])


def unsent(call: Call, cause: str) -> Log:
    """Return the line of a send of which no byte was written."""
    target = call.target.target_id if call.target else ""
    return Log(LogEvent.SEND_UNSENT, (_id(call), ("target", target), ("cause", cause)))


def finished(call: Call, outcome: str, now_s: float) -> Log:
    """Return the last line of a call."""
    fields = (
        _id(call),
        ("route", call.route.name),
        ("outcome", outcome),
        ("sends", call.sends),
        ("may_have_run", call.may_have_run),
        ("first_s", -1.0 if call.first_s is None else round(call.first_s, 3)),
        ("seconds", round(now_s - call.arrived_s, 3)),
    )
    if call.work is None or call.actual_work is None:
        return Log(LogEvent.REQUEST_FINISHED, fields)
    work: LogFields = (
        ("expected_work", round(call.work.output_tokens or call.work.service_s, 3)),
        ("actual_work", round(call.actual_work, 3)),
    )
    return Log(LogEvent.REQUEST_FINISHED, (*fields, *work))
