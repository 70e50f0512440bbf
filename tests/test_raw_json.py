"""Splitting of documents that can't be decoded as a whole.

Failure guarded against: one object of another writer takes the process over its memory.
"""

import json
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Result

from filbertstream.platform.objects import Listing, ObjectStore, ObjectStoreFailure
from filbertstream.platform.raw_json import elements, fields
from tests.test_platform_objects import set_response, store

__all__ = ["store"]

VALUE_BYTES = 1_048_576
"""The largest object that the platform stores."""

MAX_COPIES = 12
"""Bound of the memory for a listing, in sizes of the object: what is left of the memory of a small
VM (150 MB) beside a process at rest holds several such objects at once."""

SIZE = VALUE_BYTES - 1_000
SURROGATE = b'"by":"\\ud800"'
ODD = {
    "long text": b'{"note":"' + b"a" * SIZE + b'",' + SURROGATE + b"}",
    "escapes": b'{"note":"' + b"\\n" * (SIZE // 2) + b'",' + SURROGATE + b"}",
    "escaped quotes": b'{"note":"' + b'\\"' * (SIZE // 2) + b'",' + SURROGATE + b"}",
    "small fields": b'{"a":1,' + b'"a":1,' * (SIZE // 6) + SURROGATE + b"}",
    "commas": b"[" + b"," * SIZE + b"]",
    "empty texts": b"[" + b'"",' * (SIZE // 3) + b"]",
    "arrays": b"[" + b"[]," * (SIZE // 3) + b"]",
    "arrays in arrays": b"[" + b"[[]]," * (SIZE // 5) + b"]",
    "deep": b"[" * (SIZE // 2) + b"]" * (SIZE // 2),
    "deep objects": b'{"a":' * (SIZE // 6) + b"1" + b"}" * (SIZE // 6),
    "no JSON": b"\xff" * SIZE,
}

UNENDED = {
    "text without an end": b'{"note":"' + b"a" * SIZE,
    "arrays without an end": b"[1" * (SIZE // 2),
}

META = b'{"metadata":{"name":"%s","revision":%d},"spec":%s}'


def listed(store: ObjectStore, content: bytes) -> Result[Listing, ObjectStoreFailure]:
    """Return the listing of a sound object and an odd one; its memory is bounded."""
    odd, sound = META % (b"odd", 4, content), META % (b"sound", 3, b'{"a":1}')
    set_response(200, b'{"items":[' + sound + b"," + odd + b'],"as_of":5}')
    tracemalloc.start()
    try:
        found = store.list("things")
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_COPIES * VALUE_BYTES
    return found


@pytest.mark.parametrize("content", [pytest.param(odd, id=name) for name, odd in ODD.items()])
def test_odd_object_takes_many_times_its_size_in_memory(store: ObjectStore, content: bytes) -> None:
    """All processes exceed their memory in the same moment, and again after each start."""
    found = listed(store, content).unwrap()
    assert [item.name for item in found.objects][:1] == ["sound"]


@pytest.mark.parametrize("content", [pytest.param(odd, id=name) for name, odd in UNENDED.items()])
def test_unended_document_takes_many_times_its_size_in_memory(
    store: ObjectStore, content: bytes
) -> None:
    """The same, where the whole listing can't be read."""
    assert listed(store, content) == Err(ObjectStoreFailure.MALFORMED)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=30,
)


@given(st.lists(JSON, max_size=6), st.sampled_from([(",", ":"), (" , ", " : ")]))
def test_element_is_split_or_joined_with_another(
    values: list[object], separators: tuple[str, str]
) -> None:
    encoded = [json.dumps(value, separators=separators).encode() for value in values]
    between, colon = (text.encode() for text in separators)
    assert elements(b"[" + between.join(encoded) + b"]") == encoded
    named = [b'"%d"' % number + colon + value for number, value in enumerate(encoded)]
    expected = {str(number): value for number, value in enumerate(encoded)}
    assert fields(b" {" + between.join(named) + b"} ") == expected


@given(st.lists(st.sampled_from([b"[", b"]", b"{", b"}", b",", b'"', b"\\", b":", b"1", b" "])))
def test_bytes_that_are_no_json_raise(pieces: list[bytes]) -> None:
    data = b"".join(pieces)
    assert sum(map(len, elements(b"[" + data + b"]"))) <= len(data)
    fields(b"{" + data + b"}")
