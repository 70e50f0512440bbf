"""The facts of the kinds ``crashes`` and ``begun``, of which ``crash_evidence`` consists."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.fleet.crash_evidence import (
    MAX_BLOCKS,
    MAX_ID_LENGTH,
    MAX_PROMPTS,
    CrashEvidence,
    RunnerKind,
    SuspectPrompt,
)
from filbertstream.fleet.facts import fact
from filbertstream.fleet.scope import Scope
from filbertstream.process.target_registration import TargetStart

MAX_CRASH_ROWS: Final = 12
"""Crashes in a message, the latest ones."""

MAX_BEGUN_ROWS: Final = 64
"""Acquitted blocks in a message, the latest ones; about 3 KB."""


@fact("crashes")
class CrashRow(NamedTuple):
    """A crash of a runner and the suspect prompts there."""

    target: str
    started_ms: int
    service: str
    model: str
    weights: int
    age_s: float
    prompts: tuple[SuspectPrompt, ...]


@fact("begun")
class BegunRow(NamedTuple):
    """A response began with a suspected block, on a kind of runner, ``age_s`` ago."""

    service: str
    model: str
    weights: int
    block_id: str
    age_s: float


class CrashFacts:
    """The crashes that an entry and its peers tell one another."""

    def __init__(self, evidence: CrashEvidence) -> None:
        self._evidence = evidence

    @property
    def changes(self) -> int:
        """The number of changes that peers should learn of."""
        return self._evidence.changes

    def rows(self, scope: Scope, now_s: float) -> Sequence[CrashRow]:
        """Return the latest crashes that are not explained yet."""
        crashes = self._evidence.reported_crashes(scope, now_s)
        return [
            CrashRow(
                item.start.target_id,
                item.start.started_ms,
                *item.kind,
                round(now_s - item.at_s, 3),
                item.prompts,
            )
            for item in crashes[:MAX_CRASH_ROWS]
        ]

    def take(self, rows: Sequence[CrashRow], scope: Scope, now_s: float) -> list[Log]:
        """Take the crashes that a peer knows."""
        for row in rows:
            prompts = [
                SuspectPrompt(item.head_received, item.blocks[:MAX_BLOCKS])
                for item in row.prompts[:MAX_PROMPTS]
                if item.blocks and all(len(block) <= MAX_ID_LENGTH for block in item.blocks)
            ]
            start = TargetStart(row.target, row.started_ms)
            kind = RunnerKind(row.service, row.model, row.weights)
            self._evidence.add(start, kind, prompts, now_s - row.age_s, now_s, scope)
        return []


class BegunFacts:
    """The responses that began with suspected blocks."""

    def __init__(self, evidence: CrashEvidence) -> None:
        self._evidence = evidence

    @property
    def changes(self) -> int:
        """The number of changes that peers should learn of."""
        return self._evidence.begun_changes

    def rows(self, scope: Scope, now_s: float) -> Sequence[BegunRow]:
        """Return when responses with acquitted blocks began last."""
        return [
            BegunRow(*item.kind, item.block_id, round(now_s - item.at_s, 3))
            for item in self._evidence.reported_begun(scope)[:MAX_BEGUN_ROWS]
        ]

    def take(self, rows: Sequence[BegunRow], scope: Scope, now_s: float) -> list[Log]:
        """Take the begun responses that a peer knows."""
        for row in rows:
            kind = RunnerKind(row.service, row.model, row.weights)
            self._evidence.note_begun(kind, (row.block_id,), now_s - row.age_s, now_s, scope)
        return []
