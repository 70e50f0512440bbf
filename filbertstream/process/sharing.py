"""Tells the other entries what this one sends to targets, so that they don't all choose the same.

Load reports lag by a second or more; by then a small fleet has sent a runner dozens of prompts.
While the entries are few each tells the others every ``SHARE_S`` what it has sent.  In a large
fleet that would cost too much, and there each entry counts its own work for all others instead: it
sends a small part of the whole, and what the others send is like it on the average.
"""

from typing import Final

from filbertstream.messages import SentWork, WorkShare

SHARE_S: Final = 0.1
SHARING_MEMBERS_LIMIT: Final = 16
"""Up to this many members tell each other what they send."""


class Sharing:
    """What this entry has sent since its last share."""

    def __init__(self, member: str) -> None:
        self._member = member
        self._units: dict[str, float] = {}
        self._next_s = 0.0

    def spread(self, members: int) -> int:
        """Return how many times own work counts: once where the others tell theirs."""
        return 1 if members <= SHARING_MEMBERS_LIMIT else members

    def note(self, target: str, units: float) -> None:
        """Note work that was sent to a target."""
        self._units[target] = self._units.get(target, 0.0) + units

    def due(self, now_s: float, members: int) -> WorkShare | None:
        """Return what is to be told now, if anything."""
        if not self._units or now_s < self._next_s:
            return None
        self._next_s = now_s + SHARE_S
        rows = tuple(SentWork(target, units) for target, units in self._units.items())
        self._units.clear()
        return WorkShare(self._member, rows) if members <= SHARING_MEMBERS_LIMIT else None
