"""What the event loop has not reported yet of a connection: bytes that wait, or its end.

Load patterns handled: while the event loop is late, a request arrives at a connection whose idle
timeout has passed too, and a close would reset the connection and lose the request.  Or a caller
gives up meanwhile, so that its request and the end of its connection are there together.
"""

import asyncio
import select


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, or the end of the connection, have arrived and were not read."""
    return _polls(transport, select.POLLIN)


def has_ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has closed or reset the connection, or its half of it.

    The end is seen past bytes that were not read.
    """
    return _polls(transport, select.POLLRDHUP)


def _polls(transport: asyncio.BaseTransport, events: int) -> bool:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock, events)
    return bool(poll.poll(0))
