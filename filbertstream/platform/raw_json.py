"""Decodes JSON of other programs, which may be nested without bounds or be no JSON in places.

msgspec rejects a whole document for one value that it can't read.  ``elements`` and ``fields``
split arrays and objects without recursion and without looking into their values, so that each value
is decoded alone.

>>> elements(b'[1, [2, {"a": "]"}], NaN]')
[b'1', b'[2, {"a": "]"}]', b'NaN']
>>> fields(b'{"a": [1], "b": {"c": 2}}')
{'a': b'[1]', 'b': b'{"c": 2}'}
"""

import re
from typing import Annotated, Any, Final, TypeVar

import msgspec

UNREADABLE: Final = (msgspec.DecodeError, RecursionError, UnicodeError)
"""What decoding may raise; deeply nested values exhaust the decoder's stack."""

_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)

Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""A number that every codec of messages can hold, sums over a fleet included."""

T = TypeVar("T")


def decode_or_none(data: bytes, kind: type[T]) -> T | None:
    """Return the decoded value, None if it can't be read."""
    try:
        return msgspec.json.decode(data, type=kind)
    except UNREADABLE:
        return None


def is_text(text: str) -> bool:
    """Whether a text can be encoded; JSON escapes may contain lone surrogates."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _split(data: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Return what lies between the commas of the outermost array or object."""
    data = data.strip()
    if not data.startswith(opening) or not data.endswith(closing):
        return []
    parts: list[bytes] = []
    depth, start = 0, 1
    for match in _TOKEN.finditer(data):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
        elif token in (b"]", b"}"):
            depth -= 1
        if (token == b"," and depth == 1) or depth == 0:
            parts.append(data[start : match.start()].strip())
            start = match.end()
        if depth == 0:
            break
    return [part for part in parts if part]


def elements(data: bytes) -> list[bytes]:
    """Return the undecoded elements of an array, none if it is no array."""
    return _split(data, b"[", b"]")


def fields(data: bytes) -> dict[str, bytes]:
    """Return the undecoded fields of an object, none if it is no object."""
    found: dict[str, bytes] = {}
    for part in _split(data, b"{", b"}"):
        match = _TOKEN.match(part)
        name: Any = None if match is None else decode_or_none(match[0], str)
        if match is not None and isinstance(name, str):
            found[name] = part[match.end() :].lstrip().removeprefix(b":").lstrip()
    return found
