"""The facts of which ``crash_evidence`` consists: crashes of runners, and responses that acquit.

Calls at a crashed runner whose response had begun are told as a kind of their own, and so are
responses that are established: older builds, which ignore these kinds, take a response that has
begun as proof in favour of its prompt.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.fleet.block_responses import BlockResponses, RunnerKind
from filbertstream.fleet.crash_evidence import (
    MAX_BLOCKS,
    MAX_ID_LENGTH,
    MAX_PROMPTS,
    CrashEvidence,
    SuspectPrompt,
)
from filbertstream.fleet.facts import fact
from filbertstream.fleet.scope import Scope
from filbertstream.process.target_registration import TargetStart

MAX_CRASH_ROWS: Final = 12
"""Crashes in a message, the latest ones."""

MAX_BEGUN_ROWS: Final = 64
"""Blocks acquitted by begun responses in a message, the latest ones; about 3 KB."""

MAX_ESTABLISHED_ROWS: Final = 32
"""Blocks acquitted by established responses; both kinds together fit what a node may send."""


class PromptRow(NamedTuple):
    """A suspect prompt, and whether its head had arrived."""

    head_received: bool
    blocks: tuple[str, ...]


@fact("crashes")
@fact("begun_crashes")
class CrashRow(NamedTuple):
    """A crash of a runner and the suspect prompts there."""

    target: str
    started_ms: int
    service: str
    model: str
    weights: int
    age_s: float
    prompts: tuple[PromptRow, ...]


@fact("begun")
@fact("established")
class BegunRow(NamedTuple):
    """A response with a suspected block began or was established, ``age_s`` ago."""

    service: str
    model: str
    weights: int
    block_id: str
    age_s: float


class CrashFacts:
    """The crashes that an entry and its peers tell one another.

    ``begun`` chooses the suspect prompts whose response had begun, or those whose had not.
    """

    def __init__(self, evidence: CrashEvidence, begun: bool = False) -> None:
        self._evidence = evidence
        self._begun = begun

    @property
    def changes(self) -> int:
        """The number of changes that peers should learn of."""
        return self._evidence.changes

    def rows(self, scope: Scope, now_s: float) -> Sequence[CrashRow]:
        """Return the latest crashes that are not explained yet."""
        crashes = self._evidence.reported_crashes(scope, self._begun, now_s)
        return [
            CrashRow(
                item.start.target_id,
                item.start.started_ms,
                *item.kind,
                round(now_s - item.at_s, 3),
                tuple(PromptRow(prompt.head_received, prompt.blocks) for prompt in item.prompts),
            )
            for item in crashes[:MAX_CRASH_ROWS]
        ]

    def take(self, rows: Sequence[CrashRow], scope: Scope, now_s: float) -> list[Log]:
        """Take the crashes that a peer knows."""
        for row in rows:
            prompts = [
                SuspectPrompt(item.head_received, item.blocks[:MAX_BLOCKS], self._begun)
                for item in row.prompts[:MAX_PROMPTS]
                if item.blocks and all(len(block) <= MAX_ID_LENGTH for block in item.blocks)
            ]
            start = TargetStart(row.target, row.started_ms)
            kind = RunnerKind(row.service, row.model, row.weights)
            self._evidence.add(start, kind, prompts, now_s - row.age_s, now_s, scope)
        return []


class BegunFacts:
    """The responses that acquit suspected blocks: those that began, or were established."""

    def __init__(self, evidence: CrashEvidence, established: bool = False) -> None:
        self._responses: BlockResponses = evidence.established if established else evidence.begun
        self._note = evidence.note_established if established else evidence.note_begun
        self._max_rows = MAX_ESTABLISHED_ROWS if established else MAX_BEGUN_ROWS

    @property
    def changes(self) -> int:
        """The number of changes that peers should learn of."""
        return self._responses.changes

    def rows(self, scope: Scope, now_s: float) -> Sequence[BegunRow]:
        """Return when responses with acquitted blocks came last."""
        return [
            BegunRow(*item.kind, item.block_id, round(now_s - item.at_s, 3))
            for item in self._responses.reported(scope)[: self._max_rows]
        ]

    def take(self, rows: Sequence[BegunRow], scope: Scope, now_s: float) -> list[Log]:
        """Take the responses that a peer knows."""
        for row in rows:
            kind = RunnerKind(row.service, row.model, row.weights)
            self._note(kind, (row.block_id,), now_s - row.age_s, now_s, scope)
        return []
