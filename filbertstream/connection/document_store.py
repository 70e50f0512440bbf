"""The operators' documents in the object store: reads, atomic changes and the watch.

All documents are stored as one object, so its conditional write acknowledges a change.  Every entry
applies the revision that the write returns within the bound for configurations, or accepts no
calls.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from result import Err, Ok, Result

from filbertstream.gateway_events import ConfigurationObserved, ObjectStoreResult, WeightsNamed
from filbertstream.platform.documents import DOCUMENTS_KIND, DOCUMENTS_NAME
from filbertstream.platform.objects import (
    Change,
    Listing,
    ObjectStore,
    ObjectStoreFailure,
    StoredObject,
    Written,
)
from filbertstream.version.compiled import compile_documents, document_set
from filbertstream.version.documents import (
    Document,
    Model,
    Removal,
    check_change,
    decode_changes,
    to_plain,
)
from filbertstream.version.resolve import DocumentSet
from filbertstream.version.routes import CallerLimits

EmitEvent = Callable[[Any], None]


class DocumentSnapshot(NamedTuple):
    """The documents at a revision; revision 0 if none were written yet."""

    revision: int
    view: DocumentSet


class ApplyResult(NamedTuple):
    """The result of a change.

    ``state`` is ``accepted``, ``lost`` (the documents are at another revision), ``invalid``,
    ``unavailable`` (nothing was written) or ``unsettled`` (the write may still take effect).
    """

    state: str
    revision: int
    detail: str = ""


def decode_documents(stored: StoredObject) -> Result[DocumentSnapshot, str]:
    """Return the documents in an object, or why they can't be decoded."""
    try:
        content = msgspec.json.decode(stored.content, type=dict[str, list[Any]])
    except msgspec.DecodeError as exc:
        return Err(str(exc))
    documents: list[Document] = []
    for raw in content.get("documents", []):
        match check_change(raw):
            case Ok(change) if not isinstance(change, Removal):
                documents.append(change)
            case Ok(_):
                return Err("unexpected removal in the stored documents")
            case Err(errors):
                return Err("; ".join(str(error) for error in errors))
    return Ok(DocumentSnapshot(stored.revision, document_set(documents)))


class DocumentStore:
    """Blocking reads and changes of the documents, for the operators' API."""

    def __init__(self, store: ObjectStore) -> None:
        self._object_store = store

    def read(self) -> Result[DocumentSnapshot, str]:
        """Return the documents as stored."""
        match self._object_store.read(DOCUMENTS_KIND, DOCUMENTS_NAME):
            case Err(failure):
                return Err(failure.value)
            case Ok(stored):
                return (
                    Ok(DocumentSnapshot(0, DocumentSet()))
                    if stored is None
                    else decode_documents(stored)
                )

    def apply(self, changes: bytes, base: int | None) -> ApplyResult:
        """Apply changes to the documents if they are still at the revision ``base``."""
        match decode_changes(changes):
            case Err(errors):
                return ApplyResult("invalid", 0, "; ".join(str(error) for error in errors))
            case Ok(found):
                pass
        match self.read():
            case Err(reason):
                return ApplyResult("unavailable", 0, reason)
            case Ok(snapshot):
                pass
        if base is not None and base != snapshot.revision:
            return ApplyResult(
                "lost",
                snapshot.revision,
                f"the documents are at revision {snapshot.revision}, not {base}",
            )
        conflicts = snapshot.view.find_conflicts(found)
        if conflicts:
            return ApplyResult("invalid", snapshot.revision, "; ".join(conflicts))
        for change in found:
            snapshot.view.put(change)
        documents = snapshot.view.documents.values()
        content = {"documents": [to_plain(document) for document in documents]}
        return self._resolve(self._write(content, snapshot.revision), content, snapshot.revision)

    def _write(self, content: Any, revision: int) -> Result[Written, ObjectStoreFailure]:
        if revision == 0:
            return self._object_store.create(DOCUMENTS_KIND, DOCUMENTS_NAME, content)
        return self._object_store.replace(DOCUMENTS_KIND, DOCUMENTS_NAME, content, revision)

    def _resolve(
        self, result: Result[Written, ObjectStoreFailure], content: Any, base: int
    ) -> ApplyResult:
        """Return the result of a write; after a write without a response, read the object again."""
        match result:
            case Ok(written):
                revision = 0 if written.present is None else written.present.revision
                if written.done:
                    return ApplyResult("accepted", revision)
                return ApplyResult("lost", revision, "another change was written first")
            case Err(ObjectStoreFailure.REFUSED):
                return ApplyResult("unavailable", base, "the object store refused the write")
            case Err(_):
                pass
        match self._object_store.read(DOCUMENTS_KIND, DOCUMENTS_NAME):
            case Ok(stored) if stored is not None and stored.revision != base:
                if msgspec.json.decode(stored.content) == content:
                    return ApplyResult("accepted", stored.revision)
                return ApplyResult("lost", stored.revision, "another change was written first")
            case _:
                return ApplyResult("unsettled", base, "no response to the write, outcome unknown")


class DocumentWatch:
    """Emits the documents to the core, as a kind watched by ``connection.kind_watcher``."""

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits

    def on_listing(self, listing: Listing, emit: EmitEvent) -> None:
        """Emit the listed documents, or an empty configuration if there are none yet."""
        found = [item for item in listing.objects if item.name == DOCUMENTS_NAME]
        if not found:
            empty = compile_documents(DocumentSet(), 0, self._limits)
            emit(ConfigurationObserved(empty, listing.sent_at_s))
        for stored in found:
            self._emit(stored, listing.sent_at_s, True, emit)

    def on_change(self, change: Change, sent_at_s: float, emit: EmitEvent) -> None:
        """Emit a change of the documents."""
        if not change.removed and change.stored.name == DOCUMENTS_NAME:
            self._emit(change.stored, sent_at_s, False, emit)

    def on_unchanged(self, sent_at_s: float, emit: EmitEvent) -> None:
        """Emit that the documents did not change up to a watch sent at ``sent_at_s``."""
        emit(ConfigurationObserved(None, sent_at_s))

    def _emit(self, stored: StoredObject, sent_at_s: float, listed: bool, emit: EmitEvent) -> None:
        match decode_documents(stored):
            case Err(reason):
                emit(ObjectStoreResult(DOCUMENTS_KIND, False, f"unreadable: {reason}"))
            case Ok(snapshot):
                config = compile_documents(snapshot.view, snapshot.revision, self._limits)
                emit(ConfigurationObserved(config, sent_at_s))
                for document in snapshot.view.documents.values():
                    if isinstance(document, Model):
                        emit(WeightsNamed(document.name, document.version, listed))
