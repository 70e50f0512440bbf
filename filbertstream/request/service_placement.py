"""Chooses the target of a call that is no prompt.

Load patterns handled: a target that is busier or slower than the others, and, where targets report
their slowness, calls of very different duration and many entries that decide on the same late
information (``request.drawn_targets``).
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from filbertstream.process.roster import RosterTarget
from filbertstream.request.drawn_targets import draw_calls
from filbertstream.request.placement import RequestWork

REMOTE_COST: Final = 0.1
"""Cost of a service's target in another data center; equals that of a tenth of its slots in use."""


def place_service_call(
    targets: Sequence[RosterTarget],
    data_center: str,
    objective_s: float,
    now_s: float,
    work: RequestWork | None = None,
) -> RosterTarget | None:
    """Return the target for a call that is no prompt, by load, latency and data center.

    With ``work`` it is the one of a few random targets where the call is expected to end first.
    """
    if work is not None:
        options = compare_service_calls(targets, data_center, now_s, work)
        return options[0].target if options else None

    def cost(target: RosterTarget) -> tuple[float, str]:
        busy = target.running(now_s) / max(1, target.registration.slots)
        remote = 0.0 if target.registration.data_center == data_center else REMOTE_COST
        latency_s = target.latency_s * target.slowness(now_s)
        return (busy + remote + latency_s / objective_s, target.target_id)

    return min(targets, key=cost) if targets else None


class CallOption(NamedTuple):
    """A target of a call that is no prompt, with the time in which the call should end there."""

    end_s: float
    target: RosterTarget


def compare_service_calls(
    targets: Sequence[RosterTarget], data_center: str, now_s: float, work: RequestWork
) -> list[CallOption]:
    """Return a few random targets, the one where the call is expected to end first at the front."""
    names = [target.target_id for target in targets]
    local = [target.registration.data_center == data_center for target in targets]
    drawn = [targets[index] for index in draw_calls(names, local, work.draw or "", work.drawn)]
    options = [CallOption(call_end_s(item, data_center, work, now_s), item) for item in drawn]
    return sorted(options, key=lambda option: option.end_s)


def call_end_s(target: RosterTarget, data_center: str, work: RequestWork, now_s: float) -> float:
    """Return the time in which a call that is no prompt is expected to end at a target.

    Calls in another data center count as if they took a tenth longer (``REMOTE_COST``).  The work
    of others counts also while slots are free, since they share the target's cores.
    """
    outstanding = target.outstanding_work(False, target.registration.slots, now_s)
    factor = target.work.duration_factor * target.slowness(now_s)
    remote = 0.0 if target.registration.data_center == data_center else REMOTE_COST
    service_s = work.estimate.service_s * factor * (1.0 + remote)
    return service_s + outstanding.slot_s + outstanding.slot_wait_s
