"""The roll-out lease: one entry at a time, the leader, may send orders to runners.

The lease is a record in the object store.  The leader renews it while there is work and releases it
afterwards, so an idle fleet writes nothing.  A renewal is valid for ``RENEWAL_VALID_S`` from the
time at which it was *sent*.  An entry that takes over waits a full lease after the last time at
which the previous leader could have sent an order.  The record holds a fencing number that rises
with each leader, the runners that are being swapped, which all entries then leave out of placement,
and the weights that the leader found on runners after swaps.  Registrations don't contain these,
and an entry that takes a runner's weights for outdated would send it no request whose response
shows them.

After a restore of the object store the record may be missing or that of an earlier leader, while
the last one may still send orders.  The fencing number therefore contains the epoch of the store,
and a leader of a new epoch keeps the gap from the time at which it learned of the restore.
"""

import random
from typing import Final, NamedTuple

import msgspec

from filbertstream.epoch_number import NO_REVISION, EpochNumber

RENEW_INTERVAL_S: Final = 0.4
"""Interval of renewals (heartbeats) while there is work."""

RENEWAL_VALID_S: Final = 1.0
"""Time after the send of a renewal for which the leader may send orders."""

TAKEOVER_AFTER_S: Final = 1.4
"""An active record that has not changed for this long may be taken over."""

ORDER_TRANSIT_S: Final = 0.3
"""Maximum time from the send of an order to its arrival."""

HANDOVER_HEAD_START_S: Final = 0.2
"""Head start of the previous leader on a released record, since it needs no gap."""

TAKEOVER_JITTER_S: Final = 0.1
"""Random delay that spreads entries that would take over at the same time."""

WRITE_TIMEOUT_S: Final = 2.0
"""A write without a response is given up after this time."""

LOADED_LIMIT: Final = 256
"""Maximum number of runners in ``loaded``, the last ones found; 12 KB at most."""

Loaded = dict[str, dict[str, int]]
"""Weight versions by model, by runner."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """The record in the object store; the heartbeat ``beat`` distinguishes the writes of a leader.

    ``retired`` is by model the weight version below which no cache block is fetched from a cache
    store any more, so that such blocks can be freed.  ``loaded`` are the weights that the leader
    found on runners after swaps.
    """

    holder: str
    fence: int
    active: bool
    beat: int
    swapping: list[str] = []
    retired: dict[str, int] = {}
    loaded: Loaded = {}


class RolloutState(NamedTuple):
    """The state of the roll-out that the leader publishes in the record."""

    swapping: tuple[str, ...]
    retired: dict[str, int]
    loaded: Loaded


class WriteLease(NamedTuple):
    """Write the record: create it for ``NO_REVISION``, else replace that revision."""

    record: LeaseRecord
    revision: EpochNumber


class _Pending(NamedTuple):
    record: LeaseRecord
    sent_at_s: float


class RolloutLease:
    """This entry's view of the lease record, and its attempts to take and renew the lease."""

    def __init__(self, name: str, lease_s: float, rng: random.Random) -> None:
        self._name = name
        self._lease_s = lease_s
        self._rng = rng
        self._record: LeaseRecord | None = None
        self._revision = NO_REVISION
        self._read_at_s = 0.0
        self._observed = False
        self._pending: _Pending | None = None
        self._renewed_at_s = float("-inf")
        self._order_from_s = float("inf")
        self._work_since_s: float | None = None
        self._jitter_s = 0.0
        self._heartbeat = 0
        self._retired_at_s: dict[str, float] = {}
        self._retired: dict[str, int] = {}
        self._epoch = 0
        self._last_fence = EpochNumber(0, 0)
        self._gap_until_s = float("-inf")
        self.recovered = True

    def on_restored(self, epoch: int, now_s: float) -> None:
        """Give up the lease; only its holder may take it again without the gap."""
        gap_s = 0.0
        if not self.may_order(now_s):
            gap_s = RENEWAL_VALID_S + ORDER_TRANSIT_S + self._lease_s
        self._gap_until_s = max(self._gap_until_s, now_s + gap_s)
        self._epoch = epoch
        self._renewed_at_s = float("-inf")
        self._pending = None
        self._observed = False

    @property
    def _current_fence(self) -> EpochNumber:
        return EpochNumber.from_packed(0 if self._record is None else self._record.fence)

    def set_lease(self, lease_s: float) -> None:
        """Change the lease; this applies from the next takeover on."""
        self._lease_s = lease_s

    @property
    def retired(self) -> dict[str, int]:
        """The retired versions by model; they stay retired if a restored record lacks them."""
        return self._retired

    def retired_for_s(self, model: str, version: int, now_s: float) -> float:
        """Return how long ago versions below ``version`` were observed to be retired, or 0."""
        if self.retired.get(model, 0) < version:
            return 0.0
        return now_s - self._retired_at_s.get(model, now_s)

    @property
    def revision(self) -> EpochNumber:
        """The revision of the last observed record, ``NO_REVISION`` without one."""
        return self._revision

    @property
    def fence(self) -> int:
        """The fencing number of the last observed record, 0 without one."""
        return 0 if self._record is None else self._record.fence

    def swapping(self, now_s: float) -> frozenset[str]:
        """Return the runners that the leader is about to swap, by the last observed record.

        There are none if the record has not been renewed for so long that its leader may no longer
        send orders.
        """
        if self._record is None or not self._record.active:
            return frozenset()
        if now_s - self._read_at_s > RENEWAL_VALID_S + ORDER_TRANSIT_S:
            return frozenset()
        return frozenset(self._record.swapping)

    @property
    def _is_holder(self) -> bool:
        """Whether this entry holds the lease, by a record of the current epoch."""
        if self._record is None or self._record.holder != self._name:
            return False
        return self._revision.epoch == self._epoch and self._current_fence.epoch == self._epoch

    def may_order(self, now_s: float) -> bool:
        """Whether this entry may send an order now; to be checked right before each order."""
        if self._record is None or not self._is_holder or not self._record.active:
            return False
        return self._order_from_s <= now_s < self._renewed_at_s + RENEWAL_VALID_S

    def on_observed(self, record: LeaseRecord | None, revision: EpochNumber, now_s: float) -> None:
        """Apply the record as observed by a listing, a watch or a write conflict."""
        if revision.epoch < self._epoch:
            return
        self._epoch = revision.epoch
        self._observed = True
        if record is None:
            if self._revision.epoch < revision.epoch:
                self._record, self._revision, self._read_at_s = None, NO_REVISION, now_s
            return
        if revision <= self._revision:
            return
        for model, version in record.retired.items():
            if self._retired.get(model, 0) < version:
                self._retired[model] = version
                self._retired_at_s[model] = now_s
        self._record, self._revision, self._read_at_s = record, revision, now_s
        self._last_fence = max(self._last_fence, self._current_fence)
        pending = self._pending
        if pending is None:
            return
        if record.holder == self._name and record.beat == pending.record.beat:
            self._renewed_at_s = pending.sent_at_s
            self._pending = None
        elif record.holder != self._name:
            self._pending = None

    def on_write_refused(self) -> None:
        """Record that the last write was not applied and never will be."""
        self._pending = None

    def tick(
        self, now_s: float, has_work: bool, state: RolloutState, extra_delay_s: float = 0.0
    ) -> WriteLease | None:
        """Return the write that is due, if any.

        ``has_work`` states whether there is roll-out work, and ``extra_delay_s`` how much longer
        than its peers this entry waits before it takes over.
        """
        if not self._observed:
            return None
        if self._pending is not None:
            if now_s - self._pending.sent_at_s < WRITE_TIMEOUT_S:
                return None
            self._pending = None
        if self._is_holder and self._record is not None and self._record.active:
            return self._renew(self._record, now_s, has_work, state)
        if not has_work:
            self._work_since_s = None
            return None
        return self._take_over(now_s, extra_delay_s)

    def _renew(
        self, record: LeaseRecord, now_s: float, has_work: bool, state: RolloutState
    ) -> WriteLease | None:
        renewed = msgspec.structs.replace(
            record,
            active=has_work,
            swapping=list(state.swapping) if has_work else [],
            retired=record.retired | state.retired,
            loaded=dict([*(record.loaded | state.loaded).items()][-LOADED_LIMIT:]),
        )
        if not has_work:
            self._work_since_s = None
        elif renewed == record and now_s - self._renewed_at_s < RENEW_INTERVAL_S:
            return None
        return self._write(msgspec.structs.replace(renewed, beat=self._next_heartbeat()), now_s)

    def _take_over(self, now_s: float, extra_delay_s: float) -> WriteLease | None:
        record = self._record
        if self._work_since_s is None:
            self._work_since_s = now_s
            self._jitter_s = self._rng.uniform(0.0, TAKEOVER_JITTER_S + extra_delay_s)
        if record is not None and record.holder == self._name:
            # The gap that the first takeover had to keep may not be over yet.
            self._order_from_s = max(now_s, self._order_from_s)
        elif record is not None and record.active:
            if now_s - self._read_at_s < TAKEOVER_AFTER_S + extra_delay_s + self._jitter_s:
                return None
            self._order_from_s = self._read_at_s + RENEWAL_VALID_S + ORDER_TRANSIT_S + self._lease_s
        else:
            head_start_s = HANDOVER_HEAD_START_S if record is not None else 0.0
            if now_s - self._work_since_s < head_start_s + extra_delay_s + self._jitter_s:
                return None
            gap_s = ORDER_TRANSIT_S + self._lease_s if record is not None else 0.0
            self._order_from_s = max(now_s, self._read_at_s + gap_s)
        self._order_from_s = max(self._order_from_s, self._gap_until_s)
        fence = self._last_fence
        if record is None or record.holder != self._name or fence.epoch != self._epoch:
            fence = fence.next_in(self._epoch)
        # Runners that the previous leader was swapping are still left out of placement.
        swapping = [] if record is None else record.swapping
        loaded = {} if record is None else record.loaded
        taken = LeaseRecord(
            self._name, fence.packed(), True, self._next_heartbeat(), swapping, self.retired, loaded
        )
        return self._write(taken, now_s)

    def _next_heartbeat(self) -> int:
        self._heartbeat += 1
        return self._heartbeat

    def _write(self, record: LeaseRecord, now_s: float) -> WriteLease:
        self._pending = _Pending(record, now_s)
        return WriteLease(record, self._revision)
