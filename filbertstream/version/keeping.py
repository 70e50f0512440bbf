"""Which prompts' cache to keep on a store, and on which: reuse is weighed against the link.

A prompt of at least one full piece is worth keeping; what limits it is the link.  A store whose
link is busy for longer than the pieces would save in prefill is passed over.
"""

from typing import Final

from filbertstream.process.directory import Directory, Target
from filbertstream.units import KV_BYTES_PER_TOKEN, PIECE_TOKENS
from filbertstream.version.documents import Weights

LINK_WAIT_LIMIT_S: Final = 5.0
"""A store whose link is booked for longer than this gets no more pieces."""


def choose_store(
    directory: Directory, names: tuple[str, ...], weights: Weights, now_s: float
) -> Target | None:
    """Return the store to keep pieces on, or None where it isn't worth it."""
    if not names:
        return None
    stores = [directory.usable(name, now_s) for name in directory.stores()]
    usable = [store for store in stores if store is not None and not store.full]
    if not usable:
        return None
    best = min(usable, key=lambda store: (store.link.wait_s(now_s), store.name))
    moved_s = len(names) * PIECE_TOKENS * KV_BYTES_PER_TOKEN / best.link.rate_per_s
    wait_s = best.link.wait_s(now_s) + weights.link * moved_s
    return best if wait_s <= LINK_WAIT_LIMIT_S else None
