"""State machine over idempotency keys.

Failures guarded against: a key's call runs twice, a call that ran is reported as not run, and a
stored response changes.  They come about when entries race for a key or die, and when writes to the
object store are late, rejected or without a response.

The object store here is the worst that the platform allows: a write without a response is carried
out at once, at any later step, or never.
"""

from typing import Any, NamedTuple

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from filbertstream.request.call import BufferedResponse, CallHead, IdempotencyKey
from filbertstream.request.call_state import Call
from filbertstream.request.idempotency_keys import (
    IdempotencyKeys,
    KeyClaimed,
    KeyRecord,
    KeySettled,
    KeyState,
    SettleKey,
)
from filbertstream.request.key_journal import RewriteKey
from filbertstream.request.key_writes import (
    ClaimSteps,
    KeyAction,
    KeyCall,
    KeyOutcome,
    KeyResponse,
    SettleSteps,
    claim_steps,
    rewrite_steps,
    settle_steps,
)
from filbertstream.version.routes import Backend, CallKind, Route, Service
from tests.helpers import rev

ENTRIES = ("e1", "e2", "e3")
TIMEOUT_S = 10.0
ROUTE = Route("r", "h", "/", CallKind.NON_IDEMPOTENT, (Backend("s", 1),), TIMEOUT_S, 1.0, 1)
KEY = IdempotencyKey("key", "body")
RESPONSE = BufferedResponse(200, "text/plain", b"done")


class PendingStep(NamedTuple):
    """Object store calls in progress: their entry, the call they belong to, the next request."""

    entry: str
    incarnation: int
    call_id: int
    steps: ClaimSteps | SettleSteps
    call: KeyCall


class KeysMachine(RuleBasedStateMachine):
    """Any number of calls with one key, on three entries that die and restart."""

    def __init__(self) -> None:
        super().__init__()
        self.record: KeyRecord | None = None
        self.revision = rev(0)
        self.late: list[KeyCall] = []
        self.pending_steps: list[PendingStep] = []
        self.incarnations = dict.fromkeys(ENTRIES, 1)
        self.registered = dict.fromkeys(ENTRIES, 1)
        self.idempotency_keys = {name: self._new(name) for name in ENTRIES}
        self.calls: dict[int, Call] = {}
        self.owners: dict[int, tuple[str, int]] = {}
        self.running: set[int] = set()
        self.ran: list[int] = []
        self.reported_not_run: set[int] = set()
        self.responses: dict[int, bytes] = {}
        self.now_s = 0.0

    def _new(self, name: str) -> IdempotencyKeys:
        return IdempotencyKeys(
            name,
            self.incarnations[name],
            lambda entry, incarnation: self.registered.get(entry) == incarnation,
        )

    def _begin(self, entry: str, call_id: int, steps: Any) -> None:
        call = next(steps)
        self.pending_steps.append(
            PendingStep(entry, self.incarnations[entry], call_id, steps, call)
        )

    @rule(entry=st.sampled_from(ENTRIES))
    def arrive(self, entry: str) -> None:
        call_id = len(self.owners) + 1
        head = CallHead(f"call-{call_id}", "POST", "h", "/", None, None, 1, None, None, KEY)
        call = Call(call_id, head, ROUTE, Service("s", "", 9), None, self.now_s, TIMEOUT_S)
        self.calls[call_id] = call
        self.owners[call_id] = (entry, self.incarnations[entry])
        self._begin(entry, call_id, claim_steps(self.idempotency_keys[entry].claim(call, KEY)))

    def _apply(self, call: KeyCall) -> KeyResponse:
        """Carry out an object store call."""
        if call.action is KeyAction.READ:
            return KeyResponse(KeyOutcome.DONE, self.record, self.revision)
        create = call.action is KeyAction.CREATE
        matches = self.record is None if create else self.revision == call.revision
        if not matches or (not create and self.record is None):
            return KeyResponse(KeyOutcome.CONFLICT, self.record, self.revision)
        self.record = call.record
        self.revision = rev(self.revision.number + 1)
        return KeyResponse(KeyOutcome.DONE, self.record, self.revision)

    @precondition(lambda self: self.pending_steps)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(["done", "done", "done", "refused", "lost", "late", "never"]),
    )
    def respond(self, data: st.DataObject, outcome: str) -> None:
        index = data.draw(st.integers(0, len(self.pending_steps) - 1))
        step = self.pending_steps.pop(index)
        if outcome == "done":
            response = self._apply(step.call)
        elif outcome == "refused":
            response = KeyResponse(KeyOutcome.REFUSED)
        else:
            response = KeyResponse(KeyOutcome.OUTCOME_UNKNOWN)
            if outcome == "lost":
                self._apply(step.call)
            elif outcome == "late" and step.call.action is not KeyAction.READ:
                self.late.append(step.call)
        if self.incarnations[step.entry] != step.incarnation:
            return
        try:
            call = step.steps.send(response)
        except StopIteration as stop:
            self._on_steps_ended(step, stop.value)
            return
        self.pending_steps.append(step._replace(call=call))

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def carry_out_late(self, data: st.DataObject) -> None:
        self._apply(self.late.pop(data.draw(st.integers(0, len(self.late) - 1))))

    def _on_steps_ended(self, step: PendingStep, result: KeyClaimed | KeySettled | None) -> None:
        idempotency_keys = self.idempotency_keys[step.entry]
        if isinstance(result, KeySettled):
            idempotency_keys.on_settled(result)
        if not isinstance(result, KeyClaimed) or step.call_id not in self.calls:
            return
        call = self.calls[step.call_id]
        verdict = idempotency_keys.resolve_claim(result, KEY, TIMEOUT_S, self.now_s)
        if verdict is None:
            self.running.add(call.call_id)
            self.ran.append(call.call_id)
            call.attempts = 1
            return
        if isinstance(verdict, BufferedResponse):
            self.responses[call.call_id] = verdict.body
        elif verdict.code == "claims_unavailable":
            self.reported_not_run.add(call.call_id)
        self._finish(call, None)

    def _finish(self, call: Call, response: BufferedResponse | None) -> None:
        entry, _ = self.owners[call.call_id]
        del self.calls[call.call_id]
        for settle in self.idempotency_keys[entry].end(call, response, self.now_s):
            self._settle(entry, call.call_id, settle)

    def _settle(self, entry: str, call_id: int, settle: SettleKey) -> None:
        self._begin(entry, call_id, settle_steps(settle))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), outcome=st.sampled_from(["answer", "cut", "left", "not run"]))
    def end_run(self, data: st.DataObject, outcome: str) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(call_id)
        call = self.calls[call_id]
        if outcome == "not run":
            # The target's response proves that the call did not run.
            self.ran.remove(call_id)
            call.attempts = 0
            self.reported_not_run.add(call_id)
        call.may_have_run = outcome == "cut"
        if outcome == "answer":
            self.responses[call_id] = RESPONSE.body
        self._finish(call, RESPONSE if outcome == "answer" else None)

    @rule(entry=st.sampled_from(ENTRIES))
    def settle_again(self, entry: str) -> None:
        self.now_s += 1.0
        for settle in self.idempotency_keys[entry].tick(self.now_s):
            self._settle(entry, 0, settle)

    @rule(entry=st.sampled_from(ENTRIES))
    def die(self, entry: str) -> None:
        for call_id, (owner, _) in list(self.owners.items()):
            if owner == entry and call_id in self.calls:
                del self.calls[call_id]
                self.running.discard(call_id)
        self.incarnations[entry] += 1
        self.idempotency_keys[entry] = self._new(entry)

    @rule(entry=st.sampled_from(ENTRIES))
    def register(self, entry: str) -> None:
        self.registered[entry] = self.incarnations[entry]

    @invariant()
    def call_runs_at_most_once(self) -> None:
        assert len(self.ran) <= 1, self.ran

    @invariant()
    def responses_are_those_of_the_run(self) -> None:
        assert not self.responses or len(self.ran) == 1
        assert not self.reported_not_run & set(self.ran)

    @invariant()
    def stored_response_does_not_change(self) -> None:
        if self.record is not None and self.record.state is KeyState.STORED:
            assert self.record.body == RESPONSE.body


TestKeys = KeysMachine.TestCase
TestKeys.settings = settings(max_examples=250)


def test_withdrawn_claim_replaces_the_record_that_a_restored_store_lacks() -> None:
    """A call claims its key after a restore, before the outcome of an earlier call is back."""
    kept = KeyRecord(KeyState.STORED, "earlier", "body", "e1", 1)
    claim = KeyRecord(KeyState.RUNNING, "withdrawn", "body", "e1", 1)
    steps = rewrite_steps(RewriteKey("k", kept))
    assert next(steps) == KeyCall(KeyAction.CREATE, "k", kept)
    call = steps.send(KeyResponse(KeyOutcome.CONFLICT, claim, rev(2)))
    assert call == KeyCall(KeyAction.REPLACE, "k", kept, rev(2))
