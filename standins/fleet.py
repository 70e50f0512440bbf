"""Starts a deployment of ``configs/`` on loopback: object store, targets, entries as processes.

For the demo, the tests over real processes and the benches.
"""

import contextlib
import functools
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
import urllib3
import yaml
import zmq

from filbertstream.names import digest_key
from standins.processes import LOOPBACK, ROOT, CrashBlock, Processes

OPERATOR_KEY: Final = "operator-key"
SERVICE_TARGETS: Final = 3
STORES: Final = 2
DATA_CENTERS: Final = 3
STORE_TOKENS: Final = 200_000


class Options(NamedTuple):
    """What to start; ``gap_s`` is the time between two tokens of a runner."""

    deployment: str = "cwmdu"
    entries: int = 3
    runners: int = 6
    gap_s: float = 0.027
    cache_tokens: int = 100_000
    log_level: str = "info"
    strict: bool = True
    proxied: bool = False
    """Whether entries reach the object store and the targets through proxies that inject faults."""
    crash: CrashBlock | None = None
    """What crashes each runner that begins to respond to a prompt with it."""


class Fleet(Processes):
    """The processes of one deployment."""

    def __init__(self, folder: Path, options: Options) -> None:
        super().__init__(folder)
        self.options = options
        self.config = ROOT / "configs" / options.deployment
        self._documents = list(yaml.safe_load_all((self.config / "documents.yaml").read_text()))
        self.model = self._named("model")
        self.service = self._named("service")

    def _named(self, kind: str) -> str:
        return next(str(item["name"]) for item in self._documents if item["kind"] == kind)

    def start(self) -> None:
        """Start everything, apply the documents and wait until all entries are ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "fleet.key").write_bytes(zmq.curve_keypair()[1])
        self.start_standin("objects", ["standins.platform_store"])
        for number in range(1, self.options.runners + 1):
            self.start_runner(number)
        for number in range(1, SERVICE_TARGETS + 1):
            self._start_target(f"{self.service}-{number}", self.service, number, [])
        for number in range(1, STORES + 1):
            self.start_standin(f"store-{number}", ["standins.platform_cache"])
        names = [f"entry-{number}" for number in range(1, self.options.entries + 1)]
        for number in range(1, self.options.entries + 1):
            self.start_entry(number)
        for name in names:
            self.wait_ready(name)
        self.apply_documents()
        for name in names:
            self.wait(
                functools.partial(self._is_known, name),
                what=f"{name} lists all targets and members",
            )

    def start_runner(self, number: int) -> None:
        """Start a runner, or restart it under the same name and address."""
        args = ["--model", self.model, "--event-s", str(self.options.gap_s)]
        args += ["--cache-tokens", str(self.options.cache_tokens)]
        self._start_target(f"runner-{number}", self.model, number, args)

    def _start_target(self, name: str, service: str, number: int, extra_args: list[str]) -> None:
        self._start_proxy(name)
        args = ["standins.platform_runner", "--id", name, "--service", service, *extra_args]
        args += ["--address", self._address_for(name)]
        args += ["--store", self.running["objects"].address]
        args += self.target_args(name, self.options.crash if name.startswith("runner-") else None)
        args += ["--data-center", f"dc-{1 + (number - 1) % DATA_CENTERS}"]
        self.start_standin(name, args)

    def proxy(self, name: str, entry: str = "all") -> str:
        """Return the name of the proxy in front of a stand-in, used by one entry or by all."""
        return f"{name} proxy {entry}"

    def _start_proxy(self, name: str, entry: str = "all") -> None:
        proxy = self.proxy(name, entry)
        if self.options.proxied and proxy not in self.running:
            server = f"{LOOPBACK}:{self.port(name)}"
            self.start_standin(proxy, ["standins.loopback_proxy", "--server", server])

    def _address_for(self, name: str, entry: str = "all") -> str:
        """Return the address at which an entry reaches a stand-in."""
        used = self.proxy(name, entry) if self.options.proxied else name
        return f"{LOOPBACK}:{self.port(used)}"

    def start_entry(self, number: int) -> None:
        """Start an entry, or restart it under the same addresses."""
        name = f"entry-{number}"
        caller_port, operator_port = self.port(name), self.port(f"{name} operators")
        self._start_proxy("objects", name)
        settings = {
            "name": name,
            "data_center": f"dc-{1 + (number - 1) % DATA_CENTERS}",
            "callers": {"host": LOOPBACK, "port": caller_port},
            "operators": {
                "host": LOOPBACK,
                "port": operator_port,
                "keys": [digest_key(OPERATOR_KEY)],
            },
            "peers": {
                "address": self.peer_address(number),
                "key_file": str(self.folder / "fleet.key"),
            },
            "platform": {"objects": f"http://{self._address_for('objects', name)}"},
            "bounds": {"strict_revocation": self.options.strict},
            "log_level": self.options.log_level,
        }
        file = self.folder / f"{name}.yaml"
        file.write_text(yaml.safe_dump(settings))
        args = ["filbertstream", "entry", "--config", str(file)]
        self.spawn(name, args, f"{LOOPBACK}:{caller_port}", f"{LOOPBACK}:{operator_port}")

    def peer_address(self, number: int) -> str:
        """Return the address on which an entry listens for its peers."""
        return f"tcp://{LOOPBACK}:{self.port(f'entry-{number} peers')}"

    def operators_url(self, name: str) -> str:
        """Return the URL of an entry's operators' port."""
        return f"http://{self.running[name].control}"

    def wait_ready(self, name: str) -> None:
        """Wait until an entry accepts requests; raises ``TimeoutError``."""
        url = f"{self.running[name].url}/readyz"
        self.wait(lambda: self.http.request("GET", url).status == 200, what=f"{name} ready")

    def _is_known(self, name: str) -> bool:
        """Whether an entry has the documents in force and lists all targets and members."""
        status = self.operator(name, "GET", "/v1/status")
        targets = self.options.runners + SERVICE_TARGETS
        members = len(status["members"])
        complete = members == self.options.entries and len(status["targets"]) == targets
        return complete and status["revision"] > 0

    def apply_documents(self, file: Path | None = None) -> dict[str, Any]:
        """Apply documents through entry-1: a file, or the deployment's own and its cache stores."""
        changes = list(self._documents)
        if file is not None:
            changes = list(yaml.safe_load_all(file.read_text()))
        else:
            changes += [self._store_document(number) for number in range(1, STORES + 1)]
        body = {"changes": changes, "base": None}
        result: dict[str, Any] = self.operator("entry-1", "POST", "/v1/apply", body)
        return result

    def _store_document(self, number: int) -> dict[str, Any]:
        return {
            "kind": "store",
            "name": f"store-{number}",
            "address": self.running[f"store-{number}"].address,
            "data_center": f"dc-{number}",
            "capacity_tokens": STORE_TOKENS,
        }

    def operator(self, entry: str, method: str, path: str, value: object = None) -> Any:
        """Call the operators' API of an entry and return the decoded response."""
        body = None if value is None else msgspec.json.encode(value)
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"{self.operators_url(entry)}{path}"
        return msgspec.json.decode(self.http.request(method, url, body=body, headers=headers).data)

    def call(
        self,
        entry: str,
        path: str,
        value: object,
        workspace: str,
        headers: dict[str, str] | None = None,
        **options: Any,
    ) -> urllib3.BaseHTTPResponse:
        """Make a caller's POST through an entry."""
        sent = {"Authorization": f"Bearer key-{workspace}", "Content-Type": "application/json"}
        url = f"{self.running[entry].url}{path}"
        body = msgspec.json.encode(value)
        return self.http.request("POST", url, body=body, headers=sent | (headers or {}), **options)


@contextlib.contextmanager
def running_fleet(options: Options) -> Iterator[Fleet]:
    """Run a deployment in a temporary folder, removed at the end."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), options)
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.close()
