"""Who may order runners: one entry at a time, by a record in the platform's store.

A holder renews the record while it works and releases it when done, so an idle fleet writes
nothing.  A renewal is good for ``RENEWAL_VALID_S`` from the moment at which it was *sent*; whoever takes
the record over waits a whole lease after the last moment at which the holder before could have
ordered.  The record carries a fencing number that rises with each holder, and the runners that are
being swapped, which all entries then leave out, and those that were found to have new weights:
registrations don't tell, and an entry that thinks a runner old would not send there and learn.
"""

import random
from typing import Final, NamedTuple

import msgspec

RENEW_S: Final = 0.4
"""Interval of renewals while there is work."""

RENEWAL_VALID_S: Final = 1.0
"""How long a renewal lets its holder order, from the moment it was sent."""

LAPSE_S: Final = 1.4
"""A record that stood still this long while active may be taken over."""

ORDER_TRANSIT_S: Final = 0.3
"""An order may still arrive this long after it was sent."""

HANDOVER_S: Final = 0.2
"""The holder before gets this head start on a released record, since it needs no gap."""

DRAW_S: Final = 0.1
"""Entries that would take a record at the same time are spread over this."""

WRITE_PATIENCE_S: Final = 2.0
"""A write without an answer is given up after this time."""

LOADED_LIMIT: Final = 256
"""Runners of which the record tells the weights, the last ones found; 12 KB at most."""

Loaded = dict[str, dict[str, int]]
"""Weight versions by model, by runner."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """What the store holds; ``beat`` tells the writes of one holder apart.

    ``retired`` names for each model the weight version below which no cached part is fetched from
    a store any more, so that such parts can be freed.  ``loaded`` are weights that the holder found
    on runners after swaps.
    """

    holder: str
    fence: int
    active: bool
    beat: int
    swapping: list[str] = []
    retired: dict[str, int] = {}
    loaded: Loaded = {}


class RolloutState(NamedTuple):
    """What the holder of the duty has to tell: the fields of the record."""

    swapping: tuple[str, ...]
    retired: dict[str, int]
    loaded: Loaded


class WriteLease(NamedTuple):
    """Write the record: create it for revision 0, else replace that revision."""

    record: LeaseRecord
    revision: int


class _Pending(NamedTuple):
    record: LeaseRecord
    sent_at_s: float


class RolloutLease:
    """This entry's view of the record."""

    def __init__(self, own: str, lease_s: float, rng: random.Random) -> None:
        self._own = own
        self._lease_s = lease_s
        self._rng = rng
        self._record: LeaseRecord | None = None
        self._revision = 0
        self._seen_at_s = 0.0
        self._known = False
        self._pending: _Pending | None = None
        self._renewed_at_s = float("-inf")
        self._order_from_s = float("inf")
        self._wanted_since_s: float | None = None
        self._draw_s = 0.0
        self._beat = 0
        self._retired_at_s: dict[str, float] = {}

    def set_lease(self, lease_s: float) -> None:
        """Go by another lease from the next takeover on."""
        self._lease_s = lease_s

    @property
    def retired(self) -> dict[str, int]:
        """The retired versions by model, by the record last seen."""
        return {} if self._record is None else self._record.retired

    def retired_for_s(self, model: str, version: int, now_s: float) -> float:
        """Return how long versions below ``version`` have been retired, as far as is known."""
        if self.retired.get(model, 0) < version:
            return 0.0
        return now_s - self._retired_at_s.get(model, now_s)

    @property
    def revision(self) -> int:
        """The revision of the record last seen, 0 for none."""
        return self._revision

    @property
    def fence(self) -> int:
        """The fencing number of the record that is held."""
        return 0 if self._record is None else self._record.fence

    def swapping(self, now_s: float) -> frozenset[str]:
        """Return the runners that the holder is about to swap, by the record last seen.

        A record that was not renewed for so long that its holder may order nothing names none.
        """
        if self._record is None or not self._record.active:
            return frozenset()
        if now_s - self._seen_at_s > RENEWAL_VALID_S + ORDER_TRANSIT_S:
            return frozenset()
        return frozenset(self._record.swapping)

    @property
    def _mine(self) -> bool:
        return self._record is not None and self._record.holder == self._own

    def may_order(self, now_s: float) -> bool:
        """Whether an order may be sent now; look right before each."""
        if self._record is None or not self._mine or not self._record.active:
            return False
        return self._order_from_s <= now_s < self._renewed_at_s + RENEWAL_VALID_S

    def on_seen(self, record: LeaseRecord | None, revision: int, now_s: float) -> None:
        """Take in the record as a listing, a watch or a conflict shows it."""
        self._known = True
        if record is None or revision <= self._revision:
            return
        for model, version in record.retired.items():
            if self.retired.get(model) != version:
                self._retired_at_s[model] = now_s
        self._record, self._revision, self._seen_at_s = record, revision, now_s
        pending = self._pending
        if pending is None:
            return
        if record.holder == self._own and record.beat == pending.record.beat:
            self._renewed_at_s = pending.sent_at_s
            self._pending = None
        elif record.holder != self._own:
            self._pending = None

    def on_write_rejected(self) -> None:
        """Take in that the last write was not applied and never will be."""
        self._pending = None

    def tick(
        self, now_s: float, wanted: bool, work: RolloutState, reserve_s: float = 0.0
    ) -> WriteLease | None:
        """Return the write that is due; ``wanted`` tells whether there is work.

        ``reserve_s`` is how much longer than others this entry waits before it takes the record.
        """
        if not self._known:
            return None
        if self._pending is not None:
            if now_s - self._pending.sent_at_s < WRITE_PATIENCE_S:
                return None
            self._pending = None
        if self._mine and self._record is not None and self._record.active:
            return self._renew(self._record, now_s, wanted, work)
        if not wanted:
            self._wanted_since_s = None
            return None
        return self._take(now_s, reserve_s)

    def _renew(
        self, record: LeaseRecord, now_s: float, wanted: bool, work: RolloutState
    ) -> WriteLease | None:
        told = msgspec.structs.replace(
            record,
            active=wanted,
            swapping=list(work.swapping) if wanted else [],
            retired=record.retired | work.retired,
            loaded=dict([*(record.loaded | work.loaded).items()][-LOADED_LIMIT:]),
        )
        if not wanted:
            self._wanted_since_s = None
        elif told == record and now_s - self._renewed_at_s < RENEW_S:
            return None
        return self._write(msgspec.structs.replace(told, beat=self._next()), now_s)

    def _take(self, now_s: float, reserve_s: float) -> WriteLease | None:
        record = self._record
        if self._wanted_since_s is None:
            self._wanted_since_s = now_s
            self._draw_s = self._rng.uniform(0.0, DRAW_S + reserve_s)
        if record is not None and record.active:
            if now_s - self._seen_at_s < LAPSE_S + reserve_s + self._draw_s:
                return None
            self._order_from_s = self._seen_at_s + RENEWAL_VALID_S + ORDER_TRANSIT_S + self._lease_s
        elif record is not None and record.holder == self._own:
            # A gap that the first taking had to keep may not be over yet.
            self._order_from_s = max(now_s, self._order_from_s)
        else:
            head_start_s = HANDOVER_S if record is not None else 0.0
            if now_s - self._wanted_since_s < head_start_s + reserve_s + self._draw_s:
                return None
            gap_s = ORDER_TRANSIT_S + self._lease_s if record is not None else 0.0
            self._order_from_s = max(now_s, self._seen_at_s + gap_s)
        fence = 1 if record is None else record.fence + 1
        if record is not None and record.holder == self._own:
            fence = record.fence
        # Runners that the holder before was swapping are still left out.
        swapping = [] if record is None else record.swapping
        loaded = {} if record is None else record.loaded
        taken = LeaseRecord(self._own, fence, True, self._next(), swapping, self.retired, loaded)
        return self._write(taken, now_s)

    def _next(self) -> int:
        self._beat += 1
        return self._beat

    def _write(self, record: LeaseRecord, now_s: float) -> WriteLease:
        self._pending = _Pending(record, now_s)
        return WriteLease(record, self._revision)
