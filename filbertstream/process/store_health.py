"""Whether the object store responds, for the log, the status page and held-back removals."""

from filbertstream.actions import Log
from filbertstream.gateway_events import ObjectStoreResult, WatchExpired
from filbertstream.log_events import LogEvent
from filbertstream.process.roster import Roster


class StoreHealth:
    """The kinds of objects whose last call failed."""

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._failed: dict[str, str] = {}

    @property
    def failed_kinds(self) -> tuple[str, ...]:
        """The kinds of objects whose last call to the object store failed."""
        return tuple(sorted(self._failed))

    def on_result(self, event: ObjectStoreResult, now_s: float) -> list[Log]:
        """Record the outcome of a call, and log when a kind is lost or back."""
        if event.ok:
            if self._failed.pop(event.kind, None) is None:
                return []
            return [Log(LogEvent.PLATFORM_BACK, (("kind", event.kind),))]
        self._roster.note_object_store_failure(now_s)
        if self._failed.get(event.kind) == event.reason:
            return []
        self._failed[event.kind] = event.reason
        return [Log(LogEvent.PLATFORM_LOST, (("kind", event.kind), ("reason", event.reason)))]

    def on_expired(self, event: WatchExpired, now_s: float) -> list[Log]:
        """Log that a kind is listed again."""
        return [
            Log(LogEvent.WATCH_EXPIRED, (("kind", event.kind), ("since", str(tuple(event.since)))))
        ]

    def tick(self, now_s: float) -> None:
        """Hold back removals of targets while calls fail."""
        if self._failed:
            self._roster.note_object_store_failure(now_s)
