"""Calls to targets by urllib3: attempts, resumed streams, polls, orders and exports.

An attempt is opened on the thread that serves the request and read there.  Its answer must echo the
attempt's id and, from a runner, the weight version asked for, before a byte is passed on.  Failures
come back as values; ``sent`` is False only where no byte can have reached the target.
"""

import functools
import ssl
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError, ReadTimeoutError

from filbertstream.actions import (
    CancelAttempt,
    ExportPieces,
    OrderTarget,
    PollTarget,
    ResumeAttempt,
    SendAttempt,
)
from filbertstream.connection.platform_client import never_sent
from filbertstream.events import (
    LoadReported,
    OrderFinished,
    PiecesExported,
    StoredPiece,
    StoreListed,
    TargetSilent,
)
from filbertstream.process.host import Host

WORKERS: Final = 4
CONNECT_S: Final = 0.5
CONTROL_READ_S: Final = 2.0
EXPORT_READ_S: Final = 30.0
POOLED_CONNECTIONS: Final = 256
RUNNER_POOLS: Final = 64

OK: Final = 200
CONFLICT: Final = 409
NOT_FOUND: Final = 404

ATTEMPT_HEADER: Final = "X-Request-Id"
VERSION_HEADER: Final = "X-Weight-Version"
PRIORITY_HEADER: Final = "X-Priority"
FENCING_HEADER: Final = "X-Fencing"


class Failure(NamedTuple):
    """Why an attempt has no whole answer, and whether a byte of it may have been sent."""

    cause: str
    sent: bool


class _Piece(msgspec.Struct):
    name: str
    root: str


class _Load(msgspec.Struct):
    running: int
    queued: int
    queued_tokens: int
    model: str
    weight_version: str
    age_s: float
    evicted: list[_Piece] = []


class _Listing(msgspec.Struct):
    pieces: list[_Piece]
    full: bool


class _Exported(msgspec.Struct):
    staging: str
    digest: str
    length: int


class _Order(msgspec.Struct):
    weight_version: str


def failure_of(exc: HTTPError) -> Failure:
    """Return what an exception of urllib3 means for an attempt."""
    if never_sent(exc):
        return Failure("unreachable", False)
    return Failure("silent" if isinstance(exc, ReadTimeoutError) else "cut", True)


class Answer:
    """An open answer of a target whose head has been checked."""

    def __init__(self, resp: urllib3.BaseHTTPResponse, first_byte_s: float) -> None:
        self._resp = resp
        self.status = resp.status
        self.first_byte_s = first_byte_s
        self.content_type = resp.headers.get("Content-Type", "application/octet-stream")

    def limit_silence(self, progress_s: float) -> None:
        """Bound the wait for each further byte."""
        connection = self._resp.connection
        sock = getattr(connection, "sock", None)
        if sock is not None:
            sock.settimeout(progress_s)

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raises urllib3's ``HTTPError`` where it breaks off."""
        yield from self._resp.stream()

    def whole(self) -> Result[bytes, Failure]:
        """Return the whole body, checked against its announced length."""
        try:
            body = self._resp.read()
        except HTTPError as exc:
            self.abort()
            return Err(failure_of(exc))
        self._resp.release_conn()
        return Ok(body)

    def finish(self) -> None:
        """Give the connection back for reuse; the body has been read to its end."""
        self._resp.drain_conn()
        self._resp.release_conn()

    def abort(self) -> None:
        """Close the connection: the rest of the body is of no use."""
        self._resp.close()


class TargetClient:
    """Connections to targets, and the workers for calls that no request waits for."""

    def __init__(self, ca_file: str | None, host: Host) -> None:
        self._ca_file = ca_file
        self._ca_stamp_ns = self._read_ca_stamp()
        self._host = host
        self._pool = self._new_pool()
        self._workers = ThreadPoolExecutor(WORKERS, thread_name_prefix="targets")
        self._actions: dict[type, Any] = {
            PollTarget: self._poll,
            CancelAttempt: self._cancel,
            OrderTarget: self._order,
            ExportPieces: self._export,
        }

    def _new_pool(self) -> urllib3.PoolManager:
        return urllib3.PoolManager(
            num_pools=RUNNER_POOLS,
            maxsize=POOLED_CONNECTIONS,
            retries=False,
            ca_certs=self._ca_file,
        )

    def _read_ca_stamp(self) -> int:
        return 0 if self._ca_file is None else Path(self._ca_file).stat().st_mtime_ns

    def reload(self) -> bool | None:
        """Use a changed file of authorities for new connections; None if it has not changed."""
        try:
            stamp_ns = self._read_ca_stamp()
            if stamp_ns == self._ca_stamp_ns:
                return None
            self._ca_stamp_ns = stamp_ns
            # Loaded once before it is used: a bad file must not disturb the pool in use.
            ssl.create_default_context(cafile=self._ca_file)
        except (OSError, ssl.SSLError):
            return False
        self._pool = self._new_pool()
        return True

    def start(self) -> None:
        """Take the core's actions towards targets that no request waits for."""
        for kind, call in self._actions.items():
            self._host.register(kind, functools.partial(self._workers.submit, call))

    def close(self) -> None:
        """Stop the workers and close all connections."""
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()

    def send(
        self, send: SendAttempt, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Result[Answer, Failure]:
        """Send an attempt and return its checked answer."""
        sent_headers = headers | {
            ATTEMPT_HEADER: send.attempt_id,
            PRIORITY_HEADER: str(send.priority),
        }
        if send.weight_version:
            sent_headers[VERSION_HEADER] = send.weight_version
        pool = self._pool
        if send.fresh:
            # On a pooled connection the library could not tell whether the target saw the bytes.
            pool = self._new_pool()
            sent_headers["Connection"] = "close"
        url = f"{send.address}{path}"
        return self._open(pool, method, url, body, sent_headers, send)

    def _open(
        self,
        pool: urllib3.PoolManager,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str],
        send: SendAttempt,
    ) -> Result[Answer, Failure]:
        timeout = urllib3.Timeout(connect=CONNECT_S, read=send.first_byte_s)
        began_s = time.monotonic()
        try:
            resp = pool.request(
                method, url, body=body, headers=headers, timeout=timeout, preload_content=False
            )
        except HTTPError as exc:
            failure = failure_of(exc)
            if failure.cause == "silent":
                # What silenced this connection has likely silenced the idle ones too.
                self._pool.clear()
            return Err(failure)
        answer = Answer(resp, time.monotonic() - began_s)
        if resp.headers.get(ATTEMPT_HEADER) != send.attempt_id:
            answer.abort()
            return Err(Failure("crossed", True))
        if send.weight_version and resp.headers.get(VERSION_HEADER) != send.weight_version:
            answer.abort()
            return Err(Failure("wrong_version", True))
        return Ok(answer)

    def resume(self, resume: ResumeAttempt) -> Result[Answer, Failure]:
        """Open the rest of a stream on a new connection."""
        pool = self._new_pool()
        timeout = urllib3.Timeout(connect=CONNECT_S, read=resume.progress_s)
        url = f"{resume.address}/v1/streams/{resume.attempt_id}?from={resume.offset}"
        try:
            resp = pool.request("GET", url, timeout=timeout, preload_content=False)
        except HTTPError as exc:
            return Err(failure_of(exc))
        answer = Answer(resp, 0.0)
        if resp.status != OK or resp.headers.get(ATTEMPT_HEADER) != resume.attempt_id:
            answer.abort()
            return Err(Failure("lost", True))
        return Ok(answer)

    def _control(self, method: str, url: str, **options: Any) -> urllib3.BaseHTTPResponse | None:
        """Make a short call; None where it failed."""
        timeout = options.pop("timeout", urllib3.Timeout(connect=CONNECT_S, read=CONTROL_READ_S))
        try:
            return self._pool.request(method, url, timeout=timeout, **options)
        except HTTPError:
            return None

    def _poll(self, poll: PollTarget) -> None:
        path = "/v1/pieces" if poll.kind == "store" else "/v1/load"
        resp = self._control("GET", f"{poll.address}{path}")
        if resp is None or resp.status != OK:
            self._host.tell(TargetSilent(poll.target))
            return
        try:
            if poll.kind == "store":
                listing = msgspec.json.decode(resp.data, type=_Listing)
                pieces = tuple(StoredPiece(row.name, row.root) for row in listing.pieces)
                self._host.tell(StoreListed(poll.target, pieces, listing.full))
            else:
                load = msgspec.json.decode(resp.data, type=_Load)
                self._host.tell(_reported(poll.target, load))
        except msgspec.DecodeError:
            self._host.tell(TargetSilent(poll.target))

    def _cancel(self, cancel: CancelAttempt) -> None:
        self._control("DELETE", f"{cancel.address}/v1/streams/{cancel.attempt_id}")

    def _order(self, order: OrderTarget) -> None:
        resp = self._control(
            "POST",
            f"{order.address}/v1/weights",
            body=msgspec.json.encode({"weight_version": order.weight_version}),
            headers={FENCING_HEADER: str(order.fencing)},
            timeout=urllib3.Timeout(connect=CONNECT_S, read=EXPORT_READ_S),
        )
        if resp is None or resp.status not in (OK, CONFLICT):
            self._host.tell(OrderFinished(order.target, "failed", ""))
            return
        outcome = "done" if resp.status == OK else "stale"
        version = msgspec.json.decode(resp.data, type=_Order).weight_version
        self._host.tell(OrderFinished(order.target, outcome, version))

    def _export(self, export: ExportPieces) -> None:
        """Have each piece staged by the runner, then check and publish it on the store."""
        began_s = time.monotonic()
        published: list[str] = []
        moved = 0
        for offset, name in enumerate(export.names):
            length = self._export_one(export, name, export.first_index + offset)
            if length is None:
                break
            published.append(name)
            moved += length
        seconds = time.monotonic() - began_s
        self._host.tell(PiecesExported(export.store, export.root, tuple(published), seconds, moved))

    def _export_one(self, export: ExportPieces, name: str, index: int) -> int | None:
        """Return the length of a piece that was published, or None."""
        order = {
            "piece": name,
            "to": export.store_address,
            "weight_version": export.weight_version,
        }
        timeout = urllib3.Timeout(connect=CONNECT_S, read=EXPORT_READ_S)
        url = f"{export.runner_address}/v1/kv/export"
        body = msgspec.json.encode(order)
        resp = self._control("POST", url, body=body, timeout=timeout)
        if resp is None or resp.status != OK:
            return None
        staged = msgspec.json.decode(resp.data, type=_Exported)
        publish = {
            "name": name,
            "root": export.root,
            "index": index,
            "staging": staged.staging,
            "digest": staged.digest,
            "length": staged.length,
        }
        url = f"{export.store_address}/v1/publish"
        resp = self._control("POST", url, body=msgspec.json.encode(publish))
        return staged.length if resp is not None and resp.status == OK else None


def _reported(target: str, load: _Load) -> LoadReported:
    return LoadReported(
        target,
        load.running,
        load.queued,
        load.queued_tokens,
        load.model,
        load.weight_version,
        load.age_s,
        tuple(StoredPiece(piece.name, piece.root) for piece in load.evicted),
    )
