"""What is known of crashes of runners: the prompts that may have caused each, of the whole fleet.

Load pattern handled: prompts with one block crash each runner that begins to respond to them, so
each entry sees a few crashes, each with many calls at the runner.  A call can have crashed a runner
only if its response had not gone on for a while (``ESTABLISHED_AFTER_S``).  Where heads of
responses arrive before the crash, but no event, the other calls are suspected only if none of these
is.

A response that begins acquits all blocks of its prompt of the crashes before it, on that kind of
runner, unless a response with the block had begun at the crash: runners may crash after their first
events.  Then only a response that is established acquits it.

Faults handled: unrelated crashes, alone or of many runners at once, which put blocks of sound
prompts into many suspect prompts; reports that are late, repeated or out of order; callers that
repeat or abort calls.  Nobody's prompts are suspected without a crash, and a popular block is
acquitted many times a second.

>>> found = CrashEvidence(lambda model, block: False)
>>> kind = RunnerKind("runners", "m", 1)
>>> found.add(TargetStart("r1", 1), kind, [SuspectPrompt(True, ("popular", "rare"))], 1.0, 1.0)
>>> found.note_begun(kind, ("popular",), 2.0, 2.0)
>>> found.suspected("m", ("popular", "rare"))
{'rare'}

A response that has only begun does not acquit the block of a crash after the first event.

>>> prompts = [SuspectPrompt(False, ("rare",), begun=True)]
>>> found.add(TargetStart("r2", 1), kind, prompts, 3.0, 3.0)
>>> found.note_begun(kind, ("rare",), 4.0, 4.0)
>>> found.suspected("m", ("popular", "rare"))
{'rare'}
>>> found.note_established(kind, ("rare",), 5.5, 5.5)
>>> found.suspected("m", ("popular", "rare"))
set()
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from filbertstream.fleet.block_responses import BlockResponses, RunnerKind
from filbertstream.fleet.scope import Scope
from filbertstream.process.target_registration import TargetStart

ESTABLISHED_AFTER_S: Final = 1.5
"""Time after its first event from which a response proves that its prompt does not crash runners.
A complete response proves it too."""

EVIDENCE_KEPT_S: Final = 1800.0
"""Time for which a crash is kept: a block may come once in many minutes."""

MAX_CRASHES: Final = 64
"""Crashes that are kept, the latest ones."""

MAX_PROMPTS: Final = 16
"""Suspect prompts of a crash, those with a head first."""

MAX_BLOCKS: Final = 16
"""Blocks of a suspect prompt; of a longer one, those that are not proven."""

MAX_ID_LENGTH: Final = 64
"""Longest id of a block that is suspected; callers choose the ids."""

REPORTED_S: Final = 120.0
"""Age up to which a crash is reported to peers."""


class SuspectPrompt(NamedTuple):
    """The shared blocks of a prompt at a crashed runner, and how far its response had come.

    Either ``head_received`` is set, for a head without an event, or ``begun``, or none of them.
    """

    head_received: bool
    blocks: tuple[str, ...]
    begun: bool = False


class ReportedCrash(NamedTuple):
    """A crash and its suspect prompts, as told to peers."""

    start: TargetStart
    kind: RunnerKind
    at_s: float
    prompts: tuple[SuspectPrompt, ...]


@dataclass
class Crash:
    """A crash of a runner: its suspect prompts, and how widely each is known."""

    start: TargetStart
    kind: RunnerKind
    at_s: float
    prompts: dict[SuspectPrompt, Scope] = field(default_factory=dict)


IsConvicted = Callable[[str, str], bool]
"""Whether a block of a model is convicted already."""


class CrashEvidence:
    """The crashes of the fleet as known to an entry, and the responses that acquit blocks.

    ``begun`` has the responses that began, ``established`` those that went on or were complete.
    ``changes`` counts the crashes that peers should learn of at once.
    """

    def __init__(self, is_convicted: IsConvicted) -> None:
        self.changes = 0
        self.begun = BlockResponses()
        self.established = BlockResponses()
        self._is_convicted = is_convicted
        self._crashes: dict[tuple[TargetStart, str], Crash] = {}
        self.changed_at_s = float("-inf")

    def note_begun(
        self,
        kind: RunnerKind,
        blocks: Iterable[str],
        at_s: float,
        now_s: float,
        scope: Scope = Scope.LOCAL,
    ) -> None:
        """Record that a response to a prompt has begun."""
        self._note(self.begun, kind, blocks, at_s, now_s, scope)

    def note_established(
        self,
        kind: RunnerKind,
        blocks: Iterable[str],
        at_s: float,
        now_s: float,
        scope: Scope = Scope.LOCAL,
    ) -> None:
        """Record that a response has gone on or was complete, which proves its blocks."""
        self._note(self.established, kind, blocks, at_s, now_s, scope)

    def _note(
        self,
        responses: BlockResponses,
        kind: RunnerKind,
        blocks: Iterable[str],
        at_s: float,
        now_s: float,
        scope: Scope,
    ) -> None:
        for block in blocks:
            if responses.note(kind, block, at_s, scope):
                responses.report(kind, block, now_s)
                self.changed_at_s = now_s

    def is_proven(self, kind: RunnerKind, blocks: Iterable[str], now_s: float) -> bool:
        """Whether responses with each of these blocks came recently.

        Those that have only begun count unless a block is suspected of crashes after its responses
        had begun.
        """
        return all(self._is_proven(kind, block, now_s) for block in blocks)

    def _is_proven(self, kind: RunnerKind, block: str, now_s: float) -> bool:
        if self.established.is_proven(kind, block, now_s):
            return True
        disputed = self.established.is_suspected(kind, block)
        return not disputed and self.begun.is_proven(kind, block, now_s)

    def add(
        self,
        start: TargetStart,
        kind: RunnerKind,
        prompts: Iterable[SuspectPrompt],
        at_s: float,
        now_s: float,
        scope: Scope = Scope.LOCAL,
    ) -> None:
        """Record a crash, or more of its suspect prompts."""
        key = (start, kind.model)
        crash = self._crashes.get(key)
        if crash is None:
            crash = self._crashes[key] = Crash(start, kind, at_s)
            self._changed(now_s)
            if len(self._crashes) > MAX_CRASHES:
                del self._crashes[min(self._crashes, key=lambda item: self._crashes[item].at_s)]
        crash.at_s = min(crash.at_s, at_s)
        for prompt in prompts:
            if scope < crash.prompts.get(prompt, Scope.FLEET + 1):
                crash.prompts[prompt] = scope
                self._changed(now_s)
                self._open_blocks(crash, prompt, now_s)
        while len(crash.prompts) > MAX_PROMPTS:
            del crash.prompts[min(crash.prompts, key=lambda item: item.head_received)]

    def _changed(self, now_s: float) -> None:
        self.changes += 1
        self.changed_at_s = now_s

    def _open_blocks(self, crash: Crash, prompt: SuspectPrompt, now_s: float) -> None:
        """Follow the blocks of a suspect prompt, and report what is known in their favour."""
        for block in prompt.blocks:
            responses = self._acquitting(prompt)
            responses.suspect(crash.kind, block, crash.at_s)
            if responses.report(crash.kind, block, now_s):
                self.changed_at_s = now_s

    def _acquitting(self, prompt: SuspectPrompt) -> BlockResponses:
        """Return the responses that acquit the blocks of a suspect prompt."""
        return self.established if prompt.begun else self.begun

    def suspect(
        self,
        kind: RunnerKind,
        head_received: bool,
        blocks: tuple[str, ...],
        now_s: float,
        begun: bool = False,
    ) -> SuspectPrompt | None:
        """Return the suspect prompt of a call at a crashed runner, None if all is proven.

        The proven first blocks are omitted, unless the head had arrived and no event.
        """
        named = tuple(block for block in blocks if len(block) <= MAX_ID_LENGTH)
        is_proven = self.established.is_proven if begun else self._is_proven
        unproven = [block for block in named if not is_proven(kind, block, now_s)]
        if not named or not (unproven or head_received):
            return None
        first = named.index(unproven[0]) if unproven else 0
        kept = named if head_received else named[first:]
        if len(kept) > MAX_BLOCKS:
            kept = tuple(unproven) or named
        return SuspectPrompt(head_received, kept[:MAX_BLOCKS], begun)

    def is_known(self, start: TargetStart) -> bool:
        """Whether a crash is known."""
        return any(key[0] == start for key in self._crashes)

    def has_other_suspect(self, start: TargetStart, blocks: tuple[str, ...], now_s: float) -> bool:
        """Whether another prompt, to which the runner responded, is a likelier cause of a crash."""
        return any(
            (prompt.head_received or prompt.begun) and self._is_likely(crash, prompt, blocks, now_s)
            for crash in self._crashes.values()
            if crash.start == start
            for prompt in crash.prompts
        )

    def _is_likely(
        self, crash: Crash, prompt: SuspectPrompt, blocks: tuple[str, ...], now_s: float
    ) -> bool:
        return any(
            block not in blocks
            and not self.is_acquitted(crash, block)
            and not self._is_proven(crash.kind, block, now_s)
            for block in prompt.blocks
        )

    def was_at_other_crash(
        self, start: TargetStart, kind: RunnerKind, blocks: Iterable[str], now_s: float
    ) -> bool:
        """Whether an unproven block is suspected of the crash of another runner, too."""
        return any(
            crash.start != start and not self.is_acquitted(crash, block)
            for block in blocks
            if not self._is_proven(kind, block, now_s)
            for crash in self.crashes_with(kind.model, block)
        )

    def acquits(self, crash: Crash, prompt: SuspectPrompt, block: str) -> bool:
        """Whether a response shows that a block of a suspect prompt did not cause a crash."""
        return self._acquitting(prompt).refutes(crash.kind, block, crash.at_s)

    def is_acquitted(self, crash: Crash, block: str) -> bool:
        """Whether a block is acquitted of a crash in all of its suspect prompts."""
        return all(
            self.acquits(crash, prompt, block) for prompt in crash.prompts if block in prompt.blocks
        )

    def release(self, model: str, block_id: str) -> None:
        """Drop what speaks against a block that an operator has released."""
        for crash in self._crashes.values():
            if crash.kind.model == model:
                crash.prompts = {
                    prompt: scope
                    for prompt, scope in crash.prompts.items()
                    if block_id not in prompt.blocks
                }

    def expire(self, now_s: float) -> None:
        """Drop old crashes and what is no longer to be reported."""
        old = [key for key, item in self._crashes.items() if now_s - item.at_s > EVIDENCE_KEPT_S]
        for key in old:
            del self._crashes[key]
        for responses in (self.begun, self.established):
            responses.expire(now_s, EVIDENCE_KEPT_S)

    def crashes(self) -> Iterable[Crash]:
        """Return all known crashes."""
        return self._crashes.values()

    def unproven_crashes(self, model: str, block: str) -> list[Crash]:
        """Return the crashes that a block of a model may have caused that was not in use before."""
        return [
            crash
            for crash in self._crashes.values()
            if crash.kind.model == model
            and any(block in prompt.blocks for prompt in crash.prompts)
            and not self._is_proven(crash.kind, block, crash.at_s)
        ]

    def crashes_with(self, model: str, block: str) -> list[Crash]:
        """Return the crashes of a model's runners with a block in a suspect prompt."""
        return [
            crash
            for crash in self._crashes.values()
            if crash.kind.model == model and any(block in item.blocks for item in crash.prompts)
        ]

    def suspected(self, model: str, blocks: Iterable[str]) -> set[str]:
        """Return the blocks among some that are not acquitted of a crash yet."""
        suspected = self.begun.suspected(model) | self.established.suspected(model)
        return suspected.intersection(blocks)

    @property
    def suspected_blocks(self) -> int:
        """The number of blocks that are suspected now."""
        return len(self.begun.all_suspected() | self.established.all_suspected())

    def reported_crashes(self, scope: Scope, begun: bool, now_s: float) -> list[ReportedCrash]:
        """Return the recent crashes that no convicted block explains, the latest first.

        Their suspect prompts are those whose response had begun, or those whose had not.
        """
        found = []
        for crash in sorted(self._crashes.values(), key=lambda item: -item.at_s):
            if now_s - crash.at_s >= REPORTED_S:
                break
            blocks = {block for prompt in crash.prompts for block in prompt.blocks}
            if any(self._is_convicted(crash.kind.model, block) for block in blocks):
                continue
            prompts = tuple(
                prompt
                for prompt, known in crash.prompts.items()
                if known <= scope
                and prompt.begun is begun
                and not all(self.is_acquitted(crash, block) for block in prompt.blocks)
            )
            if prompts:
                found.append(ReportedCrash(crash.start, crash.kind, crash.at_s, prompts))
        return found
