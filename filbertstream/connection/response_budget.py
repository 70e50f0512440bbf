"""Bounds what a response makes this process hold.

Load pattern handled: a target in trouble sends bytes without end, in any part of a response and on
many connections at once.  ``FramingBudget`` bounds the bytes of one response that are no body of
it, wherever they come: in a head, in an interim response, between chunks or behind the last one.
``BufferBudget`` bounds the buffered bodies of all responses together, at the cost of the largest.
"""

from typing import Final

HEAD_LIMIT_BYTES: Final = 65_536
"""Limit on consecutive bytes that are no body; targets send only a few headers."""

SKIPPED_LIMIT_BYTES: Final = 1_000_000
"""The same limit where another request's late response comes first, which may have a full body."""


class FramingBudget:
    """The bytes of one response that have arrived since the last byte of its body.

    >>> budget = FramingBudget()
    >>> budget.add(60_000); budget.exceeded
    False
    >>> budget.note_body(); budget.add(60_000); budget.exceeded
    False
    >>> budget.add(60_000); budget.exceeded
    True
    """

    def __init__(self) -> None:
        self._bytes = 0
        self._limit_bytes = HEAD_LIMIT_BYTES

    @property
    def exceeded(self) -> bool:
        """Whether the response must be abandoned."""
        return self._bytes > self._limit_bytes

    def add(self, size: int) -> None:
        """Count bytes that have arrived."""
        self._bytes += size

    def note_body(self) -> None:
        """Start anew: what has arrived includes a part of the body, which its receiver bounds."""
        self._bytes = 0

    def note_skipped(self) -> None:
        """Allow for the body of another request's response."""
        self._limit_bytes = SKIPPED_LIMIT_BYTES
