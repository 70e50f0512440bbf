"""Cache stores: the blocks that each holds, and whether it may be fetched from or saved to.

The contents of a cache store are known from its events and listings alone, and only while it
responds: a restarted one is empty, and a block that another entry then saves again is incomplete
for a while.  A fetch and a save of the same block after a restart are kept apart by these rules:

- An entry that has observed the restart saves nothing until ``SAVE_HOLDOFF_S`` later; by then no
  fetch that is based on the contents before the restart can still run, since a cache store counts
  for ``HOLDINGS_MAX_AGE_S`` after its last response and a fetch must end within
  ``FETCH_TIMEOUT_S``.
- A restart cuts or refuses event calls, and a failed call ends fetches and saves until the next
  response.  So an entry that reads events acts on the contents before a restart for no longer than
  the pause between two calls.
- In that time an entry doesn't save a block that it knows.  One that has not had the block's event
  may, so until ``SETTLING_S`` after the event (``UNTOLD_S`` after a listing, if the event was lost)
  a fetch must end within ``NEW_BLOCK_FETCH_TIMEOUT_S``, before the cache store is back.
- Readers save only to cache stores whose blocks they have listed.
"""

import random
from collections.abc import Callable, Container, Iterable
from typing import Final, NamedTuple

from filbertstream.names import rank
from filbertstream.process.cache_index import BlockKey, CacheIndex
from filbertstream.process.relays import Relays
from filbertstream.version.routes import CacheStore

HOLDINGS_MAX_AGE_S: Final = 1.6
"""Age of a cache store's last response up to which its known contents are relied on."""

FETCH_TIMEOUT_S: Final = 1.5
"""A fetch that has not ended after this is aborted by the runner."""

SAVE_HOLDOFF_S: Final = HOLDINGS_MAX_AGE_S + FETCH_TIMEOUT_S + 0.5
"""No blocks are saved to a cache store for this long after its restart was observed."""

SAVE_DELAY_S: Final = 1.5
"""A runner begins to save within this time after the save was chosen: prompts are placed where the
queue is shorter than their objective."""

NEW_BLOCK_FETCH_TIMEOUT_S: Final = 0.25
"""The time limit of a fetch of a block that not all entries need to know yet.  With the pause
between two event calls it is shorter than a cache store needs to start again."""

SETTLING_S: Final = HOLDINGS_MAX_AGE_S + SAVE_DELAY_S
"""A block whose event this entry got so long ago is known to all entries that may save, and no save
that was chosen without that knowledge begins any more."""

EVENT_WAIT_S: Final = 0.5
"""Long-poll time of an event call; bounds the age of a cache store's last response."""

RELAYED_EVENT_WAIT_S: Final = 0.3
"""Long-poll time in a fleet with relays, where a response takes longer to reach all entries."""

EVENT_PAUSE_S: Final = 0.25
"""Pause between two event calls, so that one call returns many events."""

EVENT_RETRY_S: Final = 0.4
"""Pause after a failed event call."""

LIST_INTERVAL_S: Final = 8.0
"""Interval of full listings of a cache store, which delay its transfers a little."""

LISTING_MAX_AGE_S: Final = 1.5 * LIST_INTERVAL_S
"""Age of the last listing up to which blocks are saved: their events may have been lost."""

UNTOLD_S: Final = LISTING_MAX_AGE_S + SETTLING_S
"""The same time as ``SETTLING_S`` for a block whose event was lost: others must have listed it."""

SAVE_PENDING_S: Final = 2.0
"""A block that was sent to a cache store is not sent again within this time, arrived or not."""

FILL_FRACTION: Final = 0.97
"""Fraction of a cache store's capacity up to which it is filled."""

MS: Final = 1000.0


class CacheChange(NamedTuple):
    """A block was stored, or (``added`` False) dropped."""

    added: bool
    key: BlockKey
    tokens: int


class CacheEventsReceived(NamedTuple):
    """A holder's response to an event call.

    ``clock_ms`` is the holder's clock; ``start_id`` changes when the holder restarts.
    """

    holder: str
    sent_at_s: float
    received_at_s: float
    start_id: int
    next_event: int
    clock_ms: int | None
    changes: tuple[CacheChange, ...]


class CacheEventsFailed(NamedTuple):
    """An event call to a holder failed."""

    holder: str


class PollCacheEvents(NamedTuple):
    """Long-poll a holder for its events after ``since``."""

    holder: str
    address: str
    since: int
    wait_s: float


class ListCacheBlocks(NamedTuple):
    """List all blocks of a holder, since events may get lost."""

    holder: str
    address: str


class CacheBlocksListed(NamedTuple):
    """All complete blocks of a holder, and the number of the event that follows the list."""

    holder: str
    sent_at_s: float
    start_id: int
    next_event: int
    held: tuple[tuple[BlockKey, int], ...]
    partial_tokens: int


class FreeBlocks(NamedTuple):
    """Free blocks at a cache store, unless it has restarted or its clock is past ``until_ms``."""

    holder: str
    address: str
    start_id: int
    until_ms: int
    keys: tuple[BlockKey, ...]


class BlocksFreed(NamedTuple):
    """A cache store has freed blocks."""

    holder: str
    keys: tuple[BlockKey, ...]


class CacheStoreState:
    """The state of one cache store as observed by this entry."""

    def __init__(self, name: str, spec: CacheStore) -> None:
        self.name = name
        self.spec = spec
        self.start_id: int | None = None
        self.since = 0
        self.confirmed_at_s = float("-inf")
        self.call_failed = False
        self.save_holdoff_until_s = float("-inf")
        self.used_tokens = 0
        self.next_call_s = 0.0
        self.call_open = False
        self.next_list_s: float | None = None
        self.partial_tokens = 0
        self.listed_at_s = float("-inf")
        self.settles_at_s: dict[BlockKey, float] = {}
        self._clock: tuple[int, float] | None = None

    def fetchable(self, now_s: float) -> bool:
        """Whether blocks may be fetched from this store.

        An event call that has failed may be the first sign of a restart.
        """
        return not self.call_failed and now_s - self.confirmed_at_s < HOLDINGS_MAX_AGE_S

    def settled(self, key: BlockKey, now_s: float) -> bool:
        """Whether every entry that may save knows that this store holds a block."""
        return now_s >= self.settles_at_s.get(key, now_s)

    def note_new(self, key: BlockKey, settles_at_s: float) -> None:
        """Record when a new block will be settled, in the order of these records."""
        self.settles_at_s.pop(key, None)
        self.settles_at_s[key] = settles_at_s

    def forget_settled(self, now_s: float) -> None:
        """Drop the oldest records up to one that is still needed."""
        while self.settles_at_s:
            key = next(iter(self.settles_at_s))
            if not self.settled(key, now_s):
                break
            del self.settles_at_s[key]

    def fits(self, tokens: int, now_s: float) -> bool:
        """Whether a block of this size may be saved to this store."""
        if now_s < self.save_holdoff_until_s or not self.fetchable(now_s):
            return False
        used = self.used_tokens + self.partial_tokens
        return used + tokens < FILL_FRACTION * self.spec.capacity_tokens

    def note_clock(self, clock_ms: int, received_at_s: float) -> None:
        """Record the store's clock; the response's transit time makes it appear a little behind."""
        self._clock = (clock_ms, received_at_s)

    def clock_ms(self, now_s: float) -> int | None:
        """Return an estimate of the store's clock that is never ahead of it."""
        if self._clock is None:
            return None
        clock_ms, at_s = self._clock
        return clock_ms + int((now_s - at_s) * MS)


class CacheStores:
    """All cache stores of the configuration in force."""

    def __init__(
        self,
        index: CacheIndex,
        rng: random.Random,
        reads: Callable[[str, int], bool] = lambda store, limit: True,
        relays: Relays | None = None,
    ) -> None:
        self._index = index
        self._reads = reads
        self._relays = relays
        self._rng = rng
        self.states: dict[str, CacheStoreState] = {}
        self._pending: dict[BlockKey, float] = {}

    def configure(self, stores: Iterable[tuple[str, CacheStore]]) -> None:
        """Apply the cache stores of a configuration."""
        named = dict(stores)
        for name in list(self.states):
            if named.get(name) != self.states[name].spec:
                del self.states[name]
                self._index.forget(name)
        for name, spec in named.items():
            if name not in self.states:
                self.states[name] = CacheStoreState(name, spec)

    def tick(self, now_s: float) -> list[PollCacheEvents | ListCacheBlocks]:
        """Return the calls that are due."""
        due: list[PollCacheEvents | ListCacheBlocks] = []
        large_fleet = self._relays is not None and not self._relays.small_fleet
        serves_peers = self._relays is not None and self._relays.serves_peers(now_s)
        for state in self.states.values():
            reads = self._is_reader(state)
            if reads and state.next_list_s is not None and now_s >= state.next_list_s:
                state.next_list_s = now_s + LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2)
                due.append(ListCacheBlocks(state.name, state.spec.address))
            if not reads and (state.fetchable(now_s) or not serves_peers):
                continue
            if not state.call_open and now_s >= state.next_call_s:
                state.call_open = True
                wait_s = RELAYED_EVENT_WAIT_S if large_fleet else EVENT_WAIT_S
                due.append(PollCacheEvents(state.name, state.spec.address, state.since, wait_s))
        return due

    def _is_reader(self, state: CacheStoreState) -> bool:
        return self._reads(state.name, state.spec.event_readers)

    def _knows_contents(self, state: CacheStoreState, now_s: float) -> bool:
        """Whether this entry knows all blocks of a cache store that others may fetch.

        An entry that gets a cache store's events from peers never lists it.
        """
        return not self._is_reader(state) or now_s - state.listed_at_s < LISTING_MAX_AGE_S

    def on_events(self, event: CacheEventsReceived) -> bool:
        """Apply a cache store's events; return whether the store has restarted."""
        state = self.states.get(event.holder)
        if state is None:
            return False
        state.call_open = state.call_failed = False
        state.next_call_s = event.received_at_s + EVENT_PAUSE_S
        restarted = state.start_id is not None and state.start_id != event.start_id
        if state.start_id != event.start_id:
            self._index.forget(state.name)
            state.used_tokens = 0
            state.listed_at_s = float("-inf")
            state.settles_at_s.clear()
            # At this entry's own start too: the store may have restarted just before.
            state.save_holdoff_until_s = event.received_at_s + SAVE_HOLDOFF_S
            state.start_id = event.start_id
            state.next_list_s = event.received_at_s + LIST_INTERVAL_S * self._rng.uniform(0.0, 0.3)
        state.since = event.next_event
        state.confirmed_at_s = max(state.confirmed_at_s, event.sent_at_s)
        if event.clock_ms is not None:
            state.note_clock(event.clock_ms, event.received_at_s)
        for change in event.changes:
            self._apply(state, change)
            if change.added:
                state.note_new(change.key, event.received_at_s + SETTLING_S)
        state.forget_settled(event.received_at_s)
        return restarted

    def _apply(self, state: CacheStoreState, change: CacheChange) -> None:
        known = self._index.holders(change.key).get(state.name)
        if change.added:
            self._index.add(state.name, change.key, change.tokens)
            state.used_tokens += change.tokens - (known or 0)
            self._pending.pop(change.key, None)
        elif known is not None:
            self._index.remove(state.name, change.key)
            state.settles_at_s.pop(change.key, None)
            state.used_tokens -= known

    def on_listed(self, event: CacheBlocksListed, now_s: float) -> None:
        """Apply a full listing of a cache store, unless it is older than the store's state."""
        state = self.states.get(event.holder)
        if state is None or state.start_id != event.start_id or event.next_event < state.since:
            return
        listed = dict(event.held)
        known = self._index.held_by(state.name)
        for key in known:
            if key not in listed:
                self._index.remove(state.name, key)
                state.settles_at_s.pop(key, None)
        # Of the blocks in its first listing an entry can't have had the events.
        first = state.listed_at_s == float("-inf")
        settles_at_s = now_s + (SETTLING_S if first else UNTOLD_S)
        for key, tokens in listed.items():
            if key not in known:
                state.note_new(key, settles_at_s)
            self._index.add(state.name, key, tokens)
        state.listed_at_s = event.sent_at_s
        state.used_tokens = sum(listed.values())
        state.partial_tokens = event.partial_tokens
        state.since = event.next_event

    def on_freed(self, event: BlocksFreed) -> None:
        """Drop freed blocks; the event that reports them may get lost."""
        state = self.states.get(event.holder)
        if state is not None:
            for key in event.keys:
                self._apply(state, CacheChange(False, key, 0))

    def on_events_failed(self, event: CacheEventsFailed, now_s: float) -> None:
        """Schedule a retry after an event call has failed."""
        state = self.states.get(event.holder)
        if state is not None:
            state.call_open = False
            state.call_failed = True
            state.next_call_s = now_s + EVENT_RETRY_S

    def source(
        self, key: BlockKey, tokens: int, data_center: str, now_s: float, skip: Container[str] = ()
    ) -> str | None:
        """Return the cache store to fetch a complete block from, the local data center's first."""
        best: tuple[bool, str] | None = None
        for name, held in self._index.holders(key).items():
            state = self.states.get(name)
            if state is None or held < tokens or name in skip or not state.fetchable(now_s):
                continue
            option = (state.spec.data_center != data_center, name)
            best = option if best is None or option < best else best
        return None if best is None else best[1]

    def address(self, name: str) -> str:
        """Return a cache store's address."""
        return self.states[name].spec.address

    def fetch_until_ms(self, keys: Iterable[BlockKey], now_s: float) -> int | None:
        """Return the time on the targets' clock by which a fetch of blocks must have ended."""
        states = self.states.values()
        clocks = [state.clock_ms(now_s) for state in states]
        known = [clock for clock in clocks if clock is not None]
        if not known:
            return None
        settled = all(state.settled(key, now_s) for key in keys for state in states)
        timeout_s = FETCH_TIMEOUT_S if settled else NEW_BLOCK_FETCH_TIMEOUT_S
        return max(known) + int(timeout_s * MS)

    def save_to(
        self, key: BlockKey, tokens: int, now_s: float, skip: Container[str] = ()
    ) -> str | None:
        """Return the cache store to save a block to, if any, and count the block as sent.

        A block that only unresponsive stores, or those to skip, hold is saved again.
        """
        if self._pending.get(key, 0.0) > now_s or self.source(key, tokens, "", now_s, skip):
            return None
        fitting = [
            state
            for name, state in self.states.items()
            if name not in skip and self._knows_contents(state, now_s)
            if state.fits(tokens, now_s)
        ]
        if not fitting:
            return None
        # Every entry chooses the same store, so that no block is stored twice.
        chosen = max(fitting, key=lambda state: rank(state.name, key[1]))
        self._pending[key] = now_s + SAVE_PENDING_S
        if len(self._pending) > 10_000:
            self._pending = {item: until for item, until in self._pending.items() if until > now_s}
        return chosen.name
