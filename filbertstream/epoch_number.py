"""Numbers that count within one epoch of a history, such as the revisions of the object store.

A store that comes back from a backup starts a new epoch: its numbers go back and are given out
again, so a number alone says nothing without its epoch.  ``EpochNumber`` carries both and compares
the epoch first, and mypy rejects its comparison with a bare number.

>>> EpochNumber(2, 5) > EpochNumber(1, 41)
True
>>> EpochNumber(2, 5).succeeds(EpochNumber(1, 41))
False
>>> EpochNumber(2, 6).succeeds(EpochNumber(2, 5))
True
>>> EpochNumber.from_packed(EpochNumber(2, 5).packed())
EpochNumber(epoch=2, number=5)
"""

from typing import Final, NamedTuple

NUMBER_BITS: Final = 24
"""Bits of the number in the packed form, which stays exact in JSON for epochs below 2**29."""


class EpochNumber(NamedTuple):
    """A number and the epoch of the history to which it belongs; epoch 0 if there is only one."""

    epoch: int
    number: int

    def succeeds(self, other: "EpochNumber") -> bool:
        """Whether this number is later in the same epoch, so that the change between them is known.

        A number of another epoch is newer or older, but not its successor.
        """
        return self.epoch == other.epoch and self.number >= other.number

    def comparable(self, other: "EpochNumber") -> bool:
        """Whether both count in the same epoch."""
        return self.epoch == other.epoch

    def next_in(self, epoch: int) -> "EpochNumber":
        """Return the next number, in a given epoch or in this one if it is later.

        It is greater than every number of an earlier epoch, also of those that are not known here.
        """
        return EpochNumber(max(epoch, self.epoch), self.number + 1)

    def packed(self) -> int:
        """Return the number as one integer that is ordered in the same way."""
        return (self.epoch << NUMBER_BITS) + self.number

    @classmethod
    def from_packed(cls, packed: int) -> "EpochNumber":
        """Return the number for the integer that ``packed`` returned."""
        return cls(packed >> NUMBER_BITS, packed & ((1 << NUMBER_BITS) - 1))


NO_REVISION: Final = EpochNumber(0, 0)
"""Lower than the revision of any object."""
