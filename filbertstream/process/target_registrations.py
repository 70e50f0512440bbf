"""Applies the registrations of targets to the roster and the cache index."""

from collections.abc import Callable

from filbertstream.actions import Log
from filbertstream.gateway_events import TargetObserved, TargetsListed
from filbertstream.log_events import LogEvent
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.roster import Roster
from filbertstream.process.target_registration import TargetRegistration, TargetStart

OnGone = Callable[[TargetStart, float], list[Log]]
"""Called with a start of a target that is no longer registered."""


class TargetRegistrations:
    """Follows the registrations of targets, and logs which join and leave."""

    def __init__(self, roster: Roster, index: CacheIndex, on_gone: OnGone) -> None:
        self._roster = roster
        self._index = index
        self._on_gone = on_gone

    def on_listed(self, event: TargetsListed, now_s: float) -> list[Log]:
        """Apply a full listing."""
        logs: list[Log] = []
        for registration in event.registrations:
            logs += self._note_restart(registration, now_s)
            self._apply(registration, now_s)
        starts = {name: target.start for name, target in self._roster.targets.items()}
        missing = self._roster.replace_all(event.registrations, now_s)
        for name in missing:
            logs += [_leaving(name, "missing"), *self._if_gone(name, starts[name], now_s)]
        return logs

    def on_target(self, event: TargetObserved, now_s: float) -> list[Log]:
        """Apply the change of one registration."""
        if event.registration is not None and not event.removed:
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
        return [] if name in self._roster.targets else self._on_gone(start, now_s)

    def _apply(self, registration: TargetRegistration, now_s: float) -> list[Log]:
        previous = self._roster.targets.get(registration.target_id)
        was_draining = previous is not None and previous.registration.draining
        self._roster.put(registration, now_s)
        if previous is None:
            fields = (("target", registration.target_id), ("service", registration.service))
            return [Log(LogEvent.TARGET_JOINED, fields)]
        if registration.draining and not was_draining:
            return [_leaving(registration.target_id, "draining")]
        return []

    def _note_restart(self, registration: TargetRegistration, now_s: float) -> list[Log]:
        previous = self._roster.targets.get(registration.target_id)
        if previous is None or previous.start == registration.start:
            return []
        self._index.forget(registration.target_id)
        return self._on_gone(previous.start, now_s)

    def tick(self, now_s: float) -> list[Log]:
        """Drop targets whose removal is no longer held back."""
        gone = self._roster.tick(now_s)
        for name in gone:
            self._index.forget(name)
        return [_leaving(name, "gone") for name in gone]


def _leaving(name: str, state: str) -> Log:
    return Log(LogEvent.TARGET_LEAVING, (("target", name), ("state", state)))
