"""Requests that must run at most once: the claim before the send, the outcome after it.

``request.claims`` keeps the ledger; this module turns its verdicts into attempts and answers.  A
repeat of a key joins a run that is under way, gets the kept answer of one that ended, or hears that
the outcome is unknown.  A claim that is granted after its request was refused is voided, so the
refusal's "not run" stays true and a later repeat can run.
"""

from typing import Final

from filbertstream.actions import Action, AnswerKept, AwaitDecision, Log
from filbertstream.log_events import LogEvent
from filbertstream.process.membership import Membership
from filbertstream.request.claims import (
    KEPT_ANSWER_LIMIT_BYTES,
    ClaimOp,
    Ledger,
    LedgerStep,
    OpKind,
    Verdict,
    claim_key,
)
from filbertstream.request.run import Phase, Run
from filbertstream.request.serving import Serving

CLAIM_WITHIN_S: Final = 2.0
"""A claim that isn't durable after this long is given up: the request did not run."""

JOIN_POLL_S: Final = 0.1
"""How often a repeat looks for the outcome of the run that it joined."""

STATUS_UNKNOWN: Final = 1
"""Kept in place of an HTTP status: the request may have run and its answer is lost."""

STATUS_NOT_KEPT: Final = 2
"""Kept in place of an HTTP status: the request ran and its answer was too large to keep."""


class Claimed:
    """The runs of this process that wait for a claim or hold one."""

    def __init__(self, ledger: Ledger, serving: Serving, membership: Membership) -> None:
        self._ledger = ledger
        self._serving = serving
        self._membership = membership
        self._by_claim: dict[str, Run] = {}
        self._joined: set[str] = set()
        self._claims = 0

    def begin(self, run: Run, now_s: float) -> list[Action]:
        """Ask for the claim of a run."""
        self._claims += 1
        own = self._membership.own
        claimant = f"{own.name}#{own.incarnation:x}"
        key = claim_key(run.workspace, run.req.target_name, run.req.idempotency_key or "")
        claim_id = f"{claimant}-{self._claims:x}"
        run.claim = ClaimOp(OpKind.CLAIM, key, claim_id, run.req.body_digest, claimant)
        run.phase = Phase.CLAIM
        self._by_claim[claim_id] = run
        actions = self.take(self._ledger.submit(run.claim), now_s)
        if run.phase is Phase.CLAIM and run.req.request_id in self._serving.endings.runs:
            actions.append(AwaitDecision(run.req.request_id, CLAIM_WITHIN_S))
        return actions

    def take(self, step: LedgerStep, now_s: float) -> list[Action]:
        """Carry out what the ledger decided."""
        actions = list(step.asks)
        for verdict in step.verdicts:
            actions += self._on_verdict(verdict, now_s)
        return actions

    def _on_verdict(self, verdict: Verdict, now_s: float) -> list[Action]:
        run = self._by_claim.get(verdict.claim_id)
        if run is None or run.claim is None:
            return []
        if run.req.request_id not in self._serving.endings.runs:
            return self._on_late_verdict(run, verdict, now_s)
        if run.phase is not Phase.CLAIM:
            return []
        fields = (("request_id", run.req.request_id), ("verdict", verdict.outcome))
        log = Log(LogEvent.CLAIM_SETTLED, fields)
        return [log, *self._answer(run, verdict, now_s)]

    def _on_late_verdict(self, run: Run, verdict: Verdict, now_s: float) -> list[Action]:
        """Void a claim that was granted after its request had been refused as not run."""
        del self._by_claim[verdict.claim_id]
        if verdict.outcome != "granted" or run.claim is None:
            return []
        void = ClaimOp(OpKind.VOID, run.claim.key, run.claim.claim_id)
        return self.take(self._ledger.submit(void), now_s)

    def _answer(self, run: Run, verdict: Verdict, now_s: float) -> list[Action]:
        match verdict.outcome:
            case "granted":
                return self._serving.route(run, now_s)
            case "done":
                return self._answer_kept(run, verdict, now_s)
            case "running":
                return self._join(run, verdict, now_s)
            case "conflict":
                return self._end_unclaimed(run, "key_conflict", now_s)
            case _:
                return self._end_unclaimed(run, "claims_unavailable", now_s)

    def _answer_kept(self, run: Run, verdict: Verdict, now_s: float) -> list[Action]:
        if verdict.status == STATUS_UNKNOWN:
            return self._end_unsure(run, "outcome_unknown", now_s)
        if verdict.status == STATUS_NOT_KEPT:
            return self._end_unsure(run, "answer_not_kept", now_s)
        self._drop(run)
        request_id = run.req.request_id
        return [
            AnswerKept(request_id, verdict.status, verdict.answer),
            Log(LogEvent.ANSWER_KEPT, (("request_id", request_id),)),
            *self._serving.endings.end(run, "kept answer", now_s, missed=False),
        ]

    def _join(self, run: Run, verdict: Verdict, now_s: float) -> list[Action]:
        """Wait for the outcome of the run that holds the key, while its claimant lives."""
        if not self._is_live(verdict.claimant, now_s):
            return self._end_unsure(run, "outcome_unknown", now_s)
        if now_s >= run.deadline_at_s:
            return self._end_unsure(run, "key_running", now_s)
        self._joined.add(run.req.request_id)
        return [AwaitDecision(run.req.request_id, JOIN_POLL_S)]

    def _is_live(self, claimant: str, now_s: float) -> bool:
        name, _, incarnation = claimant.rpartition("#")
        own = self._membership.own
        if name == own.name:
            return incarnation == f"{own.incarnation:x}"
        peer = self._membership.peers.get(name)
        known = peer is not None and f"{peer.registration.incarnation:x}" == incarnation
        return known and name in self._membership.live(now_s)

    def on_overdue(self, run: Run, now_s: float) -> list[Action]:
        """Look again for the outcome that a repeat waits for, or give up a slow claim."""
        if run.claim is None:
            return []
        if run.req.request_id not in self._joined:
            return self._serving.endings.give_up(run, "claims_unavailable", now_s)
        standing = self._ledger.standing(run.claim.key)
        actions = self.take(self._ledger.poll(run.claim.key), now_s)
        if standing is None:
            # The earlier run was voided: this request may claim the key itself.
            self._joined.discard(run.req.request_id)
            return [*actions, *self.take(self._ledger.submit(run.claim), now_s)]
        outcome = "done" if standing.status else "running"
        verdict = Verdict(
            run.claim.claim_id, outcome, standing.status, standing.answer, standing.claimant
        )
        return [*actions, *self._answer(run, verdict, now_s)]

    def close(self, run: Run, now_s: float) -> list[Action]:
        """Record the outcome of a run that held its claim, or take the claim back."""
        if run.claim is None or run.phase is not Phase.ATTEMPT:
            return []
        self._drop(run)
        key, claim_id = run.claim.key, run.claim.claim_id
        if run.answer is None and not run.sent:
            op = ClaimOp(OpKind.VOID, key, claim_id)
        elif run.answer is None:
            op = ClaimOp(OpKind.DONE, key, claim_id, status=STATUS_UNKNOWN)
        elif len(run.answer.body) > KEPT_ANSWER_LIMIT_BYTES:
            op = ClaimOp(OpKind.DONE, key, claim_id, status=STATUS_NOT_KEPT)
        else:
            status, body = run.answer
            op = ClaimOp(OpKind.DONE, key, claim_id, status=status, answer=body)
        return self.take(self._ledger.submit(op), now_s)

    def _drop(self, run: Run) -> None:
        if run.claim is not None:
            self._by_claim.pop(run.claim.claim_id, None)
        self._joined.discard(run.req.request_id)

    def _end_unclaimed(self, run: Run, code: str, now_s: float) -> list[Action]:
        """End a run whose claim doesn't stand: it did not run."""
        self._drop(run)
        return self._serving.endings.give_up(run, code, now_s)

    def _end_unsure(self, run: Run, code: str, now_s: float) -> list[Action]:
        """End a repeat of a key whose first run may have happened."""
        self._drop(run)
        run.sent = True
        return self._serving.endings.give_up(run, code, now_s)
