"""The operators' documents in the object store: reads, atomic changes and the watch.

All documents are stored as one object, so its conditional write acknowledges a change.  Every entry
applies the revision that the write returns within the bound for configurations, or accepts no
calls.

The object also holds the generation of the documents, which rises with each change and never
repeats, so it tells which of two objects is newer across restores of the object store.  After one,
each entry writes the newest documents again that it knows, and changes are accepted only when all
entries have done so.
"""

import threading
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from result import Err, Ok, Result

from filbertstream.epoch_number import NO_REVISION, EpochNumber
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
    """The documents at a revision; ``NO_REVISION`` if none were written yet."""

    revision: EpochNumber
    view: DocumentSet
    generation: EpochNumber = NO_REVISION


class ApplyResult(NamedTuple):
    """The result of a change.

    ``state`` is ``accepted``, ``lost`` (the documents are at another revision), ``invalid``,
    ``unavailable`` (nothing was written) or ``unsettled`` (the write may still take effect).
    """

    state: str
    revision: EpochNumber
    detail: str = ""


def decode_documents(stored: StoredObject) -> Result[DocumentSnapshot, str]:
    """Return the documents in an object, or why they can't be decoded."""
    try:
        content = msgspec.json.decode(stored.content, type=dict[str, list[Any]])
    except msgspec.DecodeError as exc:
        return Err(str(exc))
    generation = _generation(content)
    if generation is None:
        return Err("malformed generation")
    documents: list[Document] = []
    for raw in content.get("documents", []):
        match check_change(raw):
            case Ok(change) if not isinstance(change, Removal):
                documents.append(change)
            case Ok(_):
                return Err("unexpected removal in the stored documents")
            case Err(errors):
                return Err("; ".join(str(error) for error in errors))
    return Ok(DocumentSnapshot(stored.revision, document_set(documents), generation))


def _generation(content: dict[str, list[Any]]) -> EpochNumber | None:
    """Return the generation in an object's content; builds before it was added write none."""
    try:
        return msgspec.convert(content.get("generation", NO_REVISION), EpochNumber)
    except msgspec.ValidationError:
        return None


class KnownDocuments:
    """The newest documents that this entry has read or written, as stored; for any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._generation = NO_REVISION
        self._content: bytes | None = None

    def note(self, generation: EpochNumber, content: bytes) -> None:
        """Keep documents unless newer ones are known."""
        with self._lock:
            if self._content is None or generation >= self._generation:
                self._generation, self._content = generation, content

    def newest(self) -> tuple[EpochNumber, bytes | None]:
        """Return the newest documents and their generation."""
        with self._lock:
            return self._generation, self._content


class DocumentStore:
    """Blocking reads and changes of the documents, for the operators' API."""

    def __init__(
        self,
        store: ObjectStore,
        known: KnownDocuments | None = None,
        complete_epoch: Callable[[], int | None] | None = None,
    ) -> None:
        self._object_store = store
        self._known = known or KnownDocuments()
        self._complete_epoch = complete_epoch

    def rewrite(self) -> bool:
        """Write the newest known documents unless the store has them or newer ones.

        Return whether it has them now.
        """
        generation, content = self._known.newest()
        if content is None:
            return True
        match self._object_store.read(DOCUMENTS_KIND, DOCUMENTS_NAME):
            case Err(_):
                return False
            case Ok(stored):
                pass
        revision = NO_REVISION if stored is None else stored.revision
        if stored is not None:
            match decode_documents(stored):
                case Ok(snapshot) if snapshot.generation >= generation:
                    return True
                case _:
                    pass
        match self._write(msgspec.Raw(content), revision):
            case Ok(written):
                return written.done
            case Err(_):
                return False

    def read(self) -> Result[DocumentSnapshot, str]:
        """Return the documents as stored."""
        match self._object_store.read(DOCUMENTS_KIND, DOCUMENTS_NAME):
            case Err(failure):
                return Err(failure.value)
            case Ok(stored):
                return (
                    Ok(DocumentSnapshot(NO_REVISION, DocumentSet()))
                    if stored is None
                    else decode_documents(stored)
                )

    def apply(self, changes: bytes, base: int | None) -> ApplyResult:
        """Apply changes to the documents if they are still at the revision ``base``."""
        match decode_changes(changes):
            case Err(errors):
                return ApplyResult(
                    "invalid", NO_REVISION, "; ".join(str(error) for error in errors)
                )
            case Ok(found):
                pass
        match self.read():
            case Err(reason):
                return ApplyResult("unavailable", NO_REVISION, reason)
            case Ok(snapshot):
                pass
        epoch = snapshot.revision.epoch
        complete = epoch if self._complete_epoch is None else self._complete_epoch()
        if complete is None or (snapshot.revision != NO_REVISION and epoch != complete):
            reason = "the object store was restored from a copy and may lack accepted changes"
            return ApplyResult("unavailable", snapshot.revision, reason)
        revision = snapshot.revision.number
        if base is not None and base != revision:
            reason = f"the documents are at revision {revision}, not {base}"
            return ApplyResult("lost", snapshot.revision, reason)
        conflicts = snapshot.view.find_conflicts(found)
        if conflicts:
            return ApplyResult("invalid", snapshot.revision, "; ".join(conflicts))
        for change in found:
            snapshot.view.put(change)
        documents = snapshot.view.documents.values()
        generation = snapshot.generation.next_in(complete)
        content = {
            "documents": [to_plain(document) for document in documents],
            "generation": list(generation),
        }
        result = self._resolve(self._write(content, snapshot.revision), content, snapshot.revision)
        if result.state == "accepted":
            self._known.note(generation, msgspec.json.encode(content))
        return result

    def _write(self, content: Any, revision: EpochNumber) -> Result[Written, ObjectStoreFailure]:
        return self._object_store.put(DOCUMENTS_KIND, DOCUMENTS_NAME, content, revision)

    def _resolve(
        self, result: Result[Written, ObjectStoreFailure], content: Any, base: EpochNumber
    ) -> ApplyResult:
        """Return the result of a write; after a write without a response, read the object again."""
        match result:
            case Ok(written):
                revision = NO_REVISION if written.present is None else written.present.revision
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

    def __init__(self, limits: CallerLimits, known: KnownDocuments | None = None) -> None:
        self._limits = limits
        self._known = known or KnownDocuments()

    def on_listing(self, listing: Listing, emit: EmitEvent) -> None:
        """Emit the listed documents, or an empty configuration if there are none yet."""
        found = [item for item in listing.objects if item.name == DOCUMENTS_NAME]
        if not found:
            empty = compile_documents(DocumentSet(), NO_REVISION, self._limits)
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
                self._known.note(snapshot.generation, bytes(stored.content))
                config = compile_documents(
                    snapshot.view, snapshot.revision, self._limits, snapshot.generation
                )
                emit(ConfigurationObserved(config, sent_at_s))
                for document in snapshot.view.documents.values():
                    if isinstance(document, Model):
                        emit(WeightsNamed(document.name, document.version, listed))
