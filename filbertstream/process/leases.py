"""Leases for duties that one member at a time should do: weight roll-out and store upkeep.

A lease is an object of the platform whose holder rewrites it while it works.  Others judge it by
their own monotonic clock: a version that stands still for ``LEASE_S`` has lapsed and may be taken
by a conditional update.  The object's version is the fencing number of the holder's orders.  A
lease is only a hint for who works: a holder paused right after its look must do no harm, which the
fencing number, or the check of the target's own answer, sees to (``version.weights``).
"""

from typing import Final, NamedTuple

import msgspec

from filbertstream.actions import MUST_NOT_EXIST, Action, ListObjects, PutObject
from filbertstream.events import ObjectRecord, PutFinished, ReadFinished
from filbertstream.process.append_log import OpIds

LEASES_KIND: Final = "leases"
LEASE_S: Final = 10.0
RENEW_S: Final = 3.0
LOOK_S: Final = 30.0
"""How often members look at a lease that they wouldn't take."""


class Holder(msgspec.Struct, frozen=True):
    """What a lease object says."""

    member: str
    incarnation: int


class _Seen(NamedTuple):
    holder: Holder
    version: int
    changed_at_s: float


class Lease:
    """This member's view of one duty's lease."""

    def __init__(self, duty: str, own: Holder, op_ids: OpIds) -> None:
        self.duty = duty
        self._own = own
        self._op_ids = op_ids
        self._seen: _Seen | None = None
        self._listed = False
        self._put_op: int | None = None
        self._put_at_s = 0.0
        self._read_op: int | None = None
        self._next_s = 0.0
        self._held_until_s = float("-inf")
        self.fencing = 0

    def held(self, now_s: float) -> bool:
        """Whether the lease is held, with a margin of one renewal; look right before each order."""
        return now_s < self._held_until_s - RENEW_S

    @property
    def holder(self) -> str:
        """The member that was last seen to hold the lease, or an empty text."""
        return "" if self._seen is None else self._seen.holder.member

    def tick(self, now_s: float, wanted: bool) -> tuple[Action, ...]:
        """Return the platform call that is due; ``wanted`` tells whether to take a lapsed lease."""
        if now_s < self._next_s or self._put_op is not None or self._read_op is not None:
            return ()
        mine = self._seen is not None and self._seen.holder == self._own
        self._next_s = now_s + (RENEW_S if mine or wanted else LOOK_S)
        if not self._listed or not (mine or (wanted and self._lapsed(now_s))):
            return (self._read(),)
        return (self._take(now_s),)

    def _lapsed(self, now_s: float) -> bool:
        return self._seen is None or now_s - self._seen.changed_at_s > LEASE_S

    def _read(self) -> ListObjects:
        self._read_op = self._op_ids.next()
        return ListObjects(self._read_op, LEASES_KIND, "")

    def _take(self, now_s: float) -> PutObject:
        self._put_op = self._op_ids.next()
        self._put_at_s = now_s
        expect = MUST_NOT_EXIST if self._seen is None else self._seen.version
        value = msgspec.json.encode(self._own)
        return PutObject(self._put_op, LEASES_KIND, self.duty, value, expect)

    def on_put(self, result: PutFinished) -> bool:
        """Take in a write's result; False if it wasn't asked for here."""
        if result.op_id != self._put_op:
            return False
        self._put_op = None
        if result.outcome != "ok":
            # Lost to another member or to a lost answer: the next listing tells.
            self._listed = False
            self._next_s = 0.0
            return True
        self._seen = _Seen(self._own, result.version, self._put_at_s)
        # Counted from before the write, so that a slow answer can't stretch the lease.
        self._held_until_s = self._put_at_s + LEASE_S
        self.fencing = result.version
        return True

    def on_read(self, result: ReadFinished, now_s: float) -> bool:
        """Take in a listing; False if it wasn't asked for here."""
        if result.op_id != self._read_op:
            return False
        self._read_op = None
        if not result.ok:
            return True
        self._listed = True
        row = next((item for item in result.records if item.name == self.duty), None)
        self._take_row(row, now_s)
        return True

    def _take_row(self, row: ObjectRecord | None, now_s: float) -> None:
        if row is None:
            self._seen = None
            return
        if self._seen is not None and self._seen.version == row.version:
            return
        holder = msgspec.json.decode(row.value, type=Holder)
        self._seen = _Seen(holder, row.version, now_s)
        if holder != self._own:
            self._held_until_s = float("-inf")
