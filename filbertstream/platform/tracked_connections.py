"""Interrupts calls whose connections may have gone silent, from another thread.

Faults handled: connections that carry no data any more, without a reset.  Calls on several of them
wait for as long as their own timeouts; the first timeout shows what is wrong with the others.  A
peer that sends a response without end, a byte at a time, is no timeout of a single read either.
"""

import contextlib
import socket
import threading
from collections.abc import Iterator
from typing import Any, Final

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NameResolutionError,
    NewConnectionError,
)

from filbertstream.process.clock import boot_time_s

NOT_SENT_ERRORS: Final = (NewConnectionError, ConnectTimeoutError, NameResolutionError)

READS: Final = ("GET",)


def was_not_sent(exc: HTTPError) -> bool:
    """Whether a failure happened before any byte of the request was sent."""
    cause = exc.reason if isinstance(exc, MaxRetryError) else exc
    return isinstance(cause, NOT_SENT_ERRORS)


class TrackedConnections:
    """The connections of one pool on which responses are awaited.

    With ``head_s``, the head of a response must arrive within that many seconds as a whole.

    >>> tracked = TrackedConnections()
    >>> pool = tracked.pool(maxsize=2)
    >>> tracked.interrupt_reads(opened_before_s=1.0)
    0
    """

    def __init__(self, head_s: float | None = None) -> None:
        self._head_s = head_s
        self._lock = threading.Lock()
        self._awaited: dict[int, Any] = {}

    def pool(self, **options: Any) -> urllib3.PoolManager:
        """Return a pool whose connections are tracked; ``options`` are those of urllib3."""
        manager = urllib3.PoolManager(**options)
        manager.pool_classes_by_scheme = {
            "http": self._pool_class(urllib3.HTTPConnectionPool, HTTPConnection),
            "https": self._pool_class(urllib3.HTTPSConnectionPool, HTTPSConnection),
        }
        return manager

    def _pool_class(self, base: type[Any], connection: type[Any]) -> type[Any]:
        return type("TrackedPool", (base,), {"ConnectionCls": self._tracked(connection)})

    def _tracked(self, base: type[Any]) -> type[Any]:
        tracker = self

        class Tracked(base):  # type: ignore[misc]
            opened_s = 0.0
            method = ""

            def connect(self) -> None:
                self.opened_s = boot_time_s()
                super().connect()

            def request(self, method: str, *args: Any, **options: Any) -> None:
                self.method = method
                super().request(method, *args, **options)

            def getresponse(self) -> Any:
                with tracker.awaiting(self):
                    return super().getresponse()

        return Tracked

    @contextlib.contextmanager
    def awaiting(self, conn: Any) -> Iterator[None]:
        """Track a connection while the head of a response is awaited on it."""
        with self._lock:
            self._awaited[id(conn)] = conn
        late = None
        if self._head_s is not None:
            late = threading.Timer(self._head_s, self._interrupt_awaited, (conn,))
            late.daemon = True
            late.start()
        try:
            yield
        finally:
            if late is not None:
                late.cancel()
            with self._lock:
                del self._awaited[id(conn)]

    def _interrupt_awaited(self, conn: Any) -> None:
        with self._lock:
            if id(conn) in self._awaited:
                _shut_down(conn)

    def interrupt_reads(self, opened_before_s: float) -> int:
        """End the awaited reads on connections opened before a time; return how many there were.

        Their calls fail as if the connection had been closed.  Writes go on, since their outcome
        would be unknown.
        """
        with self._lock:
            ended = [
                conn
                for conn in self._awaited.values()
                if conn.method in READS and conn.opened_s < opened_before_s
            ]
            for conn in ended:
                _shut_down(conn)
        return len(ended)


def _shut_down(conn: Any) -> None:
    if conn.sock is not None:
        with contextlib.suppress(OSError):
            conn.sock.shutdown(socket.SHUT_RDWR)
