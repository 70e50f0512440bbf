"""The link between entries: what closes it must not wait for messages that never come."""

import contextlib
import socket
import threading
import time
from pathlib import Path
from typing import Any

import zmq

from filbertstream.actions import SendPeer
from filbertstream.connection.peer_link import MIN_RECONNECT_INTERVAL_S, PeerLink
from filbertstream.messages import EntryWork
from filbertstream.process.counters import Counters
from standins.processes import LOOPBACK, free_port


class Host:
    """Takes what the link tells and asks for."""

    def __init__(self) -> None:
        self.heard: list[Any] = []

    def register(self, kind: type, handler: Any) -> None:
        self.send = handler

    def emit(self, event: Any) -> None:
        self.heard.append(event)


class LyingSocket:
    """Says that there is a message where there is none."""

    def __init__(self, socket: "zmq.Socket[bytes]") -> None:
        self._socket = socket

    def poll(self, timeout_ms: int) -> int:
        return 1

    def recv(self, flags: int = 0) -> bytes:
        return self._socket.recv(flags)

    def close(self, linger: int) -> None:
        self._socket.close(linger)


class LyingLink(PeerLink):
    def _bind(self) -> Any:
        return LyingSocket(super()._bind())


def test_a_link_closes_though_a_poll_reports_a_message_that_is_not_there() -> None:
    link = LyingLink(f"tcp://{LOOPBACK}:{free_port()}", None, Counters(), Host())
    link.start()
    closing = threading.Thread(target=link.close, daemon=True)
    closing.start()
    closing.join(5.0)
    assert not closing.is_alive()


def test_a_link_recovers_from_a_stranger_at_the_address(tmp_path: Path) -> None:
    """An address may be another program's for a while, or its owner may hold another key."""
    key_file = tmp_path / "fleet.key"
    key_file.write_bytes(zmq.curve_keypair()[1])
    port = free_port()
    address = f"tcp://{LOOPBACK}:{port}"
    hosts = [Host(), Host()]
    sender = PeerLink(f"tcp://{LOOPBACK}:{free_port()}", key_file, Counters(), hosts[0])
    owner = PeerLink(address, key_file, Counters(), hosts[1])
    sender.start()
    with socket.create_server((LOOPBACK, port)) as stranger:
        hosts[0].send(SendPeer(address, EntryWork("entry-1", ())))
        conn, _ = stranger.accept()
        with conn, contextlib.suppress(ConnectionResetError):
            conn.sendall(b"HTTP/1.1 400 Bad Request\r\n\r\n" + bytes(64))
            while conn.recv(4_096):
                pass
    owner.start()
    until_s = time.monotonic() + 5 * MIN_RECONNECT_INTERVAL_S
    while not hosts[1].heard and time.monotonic() < until_s:
        hosts[0].send(SendPeer(address, EntryWork("entry-1", ())))
        time.sleep(0.05)
    sender.close()
    owner.close()
    assert hosts[1].heard
