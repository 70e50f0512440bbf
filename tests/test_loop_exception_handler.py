"""Exceptions that reach the event loop.

One that nothing has caught is a fault of the program and ends the process; one of a connection
ends just that connection.
"""

import asyncio
import ssl

from filbertstream.connection.loop_exception_handler import LoopExceptionHandler
from filbertstream.process.counters import Counters
from standins.processes import LOOPBACK


class Failing(asyncio.Protocol):
    """Raises on the first bytes, as faulty code would."""

    def data_received(self, data: bytes) -> None:
        raise KeyError("no such form")


def test_exception_in_a_connection_callback_ends_the_process() -> None:
    """A callback raises. Continuing would leave its call without a response."""
    reasons: list[str] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(LoopExceptionHandler(Counters(), reasons.append))
        server = await loop.create_server(Failing, LOOPBACK, 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"GET / HTTP/1.1\r\n")
        assert await reader.read() == b""
        writer.close()
        server.close()

    asyncio.run(scenario())
    assert len(reasons) == 1
    assert "no such form" in reasons[0]


def test_failed_tls_handshake_is_counted_and_ends_nothing() -> None:
    """A client fails its TLS handshake, which must not end the process."""
    counters, reasons = Counters(), list[str]()
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(LoopExceptionHandler(counters, reasons.append))
    loop.call_exception_handler({"message": "SSL handshake failed", "exception": ssl.SSLError()})
    loop.close()
    assert reasons == []
    assert counters.snapshot() == {("connection_errors", "SSLError"): 1}
