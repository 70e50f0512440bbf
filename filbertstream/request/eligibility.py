"""The reasons why a target may not get a call now, in one ordered list.

``target_selection`` chooses from the targets to which none applies, and the log line of a call that
finds no target counts each target under the first reason that applies to it.  A new reason is one
function and one row of ``REASONS``.

Load pattern handled: services of 95 runners, for which reasons that apply to no target at all cost
one check and not one for each target.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from filbertstream.actions import LogFields
from filbertstream.process.roster import RosterTarget
from filbertstream.request.call_state import Call
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.regions import allowed_regions


class Stage(enum.Enum):
    """When ``TargetSelection`` applies a reason; the members are in that order.

    ``BARRED``: no wait and no retry helps until an operator changes something.  ``UNUSABLE``: the
    target gets no call for a time.  ``UNHEALTHY``: waived if no other target is left.  ``TRIED``:
    depends on the call's earlier sends.  ``LIMITED``: limits that the entries share; looking at
    their tokens refills them, so they are asked late.  ``AVOIDED``: waived like ``UNHEALTHY``.
    """

    BARRED = "barred"
    UNUSABLE = "unusable"
    UNHEALTHY = "unhealthy"
    TRIED = "tried"
    LIMITED = "limited"
    AVOIDED = "avoided"


Applies = Callable[[ForwardingDependencies, Call, RosterTarget, float], bool]
MayApply = Callable[[ForwardingDependencies, Call], bool]


def _always(deps: ForwardingDependencies, call: Call) -> bool:
    return True


class Reason(NamedTuple):
    """A reason, and whether it applies to a call and a target now.

    ``may_apply`` is False if the reason applies to no target at all, which saves looking at each of
    the 95 runners of a large service.
    """

    name: str
    stage: Stage
    applies: Applies
    may_apply: MayApply = _always


def _leaving(deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float) -> bool:
    return deps.roster.is_leaving(target)


def _paused(deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float) -> bool:
    return deps.roster.notices.paused_until_s(target.start, now_s) > now_s


def _in_backoff(
    deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float
) -> bool:
    return now_s < target.backoff_until_s


def _evacuated(
    deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float
) -> bool:
    return deps.roster.is_evacuated(target)


def _region_not_allowed(
    deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float
) -> bool:
    return not deps.regions.allows(allowed_regions(call), target.registration.data_center)


def _ejected(deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float) -> bool:
    return not deps.roster.is_healthy(target, now_s)


def _cold_limit_reached(
    deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float
) -> bool:
    return deps.rate_admission.keeps_cold(target, call.urgency, now_s)


def _rate_limited(
    deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float
) -> bool:
    return not deps.rate_admission.has_room(target, call.urgency, now_s)


def _loading_weights(
    deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float
) -> bool:
    return deps.weights.is_swapping(target)


def _already_tried(
    deps: ForwardingDependencies, call: Call, target: RosterTarget, now_s: float
) -> bool:
    return target.target_id in call.tried


EVACUATED: Final = "evacuated"
REGION_NOT_ALLOWED: Final = "region_not_allowed"

REASONS: Final = (
    Reason("leaving", Stage.UNUSABLE, _leaving),
    Reason("paused", Stage.UNUSABLE, _paused, lambda deps, call: deps.roster.notices.any_paused),
    Reason("in_backoff", Stage.UNUSABLE, _in_backoff),
    Reason(
        EVACUATED,
        Stage.BARRED,
        _evacuated,
        lambda deps, call: bool(deps.roster.evacuations.data_centers),
    ),
    Reason(
        REGION_NOT_ALLOWED,
        Stage.BARRED,
        _region_not_allowed,
        lambda deps, call: bool(allowed_regions(call)),
    ),
    Reason("ejected", Stage.UNHEALTHY, _ejected),
    Reason(
        "cold_limit_reached",
        Stage.LIMITED,
        _cold_limit_reached,
        lambda deps, call: deps.rate_admission.any_cold,
    ),
    Reason(
        "rate_limited",
        Stage.LIMITED,
        _rate_limited,
        lambda deps, call: deps.request_rates.any_known,
    ),
    Reason(
        "loading_weights",
        Stage.AVOIDED,
        _loading_weights,
        lambda deps, call: bool(deps.weights.swapping),
    ),
    Reason("already_tried", Stage.TRIED, _already_tried, lambda deps, call: bool(call.tried)),
)
"""All reasons, those first that an operator should see first."""

BY_STAGE: Final = {
    stage: tuple(reason for reason in REASONS if reason.stage is stage) for stage in Stage
}


def without(
    stage: Stage,
    deps: ForwardingDependencies,
    call: Call,
    targets: Iterable[RosterTarget],
    now_s: float,
) -> list[RosterTarget]:
    """Return the targets to which no reason of a stage applies."""
    found = list(targets)
    for reason in BY_STAGE[stage]:
        if reason.may_apply(deps, call):
            found = [item for item in found if not reason.applies(deps, call, item, now_s)]
    return found


def usable(
    deps: ForwardingDependencies, call: Call, targets: Iterable[RosterTarget], now_s: float
) -> list[RosterTarget]:
    """Return the targets that may get work: the healthy ones, or all if none is."""
    found = without(Stage.BARRED, deps, call, targets, now_s)
    found = without(Stage.UNUSABLE, deps, call, found, now_s)
    return without(Stage.UNHEALTHY, deps, call, found, now_s) or found


def excluded_fields(
    deps: ForwardingDependencies, call: Call, targets: Iterable[RosterTarget], now_s: float
) -> LogFields:
    """Return log fields with the number of targets, and of those that each reason excludes."""
    all_targets = list(targets)
    kept = {target.target_id for target in usable(deps, call, all_targets, now_s)}
    counts: Counter[str] = Counter()
    for target in all_targets:
        for reason in REASONS:
            waived = reason.stage is Stage.UNHEALTHY and target.target_id in kept
            if not waived and reason.applies(deps, call, target, now_s):
                counts[reason.name] += 1
                break
    listed = [reason.name for reason in REASONS if counts[reason.name]]
    excluded = ",".join(f"{name}={counts[name]}" for name in listed)
    return (("targets", len(all_targets)), ("excluded", excluded))
