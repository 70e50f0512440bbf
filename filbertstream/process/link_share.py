"""Limits what messages of one purpose take of a VM's link.

Load pattern handled: a relay sends hundreds of kilobytes a second to its followers.  They share the
link of its VM with requests, responses and the ends of connections, which would all wait behind
them.  Without I/O.
"""

from typing import Final

BYTES_PER_S_PER_MBPS: Final = 125_000

BURST_S: Final = 0.05
"""Time without messages that may be made up for: two ticks."""


class LinkShare:
    """A fraction of a link's bandwidth; ``link_mbps`` is 0 if it is unknown, without a limit then.

    A message of any size may be sent while there is room; the next ones wait until it has fitted.

    >>> share = LinkShare(link_mbps=10.0, fraction=0.2)
    >>> share.take(50_000, now_s=100.0)
    >>> share.has_room(now_s=100.1), share.has_room(now_s=100.2)
    (False, True)
    """

    def __init__(self, link_mbps: float = 0.0, fraction: float = 1.0) -> None:
        self._bytes_per_s = fraction * link_mbps * BYTES_PER_S_PER_MBPS
        self._free_at_s = float("-inf")

    @property
    def limited(self) -> bool:
        """Whether there is a limit."""
        return self._bytes_per_s > 0

    def has_room(self, now_s: float) -> bool:
        """Whether a message may be sent."""
        return now_s >= self._free_at_s

    def fits(self, size: int, seconds: float) -> float:
        """Return which part of ``size`` bytes can be sent in a time, 1 for all of them."""
        if not self.limited or not size:
            return 1.0
        return min(1.0, seconds * self._bytes_per_s / size)

    def take(self, size: int, now_s: float) -> None:
        """Record a message of ``size`` bytes."""
        if self.limited:
            begun_s = max(self._free_at_s, now_s - BURST_S)
            self._free_at_s = begun_s + size / self._bytes_per_s
