"""Messages between entries over pyzmq: one PULL socket in, one PUSH socket to each peer.

Messages are small and may be lost: everything that matters is repeated or kept on the platform.
A peer that doesn't read loses messages instead of holding this process up.  ZeroMQ's own pings
replace connections that have gone silent.  With a fleet key, links use CURVE and only holders of
the key are heard.
"""

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
from filbertstream.gateway_events import PeerMessage
from filbertstream.messages import MESSAGE_LIMIT_BYTES, decode, encode
from filbertstream.process.clock import boot_time_s
from filbertstream.process.counters import Counters

QUEUE_MESSAGES: Final = 256
PING_MS: Final = 1_000
PING_TIMEOUT_MS: Final = 3_000
RECONNECT_MAX_MS: Final = 4_000
"""A peer that is gone is tried again at most this seldom."""

POLL_MS: Final = 500
OPEN_PEERS: Final = 64
"""Connections kept open; the longest unused is closed first."""


class PeerHost(Protocol):
    """What messages are taken from and told to."""

    def register(self, kind: type, handler: Callable[[Any], object]) -> None:
        """Have a kind of action carried out by a handler."""

    def emit(self, event: PeerMessage) -> None:
        """Hand an event to the core, from any thread."""


class _FleetKey:
    """Tells the authenticator that only the fleet's own public key is welcome."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Whether a client that shows ``key`` may connect."""
        return key == self._public


MIN_RECONNECT_INTERVAL_S: Final = 1.0
"""Least time between two connections to an address; a lost message is made good by the next."""


class PeerLink:
    """The sockets of this process towards the other entries."""

    def __init__(
        self, address: str, key_file: Path | None, counters: Counters, host: PeerHost
    ) -> None:
        self._address = address
        self._counters = counters
        self._host = host
        self._context = zmq.Context()
        self._secret = None if key_file is None else key_file.read_bytes().strip()
        self._public = None if self._secret is None else zmq.curve_public(self._secret)
        self._authenticator: ThreadAuthenticator | None = None
        self._push: OrderedDict[str, zmq.Socket[bytes]] = OrderedDict()
        self._opened_at_s: dict[str, float] = {}
        self._stop = threading.Event()
        self._reader: threading.Thread | None = None

    def start(self) -> None:
        """Bind, read peers' messages, and take the core's messages to peers.

        Raises ``OSError`` where the address is taken.
        """
        if self._public is not None:
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
        """Close all sockets; the host must be closed before, since it sends."""
        self._stop.set()
        if self._reader is not None:
            self._reader.join()
        for socket in self._push.values():
            socket.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    def _send(self, action: SendPeer) -> None:
        """Send without waiting; called on the actor's thread only, which owns the sockets."""
        socket = self._push.get(action.address)
        if socket is None:
            socket = self._connect(action.address)
        self._push.move_to_end(action.address)
        data = encode(action.payload)
        try:
            socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._counters.add("peer_messages", "dropped")
            self._reopen(action.address)
            return
        self._counters.add("peer_messages", "sent")
        self._counters.add("peer_bytes", "sent", len(data))

    def _reopen(self, address: str) -> None:
        """Drop a connection that takes no messages, so that the next one opens it again.

        After a handshake that failed for another reason than silence, ZeroMQ does not connect
        again: the address was another program's, or its owner had another key.
        """
        if boot_time_s() - self._opened_at_s[address] >= MIN_RECONNECT_INTERVAL_S:
            self._drop(address)

    def _drop(self, address: str) -> None:
        self._push.pop(address).close(linger=0)
        del self._opened_at_s[address]

    def _connect(self, address: str) -> "zmq.Socket[bytes]":
        while len(self._push) >= OPEN_PEERS:
            self._drop(next(iter(self._push)))
        socket = self._context.socket(zmq.PUSH)
        self._configure(socket)
        if self._secret is not None and self._public is not None:
            socket.curve_secretkey = self._secret
            socket.curve_publickey = self._public
            socket.curve_serverkey = self._public
        socket.connect(address)
        self._push[address] = socket
        self._opened_at_s[address] = boot_time_s()
        return socket

    def _configure(self, socket: "zmq.Socket[Any]") -> None:
        socket.set_hwm(QUEUE_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MESSAGE_LIMIT_BYTES)
        socket.linger = 0
        socket.setsockopt(zmq.HEARTBEAT_IVL, PING_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
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
        while not self._stop.is_set():
            if not socket.poll(POLL_MS):
                continue
            try:
                data = socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                # A poll may report a message that is not there; waiting for it could be for ever.
                continue
            self._deliver(data)
        socket.close(linger=0)

    def _deliver(self, data: bytes) -> None:
        try:
            message = decode(data)
        except msgspec.DecodeError:
            # Another version's message: the sender repeats what matters in a form known to both.
            self._counters.add("peer_messages", "unreadable")
            return
        self._host.emit(PeerMessage(message))
