"""Reads and writes quarantine records in the object store on behalf of operators."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from filbertstream.epoch_number import NO_REVISION
from filbertstream.fleet.quarantine import QuarantineRecord
from filbertstream.platform.documents import QUARANTINE_KIND, decode_internal
from filbertstream.platform.objects import ObjectStore, ObjectStoreFailure, StoredObject

MAX_TRIES: Final = 5
"""Writes of an operator's change, each after another change that came in between."""


def _decoded(stored: StoredObject) -> QuarantineRecord | None:
    try:
        record: QuarantineRecord = decode_internal(stored.content, QuarantineRecord)
    except msgspec.DecodeError:
        return None
    return record


class QuarantineStore:
    """The records in an object store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def records(self) -> Result[list[QuarantineRecord], ObjectStoreFailure]:
        """Return all records that can be read."""
        match self._store.list(QUARANTINE_KIND):
            case Err(failure):
                return Err(failure)
            case Ok(listing):
                found = [_decoded(stored) for stored in listing.objects]
        return Ok([record for record in found if record is not None])

    def write(
        self, model: str, block_id: str, active: bool, by: str
    ) -> Result[QuarantineRecord, ObjectStoreFailure]:
        """Quarantine or release a block; the new record outranks all that entries know."""
        for _ in range(MAX_TRIES):
            name = QuarantineRecord(model, block_id, 0, active, by).name
            match self._store.read(QUARANTINE_KIND, name):
                case Err(failure):
                    return Err(failure)
                case Ok(stored):
                    known = None if stored is None else _decoded(stored)
            generation = 1 if known is None else known.generation + 1
            record = QuarantineRecord(model, block_id, generation, active, by)
            revision = NO_REVISION if stored is None else stored.revision
            match self._store.put(QUARANTINE_KIND, name, record, revision):
                case Err(failure):
                    return Err(failure)
                case Ok(written) if written.done:
                    return Ok(record)
        return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
