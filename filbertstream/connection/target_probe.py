"""Probes of targets: whether anybody listens at an address, and what load a target reports."""

import asyncio
from typing import Final

from filbertstream.connection.target_call import call_target
from filbertstream.connection.target_pool import CONNECT_TIMEOUT_S, TargetConnectionPool
from filbertstream.fleet.crash_detector import ProbeOutcome
from filbertstream.platform.load_probes import encode_load_probe
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address
from filbertstream.request.call import ResponseHead
from filbertstream.request.call_events import LoadProbed, ProbeLoad

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


async def ask_load(pool: TargetConnectionPool, action: ProbeLoad) -> LoadProbed:
    """Ask a target for its load."""
    sent_at_s = boot_time_s()
    heads: list[ResponseHead] = []
    response = await call_target(
        pool,
        action.address,
        encode_load_probe(action),
        action.timeout_s,
        sent_at_s,
        on_head=heads.append,
    )
    head = heads[0] if response is not None and heads else None
    return LoadProbed(action.call_id, action.start, sent_at_s, head)
