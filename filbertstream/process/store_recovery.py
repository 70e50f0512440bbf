"""Recovers from a restore of the object store from an older copy.

A restore starts a new epoch: what this system wrote since the copy was made is gone, and what
operators and targets wrote is back only some time later.  Every entry that learns of a new epoch
writes again what it knows (the parts), and then confirms that in its registration.  Until all
entries have confirmed it, the store may lack the record of a call that has run or a change that was
accepted, so no idempotency key is claimed and no change is accepted.  An entry that is dead or cut
off confirms nothing; the others wait for it only for ``PEERS_WAIT_S``.

Load patterns and faults handled: a restore that each entry notices at another time, two restores in
a row, one that an entry was suspended for, and entries that start after it and know nothing.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent
from filbertstream.process.peer_work import EntryRecord

SETTLE_S: Final = 2.3
"""Time within which operators and targets have written again after the return of the store."""

PEERS_WAIT_S: Final = 8.0
"""Time after which an entry stops waiting for peers that have not confirmed."""

OLDER_ACCEPTED_AFTER_S: Final = 30.0
"""Time after which an older configuration in the store counts as what the operators want."""

MAX_NAMES_LOGGED: Final = 8

UNDECIDED: Final = -1
"""In place of a complete epoch: the entry has just started and does not know of a restore yet."""

RECOVERING: Final = -2
"""In place of a complete epoch: a recovery is in progress."""


class RecoveryPart(Protocol):
    """A component whose state depends on the epoch of the object store."""

    @property
    def recovered(self) -> bool:
        """Whether all that the component knew is written again in the current epoch."""

    def on_restored(self, epoch: int, now_s: float) -> None:
        """Drop what was true of an earlier epoch only, and write again what may be lost."""


class StoreRecovery:
    """The epoch of the object store and the progress of the recovery in it."""

    def __init__(self, name: str, members: Callable[[], Mapping[str, EntryRecord]]) -> None:
        self._name = name
        self._members = members
        self.parts: tuple[RecoveryPart, ...] = ()
        self.epoch = 0
        self.restores = 0
        self.restored_at_s = -math.inf
        self.written_epoch = 0
        self.settled_epoch: int | None = None
        self._complete_epoch = 0
        self._awaited: set[str] = set()

    @property
    def complete_epoch(self) -> int | None:
        """The current epoch, or None while the recovery is not complete."""
        return self.epoch if self._complete_epoch == self.epoch else None

    def restored_for_s(self, now_s: float) -> float:
        """Return the time since this entry learned of the last restore, infinite without one."""
        return now_s - self.restored_at_s

    def is_unconfirmed(self, name: str) -> bool:
        """Whether an entry has not confirmed that it has written again what it knew."""
        record = self._members().get(name)
        return record is None or record.epoch < self.epoch

    def confirmed_names(self) -> list[str]:
        """Return the other entries that have confirmed the current epoch."""
        names = [name for name in self._members() if name != self._name]
        return [name for name in names if not self.is_unconfirmed(name)]

    def on_epoch(self, epoch: int, is_first: bool, now_s: float) -> list[Log]:
        """Note the epoch of a response or of a peer's message.

        ``is_first``: this entry has not read the store before, so the registrations of its peers
        tell whether this is a new epoch (``on_registrations``).
        """
        if epoch <= self.epoch:
            return []
        before, self.epoch = self.epoch, epoch
        logs = [Log(LogEvent.STORE_EPOCH, (("epoch", epoch), ("before", before)))]
        if is_first and not before:
            self._complete_epoch = UNDECIDED
            return logs
        return [*logs, *self._begin(before, now_s)]

    def on_registrations(self, now_s: float) -> list[Log]:
        """Decide whether the store was restored shortly before this entry started."""
        if self._complete_epoch != UNDECIDED:
            return []
        known = max((record.epoch for record in self._members().values()), default=0)
        if 0 < known < self.epoch or self._is_unsettled():
            return self._begin(known, now_s)
        self._complete_epoch = self.written_epoch = self.settled_epoch = self.epoch
        return []

    def _is_unsettled(self) -> bool:
        """Whether peers have confirmed the epoch, but operators may not have written again yet."""
        confirmed = [record for record in self._members().values() if record.epoch == self.epoch]
        told = [item.settled_epoch for item in confirmed if item.settled_epoch is not None]
        return bool(told) and self.epoch not in told

    def _begin(self, before: int, now_s: float) -> list[Log]:
        self._complete_epoch = RECOVERING
        self.settled_epoch = self.epoch - 1 if self.settled_epoch is None else self.settled_epoch
        self.restores += 1
        self.restored_at_s = now_s
        confirming = {name for name, record in self._members().items() if record.epoch}
        self._awaited |= confirming - {self._name}
        for part in self.parts:
            part.on_restored(self.epoch, now_s)
        fields = (("epoch", self.epoch), ("before", before), ("awaited", len(self._awaited)))
        return [Log(LogEvent.STORE_RESTORED, fields)]

    def tick(self, now_s: float) -> list[Log]:
        """Note the progress of this entry and its peers, and log when the recovery is complete."""
        settled = self.written_epoch == self.epoch and self.restored_for_s(now_s) >= SETTLE_S
        if settled and self.epoch:
            self.settled_epoch = self.epoch
        if self._complete_epoch != RECOVERING:
            return []
        if self.written_epoch != self.epoch:
            if not all(part.recovered for part in self.parts):
                return []
            self.written_epoch = self.epoch
        missing = sorted(name for name in self._awaited if self.is_unconfirmed(name))
        if missing and self.restored_for_s(now_s) < PEERS_WAIT_S:
            return []
        self._complete_epoch = self.epoch
        self._awaited.clear()
        return [Log(LogEvent.RECOVERY_COMPLETE, self._progress(missing, now_s))]

    def _progress(
        self, missing: Iterable[str], now_s: float
    ) -> tuple[tuple[str, str | int | float], ...]:
        names = ",".join(list(missing)[:MAX_NAMES_LOGGED])
        after_s = round(self.restored_for_s(now_s), 3)
        return (("epoch", self.epoch), ("after_s", after_s), ("missing", names))
