"""Which calls are made to a store that does not answer, and how often.

Load pattern: a store that is down, or turns its callers away, before hundreds of entries that each
follow five kinds of objects.  The store counts refused calls too.  So while the first kind gets no
answer, the others wait for it after their second failure; and an entry on which nobody relies asks
seldom, since those on which it relies will tell it that the store is back.

>>> probing = ReadBackoff(("config", "servers"))
>>> for kind in ("config", "servers", "servers"): probing.failed(kind)
>>> (probing.is_deferred("servers"), probing.is_deferred("config"))
(True, False)
>>> probing.answered("config")
>>> probing.is_deferred("servers")
False
"""

from collections.abc import Iterable
from typing import Final

RETRY_S: Final = 0.15
"""Pause after a call without an answer, doubled with each further one."""

RETRY_MAX_S: Final = 0.6
"""The longest pause of an entry in a small fleet, or one on which others rely."""

RELYING_RETRY_MAX_S: Final = 2.0
"""The longest pause of an entry that relies on others."""

FAILURES: Final = 2
"""Failures in a row after which a kind waits for the first one: a single call may get lost."""


class ReadBackoff:
    """Failures in a row by kind; the first kind is the one that goes on asking."""

    def __init__(self, kinds: Iterable[str]) -> None:
        self._failures = dict.fromkeys(kinds, 0)
        self._first = next(iter(self._failures), "")

    def failed(self, kind: str) -> None:
        """Take in that a call had no answer."""
        self._failures[kind] += 1

    def answered(self, kind: str) -> None:
        """Take in that a call was answered, or that a kind is not asked about any more."""
        self._failures[kind] = 0

    def is_deferred(self, kind: str) -> bool:
        """Whether a kind is asked about only once the first one has got an answer."""
        if kind == self._first or not self._failures[self._first]:
            return False
        return self._failures[kind] >= FAILURES

    def retry_s(self, kind: str, relies: bool) -> float:
        """Return the pause before the next call; ``relies``: others would tell of the store."""
        longest_s = RELYING_RETRY_MAX_S if relies else RETRY_MAX_S
        doublings = min(10, max(0, self._failures[kind] - 1))
        return min(longest_s, RETRY_S * 2.0**doublings)
