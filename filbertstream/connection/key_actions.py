"""Carries out the core's calls for idempotency keys and documents on worker threads."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from filbertstream.connection.idempotency_key_store import IdempotencyKeyStore
from filbertstream.process.document_recovery import DocumentsRewritten, RewriteDocuments
from filbertstream.request.idempotency_keys import ClaimKey, SettleKey
from filbertstream.request.key_journal import RewriteKey

if TYPE_CHECKING:
    # Imported only by entries that have documents, since imports delay every start.
    from filbertstream.connection.document_store import DocumentStore

Submit = Callable[..., None]
"""Runs a function with its arguments on a worker thread."""


class KeyActions:
    """The calls that claim, settle and write again; ``documents`` is None without documents."""

    def __init__(
        self,
        keys: IdempotencyKeyStore,
        documents: "DocumentStore | None",
        submit: Submit,
        emit_soon: Callable[[Any], None],
    ) -> None:
        self._keys = keys
        self._documents = documents
        self._submit = submit
        self._emit_soon = emit_soon

    def handlers(self) -> dict[type, Callable[[Any], object]]:
        """Return the function that carries out each type of action."""
        return {
            ClaimKey: lambda claim: self._submit(self._claim, claim),
            SettleKey: lambda settle: self._submit(self._settle, settle),
            RewriteKey: lambda rewrite: self._submit(self._rewrite, rewrite),
            RewriteDocuments: lambda rewrite: self._submit(self._rewrite_documents, rewrite),
        }

    def _claim(self, claim: ClaimKey) -> None:
        self._emit_soon(self._keys.claim(claim))

    def _settle(self, settle: SettleKey) -> None:
        settled = self._keys.settle(settle)
        if settled is not None:
            self._emit_soon(settled)

    def _rewrite(self, rewrite: RewriteKey) -> None:
        self._emit_soon(self._keys.rewrite(rewrite))

    def _rewrite_documents(self, rewrite: RewriteDocuments) -> None:
        done = self._documents is None or self._documents.rewrite()
        self._emit_soon(DocumentsRewritten(rewrite.epoch, done))
