"""Whether bytes wait in the socket of a connection that is to be closed.

Load pattern handled: while the event loop is late, a request arrives at a connection whose idle
timeout has passed too.  A close would reset the connection and lose the request.
"""

import asyncio
import select


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, or the end of the connection, have arrived and were not read."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
