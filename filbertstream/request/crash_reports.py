"""Reports to ``fleet.crash_detector`` what the sends of prompts show of their runners."""

from typing import Final

from filbertstream.actions import Log
from filbertstream.fleet.block_responses import RunnerKind
from filbertstream.fleet.crash_detector import CrashState, CutOff, ProbeTarget
from filbertstream.fleet.crash_evidence import ESTABLISHED_AFTER_S
from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import Prompt
from filbertstream.request.call_state import Call, SendStage
from filbertstream.request.forwarding_dependencies import ForwardingDependencies

CUT_OFF_CAUSES: Final = frozenset({"cut", "reset"})
"""Causes of failed sends for which the end of the runner's process may be the reason."""

EVIDENCE_WAIT_S: Final = 0.4
"""Time within which a probe ends and the evidence of peers arrives."""


class CrashReports:
    """What the sends of calls show of crashes."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        self._evidence = dependencies.crash_evidence
        self._detector = dependencies.crash_detector
        self._trials = dependencies.crash_trials
        self._quarantine = dependencies.quarantine

    def note_response(self, target: RosterTarget, now_s: float) -> None:
        """Record that a runner responds."""
        self._detector.on_response(target, now_s)

    def note_begun(self, call: Call, target: RosterTarget, now_s: float) -> None:
        """Record that a successful response has begun."""
        prompt = call.head.prompt
        if prompt is not None:
            kind = _kind(call, prompt, target)
            self._evidence.note_begun(kind, _shared_blocks(prompt), now_s, now_s)

    def note_complete(self, call: Call, target: RosterTarget, now_s: float) -> None:
        """Record that a successful response is complete, which proves the blocks of its prompt."""
        self.note_begun(call, target, now_s)
        self._note_established(call, target, now_s)

    def update_stage(self, call: Call, now_s: float) -> None:
        """Note whether a response has gone on for long enough to prove the blocks of its prompt."""
        if call.stage is not SendStage.BEGUN or now_s - call.begun_s < ESTABLISHED_AFTER_S:
            return
        call.stage = SendStage.ESTABLISHED
        if call.target is not None and call.succeeds:
            self._note_established(call, call.target, now_s)

    def _note_established(self, call: Call, target: RosterTarget, now_s: float) -> None:
        prompt = call.head.prompt
        if prompt is not None:
            kind, blocks = _kind(call, prompt, target), _shared_blocks(prompt)
            self._evidence.note_established(kind, blocks, now_s, now_s)
            self._quarantine.note_begun(prompt.model, blocks)

    def note_failure(self, call: Call, cause: str, now_s: float) -> list[Log | ProbeTarget]:
        """Record that a send failed; must be called before the call releases its target."""
        target, prompt = call.target, call.head.prompt
        if target is None or prompt is None or cause not in CUT_OFF_CAUSES:
            return []
        self.update_stage(call, now_s)
        kind = _kind(call, prompt, target)
        blocks = None if call.stage is SendStage.ESTABLISHED else _shared_blocks(prompt)
        begun = call.stage is SendStage.BEGUN
        if blocks and self._is_suspect(kind, blocks, target, begun, now_s):
            call.suspected_at = target.start
            call.suspected_kind = kind
            call.queued_until_s = now_s + EVIDENCE_WAIT_S
        cut_off = CutOff(kind, call.stage is SendStage.HEAD, blocks, begun)
        return self._detector.on_cut_off(target, cut_off, now_s)

    def _is_suspect(
        self,
        kind: RunnerKind,
        blocks: tuple[str, ...],
        target: RosterTarget,
        begun: bool,
        now_s: float,
    ) -> bool:
        """Whether a call may have crashed its runner, so that it is held back.

        Many streams begin shortly before a crash by chance.  One is resumed at once unless its
        blocks were at another crash, too.
        """
        if begun:
            return self._evidence.was_at_other_crash(target.start, kind, blocks, now_s)
        return not self._evidence.is_proven(kind, blocks, now_s)

    def may_try(self, call: Call, prompt: Prompt, now_s: float) -> bool:
        """Whether the prompt of a call may be sent now, as far as its blocks are suspected."""
        return self._trials.admits(call.call_id, prompt.model, _shared_blocks(prompt), now_s)

    def may_resend(self, call: Call, now_s: float) -> bool | None:
        """Return whether a call that may have crashed a runner can be sent to another one.

        The result is None while evidence may still arrive.
        """
        start, kind, prompt = call.suspected_at, call.suspected_kind, call.head.prompt
        if start is None or kind is None or prompt is None:
            return True
        blocks = _shared_blocks(prompt)
        if self._detector.state(start) is CrashState.UNKNOWN:
            return True
        if self._evidence.is_proven(kind, blocks, now_s):
            return True
        if call.stage is SendStage.WAITING and self._evidence.has_other_suspect(
            start, blocks, now_s
        ):
            return True
        waits = call.queued_until_s is not None and now_s < call.queued_until_s
        return None if waits else False


def _kind(call: Call, prompt: Prompt, target: RosterTarget) -> RunnerKind:
    weights = call.weights or target.weights.get(prompt.model, 0)
    return RunnerKind(call.service.name, prompt.model, weights)


def _shared_blocks(prompt: Prompt) -> tuple[str, ...]:
    """Return the ids of all blocks but the last one, which only this prompt or session has."""
    return tuple(block.block_id for block in prompt.blocks[:-1])
