"""Connections to targets against bytes that a faulty target may send, over loopback sockets."""

import asyncio
import struct
from socket import SO_LINGER, SOL_SOCKET
from typing import NamedTuple

import pytest

from filbertstream.connection.target_connection import TargetConnection, TargetConnectionPool
from filbertstream.platform.headers import Headers
from filbertstream.process.deployment import Address
from filbertstream.request.call import ResponseHead

OWN = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nown"
)
FOREIGN = OWN.replace(b"mine", b"else").replace(b"own", b"not")
LARGE_FOREIGN = FOREIGN.replace(b"Length: 3", b"Length: 300000").replace(b"not", b"n" * 300_000)
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nResponse-Signature: s\r\n\r\nunframed"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class Seen(NamedTuple):
    heads: list[int]
    body: bytes
    end: str
    reusable: bool


class Sink:
    def __init__(self, ends_when_silent: bool = True) -> None:
        self.ends_when_silent = ends_when_silent
        self.gets_on = True
        self.silences = 0
        self.heads: list[int] = []
        self.body = b""
        self.end: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def on_head(self, answer: ResponseHead, reason: str, headers: Headers) -> None:
        self.heads.append(answer.status)

    def on_body(self, data: bytes) -> bool:
        self.body += data
        return self.gets_on

    def on_complete(self) -> None:
        self.end.set_result("whole")

    def on_stalled(self) -> None:
        self.silences += 1
        if self.ends_when_silent:
            self.end.set_result("silent")

    def on_failed(self, cause: str) -> None:
        self.end.set_result(cause)


async def ask(sent: bytes, ending: str = "open", progress_timeout_s: float = 0.5) -> Seen:
    """Return what a sink saw of a target that sends some bytes and then ends so."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await writer.drain()
        if ending == "reset":
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        elif ending == "close":
            writer.close()
        else:
            await reader.read()
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    links = TargetConnectionPool()
    conn = await links.open(Address(host, port))
    assert conn is not None
    returned: list[TargetConnection] = []
    sink = Sink()
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    conn.request("mine", request, sink, progress_timeout_s, returned.append)
    end = await asyncio.wait_for(sink.end, 3.0)
    await asyncio.sleep(0.05)
    reusable = bool(returned) and not conn.closed and conn.usable
    conn.abort()
    server.close()
    return Seen(sink.heads, sink.body, end, reusable)


@pytest.mark.parametrize(
    ("sent", "ending", "expected"),
    [
        (OWN, "open", Seen([200], b"own", "whole", True)),
        (INTERIM + OWN, "open", Seen([200], b"own", "whole", True)),
        (FOREIGN + OWN, "open", Seen([200], b"own", "whole", False)),
        (OWN + FOREIGN, "open", Seen([200], b"own", "whole", False)),
        (OWN + b"stray bytes", "open", Seen([200], b"own", "whole", False)),
        (OWN[:-1], "close", Seen([200], b"ow", "cut", False)),
        (OWN[:-1], "reset", Seen([200], b"ow", "reset", False)),
        (OWN[:-1], "open", Seen([200], b"ow", "silent", False)),
        (UNFRAMED, "close", Seen([200], b"unframed", "whole", False)),
        (UNFRAMED, "reset", Seen([200], b"unframed", "reset", False)),
        (b"", "close", Seen([], b"", "cut", False)),
        (b"no answer at all\r\n\r\n", "open", Seen([], b"", "malformed", False)),
        (FOREIGN, "close", Seen([], b"", "cut", False)),
        (LARGE_FOREIGN + OWN, "open", Seen([200], b"own", "whole", False)),
    ],
)
def test_what_a_target_sends_is_taken_for_what_it_is(
    sent: bytes, ending: str, expected: Seen
) -> None:
    assert asyncio.run(ask(sent, ending)) == expected


def test_an_answer_that_goes_on_after_a_silence_arrives_whole() -> None:
    async def ask_slow() -> tuple[str, bytes, int]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OWN[:-1])
            await asyncio.sleep(0.5)
            writer.write(OWN[-1:])
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        conn = await TargetConnectionPool().open(Address(*server.sockets[0].getsockname()))
        assert conn is not None
        sink = Sink(ends_when_silent=False)
        conn.request("mine", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", sink, 0.1, lambda idle: None)
        end = await asyncio.wait_for(sink.end, 3.0)
        conn.abort()
        server.close()
        return end, sink.body, sink.silences

    end, body, silences = asyncio.run(ask_slow())
    assert (end, body) == ("whole", b"own")
    assert silences > 0


def test_a_target_that_does_not_listen_gives_no_connection() -> None:
    async def attempt() -> TargetConnection | None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        return await TargetConnectionPool().open(Address(host, port))

    assert asyncio.run(attempt()) is None
