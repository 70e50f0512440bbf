"""Finds the block that the prompts at crashed runners have in common.

A block is convicted if it was in a suspect prompt of several crashes that lie apart, and in no
response that began since the first of them.  Of several such blocks the one is convicted that was
not in use before, was in the most crashes, and lies deepest in the prompts; after that, its crashes
do not speak against others any more.  So neither the first block of the prompts that crash runners,
which sound prompts share, nor the blocks of calls that were at the same runners are convicted.

Blocks that were in the same crashes can't be told apart by them.  A verdict names as ``rivals`` the
blocks that may have caused the crashes instead; ``fleet.contested_blocks`` says what follows.

>>> from filbertstream.fleet.block_responses import RunnerKind
>>> from filbertstream.fleet.crash_evidence import SuspectPrompt
>>> from filbertstream.process.target_registration import TargetStart
>>> evidence = CrashEvidence(lambda model, block: False)
>>> verdicts = CrashVerdicts(evidence, lambda model, block: False)
>>> kind = RunnerKind("runners", "m", 1)
>>> for at_s in (1.0, 5.0, 9.0):
...     evidence.note_begun(kind, ("popular",), at_s - 0.5, at_s - 0.5)
...     prompts = [SuspectPrompt(True, ("popular", "deadly"))]
...     evidence.add(TargetStart("r1", int(at_s)), kind, prompts, at_s, at_s)
>>> verdicts.verdict(9.0).block_id
'deadly'
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.fleet.block_responses import PROVEN_S, BlockResponses
from filbertstream.fleet.crash_evidence import (
    ESTABLISHED_AFTER_S,
    MAX_BLOCKS,
    Crash,
    CrashEvidence,
    IsConvicted,
)
from filbertstream.log_events import LogEvent

CRASHES_TO_CONVICT: Final = 3
"""Crashes after which a block is convicted that was in no response before."""

CRASHES_TO_CONVICT_KNOWN: Final = 5
"""The same for a block with which a response began within ``PROVEN_S`` before the first crash."""

SEPARATE_S: Final = 0.1
"""Crashes closer than this count as one: a rack, a switch or a service that fails at once."""

SETTLE_HEAD_S: Final = 0.3
"""Age from which a crash counts, so that acquittals of peers can arrive.  The latest crash counts
at once if the others have settled: a block that was acquitted of them would not be suspected."""

SETTLE_WAITING_S: Final = 1.0
"""The same for a crash without a call that had a head, which a peer may still report."""

SETTLE_BEGUN_S: Final = ESTABLISHED_AFTER_S + SETTLE_HEAD_S
"""The same for a crash at which a response had begun, whose block an established one acquits."""

LATEST_WAITING_S: Final = 0.15
"""Age from which the latest crash counts if no call had a head."""

VERDICT_DUE_S: Final = 2.0
"""Time after a change within which it can lead to a verdict: the evidence has settled by then."""


MAX_RIVALS: Final = MAX_BLOCKS - 1
"""Rivals of a convicted block that a verdict names: as many as a suspect prompt has."""

EXCLUDING_CRASHES: Final = 2
"""Crashes with one of two blocks, and without the other, that rule out the other.  A single one may
have had another cause."""

LOGGED_CANDIDATES: Final = 8
"""Blocks that a line of a verdict lists, so that its size is bounded."""


class Verdict(NamedTuple):
    """A block that crashes runners, the runners that it has crashed, and what may have instead."""

    model: str
    block_id: str
    crashes: tuple[str, ...]
    rivals: tuple[str, ...] = ()


RivalsOf = Callable[[str, str], tuple[str, ...] | None]
"""Returns the rivals of a convicted block of a model, None if it is not convicted."""


@dataclass
class _Charge:
    """What speaks against a block.

    These are its crashes, those without a convicted block, those that have settled, and its depth
    in prompts.
    """

    crashes: list[Crash] = field(default_factory=list)
    unexplained: list[Crash] = field(default_factory=list)
    settled: list[Crash] = field(default_factory=list)
    depth: int = 0


class _Suspects(NamedTuple):
    """The blocks that may have caused a crash, with their depth in a prompt."""

    blocks: dict[str, int]
    settled: bool


class CrashVerdicts:
    """The verdicts that the evidence of an entry allows.

    ``is_convicted`` says of which blocks it is certain that they crash runners.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        is_convicted: IsConvicted,
        rivals_of: RivalsOf = lambda model, block: None,
    ) -> None:
        self._evidence = evidence
        self._is_convicted = is_convicted
        self._rivals_of = rivals_of

    def verdict(self, now_s: float) -> Verdict | None:
        """Return the block that speaks most for having caused crashes, if the evidence suffices.

        Once it counts as convicted, its crashes no longer speak against other blocks.
        """
        if now_s - self._evidence.changed_at_s > VERDICT_DUE_S:
            return None
        charges = self._charges(now_s)
        convicted = [
            (self._is_known(key, charge), -len(separate(charge.unexplained)), -charge.depth, key)
            for key, charge in charges.items()
            if self._suffices(key, charge)
        ]
        for *_, key in sorted(convicted):
            model, block = key
            if self._rivals_of(model, block) is None:
                crashes = sorted(charges[key].crashes, key=lambda item: item.at_s)
                targets = dict.fromkeys(item.start.target_id for item in crashes)
                return Verdict(model, block, tuple(targets), self._rivals(key, charges))
        return None

    def _rivals(
        self, key: tuple[str, str], charges: dict[tuple[str, str], _Charge]
    ) -> tuple[str, ...]:
        """Return the blocks that the crashes of a block don't rule out, the likeliest first."""
        model, block = key
        found = [
            (-len(separate(charge.crashes)), -charge.depth, other)
            for (other_model, other), charge in charges.items()
            if other_model == model
            and other != block
            and not excludes(charges[key].crashes, charge.crashes)
        ]
        return tuple(other for *_, other in sorted(found)[:MAX_RIVALS])

    def line(self, verdict: Verdict, now_s: float) -> Log:
        """Return the line of a verdict: its candidates, and what was known of each.

        A candidate has its crashes, its depth, and the ages of the last responses with it by the
        weights of their runners, as in
        ``5c1e07a2 crashes=3 depth=1 begun=1:66.2 established=never``.
        """
        charges = self._charges(now_s)
        keys = sorted(
            (key for key in charges if key[0] == verdict.model),
            key=lambda key: (-len(charges[key].crashes), -charges[key].depth, key),
        )
        candidates = []
        for key in keys[:LOGGED_CANDIDATES]:
            charge = charges[key]
            found = f"crashes={len(charge.crashes)} depth={charge.depth}"
            begun = self._ages(self._evidence.begun, key, now_s)
            established = self._ages(self._evidence.established, key, now_s)
            candidates.append(f"{key[1]} {found} begun={begun} established={established}")
        kinds = {crash.kind for key in keys for crash in charges[key].crashes}
        fields = (
            ("model", verdict.model),
            ("block", verdict.block_id),
            ("weights", ",".join(str(kind.weights) for kind in sorted(kinds))),
            ("candidates", "; ".join(candidates)),
        )
        return Log(LogEvent.CRASH_VERDICT, fields)

    def _ages(self, responses: BlockResponses, key: tuple[str, str], now_s: float) -> str:
        found = responses.by_weights(*key).items()
        return ",".join(f"{weights}:{now_s - at_s:.1f}" for weights, at_s in found) or "never"

    def _charges(self, now_s: float) -> dict[tuple[str, str], _Charge]:
        charges: dict[tuple[str, str], _Charge] = {}
        for crash in self._evidence.crashes():
            suspects = self._suspects(crash, now_s)
            explained = self._is_explained(crash, suspects)
            for block, depth in suspects.blocks.items():
                if self._is_convicted(crash.kind.model, block):
                    continue
                charge = charges.setdefault((crash.kind.model, block), _Charge())
                charge.crashes.append(crash)
                charge.unexplained += [] if explained else [crash]
                charge.settled += [crash] if suspects.settled else []
                charge.depth = max(charge.depth, depth)
        return charges

    def _is_explained(self, crash: Crash, suspects: _Suspects) -> bool:
        """Whether a convicted block was there, with all of its rivals if it has any."""
        model = crash.kind.model
        if any(self._is_convicted(model, block) for block in suspects.blocks):
            return True
        blocks = {block for prompt in crash.prompts for block in prompt.blocks}
        rivals = [self._rivals_of(model, block) for block in blocks]
        return any(found and blocks.issuperset(found) for found in rivals)

    def _suspects(self, crash: Crash, now_s: float) -> _Suspects:
        """Return the blocks that may have caused a crash: those with a head if there are any."""
        age_s = now_s - crash.at_s
        for head_received, from_s in ((True, 0.0), (False, LATEST_WAITING_S)):
            suspected = [
                (block, depth, prompt.begun)
                for prompt in crash.prompts
                if prompt.head_received is head_received
                for depth, block in enumerate(prompt.blocks)
                if not self._evidence.acquits(crash, prompt, block)
            ]
            if suspected:
                settle_s = SETTLE_HEAD_S if head_received else SETTLE_WAITING_S
                if any(begun for *_, begun in suspected):
                    settle_s = SETTLE_BEGUN_S
                blocks = {block: depth for block, depth, _ in suspected}
                return _Suspects(blocks if age_s >= from_s else {}, age_s >= settle_s)
        return _Suspects({}, True)

    def _is_known(self, key: tuple[str, str], charge: _Charge) -> bool:
        """Whether a response with a block came shortly before its first crash.

        One that has only begun says nothing of a block that crashes runners after an event.
        """
        block = key[1]
        first_s = min(crash.at_s for crash in charge.crashes)
        kinds = {crash.kind for crash in charge.crashes}
        after_event = any(
            prompt.begun and block in prompt.blocks
            for crash in charge.crashes
            for prompt in crash.prompts
        )
        responses = self._evidence.established if after_event else self._evidence.begun
        found = [responses.at_s(kind, block) for kind in kinds]
        return any(at_s is not None and first_s - at_s < PROVEN_S for at_s in found)

    def _suffices(self, key: tuple[str, str], charge: _Charge) -> bool:
        known = self._is_known(key, charge)
        needed = CRASHES_TO_CONVICT_KNOWN if known else CRASHES_TO_CONVICT
        if len(separate(charge.settled)) < needed - 1:
            return False
        unexplained = len(separate(charge.unexplained))
        # A block that was in all crashes of a convicted one, and crashes without it, was the cause.
        return unexplained >= needed or (
            unexplained >= 1 and len(separate(charge.crashes)) > needed
        )


def separate(crashes: Iterable[Crash]) -> list[float]:
    """Return the times of crashes that are far enough apart to be independent."""
    found: list[float] = []
    for at_s in sorted(crash.at_s for crash in crashes):
        if not found or at_s - found[-1] >= SEPARATE_S:
            found.append(at_s)
    return found


def excludes(crashes: Iterable[Crash], others: Iterable[Crash]) -> bool:
    """Whether the crashes of one block rule out another, whose crashes are ``others``."""
    shared = {id(crash) for crash in others}
    return len(separate(c for c in crashes if id(c) not in shared)) >= EXCLUDING_CRASHES
