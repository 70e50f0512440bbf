"""The time that a call has left when it has been read."""

import asyncio

import pytest

from filbertstream.connection import caller_connection, gateway_io, proxied_send
from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.connection.proxied_send import ProxiedSend
from filbertstream.connection.target_connection import TargetConnection
from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.process.deployment import Address
from filbertstream.request.call_events import WITHHELD, CallArrived, SendFailed
from tests.gateway_world import World, sends
from tests.test_isolated_tasks import RecordingTransport
from tests.test_slow_streams import Caller, IOLayer, proxied_call


def request(number: int, deadline_ms: int) -> bytes:
    fields = f"Host: h.example\r\nRequest-Id: q{number}\r\nDeadline-Ms: {deadline_ms}\r\n"
    return f"POST /open/x HTTP/1.1\r\n{fields}Content-Length: 1\r\n\r\nx".encode()


# BUDGET: targets were handed the time again that the body, or the request ahead of it, had used.
@pytest.mark.parametrize("queued", [False, True], ids=["slow body", "pipelined"])
@pytest.mark.parametrize(("deadline_ms", "left_s"), [(3000, 1.8), (1000, 0.0)])
def test_time_of_a_call_counts_from_its_first_byte(
    monkeypatch: pytest.MonkeyPatch, queued: bool, deadline_ms: int, left_s: float
) -> None:
    clock_s = [50.0]
    for module in (caller_connection, gateway_io):
        monkeypatch.setattr(module, "boot_time_s", lambda: clock_s[0])
    seen: list[object] = []

    async def scenario() -> None:
        io = GatewayIO(World().core, lambda log: None, lambda reason: None)
        monkeypatch.setattr(io, "emit", seen.append)
        conn = io.new_connection()
        conn.transport = RecordingTransport()
        clock_s[0] += 7.0
        if queued:
            conn.data_received(request(1, 3000) + request(2, deadline_ms))
            clock_s[0] += 1.2
            conn.send_response(b"HTTP/1.1 200 OK\r\nContent-Length: 0", b"")
            await asyncio.sleep(0)
        else:
            conn.data_received(request(2, deadline_ms)[:-1])
            clock_s[0] += 1.2
            conn.data_received(b"x")
        conn.connection_lost(None)

    asyncio.run(scenario())
    arrived = [event for event in seen if isinstance(event, CallArrived)]
    assert arrived[-1].head.request_id == "q2"
    assert arrived[-1].head.deadline_s == pytest.approx(left_s)


# BUDGET: a busy machine passed a call on late, with the time that was left when it had chosen.
def test_target_gets_the_time_that_is_left_when_its_connection_is_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock_s = [50.0]
    monkeypatch.setattr(proxied_send, "boot_time_s", lambda: clock_s[0])
    transport = RecordingTransport()

    async def open_late(pool: TargetConnectionPool, address: Address) -> TargetConnection:
        clock_s[0] += 1.0
        conn = TargetConnection(address)
        conn.transport = transport
        return conn

    async def scenario() -> None:
        (action,) = sends(World().arrive("draft", deadline_s=3.0))
        send = ProxiedSend(IOLayer(), proxied_call(Caller(), action), action)
        await send.begin(TargetConnectionPool())

    monkeypatch.setattr(TargetConnectionPool, "open", open_late)
    asyncio.run(scenario())
    assert b"\r\nDeadline-Ms: 2000\r\n" in transport.written


@pytest.mark.parametrize("may_reach", [True, False])
def test_nothing_is_written_if_the_target_was_evacuated_while_its_connection_opened(
    monkeypatch: pytest.MonkeyPatch, may_reach: bool
) -> None:
    """The process is suspended between the choice of a target and the end of the handshake."""
    transport, layer = RecordingTransport(), IOLayer()

    async def open_late(pool: TargetConnectionPool, address: Address) -> TargetConnection:
        conn = TargetConnection(address)
        conn.transport = transport
        return conn

    async def scenario() -> None:
        (action,) = sends(World().arrive("draft"))
        call = proxied_call(Caller(), action)
        await ProxiedSend(layer, call, action, lambda target: may_reach).begin(
            TargetConnectionPool()
        )

    monkeypatch.setattr(TargetConnectionPool, "open", open_late)
    asyncio.run(scenario())
    failed = [(item.cause, item.sent) for item in layer.events if isinstance(item, SendFailed)]
    assert (bool(transport.written), failed) == (
        may_reach,
        [] if may_reach else [(WITHHELD, False)],
    )
