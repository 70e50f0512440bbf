"""Detects crashes of runners from connections that end while calls run, and asks who caused them.

A connection that ends early shows little by itself: one response may be broken off, a connection
reset, or a link cut.  So when calls at a runner are cut off, a connection to it is opened and
closed again.  If nobody listens there, the runner has crashed; if it does, a new start of it, which
its registration shows, still does.  A response of the same start refutes it.

Faults handled: broken responses, reset connections, lost links (no response to the probe says
nothing), planned ends (a runner that leaves is not suspected to have crashed), runners that are
back before the probe, and proxies in front of runners, which accept and close.
"""

import enum
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.fleet.block_responses import RunnerKind
from filbertstream.fleet.crash_evidence import CrashEvidence, SuspectPrompt
from filbertstream.log_events import LogEvent
from filbertstream.process.counters import Counters
from filbertstream.process.deployment import Address
from filbertstream.process.roster import Roster, RosterTarget
from filbertstream.process.target_registration import TargetStart

REFUTE_AFTER_S: Final = 0.15
"""A response that arrives later than this after a call was cut off shows that the runner runs.
Earlier ones may have been under way."""

CONFIRM_WITHIN_S: Final = 8.0
"""Time within which a new start or a removed registration confirms a crash: several heartbeats."""

CRASH_KEPT_S: Final = 60.0
"""Time for which calls that are cut off late are added to a known crash."""

BACKOFF_S: Final = 1.0
"""A crashed runner gets no calls for this long; a new start of it gets calls at once."""

LOGGED_PROMPTS: Final = 4
"""Suspect prompts that a line lists, so that its size is bounded."""


class ProbeOutcome(enum.Enum):
    """Whether anybody listens at a runner's address."""

    REFUSED = "refused"
    ACCEPTED = "accepted"
    NO_RESPONSE = "no_response"


class ProbeTarget(NamedTuple):
    """Open a connection to a target and close it again."""

    start: TargetStart
    address: Address


class TargetProbed(NamedTuple):
    """The outcome of a probe."""

    start: TargetStart
    outcome: ProbeOutcome


class CutOff(NamedTuple):
    """A call that was cut off: what its response shows of the runner, and the suspect blocks.

    ``blocks`` is None if its response was established, so that it can't have crashed the runner;
    ``begun`` is whether it had begun.
    """

    kind: RunnerKind
    head_received: bool
    blocks: tuple[str, ...] | None
    begun: bool = False


class CrashState(enum.Enum):
    """What is known of a runner at which calls were cut off."""

    UNKNOWN = "unknown"
    PENDING = "pending"
    CRASHED = "crashed"


@dataclass
class _Suspicion:
    at_s: float
    cut_off: int = 0
    probed: bool = False
    crashed: bool = False
    prompts: dict[RunnerKind, list[SuspectPrompt]] = field(default_factory=dict)


class CrashDetector:
    """The runners at which calls were cut off, and whether they have crashed."""

    def __init__(self, evidence: CrashEvidence, roster: Roster, counters: Counters) -> None:
        self._evidence = evidence
        self._roster = roster
        self._counters = counters
        self._suspicions: dict[TargetStart, _Suspicion] = {}

    def on_cut_off(
        self, target: RosterTarget, call: CutOff, now_s: float
    ) -> list[Log | ProbeTarget]:
        """Record that a call was cut off; return the probe that shows whether the runner runs."""
        start = target.start
        leaves = self._roster.is_leaving(target) or target.missing_since_s is not None
        if leaves or self._roster.targets.get(target.target_id) is not target:
            return []
        suspicion = self._suspicions.get(start)
        is_new = suspicion is None or now_s - suspicion.at_s > CRASH_KEPT_S
        if suspicion is None or is_new:
            suspicion = self._suspicions[start] = _Suspicion(now_s)
        suspicion.cut_off += 1
        if call.blocks:
            prompt = self._evidence.suspect(
                call.kind, call.head_received, call.blocks, now_s, call.begun
            )
            if prompt is not None:
                suspicion.prompts.setdefault(call.kind, []).append(prompt)
        if suspicion.crashed:
            self._tell(start, suspicion, now_s)
        if is_new and self._roster.is_evacuated(target):
            # Nothing is sent there, so the call must not wait for the outcome of a probe.
            suspicion.probed = True
            return []
        return [ProbeTarget(start, target.registration.address)] if is_new else []

    def on_response(self, target: RosterTarget, now_s: float) -> None:
        """Drop the suspicion against a runner that responds."""
        suspicion = self._suspicions.get(target.start)
        if suspicion is None or suspicion.crashed or now_s - suspicion.at_s <= REFUTE_AFTER_S:
            return
        del self._suspicions[target.start]

    def on_probed(self, event: TargetProbed, now_s: float) -> list[Log]:
        """Take the outcome of a probe."""
        suspicion = self._suspicions.get(event.start)
        if suspicion is None:
            return []
        suspicion.probed = True
        if event.outcome is not ProbeOutcome.REFUSED:
            return []
        return self._confirm(event.start, suspicion, "probe", now_s)

    def on_gone(self, start: TargetStart, now_s: float) -> list[Log]:
        """Take that the registration of a start was removed, or that of a newer start has come."""
        suspicion = self._suspicions.get(start)
        if suspicion is None or suspicion.crashed:
            return []
        return self._confirm(start, suspicion, "registration", now_s)

    def _confirm(
        self, start: TargetStart, suspicion: _Suspicion, source: str, now_s: float
    ) -> list[Log]:
        if suspicion.crashed:
            return []
        suspicion.crashed = True
        target = self._roster.targets.get(start.target_id)
        if target is not None and target.start == start:
            target.backoff_until_s = max(target.backoff_until_s, now_s + BACKOFF_S)
        self._tell(start, suspicion, now_s)
        self._counters.add("targets_crashed", source)
        prompts = [item for found in suspicion.prompts.values() for item in found]
        fields = (
            ("target", start.target_id),
            ("source", source),
            ("after_s", round(now_s - suspicion.at_s, 3)),
            ("cut_off", suspicion.cut_off),
            ("suspects", len(prompts)),
            ("with_head", sum(prompt.head_received for prompt in prompts)),
            ("begun", sum(prompt.begun for prompt in prompts)),
            ("blocks", ";".join(",".join(prompt.blocks) for prompt in prompts[:LOGGED_PROMPTS])),
        )
        return [Log(LogEvent.TARGET_CRASHED, fields)]

    def _tell(self, start: TargetStart, suspicion: _Suspicion, now_s: float) -> None:
        for kind, prompts in suspicion.prompts.items():
            self._evidence.add(start, kind, prompts, suspicion.at_s, now_s)

    def state(self, start: TargetStart) -> CrashState:
        """Return what is known of a runner at which a call was cut off."""
        suspicion = self._suspicions.get(start)
        if suspicion is None or (suspicion.probed and not suspicion.crashed):
            return CrashState.UNKNOWN
        return CrashState.CRASHED if suspicion.crashed else CrashState.PENDING

    def tick(self, now_s: float) -> list[Log]:
        """Confirm what peers have found, and drop what was not confirmed in time."""
        logs: list[Log] = []
        for start, suspicion in list(self._suspicions.items()):
            age_s = now_s - suspicion.at_s
            if not suspicion.crashed and self._evidence.is_known(start):
                logs += self._confirm(start, suspicion, "peer", now_s)
            elif age_s > (CRASH_KEPT_S if suspicion.crashed else CONFIRM_WITHIN_S):
                del self._suspicions[start]
        return logs
