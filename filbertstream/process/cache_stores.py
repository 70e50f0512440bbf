"""The stores of kept cache: what each holds, and whether it may be read from or saved to.

What a store holds is known from its events alone, and only while it answers: a store that restarted
is empty, and a part that another entry then saves again is incomplete for a while.  So a part is
fetched only where the store has answered within ``HOLDINGS_MAX_AGE_S``, a fetch must end within
``FETCH_TIMEOUT_S``, and nothing is saved to a store until ``SAVE_HOLDOFF_S`` after its restart was seen, when no
fetch by older knowledge can still run.
"""

import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from filbertstream.names import rank
from filbertstream.process.cache_index import BlockKey, CacheIndex
from filbertstream.process.relays import Relays
from filbertstream.version.routes import CacheStore

HOLDINGS_MAX_AGE_S: Final = 1.6
"""The age of a store's answer up to which what it holds is believed."""

FETCH_TIMEOUT_S: Final = 1.5
"""A fetch that has not ended after this is dropped by the runner."""

SAVE_HOLDOFF_S: Final = HOLDINGS_MAX_AGE_S + FETCH_TIMEOUT_S + 0.5
"""No saves for this long after a store's restart was seen."""

WAIT_S: Final = 0.5
"""How long a store may hold an event call open; bounds the age of its last answer."""

PASSED_ON_WAIT_S: Final = 0.3
"""The same in a fleet with relays, where the answer's way to all entries takes longer."""

PAUSE_S: Final = 0.25
"""Pause between two event calls, so that many events come with one."""

RETRY_S: Final = 0.4
"""Pause after an event call that failed."""

LIST_S: Final = 8.0
"""Interval of asking a store for all that it keeps; the answer holds up its transfers a little."""

SAVE_PENDING_S: Final = 2.0
"""A part that was sent to a store is not sent again for this long, whether it arrived or not."""

FULL_SHARE: Final = 0.97
"""The share of a store's capacity up to which it is filled."""

MS: Final = 1000.0


class CacheChange(NamedTuple):
    """A part was stored, or (``added`` False) dropped."""

    added: bool
    key: BlockKey
    tokens: int


class CacheEventsReceived(NamedTuple):
    """A holder's answer to an event call.

    ``clock_ms`` is the holder's clock; ``start_id`` changes when it restarts.
    """

    holder: str
    sent_at_s: float
    received_at_s: float
    start_id: int
    next_event: int
    clock_ms: int | None
    changes: tuple[CacheChange, ...]


class CacheEventsFailed(NamedTuple):
    """A holder did not answer an event call."""

    holder: str


class PollCacheEvents(NamedTuple):
    """Call a holder for its events after ``since``."""

    holder: str
    address: str
    since: int
    wait_s: float


class ListCacheBlocks(NamedTuple):
    """Ask a holder for all that it keeps: its events may get lost."""

    holder: str
    address: str


class CacheBlocksListed(NamedTuple):
    """All whole parts that a holder keeps, and the event that follows the list."""

    holder: str
    sent_at_s: float
    start_id: int
    next_event: int
    held: tuple[tuple[BlockKey, int], ...]
    partial_tokens: int


class FreeBlocks(NamedTuple):
    """Free parts at a store, unless it restarted or ``until_ms`` of its clock has passed."""

    holder: str
    address: str
    start_id: int
    until_ms: int
    keys: tuple[BlockKey, ...]


class BlocksFreed(NamedTuple):
    """A store has freed parts."""

    holder: str
    keys: tuple[BlockKey, ...]


class StoreState:
    """One store."""

    def __init__(self, name: str, spec: CacheStore) -> None:
        self.name = name
        self.spec = spec
        self.start_id: int | None = None
        self.since = 0
        self.confirmed_at_s = float("-inf")
        self.save_holdoff_until_s = float("-inf")
        self.used_tokens = 0
        self.next_call_s = 0.0
        self.calling = False
        self.next_list_s: float | None = None
        self.partial_tokens = 0
        self._clock: tuple[int, float] | None = None

    def fetchable(self, now_s: float) -> bool:
        """Whether parts may be fetched from here."""
        return now_s - self.confirmed_at_s < HOLDINGS_MAX_AGE_S

    def fits(self, tokens: int, now_s: float) -> bool:
        """Whether a part may be saved here."""
        if now_s < self.save_holdoff_until_s or not self.fetchable(now_s):
            return False
        used = self.used_tokens + self.partial_tokens
        return used + tokens < FULL_SHARE * self.spec.capacity_tokens

    def note_clock(self, clock_ms: int, received_at_s: float) -> None:
        """Take in the store's clock; the answer's way back makes it seem a little behind."""
        self._clock = (clock_ms, received_at_s)

    def clock_ms(self, now_s: float) -> int | None:
        """Return the store's clock, at most what it really shows."""
        if self._clock is None:
            return None
        clock_ms, at_s = self._clock
        return clock_ms + int((now_s - at_s) * MS)


class CacheStores:
    """All stores of the configuration in force."""

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
        self.states: dict[str, StoreState] = {}
        self._pending: dict[BlockKey, float] = {}

    def configure(self, stores: Iterable[tuple[str, CacheStore]]) -> None:
        """Take in the stores that a configuration names."""
        named = dict(stores)
        for name in list(self.states):
            if named.get(name) != self.states[name].spec:
                del self.states[name]
                self._index.forget(name)
        for name, spec in named.items():
            if name not in self.states:
                self.states[name] = StoreState(name, spec)

    def tick(self, now_s: float) -> list[PollCacheEvents | ListCacheBlocks]:
        """Return the calls that are due."""
        due: list[PollCacheEvents | ListCacheBlocks] = []
        large = self._relays is not None and not self._relays.small_fleet
        stands_in = self._relays is not None and self._relays.serves_peers(now_s)
        for state in self.states.values():
            reads = self._reads(state.name, state.spec.event_readers)
            if not reads and (state.fetchable(now_s) or not stands_in):
                continue
            if reads and state.next_list_s is not None and now_s >= state.next_list_s:
                state.next_list_s = now_s + LIST_S * self._rng.uniform(0.8, 1.2)
                due.append(ListCacheBlocks(state.name, state.spec.address))
            if not state.calling and now_s >= state.next_call_s:
                state.calling = True
                wait_s = PASSED_ON_WAIT_S if large else WAIT_S
                due.append(PollCacheEvents(state.name, state.spec.address, state.since, wait_s))
        return due

    def on_events(self, event: CacheEventsReceived) -> bool:
        """Take in a store's answer; whether it shows a restart."""
        state = self.states.get(event.holder)
        if state is None:
            return False
        state.calling = False
        state.next_call_s = event.received_at_s + PAUSE_S
        restarted = state.start_id is not None and state.start_id != event.start_id
        if state.start_id != event.start_id:
            self._index.forget(state.name)
            state.used_tokens = 0
            # Also at this entry's own start: the store may have restarted just before.
            state.save_holdoff_until_s = event.received_at_s + SAVE_HOLDOFF_S
            state.start_id = event.start_id
            state.next_list_s = event.received_at_s + LIST_S * self._rng.uniform(0.0, 0.3)
        state.since = event.next_event
        state.confirmed_at_s = max(state.confirmed_at_s, event.sent_at_s)
        if event.clock_ms is not None:
            state.note_clock(event.clock_ms, event.received_at_s)
        for change in event.changes:
            self._take(state, change)
        return restarted

    def _take(self, state: StoreState, change: CacheChange) -> None:
        known = self._index.holders(change.key).get(state.name)
        if change.added:
            self._index.add(state.name, change.key, change.tokens)
            state.used_tokens += change.tokens - (known or 0)
            self._pending.pop(change.key, None)
        elif known is not None:
            self._index.remove(state.name, change.key)
            state.used_tokens -= known

    def on_listed(self, event: CacheBlocksListed) -> None:
        """Take in all that a store keeps, unless it restarted since."""
        state = self.states.get(event.holder)
        if state is None or state.start_id != event.start_id or event.next_event < state.since:
            return
        listed = dict(event.held)
        for key in self._index.held_by(state.name):
            if key not in listed:
                self._index.remove(state.name, key)
        for key, tokens in listed.items():
            self._index.add(state.name, key, tokens)
        state.used_tokens = sum(listed.values())
        state.partial_tokens = event.partial_tokens
        state.since = event.next_event

    def on_freed(self, event: BlocksFreed) -> None:
        """Take in that parts were freed; the event that tells so may get lost."""
        state = self.states.get(event.holder)
        if state is not None:
            for key in event.keys:
                self._take(state, CacheChange(False, key, 0))

    def on_missed(self, event: CacheEventsFailed, now_s: float) -> None:
        """Take in that a store did not answer."""
        state = self.states.get(event.holder)
        if state is not None:
            state.calling = False
            state.next_call_s = now_s + RETRY_S

    def source(self, key: BlockKey, tokens: int, data_center: str, now_s: float) -> str | None:
        """Return the store to fetch a whole part from, the nearest one."""
        best: tuple[bool, str] | None = None
        for name, held in self._index.holders(key).items():
            state = self.states.get(name)
            if state is None or held < tokens or not state.fetchable(now_s):
                continue
            option = (state.spec.data_center != data_center, name)
            best = option if best is None or option < best else best
        return None if best is None else best[1]

    def address(self, name: str) -> str:
        """Return a store's address."""
        return self.states[name].spec.address

    def fetch_until_ms(self, now_s: float) -> int | None:
        """Return the moment on the targets' clock by which a fetch must have ended."""
        clocks = [state.clock_ms(now_s) for state in self.states.values()]
        known = [clock for clock in clocks if clock is not None]
        return max(known) + int(FETCH_TIMEOUT_S * MS) if known else None

    def save_to(self, key: BlockKey, tokens: int, now_s: float) -> str | None:
        """Return the store that a part should be saved to, if any, and count it as sent.

        A part that only a silent store holds is saved again: its return may be far off.
        """
        if self._pending.get(key, float("-inf")) > now_s:
            return None
        if self.source(key, tokens, "", now_s) is not None:
            return None
        roomy = [state for state in self.states.values() if state.fits(tokens, now_s)]
        if not roomy:
            return None
        # The same store from every entry, so that no part is kept twice.
        chosen = max(roomy, key=lambda state: rank(state.name, key[1]))
        self._pending[key] = now_s + SAVE_PENDING_S
        if len(self._pending) > 10_000:
            self._pending = {item: until for item, until in self._pending.items() if until > now_s}
        return chosen.name
