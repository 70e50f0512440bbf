"""Backoff of the reads of an object store that does not respond.

Load pattern handled: hundreds of entries that each follow six kinds of objects, while the object
store is down or refuses calls.  Refused calls are metered too.  So while reads of the first kind
fail, the other kinds are deferred after their second failure, or their first one if that of the
first kind was not the only one.  An entry that follows through a
relay backs off longer, since the relay will report that the object store responds again.

>>> backoff = ReadBackoff(("config", "servers"))
>>> for kind in ("config", "servers", "servers"): backoff.failed(kind)
>>> (backoff.is_deferred("servers"), backoff.is_deferred("config"))
(True, False)
>>> backoff.responded("config")
>>> backoff.is_deferred("servers")
False
"""

from collections.abc import Iterable
from typing import Final

RETRY_S: Final = 0.15
"""Pause after a failed call, doubled with each further failure."""

RETRY_MAX_S: Final = 0.6
"""Maximum pause of an entry in a small fleet, and of one on which peers rely."""

RELAYED_RETRY_MAX_S: Final = 2.0
"""Maximum pause of an entry that follows through a relay."""

DEFER_AFTER_FAILURES: Final = 2
"""Consecutive failures after which a kind is deferred; a single call may get lost."""


class ReadBackoff:
    """Consecutive failures by kind; reads of the first kind are never deferred."""

    def __init__(self, kinds: Iterable[str]) -> None:
        self._failures = dict.fromkeys(kinds, 0)
        self._first = next(iter(self._failures), "")

    def failed(self, kind: str) -> None:
        """Record a failed call."""
        self._failures[kind] += 1

    def responded(self, kind: str) -> None:
        """Record a response, or that a kind is no longer read."""
        self._failures[kind] = 0

    def is_deferred(self, kind: str) -> bool:
        """Whether reads of a kind wait until a read of the first kind succeeds."""
        if kind == self._first or not self._failures[self._first]:
            return False
        failed_again = self._failures[self._first] >= DEFER_AFTER_FAILURES
        return self._failures[kind] >= (1 if failed_again else DEFER_AFTER_FAILURES)

    def retry_s(self, kind: str, uses_relay: bool) -> float:
        """Return the pause before the next call; it may be longer for an entry with a relay."""
        longest_s = RELAYED_RETRY_MAX_S if uses_relay else RETRY_MAX_S
        doublings = min(10, max(0, self._failures[kind] - 1))
        return min(longest_s, RETRY_S * 2.0**doublings)
