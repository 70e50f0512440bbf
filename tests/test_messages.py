"""Encoding of messages between entries.

Failures guarded against: large messages that fill slow links, and malformed or oversized ones that
exhaust memory or are read as something else.
"""

import zlib

import msgspec
import pytest

from filbertstream.messages import (
    COMPRESSION_THRESHOLD_BYTES,
    MESSAGE_LIMIT_BYTES,
    EntryWork,
    KindUpdate,
    ObjectRow,
    ViewResponse,
    WorkRow,
    decode,
    encode,
)
from filbertstream.platform.documents import DOCUMENTS_KIND
from tests.gateway_world import FOLLOWED

ROUTES = msgspec.json.encode(
    [{"name": f"route-{n}", "host": "h.example", "timeout_ms": 15_000} for n in range(400)]
)


def test_long_message_is_compressed_and_a_short_one_is_not() -> None:
    """A configuration of 400 routes is sent to followers."""
    short = EntryWork("e1", (WorkRow("r1", 1, 2, 3),))
    assert decode(encode(short)) == short
    update = ViewResponse(1, (KindUpdate("k", True, 0, 9, 0.5, (ObjectRow("main", 9, ROUTES),)),))
    data = encode(update)
    assert decode(data) == update
    assert len(ROUTES) > COMPRESSION_THRESHOLD_BYTES
    assert len(data) < len(ROUTES) / 5


@pytest.mark.parametrize(
    "data",
    [
        zlib.compress(b"\x00" * (MESSAGE_LIMIT_BYTES + 1)),
        encode(ViewResponse(1, (KindUpdate("k", True, 0, 9, 0.5, (ObjectRow("m", 9, ROUTES),)),)))[
            :-20
        ],
        b"x",
        b"xyz",
        zlib.compress(b"no message"),
    ],
    ids=["too large", "cut", "one byte", "no stream", "no message"],
)
def test_malformed_or_oversized_message_is_rejected(data: bytes) -> None:
    """A peer sends truncated data, other data, or data that expands beyond the limit."""
    with pytest.raises(msgspec.DecodeError):
        decode(data)


def test_configuration_is_not_pushed_to_all_followers_at_once() -> None:
    """Load pattern: an operator writes; a relay has thirty followers and a link of 10 Mbit/s."""
    pushed = {item.kind for item in FOLLOWED if item.pushed}
    assert DOCUMENTS_KIND not in pushed
    assert pushed
