"""Follows crashes of runners from the first broken call to the quarantine of a block."""

import random
from collections.abc import Callable
from typing import Any, Final

from filbertstream.actions import Log
from filbertstream.fleet.contested_blocks import ContestedBlocks
from filbertstream.fleet.crash_detector import CrashDetector, TargetProbed
from filbertstream.fleet.crash_evidence import CrashEvidence
from filbertstream.fleet.crash_facts import BegunFacts, CrashFacts
from filbertstream.fleet.crash_trials import CrashTrials
from filbertstream.fleet.crash_verdicts import CrashVerdicts
from filbertstream.fleet.facts import FactExchange, FactHolder
from filbertstream.fleet.quarantine import Quarantine, QuarantineListed, QuarantineObserved, Write
from filbertstream.process.counters import Counters
from filbertstream.process.peer_work import PeerWork
from filbertstream.process.roster import Roster

EXPIRY_INTERVAL_S: Final = 1.0


class CrashWatch:
    """The evidence of crashes, the quarantine, and what entries tell one another of both."""

    def __init__(
        self,
        peers: PeerWork,
        roster: Roster,
        waits_for_store: bool,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        self.quarantine = Quarantine(peers.local_name, waits_for_store, counters, rng)
        self.evidence = CrashEvidence(self.quarantine.is_certain)
        self.verdicts = CrashVerdicts(
            self.evidence, self.quarantine.is_certain, self.quarantine.rivals_of
        )
        self._contested = ContestedBlocks(self.evidence, self.quarantine)
        self.trials = CrashTrials(peers, self.evidence, self.quarantine)
        self.quarantine.on_release = self.evidence.release
        self.detector = CrashDetector(self.evidence, roster, counters)
        holders: dict[str, FactHolder] = {
            "crashes": CrashFacts(self.evidence),
            "begun": BegunFacts(self.evidence),
            "begun_crashes": CrashFacts(self.evidence, begun=True),
            "established": BegunFacts(self.evidence, established=True),
            "quarantine": self.quarantine,
        }
        self.facts = FactExchange(holders, counters)
        self._expire_at_s = 0.0

    def handlers(self) -> dict[type, Callable[[Any, float], list[Any]]]:
        """Return the handlers by the type of event."""
        return {
            TargetProbed: self.detector.on_probed,
            QuarantineListed: self.quarantine.on_listed,
            QuarantineObserved: self.quarantine.on_observed,
        }

    def tick(self, now_s: float) -> list[Log | Write]:
        """Quarantine the blocks that the evidence convicts, and return the writes that are due."""
        actions: list[Log | Write] = [*self.detector.tick(now_s), *self._contested.revise(now_s)]
        while (verdict := self.verdicts.verdict(now_s)) is not None:
            actions.append(self.verdicts.line(verdict, now_s))
            actions += self.quarantine.add(verdict, now_s)
        if now_s >= self._expire_at_s:
            self._expire_at_s = now_s + EXPIRY_INTERVAL_S
            self.evidence.expire(now_s)
            self.trials.expire(now_s)
        return [*actions, *self.quarantine.due(now_s)]
