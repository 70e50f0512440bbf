"""Calls about cached blocks: cache events of runners and cache stores, listings, and freeing."""

from typing import Annotated, Any, Final

import msgspec

from filbertstream.platform.raw_json import UNREADABLE, Number, is_text
from filbertstream.process.cache_stores import (
    CacheBlocksListed,
    CacheChange,
    CacheEventsFailed,
    CacheEventsReceived,
    FreeBlocks,
    ListCacheBlocks,
    PollCacheEvents,
)
from filbertstream.statuses import OK

MS: Final = 1000.0


class _Events(msgspec.Struct):
    # Changes when the holder restarts; unrelated to versions of the configuration or weights.
    boot_epoch: Number
    next: Number
    events: list[tuple[int, str, str, str, Number, Any]]
    lost: bool = False
    clock_ms: Annotated[float, msgspec.Meta(ge=0, le=2**53)] | None = None


def encode_follow(poll: PollCacheEvents) -> bytes:
    """Return the request for a holder's cache events."""
    return (
        f"GET /kv-events?since={poll.since} HTTP/1.1\r\n"
        f"Host: {poll.address}\r\nWait-Ms: {int(poll.wait_s * MS)}\r\n\r\n"
    ).encode()


def decode_events(
    poll: PollCacheEvents, status: int, body: bytes, sent_at_s: float, received_at_s: float
) -> CacheEventsReceived | CacheEventsFailed:
    """Decode the response to a request for cache events."""
    if status != OK:
        return CacheEventsFailed(poll.holder)
    try:
        wire = msgspec.json.decode(body, type=_Events)
    except UNREADABLE:
        return CacheEventsFailed(poll.holder)
    if not all(is_text(namespace) and is_text(block) for _, _, namespace, block, *_ in wire.events):
        return CacheEventsFailed(poll.holder)
    changes = tuple(
        CacheChange(sign == "+", (namespace, block_id), tokens)
        for _, sign, namespace, block_id, tokens, _ in wire.events
    )
    clock_ms = None if wire.clock_ms is None else int(wire.clock_ms)
    return CacheEventsReceived(
        poll.holder, sent_at_s, received_at_s, wire.boot_epoch, wire.next, clock_ms, changes
    )


class _Listing(msgspec.Struct):
    boot_epoch: Number
    next: Number
    held: list[tuple[str, str, Number, Any]]
    # Blocks with an unfinished or aborted write, with the number of reserved tokens.
    partial: list[tuple[str, str, int, Number]] = []


def encode_list(request: ListCacheBlocks) -> bytes:
    """Return the request for a listing of a holder's blocks."""
    return f"GET /kv-list HTTP/1.1\r\nHost: {request.address}\r\n\r\n".encode()


def decode_list(
    request: ListCacheBlocks, status: int, body: bytes, sent_at_s: float
) -> CacheBlocksListed | None:
    """Decode a listing of a holder's blocks; return None for an error or a malformed response."""
    if status != OK:
        return None
    try:
        wire = msgspec.json.decode(body, type=_Listing)
    except UNREADABLE:
        return None
    if not all(is_text(namespace) and is_text(block) for namespace, block, *_ in wire.held):
        return None
    held = tuple(((namespace, block_id), tokens) for namespace, block_id, tokens, _ in wire.held)
    partial = sum(reserved for _, _, _, reserved in wire.partial)
    return CacheBlocksListed(request.holder, sent_at_s, wire.boot_epoch, wire.next, held, partial)


def encode_free(free: FreeBlocks) -> bytes:
    """Return the request that frees blocks."""
    body = msgspec.json.encode(
        {"parts": free.keys, "boot_epoch": free.start_id, "until_ms": free.until_ms}
    )
    return (
        f"POST /kv-free HTTP/1.1\r\nHost: {free.address}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body
