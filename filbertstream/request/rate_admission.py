"""Keeps the requests to a target within the limits on all entries together.

A target may name a rate itself, and it may be cold (``fleet.cold_targets``); then both limits
apply.  Each entry spends its share of a limit (``process.rate_shares``) from a token bucket.  Every
send counts: first sends, retries, resumed streams, and those that the target rejects.  Calls of the
leader of roll-outs have an allowance of their own, since the leader may hold no share.

Load patterns handled:

- A target names a limit while it gets far more requests: what this entry has sent it within the
  window counts, scaled to the fleet, so that the window is not filled twice.
- All targets of a service limit their rate.  Calls that none of them can take are refused at once
  with the time after which the permitted rate has room for them.  A token is kept for a while for
  the more urgent of the calls that are being refused; every ``OPEN_INTERVAL``-th token goes to
  whichever call comes first, so that no kind of call gets nothing.
- A target becomes cold, and all holders of its limit see that at the same moment.  Their first
  requests are spread over the time between two requests of a holder.
"""

import math
from collections import deque
from collections.abc import Callable, Container
from typing import Final, NamedTuple

from filbertstream.actions import LogFields
from filbertstream.fleet.cold_targets import ColdRate, ColdTargets
from filbertstream.process.rate_shares import (
    MIN_PER_S,
    WINDOW_S,
    NamedRate,
    RateRule,
    RateShares,
    Share,
)
from filbertstream.process.request_rates import RequestRates
from filbertstream.process.roster import RosterTarget
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.load_shedding import RETRY_MAX_S, RETRY_MIN_S
from filbertstream.request.prompt_placer import Rejection

OPEN_INTERVAL: Final = 3

KEPT_FOR_URGENT: Final = 0.5
"""How long a token is kept for more urgent calls, as a fraction of the interval between tokens."""

URGENT_DEMAND_S: Final = WINDOW_S
"""Time after the refusal of a call in which tokens are kept for calls as urgent."""

OWN_CALLS_BURST: Final = 2.0
"""Calls that the leader of roll-outs may make at once: a report and an order."""

OWN_CALLS_FRACTION: Final = 0.1
"""The rate of further calls of the leader, as a fraction of the target's rate."""

COLD_OWN_CALLS_BURST: Final = 1.0
"""The same for a cold target, whose bound in a second is smaller."""

COLD_WINDOW_S: Final = 1.0
"""The window over which the limit of a cold target is checked."""

EXPIRY_INTERVAL_S: Final = 1.0


class _Limit(NamedTuple):
    """A limit on the requests to a target; ``kind`` is the type of its rule."""

    rule: RateRule
    window_s: float
    unreported_s: float = 0.0

    @property
    def kind(self) -> type[RateRule]:
        return type(self.rule)


class _Bucket:
    """A token bucket whose rate may change."""

    def __init__(self, level: float, now_s: float) -> None:
        self.level = level
        self.per_s = 0.0
        self.full_at_s = now_s
        self.taken = 0
        self._at_s = now_s

    def refill(self, per_s: float, burst: float, now_s: float) -> None:
        """Add the tokens since the last refill, at the rate until now; then change the rate."""
        level = min(burst, self.level + (now_s - self._at_s) * self.per_s)
        if self.level < 1.0 <= level:
            self.full_at_s = self._at_s + (1.0 - self.level) / self.per_s
        self.level, self._at_s, self.per_s = level, now_s, per_s

    def take(self) -> None:
        self.level -= 1.0
        self.taken += 1


class RateAdmission:
    """The tokens of this entry for each target with a limit."""

    def __init__(
        self, rates: RequestRates, shares: RateShares, cold_targets: ColdTargets | None = None
    ) -> None:
        self._rates = rates
        self._shares = shares
        self._cold_targets = cold_targets
        self._buckets: dict[tuple[TargetStart, type[RateRule]], _Bucket] = {}
        self._own_calls: dict[TargetStart, _Bucket] = {}
        self._sent_at_s: dict[TargetStart, deque[float]] = {}
        self._next_expiry_s = float("-inf")
        self._refused_at_s: dict[tuple[str, int], float] = {}
        self._booked_until_s: dict[tuple[str, int], float] = {}

    def with_room(
        self, targets: list[RosterTarget], urgency: int, now_s: float
    ) -> list[RosterTarget]:
        """Return the targets to which a call may be sent now."""
        if not self._rates.any_known and not self.any_cold:
            return targets
        return [target for target in targets if self.has_room(target, urgency, now_s)]

    def has_room(self, target: RosterTarget, urgency: int, now_s: float) -> bool:
        """Whether a call may be sent to a target now."""
        return all(
            self._has_token(target, limit, urgency, now_s)
            for limit in self._limits(target.start, now_s)
        )

    def _has_token(self, target: RosterTarget, limit: _Limit, urgency: int, now_s: float) -> bool:
        bucket = self._bucket(target.start, limit, now_s)
        service = target.registration.service
        return bucket.level >= 1.0 and not self._is_kept(bucket, service, urgency, now_s)

    @property
    def any_cold(self) -> bool:
        """Whether any target is cold or in its slow start."""
        return self._cold_targets is not None and self._cold_targets.any_known

    def limit(self, start: TargetStart, now_s: float) -> float | None:
        """Return the requests a second that all entries may send to a target, None if any."""
        cold = None if self._cold_targets is None else self._cold_targets.limit(start, now_s)
        limits = [item for item in (self._rates.limit(start), cold) if item is not None]
        return min(limits, default=None)

    def keeps_cold(self, target: RosterTarget, urgency: int, now_s: float) -> bool:
        """Whether the limit of a cold target leaves no room for a call there now."""
        return any(
            limit.kind is not NamedRate and not self._has_token(target, limit, urgency, now_s)
            for limit in self._limits(target.start, now_s)
        )

    def _limits(self, start: TargetStart, now_s: float) -> list[_Limit]:
        """Return the limits that apply to a target."""
        limits = []
        per_s = self._rates.limit(start)
        if per_s is not None:
            unreported_s = self._rates.unreported_s(start, now_s)
            limits.append(_Limit(NamedRate(per_s), WINDOW_S, unreported_s))
        cold = None if self._cold_targets is None else self._cold_targets.rule(start, now_s)
        if cold is not None:
            # In the slow start no window is checked, so earlier sends don't count.
            window_s = COLD_WINDOW_S if isinstance(cold, ColdRate) else 0.0
            limits.append(_Limit(cold, window_s))
        return limits

    def _is_kept(self, bucket: _Bucket, service: str, urgency: int, now_s: float) -> bool:
        """Whether the next token is kept for calls that are more urgent."""
        if bucket.taken % OPEN_INTERVAL == 0 or bucket.per_s <= 0.0:
            return False
        if now_s - bucket.full_at_s >= KEPT_FOR_URGENT / bucket.per_s:
            return False
        return any(
            name == service and refused < urgency and now_s - at_s < URGENT_DEMAND_S
            for (name, refused), at_s in self._refused_at_s.items()
        )

    def note_send(self, target: RosterTarget, now_s: float) -> None:
        """Count a send to a target."""
        for limit in self._limits(target.start, now_s):
            self._bucket(target.start, limit, now_s).take()
        self._recent_sends(target.start, now_s).append(now_s)

    def _recent_sends(self, start: TargetStart, now_s: float) -> deque[float]:
        sent_at_s = self._sent_at_s.setdefault(start, deque())
        while sent_at_s and sent_at_s[0] <= now_s - WINDOW_S:
            sent_at_s.popleft()
        return sent_at_s

    def _bucket(self, start: TargetStart, limit: _Limit, now_s: float) -> _Bucket:
        share = self._shares.share_of(start.target_id, limit.rule, now_s, limit.unreported_s)
        key = start, limit.kind
        bucket = self._buckets.get(key)
        if bucket is None:
            level = self._first_level(start, share, now_s, limit.window_s)
            if limit.kind is not NamedRate:
                level = min(level, share.burst * (1.0 - share.rank / share.holders))
            bucket = self._buckets[key] = _Bucket(level, now_s)
        bucket.refill(share.per_s, share.burst, now_s)
        return bucket

    def _first_level(
        self, start: TargetStart, share: Share, now_s: float, window_s: float
    ) -> float:
        """Return the tokens at the start of a limit, after what the fleet has sent before it."""
        members = len(self._shares.members(now_s))
        recent = [at_s for at_s in self._recent_sends(start, now_s) if at_s > now_s - window_s]
        sent = len(recent) * members / share.holders
        return share.burst - min(sent, window_s * share.per_s)

    def may_call(self, target: RosterTarget, now_s: float) -> bool:
        """Count a call to a target outside of callers' requests, or return False."""
        per_s = self.limit(target.start, now_s)
        if per_s is None:
            return True
        cold = self._cold_targets is not None and self._cold_targets.rule(target.start, now_s)
        burst = COLD_OWN_CALLS_BURST if cold else OWN_CALLS_BURST
        bucket = self._own_calls.get(target.start)
        if bucket is None:
            bucket = self._own_calls[target.start] = _Bucket(burst, now_s)
        bucket.refill(OWN_CALLS_FRACTION * max(MIN_PER_S, per_s), burst, now_s)
        if bucket.level < 1.0:
            return False
        bucket.take()
        return True

    def reject(self, targets: list[RosterTarget], urgency: int, now_s: float) -> Rejection | None:
        """Return how to reject a call if limits leave no target of its service for it.

        The retry time is when the permitted rate has room for the call after those that were
        refused before it and are as urgent.
        """
        if not targets or self.with_room(targets, urgency, now_s):
            return None
        service = targets[0].registration.service
        self._refused_at_s[service, urgency] = now_s
        limits = [self.limit(target.start, now_s) or 0.0 for target in targets]
        members = len(self._shares.members(now_s))
        interval_s = members / max(MIN_PER_S, sum(limits))
        ahead = [
            until_s
            for (name, booked), until_s in self._booked_until_s.items()
            if name == service and booked <= urgency
        ]
        until_s = min(max([now_s, *ahead]) + interval_s, now_s + RETRY_MAX_S)
        self._booked_until_s[service, urgency] = until_s
        age_s = self._shares.age_s(now_s)
        cold = sum(self.keeps_cold(target, urgency, now_s) for target in targets)
        inputs: LogFields = (
            ("limited", len(targets)),
            ("limits_per_s", round(sum(limits), 3)),
            ("members", members),
            ("members_age_s", -1.0 if math.isinf(age_s) else round(age_s, 3)),
        )
        inputs = (*inputs, ("cold", cold)) if cold else inputs
        code = "targets_cold" if cold else ""
        return Rejection(max(RETRY_MIN_S, until_s - now_s), inputs, code)

    def expire(self, registered: Callable[[], Container[TargetStart]], now_s: float) -> None:
        """Drop what no longer has an effect, once in ``EXPIRY_INTERVAL_S``."""
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
        if self._rates.any_known:
            self._rates.expire(registered(), now_s)
        for start in [item for item in self._own_calls if self.limit(item, now_s) is None]:
            del self._own_calls[start]
        for start, kind in list(self._buckets):
            if all(limit.kind is not kind for limit in self._limits(start, now_s)):
                del self._buckets[start, kind]
        for start in list(self._sent_at_s):
            if not self._recent_sends(start, now_s):
                del self._sent_at_s[start]
