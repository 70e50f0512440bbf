"""Messages between entries over pyzmq: one PULL socket in, one PUSH socket to each peer.

Messages are small and may be lost: everything that matters is sent again or kept in the object
store.  Messages to a peer that doesn't read are dropped and never block this process.  ZeroMQ's
heartbeats detect unresponsive connections, which are replaced.  With a fleet key, links use CURVE
and accept only peers that hold the key.
"""

import contextlib
import threading
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, Protocol

import msgspec
import zmq
import zmq.auth
from zmq.auth.thread import ThreadAuthenticator

from filbertstream.actions import SendPeer
from filbertstream.connection.peer_traffic import PeerTraffic
from filbertstream.gateway_events import PeerMessage
from filbertstream.messages import MESSAGE_LIMIT_BYTES, PeerPayload, decode, encode
from filbertstream.process.clock import boot_time_s
from filbertstream.process.counters import Counters

QUEUE_MESSAGES: Final = 256
HEARTBEAT_MS: Final = 1_000
HEARTBEAT_TIMEOUT_MS: Final = 3_000
RECONNECT_MAX_MS: Final = 4_000
"""Longest interval between ZeroMQ's reconnection attempts."""

POLL_MS: Final = 500
MAX_OPEN_PEERS: Final = 64
"""Most connections kept open; the least recently used is closed first."""


class PeerHost(Protocol):
    """Where messages to send come from, and where received ones go."""

    def register(self, kind: type, handler: Callable[[Any], object]) -> None:
        """Set the handler that executes a type of action."""

    def emit(self, event: PeerMessage) -> None:
        """Pass an event to the core; callable from any thread."""


class _FleetKey:
    """Credentials provider for the authenticator: accepts only the fleet's public key."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Whether a client with the public key ``key`` may connect."""
        return key == self._public


MIN_RECONNECT_INTERVAL_S: Final = 1.0
"""Shortest interval between two connections to an address.  Lost messages are superseded by the
next ones."""


class PeerLink:
    """The sockets of this process for messages to and from its peers."""

    def __init__(
        self,
        address: str,
        key_file: Path | None,
        counters: Counters,
        host: PeerHost,
        traffic: PeerTraffic | None = None,
    ) -> None:
        self._address = address
        self._counters = counters
        self._host = host
        self._traffic = traffic
        self._last_encoded: tuple[PeerPayload, bytes] | None = None
        self._context = zmq.Context()
        self._secret = None if key_file is None else key_file.read_bytes().strip()
        self._public = None if self._secret is None else zmq.curve_public(self._secret)
        self._authenticator: ThreadAuthenticator | None = None
        self._push: OrderedDict[str, zmq.Socket[bytes]] = OrderedDict()
        self._opened_at_s: dict[str, float] = {}
        self._stop = threading.Event()
        self._reader: threading.Thread | None = None

    def start(self) -> None:
        """Bind, start reading peers' messages, and register the handler that sends messages.

        Raises ``OSError`` if the address is in use; may then be called again.
        """
        if self._public is not None and self._authenticator is None:
            self._authenticator = ThreadAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback("*", _FleetKey(self._public))
        socket = self._bind()
        self._host.register(SendPeer, self._send)
        self._reader = threading.Thread(
            target=self._read, args=(socket,), name="peers", daemon=True
        )
        self._reader.start()

    def close(self) -> None:
        """Close all sockets; the host must be closed first, since it sends messages."""
        self._stop.set()
        for socket in self._push.values():
            socket.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        # This ends the reader's poll, and returns once the reader has closed its socket.
        self._context.term()
        if self._reader is not None:
            self._reader.join()

    def _send(self, action: SendPeer) -> None:
        """Send without blocking; called only on the thread that owns the sockets.

        A peer to which no connection can be opened gets no messages.
        """
        if self._stop.is_set():
            # Events that arrive during the cleanup still have actions.
            return
        socket = self._push.get(action.address) or self._connect(action.address)
        if socket is None:
            self._counters.add("peer_messages", "unsent")
            return
        self._push.move_to_end(action.address)
        data = self._encoded(action.payload)
        try:
            socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._counters.add("peer_messages", "dropped")
            self._reopen(action.address)
            return
        self._counters.add("peer_messages", "sent")
        if self._traffic is not None:
            self._traffic.note(action.payload, len(data), boot_time_s())

    def _encoded(self, payload: PeerPayload) -> bytes:
        """Return the wire form of a message, which is often sent to many peers in a row."""
        if self._last_encoded is None or self._last_encoded[0] is not payload:
            self._last_encoded = payload, encode(payload)
        return self._last_encoded[1]

    def _reopen(self, address: str) -> None:
        """Drop a connection that accepts no messages; the next message opens a new one.

        ZeroMQ does not reconnect after a handshake that failed for any reason but a timeout, as
        when the address belongs to another program, or to a peer with another key.
        """
        if boot_time_s() - self._opened_at_s[address] >= MIN_RECONNECT_INTERVAL_S:
            self._drop(address)

    def _drop(self, address: str) -> None:
        self._push.pop(address).close(linger=0)
        del self._opened_at_s[address]

    def _connect(self, address: str) -> "zmq.Socket[bytes] | None":
        while len(self._push) >= MAX_OPEN_PEERS:
            self._drop(next(iter(self._push)))
        try:
            socket = self._context.socket(zmq.PUSH)
        except zmq.ZMQError:
            # The process has all its descriptors open.
            return None
        self._configure(socket)
        if self._secret is not None and self._public is not None:
            socket.curve_secretkey = self._secret
            socket.curve_publickey = self._public
            socket.curve_serverkey = self._public
        try:
            socket.connect(address)
        except zmq.ZMQError:
            socket.close(linger=0)
            return None
        self._push[address] = socket
        self._opened_at_s[address] = boot_time_s()
        return socket

    def _configure(self, socket: "zmq.Socket[Any]") -> None:
        socket.set_hwm(QUEUE_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MESSAGE_LIMIT_BYTES)
        socket.linger = 0
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)

    def _bind(self) -> "zmq.Socket[bytes]":
        socket = self._context.socket(zmq.PULL)
        self._configure(socket)
        if self._secret is not None:
            socket.curve_secretkey = self._secret
            socket.curve_server = True
        try:
            socket.bind(self._address)
        except zmq.ZMQError as exc:
            socket.close(linger=0)
            raise OSError(exc.errno, f"{exc.strerror}: {self._address}") from exc
        return socket

    def _read(self, socket: "zmq.Socket[bytes]") -> None:
        with contextlib.suppress(zmq.ContextTerminated):
            while not self._stop.is_set():
                # Nothing is read once the authenticator may have stopped.
                if not socket.poll(POLL_MS) or self._stop.is_set():
                    continue
                try:
                    data = socket.recv(zmq.NOBLOCK)
                except zmq.Again:
                    # A poll may report a message that is not there; a blocking read could hang.
                    continue
                self._deliver(data)
        socket.close(linger=0)

    def _deliver(self, data: bytes) -> None:
        try:
            message = decode(data)
        except msgspec.DecodeError:
            # A message of another version: the sender sends what matters again in a form that both
            # versions can decode.
            self._counters.add("peer_messages", "unreadable")
            return
        self._host.emit(PeerMessage(message))
