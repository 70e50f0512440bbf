"""Odd objects of other writers: one that can't be read costs that object alone.

Failure guarded against: the entry ends, or stops following a kind, because one object among others
is nested very deeply, has a number too large or a port out of range, or is no valid text.
"""

import json

import msgspec
import pytest
from result import Ok

from filbertstream.connection.kind_rows import kind_observed, publish_kind
from filbertstream.connection.watched_kinds import watched_kinds
from filbertstream.gateway_events import TargetObserved, TargetsListed
from filbertstream.platform.cache_calls import decode_events, decode_list
from filbertstream.platform.documents import TARGETS_KIND
from filbertstream.platform.objects import ObjectStore
from filbertstream.process.cache_stores import CacheEventsFailed, ListCacheBlocks, PollCacheEvents
from filbertstream.process.store_view import ObjectStoreView
from tests.gateway_world import BOUNDS
from tests.test_platform_objects import set_response, store

__all__ = ["store"]

DEEP = b"[" * 100_000 + b"]" * 100_000
GOOD = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready"}


def spec(**changes: object) -> bytes:
    return json.dumps(GOOD | changes).encode()


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
