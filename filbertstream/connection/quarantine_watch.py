"""Decodes the quarantine records of the object store into events of the core."""

from collections.abc import Callable
from typing import Any

import msgspec

from filbertstream.epoch_number import NO_REVISION
from filbertstream.fleet.quarantine import QuarantineListed, QuarantineObserved, QuarantineRecord
from filbertstream.gateway_events import ObjectStoreResult
from filbertstream.platform.documents import QUARANTINE_KIND, decode_internal
from filbertstream.platform.objects import Change, Listing


def list_quarantine(listing: Listing, emit: Callable[[Any], None]) -> None:
    """Emit all records, and that these are all."""
    for stored in listing.objects:
        change_quarantine(Change(stored, False), listing.sent_at_s, emit)
    emit(QuarantineListed(frozenset(stored.name for stored in listing.objects)))


def change_quarantine(change: Change, sent_at_s: float, emit: Callable[[Any], None]) -> None:
    """Emit a record, or its removal."""
    stored = change.stored
    if change.removed:
        emit(QuarantineObserved(stored.name, None, NO_REVISION))
        return
    try:
        record = decode_internal(stored.content, QuarantineRecord)
    except msgspec.DecodeError as exc:
        emit(ObjectStoreResult(QUARANTINE_KIND, False, f"unreadable: {exc}"))
        return
    emit(QuarantineObserved(stored.name, record, stored.revision))
