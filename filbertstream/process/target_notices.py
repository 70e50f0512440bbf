"""What targets say of themselves in responses: that they leave, or that they want a pause.

Load patterns and faults handled: a target without capacity that names the time for which it wants
no calls, several such responses that overtake each other, a target that leaves and is still
registered as ready, and registrations that expire during an outage of the object store.  A notice
binds the start of a target that gave it, whatever is registered meanwhile, and a later start gets
calls at once.

>>> notices = TargetNotices()
>>> start = TargetStart("t", 1)
>>> _ = notices.note(start, TargetNotice(pause_s=3.0), 10.0)
>>> _ = notices.note(start, TargetNotice(pause_s=1.0), 10.5)
>>> [notices.admits(start, now_s) for now_s in (12.9, 13.0)]
[False, True]
>>> notices.admits(TargetStart("t", 2), 11.0)
True
"""

from collections.abc import Callable, Container
from typing import Final

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.call import TargetNotice

MAX_PAUSE_S: Final = 3_600.0
"""Longest pause that a target can name; a longer one costs that target its calls for good."""

UNREGISTERED_KEPT_S: Final = 60.0
"""Time for which it is kept that a target without a registration leaves, since registrations expire
during outages of the object store."""

EXPIRY_INTERVAL_S: Final = 1.0


class TargetNotices:
    """The notices of all targets, by start."""

    def __init__(self) -> None:
        self._paused_until_s: dict[TargetStart, float] = {}
        self._leaving_at_s: dict[TargetStart, float] = {}
        self._next_expiry_s = float("-inf")

    def note(self, start: TargetStart, notice: TargetNotice, now_s: float) -> list[Log]:
        """Record the notice in a response; a later one never shortens a pause."""
        logs = []
        if notice.pause_s is not None:
            logs = self._note_pause(start, min(notice.pause_s, MAX_PAUSE_S), now_s)
        if notice.leaving:
            if start not in self._leaving_at_s:
                fields = (("target", start.target_id), ("state", "response"))
                logs.append(Log(LogEvent.TARGET_LEAVING, fields))
            self._leaving_at_s[start] = now_s
        return logs

    def _note_pause(self, start: TargetStart, pause_s: float, now_s: float) -> list[Log]:
        was_paused = self.paused_until_s(start, now_s) > now_s
        until_s = max(self._paused_until_s.get(start, 0.0), now_s + pause_s)
        self._paused_until_s[start] = until_s
        if was_paused:
            return []
        fields = (("target", start.target_id), ("pause_s", round(pause_s, 3)))
        return [Log(LogEvent.TARGET_PAUSED, fields)]

    def paused_until_s(self, start: TargetStart, now_s: float) -> float:
        """Return when the pause of a target ends, or ``now_s`` without a pause."""
        return max(now_s, self._paused_until_s.get(start, now_s))

    def is_leaving(self, start: TargetStart) -> bool:
        """Whether a target has said that it leaves."""
        return start in self._leaving_at_s

    def admits(self, start: TargetStart, now_s: float) -> bool:
        """Whether a target may get anything now, as far as its notices say."""
        return not self.is_leaving(start) and self.paused_until_s(start, now_s) <= now_s

    @property
    def any_paused(self) -> bool:
        """Whether any target has named a pause that may not be over."""
        return bool(self._paused_until_s)

    def paused(self, now_s: float) -> int:
        """Return how many targets are paused."""
        return sum(until_s > now_s for until_s in self._paused_until_s.values())

    def expire(self, registered: Callable[[], Container[TargetStart]], now_s: float) -> None:
        """Drop pauses that are over, and targets that have left, once in ``EXPIRY_INTERVAL_S``."""
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
        starts = registered() if self._leaving_at_s else ()
        self._paused_until_s = {
            start: until_s for start, until_s in self._paused_until_s.items() if until_s > now_s
        }
        self._leaving_at_s = {
            start: at_s
            for start, at_s in self._leaving_at_s.items()
            if start in starts or now_s - at_s < UNREGISTERED_KEPT_S
        }
