"""Applies the registrations of targets to the roster and the cache index.

After a restore of the object store, targets that were leaving or gone may be listed as ready again.
Draining is final for a start of a target, and one that is gone is dead or will renew its
registration, so such a listing counts only when the target itself has changed it.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Final

from filbertstream.actions import Log
from filbertstream.gateway_events import TargetObserved, TargetsListed
from filbertstream.log_events import LogEvent
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.roster import REREGISTRATION_S, Roster
from filbertstream.process.target_registration import TargetRegistration, TargetStart

GONE_KEPT_S: Final = 60.0
"""Time for which a target that is gone is remembered; copies of the object store are younger."""

MAX_GONE: Final = 512

COPY_EXPIRES_S: Final = 6.0
"""Time after a restore within which registrations of dead targets have expired again."""

OnGone = Callable[[TargetStart, float], list[Log]]
"""Called with a start of a target that is no longer registered."""

OnRegistered = Callable[[TargetRegistration, float], list[Log]]
"""Called with each registration that was made or refreshed."""


class TargetRegistrations:
    """Follows the registrations of targets, and logs which join and leave."""

    def __init__(
        self, roster: Roster, index: CacheIndex, on_gone: OnGone, on_registered: OnRegistered
    ) -> None:
        self._roster = roster
        self._index = index
        self._on_gone = on_gone
        self._on_registered = on_registered
        self._gone_at_s: OrderedDict[TargetStart, float] = OrderedDict()
        self._leaving: set[TargetStart] = set()
        self._held: dict[str, TargetRegistration] = {}
        self._held_until_s = 0.0
        self.recovered = True

    def on_restored(self, epoch: int, now_s: float) -> None:
        """Remember which targets are leaving or gone, since the copy may have them as ready."""
        self._roster.hold_removals(now_s + REREGISTRATION_S)
        targets = self._roster.targets.values()
        self._leaving |= {target.start for target in targets if target.registration.draining}
        gone = self._gone_at_s.items()
        self._leaving |= {start for start, at_s in gone if now_s - at_s < GONE_KEPT_S}
        self._held_until_s = now_s + COPY_EXPIRES_S

    def _as_leaving(self, registration: TargetRegistration) -> TargetRegistration:
        """Return a listed registration, as draining if its target was leaving or gone before."""
        if registration.draining or registration.start not in self._leaving:
            return registration
        if registration.start in self._gone_at_s:
            self._held[registration.target_id] = registration
        return registration._replace(draining=True)

    def handlers(self) -> dict[type, Callable[[Any, float], list[Any]]]:
        """Return the handlers by the type of event."""
        return {
            TargetsListed: self.on_listed,
            TargetObserved: self.on_target,
        }

    def on_listed(self, event: TargetsListed, now_s: float) -> list[Log]:
        """Apply a full listing."""
        logs: list[Log] = []
        registrations = [self._as_leaving(registration) for registration in event.registrations]
        for registration in registrations:
            logs += self._note_restart(registration, now_s)
            self._apply(registration, now_s)
        starts = {name: target.start for name, target in self._roster.targets.items()}
        missing = self._roster.replace_all(registrations, now_s)
        for name in missing:
            logs += [_leaving(name, "missing"), *self._if_gone(name, starts[name], now_s)]
        return logs

    def on_target(self, event: TargetObserved, now_s: float) -> list[Log]:
        """Apply the change of one registration."""
        self._held.pop(event.target_id, None)
        if event.registration is not None and not event.removed:
            self._leaving.discard(event.registration.start)
            self._gone_at_s.pop(event.registration.start, None)
            logs = self._note_restart(event.registration, now_s)
            return [*logs, *self._apply(event.registration, now_s)]
        known = self._roster.targets.get(event.target_id)
        self._roster.remove(event.target_id, now_s)
        if event.target_id not in self._roster.targets:
            self._index.forget(event.target_id)
        logs = [_leaving(event.target_id, "removed" if event.removed else "unreadable")]
        if known is not None and event.removed:
            logs += self._if_gone(event.target_id, known.start, now_s)
        return logs

    def _if_gone(self, name: str, start: TargetStart, now_s: float) -> list[Log]:
        """Report a start that is not registered any more, unless its removal is held back."""
        return [] if name in self._roster.targets else self._note_gone(start, now_s)

    def _note_gone(self, start: TargetStart, now_s: float) -> list[Log]:
        self._remember_gone(start, now_s)
        return self._on_gone(start, now_s)

    def _remember_gone(self, start: TargetStart, now_s: float) -> None:
        self._gone_at_s[start] = now_s
        while len(self._gone_at_s) > MAX_GONE:
            self._gone_at_s.popitem(last=False)

    def _apply(self, registration: TargetRegistration, now_s: float) -> list[Log]:
        previous = self._roster.targets.get(registration.target_id)
        was_draining = previous is not None and previous.registration.draining
        self._roster.put(registration, now_s)
        logs = self._on_registered(registration, now_s)
        if previous is None:
            fields = (("target", registration.target_id), ("service", registration.service))
            return [Log(LogEvent.TARGET_JOINED, fields), *logs]
        if registration.draining and not was_draining:
            return [_leaving(registration.target_id, "draining"), *logs]
        return logs

    def _note_restart(self, registration: TargetRegistration, now_s: float) -> list[Log]:
        previous = self._roster.targets.get(registration.target_id)
        if previous is None or previous.start == registration.start:
            return []
        self._index.forget(registration.target_id)
        return self._on_gone(previous.start, now_s)

    def tick(self, now_s: float) -> list[Log]:
        """Drop targets whose removal is no longer held back, and use those that are alive."""
        logs: list[Log] = []
        if self._held and now_s >= self._held_until_s:
            for registration in self._held.values():
                self._leaving.discard(registration.start)
                self._gone_at_s.pop(registration.start, None)
                self._roster.put(registration, now_s)
                logs += self._on_registered(registration, now_s)
            self._held.clear()
        gone = self._roster.tick(now_s)
        for start in gone:
            self._remember_gone(start, now_s)
            self._index.forget(start.target_id)
        return [*logs, *(_leaving(start.target_id, "gone") for start in gone)]


def _leaving(name: str, state: str) -> Log:
    return Log(LogEvent.TARGET_LEAVING, (("target", name), ("state", state)))
