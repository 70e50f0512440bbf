"""Keeps a silent send while another target is tried, and decides which of the two goes on.

Faults handled: runners that preempt a run for seconds and then continue it, while all others reject
calls, refuse connections or are silent too.  The silent send ends only when another one has
responded: with its head, or with its first event if the caller has received a part of a response.
If the silent one responds first, the other one is cancelled.  If no other one remains, the call
waits for the silent one again, and another target is tried later.
"""

from typing import Final

from filbertstream.actions import Log
from filbertstream.fleet.crash_detector import ProbeTarget
from filbertstream.request import call_logs
from filbertstream.request.call import ResponseHead
from filbertstream.request.call_events import CancelSend
from filbertstream.request.call_state import Call
from filbertstream.request.crash_reports import CrashReports
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.target_feedback import TargetFeedback, release
from filbertstream.statuses import INTERNAL_SERVER_ERROR, MISDIRECTED, MULTIPLE_CHOICES, OK

FINAL_CODES: Final = frozenset({"deadline", "stopping"})
"""Ends of a call that do not leave time to wait for a silent send."""

Action = CancelSend | Log | ProbeTarget


def set_aside(call: Call, now_s: float) -> list[Action]:
    """Let the silent current send go on beside the next one.

    Of two silent sends the first one is kept, as it may be further on.
    """
    if call.standby is None:
        line = call_logs.set_aside(call, now_s)
        call.standby = call.take_send()
        return [line]
    cancel = CancelSend(call.call_id, call.number)
    line = call_logs.replaced(call, "silent", now_s)
    release(call)
    return [cancel, line]


def restore(call: Call, cause: str, now_s: float) -> list[Action]:
    """Wait for the silent send again; the current one ends, for a ``cause``, if there is one.

    From then on other targets may be tried again, those that rejected the call included.
    """
    if call.standby is None:
        return []
    actions: list[Action] = []
    if call.target is not None:
        actions.append(CancelSend(call.call_id, call.number))
        release(call)
    call.put_send(call.standby)
    call.standby = None
    call.silent_since_s = now_s
    call.queued_until_s = call.suspected_at = None
    call.rejections = 0
    call.tried = set() if call.target is None else {call.target.target_id}
    return [*actions, call_logs.resumed(call, cause, now_s)]


def end_standby(call: Call, cause: str, now_s: float) -> list[Action]:
    """End the silent send of a call, if there is one."""
    if call.standby is None:
        return []
    current = call.take_send()
    call.put_send(call.standby)
    call.standby = None
    line = call_logs.replaced(call, cause, now_s)
    cancel = CancelSend(call.call_id, call.number)
    release(call)
    call.put_send(current)
    return [cancel, line]


class StandbySends:
    """What the silent sends of calls show while others are tried."""

    def __init__(
        self,
        dependencies: ForwardingDependencies,
        feedback: TargetFeedback,
        crashes: CrashReports,
    ) -> None:
        self._roster = dependencies.roster
        self._feedback = feedback
        self._crashes = crashes

    def on_head(self, call: Call, response: ResponseHead, now_s: float) -> list[Action]:
        """Make a silent send current whose response can be relayed, or end it."""
        if call.standby is None:
            return []
        not_run = response.not_run or response.status == MISDIRECTED
        if not not_run and _can_be_relayed(call, response):
            return restore(call, "responded", now_s)
        target = call.standby.target
        logs: list[Action] = []
        if target is not None:
            logs += self._feedback.note_notices(call.standby.sent_at_s, target, response, now_s)
            if not_run:
                self._feedback.note_rejection(call, target, response, now_s)
        if not_run:
            call.attempts -= 1
        return [*logs, *end_standby(call, str(response.status), now_s)]

    def on_failed(self, call: Call, cause: str, sent: bool, now_s: float) -> list[Action]:
        """End a silent send that has failed; the current one goes on."""
        if call.standby is None:
            return []
        current = call.take_send()
        call.put_send(call.standby)
        actions: list[Action] = [call_logs.attempt_failed(call, cause, now_s)]
        held = call.suspected_at, call.suspected_kind, call.queued_until_s
        if sent:
            actions += self._crashes.note_failure(call, cause, now_s)
        else:
            call.attempts -= 1
        if current.target is not None:
            # Another send is under way already, so this one can't be held back any more.
            call.suspected_at, call.suspected_kind, call.queued_until_s = held
        target = call.target
        if target is not None:
            self._feedback.note_failure(target, now_s)
            actions += self._feedback.note_connection(target, cause, now_s)
        call.standby = call.take_send()
        call.put_send(current)
        return [*actions, *end_standby(call, cause, now_s)]


def _can_be_relayed(call: Call, response: ResponseHead) -> bool:
    """Whether a response is valid, no error of its target, and continues what the caller has."""
    if response.status >= INTERNAL_SERVER_ERROR or response.encoded:
        return False
    if response.status < MULTIPLE_CHOICES and not response.signed:
        return False
    expected = (OK, call.content_type)
    return not call.response_started or (response.status, response.content_type) == expected
