"""Selects the targets to which a call may be sent now."""

from filbertstream.process.roster import RosterTarget
from filbertstream.request.call_state import Call
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.prompt_placer import Rejection


class TargetSelection:
    """The candidates for calls."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        self._deps = dependencies

    def candidates(self, call: Call, now_s: float) -> list[RosterTarget]:
        """Return the usable targets that the call has not tried and whose rate has room for it.

        Runners that load weights are omitted unless there is no other target.
        """
        usable = self._usable(call, now_s)
        untried = [target for target in usable if target.target_id not in call.tried]
        with_room = self._deps.rate_admission.with_room(untried, call.urgency, now_s)
        swapping = self._deps.weights.is_swapping
        return [target for target in with_room if not swapping(target)] or with_room

    def reject_by_rate(self, call: Call, now_s: float) -> Rejection | None:
        """Return how to reject a call if the rates of all usable targets leave no room for it."""
        return self._deps.rate_admission.reject(self._usable(call, now_s), call.urgency, now_s)

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
        targets = roster.staying(call.service.name)
        ends_s = [roster.notices.paused_until_s(target.start, now_s) for target in targets]
        wait_s = min(ends_s, default=now_s) - now_s
        return Rejection(wait_s, (("paused", len(targets)),)) if wait_s > 0.0 else None

    def _usable(self, call: Call, now_s: float) -> list[RosterTarget]:
        return self._deps.roster.usable(call.service.name, now_s)
