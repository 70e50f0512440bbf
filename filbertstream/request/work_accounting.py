"""Accounts for the work of calls: what is expected of each, what is outstanding, what it was.

It is in effect for the calls of a service as soon as one of the call's targets has reported its
slowness; all other calls are placed as if this module didn't exist, and nothing is learned.
"""

from collections.abc import Sequence
from typing import Final

from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import Prompt
from filbertstream.request.call_state import Call
from filbertstream.request.placement import RequestWork
from filbertstream.request.work_estimate import WorkEstimator

MIN_TIMED_TOKENS: Final = 8
"""Shorter outputs measure the time until their end is relayed rather than that between tokens."""


def _prompt_of(call: Call) -> Prompt | None:
    return call.head.prompt if call.service.engine is not None else None


class WorkAccounting:
    """The work of this entry's calls."""

    def __init__(self, entry_name: str) -> None:
        self.estimator = WorkEstimator()
        self._entry_name = entry_name
        self._draws = 0

    def expect(self, call: Call, targets: Sequence[RosterTarget]) -> RequestWork | None:
        """Return the expected work of a call that is about to be placed, None if not in effect."""
        call.work = None
        if not any(target.reported_slowness.is_reported for target in targets):
            return None
        self._draws += 1
        call.work = self.estimator.expected(
            call.route.name,
            _prompt_of(call),
            method=call.head.method,
            workspace=None if call.workspace is None else call.workspace.name,
        )
        return RequestWork(call.work, f"{self._entry_name}-{self._draws}")

    def note_sent(self, call: Call, target: RosterTarget, now_s: float) -> None:
        """Add a call to the outstanding work of its target."""
        if call.work is not None:
            target.work.sent(call.call_id, call.work, now_s)

    def note_complete(self, call: Call, events: int, now_s: float) -> None:
        """Learn from a call that has succeeded and is still with its target."""
        target = call.target
        if target is None or not call.succeeds or not target.reported_slowness.is_reported:
            return
        slowness = target.slowness(now_s)
        workspace = None if call.workspace is None else call.workspace.name
        route, method, prompt = call.route.name, call.head.method, _prompt_of(call)
        if prompt is None:
            seconds = now_s - call.sent_at_s
            if call.work is not None:
                target.work.note_duration(seconds, call.work.service_s, slowness)
            self.estimator.observe(
                route, method=method, workspace=workspace, service_s=seconds / slowness
            )
            return
        if not events or call.head.last_event_id is not None:
            # Only streams are counted in events, and a resumed one only from where it was resumed.
            return
        begun_s = target.work.begun_at_s(call.call_id)
        if begun_s is not None and call.number == 1 and events >= MIN_TIMED_TOKENS:
            target.work.note_token_time((now_s - begun_s) / (events - 1), slowness)
        self.estimator.observe(
            route,
            method=method,
            workspace=workspace,
            output_tokens=events,
            length_hint=prompt.length_hint,
        )
