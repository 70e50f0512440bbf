"""Decides what follows when targets reject a call: another send, a wait for room, or the end.

Load patterns handled: runners that are full, or that load weights, for a moment.  A call that has
not run is queued for a part of its latency objective; after that its caller does better to return.
A call that may have run, such as a stream that its runner has broken off, can't be sent again by
its caller, so it waits for room for as long as the caller would wait for the next part of the
response.
"""

from collections.abc import Callable
from typing import Final

from filbertstream.request import call_logs
from filbertstream.request.call_endings import NO_TARGET_RETRY_S, Action, CallEndings
from filbertstream.request.call_events import CancelSend, ResponseStarted
from filbertstream.request.call_state import Call
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.prompt_placer import Rejection
from filbertstream.request.send_timeouts import patience_s
from filbertstream.request.target_feedback import TargetFeedback, release
from filbertstream.request.target_selection import TargetSelection

QUEUE_RETRY_S: Final = 0.1
"""How long a call that every target has rejected is queued before it is sent again."""

QUEUE_TIME_FRACTION: Final = 0.35
"""The fraction of its latency objective up to which a call is queued in this way.  By then a runner
that loads weights is ready again, and a caller that is refused would retry later than that."""

ROOM_RETRY_S: Final = 0.5
"""How long a call that may have run waits for room before it is sent again."""

MAX_EXTRA_SENDS: Final = 2
"""Sends beyond the route's attempts, after responses that prove that the call has not run."""


class Rejections:
    """The rejected sends of calls; ``send`` sends a call to the next target or gives it up."""

    def __init__(
        self,
        dependencies: ForwardingDependencies,
        endings: CallEndings,
        feedback: TargetFeedback,
        selection: TargetSelection,
        send: Callable[[Call, float], list[Action]],
    ) -> None:
        self._deps = dependencies
        self._endings = endings
        self._feedback = feedback
        self._selection = selection
        self._send = send

    def on_rejected(self, call: Call, event: ResponseStarted, now_s: float) -> list[Action]:
        """Send a call again that its target rejected without running it, queue it, or give up."""
        target = release(call)
        call.attempts -= 1
        call.rejections += 1
        response = event.response
        actions: list[Action] = [CancelSend(call.call_id, event.number)]
        self._deps.counters.add("sends_refused", str(response.status))
        actions.append(call_logs.not_run(call, target, response))
        if target is not None:
            self._feedback.note_rejection(call, target, response, now_s)
        sends_now = call.rejections <= MAX_EXTRA_SENDS
        may_go_on = sends_now or self._may_wait_for_room(call, now_s)
        if not may_go_on or not self._deps.budget.take(call.service.name, now_s):
            return [*actions, *self._endings.give_up(call, "targets_full", now_s)]
        if sends_now:
            return [*actions, *self._send(call, now_s)]
        self._queue(call, ROOM_RETRY_S, now_s)
        return actions

    def queue_or_give_up(self, call: Call, now_s: float) -> list[Action]:
        """Queue a call for a short time if targets have only rejected it so far, or give up."""
        barred = self._selection.reject_by_bars(call, now_s)
        if barred is not None:
            return self._endings.give_up(call, barred[0], now_s, barred[1])
        limited = self._selection.reject_by_rate(call, now_s)
        if limited is not None:
            return self._endings.give_up(call, limited.code or "rate_limited", now_s, limited)
        paused = self._selection.reject_by_pauses(call, now_s)
        if call.rejections and call.may_have_run and self._may_wait_for_room(call, now_s):
            self._queue(call, ROOM_RETRY_S, now_s)
            return []
        queue_end_s = call.arrived_s + QUEUE_TIME_FRACTION * call.route.objective_s
        wait_s = QUEUE_RETRY_S if paused is None else max(QUEUE_RETRY_S, paused.retry_after_s or 0)
        if not call.rejections or call.may_have_run or now_s + wait_s > queue_end_s:
            code = "no_target" if paused is None else "targets_paused"
            rejection = paused or Rejection(NO_TARGET_RETRY_S, ())
            explained = self._selection.with_reasons(call, rejection, now_s)
            return self._endings.give_up(call, code, now_s, explained)
        self._queue(call, QUEUE_RETRY_S, now_s)
        return []

    def _queue(self, call: Call, wait_s: float, now_s: float) -> None:
        call.queued_until_s = now_s + wait_s
        call.tried.clear()
        self._deps.counters.add("calls_parked", call.route.kind.value)

    def _may_wait_for_room(self, call: Call, now_s: float) -> bool:
        """Whether a call whose run has failed, and that has no other send, may wait for room."""
        if call.standby is not None or not (call.may_have_run and call.route.retryable):
            return False
        until_s = min(call.ends_at_s, call.interrupted_s + patience_s(call))
        return now_s + ROOM_RETRY_S < until_s
