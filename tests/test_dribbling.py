"""Runners that send something now and then, over loopback sockets: slow ones and stalled ones.

Load pattern: a runner that is short of memory sets a run aside, and its process still sends bytes
that are no event; beside it, a slow but sound runner sends events with long pauses.
"""

import asyncio
from typing import Any

import pytest

from filbertstream.connection.event_relay import EventRelay
from filbertstream.connection.proxied_send import ProxiedCall, ProxiedSend
from filbertstream.connection.response_format import PassThroughFormat
from filbertstream.connection.target_connection import TargetConnectionPool
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
SILENCE_S = 0.25
GAP_S = 0.1
FIRST = b"id: 1\ndata: a\n\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Caller:
    """A caller's connection that remembers what it got."""

    def __init__(self) -> None:
        self.body = b""
        self.ended = False

    def begin(self, head: bytes) -> None:
        """The answer begins."""

    def stream(self, data: bytes) -> None:
        self.body += data

    def end(self) -> None:
        self.ended = True


class Edge:
    """Tells what a send tells the edge."""

    def __init__(self) -> None:
        self.told: list[Any] = []
        self.send: ProxiedSend | None = None

    def emit(self, event: Any) -> None:
        self.told.append(event)
        if isinstance(event, ResponseStarted) and self.send is not None:
            self.send.relay(True)

    def forget_call(self, call_id: int) -> None:
        """The call is over."""


async def play(pieces: list[bytes], gap_s: float, seconds: float) -> tuple[Edge, Caller]:
    """Return what the edge and the caller were told of a runner that sends pieces with pauses."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + chunk(FIRST))
        for piece in pieces:
            await asyncio.sleep(gap_s)
            writer.write(piece)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname())
    (action,) = sends(World().arrive("draft"))
    action = action._replace(address=address, progress_timeout_s=SILENCE_S)
    gateway_io, caller = Edge(), Caller()
    gateway_io.send = ProxiedSend(gateway_io, relayed(caller, action), action)
    await gateway_io.send.begin(TargetConnectionPool())
    await asyncio.sleep(seconds)
    gateway_io.send.cancel()
    server.close()
    return gateway_io, caller


def relayed(caller: Caller, action: SendCall) -> ProxiedCall:
    from filbertstream.connection.caller_connection import RawRequest
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
def test_a_stalled_stream_is_noticed_whatever_it_sends_now_and_then(kind: str) -> None:
    gateway_io, _ = asyncio.run(play(STALLED[kind], GAP_S, 9 * GAP_S))
    silent = [item for item in gateway_io.told if isinstance(item, SendStalled)]
    assert silent
    assert silent[0].last_event_id == "1"


def test_a_slow_but_sound_stream_is_not_taken_for_a_stalled_one() -> None:
    events = [chunk(b"id: %d\ndata: t\n\n" % number) for number in range(2, 8)]
    gateway_io, caller = asyncio.run(play([*events, b"0\r\n\r\n"], 0.8 * SILENCE_S, 8 * SILENCE_S))
    assert not [item for item in gateway_io.told if isinstance(item, SendStalled | SendFailed)]
    assert [item for item in gateway_io.told if isinstance(item, ResponseComplete)]
    assert caller.ended
    assert caller.body.count(b"data:") == 7


def test_events_count_as_useful_by_what_they_bear() -> None:
    relay = EventRelay(None)
    relay.feed(b": comment\n\nretry: 5\n\n")
    assert relay.useful_events == 0
    relay.feed(b"data: x\n\nid: 1\ndata: y\n\nid: 1\ndata: y\n\n")
    assert relay.useful_events == 2
