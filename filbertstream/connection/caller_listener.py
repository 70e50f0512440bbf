"""Accepts callers' connections while there is room for them.

Back-pressure comes first: at the limit, new connections wait in the kernel's queue.  Meanwhile the
longest idle connections are closed, and requests that make no progress are refused.
"""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Callable
from typing import Final, NamedTuple

from filbertstream.connection.address_wait import AddressWait
from filbertstream.connection.caller_connection import CallerConnection
from filbertstream.connection.connection_limit import most_connections
from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.process.deployment import Deployment

HANDSHAKE_TIMEOUT_S: Final = 3.0
"""A TLS handshake must be complete after this time, as a request head by default."""

ACCEPTED_AT_ONCE: Final = 16
"""After so many connections, those that were accepted before have their turn."""

ROOM_WAIT_S: Final = 0.05
"""The pause before the next look for room, or after an error of the system."""


class CallerListener:
    """Accepts connections on a listening socket; ``has_room`` is asked before each.

    ``make_room`` closes connections if it can; ``on_error`` is called if accepting has ended.
    """

    def __init__(
        self,
        sock: socket.socket,
        new_connection: Callable[[], CallerConnection],
        tls: ssl.SSLContext | None,
        has_room: Callable[[], bool],
        make_room: Callable[[], None],
        on_error: Callable[[str], None],
    ) -> None:
        self._sock = sock
        self._new_connection = new_connection
        self._tls = tls
        self._has_room = has_room
        self._make_room = make_room
        self._on_error = on_error
        self._opening: set[asyncio.Task[None]] = set()
        self._accepting: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Accept connections from now on."""
        self._sock.setblocking(False)
        self._accepting = asyncio.get_running_loop().create_task(self._accept())
        self._accepting.add_done_callback(self._on_ended)

    def close(self) -> None:
        """Accept no more connections."""
        for task in (self._accepting, *self._opening):
            if task is not None:
                task.cancel()
        self._sock.close()

    def _on_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._on_error(f"accepting: {exc!r}")

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        accepted = 0
        while True:
            while not self._has_room():
                self._make_room()
                await asyncio.sleep(ROOM_WAIT_S)
            try:
                sock, _ = await loop.sock_accept(self._sock)
            except OSError:
                # No descriptor or memory is left, or the caller has left before it was accepted.
                await asyncio.sleep(ROOM_WAIT_S)
                continue
            self._start_connection(sock)
            del sock
            accepted += 1
            if accepted % ACCEPTED_AT_ONCE == 0:
                await asyncio.sleep(0)

    def _start_connection(self, sock: socket.socket) -> None:
        """Count a connection from here on, also while its handshake goes on."""
        conn = self._new_connection()
        task = asyncio.get_running_loop().create_task(self._open(sock, conn))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open(self, sock: socket.socket, conn: CallerConnection) -> None:
        """Complete the handshake; a connection that fails before is never reported as lost."""
        timeout_s = None if self._tls is None else HANDSHAKE_TIMEOUT_S
        opened = False
        try:
            with contextlib.suppress(OSError, ssl.SSLError, EOFError):
                await asyncio.get_running_loop().connect_accepted_socket(
                    lambda: conn, sock, ssl=self._tls, ssl_handshake_timeout=timeout_s
                )
                opened = True
        finally:
            if not opened:
                sock.close()
                conn.connection_lost(None)


class CallerPort(NamedTuple):
    """The address for callers, and what its connections need."""

    deployment: Deployment
    gateway_io: GatewayIO
    new_connection: Callable[[], CallerConnection]
    tls: ssl.SSLContext | None
    on_error: Callable[[str], None]

    async def listen(self, wait: AddressWait) -> CallerListener | None:
        """Accept connections; return None if the process stops before."""
        sock = await wait.listening_socket(self.deployment.callers)
        if sock is None:
            return None
        connections = self.gateway_io.connections
        most = most_connections(self.deployment.memory_mb, self.deployment.max_descriptors)
        listener = CallerListener(
            sock,
            self.new_connection,
            self.tls,
            lambda: len(connections) < most,
            self.gateway_io.make_room,
            self.on_error,
        )
        listener.start()
        return listener
