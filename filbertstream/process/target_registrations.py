"""Applies the registrations of targets to the roster and the cache index."""

from filbertstream.actions import Log
from filbertstream.gateway_events import TargetObserved, TargetsListed
from filbertstream.log_events import LogEvent
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.roster import Roster
from filbertstream.process.target_registration import TargetRegistration


class TargetRegistrations:
    """Follows the registrations of targets, and logs which join and leave."""

    def __init__(self, roster: Roster, index: CacheIndex) -> None:
        self._roster = roster
        self._index = index

    def on_listed(self, event: TargetsListed, now_s: float) -> list[Log]:
        """Apply a full listing."""
        for registration in event.registrations:
            self._apply(registration, now_s)
        missing = self._roster.replace_all(event.registrations, now_s)
        return [_leaving(name, "missing") for name in missing]

    def on_target(self, event: TargetObserved, now_s: float) -> list[Log]:
        """Apply the change of one registration."""
        if event.registration is not None and not event.removed:
            return self._apply(event.registration, now_s)
        self._roster.remove(event.target_id, now_s)
        if event.target_id not in self._roster.targets:
            self._index.forget(event.target_id)
        return [_leaving(event.target_id, "removed" if event.removed else "unreadable")]

    def _apply(self, registration: TargetRegistration, now_s: float) -> list[Log]:
        previous = self._roster.targets.get(registration.target_id)
        if previous is not None and previous.registration.started_ms != registration.started_ms:
            self._index.forget(registration.target_id)
        was_draining = previous is not None and previous.registration.draining
        self._roster.put(registration, now_s)
        if previous is None:
            fields = (("target", registration.target_id), ("service", registration.service))
            return [Log(LogEvent.TARGET_JOINED, fields)]
        if registration.draining and not was_draining:
            return [_leaving(registration.target_id, "draining")]
        return []

    def tick(self, now_s: float) -> list[Log]:
        """Drop targets whose removal is no longer held back."""
        gone = self._roster.tick(now_s)
        for name in gone:
            self._index.forget(name)
        return [_leaving(name, "gone") for name in gone]


def _leaving(name: str, state: str) -> Log:
    return Log(LogEvent.TARGET_LEAVING, (("target", name), ("state", state)))
