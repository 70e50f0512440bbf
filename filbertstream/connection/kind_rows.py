"""Converts between responses of the object store and the undecoded rows of the core's view."""

import msgspec

from filbertstream.connection.watched_kinds import EmitEvent, WatchedKind
from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.messages import ObjectRow
from filbertstream.platform.objects import Change, Changes, Listing, StoredObject
from filbertstream.process.store_view import KindDelta, KindObserved


def publish_kind(watched: WatchedKind, delta: KindDelta, emit: EmitEvent) -> None:
    """Decode what is new of a kind and emit it."""
    if delta.full:
        rows = [row for row in delta.rows if row.content is not None]
        objects = tuple(_stored(row, delta.epoch) for row in rows)
        as_of = EpochNumber(delta.epoch, 0)
        watched.on_listing(Listing(delta.observed_at_s, as_of, objects), emit)
        return
    for row in delta.rows:
        change = Change(_stored(row, delta.epoch), row.content is None)
        watched.on_change(change, delta.observed_at_s, emit)
    watched.on_unchanged(delta.observed_at_s, emit)


def _stored(row: ObjectRow, epoch: int) -> StoredObject:
    content = msgspec.Raw(row.content or b"null")
    return StoredObject(row.name, EpochNumber(epoch, row.revision), content)


def kind_observed(kind: str, since: EpochNumber | None, found: Listing | Changes) -> KindObserved:
    """Return the event for a response of the object store.

    ``found`` is a listing (``since`` is None) or the changes that a watch found after ``since``.
    """
    if isinstance(found, Listing):
        rows = tuple(_row(stored) for stored in found.objects)
    else:
        rows = tuple(_row(*change) for change in found.changes)
    full = since is None
    return KindObserved(kind, full, since or NO_REVISION, found.as_of, found.sent_at_s, rows)


def _row(stored: StoredObject, removed: bool = False) -> ObjectRow:
    content = None if removed else bytes(stored.content)
    return ObjectRow(stored.name, stored.revision.number, content)
