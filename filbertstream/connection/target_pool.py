"""The pool of idle connections to targets."""

import asyncio
import ssl
from collections.abc import Callable
from typing import Final

from filbertstream.connection.buffer_budget import DEFAULT_BUFFER_BYTES, BufferBudget
from filbertstream.connection.target_connection import TargetConnection
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address

CONNECT_TIMEOUT_S: Final = 0.35
"""Timeout for opening a connection.  Targets are a few milliseconds away, and a lost SYN is
retransmitted only after a second."""

MAX_IDLE_PER_TARGET: Final = 6


class TargetConnectionPool:
    """Idle connections by address; with ``tls``, targets must present a valid certificate.

    ``buffers`` bounds what the responses of all connections make this process hold.
    """

    def __init__(
        self, tls: ssl.SSLContext | None = None, buffer_bytes: int = DEFAULT_BUFFER_BYTES
    ) -> None:
        self.tls = tls
        self.buffers = BufferBudget(buffer_bytes)
        self._idle: dict[Address, list[TargetConnection]] = {}
        self.opened = 0
        self.on_lost: Callable[[Address], None] = lambda address: None

    def take(
        self, address: Address, max_idle_s: float, now_s: float, request_id: str = ""
    ) -> TargetConnection | None:
        """Return the most recently used connection that was idle for less than ``max_idle_s``.

        A connection on which the same request was rejected is closed instead: the rejection may be
        repeated there, and nothing distinguishes it from a second one.
        """
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if request_id and request_id in conn.refused_ids:
                conn.abort()
                continue
            limit_s = min(max_idle_s, conn.idle_limit_s)
            if conn.usable and not conn.closed and now_s - conn.idle_since_s < limit_s:
                return conn
            conn.abort()
        return None

    async def open(self, address: Address) -> TargetConnection | None:
        """Return a new connection, or None if it can't be opened in time."""
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            _, conn = await asyncio.wait_for(
                loop.create_connection(
                    lambda: TargetConnection(address), address.host, address.port, ssl=self.tls
                ),
                CONNECT_TIMEOUT_S,
            )
        except OSError:
            return None
        return conn

    def release(self, conn: TargetConnection, now_s: float) -> None:
        """Return a connection to the pool for the next request."""
        idle = self._idle.setdefault(conn.address, [])
        if len(idle) >= MAX_IDLE_PER_TARGET:
            conn.abort()
            return
        conn.idle_since_s = now_s
        conn.on_idle_lost = self._note_lost
        idle.append(conn)

    def _note_lost(self, conn: TargetConnection) -> None:
        """Report that a target has closed the last idle connection that could still be used.

        A target that only has too many connections leaves others open.
        """
        others = [item for item in self._idle.get(conn.address, ()) if item is not conn]
        is_recent = boot_time_s() - conn.idle_since_s < conn.idle_limit_s
        if is_recent and not any(item.usable for item in others):
            self.on_lost(conn.address)

    def sweep(self, now_s: float) -> None:
        """Close connections that were idle for too long."""
        for address in list(self._idle):
            kept = []
            for conn in self._idle[address]:
                if conn.usable and now_s - conn.idle_since_s < conn.idle_limit_s:
                    kept.append(conn)
                else:
                    conn.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.abort()
        self._idle = {}
