"""Selects the entries that read the events of a cache store, and the entries that each notifies.

A cache store accepts few event calls at once.  If the fleet is no larger than that, each entry
reads every cache store.  In a larger fleet the entries with the highest rendezvous ranks for a
cache store read it, and every other entry is notified by exactly one of them.  All entries compute
this from the registrations alone.  If a reader dies, the entries that it notified fetch nothing
from that cache store until the registrations change.  In a fleet with relays, the relays forward
the updates (``process.cache_updates``).
"""

import functools
from typing import Final

from filbertstream.names import rank
from filbertstream.process.relays import DIRECT_READ_MEMBERS

LARGE_FLEET_READERS: Final = 2
"""Readers of a cache store in a fleet with relays, which read it if the readers stop sending."""

READERS_FRACTION: Final = 0.5
"""Fraction of a cache store's event calls that is used: an entry that restarts calls twice for a
while."""


@functools.lru_cache(maxsize=256)
def readers(store: str, limit: int, members: tuple[str, ...]) -> tuple[str, ...]:
    """Return the members that read a cache store; in a small fleet these are all of them.

    ``members`` are sorted.  The result is cached, since ranking all members is slow.

    >>> readers("s", 12, ("e1", "e2"))
    ('e1', 'e2')
    >>> [len(readers("s", 8, tuple(f"e{n}" for n in range(size)))) for size in (12, 60)]
    [4, 2]
    """
    count = max(1, int(limit * READERS_FRACTION))
    if len(members) > DIRECT_READ_MEMBERS:
        count = min(count, LARGE_FLEET_READERS)
    elif len(members) <= limit * (1.0 - READERS_FRACTION / 2):
        return members
    return tuple(sorted(members, key=lambda name: -rank(name, store))[:count])


@functools.lru_cache(maxsize=256)
def members_notified_by(
    store: str, limit: int, members: tuple[str, ...], reader: str
) -> tuple[str, ...]:
    """Return the members that a reader notifies of a cache store's events.

    >>> names = tuple(f"e{n}" for n in range(12))
    >>> notified = [members_notified_by("s", 8, names, reader) for reader in readers("s", 8, names)]
    >>> sorted(name for group in notified for name in group) == sorted(
    ...     set(names) - set(readers("s", 8, names)))
    True
    """
    chosen = readers(store, limit, members)
    if reader not in chosen:
        return ()
    others = [name for name in members if name not in chosen]
    return tuple(others[chosen.index(reader) :: len(chosen)])
