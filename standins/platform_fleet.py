"""A small deployment on the users' platform: object store, targets, entries as processes.

For the tests over real processes and the soak.
"""

from pathlib import Path
from typing import Any, Final

import msgspec
import yaml

from standins.processes import LOOPBACK, ROOT, CrashBlock, Processes

KEY: Final = "key-of-w"
KEYS: Final = {"w": KEY, "v": "key-of-v", "x": "key-of-x"}
"""The key of each tenant."""

MAX_FDS: Final = 1000
MODEL: Final = "m"

CONFIG: Final[dict[str, Any]] = {
    "version": 3,
    "services": [
        {
            "name": "models",
            "health_path": "/health",
            "max_conns": 300,
            "engine": {
                "slots": 8,
                "kv_capacity": 100_000,
                "token_bytes": 163840,
                "max_inflight": 12,
                "models": [{"name": MODEL}],
            },
        },
        {"name": "app", "health_path": "/health", "max_conns": 90},
    ],
    "limits": {
        "header_bytes": 4096,
        "body_bytes": 20_000,
        "header_timeout_ms": 700,
        "idle_timeout_ms": 5000,
    },
    "tenants": [{"name": name, "api_keys": [key], "priority": 1} for name, key in KEYS.items()],
}


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration, with some fields changed."""
    return {
        "name": name,
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 4000,
        "latency_target_ms": 1000,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "anonymous": False,
        "sticky": kind == "stream",
        "resumable": False,
        "gap_target_ms": 300,
        **changes,
    }


ROUTES: Final = [
    route("read", "idempotent", "app"),
    route("book", "non_idempotent", "app", attempts=1),
    route("open", "idempotent", "app", anonymous=True),
    route("draft", "stream", "models", resumable=True),
    route("walk", "stream", "models", attempts=1),
    route("tour", "stream", "models", resumable=True, anonymous=True),
]


BOUNDS: Final = {
    "drain_ms": 2000,
    "reuse_after_s": 2,
    "grace_s": 8,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 50,
    "revoke_ms": 2500,
    "lease_ttl_ms": 3000,
}
"""The operators' bounds of this deployment, as written in its settings files."""


class PlatformFleet(Processes):
    """The processes of one deployment."""

    def __init__(
        self,
        folder: Path,
        entries: int = 2,
        runners: int = 2,
        apps: int = 2,
        crash: CrashBlock | None = None,
        memory_mb: int = 300,
        product: Path = ROOT,
        cuttable: bool = False,
    ) -> None:
        """Prepare a deployment; with ``cuttable`` each entry has its own link to the store.

        The link of an entry ``e1`` is a stand-in named ``link e1``.
        """
        super().__init__(folder)
        self._cuttable = cuttable
        self.memory_mb = memory_mb
        self._product = product
        self._sizes = (entries, runners, apps)
        self._crash = crash

    def start(self) -> None:
        """Start everything and wait until the entries are ready."""
        entries, runners, apps = self._sizes
        self.start_standin("store", ["standins.platform_store"])
        self.wait(lambda: self.put_config(CONFIG | {"routes": ROUTES}))
        for number in range(1, runners + 1):
            self.start_target(f"r{number}", "models", MODEL)
        for number in range(1, apps + 1):
            self.start_target(f"a{number}", "app", "")
        for number in range(1, entries + 1):
            if self._cuttable:
                store = self.running["store"].address
                proxy = ["standins.loopback_proxy", "--server", store]
                self.start_standin(f"link e{number}", proxy)
            self.start_entry(f"e{number}")
        self.wait(lambda: all(self.ready(f"e{n}") for n in range(1, entries + 1)))
        self.wait(
            lambda: all(self.lists_targets(f"e{n}", runners + apps) for n in range(1, entries + 1))
        )

    @property
    def arrival_record(self) -> Path:
        """The file with the arrivals at all targets."""
        return self.folder / "arrivals.jsonl"

    def start_target(self, name: str, service: str, model: str) -> None:
        """Start a target; each of its starts under one name has a ``born`` of its own."""
        args = ["standins.platform_runner", "--id", name, "--service", service]
        store = self.running["store"].address
        args += ["--model", model, "--store", store, "--record", str(self.arrival_record)]
        args += self.target_args(name, self._crash if model else None)
        self.start_standin(name, args)

    def start_entry(self, name: str) -> None:
        """Start an entry, on the same ports as before if it ran already."""
        self.write_settings(name)
        self.spawn_entry(name)

    def settings_file(self, name: str) -> Path:
        """Return the path of an entry's settings."""
        return self.folder / f"{name}.yaml"

    def write_settings(self, name: str, **bounds: float) -> None:
        """Write the settings file of an entry, with some bounds changed."""
        caller_port, ready_port = self.port(name), self.port(f"{name} ready")
        metrics_port, peer_port = self.port_pair(f"{name} metrics")
        settings = {
            "node_name": name,
            "ip": LOOPBACK,
            "zone": "dc1",
            "listen": {"front": f"{LOOPBACK}:{caller_port}", "ready": f"{LOOPBACK}:{ready_port}"},
            "port_range": [metrics_port, peer_port],
            "heartbeat_ms": 300,
            "limits": {"memory_mb": self.memory_mb, "max_fds": MAX_FDS},
            "bounds": BOUNDS | bounds,
            "platform": {
                "address": self.running[f"link {name}" if self._cuttable else "store"].address
            },
        }
        self.settings_file(name).write_text(yaml.safe_dump(settings))

    def spawn_entry(self, name: str) -> None:
        """Start an entry with the settings file as it is."""
        caller_port, ready_port = self.port(name), self.port(f"{name} ready")
        args = ["filbertstream", "gateway", "--settings", str(self.settings_file(name))]
        address = f"{LOOPBACK}:{caller_port}"
        self.spawn(name, args, address, f"{LOOPBACK}:{ready_port}", self._product)

    def put(self, kind: str, name: str, spec: Any) -> bool:
        """Write an object as an operator does."""
        url = f"http://{self.running['store'].address}/objects/{kind}"
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        resp = self.http.request("PUT", f"{url}/{name}", body=body)
        if resp.status == 404:
            resp = self.http.request("POST", url, body=body)
        return resp.status == 200

    def put_config(self, config: dict[str, Any]) -> bool:
        """Write a configuration as an operator does."""
        return self.put("config", "main", config)

    def ready(self, name: str) -> bool:
        """Whether an entry reports that it is ready."""
        resp = self.http.request("GET", f"http://{self.running[name].control}/ready")
        return resp.status == 200

    def metric(self, name: str, metric: str) -> float:
        """Return a gauge or the sum of a counter of an entry."""
        resp = self.http.request("GET", f"http://{self.running[name].control}/metrics")
        samples = [line for line in resp.data.decode().splitlines() if line.startswith(metric)]
        return sum(float(line.rsplit(" ", 1)[1]) for line in samples)

    def lists_targets(self, name: str, targets: int) -> bool:
        """Whether an entry reports this number of known targets."""
        return self.metric(name, "filbertstream_targets_known") == targets
