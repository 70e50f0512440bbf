"""Odd values in the messages of callers, targets, cache stores and peers.

Failure guarded against: a value that one party sent raises in the core or while a message to peers
is encoded, which ends the entry and with it the calls of everybody else.
"""

import json
from typing import Any

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st
from result import Ok

from filbertstream.actions import Log, SendPeer
from filbertstream.epoch_number import EpochNumber
from filbertstream.gateway_events import EntryObserved, PeerMessage, Tick
from filbertstream.messages import EntryWork, WorkRow, encode
from filbertstream.platform.cache_calls import decode_events, decode_list
from filbertstream.platform.documents import decode_configuration, decode_named_weights
from filbertstream.platform.headers import decode_call, decode_response
from filbertstream.process.cache_stores import (
    CacheEventsFailed,
    CacheEventsReceived,
    ListCacheBlocks,
    PollCacheEvents,
)
from filbertstream.process.peer_work import EntryRecord
from filbertstream.request.call_events import CallArrived, ResponseStarted
from tests.gateway_world import World, sends

LARGE = st.builds(lambda sign, bits: sign * 2**bits, st.sampled_from([1, -1]), st.integers(0, 99))
NUMBERS = st.one_of(LARGE.map(str), st.floats().map(str), st.sampled_from(["", "-1", "1e999"]))
TEXTS = st.text(st.characters(max_codepoint=255, exclude_characters="\r\n"), max_size=8)
ODD = NUMBERS | TEXTS
COUNTS = st.lists(ODD, min_size=1, max_size=3).map(",".join)
BLOCKS = st.lists(st.tuples(TEXTS, NUMBERS).map(":".join), max_size=3).map(",".join)

HEADERS = {
    "host": st.just("h.example"),
    "request-id": TEXTS,
    "x-api-key": st.just("k"),
    "model": st.just("m"),
    "token-count": st.tuples(LARGE, LARGE).map("{0[0]},{0[1]}".format) | COUNTS,
    "prefix-hash": st.just("a:9,b:9") | BLOCKS,
    "deadline-ms": st.just("9000") | ODD,
    "last-event-id": st.just("") | ODD,
}


def play(world: World, events: list[Any]) -> None:
    """Step the core through events and encode what it sends to peers and writes to the log."""
    for event in events:
        for action in world.core.step(world.now_s, event):
            if isinstance(action, SendPeer):
                encode(action.payload)
            elif isinstance(action, Log):
                json.dumps(dict(action.fields))


def world_with_peer() -> World:
    world = World()
    record = EntryRecord("tcp://10.0.0.9:1", 1)
    world.step(EntryObserved("e2", record, EpochNumber(0, 1)))
    return world


def ticks(world: World) -> None:
    for _ in range(12):
        world.now_s += 0.1
        world.confirm()
        play(world, [Tick()])


def raw(fields: dict[str, str]) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode("latin-1")) for name, value in fields.items()]


PROPER = {
    "host": "h.example",
    "request-id": "q",
    "x-api-key": "k",
    "model": "m",
    "token-count": "9,9",
    "prefix-hash": "a:9",
    "deadline-ms": "9000",
    "last-event-id": "1",
}


@example("/draft/x", PROPER | {"token-count": "-99999999999999999999,1"})
@example("/read/x", PROPER | {"token-count": f"{2**64},1"})
@example("/draft/x", PROPER | {"prefix-hash": "a:99999999999999999999"})
@example("/read/x", PROPER | {"deadline-ms": "nan"})
@given(st.sampled_from(["/draft/x", "/read/x"]), st.fixed_dictionaries(HEADERS))
def test_odd_head_of_a_callers_request_ends_the_entry(path: str, fields: dict[str, str]) -> None:
    """A caller sends a token count that no message can hold, or other odd numbers."""
    world = world_with_peer()
    head = decode_call("POST", path, raw(fields), 0)
    if isinstance(head, Ok):
        play(world, [CallArrived(1, head.ok_value)])
        ticks(world)


RESPONSE_HEADERS = st.fixed_dictionaries(
    {},
    optional={
        "server-load": COUNTS,
        "server-limit": ODD,
        "weight-versions": ODD,
        "instance-id": TEXTS,
        "retry-after": ODD,
        "not-executed": ODD,
        "response-signature": ODD,
        "content-type": ODD,
    },
)


@given(st.sampled_from([200, 421, 429, 500, 503, 999]), RESPONSE_HEADERS)
def test_odd_head_of_a_response_ends_the_entry(status: int, fields: dict[str, str]) -> None:
    """A runner names a load, a version or a time that no message can hold."""
    world = world_with_peer()
    (send,) = sends(world.arrive("draft"))
    response = decode_response(status, raw(fields))
    play(world, [ResponseStarted(send.call_id, send.number, response)])
    ticks(world)


JSON_NUMBERS = LARGE | st.floats(allow_nan=False, allow_infinity=False) | st.none()
KEYS = st.sampled_from(["", "id", "\ud800", "x" * 300])
CACHE_EVENTS = st.fixed_dictionaries(
    {
        "boot_epoch": JSON_NUMBERS,
        "next": JSON_NUMBERS,
        "clock_ms": JSON_NUMBERS,
        "events": st.lists(
            st.tuples(JSON_NUMBERS, st.sampled_from("+-?"), KEYS, KEYS, JSON_NUMBERS, KEYS),
            max_size=3,
        ),
    }
)


SOUND_EVENTS = {"boot_epoch": 1, "next": 2, "clock_ms": 3, "events": []}


@example(SOUND_EVENTS | {"clock_ms": 1e300})
@example(SOUND_EVENTS | {"events": [[1, "+", "\ud800", "id", 1, "m"]]})
@example(SOUND_EVENTS | {"next": 2**64})
@given(CACHE_EVENTS)
def test_odd_numbers_of_a_cache_store_end_the_entry(fields: dict[str, Any]) -> None:
    """A cache store names an event, a clock or a size that no message can hold."""
    world = world_with_peer()
    poll = PollCacheEvents("keep", "10.9.0.1:80", 0, 0.0)
    body = json.dumps(fields).encode()
    event = decode_events(poll, 200, body, world.now_s, world.now_s)
    assert isinstance(event, CacheEventsReceived | CacheEventsFailed)
    play(world, [event])
    listing = {
        **fields,
        "held": [[ns, key, size, m] for _, _, ns, key, size, m in fields["events"]],
    }
    listed = decode_list(
        ListCacheBlocks("keep", "10.9.0.1:80"), 200, json.dumps(listing).encode(), world.now_s
    )
    if listed is not None:
        play(world, [listed])
    ticks(world)


@given(JSON_NUMBERS)
def test_odd_version_of_the_operator_is_taken(version: Any) -> None:
    """The version of weights or of a configuration is no number that a message can hold."""
    named = decode_named_weights(
        msgspec.Raw(json.dumps({"model": "m", "version": version}).encode())
    )
    config = {"version": version, "routes": [], "services": []}
    decoded = decode_configuration(msgspec.Raw(json.dumps(config).encode()))
    if isinstance(named, Ok):
        msgspec.msgpack.encode(named.ok_value[1])
    if isinstance(decoded, Ok):
        msgspec.msgpack.encode(decoded.ok_value.version)


def test_work_that_a_peer_reports_beyond_all_bounds_ends_the_entry() -> None:
    """A relay adds up numbers of a peer that no message can hold."""
    world = world_with_peer()
    row = WorkRow("r1", 2**62, 2**62, 2**62)
    for member in ("e2", "e3"):
        play(world, [PeerMessage(EntryWork(member, (row,)))])
    ticks(world)
