"""The registrations of the entries: this entry writes its own, and follows those of its peers."""

from typing import Final, TypeAlias

from filbertstream.actions import Log
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

MAX_MEMBERS_LOGGED: Final = 8
"""Bounds the names of new entries in one log line."""

Action: TypeAlias = Log | RemoveEntry | WriteEntry


class EntryRegistrations:
    """The registered entries; ``record`` is the registration of this one.

    An entry without a peer address does not register, since no peer could send it a message.  It is
    its own fleet, which has all shares of the rates that targets name.
    """

    def __init__(self, name: str, record: EntryRecord, peers: PeerWork, shares: RateShares) -> None:
        self._name = name
        self._record = record
        self._peers = peers
        self._shares = shares
        self._joined: list[str] = []
        self.stopping = False

    def on_listed(self, event: EntriesListed, now_s: float) -> list[Action]:
        """Drop the entries that are missing in a full listing; register if this one is."""
        for name in set(self._peers.members) - event.names:
            self._leave(name, now_s)
        return [] if self._name in event.names else self._register(0)

    def _register(self, revision: int) -> list[Action]:
        if not self._record.peer_address or self.stopping:
            return []
        return [WriteEntry(self._name, self._record, revision)]

    def on_entry(self, event: EntryObserved, now_s: float) -> list[Action]:
        """Apply the registration of an entry, or its removal."""
        if event.record is None:
            self._leave(event.name, now_s)
            return self._register(0) if event.name == self._name else []
        joined = self._peers.join(event.name, event.record)
        if event.name == self._name and event.record != self._record:
            # The registration is that of an earlier process with this name.
            return self._register(event.revision)
        if self._record.peer_address:
            self._shares.registered(event.name, now_s)
        if joined:
            self._joined.append(event.name)
        return []

    def _leave(self, name: str, now_s: float) -> None:
        self._peers.leave(name)
        if self._record.peer_address:
            self._shares.unregistered(name, now_s)

    def on_confirmed(self, event: EntriesConfirmed, now_s: float) -> list[Action]:
        """Record that the known registrations were the newest when a request was sent."""
        if not self._record.peer_address:
            self._shares.registered(self._name, now_s)
        self._shares.confirmed(event.sent_at_s)
        return []

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
