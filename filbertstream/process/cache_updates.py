"""Forwards the events of cache stores from the entries that read them to the other entries.

Load pattern handled: hundreds of entries and cache stores that accept a few event calls at once.
In a small fleet the readers of a cache store send its updates to all other entries.  In a large one
two entries read a cache store and send its updates to the relays (``process.relays``), and each
relay sends its followers the updates of all cache stores in one message.  These messages take a
share of the VM's link at most (``process.link_share``).  A relay that receives no update of a cache
store reads it itself, whichever entries have died.
"""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from filbertstream.actions import SendPeer
from filbertstream.messages import (
    CacheUpdate,
    CacheUpdateBatch,
    CacheUpdateRow,
    PeerPayload,
    encode,
)
from filbertstream.process.cache_stores import (
    HOLDINGS_MAX_AGE_S,
    MS,
    CacheChange,
    CacheEventsReceived,
    CacheStores,
)
from filbertstream.process.link_share import LinkShare
from filbertstream.process.peer_work import PeerWork
from filbertstream.process.relays import Relays

UPDATE_TRANSIT_S: Final = 0.15
"""Added to the age of a peer's update, for the time that its message was in transit."""

BATCH_S: Final = 0.2
"""Interval of a relay's messages to its followers."""

LINK_FRACTION: Final = 0.2
"""Share of the VM's link that a relay's updates may take."""

ROUND_S: Final = HOLDINGS_MAX_AGE_S / 2
"""All followers are sent a message within this time, so that what they know stays usable.  If the
link is too slow for all rows, the oldest new blocks are left out: followers don't fetch those."""

MAX_QUEUED_ROWS: Final = 4_096
"""Rows that wait for the next message; beyond it the oldest new blocks are left out."""


class CacheUpdateExchange:
    """Forwards what this entry reads of cache stores, and applies the updates of peers."""

    def __init__(
        self, peers: PeerWork, relays: Relays, stores: CacheStores, link_mbps: float = 0.0
    ) -> None:
        self._link = LinkShare(link_mbps, LINK_FRACTION)
        self._batch: tuple[CacheUpdate, ...] = ()
        self._receivers: deque[str] = deque()
        self._peers = peers
        self._relays = relays
        self._stores = stores
        self._queued: list[tuple[float, CacheUpdate]] = []
        self._forwarded: dict[str, tuple[int, int]] = {}
        self._sent_at_s = float("-inf")

    def on_read(self, event: CacheEventsReceived, now_s: float) -> list[SendPeer]:
        """Forward the events that this entry has read from a cache store."""
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
            addresses = self._peers.addresses_to_notify(event.holder, state.spec.event_readers)
            return [SendPeer(address, update) for address in addresses]
        self._queue(update, now_s)
        return [item for name in self._relays.other_relays() for item in self._send(name, update)]

    def _send(self, member: str, payload: PeerPayload) -> list[SendPeer]:
        record = self._peers.members.get(member)
        return [] if record is None else [SendPeer(record.peer_address, payload)]

    def on_update(self, update: CacheUpdate, now_s: float) -> None:
        """Apply a peer's update of a cache store, and queue it for followers."""
        state = self._stores.states.get(update.store)
        if state is None:
            return
        self._queue(update, now_s)
        if self._peers.reads(update.store, state.spec.event_readers):
            return
        sent_at_s = now_s - update.age_s - UPDATE_TRANSIT_S
        if state.start_id == update.start_id and update.next_event < state.since:
            return
        if state.start_id != update.start_id and sent_at_s < state.confirmed_at_s:
            # The sender has not observed the restart of the cache store yet.
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

    def _queue(self, update: CacheUpdate, now_s: float) -> None:
        """Queue an update for followers, without the rows that the other reader has sent already.

        Events are numbered consecutively, so the newest of them are the last rows.
        """
        if not self._relays.serves_peers(now_s):
            return
        start_id, forwarded = self._forwarded.get(update.store, (update.start_id, 0))
        if start_id == update.start_id:
            new = max(0, update.next_event - forwarded)
            rows = update.rows[-new:] if new else ()
            update = msgspec.structs.replace(update, rows=rows)
            self._forwarded[update.store] = (start_id, max(forwarded, update.next_event))
        else:
            self._forwarded[update.store] = (update.start_id, update.next_event)
        self._queued.append((now_s, update))
        queued = [item for _, item in self._queued]
        excess = _count_rows(queued) - MAX_QUEUED_ROWS
        if excess > 0:
            times = [at_s for at_s, _ in self._queued]
            self._queued = list(zip(times, _without_oldest(queued, excess), strict=True))

    def on_batch(self, batch: CacheUpdateBatch, now_s: float) -> None:
        """Apply a relay's updates of all cache stores."""
        for update in batch.items:
            self.on_update(update, now_s)

    def due(self, followers: list[str], now_s: float) -> list[SendPeer]:
        """Return a relay's messages to its followers for which the link has room."""
        if not self._receivers and self._queued and now_s - self._sent_at_s >= BATCH_S:
            relays = self._relays.other_relays()
            self._receivers.extend(name for name in followers if name not in relays)
            self._batch = self._fitting(_merged(self._queued, now_s))
            self._queued, self._sent_at_s = [], now_s
        if not self._receivers or not self._link.has_room(now_s):
            return []
        waited_s = now_s - self._sent_at_s
        batch = CacheUpdateBatch(tuple(_aged(update, waited_s) for update in self._batch))
        size = len(encode(batch)) if self._link.limited else 0
        messages: list[SendPeer] = []
        while self._receivers and self._link.has_room(now_s):
            messages += self._send(self._receivers.popleft(), batch)
            self._link.take(size, now_s)
        return messages

    def _fitting(self, batch: tuple[CacheUpdate, ...]) -> tuple[CacheUpdate, ...]:
        """Return as much of a batch as the link has room for."""
        if not self._link.limited:
            return batch
        size = len(encode(CacheUpdateBatch(batch))) * len(self._receivers)
        excess = (1.0 - self._link.fits(size, ROUND_S)) * _count_rows(batch)
        return _without_oldest(batch, math.ceil(excess))


def _count_rows(updates: Iterable[CacheUpdate]) -> int:
    return sum(len(update.rows) for update in updates)


def _without_oldest(updates: Sequence[CacheUpdate], excess: int) -> tuple[CacheUpdate, ...]:
    """Return updates without their oldest new blocks, until there are ``excess`` fewer rows.

    Removed blocks are kept, since nobody may rely on them any more.
    """
    kept = []
    for update in updates:
        if excess > 0 and update.rows:
            removals = tuple(row for row in update.rows if not row.added)
            excess -= len(update.rows) - len(removals)
            update = msgspec.structs.replace(update, rows=removals)
        kept.append(update)
    return tuple(kept)


def _aged(update: CacheUpdate, by_s: float) -> CacheUpdate:
    """Return an update that was queued for a time."""
    clock_ms = None if update.clock_ms is None else update.clock_ms + int(by_s * MS)
    return msgspec.structs.replace(update, age_s=update.age_s + by_s, clock_ms=clock_ms)


def _merged(queued: list[tuple[float, CacheUpdate]], now_s: float) -> tuple[CacheUpdate, ...]:
    """Return the updates with rows in order, then the newest of each store if it has no rows."""
    found: list[CacheUpdate] = []
    newest: dict[str, CacheUpdate] = {}
    for at_s, update in queued:
        update = _aged(update, now_s - at_s)
        if update.rows:
            found.append(update)
        before = newest.get(update.store)
        if before is None or update.age_s <= before.age_s:
            newest[update.store] = update
    return (*found, *(update for update in newest.values() if not update.rows))
