"""Responses with neither a length nor chunks that end with their connection, split at any byte."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertstream.connection.proxied_send import ProxiedSend
from filbertstream.connection.target_connection import TargetConnection
from filbertstream.fleet.crash_detector import ProbeOutcome
from filbertstream.process.deployment import Address
from filbertstream.request.call_events import ResponseComplete, ResponseStarted, SendFailed
from tests.gateway_world import World, sends
from tests.test_slow_streams import Caller, IOLayer, proxied_call

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: s\r\n\r\n"
EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 5)]
BODY = b"".join(EVENTS)
BOUNDARIES = {len(b"".join(EVENTS[:count])) for count in range(len(EVENTS) + 1)}
FRAMED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: q0\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok"
)


class ProbingLayer(IOLayer):
    """An I/O layer at whose targets a probe has a given outcome."""

    def __init__(self, outcome: ProbeOutcome) -> None:
        super().__init__()
        self.outcome = outcome
        self.streams = True

    def emit(self, event: Any) -> None:
        self.events.append(event)
        if isinstance(event, ResponseStarted) and self.send is not None:
            self.send.relay(self.streams)

    def probe(self, address: Address, on_outcome: Callable[[ProbeOutcome], None]) -> None:
        on_outcome(self.outcome)


class BodyCaller(Caller):
    """A caller's connection that also takes complete responses."""

    def send_response(self, head: bytes, body: bytes) -> None:
        self.body += body


class Transport:
    """A transport that accepts everything."""

    def write(self, data: bytes) -> None:
        """Drop the request."""

    def abort(self) -> None:
        """Nothing is connected."""

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str) -> None:
        """There is no socket."""

    def resume_reading(self) -> None:
        """Nothing is read."""


class Sink:
    """Receives the first response on a connection that is kept."""

    def __init__(self) -> None:
        self.complete = False

    def on_head(self, *args: Any) -> None:
        """The first response has begun."""

    def on_body(self, data: bytes) -> bool:
        return True

    def on_complete(self) -> None:
        self.complete = True

    def on_connection_end(self) -> None:
        raise AssertionError("the first response has a length")

    def on_stalled(self) -> None:
        raise AssertionError("nothing stalls")

    def on_failed(self, cause: str) -> None:
        raise AssertionError(cause)


async def receive(
    layer: ProbingLayer, sent: bytes, cuts: list[int], ending: str, kept: bool
) -> Caller:
    """Return what a caller receives of a response that arrives in pieces."""
    caller = BodyCaller()
    (action,) = sends(World().arrive("draft"))
    conn = TargetConnection(action.address)
    transport: Any = Transport()
    conn.transport = transport
    if kept:
        first = Sink()
        conn.request("q0", b"", first, 0.0, lambda idle: None)
        conn.data_received(FRAMED)
        await asyncio.sleep(0)
        assert first.complete
        assert conn.usable
    layer.send = ProxiedSend(layer, proxied_call(caller, action), action)
    conn.request("q1", b"", layer.send, 0.0, lambda idle: None)
    places = [0, *sorted(cut for cut in cuts if cut < len(sent)), len(sent)]
    for start, end in itertools.pairwise(places):
        if start < end:
            conn.data_received(sent[start:end])
    if ending == "fin":
        conn.eof_received()
    conn.connection_lost(ConnectionResetError() if ending == "reset" else None)
    return caller


CUTS = st.lists(st.integers(1, len(HEAD) + len(BODY)), max_size=6)


@given(
    st.sampled_from(sorted(BOUNDARIES)) | st.integers(0, len(BODY)),
    CUTS,
    st.sampled_from(["fin", "reset"]),
    st.sampled_from([ProbeOutcome.ACCEPTED, ProbeOutcome.REFUSED]),
    st.booleans(),
)
def test_stream_that_was_broken_off_ends_as_complete(
    sent: int, cuts: list[int], ending: str, outcome: ProbeOutcome, kept: bool
) -> None:
    """A stream ends by FIN or reset, inside an event or between two, and its runner may be gone."""
    layer = ProbingLayer(outcome)
    caller = asyncio.run(receive(layer, HEAD + BODY[:sent], cuts, ending, kept))
    whole = ending == "fin" and sent in BOUNDARIES and sent > 0
    expected = whole and outcome is ProbeOutcome.ACCEPTED
    assert caller.ended is expected
    assert caller.body == BODY[: max(edge for edge in BOUNDARIES if edge <= sent)]
    last = layer.events[-1]
    assert isinstance(last, ResponseComplete if expected else SendFailed)
    ends = [item for item in layer.events if isinstance(item, ResponseComplete | SendFailed)]
    assert len(ends) == 1


@pytest.mark.parametrize("cut", range(1, len(HEAD) + len(BODY)))
def test_stream_that_is_split_at_a_byte_arrives_otherwise(cut: int) -> None:
    """A whole stream arrives in two pieces."""
    layer = ProbingLayer(ProbeOutcome.ACCEPTED)
    caller = asyncio.run(receive(layer, HEAD + BODY, [cut], "fin", False))
    assert (caller.body, caller.ended) == (BODY, True)


@given(st.integers(0, len(BODY)), st.integers(0, len(EVENTS)), CUTS)
def test_resumed_stream_has_a_gap_or_a_duplicate(
    sent: int, from_event: int, cuts: list[int]
) -> None:
    """A stream is broken off, and the next runner goes on at the last event or before it."""

    async def resume() -> Caller:
        layer = ProbingLayer(ProbeOutcome.REFUSED)
        caller = await receive(layer, HEAD + BODY[:sent], cuts, "fin", False)
        first = layer.send
        assert first is not None
        (action,) = sends(World().arrive("draft"))
        call = first._call
        second = ProxiedSend(layer, call, action._replace(number=2))
        layer.send, layer.outcome = None, ProbeOutcome.ACCEPTED
        conn = TargetConnection(action.address)
        transport: Any = Transport()
        conn.transport = transport
        conn.request("q1", b"", second, 0.0, lambda idle: None)
        conn.data_received(HEAD)
        second.resume()
        delivered = int(call.events.last_id or 0) if call.events is not None else 0
        conn.data_received(b"".join(EVENTS[min(from_event, delivered) :]))
        conn.eof_received()
        return caller

    caller = asyncio.run(resume())
    assert caller.body == BODY


def test_body_of_a_crashed_target_is_passed_on_as_whole() -> None:
    """A body without a length ends with its connection, since the target's process has ended."""
    for outcome in (ProbeOutcome.ACCEPTED, ProbeOutcome.REFUSED):
        layer = ProbingLayer(outcome)
        layer.streams = False
        asyncio.run(
            receive(
                layer,
                HEAD + b"half of",
                [],
                "fin",
                False,
            )
        )
        ended = isinstance(layer.events[-1], ResponseComplete)
        assert ended is (outcome is ProbeOutcome.ACCEPTED)
