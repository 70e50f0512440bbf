"""A log of numbered records kept as objects of the platform, one conditional create per record.

Position ``n`` of a log is the object named ``n`` in the log's kind.  Creating it only if it does
not exist is the whole agreement: of two writers that both know positions up to ``n - 1``, one
succeeds.  A paused, doubled or partitioned writer is harmless, because it can only append after it
has read everything before.  ``version.config_log`` and ``request.claims`` are both built on it.

The machine does no I/O.  It asks for ``PutObject`` and ``ListObjects`` and is told the results.  A
write whose answer was lost is read back and settled by the nonce inside the record.
"""

from typing import Final, NamedTuple

import msgspec

from filbertstream.actions import MUST_NOT_EXIST, ListObjects, PutObject
from filbertstream.events import ObjectRecord, PutFinished, ReadFinished

NAME_DIGITS: Final = 12


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What an object of the log holds: who wrote it, as a nonce, and the payload."""

    nonce: str
    payload: bytes


class LogEntry(NamedTuple):
    """A record that the log has learned, with its position."""

    position: int
    record: Record


class Progress(NamedTuple):
    """What one result meant: records learned, the fate of the own write, what to ask next.

    ``written`` is True once the own record is known to stand, False once it is known that it does
    not and won't, None while that is open or no write was under way.
    """

    learned: tuple[LogEntry, ...]
    written: bool | None
    asks: tuple[PutObject | ListObjects, ...]
    reachable: bool


class OpIds:
    """Hands out the numbers that match results to requests; one per process."""

    def __init__(self) -> None:
        self._last = 0

    def next(self) -> int:
        """Return a number that was not handed out before."""
        self._last += 1
        return self._last


def object_name(position: int) -> str:
    """Return the object name of a position; names sort like positions."""
    return f"{position:0{NAME_DIGITS}d}"


class _Pending(NamedTuple):
    """A write whose fate is open: ``sent`` is what the latest create carried."""

    position: int
    record: Record
    sent: Record


class AppendLog:
    """One writer's knowledge of a log, and at most one write or read under way."""

    def __init__(self, kind: str, op_ids: OpIds) -> None:
        self.kind = kind
        self.length = 0
        self._op_ids = op_ids
        self._pending: _Pending | None = None
        self._standing_nonce: str | None = None
        self._op: int | None = None
        self._unsure = False
        self._abandoned = False

    @property
    def busy(self) -> bool:
        """Whether a read or write is under way."""
        return self._op is not None

    @property
    def unsettled(self) -> bool:
        """Whether the fate of an earlier write is still unknown."""
        return self._unsure

    def owns(self, op_id: int) -> bool:
        """Whether a result belongs to this log."""
        return op_id == self._op

    def read(self) -> ListObjects:
        """Ask for the records after those already known."""
        self._op = self._op_ids.next()
        after = object_name(self.length) if self.length else ""
        return ListObjects(self._op, self.kind, after)

    def append(self, nonce: str, payload: bytes) -> PutObject:
        """Ask to write the next record; only while neither busy nor unsettled."""
        if self.busy or self._unsure:
            raise AssertionError("append on a log whose last write is not settled")
        record = Record(nonce, payload)
        self._standing_nonce = None
        self._abandoned = False
        return self._put(self.length + 1, record, record)

    def abandon(self) -> None:
        """Give up the open write: its position is filled with an empty record where still free.

        Without this a lost create could still take effect after its claims were refused.
        """
        self._abandoned = True

    def _put(self, position: int, record: Record, sent: Record) -> PutObject:
        self._op = self._op_ids.next()
        self._pending = _Pending(position, record, sent)
        name = object_name(position)
        return PutObject(self._op, self.kind, name, msgspec.msgpack.encode(sent), MUST_NOT_EXIST)

    def learn(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """Take in consecutive records from anywhere; return those that were new."""
        fresh = []
        for entry in entries:
            if entry.position != self.length + 1:
                continue
            self.length = entry.position
            fresh.append(entry)
            if self._pending is not None and entry.position == self._pending.position:
                self._standing_nonce = entry.record.nonce
        return tuple(fresh)

    def on_put(self, result: PutFinished) -> Progress:
        """Take in the result of a write."""
        self._op = None
        if self._pending is None:
            raise AssertionError("a result of a write that nobody began")
        if result.outcome == "ok":
            learned = self.learn((LogEntry(self._pending.position, self._pending.sent),))
            return self._settle(learned)
        if result.outcome == "refused" and not self._unsure:
            self._pending = None
            return Progress((), False, (), False)
        # After a conflict too, only the nonce at the position tells whether an earlier attempt
        # at the same write or a rival took the place.
        self._unsure = True
        if result.outcome == "refused":
            return Progress((), None, (), False)
        return Progress((), None, (self.read(),), True)

    def on_read(self, result: ReadFinished) -> Progress:
        """Take in the result of a listing, and settle a write whose fate was open."""
        self._op = None
        if not result.ok:
            return Progress((), None, (), False)
        learned = self.learn(tuple(_entry(record) for record in result.records))
        if not self._unsure or self._pending is None:
            return Progress(learned, None, (), True)
        if self.length >= self._pending.position:
            return self._settle(learned)
        # The position is still free, yet the lost create may be on its way.  A further create
        # makes sure that one of the two stands: the same record, or a filler once abandoned.
        record = self._pending.record
        filler = Record(f"{record.nonce}-void", b"")
        put = self._put(self._pending.position, record, filler if self._abandoned else record)
        return Progress(learned, None, (put,), True)

    def _settle(self, learned: tuple[LogEntry, ...]) -> Progress:
        """Close the open write: the nonce that stands at its position decides."""
        if self._pending is None:
            raise AssertionError("nothing to settle")
        written = self._standing_nonce == self._pending.record.nonce
        self._pending = None
        self._unsure = False
        return Progress(learned, written, (), True)


def _entry(record: ObjectRecord) -> LogEntry:
    return LogEntry(int(record.name), decode_record(record.value))


def decode_record(value: bytes) -> Record:
    """Return the record inside an object; raises ``msgspec.DecodeError`` for anything else."""
    return msgspec.msgpack.decode(value, type=Record)
