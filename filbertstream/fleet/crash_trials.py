"""Sends prompts with a block that is close to a verdict one at a time.

A block that was in the suspect prompts of two crashes, and in no response that began since, may
crash the next runner too; so may a block of a contested quarantine record.  Prompts with it wait
until the evidence of the latest crash has settled and a verdict would have arrived.  Then the
entries take turns, in an order that differs from block to block, and each sends one of them at a
time, until a response begins, which acquits the block, or another runner crashes.

Load pattern handled: such prompts arrive at many entries at the same moment.  The turns give the
outcome of the first trial time to reach the other entries, also where no trial was due before.
"""

from dataclasses import dataclass
from typing import Final, NamedTuple

from filbertstream.fleet.crash_evidence import CrashEvidence
from filbertstream.fleet.quarantine import Quarantine
from filbertstream.names import rank
from filbertstream.process.peer_work import PeerWork

CRASHES_TO_TRY: Final = 2
"""Crashes from which on a block is tried one prompt at a time, also if they were simultaneous."""

SETTLE_S: Final = 1.2
"""Time after a crash within which its evidence settles and a verdict reaches all entries."""

TURN_S: Final = 0.4
"""Time from the turn of one entry to that of the next, within which the outcome of a trial is
known to it."""

MAX_TURNS_S: Final = 5.0
"""Time after which the later entries no longer wait for their turn."""

TRIAL_S: Final = 2.0
"""Time after which a trial without a result is over, such as that of a caller that has left."""

WAIT_KEPT_S: Final = 10.0
"""Time without a prompt after which an entry waits for its turn anew."""


class _Trial(NamedTuple):
    """The call that is tried, and since when."""

    call_id: int
    at_s: float


@dataclass
class _Wait:
    """Since when prompts with a block wait at this entry, the last one, and the entry's turn."""

    since_s: float
    last_s: float
    turn_s: float


class CrashTrials:
    """The trials of an entry."""

    def __init__(self, peers: PeerWork, evidence: CrashEvidence, quarantine: Quarantine) -> None:
        self._peers = peers
        self._evidence = evidence
        self._quarantine = quarantine
        self._trials: dict[tuple[str, str], _Trial] = {}
        self._waits: dict[tuple[str, str], _Wait] = {}

    def admits(self, call_id: int, model: str, blocks: tuple[str, ...], now_s: float) -> bool:
        """Whether the prompt of a call may be sent now; a block to be tried is on trial from then.

        A call that has been admitted may ask again before it is sent, such as after load probes.
        """
        contested = self._quarantine.contested_blocks(model, blocks)
        tried, admitted = [], True
        for block in self._evidence.suspected(model, blocks) | contested:
            crashes = self._evidence.unproven_crashes(model, block)
            if block in contested:
                crashes = self._evidence.crashes_with(model, block)
            elif len(crashes) < CRASHES_TO_TRY:
                continue
            key = (model, block)
            tried.append(key)
            crashed_s = max((crash.at_s for crash in crashes), default=float("-inf"))
            due = self._is_due(key, crashed_s, now_s) or self._is_on_trial(call_id, key)
            admitted = admitted and due
        if admitted:
            for key in tried:
                if not self._is_on_trial(call_id, key):
                    self._trials[key] = _Trial(call_id, now_s)
        return admitted

    def _is_due(self, key: tuple[str, str], crashed_s: float, now_s: float) -> bool:
        """Whether it is this entry's turn to try a block, and no trial is under way here.

        ``crashed_s`` is the time of the latest crash, which ends the trials before it.
        """
        wait = self._wait(key, now_s)
        if now_s < max(crashed_s + SETTLE_S, wait.since_s) + wait.turn_s:
            return False
        trial = self._trials.get(key)
        return trial is None or trial.at_s < crashed_s or now_s >= trial.at_s + TRIAL_S

    def _is_on_trial(self, call_id: int, key: tuple[str, str]) -> bool:
        trial = self._trials.get(key)
        return trial is not None and trial.call_id == call_id

    def _wait(self, key: tuple[str, str], now_s: float) -> _Wait:
        wait = self._waits.get(key)
        if wait is None:
            wait = self._waits[key] = _Wait(now_s, now_s, self._turn_s(key[1]))
        wait.last_s = now_s
        return wait

    def _turn_s(self, block: str) -> float:
        """Return how long after the first entry it is this one's turn to try a block."""
        names = self._peers.names()
        own = rank(self._peers.local_name, block)
        index = sum(rank(name, block) > own for name in names)
        return min(TURN_S * index, MAX_TURNS_S * (1.0 + index / len(names)))

    def expire(self, now_s: float) -> None:
        """Drop trials that are over, and waits for prompts that come no more."""
        self._trials = {
            key: trial for key, trial in self._trials.items() if now_s - trial.at_s < TRIAL_S
        }
        self._waits = {
            key: wait for key, wait in self._waits.items() if now_s - wait.last_s < WAIT_KEPT_S
        }
