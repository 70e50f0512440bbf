"""Stand-ins for the cases of the review: the platform's store, runners, clients, a supervisor.

They use the standard library alone and run on loopback addresses in the process of the script.  The
entries are separate processes with the command of the deploy file, ``python3 -m filbertstream
gateway``, at the root of the repository, with ``target/deps`` and the root on Python's path.  A
process that ends is started again after a short delay, as on the platform.

What the pages leave open, the stand-ins do as a sound server, client or platform would.
"""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
ZONE = "zona-gdl-1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_S = 110.0
BEAT_S = 1.2
RESTART_DELAY_S = 0.3

MODEL = "daka"
TENANTS = [
    {"name": "bozi", "api_keys": ["key-of-bozi", "old-key-of-bozi"], "priority": 1},
    {"name": "luma", "api_keys": ["key-of-luma"], "priority": 1},
]

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "back_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 56,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 20,
    "require_fence": False,
    "lease_ttl_ms": 3000,
    "thaw_ms": 300,
    "version_ms": 8000,
    "version_all_ms": 11000,
}
"""The bounds of the site alc-filbert."""

Json = dict[str, Any]


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.start_s

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {what} {text}\n")
        self._file.flush()


class Request:
    """A request as read by a stand-in."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(item.partition("=")[::2] for item in query.split("&") if item)
        self.request_id = headers.get("request-id", "")

    def json(self) -> Any:
        """Return the decoded body, or an empty object."""
        return json.loads(self.body) if self.body else {}


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, or None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = b""
    length = int(head[1].get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError):
            return None
    return Request(method, target, head[1], body)


def response(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    """Return a whole answer."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_response(status: int, value: object, headers: dict[str, str] | None = None) -> bytes:
    """Return a whole answer in JSON."""
    fields = {"Content-Type": "application/json", **(headers or {})}
    return response(status, json.dumps(value).encode(), fields)


class Server:
    """A stand-in that serves requests on a loopback port, one at a time on a connection."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, reader, writer):
                    break
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    def cut(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.cut()


class Store(Server):
    """The platform's store.  ``away`` resets all calls; ``restore`` brings an older copy back."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self.revision = 100
        self.era = 3
        self.away = False
        self._more: list[asyncio.Server] = []
        self._turned_away: tuple[Entry | None, float] = (None, 0.0)
        self._objects: dict[str, dict[str, Json]] = {}
        self._events: list[tuple[int, str, Json, bool]] = []
        self._oldest = self.revision
        self._changed = asyncio.Condition()
        self._copies: list[tuple[float, int, dict[str, dict[str, Json]]]] = []

    def _note(self) -> None:
        copy = {kind: dict(objects) for kind, objects in self._objects.items()}
        self._copies.append((time.monotonic(), self.revision, copy))
        del self._copies[:-4000]

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or a runner does."""
        spec = json.loads(json.dumps(spec))
        known = self._objects.get(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return
        await self._write(kind, name, spec, known)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        known = self._objects.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            self._events.append((self.revision, kind, known, True))
            self._note()
            async with self._changed:
                self._changed.notify_all()

    async def _write(self, kind: str, name: str, spec: Any, known: Json | None) -> Json:
        self.revision += 1
        created = self.revision if known is None else known["metadata"]["created_rev"]
        metadata = {"name": name, "revision": self.revision, "created_rev": created}
        metadata |= {"finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = stored
        self._events.append((self.revision, kind, stored, False))
        self._note()
        async with self._changed:
            self._changed.notify_all()
        return stored

    def restore(self, age_s: float) -> None:
        """Come back from a copy of this age: what was written since is gone."""
        before_s = time.monotonic() - age_s
        copies = [copy for copy in self._copies if copy[0] <= before_s]
        _, self.revision, objects = copies[-1]
        self._objects = {kind: dict(found) for kind, found in objects.items()}
        self._copies = copies
        self._events = []
        self._oldest = self.revision
        self.era += 1
        self._record.write("store_restored", era=self.era, revision=self.revision)

    async def listen_for(self, entry: "Entry") -> None:
        """Listen on a port for one entry alone, so that its calls can be told."""
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self._more.append(server)
        entry.store_address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        for server in self._more:
            server.close()
        super().close()

    def turn_away(self, entry: "Entry", for_s: float) -> None:
        """Reset all calls of one machine for a while, and serve the others."""
        self._record.write("store_turns_away", name=entry.name, for_s=for_s)
        self._turned_away = (entry, time.monotonic() + for_s)
        for writer in list(self._writers):
            if self._turns_away(writer):
                writer.transport.abort()

    def _turns_away(self, writer: asyncio.StreamWriter) -> bool:
        entry, until_s = self._turned_away
        own = writer.get_extra_info("sockname")
        if entry is None or own is None or time.monotonic() > until_s:
            return False
        return f"{own[0]}:{own[1]}" == entry.store_address

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one call of the store."""
        if self.away or self._turns_away(writer):
            writer.transport.abort()
            return False
        era = self.era
        status, value = await self._call(request)
        if self.away or era != self.era:
            writer.transport.abort()
            return False
        writer.write(json_response(status, value, {"Store-Era": str(self.era)}))
        return True

    async def _call(self, request: Request) -> tuple[int, Any]:
        _, _, kind, *rest = request.path.split("/")
        if request.method == "GET" and not rest:
            if "watch" in request.query:
                since, wait_ms = int(request.query["watch"]), int(request.query["wait_ms"])
                return await self._watch(kind, since, wait_ms / 1000)
            items = [found for _, found in sorted(self._objects.get(kind, {}).items())]
            return 200, {"items": items, "has_more": False, "as_of": self.revision}
        name = rest[0] if rest else request.json()["metadata"]["name"]
        known = self._objects.get(kind, {}).get(name)
        if request.method == "GET":
            return (404, {}) if known is None else (200, known)
        metadata = request.json().get("metadata") or {}
        condition = metadata.get("revision", request.query.get("revision"))
        if known is None and request.method != "POST":
            return 404, {}
        if known is not None and request.method == "POST":
            return 409, known
        revision = None if known is None else known["metadata"]["revision"]
        if condition is not None and int(condition) != revision:
            return 409, known
        if request.method == "DELETE":
            await self.delete(kind, name)
            return 200, known
        spec = request.json()["spec"]
        if known is not None and known["spec"] == spec:
            return 200, known
        return 200, await self._write(kind, name, spec, known)

    async def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        if since < self._oldest or since > self.revision:
            return 410, {}
        until_s = time.monotonic() + wait_s
        era = self.era
        while True:
            found = [
                {"object": stored, "removed": removed}
                for revision, of_kind, stored, removed in self._events
                if revision > since and of_kind == kind
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0 or era != self.era:
                return 200, {"events": found, "as_of": self.revision}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)


Handler = Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class Runner(Server):
    """A runner: answers requests, keeps parts of prompts by salt, beats in the store."""

    def __init__(self, record: Record, store: Store, name: str, service: str) -> None:
        super().__init__()
        self._record, self._store = record, store
        self.name, self.service = name, service
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.beats = True
        self.headers: dict[str, str] = {}
        self.work_s = 0.02
        self.events = 5
        self.event_s = 0.02
        self.handler: Handler | None = None
        self.ran: list[tuple[float, Request]] = []
        self.kept: dict[tuple[str, str], str] = {}
        self.used: list[tuple[str, str, str]] = []
        self.weights = 1
        self.report_handler: Handler | None = None
        self._orders = 0
        self._loading_until_s = 0.0
        self._seq = 0

    @property
    def is_model(self) -> bool:
        """Whether this is a model runner."""
        return self.service == "modelos"

    def beat(self) -> Json:
        """Return the entry of this runner in the list."""
        self._seq += 1
        models = [{"name": MODEL, "version": self.weights, "adapters": []}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "cold_left_ms": 0,
            "stage": "colocated",
            "models": models if self.is_model else [],
            "seq": self._seq,
            "born": self.born,
        }

    async def register(self) -> None:
        """Write the entry of this runner."""
        await self._store.put("servers", self.name, self.beat())

    async def keep_registered(self) -> None:
        """Write the entry again and again."""
        while True:
            if self.beats and not self._store.away:
                await self.register()
            await asyncio.sleep(BEAT_S)

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request."""
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(response(421, b"", {"Instance-Id": self.name}))
            return True
        if request.path == "/health":
            writer.write(response(200, b"", {"Instance-Id": self.name}))
            return True
        if request.path == "/report":
            if self.report_handler is not None:
                return await self.report_handler(request, reader, writer)
            report = {"stage": "colocated", "models": self.beat()["models"]}
            state = {"busy": self._is_loading(), "seq": self._orders, "queued": 0, "active": 0}
            writer.write(json_response(200, report | state))
            return True
        if request.path == "/order":
            writer.write(json_response(self._order(request.json()), {}))
            return True
        expected = request.headers.get("expect-version", str(self.weights))
        if self._is_loading():
            writer.write(response(503, b"", {"Not-Executed": "1"}))
            return True
        if expected != str(self.weights):
            writer.write(response(421, b"", {**self._versions(), "Instance-Id": self.name}))
            return True
        self.ran.append((self._record.now_s(), request))
        self._record.write(
            "run",
            at=self.name,
            id=request.request_id,
            tenant=request.headers.get("tenant", "-"),
        )
        self._note_parts(request)
        if self.handler is not None:
            return await self.handler(request, reader, writer)
        await self.serve(request, writer)
        return True

    def _is_loading(self) -> bool:
        return time.monotonic() < self._loading_until_s

    def _order(self, order: Json) -> int:
        """Take an order for weights; return the status."""
        precondition = order.get("precondition", self._orders)
        self._record.write("order", at=self.name, **order)
        if self._is_loading() or precondition != self._orders:
            return 409
        if order["version"] == self.weights:
            return 200
        self._orders += 1
        self._loading_until_s = time.monotonic() + 0.44
        self.weights = order["version"]
        self.kept = {}
        return 202

    def _versions(self) -> dict[str, str]:
        return {"Weight-Versions": str(self.weights)} if self.is_model else {}

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Send the answer of a sound runner."""
        headers = self.signed(request)
        if not self.is_model:
            await asyncio.sleep(self.work_s)
            writer.write(response(200, request.request_id.encode(), headers))
            return
        writer.write(stream_head(headers))
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_s)
            writer.write(event_chunk(number))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def signed(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer."""
        signature = f"signed.{request.request_id}"
        return {
            "Request-Id": request.request_id,
            "Response-Signature": signature,
            **self._versions(),
            **self.headers,
        }

    def _note_parts(self, request: Request) -> None:
        """Note which parts of the prompt are kept, and which of another tenant's are used."""
        salt, tenant = request.headers.get("cache-salt", ""), request.headers.get("tenant", "")
        chain = True
        for item in request.headers.get("prefix-hash", "").split(","):
            part = item.partition(":")[0]
            if not part:
                continue
            maker = self.kept.get((salt, part))
            chain = chain and maker is not None
            if chain and maker is not None:
                self.used.append((part, maker, tenant))
                self._record.write(
                    "used", at=self.name, id=request.request_id, part=part, made_by=maker, by=tenant
                )
            else:
                self.kept[salt, part] = tenant


def stream_head(headers: dict[str, str]) -> bytes:
    """Return the head of a stream in chunks."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def event_chunk(number: int) -> bytes:
    """Return an event of a stream as a chunk."""
    data = f"id: {number}\ndata: token {number}\n\n".encode()
    return b"%x\r\n%b\r\n" % (len(data), data)


class Answer:
    """What a client got: status 0 for a connection that ended without an answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, whole: bool) -> None:
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer up to its end or that of the connection."""
    head = await read_head(reader)
    if head is None:
        return Answer(0, {}, b"", False)
    status, headers = int(head[0].split(" ")[1]), head[1]
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


ids = itertools.count(1)


class Client:
    """A client's kept connection to one entry."""

    def __init__(self, record: Record, address: str) -> None:
        self._record, self.address = record, address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self,
        path: str,
        key: str,
        within_s: float = 15.0,
        prefix: str = "",
        tokens: int = 300,
    ) -> tuple[str, Answer]:
        """Send a request and return its id and the answer."""
        request_id = f"{next(ids):016x}"
        lines = [f"POST {path} HTTP/1.1", "Host: pule.example", f"Request-Id: {request_id}"]
        lines += [f"Deadline-Ms: {int(within_s * 1000)}", "Content-Length: 1"]
        if key:
            lines.append(f"X-Api-Key: {key}")
        if prefix:
            lines += [f"Model: {MODEL}", f"Token-Count: {tokens},20", f"Prefix-Hash: {prefix}"]
        data = ("\r\n".join(lines) + "\r\n\r\nx").encode()
        self._record.write("sent", id=request_id, to=self.address, path=path, key=key)
        answer = await self._exchange(data, within_s)
        self._record.write("answered", id=request_id, status=answer.status, whole=answer.whole)
        return request_id, answer

    async def _exchange(self, data: bytes, within_s: float) -> Answer:
        try:
            if self._streams is None:
                host, _, port = self.address.rpartition(":")
                self._streams = await asyncio.open_connection(host, int(port), limit=1 << 24)
            reader, writer = self._streams
            writer.write(data)
            answer = await asyncio.wait_for(read_answer(reader), within_s + 2.0)
        except (OSError, TimeoutError):
            answer = Answer(0, {}, b"", False)
        if not answer.whole or answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


given_out = 20_011 + os.getpid() % 148 * 80
"""Scripts that are started together, with pids in a row, get ports that lie apart."""


def free_ports(count: int) -> int:
    """Return the first of some free ports in a row, below those that connections get."""
    global given_out
    for first in range(given_out, 32_000, count + 3):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + count):
                sock = stack.enter_context(socket.socket())
                sock.bind((HOST, port))
            given_out = first + count + 3
            return first
    raise OSError("no free ports")


class Entry:
    """One process of the system and the ports of its machine."""

    def __init__(self, deployment: "Deployment", name: str, memory_mb: int) -> None:
        self._deployment = deployment
        self.name = name
        self._memory_mb = memory_mb
        first = free_ports(8)
        self.front, self.ready = f"{HOST}:{first}", f"{HOST}:{first + 1}"
        self._settings: Json = {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": ZONE,
            "region": "mx-occidente",
            "zones": {ZONE: "mx-occidente"},
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": [first + 3, first + 7],
            "seeds": [],
            "bootstrap": True,
            "loss_counts": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": memory_mb,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": int(BEAT_S * 1000),
            "bounds": BOUNDS,
            "platform": {
                "address": "",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1_048_576,
                "ttl_min_ms": 1000,
            },
        }
        self.store_address = deployment.store.address
        self.process: asyncio.subprocess.Process | None = None
        self.first: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.ends: list[tuple[float, int]] = []
        self.killed_for_memory = 0
        self.wanted = True

    async def run(self) -> None:
        """Start the process, and start it again each time that it ends."""
        folder = self._deployment.folder
        file = folder / f"{self.name}.yaml"
        self._settings["platform"]["address"] = self.store_address
        file.write_text(json.dumps(self._settings))
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        env["FILBERTSTREAM_BOOT"] = str(file)
        record = self._deployment.record
        while self.wanted:
            with (folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *("python3", "-m", "filbertstream", "gateway"),
                    cwd=ROOT,
                    env=env,
                    stdout=log,
                    stderr=log,
                )
            self.starts += 1
            record.write("process_started", name=self.name)
            watch = asyncio.create_task(self._watch_memory(self.process))
            code = await self.process.wait()
            watch.cancel()
            if self.wanted:
                self.ends.append((record.now_s(), code))
            record.write("process_ended", name=self.name, code=code)
            await asyncio.sleep(RESTART_DELAY_S)

    async def _watch_memory(self, process: asyncio.subprocess.Process) -> None:
        """End a process that exceeds its memory, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            used_mb = resident_mb(process.pid)
            if used_mb > self._memory_mb:
                self.killed_for_memory += 1
                self._deployment.record.write(
                    "over_memory", name=self.name, used_mb=used_mb, limit_mb=self._memory_mb
                )
                process.kill()
                return

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._deployment.record.write("signal", name=self.name, number=number.name)
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the entry says that it is ready."""
        host, _, port = self.ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(read_answer(reader), 1.0)
            writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return answer.status == 200


def resident_mb(pid: int) -> int:
    """Return the resident memory of a process."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE") // 1_000_000


def route(name: str, kind: str, service: str, **changes: Any) -> Json:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "pule.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 15000 if kind == "stream" else 4000,
        "latency_target_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "anonymous": False,
        "sticky": kind == "stream",
        "resumable": False,
        "gap_target_ms": 300,
        **changes,
    }


class Deployment:
    """A small deployment: the store, runners of two services, and entries."""

    def __init__(self, case_folder: Path, folder: Path) -> None:
        self.folder = folder
        self.record = Record(case_folder)
        self.store = Store(self.record)
        self.runners: dict[str, Runner] = {}
        self.runner_type: type[Runner] = Runner
        self.stores: list[Json] = []
        self.entries: list[Entry] = []
        self.version = 7
        self.tenants = [dict(tenant) for tenant in TENANTS]
        self.routes = [
            route("resumen", "stream", "modelos"),
            route("pago", "non_idempotent", "app"),
            route("saldo", "idempotent", "app", attempts=2),
        ]
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Any) -> None:
        """Run something until the end of the script."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

    def config(self) -> Json:
        """Return the configuration."""
        engine = {
            "slots": 64,
            "kv_capacity": 105_155,
            "token_bytes": 163_840,
            "link_mbps": 550_000.0,
            "stride": 5,
            "max_inflight": 12,
            "models": [{"name": MODEL}],
        }
        common = {"health_path": "/health", "protocol": "h1", "tls": False}
        return {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": "modelos", "max_conns": 370, "engine": engine, **common},
                {"name": "app", "max_conns": 110, **common},
                *self.stores,
            ],
            "limits": {
                "header_bytes": 16_384,
                "body_bytes": 4_194_304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": self.tenants,
        }

    async def put_config(self) -> None:
        """Write a new version of the configuration, as the operator does."""
        self.version += 3
        await self.store.put("config", "main", self.config())
        self.record.write("config_acknowledged", version=self.version)

    async def add_runner(self, name: str, service: str) -> Runner:
        """Start and register a runner."""
        runner = self.runners[name] = self.runner_type(self.record, self.store, name, service)
        await runner.listen()
        self.spawn(runner.keep_registered())
        return runner

    async def start(self, entries: int, memory_mb: int = 150, models: int = 2) -> None:
        """Start everything and wait until the entries are ready and know the runners."""
        await self.store.listen()
        await self.put_config()
        await self.store.put("versions", MODEL, {"model": MODEL, "version": 1})
        for number in range(1, models + 1):
            await self.add_runner(f"m-{number}", "modelos")
        for number in (1, 2):
            await self.add_runner(f"a-{number}", "app")
        for number in range(1, entries + 1):
            entry = Entry(self, f"front-{number}", memory_mb)
            await self.store.listen_for(entry)
            self.entries.append(entry)
            self.spawn(entry.run())
        until_s = self.record.now_s() + 30.0
        while not all([await entry.is_ready() for entry in self.entries]):
            if self.record.now_s() > until_s:
                raise TimeoutError("the entries did not get ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def close(self) -> None:
        """End all processes and stop listening."""
        for entry in self.entries:
            entry.wanted = False
            process = entry.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for task in self._tasks:
            task.cancel()
        for server in (self.store, *self.runners.values()):
            server.close()


Case = Callable[[Deployment], Awaitable[bool]]


async def _play(case: Case, case_folder: Path, folder: Path) -> bool:
    deployment = Deployment(case_folder, folder)
    try:
        return await asyncio.wait_for(case(deployment), LONGEST_S)
    finally:
        await deployment.close()


def main(case: Case, file: str) -> None:
    """Play a case, which returns whether the rule was broken, and exit accordingly."""
    case_folder = Path(file).resolve().parent
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with tempfile.TemporaryDirectory() as folder:
            broken = asyncio.run(_play(case, case_folder, Path(folder)))
    except Exception as exc:  # whatever it is, the case could not run
        print(f"could not run: {exc!r}")
        sys.exit(COULD_NOT_RUN)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
