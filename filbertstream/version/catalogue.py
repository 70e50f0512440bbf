"""Who holds which piece of cache, for the chains that this member owns.

A chain is named by its first piece, and its owner among the entries is found by rendezvous hash.
What the catalogue says is a hint: a runner that no longer has a piece computes it, and a store's
piece is checked by its digest before use, so a wrong row costs time and never a wrong answer.
Names carry workspace, model and weight version, so no row ever leads to another's block.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from filbertstream.messages import Holding

CAPACITY_PIECES: Final = 200_000
"""The most pieces that one member keeps rows for; the longest unused go first."""


class Catalogue:
    """Holders by piece, longest unused first."""

    def __init__(self, capacity: int = CAPACITY_PIECES) -> None:
        self._holders: OrderedDict[bytes, tuple[str, ...]] = OrderedDict()
        self._capacity = capacity
        self._interned: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def note(self, holder: str, names: Iterable[str]) -> None:
        """Note that a runner or store holds pieces."""
        holder = self._interned.setdefault(holder, holder)
        for name in names:
            key = bytes.fromhex(name)
            present = self._holders.get(key, ())
            if holder not in present:
                present = (*present, holder)
            self._holders[key] = present
            self._holders.move_to_end(key)
        while len(self._holders) > self._capacity:
            self._holders.popitem(last=False)

    def forget(self, holder: str, names: Iterable[str]) -> None:
        """Note that a runner or store no longer holds pieces."""
        for name in names:
            key = bytes.fromhex(name)
            rest = tuple(item for item in self._holders.get(key, ()) if item != holder)
            if rest:
                self._holders[key] = rest
            else:
                self._holders.pop(key, None)

    def forget_holder(self, holder: str) -> None:
        """Forget everything of a runner or store that died or changed its weights."""
        for key, present in list(self._holders.items()):
            if holder not in present:
                continue
            rest = tuple(item for item in present if item != holder)
            if rest:
                self._holders[key] = rest
            else:
                del self._holders[key]

    def find(self, names: tuple[str, ...]) -> tuple[Holding, ...]:
        """Return how many leading pieces of a chain each holder has, as far as is known."""
        depths: dict[str, int] = {}
        for index, name in enumerate(names):
            key = bytes.fromhex(name)
            present = self._holders.get(key)
            if present is None:
                break
            self._holders.move_to_end(key)
            for holder in present:
                if depths.get(holder, 0) == index:
                    depths[holder] = index + 1
        return tuple(Holding(holder, depth) for holder, depth in depths.items())
