"""Records on a target what a send to it showed: its load, weights and latency, or a failure."""

from typing import Final

from filbertstream.actions import Log
from filbertstream.process.prefill import RATE_WEIGHT
from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import UNLIMITED, ResponseHead
from filbertstream.request.call_events import LoadProbed
from filbertstream.request.call_state import Call, SendStage
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.send_timeouts import PROGRESS_TIMEOUT_UNARY_S
from filbertstream.statuses import MISDIRECTED

UNREACHABLE: Final = "unreachable"
"""The cause of a send for which no connection opened."""

BROKEN_CAUSES: Final = frozenset({UNREACHABLE, "cut", "reset"})
"""Causes of failed sends after which a target may have restarted."""

LATENCY_WEIGHT: Final = 0.2
"""Weight of a new observation in the moving average of a target's latency."""

MAX_BACKOFF_S: Final = 0.6
"""Longest time for which a target that rejected a call gets no other one: about the time in which
a runner loads its weights."""


class TargetFeedback:
    """Updates the targets of calls."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        self._deps = dependencies

    def note_head(self, call: Call, target: RosterTarget, head: ResponseHead, now_s: float) -> None:
        """Record the load and the weights that a response reports."""
        target.responded_at_s = now_s
        if head.load is not None:
            target.note_load(head.load, now_s)
        prompt = call.head.prompt
        if head.weights is not None and prompt is not None:
            target.note_weights(prompt.model, head.weights)

    def note_notices(
        self, sent_at_s: float, target: RosterTarget, head: ResponseHead, now_s: float
    ) -> list[Log]:
        """Record what a response says of its target: its rate, a pause, or that it leaves.

        If another target has the address now, the response speaks for that one.  Only a response of
        the target's service shows that there is no limit: it is signed, and others may be made
        before the request gets there.
        """
        if head.target_id not in ("", target.target_id):
            other = self._deps.roster.targets.get(head.target_id)
            if other is None or other.registration.address != target.registration.address:
                return []
            target = other
        logs = self._deps.roster.notices.note(target.start, head.notice, now_s)
        logs += self._deps.cold_targets.note_response(target.start, sent_at_s, now_s)
        if head.cold_left_s is not None:
            logs += self._deps.cold_targets.note_cold(target.start, head.cold_left_s, now_s)
        if head.request_rate == UNLIMITED and (head.not_run or not head.signed):
            return logs
        rates = self._deps.request_rates
        return [*logs, *rates.on_response(target.start, head.request_rate, sent_at_s, now_s)]

    def note_probe(self, event: LoadProbed, now_s: float) -> list[Log]:
        """Record what the answer to a load probe says of its target."""
        target = self._deps.roster.targets.get(event.start.target_id)
        if event.head is None or target is None or target.start != event.start:
            return []
        return self.note_notices(event.sent_at_s, target, event.head, now_s)

    def note_latency(self, call: Call, target: RosterTarget, now_s: float) -> None:
        """Record how long the head of a response took."""
        waited_s = now_s - call.sent_at_s
        target.latency_s += LATENCY_WEIGHT * (waited_s - target.latency_s)
        self._deps.latencies.note(call.route.name, waited_s)
        if call.head.prompt is None:
            target.reported_slowness.note_observed(LATENCY_WEIGHT)
            return
        if target.prefill.responded(call.prefill_tokens, call.ahead_tokens, waited_s):
            target.reported_slowness.note_observed(RATE_WEIGHT)
        call.prefill_tokens = 0

    def note_unanswered(self, call: Call, now_s: float) -> None:
        """Record how long a send had no response, if its target responded to others meanwhile.

        The send may have been a long one then.  Otherwise the target is silent, which shows nothing
        about the route.
        """
        if call.stage is not SendStage.WAITING or call.target is None:
            return
        if call.target.responded_at_s > call.sent_at_s:
            self._deps.latencies.note_unfinished(call.route.name, now_s - call.sent_at_s)

    def note_rejection(
        self, call: Call, target: RosterTarget, head: ResponseHead, now_s: float
    ) -> None:
        """Record that a target rejected a call, and for how long it is to get no other one."""
        self._deps.roster.outliers.probe_inconclusive(target.target_id)
        if head.status == MISDIRECTED and head.target_id != target.target_id:
            target.backoff_until_s = now_s + PROGRESS_TIMEOUT_UNARY_S
        elif head.status == MISDIRECTED and call.head.prompt is not None:
            self._note_unexpected_weights(call, call.head.prompt.model, head.weights, target)
        elif head.retry_after_s is not None:
            target.backoff_until_s = now_s + min(head.retry_after_s, MAX_BACKOFF_S)

    def _note_unexpected_weights(
        self, call: Call, model: str, reported: int | None, target: RosterTarget
    ) -> None:
        """Record that a target has loaded another weight version than the call expected.

        If the target does not report its version, that is taken to be the next one after the
        expected one.  What has been recorded since the call was sent does not count, because many
        calls may get the same response at once and would each advance the version.
        """
        if reported is None and call.weights is not None:
            named = self._deps.weights.named.get(model, 0)
            target.note_weights(model, max(named, call.weights + 1))

    def note_connection(self, target: RosterTarget, cause: str, now_s: float) -> list[Log]:
        """Record a failed send that may show that its target has restarted."""
        if cause not in BROKEN_CAUSES:
            return []
        refused = cause == UNREACHABLE
        return self._deps.cold_targets.note_failure(target.start, now_s, refused)

    def note_failure(self, target: RosterTarget, now_s: float) -> None:
        """Record a failed send, which may eject the target."""
        roster = self._deps.roster
        if roster.outliers.failed(target.target_id, len(roster.targets), now_s):
            self._deps.counters.add("ejected", "")


def release(call: Call) -> RosterTarget | None:
    """End the current send of a call; return its target."""
    target, call.target = call.target, None
    if target is not None:
        target.outstanding -= 1
        target.work.ended(call.call_id)
        target.memory_tokens -= call.memory_tokens
        target.prefill.dropped(call.prefill_tokens)
        call.prefill_tokens = 0
    return target
