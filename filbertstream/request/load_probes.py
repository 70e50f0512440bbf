"""Asks a few targets for their load before a prompt is placed.

Load pattern handled: dozens of entries and runners, and requests that last less than a second.  An
entry gets a response of a certain runner every few seconds, and the reports of peers through relays
are half a second old; both say nothing of the queue that a prompt would meet now.  So the entry
asks the few runners that it compares (``placement.shortlist``) and decides on their answers, as in
Prequal (Wydrowski et al., Load is not what you should balance, NSDI 2024).  It does so before each
prompt, since it sends too few of them to keep recent answers of all runners.

Faults handled: a runner that does not answer within ``PROBE_TIMEOUT_S`` is not chosen if another
one has answered.  If none has, the prompt is placed as without this module.  Runners that have
named a limit on requests, or are cold, are not asked.
"""

from collections.abc import Sequence
from typing import Final

from filbertstream.process.roster import RosterTarget
from filbertstream.request.call_events import LoadProbed, ProbeLoad
from filbertstream.request.call_state import Call, LoadProbe
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.version.routes import Engine

PROBE_TIMEOUT_S: Final = 0.03
"""Several round trips between data centers; a small part of the shortest latency objectives."""

FRESH_S: Final = 0.02
"""Age up to which a reported load is used without asking again."""


class LoadProbes:
    """The probes of calls that are about to be placed."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        self._placer = dependencies.prompt_placer
        self._roster = dependencies.roster
        self._admission = dependencies.rate_admission
        self._counters = dependencies.counters

    def begin(
        self, call: Call, engine: Engine, candidates: list[RosterTarget], now_s: float
    ) -> list[ProbeLoad]:
        """Return the probes on which a call waits, none if it is to be placed at once."""
        if call.probe is not None or call.number:
            return []
        compared = self._placer.shortlist(call, engine, candidates, now_s)
        if len(compared) <= 1:
            return []
        fresh = {item.target_id for item in compared if now_s - item.load_at_s <= FRESH_S}
        asked = [
            item
            for item in compared
            if item.target_id not in fresh and self._admission.limit(item.start, now_s) is None
        ]
        if not asked:
            return []
        call.probe = LoadProbe({item.target_id for item in asked}, fresh)
        call.queued_until_s = now_s + PROBE_TIMEOUT_S
        path = call.service.health_path
        return [
            ProbeLoad(call.call_id, item.start, item.registration.address, path, PROBE_TIMEOUT_S)
            for item in asked
        ]

    def note(self, call: Call | None, event: LoadProbed, now_s: float) -> bool:
        """Record an answer; return whether the call has waited for its last one."""
        target = self._roster.targets.get(event.start.target_id)
        if target is not None and target.start == event.start and event.load is not None:
            target.note_load(event.load, now_s)
        self._counters.add("load_probes", "unanswered" if event.load is None else "answered")
        if call is None or call.probe is None or call.queued_until_s is None:
            return False
        if event.start.target_id not in call.probe.pending:
            return False
        call.probe.pending.discard(event.start.target_id)
        if event.load is not None:
            call.probe.answered.add(event.start.target_id)
        return not call.probe.pending

    @staticmethod
    def answered(call: Call, candidates: Sequence[RosterTarget]) -> frozenset[str]:
        """Return the candidates whose load is known now; empty if the call is placed without."""
        if call.probe is None or call.number:
            return frozenset()
        return frozenset(
            item.target_id for item in candidates if item.target_id in call.probe.answered
        )
