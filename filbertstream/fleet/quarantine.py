"""The quarantined blocks: prompts with one of them are refused, since they crash runners.

A block is quarantined by the first entry whose evidence suffices (``fleet.crash_evidence``), or by
an operator.  Peers learn of it with the messages about work, and from the object store, in which it
outlives the entries.  Of several records of a block the one with the highest generation counts, so
an operator's release is not undone by messages sent before it.  A record expires when no prompt
with its block has been refused for ``KEPT_S``.

A contested record names several blocks of which one crashes runners.  Prompts with all of them are
refused, others are tried (``fleet.crash_trials``) until it is known which one it is.

Failures handled: the object store is not reachable when a block is quarantined (any entry that
knows the record writes it later), entries that start, and all of them killed at once.
"""

import hashlib
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

import msgspec

from filbertstream.actions import Log
from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.fleet.crash_evidence import MAX_ID_LENGTH
from filbertstream.fleet.crash_verdicts import Verdict
from filbertstream.fleet.facts import fact
from filbertstream.fleet.scope import Scope
from filbertstream.log_events import LogEvent
from filbertstream.process.counters import Counters
from filbertstream.request.call import Prompt

KEPT_S: Final = 1800.0
"""Time after the last refusal for which a record is kept."""

MAX_RECORDS: Final = 256
"""Records that an entry keeps, those that were of use last."""

MAX_ROWS: Final = 64
"""Records in a message, those that were of use last; about 6 KB."""

MAX_CRASHES_NAMED: Final = 8
"""Crashed runners that a record names."""

TAKEOVER_S: Final = 5.0
"""Time after which an entry writes the record of another one that is still not stored."""

TAKEOVER_SPREAD_S: Final = 10.0
"""Such writes of different entries are spread over this time, so that most find it stored."""

REWRITE_S: Final = 2.0
"""Time after which a write without effect is repeated, doubled each time up to the maximum."""

REWRITE_MAX_S: Final = 60.0

START_WAIT_S: Final = 3.0
"""Time after its start for which an entry refuses prompts until it knows the stored records."""

NAME_BYTES: Final = 16


class QuarantineRecord(msgspec.Struct, frozen=True):
    """A block of a model's prompts and whether it is quarantined, as in the object store.

    ``by`` is the entry or operator; ``crashes`` are runners that prompts with it have crashed.
    ``rivals`` are blocks that may have crashed them instead.  While there are any, the record is
    contested: only prompts with all of these blocks are refused.  A record that was released since
    a response has begun with its block keeps its rivals.
    """

    model: str
    block_id: str
    generation: int
    active: bool
    by: str
    crashes: tuple[str, ...] = ()
    rivals: tuple[str, ...] = ()

    @property
    def blocks(self) -> tuple[str, ...]:
        """The blocks of which one crashes runners."""
        return (self.block_id, *self.rivals)

    @property
    def name(self) -> str:
        """The name of the object; block ids are chosen by callers and may hold any text."""
        text = f"{self.model}\0{self.block_id}".encode()
        return hashlib.blake2b(text, digest_size=NAME_BYTES).hexdigest()


@fact("quarantine")
class QuarantineRow(NamedTuple):
    """A record as sent to peers; ``hit_age_s`` is how long ago it was last of use."""

    record: QuarantineRecord
    hit_age_s: float


class QuarantineObserved(NamedTuple):
    """A record as it is in the object store, None if it was removed."""

    name: str
    record: QuarantineRecord | None
    revision: EpochNumber


class QuarantineListed(NamedTuple):
    """All records in the object store have been observed."""

    names: frozenset[str]


class WriteQuarantine(NamedTuple):
    """Write a record: create it for ``NO_REVISION``, else replace that revision."""

    record: QuarantineRecord
    revision: EpochNumber


class RemoveQuarantine(NamedTuple):
    """Remove an expired record."""

    name: str


class Contested(NamedTuple):
    """A contested record, and which of its blocks were in responses that began since."""

    record: QuarantineRecord
    begun: frozenset[str]


@dataclass
class _Entry:
    record: QuarantineRecord
    hit_at_s: float
    scope: Scope
    stored_generation: int = 0
    revision: EpochNumber = NO_REVISION
    write_at_s: float = 0.0
    write_pause_s: float = REWRITE_S
    begun: set[str] = field(default_factory=set)


Write = WriteQuarantine | RemoveQuarantine


class Quarantine:
    """The records that an entry knows.

    ``waits_for_store`` is set if the object store is followed, so that a new entry waits for it.
    """

    def __init__(
        self, name: str, waits_for_store: bool, counters: Counters, rng: random.Random
    ) -> None:
        self.changes = 0
        self._name = name
        self._waits = waits_for_store
        self._started_at_s: float | None = None
        self._counters = counters
        self._rng = rng
        self.on_release: Callable[[str, str], None] = lambda model, block_id: None
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._names: dict[str, tuple[str, str]] = {}
        self._contested: list[_Entry] = []
        self.recovered = True

    def on_restored(self, epoch: int, now_s: float) -> None:
        """Write all records again that the restored store turns out to lack."""
        for entry in self._entries.values():
            entry.stored_generation, entry.revision = 0, NO_REVISION
            own = entry.record.by == self._name
            delay_s = 0.0 if own else TAKEOVER_S + TAKEOVER_SPREAD_S * self._rng.random()
            entry.write_at_s, entry.write_pause_s = now_s + REWRITE_S + delay_s, REWRITE_S

    def is_active(self, model: str, block_id: str) -> bool:
        """Whether a block is quarantined."""
        entry = self._entries.get((model, block_id))
        return entry is not None and entry.record.active

    def rivals_of(self, model: str, block_id: str) -> tuple[str, ...] | None:
        """Return the rivals of a quarantined block, None if it is not quarantined."""
        entry = self._entries.get((model, block_id))
        return entry.record.rivals if entry is not None and entry.record.active else None

    def is_certain(self, model: str, block_id: str) -> bool:
        """Whether a block is quarantined and has no rivals."""
        return self.rivals_of(model, block_id) == ()

    @property
    def contested(self) -> list[Contested]:
        """The contested records."""
        return [Contested(entry.record, frozenset(entry.begun)) for entry in self._contested]

    def contested_blocks(self, model: str, blocks: Iterable[str]) -> set[str]:
        """Return the blocks among some of which it is contested whether they crash runners."""
        found = {
            block
            for entry in self._contested
            if entry.record.model == model
            for block in entry.record.blocks
        }
        return found.intersection(blocks)

    def note_begun(self, model: str, blocks: Iterable[str]) -> None:
        """Record that a response to a prompt has begun here."""
        for entry in self._contested:
            if entry.record.model == model:
                entry.begun.update(set(entry.record.blocks).intersection(blocks))

    @property
    def active(self) -> list[QuarantineRecord]:
        """The records of quarantined blocks."""
        return [entry.record for entry in self._entries.values() if entry.record.active]

    def is_unknown(self, now_s: float) -> bool:
        """Whether this entry has just started and may not know of quarantined blocks yet."""
        if self._started_at_s is None:
            self._started_at_s = now_s
        return self._waits and now_s - self._started_at_s < START_WAIT_S

    def refuses(self, prompt: Prompt, now_s: float) -> QuarantineRecord | None:
        """Return the record for which a prompt must not be sent to a runner, if there is one."""
        if not self._entries:
            return None
        blocks = {block.block_id for block in prompt.blocks}
        for block in prompt.blocks:
            entry = self._entries.get((prompt.model, block.block_id))
            if entry is not None and entry.record.active and blocks.issuperset(entry.record.rivals):
                entry.hit_at_s = now_s
                return entry.record
        return None

    def add(self, verdict: Verdict, now_s: float) -> list[Log]:
        """Quarantine a block, or leave it fewer rivals."""
        return self._write(verdict, True, now_s)

    def clear(self, record: QuarantineRecord, now_s: float) -> list[Log]:
        """Release the block of a contested record; what speaks against its rivals still does."""
        verdict = Verdict(record.model, record.block_id, record.crashes, record.rivals)
        return self._write(verdict, False, now_s)

    def _write(self, verdict: Verdict, active: bool, now_s: float) -> list[Log]:
        known = self._entries.get((verdict.model, verdict.block_id))
        generation = 1 if known is None else known.record.generation + 1
        crashes = verdict.crashes[:MAX_CRASHES_NAMED]
        record = QuarantineRecord(
            verdict.model,
            verdict.block_id,
            generation,
            active,
            self._name,
            crashes,
            verdict.rivals,
        )
        return self._put(record, now_s, Scope.LOCAL, now_s)

    def _put(
        self, record: QuarantineRecord, hit_at_s: float, scope: Scope, now_s: float
    ) -> list[Log]:
        """Apply a record if it is newer than the known one, and log what changes."""
        key = (record.model, record.block_id)
        known = self._entries.get(key)
        if known is not None and record.generation <= known.record.generation:
            known.hit_at_s = max(known.hit_at_s, hit_at_s)
            known.scope = min(known.scope, scope)
            return []
        own = record.by == self._name
        delay_s = 0.0 if own else TAKEOVER_S + TAKEOVER_SPREAD_S * self._rng.random()
        entry = _Entry(record, hit_at_s, scope, write_at_s=now_s + delay_s)
        if known is not None:
            entry.stored_generation, entry.revision = known.stored_generation, known.revision
        self._entries[key] = entry
        self._names[record.name] = key
        self.changes += 1
        while len(self._entries) > MAX_RECORDS:
            self._drop(min(self._entries, key=lambda item: self._entries[item].hit_at_s))
        self._find_contested()
        before = None if known is None or not known.record.active else known.record
        if not record.active and not record.rivals:
            self.on_release(record.model, record.block_id)
        if (record.rivals if record.active else None) == (
            None if before is None else before.rivals
        ):
            return []
        event, change = _change(before, record)
        self._counters.add("quarantines", change)
        fields = (
            ("model", record.model),
            ("block", record.block_id),
            ("by", record.by),
            ("generation", record.generation),
            ("crashes", ",".join(record.crashes)),
            ("rivals", ",".join(record.rivals)),
        )
        return [Log(event, fields)]

    def _find_contested(self) -> None:
        self._contested = [
            entry for entry in self._entries.values() if entry.record.active and entry.record.rivals
        ]

    def _drop(self, key: tuple[str, str]) -> None:
        entry = self._entries.pop(key)
        self._names.pop(entry.record.name, None)
        self._find_contested()

    def on_observed(self, event: QuarantineObserved, now_s: float) -> list[Log]:
        """Apply a record of the object store, or its removal."""
        if event.record is None:
            key = self._names.get(event.name)
            if key is not None and self._entries[key].stored_generation:
                self._drop(key)
            return []
        logs = self._put(event.record, now_s, Scope.LOCAL, now_s)
        entry = self._entries.get((event.record.model, event.record.block_id))
        if entry is not None:
            entry.stored_generation = max(entry.stored_generation, event.record.generation)
            entry.revision = max(entry.revision, event.revision)
        return logs

    def on_listed(self, event: QuarantineListed, now_s: float) -> list[Log]:
        """Record that all stored records are known."""
        self._waits = False
        for name in [item for item in self._names if item not in event.names]:
            entry = self._entries[self._names[name]]
            if entry.stored_generation:
                self._drop(self._names[name])
        return []

    def rows(self, scope: Scope, now_s: float) -> Sequence[QuarantineRow]:
        """Return the records that were of use last."""
        known = [entry for entry in self._entries.values() if entry.scope <= scope]
        known.sort(key=lambda entry: -entry.hit_at_s)
        return [
            QuarantineRow(entry.record, round(now_s - entry.hit_at_s, 3))
            for entry in known[:MAX_ROWS]
        ]

    def take(self, rows: Sequence[QuarantineRow], scope: Scope, now_s: float) -> list[Log]:
        """Take the records that a peer knows."""
        logs: list[Log] = []
        for row in rows:
            if row.hit_age_s < KEPT_S and len(row.record.block_id) <= MAX_ID_LENGTH:
                logs += self._put(row.record, now_s - row.hit_age_s, scope, now_s)
        return logs

    def due(self, now_s: float) -> list[Write]:
        """Return the writes that are due: records that are not stored yet, and expired ones."""
        writes: list[Write] = []
        for key, entry in list(self._entries.items()):
            expired = now_s - entry.hit_at_s >= KEPT_S
            stored = entry.stored_generation >= entry.record.generation
            if expired and not entry.stored_generation:
                self._drop(key)
            elif expired == stored and now_s >= entry.write_at_s:
                entry.write_at_s = now_s + entry.write_pause_s * (1.0 + self._rng.random())
                entry.write_pause_s = min(REWRITE_MAX_S, 2.0 * entry.write_pause_s)
                writes.append(
                    RemoveQuarantine(entry.record.name)
                    if expired
                    else WriteQuarantine(entry.record, entry.revision)
                )
        return writes


def _change(before: QuarantineRecord | None, after: QuarantineRecord) -> tuple[LogEvent, str]:
    """Return what has happened to a block, as an event and for the counter."""
    if not after.active:
        return LogEvent.BLOCK_RELEASED, "released"
    if before is None:
        return LogEvent.BLOCK_QUARANTINED, "added"
    return LogEvent.QUARANTINE_NARROWED, "narrowed"
