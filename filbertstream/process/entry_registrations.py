"""The registrations of the entries: this entry writes its own, and follows those of its peers.

After a restore of the object store an entry that is missing may only have lost its registration, so
it stays a member until the recovery is complete, and one that had left before the restore is
removed again from the copy.
"""

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeAlias

import msgspec

from filbertstream.actions import Log
from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.gateway_events import (
    EntriesConfirmed,
    EntriesListed,
    EntryObserved,
    RemoveEntry,
    WriteEntry,
)
from filbertstream.log_events import LogEvent
from filbertstream.process.peer_work import EntryRecord, PeerWork
from filbertstream.process.rate_shares import RateShares
from filbertstream.process.store_recovery import StoreRecovery

MAX_MEMBERS_LOGGED: Final = 8
"""Bounds the names of new entries in one log line."""

MAX_LEFT: Final = 512
"""Entries that left and are remembered, the last ones."""

SPREAD_PER_MEMBER_S: Final = 0.01
"""Confirmations and repeated removals of all entries are spread over this time for each."""

REWRITE_S: Final = 2.0
"""Time after which a write of the own registration that had no effect is repeated."""

Action: TypeAlias = Log | RemoveEntry | WriteEntry


class _Start(NamedTuple):
    """One process of an entry."""

    name: str
    incarnation: int


class _Removal(NamedTuple):
    at_s: float
    revision: EpochNumber


class EntryRegistrations:
    """The registered entries; ``record`` is the registration of this one.

    An entry without a peer address does not register, since no peer could send it a message.  It is
    its own fleet, which has all shares of the rates that targets name.
    """

    def __init__(
        self,
        name: str,
        record: EntryRecord,
        peers: PeerWork,
        shares: RateShares,
        recovery: StoreRecovery,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._record = record
        self._peers = peers
        self._shares = shares
        self._recovery = recovery
        self._rng = rng
        self._joined: list[str] = []
        self._stored: EntryRecord | None = None
        self._revision = NO_REVISION
        self._write_at_s: float | None = None
        self._missing: set[str] = set()
        self._left: OrderedDict[_Start, int] = OrderedDict()
        self._removals: dict[str, _Removal] = {}
        self.recovered = True
        self.stopping = False

    def on_restored(self, epoch: int, now_s: float) -> None:
        """Forget what was stored of this entry's registration."""
        self._stored, self._revision = None, NO_REVISION

    def handlers(self) -> dict[type, Callable[[Any, float], list[Any]]]:
        """Return the handlers by the type of event."""
        return {
            EntriesListed: self.on_listed,
            EntriesConfirmed: self.on_confirmed,
            EntryObserved: self.on_entry,
        }

    def on_listed(self, event: EntriesListed, now_s: float) -> list[Action]:
        """Drop the entries that are missing in a full listing; register if this one is."""
        for name in set(self._peers.members) - event.names:
            self._on_missing(name, now_s)
        return [] if self._name in event.names else self._register(NO_REVISION, now_s)

    def _register(self, revision: EpochNumber, now_s: float) -> list[Action]:
        if not self._record.peer_address or self.stopping:
            return []
        self._write_at_s = now_s + REWRITE_S
        return [WriteEntry(self._name, self._record, revision)]

    def on_entry(self, event: EntryObserved, now_s: float) -> list[Action]:
        """Apply the registration of an entry, or its removal."""
        if event.record is None:
            self._removals.pop(event.name, None)
            self._on_missing(event.name, now_s)
            return self._register(NO_REVISION, now_s) if event.name == self._name else []
        if event.name == self._name:
            self._stored, self._revision = event.record, event.revision
        elif self._left_before(event):
            at_s = now_s + self._spread_s()
            self._removals[event.name] = _Removal(at_s, event.revision)
            return []
        self._missing.discard(event.name)
        self._removals.pop(event.name, None)
        joined = self._peers.join(event.name, event.record)
        if event.name == self._name and event.record != self._record:
            # The registration is that of an earlier process with this name, or of an earlier epoch.
            # The epoch that it names tells entries that start later of a restore since then.
            self._note_epochs(event.record.epoch, event.record.settled_epoch)
            return self._register(event.revision, now_s)
        if self._record.peer_address:
            self._shares.registered(event.name, now_s)
        if joined:
            self._joined.append(event.name)
        return []

    def _note_epochs(self, epoch: int, settled_epoch: int | None) -> bool:
        """Name later epochs in the own registration; return whether that changes it."""
        before = self._record
        epoch = max(epoch, before.epoch)
        settled = [item for item in (settled_epoch, before.settled_epoch) if item is not None]
        self._record = msgspec.structs.replace(
            before, epoch=epoch, settled_epoch=max(settled, default=None)
        )
        return self._record != before

    def _left_before(self, event: EntryObserved) -> bool:
        """Whether a registration is that of a process that left in an earlier epoch."""
        if event.record is None:
            return False
        left = self._left.get(_Start(event.name, event.record.incarnation))
        return left is not None and left < event.revision.epoch

    def _on_missing(self, name: str, now_s: float) -> None:
        if self._recovery.complete_epoch is None and name != self._name:
            self._missing.add(name)
        else:
            self._leave(name, now_s)

    def _leave(self, name: str, now_s: float) -> None:
        record = self._peers.members.get(name)
        if record is not None:
            self._left[_Start(name, record.incarnation)] = self._recovery.epoch
            while len(self._left) > MAX_LEFT:
                self._left.popitem(last=False)
        self._peers.leave(name)
        if self._record.peer_address:
            self._shares.unregistered(name, now_s)

    def on_confirmed(self, event: EntriesConfirmed, now_s: float) -> list[Action]:
        """Record that the known registrations were the newest when a request was sent."""
        if not self._record.peer_address:
            self._shares.registered(self._name, now_s)
        self._shares.confirmed(event.sent_at_s)
        return [*self._recovery.on_registrations(now_s)]

    def tick(self, now_s: float) -> list[Action]:
        """Return the writes that are due, and drop who is still missing after a recovery."""
        if self._recovery.complete_epoch is not None and self._missing:
            for name in sorted(self._missing):
                self._leave(name, now_s)
            self._missing.clear()
        if self._note_epochs(self._recovery.written_epoch, self._recovery.settled_epoch):
            self._write_at_s = now_s + self._spread_s()
        actions: list[Action] = []
        due = self._write_at_s is not None and now_s >= self._write_at_s
        if due and self._stored == self._record:
            self._write_at_s = None
        elif due and self._stored is not None:
            actions += self._register(self._revision, now_s)
        for name, removal in list(self._removals.items()):
            if now_s >= removal.at_s:
                del self._removals[name]
                actions.append(RemoveEntry(name, removal.revision))
        return actions

    def _spread_s(self) -> float:
        return self._rng.random() * SPREAD_PER_MEMBER_S * len(self._peers.members)

    def stop(self) -> list[Action]:
        """Remove the registration of this entry, which is about to stop."""
        self.stopping = True
        self._shares.stop()
        return [RemoveEntry(self._name)]

    def log_joined(self) -> list[Action]:
        """Log all entries that joined since the last call in one line: there may be hundreds."""
        if not self._joined:
            return []
        names, self._joined = self._joined, []
        fields = (
            ("member", ",".join(names[:MAX_MEMBERS_LOGGED])),
            ("joined", len(names)),
            ("members", len(self._peers.members)),
        )
        return [Log(LogEvent.MEMBER_JOINED, fields)]
