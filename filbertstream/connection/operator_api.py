"""The operators' API: a WSGI application with its own port and its own API keys.

``cli`` is its client.  Changes are written to the object store; all other requests are read-only.
"""

import hmac
from collections.abc import Callable
from typing import Any, Final

import msgspec
from result import Err, Ok

from filbertstream.connection.document_store import DocumentStore
from filbertstream.connection.wsgi_messages import (
    Environ,
    StartResponse,
    bearer_token,
    read_body,
    send_json,
    send_refusal,
)
from filbertstream.names import digest_key
from filbertstream.process.core_queries import CoreQueries
from filbertstream.process.recent_calls import RecentCalls
from filbertstream.process.status import read_status
from filbertstream.statuses import OK, UNAVAILABLE
from filbertstream.version.documents import to_plain
from filbertstream.version.resolve import DocumentId

BODY_LIMIT_BYTES: Final = 2_000_000
"""Twice the size limit of an object in the object store."""


APPLY_STATUS: Final[dict[str, int]] = {
    "accepted": 200,
    "lost": 409,
    "invalid": 422,
    "unavailable": 503,
    "unsettled": 503,
}


class ApplyBody(msgspec.Struct):
    """A change: the changed documents, and the revision they are based on or None for any."""

    changes: list[dict[str, Any]]
    base: int | None = None


class DocumentRow(msgspec.Struct):
    """One line of a listing."""

    kind: str
    name: str


class OperatorApi:
    """The WSGI application for operators."""

    def __init__(
        self,
        name: str,
        keys: tuple[str, ...],
        core: CoreQueries,
        documents: DocumentStore,
        recent: RecentCalls,
    ) -> None:
        self._name = name
        self._keys = keys
        self._core = core
        self._documents = documents
        self._recent = recent
        self._routes: dict[tuple[str, str], Callable[[bytes, StartResponse], list[bytes]]] = {
            ("POST", "/v1/apply"): self._apply,
            ("GET", "/v1/documents"): self._list,
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/burn"): self._burn,
        }
        self._lookups: dict[str, Callable[[str, StartResponse], list[bytes]]] = {
            "/v1/documents/": self._get,
            "/v1/explain/": self._explain,
        }

    def __call__(self, environ: Environ, start: StartResponse) -> list[bytes]:
        """Serve one request."""
        if not self._is_known(bearer_token(environ)):
            return send_refusal(start, "unauthorized", "")
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        match read_body(environ, BODY_LIMIT_BYTES):
            case Err(code):
                return send_refusal(start, code, "")
            case Ok(body):
                pass
        route = self._routes.get((method, path))
        if route is not None:
            return self._guarded(route, body, start)
        for prefix, lookup in self._lookups.items():
            if method == "GET" and path.startswith(prefix):
                return lookup(path.removeprefix(prefix), start)
        return send_refusal(start, "not_found", path)

    def _is_known(self, key: str | None) -> bool:
        """Whether a key is an operator's; compares with every digest, in constant time."""
        if key is None:
            return False
        digest = digest_key(key)
        matches = [hmac.compare_digest(digest, known) for known in self._keys]
        return any(matches)

    def _guarded(
        self,
        route: Callable[[bytes, StartResponse], list[bytes]],
        body: bytes,
        start: StartResponse,
    ) -> list[bytes]:
        try:
            return route(body, start)
        except msgspec.DecodeError as exc:
            return send_refusal(start, "bad_request", str(exc))

    def _apply(self, body: bytes, start: StartResponse) -> list[bytes]:
        change = msgspec.json.decode(body, type=ApplyBody)
        result = self._documents.apply(msgspec.json.encode(change.changes), change.base)
        plain = result._asdict() | {"revision": result.revision.number}
        return send_json(start, APPLY_STATUS[result.state], plain)

    def _list(self, body: bytes, start: StartResponse) -> list[bytes]:
        match self._documents.read():
            case Err(reason):
                return send_json(start, UNAVAILABLE, {"title": reason})
            case Ok(snapshot):
                pass
        rows = [DocumentRow(doc_id.kind, doc_id.name) for doc_id in sorted(snapshot.view.documents)]
        return send_json(start, OK, {"revision": snapshot.revision.number, "documents": rows})

    def _get(self, rest: str, start: StartResponse) -> list[bytes]:
        kind, _, name = rest.partition("/")
        match self._documents.read():
            case Err(reason):
                return send_json(start, UNAVAILABLE, {"title": reason})
            case Ok(snapshot):
                pass
        document = snapshot.view.documents.get(DocumentId(kind, name))
        if document is None:
            return send_refusal(start, "not_found", f"no {kind} {name}")
        response = {"revision": snapshot.revision.number, "document": to_plain(document)}
        return send_json(start, OK, response)

    def _status(self, body: bytes, start: StartResponse) -> list[bytes]:
        status = self._core.query(read_status)
        plain = status._asdict()
        plain["members"] = [row._asdict() for row in status.members]
        plain["targets"] = [row._asdict() for row in status.targets]
        return send_json(start, OK, plain)

    def _burn(self, body: bytes, start: StartResponse) -> list[bytes]:
        report = self._core.query(lambda core, now_s: core.burn.report(now_s))
        return send_json(start, OK, report)

    def _explain(self, request_id: str, start: StartResponse) -> list[bytes]:
        lines = self._core.query(lambda core, now_s: self._recent.find(request_id))
        if lines is None:
            return send_refusal(start, "not_found", f"{self._name} has no record of {request_id}")
        return send_json(
            start,
            OK,
            {"request_id": request_id, "entry": self._name, "lines": lines},
        )
