"""Stand-ins of the second review, in one event loop, with the standard library only.

``Store`` is the platform's metadata store, ``Runner`` a runner of a service, ``Entry`` a process of
the system started with the command of the deploy file, ``Record`` the file ``record.txt``.  All
addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MAX_S = 110.0
PAGE = 500

BOUNDS: dict[str, Any] = {
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
"""The bounds of ``sites/cwmdu-ice.toml``, as its processes are told them."""


def troubled() -> bool:
    """Whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def now() -> float:
    """The steady clock."""
    return time.monotonic()


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._from_s = now()

    def note(self, *words: object) -> None:
        """Write one line."""
        self._file.write(f"{now() - self._from_s:9.3f} " + " ".join(map(str, words)) + "\n")
        self._file.flush()


class Message:
    """The head and body of a request or a response."""

    def __init__(self, first: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    def get(self, name: str, default: str = "") -> str:
        """Return a header."""
        return next((value for key, value in self.headers if key == name.lower()), default)

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length, in chunks or without a body; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        pairs = [line.partition(":") for line in lines[1:] if line]
        headers = [(name.lower(), value.strip()) for name, _, value in pairs]
        found = Message(lines[0], headers, b"")
        if found.get("transfer-encoding"):
            body = b""
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
            found.body = body
        elif length := int(found.get("content-length", "0")):
            found.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return found


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store, as PROTOCOL.md says."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 10
        self.changed = asyncio.Condition()
        self.connections: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.on_call: Callable[[str, str, dict[str, str]], None] = lambda *call: None
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.port = _free_port()
        await asyncio.start_server(self._serve, HOST, self.port)

    def go_silent(self) -> int:
        """All open connections go silent for good; new ones work."""
        self.silent |= self.connections
        return len(self.connections)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while (call := await read_message(reader)) is not None:
                if writer in self.silent:
                    continue
                answer = await self._answer(call)
                if writer in self.silent:
                    continue
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def _answer(self, call: Message) -> bytes:
        method, target, _ = call.first.split()
        path, _, text = target.partition("?")
        query = dict(parse_qsl(text))
        parts = path.strip("/").split("/")[1:]
        self.on_call(method, parts[0], query)
        if method == "GET" and "watch" in query:
            return await self._watch(parts[0], query)
        if method == "GET" and len(parts) > 1:
            stored = self.objects.get(parts[0], {}).get(parts[1])
            return _json(404 if stored is None else 200, stored)
        if method == "GET":
            names = sorted(self.objects.get(parts[0], {}))
            names = [name for name in names if name > query.get("after", "")]
            items = [self.objects[parts[0]][name] for name in names[:PAGE]]
            more = len(names) > PAGE
            return _json(200, {"items": items, "has_more": more, "as_of": self.revision})
        body = json.loads(call.body or b"null") or {}
        meta = body.get("metadata") or {}
        name = parts[1] if len(parts) > 1 else meta["name"]
        present = self.objects.get(parts[0], {}).get(name)
        if method == "POST" and present is not None:
            return _json(409, present)
        if method != "POST" and present is None:
            return _json(404, None)
        wanted = meta.get("revision", query.get("revision"))
        conditional = present is not None and wanted is not None
        if conditional and int(wanted) != present["metadata"]["revision"]:
            return _json(409, present)
        if method == "DELETE":
            await self.remove(parts[0], name)
            return _json(200, None)
        return _json(200, await self.put(parts[0], name, body.get("spec")))

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        since, wait_s = int(query["watch"]), min(30.0, int(query.get("wait_ms", "0")) / 1000)
        end_s = now() + wait_s
        async with self.changed:
            while True:
                events = [
                    {"object": stored, "removed": removed}
                    for revision, changed, stored, removed in self.history
                    if revision > since and changed == kind
                ]
                left_s = end_s - now()
                if events or left_s <= 0:
                    return _json(200, {"events": events, "as_of": self.revision})
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left_s)

    async def put(self, kind: str, name: str, spec: Any, heartbeat: bool = False) -> Any:
        """Write an object; a heartbeat changes only ``seq`` and is no change."""
        kept = self.objects.setdefault(kind, {})
        present = kept.get(name)
        if present is not None and (heartbeat or present["spec"] == spec):
            present["spec"] = spec
            return present
        async with self.changed:
            self.revision += 1
            created = self.revision if present is None else present["metadata"]["created_rev"]
            kept[name] = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "created_rev": created,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": None,
            }
            self.history.append((self.revision, kind, kept[name], False))
            self.changed.notify_all()
        return kept[name]

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        async with self.changed:
            self.revision += 1
            self.history.append((self.revision, kind, self.objects[kind].pop(name), True))
            self.changed.notify_all()


def _json(status: int, value: Any) -> bytes:
    return response(status, json.dumps(value).encode(), {"Content-Type": "application/json"})


class Runner:
    """A runner of a service; ``work`` answers a request that it runs."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        work: Callable[["Runner", Message, asyncio.StreamWriter], Awaitable[bytes | None]],
        slots: int = 6,
        models: list[dict[str, Any]] | None = None,
    ) -> None:
        self.store, self.record, self.name, self.service = store, record, name, service
        self.work, self.slots = work, slots
        self.models = models or []
        self.state, self.seq, self.born = "ready", 0, int(time.time() * 1000)
        self.running = 0
        self.port = _free_port()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, on the same port at each start, register, and renew the registration."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)
        self.state, self.born = "ready", int(time.time() * 1000)
        await self.register()
        self._beats = asyncio.create_task(self._beat())

    async def register(self, heartbeat: bool = False) -> None:
        """Write the registration."""
        self.seq += 1
        spec = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        if self.models:
            spec |= {"stage": "colocated", "models": self.models}
        await self.store.put("servers", self.name, spec, heartbeat)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            await self.register(heartbeat=True)

    async def drain(self) -> None:
        """Report that it leaves; all its answers say so too from now on."""
        self.state = "draining"
        await self.register()

    def end(self) -> None:
        """Exit: all connections end, and nobody listens any more."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def head(self, call: Message) -> dict[str, str]:
        """Return the headers of its answers."""
        leaving = {"Server-Leaving": "1"} if self.state == "draining" else {}
        return {
            "Request-Id": call.get("request-id"),
            "Instance-Id": self.name,
            "Server-Load": f"{self.running},0,{self.slots}",
            **leaving,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (call := await read_message(reader)) is not None:
                answer = await self._answer(call, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, call: Message, writer: asyncio.StreamWriter) -> bytes | None:
        path = call.first.split()[1]
        if path.startswith("/kv-events"):
            await asyncio.sleep(int(call.get("wait-ms", "0")) / 1000)
            return _json(200, {"boot_epoch": self.born, "next": 0, "lost": False, "events": []})
        if path.startswith("/kv-list"):
            return _json(200, {"boot_epoch": self.born, "next": 0, "held": []})
        if path.startswith("/report"):
            found = {"models": self.models, "busy": False, "seq": 0, "queued": 0, "active": 0}
            return _json(200, found)
        if path.startswith("/health"):
            return response(200 if self.state == "ready" else 503, b"", self.head(call))
        if call.get("expect-instance", self.name) != self.name:
            return response(421, b"", {**self.head(call), "Not-Executed": "1"})
        self.running += 1
        try:
            return await self.work(self, call, writer)
        finally:
            self.running -= 1

    def signed(self, call: Message) -> dict[str, str]:
        """Return the headers of an answer to a request that ran."""
        return {**self.head(call), "Response-Signature": f"{self.name}.{call.get('request-id')}"}


class Entry:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, folder: Path, name: str, store: Store, bounds: dict[str, Any]) -> None:
        self.name = name
        self._folder = folder
        self.callers, self.ready_port = _free_port(), _free_port()
        first = _free_port(2)
        self.settings = {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": {
                "front": f"{HOST}:{self.callers}",
                "ready": f"{HOST}:{self.ready_port}",
            },
            "port_range": [first, first + 1],
            "seeds": [],
            "bootstrap": False,
            "loss_counts": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
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
            "bounds": bounds,
            "platform": {
                "address": f"{HOST}:{store.port}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        settings = self._folder / f"{self.name}.yaml"
        settings.write_text(json.dumps(self.settings))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"}
        env |= {"FILBERTSTREAM_BOOT": str(settings), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    @property
    def lives(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            found = await read_message(reader)
            writer.close()
        except OSError:
            return False
        return found is not None and found.status == 200

    async def until_ready(self) -> None:
        """Wait until it is ready."""
        end_s = now() + 30.0
        while not await self.is_ready():
            if now() > end_s or not self.lives:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


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


class CannotRunError(Exception):
    """The case could not run."""


def _can_bind(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def _free_port(count: int = 1) -> int:
    """Return the first of some adjacent free ports.

    They lie below those that the system gives to outgoing connections.
    """
    while True:
        first = random.SystemRandom().randrange(12_000, 32_000)
        if all(_can_bind(first + index) for index in range(count)):
            return first


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route like those of the sheet."""
    return {
        "name": name,
        "host": "pule25.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 1500,
        "latency_target_ms": 125,
        "priority": 2,
        "service": service,
        "attempts": 1,
        "anonymous": False,
        "resumable": False,
        "sticky": False,
        **changes,
    }


KEY = "jnbanfqasnmgkcuyj8pj"


def configuration(routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration of one tenant."""
    return {
        "version": 3,
        "routes": routes,
        "services": services,
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "bozi300", "api_keys": [KEY], "dedicated": False, "priority": 2}],
    }


def request(
    method: str, path: str, request_id: str, deadline_ms: int, headers: str = "", body: bytes = b""
) -> bytes:
    """Return a request of a client."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: pule25.example",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"X-Api-Key: {KEY}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n" + headers + "\r\n").encode() + body


Case = Callable[[Path, Record], Awaitable[bool]]
"""A case in a temporary folder; returns whether the rule was broken."""


def run_case(case: Case, path: Path) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    ``path`` is that of its ``record.txt``.
    """
    record = Record(path)
    files = Path(tempfile.mkdtemp(prefix="review-"))
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(case(files, record), MAX_S))
        code = 1 if broken else 0
        record.note("rule broken" if broken else "rule held")
    except Exception as exc:  # A mistake of the script must not look like a broken rule.
        record.note("could not run:", repr(exc))
    finally:
        shutil.rmtree(files, ignore_errors=True)
    print(f"exit {code}")
    sys.exit(code)
