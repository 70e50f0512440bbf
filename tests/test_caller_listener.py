"""The listener of callers: how many connections it takes, and what ends of them leave behind."""

import asyncio
import gc
import socket
import ssl
import weakref

import pytest
import trustme

from filbertstream.connection import caller_listener
from filbertstream.connection.buffer_budget import BufferBudget, Kind
from filbertstream.connection.caller_connection import CallerConnection
from filbertstream.connection.caller_listener import CallerListener
from filbertstream.version.routes import CallerLimits
from tests.test_caller_connections import OK, App, request, until


class Server:
    """A listener that takes up to ``most`` connections."""

    def __init__(self, app: App, most: int, tls: ssl.SSLContext | None = None) -> None:
        self.open: set[CallerConnection] = set()
        self.buffers = BufferBudget()
        self.app = app
        sock = socket.create_server(("127.0.0.1", 0))
        self.address = sock.getsockname()
        self.errors: list[str] = []
        self.listener = CallerListener(
            sock,
            self._new,
            tls,
            lambda: len(self.open) < most,
            lambda: None,
            self.errors.append,
        )
        self.listener.start()

    def _new(self) -> CallerConnection:
        conn = CallerConnection(self.app, self.open.discard, self.buffers)
        self.open.add(conn)
        return conn


def test_connections_beyond_the_limit_wait_until_others_have_ended() -> None:
    """Failure guarded against: each connection takes a descriptor until none is left."""

    async def play() -> tuple[int, bytes]:
        server = Server(App(), most=2)
        writers = [(await asyncio.open_connection(*server.address))[1] for _ in range(2)]
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(request("1"))
        await until(lambda: len(server.open) == 2)
        await asyncio.sleep(0.1)
        most = len(server.open)
        assert not server.app.paths
        writers[0].close()
        answer = await asyncio.wait_for(reader.readuntil(b"ok"), 5.0)
        server.listener.close()
        assert not server.errors
        return most, answer

    most, answer = asyncio.run(play())
    assert most == 2
    assert answer.startswith(b"HTTP/1.1 200")


def test_tls_handshake_that_never_completes_leaves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure guarded against: a connection that a planned stop would wait for without end."""
    monkeypatch.setattr(caller_listener, "HANDSHAKE_TIMEOUT_S", 0.1)
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    trustme.CA().issue_cert("h.example").configure_cert(tls)

    async def play() -> None:
        server = Server(App(), most=5, tls=tls)
        _, writer = await asyncio.open_connection(*server.address)
        await until(lambda: len(server.open) == 1)
        await until(lambda: not server.open)
        writer.close()
        server.listener.close()

    asyncio.run(play())


def test_response_that_its_caller_never_reads_is_closed_and_its_memory_freed() -> None:
    """Failure guarded against: a caller that asks for a large response and reads nothing of it."""

    async def play() -> None:
        server = Server(App(CallerLimits(idle_timeout_s=0.1)), most=5)
        sock = socket.create_connection(server.address)
        sock.sendall(request("later"))
        await until(lambda: bool(server.app.paths))
        (conn,) = server.open
        conn.send_response(OK, b"x" * 20_000_000)
        assert server.buffers.by_kind[Kind.UNSENT] > 1_000_000
        loop = asyncio.get_running_loop()
        while server.open:
            conn.count_unsent(loop.time())
            await asyncio.sleep(0.02)
        assert server.buffers.total_bytes == 0
        assert server.buffers.closed == {"response_not_read": 1}
        sock.close()
        server.listener.close()

    asyncio.run(asyncio.wait_for(play(), 10.0))


def test_connection_that_has_ended_is_freed_without_a_garbage_collection() -> None:
    """Failure guarded against: bodies that stay with their parser until a collection, 145 MB."""

    async def play() -> weakref.ref[CallerConnection]:
        server = Server(App(), most=5)
        sock = socket.create_connection(server.address)
        sock.sendall(request("1", b"y" * 50_000)[:-1])
        await until(lambda: server.buffers.total_bytes > 50_000)
        (conn,) = server.open
        left = weakref.ref(conn)
        del conn
        sock.close()
        await until(lambda: not server.open)
        await asyncio.sleep(0.05)
        server.listener.close()
        assert server.buffers.total_bytes == 0
        assert left() is None
        return left

    gc.disable()
    try:
        asyncio.run(play())
    finally:
        gc.enable()
