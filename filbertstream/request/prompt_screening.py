"""Keeps prompts away from runners while one of their blocks may crash these."""

from typing import Final

from filbertstream.request.call import Prompt
from filbertstream.request.call_endings import Action, CallEndings
from filbertstream.request.call_state import Call
from filbertstream.request.crash_reports import CrashReports
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.prompt_placer import Rejection

HOLD_RECHECK_S: Final = 0.1
MAX_HOLD_S: Final = 2.5
"""Age at which a prompt is refused that still waits for the trial of one of its blocks."""


class PromptScreening:
    """Decides on prompts with quarantined or suspected blocks."""

    def __init__(
        self, dependencies: ForwardingDependencies, endings: CallEndings, crashes: CrashReports
    ) -> None:
        self._deps = dependencies
        self._endings = endings
        self._crashes = crashes

    def screen(self, call: Call, prompt: Prompt, now_s: float) -> list[Action] | None:
        """Refuse or hold back a prompt that may crash its runner; return None if it may be sent."""
        quarantine = self._deps.quarantine
        if quarantine.is_unknown(now_s):
            return self._endings.give_up(call, "starting", now_s)
        record = quarantine.refuses(prompt, now_s)
        if record is not None:
            self._deps.counters.add("prompts_quarantined", prompt.model)
            inputs = (("block", record.block_id), ("by", record.by))
            return self._endings.give_up(call, "quarantined", now_s, Rejection(None, inputs))
        if self._crashes.may_try(call, prompt, now_s):
            return None
        if now_s - call.arrived_s >= MAX_HOLD_S:
            return self._endings.give_up(call, "suspected", now_s)
        call.queued_until_s = now_s + HOLD_RECHECK_S
        self._deps.counters.add("prompts_held", prompt.model)
        return []
