"""What stores of kept cache told one entry, passed on to those that don't read them.

Load pattern: hundreds of entries before stores that take a few event calls at once.  In a small
fleet the readers of a store tell all others themselves.  In a large one two entries read a store
and tell the relays (``process.relays``), and each relay tells its followers the news of all stores
in one message.  A relay that hears nothing of a store reads it itself, whoever has died.
"""

from typing import Final

import msgspec

from filbertstream.actions import SendPeer
from filbertstream.messages import CacheUpdate, CacheUpdateBatch, CacheUpdateRow, PeerPayload
from filbertstream.process.cache_stores import MS, CacheChange, CacheEventsReceived, CacheStores
from filbertstream.process.peer_work import PeerWork
from filbertstream.process.relays import Relays

NEWS_TRANSIT_S: Final = 0.15
"""Added to the age of what another entry has read of a store: the time that its message took."""

BATCH_S: Final = 0.2
"""Interval of a relay's messages to its followers."""


class CacheUpdateExchange:
    """This entry's part in passing on what stores tell."""

    def __init__(self, peers: PeerWork, relays: Relays, stores: CacheStores) -> None:
        self._peers = peers
        self._relays = relays
        self._stores = stores
        self._held: list[tuple[float, CacheUpdate]] = []
        self._passed_on: dict[str, tuple[int, int]] = {}
        self._sent_at_s = float("-inf")

    def on_read(self, event: CacheEventsReceived, now_s: float) -> list[SendPeer]:
        """Pass on what a store told this entry."""
        state = self._stores.states.get(event.holder)
        if state is None:
            return []
        rows = tuple(CacheUpdateRow(item.added, *item.key, item.tokens) for item in event.changes)
        update = CacheUpdate(
            event.holder,
            event.start_id,
            event.next_event,
            now_s - event.sent_at_s,
            event.clock_ms,
            rows,
        )
        if self._relays.small_fleet:
            addresses = self._peers.told_of(event.holder, state.spec.event_readers)
            return [SendPeer(address, update) for address in addresses]
        self._hold(update, now_s)
        return [item for name in self._relays.others() for item in self._send(name, update)]

    def _send(self, member: str, payload: PeerPayload) -> list[SendPeer]:
        record = self._peers.members.get(member)
        return [] if record is None else [SendPeer(record.peer_address, payload)]

    def on_update(self, update: CacheUpdate, now_s: float) -> None:
        """Take in what another entry read of a store, and hold it for followers."""
        state = self._stores.states.get(update.store)
        if state is None:
            return
        self._hold(update, now_s)
        if self._peers.reads(update.store, state.spec.event_readers):
            return
        sent_at_s = now_s - update.age_s - NEWS_TRANSIT_S
        if state.start_id == update.start_id and update.next_event < state.since:
            return
        if state.start_id != update.start_id and sent_at_s < state.confirmed_at_s:
            # One of the readers has not heard of a restart yet.
            return
        changes = tuple(
            CacheChange(row.added, (row.namespace, row.block_id), row.tokens) for row in update.rows
        )
        event = CacheEventsReceived(
            update.store,
            sent_at_s,
            now_s,
            update.start_id,
            update.next_event,
            update.clock_ms,
            changes,
        )
        self._stores.on_events(event)

    def _hold(self, update: CacheUpdate, now_s: float) -> None:
        """Hold news for followers, without the rows that the other reader has told already.

        Events are numbered in a row, so the newest of them are the last rows.
        """
        if not self._relays.serves_peers(now_s):
            return
        start_id, passed_on = self._passed_on.get(update.store, (update.start_id, 0))
        if start_id == update.start_id:
            new = max(0, update.next_event - passed_on)
            rows = update.rows[-new:] if new else ()
            update = msgspec.structs.replace(update, rows=rows)
            self._passed_on[update.store] = (start_id, max(passed_on, update.next_event))
        else:
            self._passed_on[update.store] = (update.start_id, update.next_event)
        self._held.append((now_s, update))

    def on_batch(self, batch: CacheUpdateBatch, now_s: float) -> None:
        """Take in what a relay tells of all stores."""
        for update in batch.items:
            self.on_update(update, now_s)

    def due(self, followers: list[str], now_s: float) -> list[SendPeer]:
        """Return a relay's messages to its followers."""
        if now_s - self._sent_at_s < BATCH_S or not self._held:
            return []
        items = _merged(self._held, now_s)
        self._held, self._sent_at_s = [], now_s
        relays = self._relays.others()
        told = [name for name in followers if name not in relays]
        batch = CacheUpdateBatch(items)
        return [item for name in told for item in self._send(name, batch)]


def _merged(held: list[tuple[float, CacheUpdate]], now_s: float) -> tuple[CacheUpdate, ...]:
    """Return what is to be told: all rows in order, and of news without rows the last ones."""
    found: list[CacheUpdate] = []
    newest: dict[str, CacheUpdate] = {}
    for at_s, update in held:
        update = CacheUpdate(
            update.store,
            update.start_id,
            update.next_event,
            update.age_s + now_s - at_s,
            None if update.clock_ms is None else update.clock_ms + int((now_s - at_s) * MS),
            update.rows,
        )
        if update.rows:
            found.append(update)
        before = newest.get(update.store)
        if before is None or update.age_s <= before.age_s:
            newest[update.store] = update
    return (*found, *(update for update in newest.values() if not update.rows))
