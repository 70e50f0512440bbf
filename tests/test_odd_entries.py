"""Odd objects of other writers: one that can't be read costs that object alone.

Failure guarded against: the entry ends, or stops following a kind, because one object among others
is nested very deeply, has a number too large or a port out of range, lacks a field, names a host
that can't be looked up, or is no valid text.
"""

import json
import socket
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from filbertstream.connection.kind_rows import kind_observed, publish_kind
from filbertstream.connection.watched_kinds import watched_kinds
from filbertstream.gateway_events import TargetObserved, TargetsListed
from filbertstream.platform.cache_calls import decode_events, decode_list
from filbertstream.platform.documents import TARGETS_KIND, decode_configuration, decode_target
from filbertstream.platform.objects import ObjectStore
from filbertstream.process.cache_stores import CacheEventsFailed, ListCacheBlocks, PollCacheEvents
from filbertstream.process.store_view import ObjectStoreView
from tests.gateway_world import BOUNDS
from tests.test_platform_objects import set_response, store

__all__ = ["store"]

DEEP = b"[" * 100_000 + b"]" * 100_000
GOOD: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}


def spec(**changes: object) -> bytes:
    return json.dumps(GOOD | changes).encode()


def without(field: str) -> bytes:
    return json.dumps({name: value for name, value in GOOD.items() if name != field}).encode()


def with_raw(field: str, raw: bytes) -> bytes:
    return spec().replace(b"}", b',"' + field.encode() + b'":' + raw + b"}")


ODD = {
    "deep": DEEP,
    "deep field": with_raw("more", DEEP),
    "deep models": with_raw("models", DEEP),
    "deep object": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "number of 400 digits": with_raw("slots", b"9" * 400),
    "float of 400 digits": with_raw("cold_left_ms", b"9" * 400),
    "large exponent": with_raw("cold_left_ms", b"1e999"),
    "large start": with_raw("born", b"9" * 30),
    "NaN": with_raw("cold_left_ms", b"NaN"),
    "no slots": spec(slots=0),
    "wrong type": spec(service=7),
    "port -1": spec(address="10.0.0.1:-1"),
    "port 0": spec(address="10.0.0.1:0"),
    "port 70000": spec(address="10.0.0.1:70000"),
    "port of 400 digits": spec(address="10.0.0.1:" + "9" * 400),
    "other digits": spec(address="10.0.0.1:\u00b2"),
    "control characters": spec(address="10.0.0.1\r\nx:80"),
    "empty label in the host": spec(address="127.0.0..7:8080"),
    "label of 64 letters": spec(address=f"{'a' * 64}.example:80"),
    "host name": spec(address="runner.example:80"),
    "letters of no host": spec(address="\u00fc\u00df\u3002:80"),
    "large part of the address": spec(address="10.0.0.256:80"),
    "version of another type": spec(version=[1]),
    "seq of another type": spec(seq="4"),
    **{f"without {field}": without(field) for field in GOOD},
    "no text": spec(service="x").replace(b'"x"', b'"\xff\xfe"'),
    "surrogate": spec(service="x").replace(b'"x"', b'"\\ud800"'),
    "null": b"null",
    "list": b"[]",
}


def stored(name: str, content: bytes, revision: int) -> bytes:
    meta = b'{"name":"%s","revision":%d}' % (name.encode(), revision)
    return b'{"metadata":' + meta + b',"spec":' + content + b',"status":null}'


def targets_of(store: ObjectStore, listed: bool) -> set[str]:
    """Return the names of the targets that the watch of registrations emits."""
    (watched,) = [item for item in watched_kinds(BOUNDS) if item.kind == TARGETS_KIND]
    view = ObjectStoreView((watched.followed,))
    set_response(200, b'{"items":[],"as_of":5}')
    first = store.list(TARGETS_KIND).unwrap()
    if listed:
        found, since = first, None
    else:
        view.take(kind_observed(TARGETS_KIND, None, first), 1.0)
        since = first.as_of
    set_response(200, PAGE_OF[0])
    found = store.list(TARGETS_KIND) if listed else store.watch(TARGETS_KIND, first.as_of, 0.0)
    delta = view.take(kind_observed(TARGETS_KIND, since, found.unwrap()), 1.0)
    assert delta is not None
    events: list[object] = []
    publish_kind(watched, delta, events.append)
    names = {e.target_id for e in events if isinstance(e, TargetObserved) and e.registration}
    names |= {
        item.target_id for e in events if isinstance(e, TargetsListed) for item in e.registrations
    }
    msgspec.json.encode([row.content.decode("latin-1") for row in delta.rows if row.content])
    return names


PAGE_OF = [b""]

TEXTS = st.text(max_size=12) | st.sampled_from(["", "127.0.0..7:80", "a.:1", ":", "[::1]:80"])
ODD_VALUES = st.none() | st.booleans() | st.integers() | st.floats() | TEXTS | st.lists(TEXTS)
ODD_FIELDS = st.dictionaries(st.sampled_from(sorted(GOOD)), ODD_VALUES, max_size=3)


@given(ODD_FIELDS, st.sets(st.sampled_from(sorted(GOOD)), max_size=2))
def test_drawn_odd_registration_names_a_target_that_cannot_be_connected_to(
    changed: dict[str, Any], missing: set[str]
) -> None:
    """The name lookup of a registered address raises, which ends the entry at each start."""
    fields = {name: value for name, value in (GOOD | changed).items() if name not in missing}
    decoded = decode_target("odd", msgspec.Raw(json.dumps(fields).encode()))
    if isinstance(decoded, Ok):
        assert not missing
        host, port = decoded.ok_value.address
        assert socket.getaddrinfo(host, port, flags=socket.AI_NUMERICHOST)


def test_cache_store_with_an_odd_address_ends_the_entry_or_hides_the_configuration() -> None:
    """Each call to the cache store raises; its service stays known, without the store."""
    services = [
        {"name": "odd", "store_addr": "127.0.0..7:80", "kv_capacity": 9},
        {"name": "sound", "store_addr": "127.0.0.7:80", "kv_capacity": 9},
    ]
    config = {"version": 1, "routes": [], "services": services}
    decoded = decode_configuration(msgspec.Raw(json.dumps(config).encode())).unwrap()
    assert decoded.services["odd"].store is None
    assert decoded.services["sound"].store is not None


@pytest.mark.parametrize("name", ODD)
@pytest.mark.parametrize("listed", [True, False], ids=["list", "watch"])
def test_one_odd_registration_ends_the_entry_or_its_watch(
    store: ObjectStore, name: str, listed: bool
) -> None:
    """The odd one comes first, in the middle of and after sound ones."""
    good = [stored(f"g{number}", spec(), 6 + number) for number in range(3)]
    for at in range(4):
        items = [*good[:at], stored("odd", ODD[name], 9), *good[at:]]
        if listed:
            PAGE_OF[0] = b'{"items":[' + b",".join(items) + b'],"has_more":false,"as_of":9}'
        else:
            events = [b'{"object":' + item + b',"removed":false}' for item in items]
            PAGE_OF[0] = b'{"as_of":9,"events":[' + b",".join(events) + b"]}"
        sound = {"g0", "g1", "g2"}
        assert targets_of(store, listed) - {"odd"} == sound
        assert "odd" not in targets_of(store, listed)


@pytest.mark.parametrize("name", ODD)
def test_odd_object_that_is_read_or_written_ends_the_worker(store: ObjectStore, name: str) -> None:
    """The object store returns an odd object to a read and to a write."""
    set_response(200, stored("odd", ODD[name], 9))
    assert isinstance(store.read("k", "odd"), Ok)
    set_response(409, stored("odd", ODD[name], 9))
    assert not store.create("k", "odd", {}).unwrap().done


@pytest.mark.parametrize("name", ODD)
def test_odd_events_of_a_cache_store_end_the_entry(name: str) -> None:
    """A cache store sends odd events and listings."""
    raw = ODD[name]
    events = b'{"boot_epoch":1,"next":2,"events":[' + raw + b'],"held":[' + raw + b"]}"
    for body in (raw, events):
        poll = PollCacheEvents("st", "10.0.0.1:80", 0, 0.0)
        assert isinstance(decode_events(poll, 200, body, 1.0, 1.0), CacheEventsFailed)
        assert decode_list(ListCacheBlocks("st", "10.0.0.1:80"), 200, body, 1.0) is None
