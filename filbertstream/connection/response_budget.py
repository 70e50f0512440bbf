"""Bounds what a response makes this process hold.

Load pattern handled: a target in trouble sends bytes without end, in any part of a response and on
many connections at once.  ``FramingBudget`` bounds the bytes of one response that are no body of
it, wherever they come: in a head, in an interim response, between chunks or behind the last one.
``BufferBudget`` bounds the buffered bodies of all responses together, at the cost of the largest.
"""

from collections.abc import Callable
from typing import Final

HEAD_LIMIT_BYTES: Final = 65_536
"""Limit on consecutive bytes that are no body; targets send only a few headers."""

SKIPPED_LIMIT_BYTES: Final = 1_000_000
"""The same limit where another request's late response comes first, which may have a full body."""

DEFAULT_BUFFER_BYTES: Final = 32_000_000
"""Limit on all buffered bodies together; a fifth of the smallest VM's memory."""


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


class BufferBudget:
    """The buffered bodies of all responses; the largest is given up if they are too large.

    >>> given_up = []
    >>> budget = BufferBudget(limit_bytes=100)
    >>> small, large = object(), object()
    >>> budget.set(small, 30, lambda: given_up.append("small"))
    >>> budget.set(large, 80, lambda: given_up.append("large"))
    >>> given_up, budget.total_bytes
    (['large'], 30)
    """

    def __init__(self, limit_bytes: int = DEFAULT_BUFFER_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._sizes: dict[object, int] = {}
        self._give_up: dict[object, Callable[[], None]] = {}
        self.total_bytes = 0
        self.given_up = 0

    def set(self, owner: object, size: int, give_up: Callable[[], None]) -> None:
        """Set how much an owner buffers; ``give_up`` must drop all of it."""
        self.total_bytes += size - self._sizes.get(owner, 0)
        self._sizes[owner] = size
        self._give_up[owner] = give_up
        while self.total_bytes > self._limit_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            drop = self._give_up[largest]
            self.release(largest)
            self.given_up += 1
            drop()

    def release(self, owner: object) -> None:
        """Forget an owner, which buffers nothing any more."""
        self._give_up.pop(owner, None)
        self.total_bytes -= self._sizes.pop(owner, 0)
