"""Which entries read the events of a store, and whom each of them tells.

A store takes few event calls at once.  While the entries are no more than that, each reads every
store.  In a larger fleet the entries with the highest rendezvous ranks for a store read it, and
every other entry is told by exactly one of them.  All entries work this out from the registrations
alone; a reader that died is missed by those it told, which fetch nothing from that store until the
registrations change.  In a fleet with relays these pass the news on (``process.cache_updates``).
"""

import functools
from typing import Final

from filbertstream.names import rank
from filbertstream.process.relays import DIRECT_READ_MEMBERS

LARGE_FLEET_READERS: Final = 2
"""Readers of a store in a fleet with relays, which read it themselves where these fall silent."""

READERS_SHARE: Final = 0.5
"""The part of a store's event calls that is used: entries that restart call twice for a while."""


@functools.lru_cache(maxsize=256)
def readers(store: str, limit: int, members: tuple[str, ...]) -> tuple[str, ...]:
    """Return the members that read a store, all of them while they are few.

    ``members`` are sorted.  The result is kept, since ranking all of them takes a while.

    >>> readers("s", 12, ("e1", "e2"))
    ('e1', 'e2')
    >>> [len(readers("s", 8, tuple(f"e{n}" for n in range(size)))) for size in (12, 60)]
    [4, 2]
    """
    count = max(1, int(limit * READERS_SHARE))
    if len(members) > DIRECT_READ_MEMBERS:
        count = min(count, LARGE_FLEET_READERS)
    elif len(members) <= limit * (1.0 - READERS_SHARE / 2):
        return members
    return tuple(sorted(members, key=lambda name: -rank(name, store))[:count])


@functools.lru_cache(maxsize=256)
def told_by(store: str, limit: int, members: tuple[str, ...], reader: str) -> tuple[str, ...]:
    """Return the members that a reader tells of a store.

    >>> names = tuple(f"e{n}" for n in range(12))
    >>> told = [told_by("s", 8, names, reader) for reader in readers("s", 8, names)]
    >>> sorted(name for group in told for name in group) == sorted(
    ...     set(names) - set(readers("s", 8, names)))
    True
    """
    chosen = readers(store, limit, members)
    if reader not in chosen:
        return ()
    others = [name for name in members if name not in chosen]
    return tuple(others[chosen.index(reader) :: len(chosen)])
