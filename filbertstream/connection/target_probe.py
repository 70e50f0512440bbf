"""Probes whether anybody listens at a target's address, without a request."""

import asyncio
from typing import Final

from filbertstream.connection.target_connection import CONNECT_TIMEOUT_S
from filbertstream.fleet.crash_detector import ProbeOutcome
from filbertstream.process.deployment import Address

CLOSE_WAIT_S: Final = 0.1
"""Time within which a proxy without a target behind it closes an accepted connection."""


async def probe(address: Address) -> ProbeOutcome:
    """Open a connection and close it again; return whether a target listens.

    A connection that is accepted and closed at once is that of a proxy whose target is gone.  A
    reset says nothing: a target resets connections beyond its limit.
    """
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(address.host, address.port), CONNECT_TIMEOUT_S
        )
    except ConnectionRefusedError:
        return ProbeOutcome.REFUSED
    except OSError:
        # Includes the timeout.
        return ProbeOutcome.NO_RESPONSE
    try:
        closed = await asyncio.wait_for(reader.read(1), CLOSE_WAIT_S) == b""
        return ProbeOutcome.REFUSED if closed else ProbeOutcome.ACCEPTED
    except TimeoutError:
        return ProbeOutcome.ACCEPTED
    except OSError:
        return ProbeOutcome.NO_RESPONSE
    finally:
        writer.transport.abort()
