"""The configuration as a log of revisions on the platform: revision ``n`` is record ``n``.

Built on ``process.append_log``: a change is one conditional create, so of two racing operators one
wins and the other learns which revision it lost to.  A revision, once written, is never rewritten;
a roll-back is a new revision.  Records reach this process from the platform's listing or pushed by
a peer; both go through ``learn``, which takes them only in order, so the revision in force never
falls.  ``version.acceptance`` decides when an operator hears *accepted*.
"""

from collections import deque
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok

from filbertstream.actions import Action, ApplyEnded
from filbertstream.events import ApplyRequested, PutFinished, ReadFinished
from filbertstream.process.append_log import AppendLog, LogEntry, OpIds, Progress, Record
from filbertstream.units import VALUE_LIMIT_BYTES
from filbertstream.version.documents import Change, decode_changes
from filbertstream.version.resolve import View

LOG_KIND: Final = "config"
RECENT_RECORDS: Final = 256
"""How many records are kept in memory for peers that lag; older ones come from the platform."""


class ConfigStep(NamedTuple):
    """What the log decided: revisions newly in force, own changes written, actions to take."""

    applied: tuple[int, ...]
    written: tuple[str, ...]
    actions: tuple[Action, ...]
    reachable: bool


class ConfigLog:
    """The configuration in force in this process, and the changes asked of it."""

    def __init__(self, op_ids: OpIds, nonce_prefix: str) -> None:
        self.view = View()
        self.log = AppendLog(LOG_KIND, op_ids)
        self._nonce_prefix = nonce_prefix
        self._waiting: deque[ApplyRequested] = deque()
        self._writing: ApplyRequested | None = None
        self._changes = 0
        self._recent: deque[tuple[int, bytes]] = deque(maxlen=RECENT_RECORDS)

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.log.length

    def poll(self) -> tuple[Action, ...]:
        """Ask the platform for later revisions, unless a call is under way."""
        return () if self.log.busy else (self.log.read(),)

    def submit(self, request: ApplyRequested) -> ConfigStep:
        """Queue an operator's change; it is checked when its turn comes."""
        self._waiting.append(request)
        return self._pump((), ())

    def learn_encoded(self, first: int, records: tuple[bytes, ...]) -> tuple[int, ...]:
        """Take in consecutive records that a peer pushed; return the revisions now in force."""
        entries = tuple(
            LogEntry(first + offset, msgspec.msgpack.decode(value, type=Record))
            for offset, value in enumerate(records)
        )
        return self._apply(self.log.learn(entries))

    def records_after(self, revision: int) -> tuple[int, tuple[bytes, ...]]:
        """Return the first position and the records after a revision, as far as they are kept."""
        kept = [(position, value) for position, value in self._recent if position > revision]
        if not kept or kept[0][0] != revision + 1:
            return revision + 1, ()
        return revision + 1, tuple(value for _, value in kept)

    def on_put(self, result: PutFinished) -> ConfigStep:
        """Take in a write's result."""
        return self._after(self.log.on_put(result))

    def on_read(self, result: ReadFinished) -> ConfigStep:
        """Take in a listing's result."""
        return self._after(self.log.on_read(result))

    def _after(self, progress: Progress) -> ConfigStep:
        applied = self._apply(progress.learned)
        written: tuple[str, ...] = ()
        actions: list[Action] = list(progress.asks)
        request = self._writing
        if request is not None and progress.written is True:
            self._writing = None
            written = (request.request_id,)
        elif request is not None and progress.written is False and progress.reachable:
            self._writing = None
            self._waiting.appendleft(request)
        if not progress.reachable:
            actions += self._give_up()
        if progress.asks or not progress.reachable:
            return ConfigStep(applied, written, tuple(actions), progress.reachable)
        return self._pump(applied, written)

    def _give_up(self) -> list[Action]:
        """Answer every waiting operator at once: the platform can't be reached."""
        ended: list[Action] = []
        if self._writing is not None and self.log.unsettled:
            self.log.abandon()
            ended.append(_ended(self._writing, "unsettled", self.revision))
        elif self._writing is not None:
            ended.append(_ended(self._writing, "unavailable", self.revision))
        ended += [_ended(request, "unavailable", self.revision) for request in self._waiting]
        self._writing = None
        self._waiting.clear()
        return ended

    def _pump(self, applied: tuple[int, ...], written: tuple[str, ...]) -> ConfigStep:
        """Write the next change that holds against the revision in force."""
        actions: list[Action] = []
        while self._waiting and not self.log.busy and not self.log.unsettled:
            request = self._waiting.popleft()
            refusal = self._refusal_of(request)
            if refusal is not None:
                actions.append(refusal)
                continue
            self._writing = request
            self._changes += 1
            nonce = f"{self._nonce_prefix}-{self._changes}"
            actions.append(self.log.append(nonce, request.changes))
        if self._waiting and not self.log.busy:
            actions.append(self.log.read())
        return ConfigStep(applied, written, tuple(actions), True)

    def _refusal_of(self, request: ApplyRequested) -> ApplyEnded | None:
        """Return why a change can't be written now, or None."""
        if request.base is not None and request.base != self.revision:
            return _ended(request, "lost", self.revision)
        if len(request.changes) > VALUE_LIMIT_BYTES:
            return _ended(request, "invalid", self.revision, "a change of at most 1 MB")
        match decode_changes(request.changes):
            case Err(mistakes):
                text = "; ".join(f"{item.key}: expected {item.right}" for item in mistakes)
                return _ended(request, "invalid", self.revision, text)
            case Ok(changes):
                faults = self.view.faults_of(changes)
                if faults:
                    return _ended(request, "invalid", self.revision, "; ".join(faults))
        return None

    def _apply(self, entries: tuple[LogEntry, ...]) -> tuple[int, ...]:
        for entry in entries:
            self._recent.append((entry.position, msgspec.msgpack.encode(entry.record)))
            for change in _changes_of(entry.record):
                self.view.put(change)
        return tuple(entry.position for entry in entries)


def _changes_of(record: Record) -> list[Change]:
    """Return a record's changes; a filler has none.

    Records were checked before they were written, so one that can't be read breaks an invariant.
    """
    if not record.payload:
        return []
    match decode_changes(record.payload):
        case Ok(changes):
            return changes
        case Err(mistakes):
            raise AssertionError(f"a written revision doesn't check: {mistakes}")


def _ended(request: ApplyRequested, state: str, revision: int, detail: str = "") -> ApplyEnded:
    return ApplyEnded(request.request_id, state, revision, detail, ())
