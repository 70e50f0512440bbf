"""Decodes the evacuations of the object store into events of the core.

The name of an object is that of the data center.  Its content is not read, so an object that can't
be decoded still evacuates its data center.
"""

from collections.abc import Callable
from typing import Any, Final

from filbertstream.fleet.evacuations import (
    EvacuationObserved,
    EvacuationsConfirmed,
    EvacuationsListed,
)
from filbertstream.platform.objects import Change, Listing

WAIT_FRACTION: Final = 0.25
"""The wait of an entry's watch as a fraction of the bound.  A stalled connection goes undetected
for this wait and the timeout of a call, 2.75 s at a bound of 5 s."""

RELAY_WAIT_FRACTION: Final = 0.13
"""The wait of a relay's watch as a fraction of the bound: the usual age of relayed data, twice this
wait and a poll interval, stays below the maximum age."""

MAX_AGE_FRACTION: Final = 0.5
"""Maximum age of relayed evacuations, as a fraction of the bound.  Two thirds of the bound, less a
listing and a tick, would do; the rest is for a listing on a slow link."""


def list_evacuations(listing: Listing, emit: Callable[[Any], None]) -> None:
    """Emit all evacuated data centers."""
    names = frozenset(stored.name for stored in listing.objects)
    emit(EvacuationsListed(names, listing.sent_at_s))


def change_evacuation(change: Change, sent_at_s: float, emit: Callable[[Any], None]) -> None:
    """Emit that an evacuation was written or removed."""
    emit(EvacuationObserved(change.stored.name, change.removed))


def unchanged_evacuations(sent_at_s: float, emit: Callable[[Any], None]) -> None:
    """Emit that the known evacuations are current."""
    emit(EvacuationsConfirmed(sent_at_s))
