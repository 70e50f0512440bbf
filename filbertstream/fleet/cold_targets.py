"""Targets that have just started or come back, and how many requests they may get.

A cold target tolerates ``cold_per_s`` requests a second for ``cold_start_s``.  In any second all
entries together may send it ``cold_per_s * cold_over + cold_slack``.

Load patterns and faults handled:

- A new target is the least loaded one, and all entries see it at the same moment.  A few entries
  hold shares of its limit (``process.rate_shares``), so the sum holds whatever messages are lost.
- A target restarts under its id.  Broken and refused connections are the first sign of it; an entry
  without a sign learns of it from the registration.
- A target that may have restarted stays down for longer than its cold time, and no registration
  tells of its return.  Its slow start begins only a cold time after it has responded again.
- One response breaks off and its target goes on.  The next response to a request from before that
  refutes the sign, so that callers aren't rejected for it.
- A target closes idle connections after a short time that it doesn't name.  Once a registration has
  refuted that such an end was a restart, this sign of that target no longer counts.
- The registrations of targets and their removal arrive late.  What is left of the cold time counts
  from the observation, and a registration refutes a sign only if it was refreshed well after it.
- At the end of the cold time all entries see the same idle target.  Its limit then rises over
  another ``cold_start_s`` (slow start), and every entry holds an equal share of it.
- A target names a cold time that is too long or negative: it is at most ``cold_start_s``.
"""

import math
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent
from filbertstream.process.counters import Counters
from filbertstream.process.deployment import Address, Bounds
from filbertstream.process.rate_shares import MIN_PER_S, Split
from filbertstream.process.target_registration import TargetRegistration, TargetStart
from filbertstream.version.routes import Service

HOLDERS_FRACTION: Final = 0.55
"""The fraction of the bound that holders with current views may use in a second."""

OLD_VIEW_FRACTION: Final = 0.25
"""The fraction of the bound for holders that have old views and hear of no current peer.

The rest is for calls of the leader of roll-outs and for entries that don't know yet that the target
is cold.
"""

SPACING: Final = 0.95
"""A holder that may send n requests in a second sends fewer than n on average, so that a burst of
one request and the rate never add up to n + 1."""

SPREAD_FRACTION: Final = 0.8
"""The fraction of the highest rate that is enough for a larger number of holders: entries without
a share can't use a cold target at all."""

RAMP_STEPS: Final = 32
"""Steps in which the limit rises during the slow start."""

RAMP_BEGINS: Final = 1e-6
"""Phase of a slow start whose limit does not rise yet."""

REFUTE_AFTER_S: Final = 0.15
"""Responses that arrive sooner after a broken connection may have been on their way before it."""

LATE_REGISTRATION_S: Final = 2.0
"""Age of a sign up to which a registration may have been made before it: the refresh interval of
registrations and the age of a relayed view of them."""

EVACUATION: Final = "evacuation"
IDLE_CLOSED: Final = "idle_closed"
UNREACHABLE: Final = "unreachable"

MAX_COLD_S: Final = 60.0
"""Longest cold time while the service of a target is not known."""

TICK_INTERVAL_S: Final = 0.2


class IdleConnectionLost(NamedTuple):
    """A target closed the last of the idle connections to it that could still be used."""

    address: Address


@lru_cache(maxsize=1024)
def _split(per_s: float, budget: int, members: int) -> Split:
    """Return shares that send at most ``budget`` requests in any second, at up to ``per_s``.

    The number of holders is the largest that allows nearly the highest rate.
    """
    splits = []
    for holders in range(1, min(members, budget) + 1):
        in_a_second = budget // holders
        each_per_s = min(per_s / holders, SPACING * in_a_second)
        burst = in_a_second - math.floor(each_per_s)
        splits.append(Split(holders, each_per_s * holders, float(burst * holders)))
    enough_per_s = SPREAD_FRACTION * max(split.per_s for split in splits)
    return [split for split in splits if split.per_s >= enough_per_s][-1]


class ColdRate(NamedTuple):
    """The limit of a cold target; ``allowed`` requests may be sent to it in any second."""

    per_s: float
    allowed: float

    @property
    def substitutes_after_s(self) -> float:
        """The cold time is over before a holder could be known to be dead."""
        return math.inf

    @property
    def needs_settled_view(self) -> bool:
        """Whether an entry uses its share only once no other entry can use the same one."""
        return True

    def split(self, members: int, current: bool) -> Split:
        """Return the shares of holders with current or with old views."""
        fraction = HOLDERS_FRACTION if current else OLD_VIEW_FRACTION
        return _split(self.per_s, max(1, int(fraction * self.allowed)), members)


class RampRate(NamedTuple):
    """The limit of a target whose cold time has ended: an equal share for every entry."""

    per_s: float

    @property
    def substitutes_after_s(self) -> float:
        """Every entry holds a share, so none substitutes for another one."""
        return math.inf

    @property
    def needs_settled_view(self) -> bool:
        """An estimate of the number of entries is enough, since the strict bound has ended."""
        return False

    def split(self, members: int, current: bool) -> Split:
        """Return equal shares, with a burst of one request each."""
        return Split(members, self.per_s, float(members))


def _same_refresh(known: TargetRegistration, found: TargetRegistration) -> bool:
    return (known.refreshes, known.warmup_left_s) == (found.refreshes, found.warmup_left_s)


@dataclass
class _Cold:
    """Why and until when a target is cold.

    ``sign_at_s`` is the first sign that it restarted.  With ``is_down`` it is not known to run
    again since then.
    """

    reason: str
    since_s: float
    until_s: float
    ramp_from_s: float
    sign_at_s: float | None = None
    is_down: bool = False
    is_logged_as_warm: bool = False


class ColdTargets:
    """The targets that are cold or in their slow start."""

    def __init__(
        self,
        bounds: Bounds,
        services: Callable[[], Mapping[str, Service]],
        counters: Counters,
    ) -> None:
        self._bounds = bounds
        self._services = services
        self._counters = counters
        self._registrations: dict[str, TargetRegistration] = {}
        self._states: dict[TargetStart, _Cold] = {}
        self._closes_idle: set[TargetStart] = set()
        self._next_tick_s = float("-inf")

    def set_bounds(self, bounds: Bounds) -> None:
        """Change the bounds from now on."""
        self._bounds = bounds

    @property
    def _enabled(self) -> bool:
        return self._bounds.cold_over is not None

    @property
    def any_known(self) -> bool:
        """Whether any target is cold or in its slow start."""
        return self._enabled and bool(self._states)

    def cold(self, now_s: float) -> int:
        """Return how many targets are cold now."""
        return sum(self._phase(start, now_s) == 0.0 for start in self._states)

    def limit(self, start: TargetStart, now_s: float) -> float | None:
        """Return the requests a second that all entries may send to a target, None if warm."""
        rule = self.rule(start, now_s)
        return None if rule is None else rule.per_s

    def rule(self, start: TargetStart, now_s: float) -> ColdRate | RampRate | None:
        """Return the limit on the requests to a target, None if it is warm."""
        if start not in self._states:
            return None
        service = self._service(start)
        phase = self._phase(start, now_s)
        if service is None or phase is None:
            return None
        per_s = max(MIN_PER_S, service.cold_per_s)
        if phase == 0.0:
            over = self._bounds.cold_over or 0.0
            return ColdRate(per_s, service.cold_per_s * over + self._bounds.cold_slack)
        return RampRate(per_s / (1.0 - math.floor(phase * RAMP_STEPS) / RAMP_STEPS))

    def _service(self, start: TargetStart) -> Service | None:
        """Return the service of a target if its targets can be cold."""
        registration = self._registrations.get(start.target_id)
        if registration is None or not self._enabled:
            return None
        service = self._services().get(registration.service)
        if service is None or service.cold_per_s <= 0.0 or service.cold_start_s <= 0.0:
            return None
        return service

    def _phase(self, start: TargetStart, now_s: float) -> float | None:
        """Return how much of the slow start is over: 0 while cold, None if warm."""
        state = self._states.get(start)
        service = None if state is None else self._service(start)
        if state is None or service is None:
            return None
        if now_s < state.until_s:
            return 0.0
        if state.is_down:
            return RAMP_BEGINS
        phase = max(RAMP_BEGINS, (now_s - state.ramp_from_s) / service.cold_start_s)
        return phase if phase < 1.0 else None

    def note_registration(self, registration: TargetRegistration, now_s: float) -> list[Log]:
        """Record a registration that was made or refreshed; it may be old when it gets here."""
        if not self._enabled:
            return []
        start = registration.start
        known = self._registrations.get(registration.target_id)
        self._registrations[registration.target_id] = registration
        if known is not None and known.start != start:
            self._states.pop(known.start, None)
        elif known is not None and _same_refresh(known, registration):
            # A listing repeats the registration; what it says was counted when it was new.
            return []
        return self._note_left(start, registration.warmup_left_s, "registration", now_s)

    def note_cold(self, start: TargetStart, left_s: float, now_s: float) -> list[Log]:
        """Record the cold time that a response names."""
        return self._note_left(start, left_s, "response", now_s)

    def _note_left(self, start: TargetStart, left_s: float, source: str, now_s: float) -> list[Log]:
        """Record a cold time; it doesn't shorten that of a sign which may be the newer one."""
        left_s = min(max(0.0, left_s), self._longest_s(start))
        state = self._states.get(start)
        is_over = state is not None and now_s >= state.until_s and not state.is_down
        if state is None or is_over:
            return self._begin(start, left_s, source, now_s) if left_s > 0.0 else []
        if state.sign_at_s is None:
            state.until_s = state.ramp_from_s = min(state.until_s, now_s + left_s)
            return []
        if now_s - state.sign_at_s < LATE_REGISTRATION_S:
            state.until_s = state.ramp_from_s = max(state.until_s, now_s + left_s)
            return []
        if left_s > 0.0:
            state.until_s = state.ramp_from_s = now_s + left_s
            state.sign_at_s, state.is_down = None, False
            return []
        # The same start is registered long after the sign.
        return self._refute(start, state, now_s)

    def _refute(self, start: TargetStart, state: _Cold, now_s: float) -> list[Log]:
        """Drop a sign: the target has not restarted, so there is no slow start either."""
        del self._states[start]
        if state.reason == IDLE_CLOSED:
            self._closes_idle.add(start)
        return [] if state.is_logged_as_warm else [self._warm(start, state, "refuted", now_s)]

    def _longest_s(self, start: TargetStart) -> float:
        service = self._service(start)
        return MAX_COLD_S if service is None else service.cold_start_s

    def note_failure(self, start: TargetStart, now_s: float, refused: bool = False) -> list[Log]:
        """Record that a connection to a target broke, or with ``refused`` that none opened.

        A refusal shows that no process runs there now, so a later one will be cold for the whole
        time.  Several calls break at once, so of broken connections the first one counts.
        """
        registration = self._registrations.get(start.target_id)
        if not self._enabled or registration is None or registration.start != start:
            return []
        return self._note_sign(start, UNREACHABLE if refused else "broken", now_s, refused)

    def on_connection_lost(self, event: IdleConnectionLost, now_s: float) -> list[Log]:
        """Record that the target at an address closed the last idle connection to it."""
        for registration in self._registrations.values() if self._enabled else ():
            start = registration.start
            if registration.address == event.address and start not in self._closes_idle:
                return self._note_sign(start, IDLE_CLOSED, now_s, extends=False)
        return []

    def note_response(self, start: TargetStart, sent_at_s: float, now_s: float) -> list[Log]:
        """Record that a target responds.

        The response to a request from before a broken connection shows that the target has not
        restarted.  One to a later request may be from a target that has.
        """
        state = self._states.get(start)
        if state is None or state.sign_at_s is None or not state.is_down:
            return []
        if sent_at_s > state.sign_at_s:
            state.is_down = False
            state.ramp_from_s = max(state.until_s, now_s + self._longest_s(start))
            return []
        # A target that was known to be cold before the sign still is.
        is_only_sign = state.since_s == state.sign_at_s and state.reason != UNREACHABLE
        if is_only_sign and now_s - state.sign_at_s > REFUTE_AFTER_S:
            return self._refute(start, state, now_s)
        return []

    def note_evacuation_ended(self, data_center: str, now_s: float) -> list[Log]:
        """Record that calls may go to the targets of a data center again."""
        if not self._enabled:
            return []
        logs: list[Log] = []
        for registration in self._registrations.values():
            if registration.data_center == data_center:
                logs += self._note_sign(registration.start, EVACUATION, now_s, True)
        return logs

    def _note_sign(self, start: TargetStart, reason: str, now_s: float, extends: bool) -> list[Log]:
        service = self._service(start)
        if service is None:
            return []
        state = self._states.get(start)
        logs: list[Log] = []
        if state is None or now_s >= state.until_s:
            logs = self._begin(start, service.cold_start_s, reason, now_s)
            state = self._states[start]
        if extends or state.sign_at_s is None:
            state.until_s = max(state.until_s, now_s + service.cold_start_s)
            state.ramp_from_s, state.reason = state.until_s, reason
            state.sign_at_s, state.is_down = now_s, reason != EVACUATION
        return logs

    def _begin(self, start: TargetStart, left_s: float, reason: str, now_s: float) -> list[Log]:
        self._states[start] = _Cold(reason, now_s, now_s + left_s, now_s + left_s)
        if self._service(start) is None:
            return []
        self._counters.add("targets_cold", reason)
        fields = (("target", start.target_id), ("reason", reason), ("left_s", round(left_s, 3)))
        return [Log(LogEvent.TARGET_COLD, fields)]

    @staticmethod
    def _warm(start: TargetStart, state: _Cold, reason: str, now_s: float) -> Log:
        seconds = round(now_s - state.since_s, 3)
        fields = (("target", start.target_id), ("reason", reason), ("seconds", seconds))
        return Log(LogEvent.TARGET_WARM, fields)

    def tick(self, registered: Callable[[], Container[TargetStart]], now_s: float) -> list[Log]:
        """Return the lines of cold times that have ended, and drop what has no effect any more."""
        if now_s < self._next_tick_s or not self._registrations:
            return []
        self._next_tick_s = now_s + TICK_INTERVAL_S
        starts = registered()
        logs: list[Log] = []
        for start, state in list(self._states.items()):
            if now_s >= state.until_s and not state.is_logged_as_warm:
                state.is_logged_as_warm = True
                if self._service(start) is not None:
                    logs.append(self._warm(start, state, "ended", now_s))
            if self._phase(start, now_s) is None and now_s >= state.until_s:
                del self._states[start]
        for item in [item for item in self._registrations.values() if item.start not in starts]:
            del self._registrations[item.target_id]
            self._states.pop(item.start, None)
        self._closes_idle &= {item.start for item in self._registrations.values()}
        return logs
