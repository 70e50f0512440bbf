"""What the stand-ins do to connections, where tests of the product rest on it."""

import http.client
import socket
import struct
import time
from collections.abc import Iterator

import pytest

from standins.loopback_proxy import FAULT_POLL_S
from standins.processes import LOOPBACK, Processes, free_port

ANSWER_S = 5.0
SILENT_S = 0.3
KEPT = 24
"""More connections than a few watches open, and than servers keep by their defaults."""


def wait_for(processes: Processes, name: str) -> None:
    """Wait until a stand-in answers at its own port; its control port listens earlier."""
    url = f"{processes.running[name].url}/objects/none"
    processes.wait(lambda: processes.http.request("GET", url).status == 200, what=name)


@pytest.fixture(scope="module")
def processes(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Processes]:
    running = Processes(tmp_path_factory.mktemp("standins"))
    try:
        running.start_standin("objects", ["standins.platform_store"])
        wait_for(running, "objects")
        yield running
    finally:
        running.close()


def connect(
    processes: Processes, port: int = 0, server: str = "objects"
) -> http.client.HTTPConnection:
    host, _, store_port = processes.running[server].address.rpartition(":")
    source = (LOOPBACK, port)
    conn = http.client.HTTPConnection(host, int(store_port), ANSWER_S, source_address=source)
    conn.connect()
    return conn


def ask(conn: http.client.HTTPConnection) -> int:
    conn.request("GET", "/objects/none")
    resp = conn.getresponse()
    resp.read()
    return resp.status


def reset(conn: http.client.HTTPConnection) -> None:
    """Close at once, so that the port can be used again."""
    conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


def test_a_connection_that_went_silent_gives_its_port_back(processes: Processes) -> None:
    port = free_port()
    before = connect(processes, port)
    assert ask(before) == 200
    processes.fault("objects", silent=1)
    try:
        before.sock.settimeout(SILENT_S)
        with pytest.raises(TimeoutError):
            ask(before)
        reset(before)
        after = connect(processes, port)
        assert ask(after) == 200
        after.close()
    finally:
        processes.fault("objects", silent=0)


def test_many_connections_stay_open(processes: Processes) -> None:
    conns = [connect(processes) for _ in range(KEPT)]
    for _ in range(2):
        for conn in conns:
            conn.auto_open = 0
            assert ask(conn) == 200
    for conn in conns:
        conn.close()


@pytest.fixture(scope="module")
def proxied(processes: Processes) -> str:
    words = ["standins.loopback_proxy", "--server", processes.running["objects"].address]
    processes.start_standin("proxy", words)
    wait_for(processes, "proxy")
    return "proxy"


@pytest.mark.parametrize("fault", ["cut_up", "cut_down", "silent"])
def test_a_harmed_link_carries_nothing_and_new_ones_work_again(
    processes: Processes, proxied: str, fault: str
) -> None:
    before = connect(processes, server=proxied)
    assert ask(before) == 200
    processes.fault(proxied, **{fault: 1})
    time.sleep(2 * FAULT_POLL_S)
    before.sock.settimeout(SILENT_S)
    with pytest.raises(TimeoutError):
        ask(before)
    processes.fault(proxied, **{fault: 0})
    after = connect(processes, server=proxied)
    assert ask(after) == 200
    for conn in (before, after):
        conn.close()


@pytest.mark.parametrize("fault", ["reset", "refuse"])
def test_a_link_is_reset(processes: Processes, proxied: str, fault: str) -> None:
    before = connect(processes, server=proxied)
    assert ask(before) == 200
    processes.fault(proxied, **{fault: 1})
    time.sleep(5 * FAULT_POLL_S)
    with pytest.raises(OSError, match=r"."):
        ask(before if fault == "reset" else connect(processes, server=proxied))
    processes.fault(proxied, **{fault: 0})
