"""Accounts for the work of calls: what is expected of each, what is outstanding, what it was.

It is in effect for the calls of a service as soon as one of the call's targets has reported its
slowness; all other calls are placed as if this module didn't exist, and nothing is learned.
"""

from collections.abc import Sequence
from typing import Final

from filbertstream.actions import LogFields
from filbertstream.process.roster import RosterTarget
from filbertstream.process.work_errors import WorkErrors
from filbertstream.request.call import Prompt
from filbertstream.request.call_state import Call
from filbertstream.request.drawn_targets import drawn_count
from filbertstream.request.placement import Placement, RequestWork
from filbertstream.request.service_placement import compare_service_calls, place_service_call
from filbertstream.request.work_estimate import WorkEstimator

MIN_TIMED_TOKENS: Final = 8
"""Shorter outputs measure the time until their end is relayed rather than that between tokens."""


def _prompt_of(call: Call) -> Prompt | None:
    return call.head.prompt if call.service.engine is not None else None


def work_fields(call: Call, placement: Placement, now_s: float) -> LogFields:
    """Return the logged inputs of a placement by work, none if it is not in effect."""
    if call.work is None:
        return ()
    target, second = placement.target, placement.runner_up
    age_s = now_s - target.reported_slowness.at_s if target.reported_slowness.is_reported else -1.0
    fields: LogFields = (
        ("expected_tokens", round(call.work.output_tokens, 1)),
        ("slot_s", round(placement.slot_s, 3)),
        ("slowness", round(target.slowness(now_s), 2)),
        ("slowness_age_s", round(age_s, 3)),
    )
    if second is None:
        return fields
    next_cost = ("runner_up_cost", round(second.cost, 3))
    return (*fields, ("runner_up", second.target.target_id), next_cost)


class WorkAccounting:
    """The work of this entry's calls."""

    def __init__(self, entry_name: str) -> None:
        self.estimator = WorkEstimator()
        self.errors = WorkErrors()
        self._entry_name = entry_name
        self._draws = 0

    @staticmethod
    def in_effect(targets: Sequence[RosterTarget]) -> bool:
        """Whether one of the targets has reported its slowness."""
        return any(target.reported_slowness.is_reported for target in targets)

    def expect(self, call: Call, targets: Sequence[RosterTarget]) -> RequestWork | None:
        """Return the expected work of a call that is about to be placed, None if not in effect."""
        call.work = None
        if not self.in_effect(targets):
            return None
        self._draws += 1
        call.work = self.estimator.expected(
            call.route.name,
            _prompt_of(call),
            method=call.head.method,
            workspace=None if call.workspace is None else call.workspace.name,
        )
        draw = f"{self._entry_name}-{self._draws}"
        return RequestWork(call.work, draw, drawn_count(len(targets)))

    def place_call(
        self, call: Call, targets: Sequence[RosterTarget], data_center: str, now_s: float
    ) -> tuple[RosterTarget | None, LogFields]:
        """Return the target of a call that is no prompt, and the logged inputs of the choice."""
        work = self.expect(call, targets)
        if work is None:
            objective_s = call.route.objective_s
            return place_service_call(targets, data_center, objective_s, now_s), ()
        best, *others = compare_service_calls(targets, data_center, now_s, work)
        fields: LogFields = (
            ("expected_s", round(best.end_s, 3)),
            ("expected_run_s", round(work.estimate.service_s, 3)),
            ("slowness", round(best.target.slowness(now_s), 2)),
        )
        if others:
            second = others[0]
            next_end = ("runner_up_s", round(second.end_s, 3))
            fields = (*fields, ("runner_up", second.target.target_id), next_end)
        return best.target, fields

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
            self._note_actual(call, seconds / slowness)
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
        self._note_actual(call, events)
        self.estimator.observe(
            route,
            method=method,
            workspace=workspace,
            output_tokens=events,
            length_hint=prompt.length_hint,
        )

    def _note_actual(self, call: Call, actual: float) -> None:
        if call.work is not None:
            call.actual_work = actual
            expected = call.work.output_tokens or call.work.service_s
            self.errors.note(call.route.name, actual / expected)
