"""How many callers' connections a process keeps open, and which one is closed for another.

Load pattern handled: thousands of connections that send nothing, or only a part of a request.  Each
takes a descriptor and some memory, so that none is left for connections to targets.  Without I/O.
"""

from collections.abc import Iterable
from typing import Final, TypeVar

DESCRIPTOR_FRACTION: Final = 0.6
"""The fraction of the process's descriptors that callers may take; the others are for connections
to targets, the object store and peers."""

MEMORY_FRACTION: Final = 0.15
"""The fraction of the process's memory that callers' connections may take beside their requests."""

CONNECTION_BYTES: Final = 10_000
"""What an open connection takes: its transport, its parser, its timer and its own objects."""

MIN_CONNECTIONS: Final = 16

MIN_IDLE_S: Final = 1.0
"""A connection that was idle for less is kept: its caller may be about to send."""

BYTES_PER_MB: Final = 1_000_000

_Connection = TypeVar("_Connection")


def most_connections(memory_mb: float, descriptors: int) -> int:
    """Return how many connections of callers a process may have.

    >>> most_connections(memory_mb=128, descriptors=4_100)
    1920
    >>> most_connections(memory_mb=552, descriptors=10_592)
    6355
    """
    by_memory = int(MEMORY_FRACTION * memory_mb * BYTES_PER_MB / CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, min(int(DESCRIPTOR_FRACTION * descriptors), by_memory))


def longest_idle(
    idle: Iterable[tuple[_Connection, float]], now_s: float, count: int
) -> list[_Connection]:
    """Return up to ``count`` connections to close, of connections and the times they became idle.

    >>> longest_idle([("new", 9.9), ("old", 1.0), ("older", 0.5)], now_s=10.0, count=5)
    ['older', 'old']
    """
    long_idle = [pair for pair in idle if now_s - pair[1] > MIN_IDLE_S]
    return [connection for connection, _ in sorted(long_idle, key=lambda pair: pair[1])[:count]]
