"""The link between entries.

Failures guarded against: closing that blocks for ever on a message that never arrives, and a link
that does not recover after a connection to a wrong program.
"""

import contextlib
import resource
import socket
import threading
import time
from pathlib import Path
from typing import Any

import pytest
import zmq

from filbertstream.actions import SendPeer
from filbertstream.connection import peer_link
from filbertstream.connection.peer_link import MIN_RECONNECT_INTERVAL_S, PeerLink
from filbertstream.messages import EntryWork
from filbertstream.process.counters import Counters
from standins.processes import LOOPBACK, free_port


class Host:
    """Records the events of the link and the handler that it registers."""

    def __init__(self) -> None:
        self.received: list[Any] = []

    def register(self, kind: type, handler: Any) -> None:
        self.send = handler

    def emit(self, event: Any) -> None:
        self.received.append(event)


class FalselyReadySocket:
    """Reports that a message is ready when there is none."""

    def __init__(self, socket: "zmq.Socket[bytes]") -> None:
        self._socket = socket

    def poll(self, timeout_ms: int) -> int:
        return 1

    def recv(self, flags: int = 0) -> bytes:
        return self._socket.recv(flags)

    def close(self, linger: int) -> None:
        self._socket.close(linger)


class FalselyReadyLink(PeerLink):
    def _bind(self) -> Any:
        return FalselyReadySocket(super()._bind())


def test_link_closes_although_a_poll_reports_a_message_that_does_not_exist() -> None:
    """A poll of the socket reports a message, and the following receive finds none."""
    link = FalselyReadyLink(f"tcp://{LOOPBACK}:{free_port()}", None, Counters(), Host())
    link.start()
    closing = threading.Thread(target=link.close, daemon=True)
    closing.start()
    closing.join(5.0)
    assert not closing.is_alive()


def test_link_closes_without_waiting_for_a_message(monkeypatch: pytest.MonkeyPatch) -> None:
    """No peer sends anything while the link closes, which must not use up a stop's last moments."""
    monkeypatch.setattr(peer_link, "POLL_MS", 60_000)
    link = PeerLink(f"tcp://{LOOPBACK}:{free_port()}", None, Counters(), Host())
    link.start()
    closing = threading.Thread(target=link.close, daemon=True)
    closing.start()
    closing.join(10.0)
    assert not closing.is_alive()


def test_link_recovers_after_another_program_listened_at_the_address(tmp_path: Path) -> None:
    """For some time, another program or an entry with another key listens at a peer's address."""
    key_file = tmp_path / "fleet.key"
    key_file.write_bytes(zmq.curve_keypair()[1])
    port = free_port()
    address = f"tcp://{LOOPBACK}:{port}"
    hosts = [Host(), Host()]
    sender = PeerLink(f"tcp://{LOOPBACK}:{free_port()}", key_file, Counters(), hosts[0])
    peer = PeerLink(address, key_file, Counters(), hosts[1])
    sender.start()
    with socket.create_server((LOOPBACK, port)) as other_program:
        hosts[0].send(SendPeer(address, EntryWork("entry-1", ())))
        conn, _ = other_program.accept()
        with conn, contextlib.suppress(ConnectionResetError):
            conn.sendall(b"HTTP/1.1 400 Bad Request\r\n\r\n" + bytes(64))
            while conn.recv(4_096):
                pass
    peer.start()
    until_s = time.monotonic() + 5 * MIN_RECONNECT_INTERVAL_S
    while not hosts[1].received and time.monotonic() < until_s:
        hosts[0].send(SendPeer(address, EntryWork("entry-1", ())))
        time.sleep(0.05)
    sender.close()
    peer.close()
    assert hosts[1].received


def test_message_is_unsent_while_no_descriptor_is_left() -> None:
    """The first message to a peer while the process has all its descriptors open ends it."""
    host, counters = Host(), Counters()
    link = PeerLink(f"tcp://{LOOPBACK}:{free_port()}", None, counters, host)
    link.start()
    message = SendPeer(f"tcp://{LOOPBACK}:{free_port()}", EntryWork("entry-1", ()))
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (0, limits[1]))
    try:
        host.send(message)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        link.close()
    assert counters.get("peer_messages", "unsent") == 1
