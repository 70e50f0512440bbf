"""Decides what follows when a send fails, stalls or gets no response: another send, or the end.

A call that is not retryable is given up.  A retryable one is sent to another target, within the
route's limit on attempts and the shared retry budget.  A send that is only silent goes on until
the other one responds (``request.standby_sends``).  A call that may have crashed its runner is
held back until the evidence of the fleet clears it, and is given up if it does not.
"""

from collections.abc import Callable
from typing import Final

from filbertstream.request import call_logs
from filbertstream.request.call_endings import Action, CallEndings
from filbertstream.request.call_events import WITHHELD, CancelSend, SendFailed, SendStalled
from filbertstream.request.call_state import Call
from filbertstream.request.crash_reports import CrashReports
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.send_timeouts import response_timeout_s
from filbertstream.request.standby_sends import set_aside
from filbertstream.request.target_feedback import TargetFeedback, release
from filbertstream.request.target_selection import TargetSelection

TARGET_ERROR: Final = "target_error"
"""The cause of a 5xx status; retry budget has been consumed for it before it is reported."""


class SendFailures:
    """The failed sends of calls; ``send`` sends a call to the next target or gives it up."""

    def __init__(
        self,
        dependencies: ForwardingDependencies,
        endings: CallEndings,
        feedback: TargetFeedback,
        selection: TargetSelection,
        crashes: CrashReports,
        send: Callable[[Call, float], list[Action]],
    ) -> None:
        self._deps = dependencies
        self._endings = endings
        self._feedback = feedback
        self._selection = selection
        self._crashes = crashes
        self._send = send

    def may_retry(self, call: Call, now_s: float) -> bool:
        """Whether a call that may have run may be sent again; if so, consume retry budget."""
        if not self._is_retryable(call, now_s):
            return False
        return self._deps.budget.take(call.service.name, now_s)

    def _is_retryable(self, call: Call, now_s: float) -> bool:
        if not call.route.retryable or call.attempts >= call.route.attempts:
            return False
        return now_s < call.ends_at_s and bool(self._selection.candidates(call, now_s))

    def on_failed(self, call: Call, event: SendFailed, now_s: float) -> list[Action]:
        """Handle a send that ended without a complete response."""
        note_progress(call, event)
        if event.sent:
            call.may_have_run = True
            return self.fail(call, event.number, event.cause, now_s)
        logs = [call_logs.unsent(call, event.cause)]
        target = release(call)
        call.attempts -= 1
        self._deps.counters.add("sends_failed", event.cause)
        if target is not None and event.cause == WITHHELD:
            self._deps.roster.outliers.probe_inconclusive(target.target_id)
        elif target is not None:
            self._feedback.note_failure(target, now_s)
            logs += self._feedback.note_connection(target, event.cause, now_s)
        # No byte has reached the target, so sending again consumes no retry budget.
        return [*logs, *self._send(call, now_s)]

    def fail(self, call: Call, number: int, cause: str, now_s: float) -> list[Action]:
        """Retry a call after a failed send, hold it back, or give up."""
        log = call_logs.attempt_failed(call, cause, now_s)
        reports = self._crashes.note_failure(call, cause, now_s)
        self._deps.counters.add("sends_failed", cause)
        call.failed_sends += 1
        call.interrupted_s = now_s
        actions: list[Action] = [CancelSend(call.call_id, number), log, *reports]
        target = release(call)
        if target is not None:
            self._feedback.note_failure(target, now_s)
            actions += self._feedback.note_connection(target, cause, now_s)
        if call.suspected_at is not None:
            call.last_cause = cause
            return [*actions, *self.resolve_suspicion(call, now_s)]
        return [*actions, *self._retry_or_give_up(call, cause, now_s)]

    def _retry_or_give_up(self, call: Call, cause: str, now_s: float) -> list[Action]:
        if cause == TARGET_ERROR or self.may_retry(call, now_s):
            self._deps.counters.add("repeats", cause)
            return self._send(call, now_s)
        return self._endings.give_up(call, cause, now_s)

    def resolve_suspicion(self, call: Call, now_s: float) -> list[Action]:
        """Send a call again that may have crashed a runner, wait for evidence, or give it up."""
        may_resend = self._crashes.may_resend(call, now_s)
        if may_resend is None and self._is_retryable(call, now_s):
            return []
        call.suspected_at = call.queued_until_s = None
        if may_resend:
            return self._retry_or_give_up(call, call.last_cause, now_s)
        self._deps.counters.add("retries_withheld", "")
        return self._endings.give_up(call, "target_crashed", now_s)

    def retry_stalled(self, call: Call, now_s: float) -> list[Action]:
        """Try another target beside a send without a response or progress.

        The caller of this method has consumed retry budget for it.
        """
        call.may_have_run = True
        self._feedback.note_unanswered(call, now_s)
        log = call_logs.attempt_failed(call, "silent", now_s)
        call.failed_sends += 1
        target = call.target
        kept = set_aside(call, now_s)
        if target is not None:
            self._feedback.note_failure(target, now_s)
        self._deps.counters.add("repeats", "silent")
        return [log, *kept, *self._send(call, now_s)]

    def is_overdue(self, call: Call, now_s: float) -> bool:
        """Whether a retryable call has waited too long for the head of its response."""
        if call.target is None or not call.route.retryable:
            return False
        latencies, name = self._deps.latencies, call.route.name
        rate = call.target.prefill.rate_per_s
        timeout_s = response_timeout_s(call, latencies.mean_s(name), latencies.high_s(name), rate)
        return now_s - call.silent_since_s > timeout_s


def note_progress(call: Call, event: SendFailed | SendStalled) -> None:
    """Record how much of a response the caller has received."""
    call.response_started = call.response_started or event.response_started
    call.last_event_id = event.last_event_id or call.last_event_id
