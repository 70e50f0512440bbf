"""Messages between entries on the wire."""

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


def test_a_short_message_travels_as_it_is_and_a_long_one_compressed() -> None:
    short = EntryWork("e1", (WorkRow("r1", 1, 2, 3),))
    assert decode(encode(short)) == short
    told = ViewResponse(1, (KindUpdate("k", True, 0, 9, 0.5, (ObjectRow("main", 9, ROUTES),)),))
    data = encode(told)
    assert decode(data) == told
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
def test_what_is_no_message_is_not_read(data: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode(data)


def test_a_configuration_is_not_sent_to_all_followers_at_once() -> None:
    """Load pattern: an operator writes; a relay has thirty followers and a link of 10 Mbit/s."""
    pushed = {item.kind for item in FOLLOWED if item.pushed}
    assert DOCUMENTS_KIND not in pushed
    assert pushed
