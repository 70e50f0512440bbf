"""Selects the targets to which a call may be sent now."""

from typing import Final

from filbertstream.actions import LogFields
from filbertstream.process.roster import RosterTarget
from filbertstream.request.call_state import Call
from filbertstream.request.eligibility import (
    EVACUATED,
    REGION_NOT_ALLOWED,
    Stage,
    excluded_fields,
    usable,
    without,
)
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.prompt_placer import Rejection
from filbertstream.request.regions import allowed_regions

BARRED_RETRY_S: Final = 1.0
"""An evacuation may last for minutes; callers come back once, after a third of the time that they
have left at most, so a later retry would be none."""


class TargetSelection:
    """The candidates for calls."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        self._deps = dependencies

    def candidates(self, call: Call, now_s: float) -> list[RosterTarget]:
        """Return the targets to which none of the reasons in ``eligibility`` applies.

        Runners that load weights are omitted unless there is no other target.
        """
        untried = without(Stage.TRIED, self._deps, call, self._usable(call, now_s), now_s)
        with_room = without(Stage.LIMITED, self._deps, call, untried, now_s)
        return without(Stage.AVOIDED, self._deps, call, with_room, now_s) or with_room

    def reject_by_bars(self, call: Call, now_s: float) -> tuple[str, Rejection] | None:
        """Return why and how to reject a call if an operator has barred all of its targets.

        Targets that leave don't count, since they will not get the call either.
        """
        targets = self._deps.roster.staying(call.service.name)
        if not targets or without(Stage.BARRED, self._deps, call, targets, now_s):
            return None
        regions, allowed = self._deps.regions, allowed_regions(call)
        in_region = [
            target for target in targets if regions.allows(allowed, target.registration.data_center)
        ]
        code = EVACUATED if in_region else REGION_NOT_ALLOWED
        return code, Rejection(BARRED_RETRY_S, self._excluded(call, now_s))

    def reject_by_rate(self, call: Call, now_s: float) -> Rejection | None:
        """Return how to reject a call if the rates of all usable targets leave no room for it."""
        targets = self._usable(call, now_s)
        rejection = self._deps.rate_admission.reject(targets, call.urgency, now_s)
        return None if rejection is None else self.with_reasons(call, rejection, now_s)

    def note_diverted(self, call: Call, now_s: float) -> None:
        """Count a call that is sent to another target because a cold one has no room for it."""
        admission = self._deps.rate_admission
        if admission.any_cold and any(
            admission.keeps_cold(target, call.urgency, now_s)
            for target in self._usable(call, now_s)
            if target.target_id not in call.tried
        ):
            self._deps.counters.add("calls_diverted", "cold")

    def reject_by_pauses(self, call: Call, now_s: float) -> Rejection | None:
        """Return how to reject a call if all targets of its service have named pauses.

        The retry time is the end of the first of them.
        """
        roster = self._deps.roster
        staying = roster.staying(call.service.name)
        targets = without(Stage.BARRED, self._deps, call, staying, now_s)
        ends_s = [roster.notices.paused_until_s(target.start, now_s) for target in targets]
        wait_s = min(ends_s, default=now_s) - now_s
        return Rejection(wait_s, (("paused", len(targets)),)) if wait_s > 0.0 else None

    def with_reasons(self, call: Call, rejection: Rejection, now_s: float) -> Rejection:
        """Add to a rejection how many targets each reason excludes."""
        return rejection._replace(inputs=(*rejection.inputs, *self._excluded(call, now_s)))

    def _excluded(self, call: Call, now_s: float) -> LogFields:
        targets = self._deps.roster.of_service(call.service.name)
        return excluded_fields(self._deps, call, targets, now_s)

    def _usable(self, call: Call, now_s: float) -> list[RosterTarget]:
        targets = self._deps.roster.of_service(call.service.name)
        return usable(self._deps, call, targets, now_s)
