"""What the cases 11 to 15 share: entry processes, a store, runners, links and clients.

The entries are the project's own program, started with the command of the deploy file, each as a
process of its own.  The store, the runners, the clients and the links between them are small
stand-ins in the process of the case, on loopback addresses and the real clock.  Only the standard
library is used.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "h.example"
KEY = "key-of-w"
MODEL = "m"
LIMIT_S = 110.0
BROKEN = 10
"""What a case exits with if the rule was broken; ``run.sh`` makes 1 of it, and 2 of any error."""

POLL_S = 0.01
SAMPLE_S = 0.01
RESTART_S = 0.5
BYTES_PER_MB = 1_048_576
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

LIMITS = {
    "header_bytes": 16_384,
    "body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
"""The limits that the pages' example of a configuration names."""

CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "kvcache",
    "stream",
    "engine",
    "tenants",
    "platform",
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
    "retry_slack": 52,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 20,
    "require_fence": False,
    "lease_ttl_ms": 3000,
    "thaw_ms": 300,
    "version_ms": 8000,
    "version_all_ms": 11000,
}
"""The bounds of cwmdu-ice."""


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration, with some fields changed."""
    fields = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 15_000,
        "latency_target_ms": 1000,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "anonymous": False,
        "sticky": kind == "stream",
        "resumable": False,
    }
    if kind == "stream":
        fields["gap_target_ms"] = 300
    return fields | changes


def config(version: int, keys: list[str], routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with one tenant, which holds ``keys``."""
    engine = {
        "slots": 64,
        "kv_capacity": 105_184,
        "token_bytes": 163_840,
        "max_inflight": 12,
        "models": [{"name": MODEL}],
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "models", "health_path": "/health", "max_conns": 360, "engine": engine},
            {"name": "app", "health_path": "/health", "max_conns": 96},
        ],
        "limits": LIMITS,
        "tenants": [{"name": "w", "api_keys": keys, "priority": 1}],
    }


class Record:
    """The file ``record.txt`` of a case: a line for each thing sent, answered, run or done."""

    def __init__(self, folder: Path) -> None:
        self._began_s = time.monotonic()
        file = Path(os.environ.get("RECORD", str(folder / "record.txt")))
        self._file = file.open("w")

    def line(self, what: str, **fields: Any) -> None:
        """Write a line with the seconds since the start."""
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began_s:9.3f} {what} {told}\n")
        self._file.flush()


class Request:
    """A request as it arrived at a stand-in."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        """The id that the client gave it."""
        return self.headers.get("request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end; bodies come with a length."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, path, headers, body)


def response(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Return a complete response."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_response(status: int, value: Any, headers: dict[str, str]) -> bytes:
    """Return a response with a JSON body."""
    return response(
        status, json.dumps(value).encode(), {"Content-Type": "application/json", **headers}
    )


class Server:
    """A server on a free loopback port; ``serve`` gets each connection."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def listen(self, port: int = 0) -> None:
        """Listen on a port, by default on a free one."""
        self._server = await asyncio.start_server(
            self._accept, LOOPBACK, port, backlog=1024, limit=1 << 23
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self.serve(reader, writer)
        writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until it ends."""
        raise NotImplementedError

    def close(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    async def end(self) -> None:
        """Accept no more connections, and end those that are open."""
        self.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Store(Server):
    """The platform's store: objects with revisions, conditional writes, watches, and drills."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self._revision = 10
        self._history: list[tuple[float, int, str, str, Any]] = []
        self.objects: dict[str, dict[str, Any]] = {}
        self.era = 1
        self.away = False

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or a runner does."""
        self._put(kind, name, spec)

    def note(self, kind: str, name: str, spec: Any) -> None:
        """Write and acknowledge an object, right before the store goes away: no watch hears it."""
        self._put(kind, name, spec)
        self.away = True

    def _put(self, kind: str, name: str, spec: Any) -> Any:
        self._revision += 1
        meta = {
            "name": name,
            "revision": self._revision,
            "created_rev": self._revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": meta, "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = item
        self._history.append((time.monotonic(), self._revision, kind, name, item))
        return item

    async def drill(self, copy_age_s: float, away_s: float) -> None:
        """Be away, and come back from a copy of ``copy_age_s`` before now."""
        until_s = time.monotonic() - copy_age_s
        kept = [change for change in self._history if change[0] <= until_s]
        self.away = True
        await asyncio.sleep(away_s)
        self.objects = {}
        for _, revision, kind, name, item in kept:
            self._revision = revision
            objects = self.objects.setdefault(kind, {})
            if item is None:
                objects.pop(name, None)
            else:
                objects[name] = item
        self._history = kept
        self.era += 1
        self.away = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until it ends or the store goes away."""
        while (request := await read_request(reader)) is not None:
            if self.away:
                return
            status, value = await self._answer(request)
            if self.away:
                return
            writer.write(json_response(status, value, {"Store-Era": str(self.era)}))
            await writer.drain()

    async def _answer(self, request: Request) -> tuple[int, Any]:
        path, _, text = request.path.partition("?")
        parts = path.strip("/").split("/")[1:]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else "")
        query = dict(item.split("=", 1) for item in text.split("&") if "=" in item)
        if request.method == "GET":
            return await self._read(kind, name, query)
        body = json.loads(request.body or b"null") or {}
        meta = body.get("metadata") or {}
        status, value = self._write(request.method, kind, name or meta["name"], body, meta)
        return status, value

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        if name:
            found = self.objects.get(kind, {}).get(name)
            return (404, None) if found is None else (200, found)
        if "watch" not in query:
            items = [
                item
                for _, item in sorted(self.objects.get(kind, {}).items())
                if item["metadata"]["name"] > query.get("after", "")
            ]
            return 200, {"items": items, "has_more": False, "as_of": self._revision}
        since, era = int(query["watch"]), self.era
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if self.away or self.era != era or since > self._revision:
                return 410, {"error": "gone"}
            events = [
                {"object": item or {"metadata": {"name": named}}, "removed": item is None}
                for _, revision, changed, named, item in self._history
                if revision > since and changed == kind
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self._revision}
            await asyncio.sleep(min(left_s, POLL_S))

    def _write(
        self, method: str, kind: str, name: str, body: Any, meta: dict[str, Any]
    ) -> tuple[int, Any]:
        objects = self.objects.setdefault(kind, {})
        present = objects.get(name)
        if method == "POST" and present is not None:
            return 409, present
        if method != "POST" and present is None:
            return 404, None
        expected = meta.get("revision")
        if method != "POST" and expected not in (None, present["metadata"]["revision"]):
            return 409, present
        if method == "DELETE":
            self._revision += 1
            del objects[name]
            self._history.append((time.monotonic(), self._revision, kind, name, None))
            return 200, None
        return 200, self._put(kind, name, body.get("spec"))


class Link(Server):
    """The link of one machine to a server: passes bytes on, or holds them up while it is cut."""

    def __init__(self, server: Server) -> None:
        super().__init__()
        self._to = server
        self.cut = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass bytes on both ways until one side ends."""
        host, _, port = self._to.address.rpartition(":")
        there, back = await asyncio.open_connection(host, int(port))
        pumps = [
            asyncio.create_task(self._pump(reader, back)),
            asyncio.create_task(self._pump(there, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            back.transport.abort()

    async def _pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await source.read(65_536):
                while self.cut:
                    await asyncio.sleep(0.05)
                sink.write(data)
                await sink.drain()
        while self.cut:
            await asyncio.sleep(0.05)


class Runner(Server):
    """A sound runner: it answers with a signature; streams get ``events`` events."""

    def __init__(self, name: str, service: str, record: Record, events: int = 8) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.events = events
        self.event_s = 0.02
        self.work_s = 0.0
        self.ran: list[Request] = []
        self.open = 0

    def registration(self) -> dict[str, Any]:
        """Return what the runner writes to the store."""
        models = [{"name": MODEL, "version": 1, "adapters": []}] if self.service == "models" else []
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "colocated",
            "models": models,
            "seq": 1,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of a connection."""
        while (request := await read_request(reader)) is not None:
            if request.path == "/health" or request.path.startswith("/kv-"):
                empty = {"boot_epoch": 1, "next": 0, "lost": False, "events": [], "held": []}
                if "wait-ms" in request.headers:
                    await asyncio.sleep(int(request.headers["wait-ms"]) / 1000)
                headers = {"Instance-Id": self.name, "Server-Load": "0,0,64"}
                writer.write(json_response(200, empty, headers))
                await writer.drain()
                continue
            self.ran.append(request)
            self.record.line(
                "run",
                runner=self.name,
                id=request.request_id,
                method=request.method,
                path=request.path,
                body_bytes=len(request.body),
            )
            self.open += 1
            try:
                await self.answer(request, writer)
            finally:
                self.open -= 1

    def headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer."""
        return {
            "Request-Id": request.request_id,
            "Response-Signature": f"sig.{self.name}.{request.request_id}",
            "Instance-Id": self.name,
            "Server-Load": "1,0,64",
        }

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        if self.service != "models":
            await asyncio.sleep(self.work_s)
            writer.write(
                response(200, b"done " + request.request_id.encode(), self.headers(request))
            )
            await writer.drain()
            return
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked", "Weight-Versions: 1"]
        lines += [f"{name}: {value}" for name, value in self.headers(request).items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Ports:
    """Free loopback ports below those that the system gives out by itself."""

    def __init__(self) -> None:
        self._random = random.Random(os.getpid() ^ time.time_ns())

    def take(self, count: int = 1) -> int:
        """Return the first of ``count`` adjacent free ports."""
        while True:
            first = self._random.randrange(12_000, 31_000)
            with contextlib.ExitStack() as open_sockets:
                try:
                    for port in range(first, first + count):
                        sock = open_sockets.enter_context(socket.socket())
                        sock.bind((LOOPBACK, port))
                except OSError:
                    continue
            return first


class Entry:
    """One process of the system, started with the command of the deploy file."""

    def __init__(
        self, name: str, folder: Path, store: str, ports: Ports, record: Record, memory_mb: int
    ) -> None:
        self.name = name
        self._record = record
        self._log = folder / f"{name}.log"
        self._file = folder / f"{name}.yaml"
        front, ready, own = ports.take(), ports.take(), ports.take(4)
        self.port, self._ready_port = front, ready
        self.memory_mb = memory_mb
        self.ends = 0
        self.most_mb = 0.0
        self.process: subprocess.Popen[bytes] | None = None
        settings = {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": LOOPBACK,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {"front": f"{LOOPBACK}:{front}", "ready": f"{LOOPBACK}:{ready}"},
            "port_range": [own, own + 3],
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
            "heartbeat_ms": 1200,
            "contracts": CONTRACTS,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        # JSON is YAML too.
        self._file.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        path = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        env = {**kept, "PYTHONPATH": path, "FILBERTSTREAM_BOOT": str(self._file)}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as sink:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=sink, stderr=subprocess.STDOUT
            )
        self._record.line("start", entry=self.name, pid=self.process.pid)

    async def ready(self) -> bool:
        """Whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self._ready_port)
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.transport.abort()

    def memory_kb(self, field: str) -> int:
        """Return ``VmRSS`` or ``VmHWM`` of the process."""
        if self.process is None:
            return 0
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1])
        return 0

    def resident_mb(self) -> float:
        """Return the resident memory of the process."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB

    async def enforce_memory(self) -> None:
        """Kill the process when it exceeds its memory, and start it again, as the platform does."""
        while True:
            held_mb = self.resident_mb()
            self.most_mb = max(self.most_mb, held_mb)
            if held_mb > self.memory_mb:
                self._record.line("killed", entry=self.name, resident_mb=round(held_mb, 1))
                self.end()
                self.ends += 1
                await asyncio.sleep(RESTART_S)
                self.start()
            await asyncio.sleep(SAMPLE_S)

    def log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace")

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)


class Answer:
    """What a client got: the status 0 stands for a connection that ended without an answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, complete: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    @property
    def signed(self) -> bool:
        """Whether a runner made it."""
        return "response-signature" in self.headers


def head(
    method: str, path: str, request_id: str, key: str, *lines: str, deadline_ms: int = 4000
) -> bytes:
    """Return the head of a request."""
    found = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}"]
    found += [f"Deadline-Ms: {deadline_ms}", f"X-Api-Key: {key}", *lines]
    return "\r\n".join(found).encode() + b"\r\n\r\n"


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, {}, b"", False)
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                body += part[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


async def ask(port: int, data: bytes, within_s: float = 20.0) -> Answer:
    """Send a request on a new connection and return its answer."""
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port, limit=1 << 22)
    except OSError:
        return Answer(0, {}, b"", False)
    try:
        writer.write(data)
        return await asyncio.wait_for(read_answer(reader), within_s)
    except (OSError, TimeoutError):
        return Answer(0, {}, b"", False)
    finally:
        writer.transport.abort()


class KeptCaller:
    """A client that books again and again on one kept connection to a machine.

    ``cut`` are the ids of the bookings whose connection ended without an answer.
    """

    def __init__(self, number: int, entry: Entry, record: Record) -> None:
        self._number = number
        self._entry = entry
        self._record = record
        self.sent = 0
        self.answered = 0
        self.cut: list[str] = []

    async def play(self, path: str, deadline_ms: int, pause_s: float = 0.02) -> None:
        """Book until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self._entry.port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while await self._book(reader, writer, path, deadline_ms):
                    await asyncio.sleep(pause_s)
            except OSError:
                pass
            finally:
                writer.transport.abort()

    async def _book(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: str,
        deadline_ms: int,
    ) -> bool:
        """Send a booking and read its answer; return whether the connection may be kept."""
        self.sent += 1
        request_id = f"{self._number:06x}{self.sent:010x}"
        length = "Content-Length: 2"
        writer.write(head("POST", path, request_id, KEY, length, deadline_ms=deadline_ms) + b"{}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                answer = await read_answer(reader)
        except TimeoutError:
            self._record.line("no answer in time", id=request_id, entry=self._entry.name)
            return False
        if not answer.status:
            self.cut.append(request_id)
            self._record.line("cut", id=request_id, entry=self._entry.name)
            return False
        self.answered += 1
        return answer.headers.get("connection", "").lower() != "close"


def lost(callers: list[KeptCaller], runners: list["Runner"]) -> int:
    """Return how many bookings ran at a runner, and ended with their connection, unanswered."""
    ran = {request.request_id for runner in runners for request in runner.ran}
    return sum(request_id in ran for caller in callers for request_id in caller.cut)


async def wait_until(done: Callable[[], Awaitable[bool]], within_s: float = 25.0) -> None:
    """Wait until something holds; raises ``TimeoutError``."""
    end_s = time.monotonic() + within_s
    while not await done():
        if time.monotonic() > end_s:
            raise TimeoutError("the deployment did not become ready")
        await asyncio.sleep(0.05)


class Deployment:
    """A store, runners and entries; each entry has a link of its own to the store."""

    def __init__(self, folder: Path, record: Record, memory_mb: int = 300) -> None:
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.runners: list[Runner] = []
        self.links: dict[str, Link] = {}
        self.entries: list[Entry] = []
        self._memory_mb = memory_mb
        self._ports = Ports()

    async def start(self, entries: int, runners: list[Runner], first: dict[str, Any]) -> None:
        """Start everything, and wait until the entries are ready and know their runners."""
        await self.store.listen()
        await self.store.put("config", "main", first)
        await self.store.put("versions", MODEL, {"model": MODEL, "version": 1})
        self.runners = runners
        for runner in runners:
            await runner.listen()
            await self.store.put("servers", runner.name, runner.registration())
        for number in range(1, entries + 1):
            name = f"e{number}"
            link = self.links[name] = Link(self.store)
            await link.listen()
            entry = Entry(
                name, self.folder, link.address, self._ports, self.record, self._memory_mb
            )
            self.entries.append(entry)
            entry.start()
        for entry in self.entries:
            await wait_until(entry.ready)
        await asyncio.sleep(3.0)

    async def end(self) -> None:
        """End the stand-ins."""
        for server in (*self.links.values(), self.store, *self.runners):
            await server.end()

    def close(self) -> None:
        """End the processes that were started here."""
        for entry in self.entries:
            entry.end()


Case = Callable[[Deployment, Record], Awaitable[bool]]


def run(folder: Path, play: Case, memory_mb: int = 300) -> int:
    """Play a case; return ``BROKEN``, 0 if the rule held, or 2 if the case could not run."""
    record = Record(folder)
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    deployment: Deployment | None = None

    async def main() -> bool:
        nonlocal deployment
        deployment = Deployment(scratch, record, memory_mb)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await play(deployment, record)
        finally:
            deployment.close()
            await deployment.end()

    try:
        broken = asyncio.run(main())
    except Exception as exc:
        record.line("could not run", error=repr(exc))
        print(f"could not run: {exc!r}", file=sys.stderr)
        return 2
    finally:
        if deployment is not None:
            deployment.close()
        if "KEEP" in os.environ:
            shutil.copytree(scratch, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(scratch, ignore_errors=True)
    record.line("verdict", broken=broken, trouble=TROUBLE)
    print("rule broken" if broken else "rule held")
    return BROKEN if broken else 0
