"""Moves each call from its arrival to its final answer: admission, sends, repeats, time limits.

A call that is not repeatable is sent once, and again only after proof that it did not run.  A
repeatable one goes to another target after a failure or too long a silence, within the route's
attempts and the shared budget.  A stream that broke off goes on elsewhere from the last event that
its caller has received.  A call that is given up gets its final answer at once; 503 is said only
where nothing can have run.
"""

import random
from typing import Final, NamedTuple, TypeAlias

from filbertstream.actions import Log
from filbertstream.process.burn import Burn
from filbertstream.process.counters import Counters
from filbertstream.process.latencies import Latencies
from filbertstream.process.roster import Roster, RosterTarget
from filbertstream.request import call_logs
from filbertstream.request.admission import Admission
from filbertstream.request.authorization import Authorizer, Refused
from filbertstream.request.call import BufferedResponse, CacheDirectives
from filbertstream.request.call_events import (
    AbortResponse,
    CallAction,
    CallArrived,
    CallerDisconnected,
    CancelSend,
    ContinueResponse,
    FirstEvent,
    RelayResponse,
    ReplayResponse,
    RespondLocally,
    ResponseComplete,
    ResponseStarted,
    SendCall,
    SendFailed,
    SendStalled,
)
from filbertstream.request.call_state import Call
from filbertstream.request.idempotency_keys import ClaimKey, IdempotencyKeys, KeyClaimed, SettleKey
from filbertstream.request.placement import place_plain
from filbertstream.request.prompt_placer import LogFields, PromptPlacer, TurnedAway
from filbertstream.request.retry_budget import SharedRetryBudget
from filbertstream.request.send_timeouts import (
    SILENCE_PLAIN_S,
    max_idle_s,
    patience_s,
    progress_timeout_s,
)
from filbertstream.statuses import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    INTERNAL_SERVER_ERROR,
    MISDIRECTED,
    MULTIPLE_CHOICES,
    OK,
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
)
from filbertstream.version.config_freshness import ConfigFreshness
from filbertstream.version.routes import CallKind, Engine
from filbertstream.version.weights_view import WeightsView

PARK_S: Final = 0.1
"""A call that every target has refused waits this long before it is tried again."""

PARK_SHARE: Final = 0.35
"""The share of its objective up to which a call waits so: a runner that loads weights is back by
then, and a caller that is sent away comes back later than that."""

EXTRA_SENDS: Final = 2
"""Sends beyond the route's attempts after answers that prove that nothing ran."""

NO_TARGET_RETRY_S: Final = 0.6
"""About the time in which a registration is refreshed or a runner has loaded its weights."""

FULL_RETRY_S: Final = 0.25
"""A few times the work of a plain call: a queue that was full has moved on by then."""

RETRY_JITTER: Final = 0.5
"""Callers that were refused together come back spread over this share of the wait."""

LOWEST_PRIORITY: Final = 9

SERVED: Final = frozenset({"complete", "kept", "caller_left"})
"""How calls end without a fault of this system."""

LATENCY_WEIGHT: Final = 0.2
"""Weight of a new observation in a target's latency."""

Action: TypeAlias = CallAction | ClaimKey | SettleKey | Log


class ForwardingDependencies(NamedTuple):
    """What forwarding works with."""

    data_center: str
    roster: Roster
    authorizer: Authorizer
    weights: WeightsView
    prompt_placer: PromptPlacer
    config_freshness: ConfigFreshness
    budget: SharedRetryBudget
    counters: Counters
    latencies: Latencies
    admission: Admission
    idempotency_keys: IdempotencyKeys
    burn: Burn
    rng: random.Random


class Forwarding:
    """All calls under way."""

    def __init__(self, parts: ForwardingDependencies) -> None:
        self._parts = parts
        self.calls: dict[int, Call] = {}

    def on_arrived(self, event: CallArrived, now_s: float) -> list[Action]:
        """Admit a call and send it, or refuse it at once."""
        head = event.head
        admitted = self._parts.authorizer.check(head, now_s)
        if isinstance(admitted, Refused):
            return self._refuse(event, admitted, now_s)
        route = admitted.route
        config = self._parts.authorizer.config
        name = route.pick_backend(self._parts.rng.random())
        service = None if config is None else config.services.get(name)
        if service is None:
            refused = Refused(UNAVAILABLE, "no_service", NO_TARGET_RETRY_S)
            return self._refuse(event, refused, now_s)
        workspace = admitted.workspace
        if workspace is not None and workspace.workspace_limits is not None:
            shortage = self._parts.admission.begin(
                workspace.name, workspace.workspace_limits, now_s
            )
            if shortage is not None:
                refused = Refused(TOO_MANY_REQUESTS, shortage.code, shortage.retry_after_s)
                return self._refuse(event, refused, now_s)
        limit_s = route.timeout_s
        if head.deadline_s is not None:
            limit_s = min(limit_s, head.deadline_s)
        ends_at_s = now_s + limit_s
        call = Call(event.call_id, head, route, service, workspace, now_s, ends_at_s)
        call.last_event_id = head.last_event_id
        self.calls[call.call_id] = call
        self._parts.budget.note_call(service.name, now_s)
        self._parts.counters.add("calls", route.kind.value)
        if route.needs_idempotency_key and head.idempotency_key is not None:
            call.claiming = True
            return [self._parts.idempotency_keys.claim(call, head.idempotency_key)]
        return self._send(call, now_s)

    def on_claimed(self, event: KeyClaimed, now_s: float) -> list[Action]:
        """Send a call whose key is claimed, or give it the final answer that the key stands for."""
        call = self.calls.get(event.call_id)
        if call is None or call.head.idempotency_key is None or not call.claiming:
            # The call ended meanwhile; its end has settled the key.
            return []
        call.claiming = False
        longest_s = call.route.timeout_s
        verdict = self._parts.idempotency_keys.resolve_claim(
            event, call.head.idempotency_key, longest_s, now_s
        )
        log = call_logs.claimed(call, event)
        if verdict is None:
            return [log, *self._send(call, now_s)]
        if isinstance(verdict, Refused):
            after_s = self._spread(verdict.retry_after_s)
            refusal = RespondLocally(call.call_id, verdict.status, verdict.code, "", after_s)
            self._parts.counters.add("calls_refused", verdict.code)
            refused = call_logs.refused(call, refusal)
            return [log, refusal, refused, *self._end(call, verdict.code, now_s)]
        kept = call_logs.answered_from_key(call)
        return [log, ReplayResponse(call.call_id, verdict), kept, *self._end(call, "kept", now_s)]

    def _refuse(self, event: CallArrived, refused: Refused, now_s: float) -> list[Action]:
        self._parts.counters.add("calls_refused", refused.code)
        config = self._parts.authorizer.config
        version = 0 if config is None else config.version
        line = call_logs.refused_on_arrival(
            event, refused, version, self._parts.config_freshness.age_s(now_s)
        )
        after_s = self._spread(refused.retry_after_s)
        response = RespondLocally(event.call_id, refused.status, refused.code, "", after_s)
        return [response, line]

    def _spread(self, retry_after_s: float | None) -> float | None:
        if retry_after_s is None:
            return None
        return retry_after_s * (1.0 + RETRY_JITTER * self._parts.rng.random())

    def _send(self, call: Call, now_s: float) -> list[Action]:
        """Choose a target and send, or give the call up."""
        if now_s >= call.ends_at_s:
            return self._give_up(call, "deadline", now_s)
        engine = call.service.engine
        if engine is not None and call.head.prompt is not None:
            return self._send_prompt(call, engine, now_s)
        targets = self._candidates(call, now_s)
        target = place_plain(targets, self._parts.data_center, call.route.objective_s, now_s)
        if target is None:
            return self._park_or_give_up(call, now_s)
        return self._send_to(call, target, None, now_s)

    def _park_or_give_up(self, call: Call, now_s: float) -> list[Action]:
        """Let a call that only refusals have met wait a little, or give it up."""
        longest_s = PARK_SHARE * call.route.objective_s
        waited_s = now_s + PARK_S - call.arrived_s
        if not call.refusals or call.may_have_run or waited_s > longest_s:
            return self._give_up(call, "no_target", now_s)
        call.parked_until_s = now_s + PARK_S
        call.tried.clear()
        self._parts.counters.add("calls_parked", call.route.kind.value)
        return []

    def _candidates(self, call: Call, now_s: float) -> list[RosterTarget]:
        usable = self._parts.roster.usable(call.service.name, now_s)
        fresh = [target for target in usable if target.target_id not in call.tried]
        steady = [target for target in fresh if not self._parts.weights.is_swapping(target)]
        return steady or fresh

    def _send_prompt(self, call: Call, engine: Engine, now_s: float) -> list[Action]:
        placed = self._parts.prompt_placer.place(call, engine, self._candidates(call, now_s), now_s)
        if placed is None:
            return self._park_or_give_up(call, now_s)
        if isinstance(placed, TurnedAway):
            return self._give_up(call, "overloaded", now_s, placed)
        call.queued_tokens, call.ahead_tokens = placed.read_tokens, placed.ahead_tokens
        call.weights = placed.directives.weights
        placed.target.prefill.sent(placed.read_tokens)
        return self._send_to(call, placed.target, placed.directives, now_s, placed.inputs)

    def _send_to(
        self,
        call: Call,
        target: RosterTarget,
        cache: CacheDirectives | None,
        now_s: float,
        inputs: LogFields = (),
    ) -> list[Action]:
        line = call_logs.placed(call, target, inputs, now_s)
        call.number += 1
        call.attempts += 1
        call.target = target
        call.sent_at_s = now_s
        call.answering = False
        call.tried.add(target.target_id)
        target.outstanding += 1
        target.memory_tokens += call.memory_tokens
        self._parts.roster.outliers.sent(target.target_id, now_s)
        workspace = call.workspace
        entry = target.entry
        return [
            SendCall(
                call.call_id,
                call.number,
                entry.target_id,
                entry.address,
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

    def _release(self, call: Call) -> RosterTarget | None:
        """End the current send; return its target."""
        target, call.target = call.target, None
        if target is not None:
            target.outstanding -= 1
            target.memory_tokens -= call.memory_tokens
            target.prefill.dropped(call.queued_tokens)
            call.queued_tokens = 0
        return target

    def _current(self, call_id: int, number: int) -> Call | None:
        call = self.calls.get(call_id)
        return call if call is not None and call.number == number and call.target else None

    def on_started(self, event: ResponseStarted, now_s: float) -> list[Action]:
        """Decide what becomes of an answer whose head arrived."""
        call = self._current(event.call_id, event.number)
        if call is None or call.target is None:
            return []
        response, target = event.response, call.target
        if response.load is not None:
            target.note_load(response.load, now_s)
        prompt = call.head.prompt
        if response.weights is not None and prompt is not None:
            target.note_weights(prompt.model, response.weights)
        if response.not_run or response.status == MISDIRECTED:
            return self._on_not_run(call, event, now_s)
        call.may_have_run = True
        if response.encoded or (response.status < MULTIPLE_CHOICES and not response.signed):
            return self._on_broken(call, event.number, "malformed", now_s)
        if response.status >= INTERNAL_SERVER_ERROR and self._may_repeat(call, now_s):
            return self._on_broken(call, event.number, "target_error", now_s)
        call.answering = True
        if call.begun:
            if response.status != OK:
                return self._on_broken(call, event.number, "not_resumed", now_s)
            self._learn(call, target, now_s)
            return [ContinueResponse(call.call_id, call.number)]
        stream = call.route.kind is CallKind.STREAM and response.status == OK
        call.begun = stream
        self._learn(call, target, now_s)
        return [RelayResponse(call.call_id, call.number, stream)]

    def _learn(self, call: Call, target: RosterTarget, now_s: float) -> None:
        waited_s = now_s - call.sent_at_s
        target.latency_s += LATENCY_WEIGHT * (waited_s - target.latency_s)
        self._parts.latencies.note(call.route.name, waited_s)
        if call.head.prompt is not None:
            target.prefill.answered(call.queued_tokens, call.ahead_tokens, waited_s)
            call.queued_tokens = 0

    def _on_not_run(self, call: Call, event: ResponseStarted, now_s: float) -> list[Action]:
        """Send again, or refuse: the target has said that nothing ran."""
        target = self._release(call)
        call.attempts -= 1
        call.refusals += 1
        response = event.response
        actions: list[Action] = [CancelSend(call.call_id, event.number)]
        self._parts.counters.add("sends_refused", str(response.status))
        actions.append(call_logs.not_run(call, target, response))
        if target is not None:
            self._parts.roster.outliers.probe_inconclusive(target.target_id)
            if response.status == MISDIRECTED and response.target_id != target.target_id:
                target.backoff_until_s = now_s + SILENCE_PLAIN_S
            elif response.status == MISDIRECTED and call.head.prompt is not None:
                self._note_other_weights(call, call.head.prompt.model, response.weights, target)
            elif response.retry_after_s is not None:
                target.backoff_until_s = now_s + min(response.retry_after_s, NO_TARGET_RETRY_S)
        if call.refusals <= EXTRA_SENDS and self._parts.budget.take(call.service.name, now_s):
            return [*actions, *self._send(call, now_s)]
        return [*actions, *self._give_up(call, "targets_full", now_s)]

    def _note_other_weights(
        self, call: Call, model: str, told: int | None, target: RosterTarget
    ) -> None:
        """Take in that a target has other weights than the call expected.

        Where it doesn't tell them, they are the next ones after those expected, whatever was
        learned since the call was sent: many calls may meet the same answer at once.
        """
        if told is None and call.weights is not None:
            named = self._parts.weights.named.get(model, 0)
            target.note_weights(model, max(named, call.weights + 1))

    def _may_repeat(self, call: Call, now_s: float) -> bool:
        """Whether a call that may have run may be sent once more, and take it from the budget."""
        if not call.route.retryable or call.attempts >= call.route.attempts:
            return False
        if now_s >= call.ends_at_s or not self._candidates(call, now_s):
            return False
        return self._parts.budget.take(call.service.name, now_s)

    def _on_broken(self, call: Call, number: int, cause: str, now_s: float) -> list[Action]:
        """Repeat a call after a failure; the budget was asked where the cause is a 5xx."""
        log = call_logs.attempt_failed(call, cause, now_s)
        self._parts.counters.add("sends_failed", cause)
        call.failed_sends += 1
        target = self._release(call)
        if target is not None:
            self._fail_target(target, now_s)
        cancel = CancelSend(call.call_id, number)
        if cause == "target_error" or self._may_repeat(call, now_s):
            self._parts.counters.add("repeats", cause)
            return [cancel, log, *self._send(call, now_s)]
        return [cancel, log, *self._give_up(call, cause, now_s)]

    def _fail_target(self, target: RosterTarget, now_s: float) -> None:
        roster = self._parts.roster
        if roster.outliers.failed(target.target_id, len(roster.targets), now_s):
            self._parts.counters.add("ejected", "")

    def on_first_event(self, event: FirstEvent, now_s: float) -> list[Action]:
        """Note that the body of an answer has begun."""
        call = self._current(event.call_id, event.number)
        if call is not None and call.first_s is None:
            call.first_s = now_s - call.arrived_s
            self._parts.latencies.note(f"{call.route.name} first event", call.first_s)
        return []

    def on_complete(self, event: ResponseComplete, now_s: float) -> list[Action]:
        """End a call whose whole answer was passed on."""
        call = self._current(event.call_id, event.number)
        if call is None:
            return []
        target = self._release(call)
        if target is not None:
            self._parts.roster.outliers.succeeded(target.target_id)
        return self._end(call, "complete", now_s, event.response)

    def on_failed(self, event: SendFailed, now_s: float) -> list[Action]:
        """Go on elsewhere after a send without a whole answer, or give up."""
        call = self._current(event.call_id, event.number)
        if call is None:
            return []
        self._note_progress(call, event)
        if event.sent:
            call.may_have_run = True
            return self._on_broken(call, event.number, event.cause, now_s)
        target = self._release(call)
        call.attempts -= 1
        self._parts.counters.add("sends_failed", event.cause)
        if target is not None:
            self._fail_target(target, now_s)
        # Nothing reached a target, so going on costs none of the budget.
        return self._send(call, now_s)

    @staticmethod
    def _note_progress(call: Call, event: SendFailed | SendStalled) -> None:
        call.begun = call.begun or event.begun
        call.last_event_id = event.last_event_id or call.last_event_id

    def on_stalled(self, event: SendStalled, now_s: float) -> list[Action]:
        """Go on elsewhere with an answer that has stopped, where that is allowed, or wait on.

        A runner that is short of memory sets a run aside and goes on with it later, so silence
        alone ends no answer.
        """
        call = self._current(event.call_id, event.number)
        if call is None:
            return []
        self._note_progress(call, event)
        if not self._may_repeat(call, now_s):
            self._parts.counters.add("sends_silent", call.route.kind.value)
            return []
        return self._repeat_silent(call, now_s)

    def on_caller_disconnected(self, event: CallerDisconnected, now_s: float) -> list[Action]:
        """Cancel the work of a caller that went away."""
        call = self.calls.get(event.call_id)
        if call is None:
            return []
        actions: list[Action] = []
        if call.target is not None:
            self._parts.roster.outliers.probe_inconclusive(call.target.target_id)
            actions.append(CancelSend(call.call_id, call.number))
            self._release(call)
        return [*actions, *self._end(call, "caller_left", now_s)]

    def _give_up(
        self, call: Call, code: str, now_s: float, turned_away: TurnedAway | None = None
    ) -> list[Action]:
        """Give the caller its final answer now."""
        actions: list[Action] = []
        if call.target is not None:
            actions.append(CancelSend(call.call_id, call.number))
            self._release(call)
        if call.begun:
            actions.append(AbortResponse(call.call_id))
            return [*actions, *self._end(call, code, now_s)]
        status, retry_after_s = self._refusal(call, code)
        if turned_away is not None and retry_after_s is not None:
            retry_after_s = turned_away.retry_after_s
        refusal = RespondLocally(call.call_id, status, code, "", self._spread(retry_after_s))
        inputs = () if turned_away is None else turned_away.inputs
        return [
            *actions,
            refusal,
            call_logs.refused(call, refusal, inputs),
            *self._end(call, code, now_s),
        ]

    def _refusal(self, call: Call, code: str) -> tuple[int, float | None]:
        if call.may_have_run:
            return (GATEWAY_TIMEOUT if code == "deadline" else BAD_GATEWAY), None
        return UNAVAILABLE, FULL_RETRY_S if code == "targets_full" else NO_TARGET_RETRY_S

    def _end(
        self, call: Call, outcome: str, now_s: float, response: BufferedResponse | None = None
    ) -> list[Action]:
        del self.calls[call.call_id]
        self._parts.counters.add("calls_ended", outcome)
        workspace = call.workspace
        if workspace is not None and workspace.workspace_limits is not None:
            workspace_limits = workspace.workspace_limits
            self._parts.admission.end(workspace.name)
            late = call.first_s is not None and call.first_s > workspace_limits.first_token_s
            missed = late or outcome not in SERVED
            self._parts.burn.note(
                workspace.name, workspace_limits.within, now_s, missed, call.first_s
            )
        settled = self._parts.idempotency_keys.end(call, response, now_s)
        return [*settled, call_logs.finished(call, outcome, now_s)]

    def tick(self, now_s: float) -> list[Action]:
        """End calls whose time is up, and repeat those that wait too long."""
        actions: list[Action] = list(self._parts.idempotency_keys.tick(now_s))
        for call in list(self.calls.values()):
            if now_s >= call.ends_at_s:
                call.may_have_run = call.may_have_run or call.target is not None
                actions += self._give_up(call, "deadline", now_s)
                continue
            if call.parked_until_s is not None:
                if now_s >= call.parked_until_s:
                    call.parked_until_s = None
                    actions += self._send(call, now_s)
                continue
            overdue = not call.answering and self._is_overdue(call, now_s)
            if overdue and self._may_repeat(call, now_s):
                actions += self._repeat_silent(call, now_s)
        return actions

    def _repeat_silent(self, call: Call, now_s: float) -> list[Action]:
        """Give a silent send up for another one, which the budget has allowed."""
        call.may_have_run = True
        cancel = CancelSend(call.call_id, call.number)
        log = call_logs.attempt_failed(call, "silent", now_s)
        call.failed_sends += 1
        target = self._release(call)
        if target is not None:
            self._fail_target(target, now_s)
        self._parts.counters.add("repeats", "silent")
        return [cancel, log, *self._send(call, now_s)]

    def _is_overdue(self, call: Call, now_s: float) -> bool:
        if call.target is None or not call.route.retryable:
            return False
        usual_s = self._parts.latencies.mean_s(call.route.name)
        rate = call.target.prefill.rate_per_s
        return now_s - call.sent_at_s > patience_s(call, usual_s, rate)
