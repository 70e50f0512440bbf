"""Processes on loopback for the demo, the tests and the benches, each ended by its starter."""

import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
import urllib3

ROOT: Final = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.05
END_TIMEOUT_S: Final = 10.0
CALL_TIMEOUT_S: Final = 30.0
LOOPBACK: Final = "127.0.0.1"
FIRST_PORT: Final = 12_000
"""Above the ports of well-known services."""

LAST_PORT: Final = 32_000
"""Below the ephemeral ports of outgoing connections (32,768 and up by default)."""

BLOCK_PORTS: Final = 200
"""Ports in a block; a fleet of the tests uses a few dozen."""


class PortPool:
    """Allocates loopback ports: each only once, and none that another process might be given.

    The system assigns ephemeral ports to outgoing connections and reuses a closed one for the next
    request.  The pool therefore stays below the ephemeral range and never returns a port twice.
    Pools of several processes use separate blocks: the process that has bound the first port of a
    block owns the block.
    """

    def __init__(self, first: int = FIRST_PORT, last: int = LAST_PORT) -> None:
        self._blocks = [
            range(start, start + BLOCK_PORTS) for start in range(first, last, BLOCK_PORTS)
        ]
        random.Random(os.getpid()).shuffle(self._blocks)
        self._block_sockets: list[socket.socket] = []
        self._free_ports: list[int] = []
        self._lock = threading.Lock()

    def take(self) -> int:
        """Return a port on which nothing listens; raises ``OSError`` if none is left."""
        with self._lock:
            while True:
                if not self._free_ports:
                    self._take_block()
                port = self._free_ports.pop()
                sock = _try_bind(port)
                if sock is not None:
                    sock.close()
                    return port

    def _take_block(self) -> None:
        while self._blocks:
            block = self._blocks.pop()
            sock = _try_bind(block[0])
            if sock is not None:
                self._block_sockets.append(sock)
                self._free_ports = list(block[1:])
                return
        raise OSError("no loopback port is left: all blocks are in use")

    def close(self) -> None:
        """Release the blocks."""
        for sock in self._block_sockets:
            sock.close()


def _try_bind(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind((LOOPBACK, port))
    except OSError:
        sock.close()
        return None
    return sock


_PORTS: Final = PortPool()


def free_port() -> int:
    """Return a free loopback port that this process has not allocated before."""
    return _PORTS.take()


class Running(NamedTuple):
    """A process, its address, the address of its control or readiness port, and its log."""

    process: "subprocess.Popen[bytes]"
    address: str
    control: str
    log: Path

    @property
    def url(self) -> str:
        """The URL of its address."""
        return f"http://{self.address}"


class CrashBlock(NamedTuple):
    """A block that crashes runners, and whether they send the head of the response before."""

    block_id: str
    after_head: bool


class Processes:
    """Processes by name; ``close`` ends only those that were started here."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._starts: Counter[str] = Counter()
        self.running: dict[str, Running] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S, maxsize=64)
        self._ports: dict[str, int] = {}

    def port(self, name: str) -> int:
        """Return the port allocated for a name, the same on each call."""
        if name not in self._ports:
            self._ports[name] = free_port()
        return self._ports[name]

    def port_pair(self, name: str) -> tuple[int, int]:
        """Return two adjacent ports allocated for a name, the same on each call."""
        if name not in self._ports:
            port = free_port()
            while (other := free_port()) != port - 1:
                port = other
            self._ports[name] = other
        return self._ports[name], self._ports[name] + 1

    def spawn(
        self, name: str, args: list[str], address: str, control: str, root: Path = ROOT
    ) -> None:
        """Start a Python module of a checkout with its command-line arguments."""
        self.folder.mkdir(parents=True, exist_ok=True)
        log = self.folder / f"{name}.log"
        env = {**os.environ, "PYTHONPATH": str(root)}
        with log.open("ab") as sink:
            process = subprocess.Popen(
                [sys.executable, "-m", *args],
                stdout=sink,
                stderr=subprocess.STDOUT,
                env=env,
                cwd=root,
            )
        self.running[name] = Running(process, address, control, log)

    @property
    def crash_record(self) -> Path:
        """The file with the arrivals of prompts that crash runners, and with the crashes."""
        return self.folder / "crashes.txt"

    def crash_times(self, what: str) -> list[float]:
        """Return the times of what was recorded: ``arrived`` or ``crashed``."""
        if not self.crash_record.exists():
            return []
        lines = [line.split() for line in self.crash_record.read_text().splitlines()]
        return sorted(float(at_s) for kind, at_s in lines if kind == what)

    def target_args(self, name: str, crash: CrashBlock | None) -> list[str]:
        """Return the arguments of a target that differ by start, and how prompts crash it."""
        self._starts[name] += 1
        args = ["--born", str(self._starts[name])]
        if crash is not None:
            args += ["--crash-block", crash.block_id, "--crash-record", str(self.crash_record)]
            args += ["--crash-after-head"] if crash.after_head else []
        return args

    def start_standin(self, name: str, args: list[str]) -> None:
        """Start a stand-in, on the same ports as before if it ran already."""
        address = f"{LOOPBACK}:{self.port(name)}"
        control = f"{LOOPBACK}:{self.port(name + ' control')}"
        self.spawn(name, [*args, "--listen", address, "--control", control], address, control)

    def wait(
        self, done: Callable[[], bool], within_s: float = READY_TIMEOUT_S, what: str = ""
    ) -> None:
        """Poll until ``done`` returns true; raises ``TimeoutError`` with ``what``."""
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            try:
                if done():
                    return
            except urllib3.exceptions.HTTPError:
                # The process does not accept connections yet, so poll again.
                pass
            time.sleep(POLL_S)
        raise TimeoutError(f"condition not met within {within_s} s: {what}")

    def fault(self, name: str, **values: float) -> None:
        """Set faults of a stand-in."""
        url = f"http://{self.running[name].control}/faults"
        self.http.request("POST", url, body=msgspec.json.encode(values))

    def put_object(self, kind: str, name: str, spec: object) -> None:
        """Create an object in the object store, as another writer does."""
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        self.http.request("POST", self._objects_url(kind), body=body)

    def remove_object(self, kind: str, name: str) -> None:
        """Remove an object from the object store."""
        self.http.request("DELETE", f"{self._objects_url(kind)}/{name}")

    def _objects_url(self, kind: str) -> str:
        return f"http://{self.running['objects'].address}/objects/{kind}"

    def counts(self, name: str) -> Any:
        """Return the counts of a stand-in."""
        resp = self.http.request("GET", f"http://{self.running[name].control}/counts")
        return msgspec.json.decode(resp.data)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.running[name].process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.running[name].process.wait()

    def log_of(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of an entry."""
        lines = self.running[name].log.read_text().splitlines()
        return [msgspec.json.decode(line) for line in lines if line.startswith("{")]

    def close(self) -> None:
        """End all processes that were started here."""
        for running in self.running.values():
            if running.process.poll() is None:
                running.process.send_signal(signal.SIGCONT)
                running.process.kill()
        for running in self.running.values():
            running.process.wait(END_TIMEOUT_S)
