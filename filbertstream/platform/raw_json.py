"""Decodes JSON of other programs, which may be nested without bounds or be no JSON in places.

msgspec rejects a whole document for one value that it can't read.  ``elements`` and ``fields``
split arrays and objects without recursion and without looking into their values, so that each value
is decoded alone.  Memory and steps are linear in the size of a document, whatever its bytes are.

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

_TEXT: Final = rb'"(?:[^"\\]++|\\.)*+"'
"""A text.  The quantifiers are possessive: a matcher that may backtrack keeps a state of about a
hundred bytes for each letter."""

NESTED_IN_PATTERN: Final = 2
"""Levels of arrays and objects that are matched by a pattern; deeper ones are counted."""


def _values(separators: bytes, levels: int) -> bytes:
    """Return a pattern of values that ends at a separator or an unmatched bracket."""
    parts = [rb'[^"\[\]{}' + separators + rb"]++", _TEXT]
    if levels:
        inner = _values(b"", levels - 1)
        parts += [rb"\[" + inner + rb"\]", rb"\{" + inner + rb"\}"]
    return b"(?:" + b"|".join(parts) + b")*+"


_TEXTS: Final = re.compile(_TEXT, re.DOTALL)
_VALUES: Final = re.compile(_values(b"", NESTED_IN_PATTERN), re.DOTALL)
_VALUES_OF_ELEMENT: Final = re.compile(_values(b",", NESTED_IN_PATTERN), re.DOTALL)
_OPENED: Final = re.compile(rb"(?:[\[{]" + _values(b"", 0) + b"){1,256}+", re.DOTALL)
"""Arrays and objects that are opened, each with the values before the next bracket."""

_CLOSED: Final = re.compile(rb"[\]}]+")

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
    """Return what lies between the commas of the outermost array or object.

    The end of what is left open or has no closing quote is omitted.
    """
    data = data.strip()
    if not data.startswith(opening) or not data.endswith(closing):
        return []
    parts: list[bytes] = []
    depth, start, pos = 1, 1, 1
    while True:
        values = _VALUES_OF_ELEMENT if depth == 1 else _VALUES
        pos = _end(values, data, pos)
        if data[pos : pos + 1] == b",":
            parts.append(data[start:pos].strip())
            start = pos = pos + 1
            continue
        end = _end(_OPENED, data, pos)
        if end > pos:
            brackets = _TEXTS.sub(b"", data[pos:end])
            depth += brackets.count(b"[") + brackets.count(b"{")
            pos = end
            continue
        end = _end(_CLOSED, data, pos)
        if end == pos:
            break
        if end - pos >= depth:
            parts.append(data[start : pos + depth - 1].strip())
            break
        depth -= end - pos
        pos = end
    return [part for part in parts if part]


def _end(pattern: re.Pattern[bytes], data: bytes, pos: int) -> int:
    """Return where a match that begins at a position ends, the position if there is none."""
    match = pattern.match(data, pos)
    return pos if match is None else match.end()


def elements(data: bytes) -> list[bytes]:
    """Return the undecoded elements of an array, none if it is no array."""
    return _split(data, b"[", b"]")


def fields(data: bytes) -> dict[str, bytes]:
    """Return the undecoded fields of an object, none if it is no object."""
    found: dict[str, bytes] = {}
    for part in _split(data, b"{", b"}"):
        match = _TEXTS.match(part)
        name: Any = None if match is None else decode_or_none(match[0], str)
        if match is not None and isinstance(name, str):
            found[name] = part[match.end() :].lstrip().removeprefix(b":").lstrip()
    return found
