"""Streams with a silent send and another one, over loopback sockets.

Failure guarded against: events that a caller gets twice, never, or in parts, when either of the two
sends of its stream goes on.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.connection.request_parser import RawRequest
from filbertstream.gateway_events import TargetObserved, Tick
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address
from tests.gateway_world import APPS, RUNNERS, World
from tests.test_slow_streams import HEAD, chunk

EVENTS = 8
REJECTION = b"HTTP/1.1 503 Busy\r\nRequest-Id: q1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
END = b"0\r\n\r\n"

Runner = Callable[[int, asyncio.StreamWriter], Awaitable[None]]
"""Responds to a request that resumes after an event."""


def event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


class Caller:
    """The caller's connection."""

    def __init__(self) -> None:
        self.body = b""
        self.call_id: int | None = None
        self.began_s = boot_time_s()
        self.outcome = ""

    def begin(self, head: bytes) -> None:
        assert not self.body

    def stream(self, data: bytes) -> None:
        assert not self.outcome
        self.body += data

    def end(self) -> None:
        self.outcome = "whole"

    def abort(self) -> None:
        self.outcome = "cut"

    def send_response(self, *parts: Any) -> None:
        self.outcome = "refused"


async def serve(runner: Runner) -> asyncio.Server:
    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
            except asyncio.IncompleteReadError:
                break
            last = head.partition(b"last-event-id: ")[2].partition(b"\r\n")[0]
            await runner(int(last or 0), writer)
        writer.close()

    return await asyncio.start_server(on_connection, "127.0.0.1", 0)


async def play(first: Runner, second: Runner) -> Caller:
    """Play one stream with a gap objective of 0.3 s; the first runner asked is ``first``."""
    world = World()
    now_s = world.now_s = boot_time_s()
    asked: list[int] = []

    async def respond(last: int, writer: asyncio.StreamWriter) -> None:
        asked.append(last)
        await (first if len(asked) == 1 else second)(last, writer)

    servers = [await serve(respond) for _ in RUNNERS]
    for runner, server in zip(RUNNERS, servers, strict=True):
        address = Address(*server.sockets[0].getsockname())
        world.step(TargetObserved(runner.target_id, runner._replace(address=address), False))
    for app in APPS:
        world.step(TargetObserved(app.target_id, None, True))
    world.confirm()
    gateway_io = GatewayIO(world.core, lambda log: None, lambda reason: None)
    caller: Any = Caller()
    headers = [(b"host", b"h.example"), (b"request-id", b"q1"), (b"x-api-key", b"k")]
    headers += [(b"model", b"m"), (b"token-count", b"100,8"), (b"deadline-ms", b"9000")]
    headers += [(b"prefix-hash", b"a:60,b:40")]
    gateway_io.on_request(caller, RawRequest("POST", "/draft/x", headers, b"{}"))
    while not caller.outcome and boot_time_s() < now_s + 8.0:
        await asyncio.sleep(0.05)
        world.now_s = boot_time_s()
        world.confirm()
        gateway_io.emit(Tick())
    await asyncio.sleep(0.1)
    for server in servers:
        server.close()
    return caller


def silent(writes: list[bytes], silence_s: float, rest: list[bytes], gap_s: float = 0.01) -> Runner:
    async def respond(last: int, writer: asyncio.StreamWriter) -> None:
        for data in writes:
            writer.write(data)
            await asyncio.sleep(0.01)
        await asyncio.sleep(silence_s)
        for data in rest:
            writer.write(data)
            await asyncio.sleep(gap_s)

    return respond


async def reject(last: int, writer: asyncio.StreamWriter) -> None:
    writer.write(REJECTION)


def resume(head_s: float, event_s: float, events: int = EVENTS) -> Runner:
    """Resume a stream, with pauses before its head and before its events."""

    async def respond(last: int, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(head_s)
        writer.write(HEAD)
        await asyncio.sleep(event_s)
        for number in range(last, events + 1):
            # The last event is sent again, and one event in two parts.
            data = event(max(1, number))
            writer.write(chunk(data[:5]) + chunk(data[5:]))
        writer.write(END)

    return respond


PART = event(4)[:7]
BEGINNING = [HEAD, *(chunk(event(number)) for number in (1, 2, 3)), chunk(PART)]
REST = [chunk(event(4)[7:]), *(chunk(event(number)) for number in range(5, EVENTS + 1)), END]


@pytest.mark.parametrize(
    ("silence_s", "second"),
    [
        pytest.param(2.0, reject, id="others are full"),
        pytest.param(9.0, resume(0.0, 0.0), id="the other one takes over"),
        pytest.param(9.0, resume(0.2, 0.4), id="the other one takes over late"),
        pytest.param(1.6, resume(2.0, 0.0), id="the first one goes on before the head"),
        pytest.param(1.6, resume(0.0, 2.0), id="the first one goes on behind the head"),
        pytest.param(2.0, silent([HEAD], 0.2, [END[:2]]), id="the other one is silent too"),
    ],
)
def test_stream_with_two_sends_is_cut_or_has_other_events(silence_s: float, second: Runner) -> None:
    """A runner is silent inside an event; another one is full, fast, late or silent too."""
    caller = asyncio.run(play(silent(BEGINNING, silence_s, REST), second))
    assert (caller.outcome, caller.body) == ("whole", WHOLE)


def test_stream_that_goes_on_slowly_is_taken_over_in_its_middle() -> None:
    """A runner goes on after a silence, and another one responds before it has ended."""
    first = silent(BEGINNING, 1.6, REST, 0.3)
    caller = asyncio.run(play(first, resume(0.0, 1.0)))
    assert (caller.outcome, caller.body) == ("whole", WHOLE)


@pytest.mark.parametrize("second", [reject, resume(3.0, 0.0)])
def test_stream_without_a_head_is_refused_although_its_runner_responds(second: Runner) -> None:
    """A runner responds late; another one is full, or later still."""
    late = silent([], 2.0, [HEAD, chunk(WHOLE), END])
    caller = asyncio.run(play(late, second))
    assert (caller.outcome, caller.body) == ("whole", WHOLE)
