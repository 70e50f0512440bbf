"""Moves requests from arrival to final answer: admission, lookup, routing, attempts, retries.

One instance serves all requests of the process.  Each method takes one event and returns actions;
nothing here waits.  ``request.claimed`` is asked first about requests that must run at most once.
Every path ends in exactly one of: the worker passing on a whole answer, ``Refuse`` or
``AnswerKept``.
"""

import random
from typing import Final, NamedTuple

from filbertstream.actions import (
    Action,
    CancelAttempt,
    Log,
    ResumeAttempt,
    SendAttempt,
)
from filbertstream.events import (
    AttemptFailed,
    AttemptFinished,
    AttemptStarted,
    CallerRequest,
)
from filbertstream.log_events import LogEvent
from filbertstream.messages import CatalogueAnswer
from filbertstream.process.counters import Counters
from filbertstream.process.directory import Directory, Target
from filbertstream.process.membership import Membership
from filbertstream.request.admission import Admission
from filbertstream.request.cache_use import CacheUse
from filbertstream.request.endings import Endings
from filbertstream.request.explain import AttemptNote
from filbertstream.request.retry_budget import RetryBudget
from filbertstream.request.routing import POLICIES, Ask, Decision
from filbertstream.request.run import Attempt, KeptAnswer, Phase, Run
from filbertstream.version.resolve import Grant, View

SERVER_ERROR: Final = 500
CLIENT_ERROR: Final = 400

RESUMABLE_CAUSES: Final = frozenset({"cut", "silent", "crossed", "malformed", "unreachable"})
"""After these a new connection can bring the rest of a stream from the same runner."""

MAX_ATTEMPTS: Final = 3
MAX_RESUMES: Final = 3
PROGRESS_S: Final = 2.0
"""A stream without a byte for this long is taken for cut."""

FIRST_BYTE_MIN_S: Final = 2.0
FIRST_BYTE_FACTOR: Final = 4.0
"""A first byte may take this many times what was expected before it is given up."""


class ServingParts(NamedTuple):
    """What serving works with; ``core`` owns it all."""

    name: str
    data_center: str
    policy: str
    view: View
    directory: Directory
    membership: Membership
    admission: Admission
    budget: RetryBudget
    counters: Counters
    rng: random.Random


class Serving:
    """All requests under way in this process."""

    def __init__(self, parts: ServingParts, cache: CacheUse, endings: Endings) -> None:
        self.endings = endings
        self._parts = parts
        self._cache = cache
        self._attempts = 0

    def admit(self, req: CallerRequest, now_s: float) -> tuple[Run | None, list[Action]]:
        """Check rights and limits; return the run, or None and the refusal."""
        parts = self._parts
        grant = parts.view.grant_for_key(req.key_digest)
        if grant is None:
            return None, self.endings.refuse_new(req, "unauthorized", 0.0)
        code = self._not_permitted(req, grant)
        if code is not None:
            return None, self.endings.refuse_new(req, code, 0.0)
        share = 1.0 / len(parts.membership.live(now_s))
        shortage = parts.admission.begin(grant, share, now_s)
        if shortage is not None:
            return None, self.endings.refuse_new(req, shortage.code, shortage.retry_after_s)
        limit_s = grant.objectives.deadline_s
        deadline_s = limit_s if req.deadline_s is None else min(limit_s, req.deadline_s)
        run = Run(req, grant, now_s, now_s + deadline_s)
        self.endings.runs[req.request_id] = run
        parts.counters.add("begun", req.kind)
        return run, []

    def _not_permitted(self, req: CallerRequest, grant: Grant) -> str | None:
        if req.kind == "service":
            if self._parts.view.service(req.target_name) is None:
                return "not_found"
            return None if req.target_name in grant.services else "not_permitted"
        if self._parts.view.model(req.target_name) is None:
            return "not_found"
        if req.target_name not in grant.models:
            return "not_permitted"
        return "too_large" if req.prompt_tokens > grant.limits.prompt_tokens else None

    def begin_model(self, run: Run, now_s: float) -> list[Action]:
        """Name the prompt's pieces and find out who holds them, then route."""
        run.weight_version = self._permitted_versions(run)[0]
        run.names = self._cache.names(run, run.weight_version)
        asks = self._cache.look_up(run, now_s)
        return asks or self.route(run, now_s)

    def _permitted_versions(self, run: Run) -> list[str]:
        """Return the weight versions that may serve the run now, the best first."""
        model = run.req.target_name
        wanted = self._parts.view.version_for(run.grant, model) or ""
        permitted = run.grant.versions.get(model)
        served = self._parts.directory.versions(model)
        usable = [item for item in served if not permitted or item in permitted]
        return usable or [wanted]

    def on_holdings(self, answer: CatalogueAnswer, now_s: float) -> list[Action]:
        """Route a run whose lookup was answered in time."""
        run = self.endings.runs.get(answer.request_id)
        if run is None or run.phase is not Phase.LOOKUP:
            return []
        run.holdings = answer.holdings
        return self.route(run, now_s)

    def on_lookup_overdue(self, run: Run, now_s: float) -> list[Action]:
        """Route a run whose lookup was not answered."""
        self._parts.counters.add("lookup_overdue", "")
        self._cache.look_up_here(run)
        return self.route(run, now_s)

    def route(self, run: Run, now_s: float) -> list[Action]:
        """Choose a target and send, or give the request up."""
        run.phase = Phase.ATTEMPT
        if run.req.kind == "service":
            return self._route_service(run, now_s)
        decision = self._decide(run, now_s)
        if decision is None:
            return self.endings.give_up(run, "no_target", now_s)
        run.chosen = decision.chosen
        run.candidates = decision.candidates
        if now_s + decision.chosen.first_token_s > run.deadline_at_s:
            return self.endings.give_up(run, "deadline", now_s, decision.chosen.wait_s)
        return self._send_model(run, decision, now_s)

    def _decide(self, run: Run, now_s: float) -> Decision | None:
        """Return the cheapest decision over the weight versions that may serve the run."""
        best: Decision | None = None
        for version in self._permitted_versions(run):
            known = version == run.weight_version
            names = run.names if known else self._cache.names(run, version)
            decision = self._decide_version(run, version, names, now_s)
            if decision is None or (best and best.chosen.cost <= decision.chosen.cost):
                continue
            best = decision
            chosen_version, chosen_names = version, names
        if best is not None:
            run.weight_version, run.names = chosen_version, chosen_names
        return best

    def _decide_version(
        self, run: Run, version: str, names: tuple[str, ...], now_s: float
    ) -> Decision | None:
        parts = self._parts
        ask = Ask(
            run.req.target_name,
            version,
            run.req.prompt_tokens,
            names,
            run.holdings if version == run.weight_version else (),
            run.grant.weights,
            parts.data_center,
            frozenset(run.failed),
        )
        return POLICIES[parts.policy](ask, parts.directory, now_s, parts.rng)

    def _send_model(self, run: Run, decision: Decision, now_s: float) -> list[Action]:
        chosen = decision.chosen
        directory = self._parts.directory
        target = directory.targets[chosen.target]
        attempt = self._new_attempt(run, target, chosen.recompute_tokens, now_s)
        self._cache.sent(target, chosen.recompute_tokens, now_s)
        first_byte_s = max(FIRST_BYTE_MIN_S, FIRST_BYTE_FACTOR * chosen.first_token_s)
        remaining_s = run.deadline_at_s - now_s
        return [
            SendAttempt(
                run.req.request_id,
                attempt.attempt_id,
                target.name,
                target.listed.address,
                "runner",
                run.weight_version,
                run.grant.priority,
                self._cache.hints(run, decision, now_s),
                run.names,
                False,
                min(first_byte_s, remaining_s),
                min(PROGRESS_S, remaining_s),
                remaining_s,
            )
        ]

    def _new_attempt(self, run: Run, target: Target, tokens: int, now_s: float) -> Attempt:
        parts = self._parts
        self._attempts += 1
        run.attempt_count += 1
        attempt_id = f"{parts.name}-{parts.membership.own.incarnation:x}-{self._attempts:x}"
        run.attempt = Attempt(attempt_id, target.name, now_s, tokens)
        parts.directory.outliers.sent(target.name, now_s)
        if run.attempt_count == 1:
            parts.budget.first_attempt(f"workspace:{run.workspace}", f"target:{target.name}")
        return run.attempt

    def _route_service(self, run: Run, now_s: float) -> list[Action]:
        directory = self._parts.directory
        names = directory.servers(run.req.target_name)
        usable = [directory.usable(name, now_s) for name in names if name not in run.failed]
        targets = [target for target in usable if target is not None]
        if not targets:
            return self.endings.give_up(run, "no_target", now_s)
        target = min(targets, key=lambda item: (self._distance(item), item.outstanding, item.name))
        attempt = self._new_attempt(run, target, 0, now_s)
        target.sent(now_s, 0, 1)
        remaining_s = run.deadline_at_s - now_s
        return [
            SendAttempt(
                run.req.request_id,
                attempt.attempt_id,
                target.name,
                target.listed.address,
                "service",
                "",
                run.grant.priority,
                (),
                (),
                run.must_run_once,
                remaining_s if run.must_run_once else min(PROGRESS_S, remaining_s),
                min(PROGRESS_S, remaining_s),
                remaining_s,
            )
        ]

    def _distance(self, target: Target) -> bool:
        return target.listed.data_center != self._parts.data_center

    def on_started(self, event: AttemptStarted, now_s: float) -> list[Action]:
        """Note the first byte of an attempt."""
        run = self._current(event.request_id, event.attempt_id)
        if run is None or run.attempt is None:
            return []
        run.sent = True
        self._cache.observe_wait(run, run.attempt, event.first_byte_s)
        if run.first_token_s is None:
            run.first_token_s = now_s - run.arrived_s
        return []

    def on_finished(self, event: AttemptFinished, now_s: float) -> list[Action]:
        """End a run whose whole answer was passed on, and learn from it."""
        run = self._current(event.request_id, event.attempt_id)
        if run is None or run.attempt is None:
            return []
        run.sent = True
        run.answer = KeptAnswer(event.status, event.body)
        self._end_attempt(run, "whole", now_s)
        actions: list[Action] = []
        if event.status >= SERVER_ERROR:
            actions += self._fail_target(run.attempt.target, now_s)
        else:
            self._parts.directory.outliers.succeeded(run.attempt.target)
        if run.req.kind == "model" and event.status < CLIENT_ERROR:
            self._count_tokens(event)
            failing = self._cache.learn_from(run, event, now_s)
            actions += [] if failing is None else self._fail_target(failing, now_s)
            actions += self._cache.after_answer(run, now_s)
        actions += self.endings.end(
            run, str(event.status), now_s, missed=event.status >= SERVER_ERROR
        )
        return actions

    def _count_tokens(self, event: AttemptFinished) -> None:
        counters = self._parts.counters
        counters.add("prompt_tokens", "all", event.prompt_tokens)
        counters.add("prompt_tokens", "cached", event.cached_tokens)
        counters.add("prompt_tokens", "imported", event.imported_tokens)

    def on_failed(self, event: AttemptFailed, now_s: float) -> list[Action]:
        """Resume, retry or give up after an attempt without a whole answer."""
        run = self._current(event.request_id, event.attempt_id)
        if run is None or run.attempt is None:
            return []
        run.sent = run.sent or event.sent
        fields = (("request_id", event.request_id), ("target", run.attempt.target))
        log = Log(LogEvent.ATTEMPT_FAILED, (*fields, ("cause", event.cause)))
        if self._can_resume(run, run.attempt, event, now_s):
            return [log, *self._resume(run, run.attempt, event, now_s)]
        self._end_attempt(run, event.cause, now_s)
        run.failed.add(run.attempt.target)
        eject = self._fail_target(run.attempt.target, now_s)
        return [log, *eject, *self._retry_or_give_up(run, event, now_s)]

    def _can_resume(self, run: Run, attempt: Attempt, event: AttemptFailed, now_s: float) -> bool:
        resumable = event.cause in RESUMABLE_CAUSES
        in_time = now_s < run.deadline_at_s
        is_model = run.req.kind == "model"
        return (
            is_model
            and resumable
            and event.passed_on > 0
            and in_time
            and (attempt.resumes < MAX_RESUMES)
        )

    def _resume(
        self, run: Run, attempt: Attempt, event: AttemptFailed, now_s: float
    ) -> list[Action]:
        attempt.resumes += 1
        target = self._parts.directory.targets.get(attempt.target)
        if target is None:
            return self.endings.give_up(run, "target_failed", now_s)
        self._parts.counters.add("resumed", "")
        request_id = run.req.request_id
        progress_s = min(PROGRESS_S, run.deadline_at_s - now_s)
        return [
            ResumeAttempt(
                request_id,
                attempt.attempt_id,
                target.name,
                target.listed.address,
                event.passed_on,
                progress_s,
            ),
            Log(LogEvent.STREAM_RESUMED, (("request_id", request_id), ("target", target.name))),
        ]

    def _retry_or_give_up(self, run: Run, event: AttemptFailed, now_s: float) -> list[Action]:
        code = "target_timeout" if event.cause == "silent" else "target_failed"
        unsafe = run.must_run_once and event.sent
        passed_on = event.passed_on > 0 and not run.req.buffered
        if unsafe or passed_on or run.attempt_count >= MAX_ATTEMPTS:
            return self.endings.give_up(run, code, now_s)
        if now_s >= run.deadline_at_s:
            return self.endings.give_up(run, "deadline", now_s)
        target = run.attempt.target if run.attempt else ""
        # An attempt that never reached its target put no load on anything, so going on is free.
        names = (f"workspace:{run.workspace}", f"target:{target}")
        if event.sent and not self._parts.budget.take(*names):
            return self.endings.give_up(run, code, now_s)
        self._parts.counters.add("retried", event.cause)
        log = Log(LogEvent.ATTEMPT_RETRIED, (("request_id", run.req.request_id),))
        return [log, *self.route(run, now_s)]

    def on_caller_left(self, run: Run, now_s: float) -> list[Action]:
        """Cancel the work of a caller that went away."""
        actions: list[Action] = []
        if run.attempt is not None and run.phase is Phase.ATTEMPT:
            target = self._parts.directory.targets.get(run.attempt.target)
            self._parts.directory.outliers.unproven(run.attempt.target)
            # The request may be on its way to the target just now.
            run.sent = True
            self._end_attempt(run, "caller left", now_s)
            if target is not None and run.req.kind == "model":
                address = target.listed.address
                actions.append(CancelAttempt(run.attempt.attempt_id, target.name, address))
        actions.append(Log(LogEvent.CALLER_LEFT, (("request_id", run.req.request_id),)))
        return [*actions, *self.endings.end(run, "caller left", now_s, missed=False)]

    def _current(self, request_id: str, attempt_id: str) -> Run | None:
        """Return the run whose attempt this is; late events of earlier attempts find none."""
        run = self.endings.runs.get(request_id)
        if run is None or run.attempt is None or run.attempt.attempt_id != attempt_id:
            return None
        return run

    def _end_attempt(self, run: Run, outcome: str, now_s: float) -> Target | None:
        if run.attempt is None:
            return None
        target = self._parts.directory.targets.get(run.attempt.target)
        if target is not None:
            target.done()
        began_s = run.attempt.began_s - run.arrived_s
        run.notes.append(AttemptNote(run.attempt.target, began_s, outcome))
        return target

    def _fail_target(self, name: str, now_s: float) -> list[Action]:
        directory = self._parts.directory
        if not directory.outliers.failed(name, len(directory.targets), now_s):
            return []
        self._parts.counters.add("ejected", name)
        return [Log(LogEvent.TARGET_EJECTED, (("target", name),))]
