"""Targets that respond before they have read the request, over loopback sockets."""

import asyncio
import struct
from socket import SO_LINGER, SOL_SOCKET

import pytest

from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.process.deployment import Address
from tests.test_target_connection import OWN_RESPONSE, UNFRAMED, Sink

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n"
UPLOAD = bytes(8_000_000)


async def upload(ending: str, kept: bool) -> str:
    """Return how a response without a length ends that began during a long upload."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if kept:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OWN_RESPONSE)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(UNFRAMED)
        await writer.drain()
        await asyncio.sleep(0.05)
        if ending == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        elif ending == "end, then reset":
            writer.write_eof()
            await asyncio.sleep(0.1)
            writer.transport.abort()
        else:
            writer.write_eof()
            while await reader.read(1_000_000):
                pass
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1_000)
    links = TargetConnectionPool()
    address = Address(*server.sockets[0].getsockname())
    conn = await links.open(address)
    assert conn is not None
    if kept:
        first = Sink()
        conn.request("mine", b"GET / HTTP/1.1\r\n\r\n", first, 0.0, lambda idle: None)
        assert await asyncio.wait_for(first.end, 3.0) == "complete"
        await asyncio.sleep(0.05)
    sink = Sink()
    conn.request("mine", HEAD, sink, 0.0, lambda idle: None, UPLOAD)
    end = await asyncio.wait_for(sink.end, 5.0)
    conn.abort()
    server.close()
    return end


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize(
    ("ending", "expected"),
    [
        ("reset", {"reset"}),
        ("end, then reset", {"reset", "cut"}),
        ("end, after the upload was read", {"connection ended"}),
    ],
)
def test_part_of_a_response_to_an_unread_upload_is_passed_on_as_whole(
    ending: str, expected: set[str], kept: bool
) -> None:
    """A target sends a part of a response without a length and resets the upload."""
    assert asyncio.run(upload(ending, kept)) in expected
