"""The operators' documents in the platform's store: read, changed as a whole, watched.

All documents are one object, so that its conditional write is the acknowledgement of a change: the
revision that it returns is in force on every entry within the bound for configurations, or that
entry takes no work.
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


class HeldDocuments(NamedTuple):
    """The documents of a revision; 0 where none were written yet."""

    revision: int
    view: DocumentSet


class ApplyResult(NamedTuple):
    """The answer to a change.

    ``state`` is ``accepted``, ``lost`` (the documents are at another revision), ``invalid``,
    ``unavailable`` (nothing was written) or ``unsettled`` (it may still be).
    """

    state: str
    revision: int
    detail: str = ""


def decode_documents(stored: StoredObject) -> Result[HeldDocuments, str]:
    """Return the documents in an object, or why they can't be used."""
    try:
        wire = msgspec.json.decode(stored.content, type=dict[str, list[Any]])
    except msgspec.DecodeError as exc:
        return Err(str(exc))
    documents: list[Document] = []
    for raw in wire.get("documents", []):
        match check_change(raw):
            case Ok(change) if not isinstance(change, Removal):
                documents.append(change)
            case Ok(_):
                return Err("a removal among the documents")
            case Err(mistakes):
                return Err("; ".join(str(mistake) for mistake in mistakes))
    return Ok(HeldDocuments(stored.revision, document_set(documents)))


class DocumentStore:
    """Blocking reads and changes, for the operators' API."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def read(self) -> Result[HeldDocuments, str]:
        """Return the documents as the store holds them."""
        match self._store.read(DOCUMENTS_KIND, DOCUMENTS_NAME):
            case Err(fault):
                return Err(fault.value)
            case Ok(stored):
                return (
                    Ok(HeldDocuments(0, DocumentSet()))
                    if stored is None
                    else decode_documents(stored)
                )

    def apply(self, changes: bytes, base: int | None) -> ApplyResult:
        """Write the documents with changes, if they are still at the revision ``base``."""
        match decode_changes(changes):
            case Err(mistakes):
                return ApplyResult("invalid", 0, "; ".join(str(mistake) for mistake in mistakes))
            case Ok(found):
                pass
        match self.read():
            case Err(reason):
                return ApplyResult("unavailable", 0, reason)
            case Ok(held):
                pass
        if base is not None and base != held.revision:
            return ApplyResult("lost", held.revision, "the documents have changed since")
        faults = held.view.find_conflicts(found)
        if faults:
            return ApplyResult("invalid", held.revision, "; ".join(faults))
        for change in found:
            held.view.put(change)
        documents = held.view.documents.values()
        content = {"documents": [to_plain(document) for document in documents]}
        return self._settle(self._write(content, held.revision), content, held.revision)

    def _write(self, content: Any, revision: int) -> Result[Written, ObjectStoreFailure]:
        if revision == 0:
            return self._store.create(DOCUMENTS_KIND, DOCUMENTS_NAME, content)
        return self._store.replace(DOCUMENTS_KIND, DOCUMENTS_NAME, content, revision)

    def _settle(
        self, result: Result[Written, ObjectStoreFailure], content: Any, base: int
    ) -> ApplyResult:
        """Return how a write ended; one that was not answered is looked up."""
        match result:
            case Ok(written):
                revision = 0 if written.present is None else written.present.revision
                if written.done:
                    return ApplyResult("accepted", revision)
                return ApplyResult("lost", revision, "another change was written first")
            case Err(ObjectStoreFailure.REFUSED):
                return ApplyResult("unavailable", base, "the platform takes no writes now")
            case Err(_):
                pass
        match self._store.read(DOCUMENTS_KIND, DOCUMENTS_NAME):
            case Ok(stored) if stored is not None and stored.revision != base:
                if msgspec.json.decode(stored.content) == content:
                    return ApplyResult("accepted", stored.revision)
                return ApplyResult("lost", stored.revision, "another change was written first")
            case _:
                return ApplyResult("unsettled", base, "the platform has not answered the write")


class DocumentWatch:
    """Tells the core of the documents, as a watched kind of ``connection.kind_watcher``."""

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits

    def on_listing(self, listing: Listing, emit: EmitEvent) -> None:
        """Tell what is there, or that there is nothing yet."""
        found = [item for item in listing.objects if item.name == DOCUMENTS_NAME]
        if not found:
            empty = compile_documents(DocumentSet(), 0, self._limits)
            emit(ConfigurationObserved(empty, listing.sent_at_s))
        for stored in found:
            self._tell(stored, listing.sent_at_s, True, emit)

    def on_change(self, change: Change, sent_at_s: float, emit: EmitEvent) -> None:
        """Tell what was written."""
        if not change.removed and change.stored.name == DOCUMENTS_NAME:
            self._tell(change.stored, sent_at_s, False, emit)

    def on_unchanged(self, sent_at_s: float, emit: EmitEvent) -> None:
        """Tell that nothing was written."""
        emit(ConfigurationObserved(None, sent_at_s))

    def _tell(self, stored: StoredObject, sent_at_s: float, listed: bool, emit: EmitEvent) -> None:
        match decode_documents(stored):
            case Err(reason):
                emit(ObjectStoreResult(DOCUMENTS_KIND, False, f"unreadable: {reason}"))
            case Ok(held):
                config = compile_documents(held.view, held.revision, self._limits)
                emit(ConfigurationObserved(config, sent_at_s))
                for document in held.view.documents.values():
                    if isinstance(document, Model):
                        emit(WeightsNamed(document.name, document.version, listed))
