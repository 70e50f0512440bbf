"""Carries out the core's writes to the object store; blocking, so they run on worker threads."""

from collections.abc import Callable
from typing import Any

from result import Err, Ok

from filbertstream.connection.watched_kinds import ROLLOUT_LEASE_NAME, emit_lease_record
from filbertstream.fleet.quarantine import RemoveQuarantine, WriteQuarantine
from filbertstream.gateway_events import LeaseWritten, RemoveEntry, WriteEntry
from filbertstream.platform.documents import ENTRIES_KIND, LEASES_KIND, QUARANTINE_KIND
from filbertstream.platform.objects import ObjectStore, ObjectStoreFailure
from filbertstream.process.rollout_lease import WriteLease

Submit = Callable[..., None]
"""Runs a function with its arguments on a worker thread."""


class ObjectWrites:
    """The writes of leases, registrations of entries and quarantine records."""

    def __init__(
        self, store: ObjectStore, submit: Submit, emit_soon: Callable[[Any], None]
    ) -> None:
        self._store = store
        self._submit = submit
        self._emit_soon = emit_soon

    def handlers(self) -> dict[type, Callable[[Any], object]]:
        """Return the function that carries out each type of action."""
        return {
            WriteLease: lambda write: self._submit(self._write_lease, write),
            WriteEntry: lambda write: self._submit(self._write_entry, write),
            RemoveEntry: lambda remove: self._submit(
                self._store.remove, ENTRIES_KIND, remove.name, remove.revision
            ),
            WriteQuarantine: lambda write: self._submit(self._write_quarantine, write),
            RemoveQuarantine: lambda remove: self._submit(
                self._store.remove, QUARANTINE_KIND, remove.name
            ),
        }

    def _write_lease(self, write: WriteLease) -> None:
        match self._store.put(LEASES_KIND, ROLLOUT_LEASE_NAME, write.record, write.revision):
            case Ok(written):
                if not written.done:
                    self._emit_soon(LeaseWritten(True))
                if written.present is not None:
                    emit_lease_record(written.present, self._emit_soon)
            case Err(failure):
                self._emit_soon(LeaseWritten(failure is ObjectStoreFailure.REFUSED))

    def _write_entry(self, write: WriteEntry) -> None:
        """Register this entry; a conflicting object shows up in the watch and triggers a retry."""
        self._store.put(ENTRIES_KIND, write.name, write.record, write.revision)

    def _write_quarantine(self, write: WriteQuarantine) -> None:
        """Write a record; the watch shows what is stored, and the core repeats what is not."""
        self._store.put(QUARANTINE_KIND, write.record.name, write.record, write.revision)
