"""Handles each call from its arrival to its final response: admission, sends, retries, timeouts.

A call that is not retryable is sent once, and again only after proof that it has not run.  A
retryable call is sent to another target after a failure or a response timeout, within the route's
limit on attempts and the shared retry budget.  A stream that broke off is resumed on another target
after the last event that its caller has received.  A call that can't succeed gets its final
response at once.  That response has status 503 only if the call can't have run.
"""

from typing import Final

from filbertstream.actions import LogFields
from filbertstream.process.roster import RosterTarget
from filbertstream.request import call_logs
from filbertstream.request.authorization import Refused, call_limit_s
from filbertstream.request.call import CacheDirectives
from filbertstream.request.call_endings import NO_TARGET_RETRY_S, Action, CallEndings
from filbertstream.request.call_events import (
    CallArrived,
    CallerDisconnected,
    CancelSend,
    ContinueResponse,
    FirstEvent,
    LoadProbed,
    RelayResponse,
    ReplayResponse,
    RespondLocally,
    ResponseComplete,
    ResponseStarted,
    SendCall,
    SendFailed,
    SendProgressed,
    SendStalled,
)
from filbertstream.request.call_state import Call, SendStage
from filbertstream.request.crash_reports import CrashReports
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.idempotency_keys import RECOVERING, KeyClaimed
from filbertstream.request.load_probes import LoadProbes
from filbertstream.request.prompt_placer import Rejection
from filbertstream.request.prompt_screening import HOLD_RECHECK_S, PromptScreening
from filbertstream.request.rejections import Rejections
from filbertstream.request.send_failures import TARGET_ERROR, SendFailures, note_progress
from filbertstream.request.send_timeouts import max_idle_s, progress_timeout_s
from filbertstream.request.standby_sends import StandbySends, end_standby, restore
from filbertstream.request.target_feedback import TargetFeedback, release
from filbertstream.request.target_selection import TargetSelection
from filbertstream.statuses import (
    INTERNAL_SERVER_ERROR,
    MISDIRECTED,
    MULTIPLE_CHOICES,
    OK,
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
)
from filbertstream.version.routes import CallKind, Engine

LOWEST_PRIORITY: Final = 9


class Forwarding:
    """All calls in progress."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        self._deps = dependencies
        self.calls: dict[int, Call] = {}
        self._endings = CallEndings(dependencies, self.calls)
        self._feedback = TargetFeedback(dependencies)
        self._selection = TargetSelection(dependencies)
        self._crashes = CrashReports(dependencies)
        self._screening = PromptScreening(dependencies, self._endings, self._crashes)
        self._probes = LoadProbes(dependencies)
        self._standbys = StandbySends(dependencies, self._feedback, self._crashes)
        self._rejections = Rejections(
            dependencies, self._endings, self._feedback, self._selection, self._send
        )
        self._failures = SendFailures(
            dependencies,
            self._endings,
            self._feedback,
            self._selection,
            self._crashes,
            self._send,
        )

    def on_arrived(self, event: CallArrived, now_s: float) -> list[Action]:
        """Admit a call and send it, or refuse it at once."""
        head = event.head
        authorized = self._deps.authorizer.check(head, now_s)
        if isinstance(authorized, Refused):
            return self._endings.refuse(event, authorized, now_s)
        route = authorized.route
        config = self._deps.authorizer.config
        name = route.pick_backend(self._deps.rng.random())
        service = None if config is None else config.services.get(name)
        if service is None:
            refused = Refused(UNAVAILABLE, "no_service", NO_TARGET_RETRY_S)
            return self._endings.refuse(event, refused, now_s)
        claims = route.needs_idempotency_key and head.idempotency_key is not None
        if claims and not self._deps.idempotency_keys.may_claim:
            return self._endings.refuse(event, RECOVERING, now_s)
        workspace = authorized.workspace
        if workspace is not None and workspace.workspace_limits is not None:
            exceeded = self._deps.admission.begin(workspace.name, workspace.workspace_limits, now_s)
            if exceeded is not None:
                refused = Refused(TOO_MANY_REQUESTS, exceeded.code, exceeded.retry_after_s)
                return self._endings.refuse(event, refused, now_s)
        ends_at_s = now_s + call_limit_s(route, head)
        call = Call(event.call_id, head, route, service, workspace, now_s, ends_at_s)
        call.last_event_id = head.last_event_id
        self.calls[call.call_id] = call
        self._deps.budget.note_call(service.name, now_s)
        self._deps.counters.add("calls", route.kind.value)
        if route.needs_idempotency_key and head.idempotency_key is not None:
            call.claiming = True
            return [self._deps.idempotency_keys.claim(call, head.idempotency_key)]
        return self._send(call, now_s)

    def on_claimed(self, event: KeyClaimed, now_s: float) -> list[Action]:
        """Send a call that has claimed its idempotency key, or end it as the key's record says."""
        call = self.calls.get(event.call_id)
        if call is None or call.head.idempotency_key is None or not call.claiming:
            # The call has ended in the meantime, which has settled its key.
            return []
        call.claiming = False
        longest_s = call.route.timeout_s
        result = self._deps.idempotency_keys.resolve_claim(
            event, call.head.idempotency_key, longest_s, now_s
        )
        log = call_logs.claimed(call, event)
        if result is None:
            return [log, *self._send(call, now_s)]
        if isinstance(result, Refused):
            after_s = self._endings.with_jitter(result.retry_after_s)
            refusal = RespondLocally(call.call_id, result.status, result.code, "", after_s)
            self._deps.counters.add("calls_refused", result.code)
            refused = call_logs.refused(call, refusal)
            return [log, refusal, refused, *self._endings.end(call, result.code, now_s)]
        replayed = call_logs.replayed(call)
        return [
            log,
            ReplayResponse(call.call_id, result),
            replayed,
            *self._endings.end(call, "kept", now_s),
        ]

    def _send(self, call: Call, now_s: float) -> list[Action]:
        """Choose a target and send the call to it, or give up."""
        if now_s >= call.ends_at_s:
            return self._endings.give_up(call, "deadline", now_s)
        if self._deps.roster.evacuations.is_unknown(now_s):
            if not call.number:
                return self._endings.give_up(call, "starting", now_s)
            call.queued_until_s = now_s + HOLD_RECHECK_S
            return []
        engine = call.service.engine
        if engine is not None and call.head.prompt is not None:
            screened = self._screening.screen(call, call.head.prompt, now_s)
            return self._send_prompt(call, engine, now_s) if screened is None else screened
        targets = self._selection.candidates(call, now_s)
        target, inputs = self._deps.work.place_call(call, targets, self._deps.data_center, now_s)
        if target is None:
            return self._rejections.queue_or_give_up(call, now_s)
        cache = self._deps.prompt_placer.directives_without_placement(call, now_s)
        return self._send_to(call, target, cache, now_s, inputs)

    def on_load_probed(self, event: LoadProbed, now_s: float) -> list[Action]:
        """Place a call once the targets that it has asked for their load have answered."""
        logs: list[Action] = [*self._feedback.note_probe(event, now_s)]
        call = self.calls.get(event.call_id)
        if not self._probes.note(call, event, now_s) or call is None:
            return logs
        call.queued_until_s = None
        return [*logs, *self._send(call, now_s)]

    def _send_prompt(self, call: Call, engine: Engine, now_s: float) -> list[Action]:
        candidates = self._selection.candidates(call, now_s)
        probes = self._probes.begin(call, engine, candidates, now_s)
        if probes:
            return [*probes]
        answered = self._probes.answered(call, candidates)
        placed = self._deps.prompt_placer.place(call, engine, candidates, now_s, answered)
        if placed is None:
            return self._rejections.queue_or_give_up(call, now_s)
        if isinstance(placed, Rejection):
            return self._endings.give_up(call, "overloaded", now_s, placed)
        call.prefill_tokens, call.ahead_tokens = placed.prefill_tokens, placed.ahead_tokens
        call.weights = placed.directives.weights
        placed.target.prefill.sent(placed.prefill_tokens)
        return self._send_to(call, placed.target, placed.directives, now_s, placed.inputs)

    def _send_to(
        self,
        call: Call,
        target: RosterTarget,
        cache: CacheDirectives | None,
        now_s: float,
        inputs: LogFields = (),
    ) -> list[Action]:
        self._selection.note_diverted(call, now_s)
        limit = self._deps.rate_admission.limit(target.start, now_s)
        if limit is not None:
            inputs = (("limit_per_s", limit), *inputs)
        line = call_logs.placed(call, target, inputs, now_s)
        call.sends += 1
        call.number = call.sends
        call.attempts += 1
        call.target = target
        call.sent_at_s = call.silent_since_s = now_s
        call.stage = SendStage.WAITING
        call.tried.add(target.target_id)
        target.outstanding += 1
        self._deps.work.note_sent(call, target, now_s)
        target.memory_tokens += call.memory_tokens
        self._deps.roster.outliers.sent(target.target_id, now_s)
        self._deps.rate_admission.note_send(target, now_s)
        workspace = call.workspace
        registration = target.registration
        return [
            SendCall(
                call.call_id,
                call.number,
                registration.target_id,
                registration.address,
                None if workspace is None else workspace.name,
                call.ends_at_s - now_s,
                min(LOWEST_PRIORITY, call.urgency) if cache is not None else None,
                call.last_event_id,
                cache,
                max_idle_s(call),
                progress_timeout_s(call),
            ),
            line,
        ]

    def _current(self, call_id: int, number: int) -> Call | None:
        call = self.calls.get(call_id)
        return call if call is not None and call.number == number and call.target else None

    def _with_standby(self, call_id: int, number: int) -> Call | None:
        call = self.calls.get(call_id)
        standby = None if call is None else call.standby
        return call if standby is not None and standby.number == number else None

    def on_progressed(self, event: SendProgressed, now_s: float) -> list[Action]:
        """Go on with a silent send that makes progress again, and cancel the other one."""
        call = self._with_standby(event.call_id, event.number)
        return [] if call is None else [*restore(call, "progress", now_s)]

    def on_started(self, event: ResponseStarted, now_s: float) -> list[Action]:
        """Handle the head of a response."""
        silent = self._with_standby(event.call_id, event.number)
        logs: list[Action] = []
        if silent is not None:
            logs += self._standbys.on_head(silent, event.response, now_s)
        call = self._current(event.call_id, event.number)
        if call is None or call.target is None:
            return logs
        self._crashes.note_response(call.target, now_s)
        logs += self._feedback.note_notices(call.sent_at_s, call.target, event.response, now_s)
        return [*logs, *self._on_head(call, call.target, event, now_s)]

    def _on_head(
        self, call: Call, target: RosterTarget, event: ResponseStarted, now_s: float
    ) -> list[Action]:
        """Relay a response whose head has arrived, retry the call, or give up."""
        response = event.response
        self._feedback.note_head(call, target, response, now_s)
        if response.not_run or response.status == MISDIRECTED:
            return self._rejections.on_rejected(call, event, now_s)
        call.may_have_run = True
        if response.encoded or (response.status < MULTIPLE_CHOICES and not response.signed):
            return self._failures.fail(call, event.number, "malformed", now_s)
        if response.status >= INTERNAL_SERVER_ERROR:
            if self._failures.may_retry(call, now_s):
                return self._failures.fail(call, event.number, TARGET_ERROR, now_s)
            if call.standby is not None:
                return self._endings.give_up(call, TARGET_ERROR, now_s)
        call.stage = SendStage.HEAD
        call.succeeds = response.status < MULTIPLE_CHOICES
        if call.response_started:
            if response.status != OK or response.content_type != call.content_type:
                return self._failures.fail(call, event.number, "not_resumed", now_s)
            self._feedback.note_latency(call, target, now_s)
            return [ContinueResponse(call.call_id, call.number)]
        stream = call.route.kind is CallKind.STREAM and response.status == OK
        call.response_started, call.content_type = stream, response.content_type
        self._feedback.note_latency(call, target, now_s)
        ended = end_standby(call, "replaced", now_s)
        return [*ended, RelayResponse(call.call_id, call.number, stream)]

    def on_first_event(self, event: FirstEvent, now_s: float) -> list[Action]:
        """Record that a response has begun, and when; of two sends the other one ends."""
        silent = self._with_standby(event.call_id, event.number)
        actions: list[Action] = [] if silent is None else [*restore(silent, "progress", now_s)]
        call = self._current(event.call_id, event.number)
        if call is None or call.target is None:
            return actions
        call.stage, call.begun_s = SendStage.BEGUN, now_s
        call.target.work.began(call.call_id, now_s)
        if call.response_started:
            self._crashes.note_begun(call, call.target, now_s)
        if call.first_s is None:
            call.first_s = now_s - call.arrived_s
            self._deps.latencies.note(f"{call.route.name} first event", call.first_s)
        return [*actions, *end_standby(call, "replaced", now_s)]

    def on_complete(self, event: ResponseComplete, now_s: float) -> list[Action]:
        """End a call whose complete response has been relayed."""
        silent = self._with_standby(event.call_id, event.number)
        actions: list[Action] = []
        if silent is not None:
            actions += restore(silent, "complete", now_s)
        call = self._current(event.call_id, event.number)
        if call is None:
            return []
        has_body = event.body_bytes or call.stage is not SendStage.HEAD
        if call.target is not None and call.succeeds and has_body:
            self._crashes.note_complete(call, call.target, now_s)
        self._deps.work.note_complete(call, event.events, now_s)
        target = release(call)
        if target is not None:
            self._deps.roster.outliers.succeeded(target.target_id)
        return [*actions, *self._endings.end(call, "complete", now_s, event.response)]

    def on_failed(self, event: SendFailed, now_s: float) -> list[Action]:
        """Retry a call after a send without a complete response, or give up."""
        silent = self._with_standby(event.call_id, event.number)
        if silent is not None:
            note_progress(silent, event)
            return [*self._standbys.on_failed(silent, event.cause, event.sent, now_s)]
        call = self._current(event.call_id, event.number)
        return [] if call is None else self._failures.on_failed(call, event, now_s)

    def on_stalled(self, event: SendStalled, now_s: float) -> list[Action]:
        """Try to resume a stalled response on another target if that is allowed; keep waiting.

        A runner that is short of memory preempts a run and continues it later, so a stall alone
        does not end a response.
        """
        call = self._current(event.call_id, event.number)
        if call is None:
            return []
        note_progress(call, event)
        if not self._failures.may_retry(call, now_s):
            self._deps.counters.add("sends_silent", call.route.kind.value)
            return []
        return self._failures.retry_stalled(call, now_s)

    def on_caller_disconnected(self, event: CallerDisconnected, now_s: float) -> list[Action]:
        """Cancel the call of a caller that has disconnected."""
        call = self.calls.get(event.call_id)
        if call is None:
            return []
        actions: list[Action] = []
        if call.target is not None:
            self._deps.roster.outliers.probe_inconclusive(call.target.target_id)
            actions.append(CancelSend(call.call_id, call.number))
            release(call)
        return [*actions, *self._endings.end(call, "caller_left", now_s)]

    def end_all(self, now_s: float) -> list[Action]:
        """End all calls, since the process is about to exit: callers needn't wait for its end."""
        actions: list[Action] = []
        for call in list(self.calls.values()):
            call.may_have_run = call.may_have_run or call.target is not None
            actions += self._endings.give_up(call, "stopping", now_s)
        return actions

    def tick(self, now_s: float) -> list[Action]:
        """End calls at their deadline, send queued calls, and retry those that are overdue."""
        actions: list[Action] = list(self._deps.idempotency_keys.tick(now_s))
        for call in list(self.calls.values()):
            if now_s >= call.ends_at_s:
                call.may_have_run = call.may_have_run or call.target is not None
                actions += self._endings.give_up(call, "deadline", now_s)
                continue
            self._crashes.update_stage(call, now_s)
            if call.suspected_at is not None:
                actions += self._failures.resolve_suspicion(call, now_s)
                continue
            if call.queued_until_s is not None:
                if now_s >= call.queued_until_s:
                    call.queued_until_s = None
                    actions += self._send(call, now_s)
                continue
            overdue = call.stage is SendStage.WAITING and self._failures.is_overdue(call, now_s)
            if overdue and self._failures.may_retry(call, now_s):
                actions += self._failures.retry_stalled(call, now_s)
        return actions
