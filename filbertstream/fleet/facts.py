"""Facts that entries learn alone and tell one another, with their messages about work.

A kind of fact is a row type, registered under a name, and the component of each entry that holds
the facts of that kind.  The component returns rows to send and takes the rows of peers; it bounds
their number and size.  Rows may arrive late, more than once and in any order, so taking them must
be idempotent.  Kinds that an older build does not know are ignored by it.

A row is sent when the component's facts have changed, and again after a while, for peers that have
started or were cut off.  In a large fleet it goes through relays, as work does.

>>> @fact("example")
... class ExampleRow(NamedTuple):
...     name: str
>>> decode_rows("example", encode_rows([ExampleRow("a")]))
[ExampleRow(name='a')]
>>> decode_rows("of a newer build", encode_rows([ExampleRow("a")]))
[]
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple, Protocol, TypeVar

import msgspec

from filbertstream.actions import Log
from filbertstream.fleet.scope import Scope
from filbertstream.process.counters import Counters

REPEAT_INTERVAL_S: Final = 2.0
"""Interval at which facts are sent again while they do not change."""

ROW_TYPES: Final[dict[str, type]] = {}
"""The registered row types by the name of their kind."""

_ENCODER = msgspec.msgpack.Encoder()

RowT = TypeVar("RowT")

Facts = dict[str, msgspec.Raw]
"""Encoded rows by the name of their kind."""


def fact(name: str) -> Callable[[type[RowT]], type[RowT]]:
    """Register the row type of a kind of fact."""

    def register(row_type: type[RowT]) -> type[RowT]:
        ROW_TYPES[name] = row_type
        return row_type

    return register


class FactHolder(Protocol):
    """The component of an entry that holds the facts of one kind.

    ``changes`` increases with each change that peers should learn of at once.
    """

    @property
    def changes(self) -> int:
        """The number of changes so far."""

    def rows(self, scope: Scope, now_s: float) -> Sequence[Any]:
        """Return the rows that are known within a scope."""

    def take(self, rows: Sequence[Any], scope: Scope, now_s: float) -> list[Log]:
        """Take the rows of a peer, which are known there within a scope."""


class _Sent(NamedTuple):
    changes: int
    at_s: float


def encode_rows(rows: Sequence[Any]) -> msgspec.Raw:
    """Return the encoded form of rows."""
    return msgspec.Raw(_ENCODER.encode(rows))


def decode_rows(name: str, data: msgspec.Raw) -> list[Any]:
    """Return the rows of a kind, none if the kind is unknown here.

    Raises ``msgspec.DecodeError`` for malformed rows.
    """
    row_type = ROW_TYPES.get(name)
    if row_type is None:
        return []
    rows: list[Any] = msgspec.msgpack.decode(data, type=list[row_type])  # type: ignore[valid-type]
    return rows


class FactExchange:
    """Collects the facts of an entry for its messages, and hands on those of peers."""

    def __init__(self, holders: Mapping[str, FactHolder], counters: Counters) -> None:
        self._holders = dict(holders)
        self._counters = counters
        self._sent: dict[str, _Sent] = {}

    def add(self, name: str, holder: FactHolder) -> None:
        """Add the component that holds the facts of a kind."""
        self._holders[name] = holder

    def due(self, scope: Scope, now_s: float) -> Facts:
        """Return the facts that are to be sent now: those that changed, the others at intervals."""
        facts: Facts = {}
        for name, holder in self._holders.items():
            sent = self._sent.get(name)
            unchanged = sent is not None and sent.changes == holder.changes
            if unchanged and sent is not None and now_s - sent.at_s < REPEAT_INTERVAL_S:
                continue
            self._sent[name] = _Sent(holder.changes, now_s)
            rows = holder.rows(scope, now_s)
            if rows:
                facts[name] = encode_rows(rows)
        return facts

    def of_kinds(self, facts: Facts, scope: Scope, now_s: float) -> Facts:
        """Return the facts of the same kinds as some that are due, as known within a scope."""
        rows = {name: self._holders[name].rows(scope, now_s) for name in facts}
        return {name: encode_rows(items) for name, items in rows.items() if items}

    def take(self, facts: Facts, scope: Scope, now_s: float) -> list[Log]:
        """Take the facts of a peer's message."""
        logs: list[Log] = []
        for name, data in facts.items():
            holder = self._holders.get(name)
            if holder is None:
                continue
            try:
                rows = decode_rows(name, data)
            except msgspec.DecodeError:
                self._counters.add("peer_facts_malformed", name)
                continue
            logs += holder.take(rows, scope, now_s)
        return logs
