"""Ports that are in use.

Failures guarded against: a process that can't listen hangs or ends with an unclear error, and
parallel tests get the same port.
"""

import errno
import json
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml
import zmq

from filbertstream.cli import EXIT_NO_ADDRESS
from filbertstream.connection.listener import Listener
from filbertstream.connection.peer_link import PeerLink
from filbertstream.names import digest_key
from filbertstream.process.counters import Counters
from standins.platform_fleet import BOUNDS
from standins.processes import BLOCK_PORTS, LOOPBACK, ROOT, PortPool, free_port

EXIT_TIMEOUT_S = 30.0
FIRST_PORT_FOR_CONNECTIONS = 32_768


def test_port_is_allocated_once_and_never_while_it_is_in_use() -> None:
    """Another program listens on a port of the pool's range."""
    first = free_port()
    with socket.socket() as occupied:
        occupied.bind((LOOPBACK, first))
        with pytest.raises(OSError, match="no loopback port"):
            PortPool(first, first + 1).take()
    pool = PortPool()
    ports = [pool.take() for _ in range(2 * BLOCK_PORTS)]
    pool.close()
    assert len(set(ports)) == len(ports)
    assert max(ports) < FIRST_PORT_FOR_CONNECTIONS


def test_pools_of_several_processes_share_no_port() -> None:
    """Test processes that run in parallel allocate ports from the same range."""
    pools = [PortPool() for _ in range(4)]
    ports = [pool.take() for pool in pools for _ in range(BLOCK_PORTS // 2)]
    for pool in pools:
        pool.close()
    assert len(set(ports)) == len(ports)


def run_until_exit(arguments: list[str]) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "filbertstream", *arguments]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=EXIT_TIMEOUT_S, check=False
    )


class NoPeers:
    """The host of a link that is never used."""

    def register(self, kind: type, handler: Any) -> None:
        pass

    def emit(self, event: Any) -> None:
        pass


@pytest.mark.parametrize("listener", ["callers", "operators", "peers"])
def test_entry_whose_address_is_in_use_exits_with_its_own_code(
    tmp_path: Path, listener: str
) -> None:
    """Another program listens at the address for callers, operators or peers."""
    (tmp_path / "fleet.key").write_bytes(zmq.curve_keypair()[1])
    with socket.create_server((LOOPBACK, free_port())) as occupied:
        peers = f"tcp://{LOOPBACK}:{free_port()}"
        if listener == "peers":
            peers = f"tcp://{LOOPBACK}:{occupied.getsockname()[1]}"
        settings: dict[str, Any] = {
            "name": "entry-1",
            "data_center": "dc",
            "callers": {"host": LOOPBACK, "port": free_port()},
            "operators": {"host": LOOPBACK, "port": free_port(), "keys": [digest_key("k")]},
            "peers": {"address": peers, "key_file": str(tmp_path / "fleet.key")},
            "platform": {"objects": f"http://{LOOPBACK}:9"},
        }
        if listener != "peers":
            settings[listener]["port"] = occupied.getsockname()[1]
        file = tmp_path / "entry.yaml"
        file.write_text(yaml.safe_dump(settings))
        ended = run_until_exit(["entry", "--config", str(file), "--address-wait-s", "1"])
    assert ended.returncode == EXIT_NO_ADDRESS
    assert "cannot listen" in ended.stderr


def test_gateway_whose_address_is_in_use_exits_with_its_own_code(tmp_path: Path) -> None:
    """Another program listens at the address for callers."""
    with socket.create_server((LOOPBACK, free_port())) as occupied:
        first = free_port()
        settings = {
            "node_name": "e1",
            "ip": LOOPBACK,
            "zone": "dc1",
            "listen": {
                "front": f"{LOOPBACK}:{occupied.getsockname()[1]}",
                "ready": f"{LOOPBACK}:{free_port()}",
            },
            "port_range": [first, first],
            "heartbeat_ms": 300,
            "limits": {"memory_mb": 300, "max_fds": 1000},
            "bounds": BOUNDS,
            "platform": {"address": f"{LOOPBACK}:9"},
        }
        file = tmp_path / "settings.json"
        file.write_text(json.dumps(settings))
        ended = run_until_exit(["gateway", "--settings", str(file), "--address-wait-s", "1"])
    assert ended.returncode == EXIT_NO_ADDRESS
    assert "cannot listen" in ended.stderr


def test_peers_and_operators_are_listened_for_again_once_the_address_is_free(
    tmp_path: Path,
) -> None:
    """The first failure of a listener doesn't name its cause, or spoils the next try."""
    key_file = tmp_path / "fleet.key"
    key_file.write_bytes(zmq.curve_keypair()[1])
    port = free_port()
    listener = Listener(LOOPBACK, port, lambda environ, start: [], 1, 1_000, None)
    link = PeerLink(f"tcp://{LOOPBACK}:{port}", key_file, Counters(), NoPeers())
    for starting in (listener, link):
        with (
            socket.create_server((LOOPBACK, port)),
            pytest.raises(OSError, match="in use") as raised,
        ):
            starting.start()
        assert raised.value.errno == errno.EADDRINUSE
        starting.start()
        starting.close()
