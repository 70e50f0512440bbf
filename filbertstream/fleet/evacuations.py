"""The evacuated data centers: their targets get no requests, probes, weight orders or fetches.

An operator evacuates a data center by an object of its name in the object store, and ends the
evacuation by removing the object.  The state is in the object store alone; every entry follows it,
in a large fleet through relays, and keeps what it last knew while it can't read it.

Failures handled: an entry that starts sends nothing until it has a listing; one that was suspended
sends nothing on a view that is too old for the bound, until it is confirmed or the object store
turns out not to respond; after a restore of the object store from an older copy, an evacuation that
has disappeared is kept until operators have written it again.

>>> evacuations = Evacuations(5.0)
>>> evacuations.is_unknown(0.0)
True
>>> _ = evacuations.on_listed(EvacuationsListed(frozenset({"dc1"}), 0.0), 0.1)
>>> (evacuations.is_unknown(0.2), evacuations.is_evacuated("dc1"), evacuations.is_evacuated("dc2"))
(False, True, False)
>>> _ = evacuations.clear("dc1", 9.0)
>>> (evacuations.is_evacuated("dc1"), evacuations.ended_at_s("dc1"))
(False, 9.0)
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent
from filbertstream.process.store_recovery import SETTLE_S

MARGIN_FRACTION: Final = 1 / 3
"""The fraction of the bound that detection leaves for sends under way and for a busy VM."""

RESUME_WAIT_S: Final = 2.0
"""Time after a suspension for which an entry waits for a confirmation: a watch and a listing.  One
that can't reach the object store goes on with what it knew."""

ENDED_KEPT_S: Final = 60.0
"""Time for which the end of an evacuation is remembered; targets are cold for a few seconds."""


class EvacuationsListed(NamedTuple):
    """The evacuated data centers, complete as of the time when the request was sent."""

    data_centers: frozenset[str]
    sent_at_s: float


class EvacuationObserved(NamedTuple):
    """A data center's evacuation was written, or removed."""

    data_center: str
    removed: bool


class EvacuationsConfirmed(NamedTuple):
    """The known evacuations were the current ones when a request was sent."""

    sent_at_s: float


class Evacuations:
    """The evacuated data centers; ``bound_s`` is None where the kind is not watched.

    ``on_ended`` is called with the data center and the time when an evacuation ends.
    """

    def __init__(self, bound_s: float | None = None) -> None:
        self._bound_s = bound_s
        self._listed = bound_s is None
        self._since_s: dict[str, float] = {}
        self._ended_at_s: dict[str, float] = {}
        self._disappeared: set[str] = set()
        self._kept_until_s = float("-inf")
        self._confirmed_at_s = float("-inf")
        self._active_at_s: float | None = None
        self._resumed_at_s = float("-inf")
        self.recovered = True
        self.on_ended: Callable[[str, float], list[Log]] = lambda data_center, now_s: []

    @property
    def watched(self) -> bool:
        """Whether this deployment has evacuations."""
        return self._bound_s is not None

    @property
    def listed(self) -> bool:
        """Whether the evacuations are known, or this deployment has none."""
        return self._listed

    @property
    def data_centers(self) -> tuple[str, ...]:
        """The evacuated data centers."""
        return tuple(self._since_s)

    def is_evacuated(self, data_center: str) -> bool:
        """Whether the targets of a data center get nothing."""
        return data_center in self._since_s

    def ended_at_s(self, data_center: str) -> float | None:
        """Return when the last evacuation of a data center ended, or None."""
        return self._ended_at_s.get(data_center)

    def is_unknown(self, now_s: float) -> bool:
        """Whether this entry must not send, since it may not know the evacuations in force."""
        if self._bound_s is None:
            return False
        if not self._listed:
            return True
        self._note_active(self._bound_s, now_s)
        if now_s - self._resumed_at_s >= RESUME_WAIT_S:
            return False
        return now_s - self._confirmed_at_s >= (1.0 - MARGIN_FRACTION) * self._bound_s

    def _note_active(self, bound_s: float, now_s: float) -> None:
        """Note that the process runs; a gap as long as the margin shows that it was suspended."""
        active_at_s, self._active_at_s = self._active_at_s, now_s
        if active_at_s is not None and now_s - active_at_s >= MARGIN_FRACTION * bound_s:
            self._resumed_at_s = now_s

    def set(self, data_center: str, now_s: float) -> list[Log]:
        """Begin the evacuation of a data center."""
        self._disappeared.discard(data_center)
        if data_center in self._since_s:
            return []
        self._since_s[data_center] = now_s
        self._ended_at_s.pop(data_center, None)
        return [Log(LogEvent.EVACUATION_BEGAN, (("data_center", data_center),))]

    def clear(self, data_center: str, now_s: float) -> list[Log]:
        """End the evacuation of a data center."""
        self._disappeared.discard(data_center)
        since_s = self._since_s.pop(data_center, None)
        if since_s is None:
            return []
        self._ended_at_s[data_center] = now_s
        fields = (("data_center", data_center), ("seconds", round(now_s - since_s, 3)))
        ended = Log(LogEvent.EVACUATION_ENDED, fields)
        return [ended, *self.on_ended(data_center, now_s)]

    def handlers(self) -> dict[type, Callable[[Any, float], list[Any]]]:
        """Return the handlers by the type of event."""
        return {
            EvacuationsListed: self.on_listed,
            EvacuationObserved: self.on_observed,
            EvacuationsConfirmed: self.on_confirmed,
        }

    def on_listed(self, event: EvacuationsListed, now_s: float) -> list[Log]:
        """Apply a full listing, the first one or that of a restored object store."""
        self._listed = True
        self._confirm(event.sent_at_s)
        logs = [log for name in sorted(event.data_centers) for log in self.set(name, now_s)]
        missing = [name for name in self._since_s if name not in event.data_centers]
        if now_s < self._kept_until_s:
            self._disappeared.update(missing)
            return logs
        return [*logs, *(log for name in missing for log in self.clear(name, now_s))]

    def on_observed(self, event: EvacuationObserved, now_s: float) -> list[Log]:
        """Apply the write or the removal of an evacuation."""
        return (self.clear if event.removed else self.set)(event.data_center, now_s)

    def on_confirmed(self, event: EvacuationsConfirmed, now_s: float) -> list[Log]:
        """Note that nothing else has changed up to a time."""
        self._confirm(event.sent_at_s)
        return []

    def _confirm(self, sent_at_s: float) -> None:
        self._confirmed_at_s = max(self._confirmed_at_s, sent_at_s)

    def on_restored(self, epoch: int, now_s: float) -> None:
        """Keep the evacuations that the copy lacks until operators have written them again."""
        self._kept_until_s = now_s + SETTLE_S

    def tick(self, now_s: float) -> list[Log]:
        """End the evacuations that were not written again after a restore, and forget old ends."""
        if self._bound_s is None:
            return []
        self._note_active(self._bound_s, now_s)
        if self._ended_at_s:
            ended = self._ended_at_s.items()
            self._ended_at_s = {name: at_s for name, at_s in ended if now_s - at_s < ENDED_KEPT_S}
        if not self._disappeared or now_s < self._kept_until_s:
            return []
        return [log for name in sorted(self._disappeared) for log in self.clear(name, now_s)]
