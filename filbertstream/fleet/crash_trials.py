"""Sends prompts with a block that is close to a verdict one at a time.

A block that was in the suspect prompts of two crashes, and in no response that began since, may
crash the next runner too.  Prompts with it wait until the evidence of the latest crash has settled
and a verdict would have arrived.  Then each entry sends one of them at a time, at a time of its
own, until a response begins, which acquits the block, or another runner crashes, which convicts it.
"""

from typing import Final

from filbertstream.fleet.crash_evidence import CrashEvidence
from filbertstream.fleet.crash_verdicts import separate
from filbertstream.names import rank

CRASHES_TO_TRY: Final = 2
"""Crashes from which on a block is tried one prompt at a time."""

SETTLE_S: Final = 1.2
"""Time after a crash within which its evidence settles and a verdict reaches all entries."""

SPREAD_S: Final = 1.0
"""The first trials of the entries are spread over this time."""

TRIAL_S: Final = 2.0
"""Time after which a trial without a result is over, such as that of a caller that has left."""

RANKS: Final = float(1 << 64)
"""The number of values of ``names.rank``."""


class CrashTrials:
    """The trials of an entry."""

    def __init__(self, name: str, evidence: CrashEvidence) -> None:
        self._name = name
        self._evidence = evidence
        self._begun_at_s: dict[tuple[str, str], float] = {}

    def admits(self, model: str, blocks: tuple[str, ...], now_s: float) -> bool:
        """Whether a prompt may be sent now; if it has a block to be tried, its trial begins."""
        tried = []
        for block in self._evidence.suspected(model, blocks):
            crashes = self._evidence.unproven_crashes(model, block)
            if len(separate(crashes)) < CRASHES_TO_TRY:
                continue
            latest_s = max(crash.at_s for crash in crashes)
            from_s = latest_s + SETTLE_S + SPREAD_S * rank(self._name, block) / RANKS
            begun_s = self._begun_at_s.get((model, block), float("-inf"))
            if now_s < max(from_s, begun_s + TRIAL_S):
                return False
            tried.append((model, block))
        for key in tried:
            self._begun_at_s[key] = now_s
        return True

    def expire(self, now_s: float) -> None:
        """Drop trials that are over."""
        self._begun_at_s = {
            key: at_s for key, at_s in self._begun_at_s.items() if now_s - at_s < TRIAL_S
        }
