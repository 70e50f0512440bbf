"""Slow and stalled streams of runners that still send some bytes, over loopback sockets.

Load pattern: a runner that is short of memory suspends a run, and its process still sends bytes
that are not part of an event; beside it, a slow but healthy runner sends events with long pauses.
"""

import asyncio
from typing import Any

import pytest

from filbertstream.connection.event_relay import EventRelay
from filbertstream.connection.proxied_send import ProxiedCall, ProxiedSend
from filbertstream.connection.response_format import PassThroughFormat
from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.process.deployment import Address
from filbertstream.request.call_events import (
    ResponseComplete,
    ResponseStarted,
    SendCall,
    SendFailed,
    SendStalled,
)
from tests.gateway_world import World, sends

HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
PROGRESS_TIMEOUT_S = 0.25
GAP_S = 0.1
FIRST = b"id: 1\ndata: a\n\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Caller:
    """A caller's connection that records what it receives."""

    def __init__(self) -> None:
        self.body = b""
        self.ended = False

    def begin(self, head: bytes) -> None:
        """The response starts."""

    def stream(self, data: bytes) -> None:
        self.body += data

    def end(self) -> None:
        self.ended = True


class IOLayer:
    """Records the events that a send emits to the I/O layer."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.send: ProxiedSend | None = None

    def emit(self, event: Any) -> None:
        self.events.append(event)
        if isinstance(event, ResponseStarted) and self.send is not None:
            self.send.relay(True)

    def forget_call(self, call_id: int) -> None:
        """The call has ended."""


async def play(chunks: list[bytes], gap_s: float, seconds: float) -> tuple[IOLayer, Caller]:
    """Play a runner that sends chunks with pauses; return the I/O layer and the caller."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + chunk(FIRST))
        for chunk_bytes in chunks:
            await asyncio.sleep(gap_s)
            writer.write(chunk_bytes)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname())
    (action,) = sends(World().arrive("draft"))
    action = action._replace(address=address, progress_timeout_s=PROGRESS_TIMEOUT_S)
    io_layer, caller = IOLayer(), Caller()
    io_layer.send = ProxiedSend(io_layer, proxied_call(caller, action), action)
    await io_layer.send.begin(TargetConnectionPool())
    await asyncio.sleep(seconds)
    io_layer.send.cancel()
    server.close()
    return io_layer, caller


def proxied_call(caller: Caller, action: SendCall) -> ProxiedCall:
    from filbertstream.connection.request_parser import RawRequest
    from filbertstream.request.call import CallHead, Prompt

    raw = RawRequest("POST", "/draft/x", [(b"host", b"h"), (b"request-id", b"q1")], b"")
    prompt = Prompt("m", 10, 5, ())
    head = CallHead("q1", "POST", "h", "/draft/x", None, 10.0, 0, prompt, None)
    conn: Any = caller
    return ProxiedCall(conn, raw, head, PassThroughFormat())


STALLED = {
    "bytes of an event": [b"1\r\ni\r\n", *[b"1\r\nx\r\n"] * 8],
    "comments": [chunk(b": wait\n\n")] * 8,
    "blank lines": [chunk(b"\n\n")] * 8,
    "chunk extensions": [b"1;" + b"x" * 10 + b"\r\ni\r\n"] * 8,
}


@pytest.mark.parametrize("kind", STALLED)
def test_stalled_stream_is_detected_although_it_sends_bytes_without_events(kind: str) -> None:
    """A runner sends a first event, and then only bytes that complete no event."""
    io_layer, _ = asyncio.run(play(STALLED[kind], GAP_S, 9 * GAP_S))
    stalled = [item for item in io_layer.events if isinstance(item, SendStalled)]
    assert stalled
    assert stalled[0].last_event_id == "1"


def test_slow_stream_does_not_count_as_stalled() -> None:
    """A runner sends each event just within the progress timeout."""
    events = [chunk(b"id: %d\ndata: t\n\n" % number) for number in range(2, 8)]
    io_layer, caller = asyncio.run(
        play([*events, b"0\r\n\r\n"], 0.8 * PROGRESS_TIMEOUT_S, 8 * PROGRESS_TIMEOUT_S)
    )
    assert not [item for item in io_layer.events if isinstance(item, SendStalled | SendFailed)]
    assert [item for item in io_layer.events if isinstance(item, ResponseComplete)]
    assert caller.ended
    assert caller.body.count(b"data:") == 7


def test_only_events_with_data_count_as_progress() -> None:
    """Comments, retry fields and events sent a second time are not progress."""
    relay = EventRelay(None)
    relay.feed(b": comment\n\nretry: 5\n\n")
    assert relay.useful_events == 0
    relay.feed(b"data: x\n\nid: 1\ndata: y\n\nid: 1\ndata: y\n\n")
    assert relay.useful_events == 2
