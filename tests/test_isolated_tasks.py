"""Exceptions while an entry talks to one other party.

Failure guarded against: the call, probe or message of one party raises where nothing expects it and
ends the entry; or the core itself raises, and the entry goes on with a state that may be corrupt.
"""

import asyncio

import pytest

from filbertstream.actions import Log, SendPeer
from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.connection.peer_link import PeerLink
from filbertstream.connection.request_parser import RawRequest
from filbertstream.log_events import LogEvent
from filbertstream.messages import EntryWork
from filbertstream.process.counters import Counters
from filbertstream.process.deployment import Address
from standins.processes import LOOPBACK, free_port
from tests.gateway_world import World
from tests.test_odd_messages import raw
from tests.test_peer_link import Host


class RecordingTransport(asyncio.Transport):
    """Keeps what is written."""

    written = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def close(self) -> None:
        """Do nothing."""

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0


class _FailingPool:
    """Raises when a connection is opened, as a lookup of an odd host name does."""

    def take(self, address: Address, max_idle_s: float, now_s: float, request_id: str) -> None:
        return None

    async def open(self, address: Address) -> None:
        raise UnicodeError("label empty or too long")


def test_exception_while_a_target_is_called_ends_the_entry() -> None:
    """One target's data raises where nothing expects it; calls to others must go on."""
    world = World()
    logs: list[Log] = []
    reasons: list[str] = []

    async def scenario() -> None:
        gateway_io = GatewayIO(world.core, logs.append, reasons.append)
        gateway_io.pool = _FailingPool()  # type: ignore[assignment]
        conn = gateway_io.new_connection()
        conn.transport = transport
        fields = {"host": "h.example", "request-id": "q", "x-api-key": "k", "deadline-ms": "300"}
        gateway_io.on_request(conn, RawRequest("POST", "/open/x", raw(fields), b""))
        for _ in range(10):
            await asyncio.sleep(0)

    transport = RecordingTransport()
    asyncio.run(scenario())
    assert reasons == []
    assert LogEvent.TASK_FAILED in {log.number for log in logs}
    assert transport.written.startswith(b"HTTP/1.1 503")


def test_exception_of_the_core_does_not_end_the_entry() -> None:
    """The core raises while a response is handled, which a connection's parser would swallow."""
    reasons: list[str] = []
    gateway_io = GatewayIO(World().core, lambda log: None, reasons.append)
    with pytest.raises(KeyError):
        gateway_io.emit(object())
    assert len(reasons) == 1


def test_odd_address_of_a_peer_ends_the_entry() -> None:
    """Another writer registers an entry with an address that is none."""
    counters = Counters()
    host = Host()
    link = PeerLink(f"tcp://{LOOPBACK}:{free_port()}", None, counters, host)
    link.start()
    host.send(SendPeer("nowhere", EntryWork("e1", ())))
    link.close()
    assert counters.get("peer_messages", "unsent") == 1
