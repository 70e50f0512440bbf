"""The records of idempotency keys that may be lost when the object store is restored.

An entry keeps the records that it wrote recently, and tells its peers of them with its messages
about work.  After a restore it writes them again before any entry claims a key
(``process.store_recovery``).  The records of an entry that does not confirm, because it is dead or
cut off, are written by the peers that rank first for them.

A stored response that is too large for a message is told as one that was not kept, so that the call
does not run again even if its response is lost.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

import msgspec

from filbertstream.actions import Log
from filbertstream.fleet.facts import fact
from filbertstream.fleet.scope import Scope
from filbertstream.log_events import LogEvent
from filbertstream.names import rank
from filbertstream.process.store_recovery import StoreRecovery
from filbertstream.request.idempotency_keys import KeyRecord, KeyState

KEPT_S: Final = 30.0
"""Time for which a record is kept; copies of the object store are younger."""

MAX_RECORDS: Final = 4_096
"""Records that an entry keeps, its own and those of its peers, the last ones."""

MAX_KEPT_BODY_BYTES: Final = 4_000_000
"""Bound of the stored responses among the records; older ones are kept without their body."""

ROW_AGE_S: Final = 2.5
"""Age up to which a record is sent to peers: a little more than the interval of repetition."""

MAX_ROWS: Final = 32
"""Records in a message, the last ones; 40 KB at most."""

ROW_BODY_BYTES: Final = 1_024

REWRITES_PER_S: Final = 200.0
"""Rate at which all entries together write records again, half of the object store's."""

REWRITE_TIMEOUT_S: Final = 5.0
"""Time after which a write whose result was lost is repeated."""

BACKUP_WAIT_S: Final = 2.5
"""Time after a restore for which peers wait before they write the records of another entry."""

BACKUP_WRITERS: Final = 2


@fact("keys")
class KeyRow(NamedTuple):
    """A record as sent to peers."""

    name: str
    record: KeyRecord
    age_s: float


class RewriteKey(NamedTuple):
    """Write a record again unless the object store has it or a later one of the same call."""

    name: str
    record: KeyRecord


class KeyRewritten(NamedTuple):
    """The result of a ``RewriteKey``: whether the object store has the record now.

    ``lacked`` states whether it lacked it before.
    """

    name: str
    done: bool
    lacked: bool


class _Entry(NamedTuple):
    record: KeyRecord
    at_s: float
    scope: Scope


class KeyJournal:
    """The recent records of the entry ``name`` and of its peers."""

    def __init__(self, name: str, recovery: StoreRecovery, members: Callable[[], int]) -> None:
        self.changes = 0
        self._name = name
        self._recovery = recovery
        self._members = members
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._body_bytes = 0
        self._pending: OrderedDict[str, float] = OrderedDict()
        self._backups: list[str] = []
        self._next_write_s = 0.0

    def note(self, name: str, record: KeyRecord, now_s: float) -> None:
        """Keep a record that this entry writes; peers are told of it."""
        known = self._entries.get(name)
        if known is None or _is_later(record, known.record):
            self._keep(name, _Entry(record, now_s, Scope.LOCAL))
            self.changes += 1

    def _keep(self, name: str, entry: _Entry) -> None:
        before = self._entries.pop(name, None)
        self._body_bytes += len(entry.record.body)
        self._body_bytes -= 0 if before is None else len(before.record.body)
        self._entries[name] = entry
        while len(self._entries) > MAX_RECORDS:
            _, dropped = self._entries.popitem(last=False)
            self._body_bytes -= len(dropped.record.body)
        if self._body_bytes > MAX_KEPT_BODY_BYTES:
            self._drop_bodies()

    def _drop_bodies(self) -> None:
        for name, entry in self._entries.items():
            if self._body_bytes <= MAX_KEPT_BODY_BYTES:
                return
            self._body_bytes -= len(entry.record.body)
            self._entries[name] = entry._replace(record=_without_body(entry.record))

    def rows(self, scope: Scope, now_s: float) -> Sequence[KeyRow]:
        """Return the records that peers may not know yet."""
        rows: list[KeyRow] = []
        for name, entry in reversed(self._entries.items()):
            age_s = now_s - entry.at_s
            if age_s > ROW_AGE_S or len(rows) == MAX_ROWS:
                break
            if entry.scope <= scope:
                record = entry.record
                record = record if len(record.body) <= ROW_BODY_BYTES else _without_body(record)
                rows.append(KeyRow(name, record, round(age_s, 3)))
        return rows

    def take(self, rows: Sequence[KeyRow], scope: Scope, now_s: float) -> list[Log]:
        """Keep the records of peers, unless a later record of the same call is known."""
        for row in reversed(rows):
            known = self._entries.get(row.name)
            if known is not None and known.record.entry == self._name:
                continue
            if known is not None and not _is_later(row.record, known.record):
                continue
            self._keep(row.name, _Entry(row.record, now_s - row.age_s, scope))
        return []

    def expire(self, now_s: float) -> None:
        """Drop records that every copy of the object store has."""
        if self._recovery.complete_epoch is None:
            return
        while self._entries:
            name, entry = next(iter(self._entries.items()))
            if now_s - entry.at_s <= KEPT_S:
                return
            self._body_bytes -= len(entry.record.body)
            del self._entries[name]

    @property
    def recovered(self) -> bool:
        """Whether all own records are written again."""
        return not self._pending

    def on_restored(self, epoch: int, now_s: float) -> None:
        """Write all own records again, the last ones first."""
        known = [
            (name, entry)
            for name, entry in reversed(self._entries.items())
            if now_s - entry.at_s <= KEPT_S
        ]
        own = [name for name, entry in known if entry.record.entry == self._name]
        self._pending = OrderedDict.fromkeys(own, 0.0)
        self._backups = [name for name, entry in known if entry.record.entry != self._name]

    def due(self, now_s: float) -> list[RewriteKey]:
        """Return the writes that are due; those of peers once they have had time for them."""
        if self._backups and self._recovery.restored_for_s(now_s) >= BACKUP_WAIT_S:
            self._pending |= OrderedDict.fromkeys(
                (name for name in self._backups if self._writes_for_peer(name)), 0.0
            )
            self._backups = []
        writes: list[RewriteKey] = []
        interval_s = max(1, self._members()) / REWRITES_PER_S
        self._next_write_s = max(self._next_write_s, now_s - 1.0)
        for name, retry_at_s in list(self._pending.items()):
            if self._next_write_s > now_s:
                break
            if retry_at_s > now_s:
                continue
            entry = self._entries.get(name)
            if entry is None:
                del self._pending[name]
                continue
            self._pending[name] = now_s + REWRITE_TIMEOUT_S
            self._next_write_s += interval_s
            writes.append(RewriteKey(name, entry.record))
        return writes

    def _writes_for_peer(self, name: str) -> bool:
        """Whether this entry is among the first in rank for a record whose writer is silent."""
        entry = self._entries.get(name)
        if entry is None or not self._recovery.is_unconfirmed(entry.record.entry):
            return False
        local = rank(self._name, name)
        confirmed = self._recovery.confirmed_names()
        return sum(rank(peer, name) > local for peer in confirmed) < BACKUP_WRITERS

    def on_rewritten(self, event: KeyRewritten, now_s: float) -> list[Log]:
        """Note the result of a write."""
        if event.name not in self._pending:
            return []
        if not event.done:
            self._pending[event.name] = now_s
            return []
        del self._pending[event.name]
        if not event.lacked:
            return []
        return [Log(LogEvent.RECORD_REWRITTEN, (("kind", "keys"), ("name", event.name)))]


def _is_later(record: KeyRecord, known: KeyRecord) -> bool:
    """Whether a record may replace a known one of the same key.

    An outcome is not replaced by its own claim, nor a call that may have run by one that has not.
    """
    if record.call != known.call:
        return record.state is not KeyState.FREE or known.state is KeyState.FREE
    return known.state is KeyState.RUNNING and record != known


def _without_body(record: KeyRecord) -> KeyRecord:
    state = KeyState.TOO_LARGE if record.state is KeyState.STORED else record.state
    return msgspec.structs.replace(record, state=state, body=b"")
