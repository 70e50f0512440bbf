"""Behaviour of the stand-ins' connections that tests of the product rely on.

Failure guarded against: a stand-in's fault that does not take effect, so that a test passes
without the fault.
"""

import http.client
import socket
import struct
import time
from collections.abc import Iterator

import pytest

from standins.loopback_proxy import FAULT_POLL_S
from standins.processes import LOOPBACK, Processes, free_port

RESPONSE_TIMEOUT_S = 5.0
NO_RESPONSE_S = 0.3
OPEN_CONNECTIONS = 24
"""More connections than a few watches open, and more than servers keep open by default."""


def wait_for(processes: Processes, name: str) -> None:
    """Wait until a stand-in responds at its own port; its control port listens earlier."""
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
    conn = http.client.HTTPConnection(
        host, int(store_port), RESPONSE_TIMEOUT_S, source_address=source
    )
    conn.connect()
    return conn


def get_status(conn: http.client.HTTPConnection) -> int:
    conn.request("GET", "/objects/none")
    resp = conn.getresponse()
    resp.read()
    return resp.status


def reset(conn: http.client.HTTPConnection) -> None:
    """Close with a reset, so that the port can be reused at once."""
    conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


def test_port_of_an_unresponsive_connection_can_be_reused(processes: Processes) -> None:
    """A stand-in stops responding on open connections, and a new one comes from the same port."""
    port = free_port()
    before = connect(processes, port)
    assert get_status(before) == 200
    processes.fault("objects", silent=1)
    try:
        before.sock.settimeout(NO_RESPONSE_S)
        with pytest.raises(TimeoutError):
            get_status(before)
        reset(before)
        after = connect(processes, port)
        assert get_status(after) == 200
        after.close()
    finally:
        processes.fault("objects", silent=0)


def test_many_connections_stay_open(processes: Processes) -> None:
    """More connections are open than servers keep by default, and each one is used twice."""
    conns = [connect(processes) for _ in range(OPEN_CONNECTIONS)]
    for _ in range(2):
        for conn in conns:
            conn.auto_open = 0
            assert get_status(conn) == 200
    for conn in conns:
        conn.close()


@pytest.fixture(scope="module")
def proxied(processes: Processes) -> str:
    words = ["standins.loopback_proxy", "--server", processes.running["objects"].address]
    processes.start_standin("proxy", words)
    wait_for(processes, "proxy")
    return "proxy"


@pytest.mark.parametrize("fault", ["cut_up", "cut_down", "silent"])
def test_harmed_link_carries_nothing_and_new_connections_work_afterwards(
    processes: Processes, proxied: str, fault: str
) -> None:
    """The proxy drops the bytes of one direction or of both."""
    before = connect(processes, server=proxied)
    assert get_status(before) == 200
    processes.fault(proxied, **{fault: 1})
    time.sleep(2 * FAULT_POLL_S)
    before.sock.settimeout(NO_RESPONSE_S)
    with pytest.raises(TimeoutError):
        get_status(before)
    processes.fault(proxied, **{fault: 0})
    after = connect(processes, server=proxied)
    assert get_status(after) == 200
    for conn in (before, after):
        conn.close()


@pytest.mark.parametrize("fault", ["reset", "refuse"])
def test_link_is_reset_or_refuses_connections(
    processes: Processes, proxied: str, fault: str
) -> None:
    """The proxy resets open connections or refuses new ones."""
    before = connect(processes, server=proxied)
    assert get_status(before) == 200
    processes.fault(proxied, **{fault: 1})
    time.sleep(5 * FAULT_POLL_S)
    with pytest.raises(OSError, match=r"."):
        get_status(before if fault == "reset" else connect(processes, server=proxied))
    processes.fault(proxied, **{fault: 0})
