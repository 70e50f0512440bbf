"""The operators' API as a WSGI application, on a port and with keys of its own.

``cli`` is its client.  Changes and planned stops go to the core as events; everything else is a
query that changes nothing.
"""

import hmac
import itertools
from collections.abc import Callable
from typing import Any, Final

import msgspec
from result import Err, Ok

from filbertstream.actions import ApplyEnded, DrainEnded
from filbertstream.connection.wire import (
    Environ,
    StartResponse,
    bearer_of,
    problem_body,
    read_body,
    send_json,
    send_problem,
)
from filbertstream.core import Core
from filbertstream.events import ApplyRequested, DrainRequested
from filbertstream.names import digest_key
from filbertstream.process.host import Host
from filbertstream.process.status import read_status
from filbertstream.units import ACCEPT_WITHIN_S, VALUE_LIMIT_BYTES
from filbertstream.version.documents import Document, to_plain
from filbertstream.version.resolve import DocumentId

BODY_LIMIT_BYTES: Final = 2 * VALUE_LIMIT_BYTES
APPLY_WITHIN_S: Final = ACCEPT_WITHIN_S + 10.0
DRAIN_WITHIN_S: Final = 60.0

APPLY_STATUS: Final[dict[str, int]] = {
    "accepted": 200,
    "staged": 200,
    "lost": 409,
    "invalid": 422,
    "unavailable": 503,
    "unsettled": 503,
}


class ApplyBody(msgspec.Struct):
    """A change: the documents, and the revision they were made on or None for any."""

    changes: list[dict[str, Any]]
    base: int | None = None


class DrainBody(msgspec.Struct):
    """A planned stop of a VM."""

    vm: str


class DocumentRow(msgspec.Struct):
    """One line of a listing."""

    kind: str
    name: str


class OperatorApi:
    """The WSGI application for operators."""

    def __init__(self, name: str, keys: tuple[str, ...], host: Host) -> None:
        self._name = name
        self._keys = keys
        self._host = host
        self._numbers = itertools.count(1)
        self._routes: dict[tuple[str, str], Callable[[bytes, StartResponse], list[bytes]]] = {
            ("POST", "/v1/apply"): self._apply,
            ("POST", "/v1/drain"): self._drain,
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
        if not self._is_known(bearer_of(environ)):
            return _refuse(start, "unauthorized", "")
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        match read_body(environ, BODY_LIMIT_BYTES):
            case Err(code):
                return _refuse(start, code, "")
            case Ok(body):
                pass
        route = self._routes.get((method, path))
        if route is not None:
            return self._guarded(route, body, start)
        for prefix, lookup in self._lookups.items():
            if method == "GET" and path.startswith(prefix):
                return lookup(path.removeprefix(prefix), start)
        return _refuse(start, "not_found", path)

    def _is_known(self, key: str | None) -> bool:
        """Whether a key is an operator's; every digest is compared, in constant time."""
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
            return _refuse(start, "bad_request", str(exc))

    def _apply(self, body: bytes, start: StartResponse) -> list[bytes]:
        asked = msgspec.json.decode(body, type=ApplyBody)
        request_id = f"operator-{next(self._numbers)}"
        changes = msgspec.json.encode(asked.changes)
        exchange = self._host.open(request_id)
        try:
            self._host.tell(ApplyRequested(request_id, changes, asked.base))
            ended = exchange.take(APPLY_WITHIN_S)
        finally:
            self._host.release(request_id)
        if not isinstance(ended, ApplyEnded):
            ended = ApplyEnded(request_id, "unsettled", 0, "no answer from the platform yet", ())
        return send_json(start, APPLY_STATUS[ended.state], ended._asdict())

    def _drain(self, body: bytes, start: StartResponse) -> list[bytes]:
        asked = msgspec.json.decode(body, type=DrainBody)
        request_id = f"operator-{next(self._numbers)}"
        exchange = self._host.open(request_id)
        try:
            self._host.tell(DrainRequested(request_id, asked.vm))
            ended = exchange.take(DRAIN_WITHIN_S)
        finally:
            self._host.release(request_id)
        if not isinstance(ended, DrainEnded):
            running = self._host.query(lambda core, now_s: len(core.serving.endings.runs))
            ended = DrainEnded(request_id, "draining", running)
        return send_json(start, 200, ended._asdict())

    def _list(self, body: bytes, start: StartResponse) -> list[bytes]:
        def ask(core: Core, now_s: float) -> tuple[int, list[DocumentId]]:
            return core.config.revision, sorted(core.config.view.documents)

        revision, ids = self._host.query(ask)
        rows = [DocumentRow(doc_id.kind, doc_id.name) for doc_id in ids]
        return send_json(start, 200, {"revision": revision, "documents": rows})

    def _get(self, rest: str, start: StartResponse) -> list[bytes]:
        kind, _, name = rest.partition("/")

        def ask(core: Core, now_s: float) -> tuple[int, Document | None]:
            return core.config.revision, core.config.view.documents.get(DocumentId(kind, name))

        revision, document = self._host.query(ask)
        if document is None:
            return _refuse(start, "not_found", f"no {kind} {name}")
        return send_json(start, 200, {"revision": revision, "document": to_plain(document)})

    def _status(self, body: bytes, start: StartResponse) -> list[bytes]:
        status = self._host.query(read_status)
        plain = status._asdict()
        plain["members"] = [row._asdict() for row in status.members]
        plain["targets"] = [row._asdict() for row in status.targets]
        return send_json(start, 200, plain)

    def _burn(self, body: bytes, start: StartResponse) -> list[bytes]:
        return send_json(start, 200, self._host.query(lambda core, now_s: core.burn.report(now_s)))

    def _explain(self, request_id: str, start: StartResponse) -> list[bytes]:
        found = self._host.query(lambda core, now_s: core.explanations.find(request_id))
        if found is None:
            return _refuse(start, "not_found", f"{self._name} doesn't remember {request_id}")
        plain = found._asdict()
        plain["candidates"] = [item._asdict() for item in found.candidates]
        plain["attempts"] = [item._asdict() for item in found.attempts]
        return send_json(start, 200, plain)


def _refuse(start: StartResponse, code: str, detail: str) -> list[bytes]:
    return send_problem(start, problem_body(code, detail, "not_run", "", 0.0))
