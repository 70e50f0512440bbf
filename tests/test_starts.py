"""Starts of an entry on the platform, as a real process.

Failures guarded against: an entry that ends by itself, or serves half-way, because of what it meets
while it starts.
"""

import os
import signal
import socket
import struct
from collections.abc import Iterator
from typing import BinaryIO

import pytest

from filbertstream.cli import EXIT_USAGE
from standins.platform_fleet import PlatformFleet
from standins.processes import END_TIMEOUT_S, LOOPBACK

ADDRESSES = ["callers", "readiness", "metrics", "peers"]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformFleet]:
    running = PlatformFleet(tmp_path_factory.mktemp("platform"), entries=1, runners=1, apps=1)
    try:
        running.start()
        running.kill("e1")
        yield running
    finally:
        running.close()


@pytest.fixture(autouse=True)
def one_start(fleet: PlatformFleet) -> Iterator[None]:
    fleet.running["e1"].log.write_text("")
    yield
    if fleet.running["e1"].process.poll() is None:
        fleet.kill("e1")


def port_for(fleet: PlatformFleet, address: str) -> int:
    if address in ("metrics", "peers"):
        return fleet.port_pair("e1 metrics")[ADDRESSES.index(address) - 2]
    return fleet.port("e1" if address == "callers" else "e1 ready")


def events(fleet: PlatformFleet) -> list[str]:
    return [line["event"] for line in fleet.log_of("e1")]


def is_ready(fleet: PlatformFleet) -> bool:
    return "entry_started" in events(fleet) and fleet.ready("e1")


@pytest.mark.parametrize("address", ADDRESSES)
def test_entry_waits_for_an_address_that_an_outgoing_connection_has(
    fleet: PlatformFleet, address: str
) -> None:
    """The entry ends at once, or callers are served while one of its addresses is missing."""
    store_host, _, store_port = fleet.running["store"].address.rpartition(":")
    with socket.socket() as outgoing:
        # Bound like a listener, since connections of the last start may still be in TIME_WAIT.
        outgoing.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        outgoing.bind((LOOPBACK, port_for(fleet, address)))
        outgoing.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        outgoing.connect((store_host, int(store_port)))
        # A reset at its end leaves no TIME_WAIT, which would hold the port for 60 s.
        outgoing.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        fleet.start_entry("e1")
        fleet.wait(lambda: "address_in_use" in events(fleet), what="the wait is logged")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((LOOPBACK, port_for(fleet, "callers"))).close()
        assert events(fleet) == ["address_in_use"]
    fleet.wait(lambda: is_ready(fleet), what="ready once the address is free")
    assert events(fleet).count("address_in_use") == 1


def test_entry_waits_for_its_predecessor(fleet: PlatformFleet) -> None:
    """The successor of an entry that still stops ends at once, and no entry is left."""
    fleet.start_entry("e1")
    fleet.wait(lambda: is_ready(fleet))
    predecessor = fleet.running["e1"].process
    fleet.start_entry("e1")
    fleet.wait(lambda: "address_in_use" in events(fleet))
    predecessor.send_signal(signal.SIGTERM)
    assert predecessor.wait(END_TIMEOUT_S) == 0
    fleet.wait(lambda: events(fleet).count("entry_started") == 2 and fleet.ready("e1"))


def test_stop_ends_the_wait_for_an_address(fleet: PlatformFleet) -> None:
    """An entry that waits for an address goes on waiting after SIGTERM, or then serves."""
    with socket.create_server((LOOPBACK, port_for(fleet, "callers"))):
        fleet.start_entry("e1")
        fleet.wait(lambda: "address_in_use" in events(fleet))
        fleet.signal("e1", signal.SIGTERM)
        assert fleet.running["e1"].process.wait(END_TIMEOUT_S) == 0
    assert "entry_started" not in events(fleet)


def open_while_read(fleet: PlatformFleet) -> BinaryIO:
    """Return the file that the entry is reading as its settings; later reads find sound ones."""
    file = fleet.settings_file("e1")
    fleet.write_settings("e1")
    complete = file.rename(file.with_suffix(".complete"))
    os.mkfifo(file)
    fleet.spawn_entry("e1")
    writer = file.open("wb")
    complete.replace(file)
    return writer


def replace_while_read(fleet: PlatformFleet, first: bytes) -> None:
    """Let the entry read ``first`` as its settings, and then replace them by complete ones."""
    with open_while_read(fleet) as writer:
        writer.write(first)


@pytest.mark.parametrize("length", [0, 300])
def test_entry_starts_although_its_settings_are_being_written(
    fleet: PlatformFleet, length: int
) -> None:
    """The entry ends with a code for wrong settings, and nothing starts it again."""
    replace_while_read(fleet, fleet.settings_file("e1").read_bytes()[:length])
    fleet.wait(lambda: is_ready(fleet))


def test_change_of_the_settings_right_after_they_were_read_is_noticed(
    fleet: PlatformFleet,
) -> None:
    """The entry keeps to the bounds that it read at its start for as long as it runs."""
    replace_while_read(fleet, fleet.settings_file("e1").read_bytes())
    fleet.wait(lambda: "settings_reloaded" in events(fleet))


@pytest.mark.parametrize("content", [None, b"", b"node_name: e1\n", b"\xff\xfe\xff"])
def test_wrong_settings_end_the_start_with_one_line(
    fleet: PlatformFleet, content: bytes | None
) -> None:
    """The entry waits for ever for settings that stay wrong, or ends with a traceback."""
    file = fleet.settings_file("e1")
    file.unlink()
    if content is not None:
        file.write_bytes(content)
    fleet.spawn_entry("e1")
    assert fleet.running["e1"].process.wait(END_TIMEOUT_S) == EXIT_USAGE
    (line,) = fleet.running["e1"].log.read_text().splitlines()
    assert line.startswith(f"{file}:")
    fleet.write_settings("e1")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_during_the_start_ends_it(fleet: PlatformFleet, number: int) -> None:
    """The entry goes on to serve, or ends as if it had failed: by the signal, or in an import."""
    with open_while_read(fleet):
        fleet.signal("e1", number)
        assert fleet.running["e1"].process.wait(END_TIMEOUT_S) == 0
    assert fleet.running["e1"].log.read_text() == ""


def test_reload_during_the_start_does_not_end_it(fleet: PlatformFleet) -> None:
    """The signal that the settings have changed ends an entry that has no handler yet."""
    with open_while_read(fleet):
        fleet.signal("e1", signal.SIGHUP)
    fleet.wait(lambda: is_ready(fleet))
