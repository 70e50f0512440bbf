"""Fair sharing of scarce capacity: which prompts are admitted while not all can be in time.

A call is admitted if it is expected to meet its objective; when not all calls can meet theirs,
capacity goes to workspaces in equal shares by expected work, and within a workspace to the more
urgent kind; no call is held back while capacity is free.

Every rule is a bound on the queue at the best runner for the call, and never above the bound of
``request.load_shedding``.  A call that is held back thus waits only for a shorter queue, and what
the others leave goes to those above their share.

Load patterns handled:

- One workspace sends many times its share.  It is admitted at short queues only, and the queue
  stays below the bound of the others.
- Small prompts fill the queue up to a length at which no large prompt is in time.  A group of calls
  that is served far less often than the others counts as short: it is admitted up to the bound of
  ``request.load_shedding``, and the others at shorter queues until it has caught up.
- A more urgent kind is served less often than a less urgent one of its service, for example because
  its prompts are larger.  It counts as short too.
- Load swings and bursts.  Shares count only while queues are long.
"""

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from filbertstream.request.load_shedding import (
    RETRY_MAX_S,
    RETRY_MIN_S,
    Headroom,
    retry_after_s,
)

ROOM_FRACTION: Final = 0.25
"""A queue up to this fraction of the bound of load shedding counts as room.  The large prompts of
docs/design/uneven-load.md, part 5, are in time behind such a queue."""

PRESSED_FRACTION: Final = 0.5
"""A decision at a queue above this fraction of that bound counts as one under pressure."""

SCARCE_FRACTION: Final = 0.05
"""The fraction of recent decisions under pressure from which capacity counts as scarce."""

OVER_SHARE: Final = 1.1
"""Shares from which a workspace is held back; the margin covers the noise of the estimates."""

MAX_RETRY_FACTOR: Final = 4.0
"""The most by which the retry time of a workspace above its share is extended."""

MIN_RATE_OF_ALL: Final = 0.4
"""A kind or workspace is short if it is served less often than this fraction of the rate of all.
The required bound is a quarter; the rest is the margin for the noise of an entry's small sample."""

MIN_RATE_OF_LARGE: Final = 0.65
"""The large prompts of a kind are short below this fraction of its rate; the bound is 0.5."""

URGENT_MARGIN: Final = 0.02
"""A more urgent kind is short if a less urgent one is served more often by this; the bound is 5
percentage points."""

MIN_CALLS: Final = 4.0
"""Recent calls from which the rate of a group counts."""

LEFT_FRACTION: Final = 2.0 / 9.0
"""The longest retry time, as a fraction of the time that a caller has left.  Callers honor up to a
third, and ``request.call_endings`` adds up to half to spread those that return."""


class Demand(NamedTuple):
    """The recent calls of one kind to a service, or (``is_large``) the largest tenth of them.

    ``arrived`` and ``served`` are decaying numbers of calls.
    """

    kind: str
    urgency: int
    is_large: bool
    arrived: float
    served: float

    @property
    def rate(self) -> float:
        """The fraction of calls that were served."""
        return self.served / self.arrived if self.arrived > 0.0 else 1.0


class Claim(NamedTuple):
    """The call to be decided on.

    ``shares`` is the work of its workspace, of kinds at least as urgent, in fair shares.
    ``workspace_arrived`` and ``workspace_served`` are the recent calls of its workspace.
    """

    kind: str
    urgency: int
    is_large: bool
    shares: float
    workspace_arrived: float
    workspace_served: float


class Room(NamedTuple):
    """The room at the best runner for a call.

    ``is_free`` is whether a runner has free slots and memory and nothing is waiting there.
    ``pressed_fraction`` is the fraction of recent decisions under pressure.  ``left_s`` is the time
    that the caller has left.
    """

    is_free: bool
    queue_s: float
    prefill_s: float
    memory_fraction: float
    objective_s: float
    limits: Headroom
    pressed_fraction: float
    left_s: float

    @property
    def is_pressed(self) -> bool:
        """Whether the queue or the memory shows that capacity runs out."""
        limits = self.limits
        too_full = self.memory_fraction > limits.memory_fraction
        return too_full or self.queue_s > PRESSED_FRACTION * limits.queue_s


class Verdict(NamedTuple):
    """The decision on a call; ``retry_after_s`` is None if it is admitted."""

    reason: str
    retry_after_s: float | None = None


def admit(claim: Claim, demand: Sequence[Demand], room: Room) -> Verdict:
    """Return whether a call is admitted, given the recent calls to its service.

    >>> claim = Claim("large", 0, False, 8.0, 50.0, 25.0)
    >>> room = Room(False, 0.3, 0.05, 0.5, 1.0, Headroom(0.75, 1.1), 0.5, 10.0)
    >>> admit(claim, (), room).reason
    'over_share'
    >>> admit(claim, (), room._replace(pressed_fraction=0.0)).reason
    'not_scarce'
    >>> admit(claim._replace(shares=0.9), (), room).reason
    'in_time'
    """
    if room.is_free:
        return Verdict("free")
    shed_s = retry_after_s(room.queue_s, room.memory_fraction, room.limits)
    if shed_s is not None:
        reason = "queue" if room.queue_s > room.limits.queue_s else "memory"
        return Verdict(reason, _retry_s(shed_s, claim.shares, room.left_s))
    room_s = ROOM_FRACTION * room.limits.queue_s
    if room.queue_s <= room_s:
        return Verdict("room")
    if room.pressed_fraction < SCARCE_FRACTION:
        return Verdict("not_scarce")
    if is_short(claim, demand):
        return Verdict("short")
    in_time_s = min(room.limits.queue_s, max(room_s, room.objective_s - room.prefill_s))
    limit_s, reason = in_time_s, "late"
    if claim.shares > OVER_SHARE:
        limit_s, reason = room_s + (in_time_s - room_s) / claim.shares, "over_share"
    elif any(_is_other(claim, item) and is_group_short(item, demand) for item in demand):
        limit_s, reason = room_s + (in_time_s - room_s) / 2, "others_short"
    if room.queue_s <= limit_s:
        return Verdict("in_time")
    return Verdict(reason, _retry_s(room.queue_s - limit_s / 2, claim.shares, room.left_s))


def _retry_s(queue_s: float, shares: float, left_s: float) -> float:
    """Return when the queue is expected to have shrunk, later for those above their share."""
    factor = min(MAX_RETRY_FACTOR, max(1.0, shares))
    wait_s = min(RETRY_MAX_S, max(RETRY_MIN_S, queue_s * factor))
    return min(wait_s, LEFT_FRACTION * max(0.0, left_s))


def is_short(claim: Claim, demand: Sequence[Demand]) -> bool:
    """Whether the workspace or the group of a call is served too seldom."""
    rate = _rate(demand)
    enough = claim.workspace_arrived >= MIN_CALLS
    if enough and claim.workspace_served < MIN_RATE_OF_ALL * rate * claim.workspace_arrived:
        return True
    own = [item for item in demand if not _is_other(claim, item)]
    return any(is_group_short(item, demand) or _is_rare(item, demand) for item in own)


def _is_rare(group: Demand, demand: Sequence[Demand]) -> bool:
    """Whether too few calls of a kind are known to compare it with less urgent ones.

    Many entries see few of the largest prompts; these are then bounded by load shedding only.
    """
    if group.is_large or group.arrived >= MIN_CALLS:
        return False
    return any(item.urgency > group.urgency and item.arrived >= MIN_CALLS for item in demand)


def is_group_short(group: Demand, demand: Sequence[Demand]) -> bool:
    """Whether a group of calls is served too seldom compared with the others."""
    if group.arrived < MIN_CALLS:
        return False
    if group.is_large:
        kind = _rate(item for item in demand if item.kind == group.kind)
        return group.rate < MIN_RATE_OF_LARGE * kind
    less_urgent = [
        item.rate
        for item in demand
        if item.urgency > group.urgency and not item.is_large and item.arrived >= MIN_CALLS
    ]
    behind = any(rate - group.rate > URGENT_MARGIN for rate in less_urgent)
    return behind or group.rate < MIN_RATE_OF_ALL * _rate(demand)


def _is_other(claim: Claim, group: Demand) -> bool:
    """Whether a call does not belong to a group."""
    if group.is_large:
        return (group.kind, group.urgency, True) != (claim.kind, claim.urgency, claim.is_large)
    return (group.kind, group.urgency) != (claim.kind, claim.urgency)


def _rate(demand: Iterable[Demand]) -> float:
    """Return the fraction of all calls that were served; large ones are part of their kind."""
    totals = [(item.arrived, item.served) for item in demand if not item.is_large]
    arrived = sum(item[0] for item in totals)
    return sum(item[1] for item in totals) / arrived if arrived > 0.0 else 1.0


def fair_share(work: Iterable[float], capacity: float) -> float:
    """Return the largest work that a workspace may have so that the sum stays within a capacity.

    Those below the share keep what they ask for, and the rest is divided equally (max-min fairness,
    Bertsekas and Gallager, Data Networks, 6.5.2).

    >>> fair_share([1.0, 1.0, 10.0], 6.0)
    4.0
    >>> fair_share([1.0, 2.0], 6.0)
    2.0
    """
    left, share = capacity, 0.0
    items = sorted(work)
    for index, item in enumerate(items):
        equal = left / (len(items) - index)
        if item > equal:
            return equal
        left -= item
        share = item
    return share
