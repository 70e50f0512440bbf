"""Runs a call at most once for its idempotency key, across all entries and despite crashes.

The object store has one object for each key.  An entry may send a call only after it has written a
``running`` record that names the call, and the object store lets only one entry do so.  When the
call ends, the record becomes ``kept`` with the stored response, ``too_large`` if the response is
too large to store, ``unknown`` if the call may have run without a response, or ``free`` if it has
not run.  Objects are never removed, because a write that takes effect late could otherwise replace
the record of another call.

This module decides what a call's key allows and when the key is settled; ``key_writes`` has the
calls to the object store.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

import msgspec

from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.names import digest_text
from filbertstream.request.authorization import Refused
from filbertstream.request.call import BufferedResponse, IdempotencyKey
from filbertstream.request.call_state import Call
from filbertstream.statuses import CONFLICT, UNAVAILABLE, UNPROCESSABLE

STORED_RESPONSE_LIMIT_BYTES: Final = 64_000
"""The largest response that is stored; the object store accepts objects of a megabyte."""

RUNNING_RETRY_S: Final = 1.0
"""About the longest time that a service call takes."""

UNAVAILABLE_RETRY_S: Final = 2.0
"""About the time until the object store responds again after a short outage."""

SETTLE_RETRY_S: Final = 0.5
"""The interval at which the write of an outcome is retried until the object store confirms it."""


RECOVERING: Final = Refused(UNAVAILABLE, "claims_unavailable", UNAVAILABLE_RETRY_S)

MAX_TRACKED_RUNNING: Final = 10_000
"""How many running calls are tracked; the wait for one that was dropped starts again."""


class KeyState(enum.Enum):
    """The state of the call that has claimed a key."""

    RUNNING = "running"
    STORED = "kept"
    TOO_LARGE = "too_large"
    UNKNOWN = "unknown"
    FREE = "free"


class KeyRecord(msgspec.Struct, frozen=True):
    """The stored object of a key.

    ``entry`` and ``incarnation`` identify the process that handles the call.
    """

    state: KeyState
    call: str
    fingerprint: str
    entry: str
    incarnation: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimKey(NamedTuple):
    """Write a ``running`` record unless another call has claimed the key."""

    call_id: int
    name: str
    record: KeyRecord


class KeyClaimed(NamedTuple):
    """The result of a claim.

    If the key is not ``claimed``, ``present`` is the record of the call that has claimed it, or
    None if the object store was not available.  ``revision`` is that of the call's own record.
    """

    call_id: int
    name: str
    claimed: bool
    present: KeyRecord | None
    revision: EpochNumber = NO_REVISION


class SettleKey(NamedTuple):
    """Replace the ``running`` record of a call by its outcome.

    ``revision`` is that of the ``running`` record, or ``NO_REVISION`` if it is not known whether
    there is one.
    """

    name: str
    record: KeyRecord
    revision: EpochNumber


class KeySettled(NamedTuple):
    """The object store has confirmed the write of a call's outcome."""

    name: str
    call: str


class _Unsettled:
    """An outcome whose write the object store has not confirmed."""

    def __init__(self, settle: SettleKey, now_s: float) -> None:
        self.settle = settle
        self.written_at_s = now_s


IsRegistered = Callable[[str, int], bool]

NoteRecord = Callable[[str, KeyRecord, float], None]


class IdempotencyKeys:
    """The claims of this entry.

    ``is_registered`` returns whether a process is registered, ``complete_epoch`` the epoch of the
    object store, or None while records of keys may be missing there after a restore.  ``note``
    is called with each record that this entry writes.
    """

    def __init__(
        self,
        entry: str,
        incarnation: int,
        is_registered: IsRegistered,
        complete_epoch: Callable[[], int | None] = lambda: 0,
        note: NoteRecord = lambda name, record, now_s: None,
    ) -> None:
        self._complete_epoch = complete_epoch
        self._note = note
        self._entry = entry
        self._incarnation = incarnation
        self._is_registered = is_registered
        self._claims: dict[int, ClaimKey] = {}
        self._revisions: dict[int, EpochNumber] = {}
        self._unsettled: dict[str, _Unsettled] = {}
        self._running_since_s: OrderedDict[str, float] = OrderedDict()

    @property
    def unsettled(self) -> int:
        """The number of calls whose outcome may not have been stored yet."""
        return len(self._claims) + len(self._unsettled)

    @property
    def may_claim(self) -> bool:
        """Whether the object store has the records of all keys that were claimed before."""
        return self._complete_epoch() is not None

    def claim(self, call: Call, idempotency_key: IdempotencyKey) -> ClaimKey:
        """Return the action that claims a call's key."""
        workspace = "" if call.workspace is None else call.workspace.name
        name = digest_text("idempotency-key", workspace, call.service.name, idempotency_key.key)
        record = KeyRecord(
            KeyState.RUNNING,
            call.head.request_id,
            idempotency_key.fingerprint,
            self._entry,
            self._incarnation,
        )
        claim = self._claims[call.call_id] = ClaimKey(call.call_id, name, record)
        return claim

    def resolve_claim(
        self, event: KeyClaimed, idempotency_key: IdempotencyKey, longest_s: float, now_s: float
    ) -> Refused | BufferedResponse | None:
        """Return how a call ends that could not claim its key, or None if the call may run.

        The call ends with a refusal, or with the stored response of the key.  ``longest_s`` is the
        longest time that a call of its workspace takes.
        """
        if event.claimed:
            self._revisions[event.call_id] = event.revision
            if event.revision.epoch != self._complete_epoch():
                # The store was restored meanwhile, and may lack the record of an earlier call.
                return RECOVERING
            claim = self._claims.get(event.call_id)
            if claim is not None:
                self._note(claim.name, claim.record, now_s)
            return None
        if event.present is None:
            return Refused(UNAVAILABLE, "claims_unavailable", UNAVAILABLE_RETRY_S)
        self._claims.pop(event.call_id, None)
        present = event.present
        if present.fingerprint != idempotency_key.fingerprint:
            return Refused(UNPROCESSABLE, "key_conflict")
        if present.state is KeyState.STORED:
            return BufferedResponse(present.status, present.content_type, present.body)
        if present.state is KeyState.TOO_LARGE:
            return Refused(CONFLICT, "answer_not_kept")
        if present.state is KeyState.RUNNING and self._may_run(present, longest_s, now_s):
            return Refused(CONFLICT, "key_running", RUNNING_RETRY_S)
        return Refused(CONFLICT, "outcome_unknown")

    def _may_run(self, present: KeyRecord, longest_s: float, now_s: float) -> bool:
        """Whether the call of a record may still end with a response that is stored.

        A process that died stays registered until another one registers under its name.  A record
        that has been observed for longer than any call takes is therefore considered abandoned.
        """
        if not self._is_registered(present.entry, present.incarnation):
            return False
        since_s = self._running_since_s.setdefault(present.call, now_s)
        while len(self._running_since_s) > MAX_TRACKED_RUNNING:
            self._running_since_s.popitem(last=False)
        return now_s - since_s < longest_s + SETTLE_RETRY_S

    def end(self, call: Call, response: BufferedResponse | None, now_s: float) -> list[SettleKey]:
        """Settle the key of a call that has ended; a call without a claim has none to settle."""
        claim = self._claims.pop(call.call_id, None)
        return [] if claim is None else self._settle(claim, call, response, now_s)

    def _settle(
        self, claim: ClaimKey, call: Call, response: BufferedResponse | None, now_s: float
    ) -> list[SettleKey]:
        record = claim.record
        if response is not None and len(response.body) <= STORED_RESPONSE_LIMIT_BYTES:
            record = msgspec.structs.replace(
                record,
                state=KeyState.STORED,
                status=response.status,
                content_type=response.content_type,
                body=response.body,
            )
        elif response is not None:
            record = msgspec.structs.replace(record, state=KeyState.TOO_LARGE)
        else:
            # ``attempts`` does not count the sends that were proved not to have run.
            ran = call.may_have_run or call.attempts > 0
            state = KeyState.UNKNOWN if ran else KeyState.FREE
            record = msgspec.structs.replace(record, state=state)
        settle = SettleKey(claim.name, record, self._revisions.pop(call.call_id, NO_REVISION))
        self._unsettled[record.call] = _Unsettled(settle, now_s)
        self._note(claim.name, record, now_s)
        return [settle]

    def on_settled(self, event: KeySettled) -> None:
        """Drop an outcome whose write the object store has confirmed."""
        self._unsettled.pop(event.call, None)

    def tick(self, now_s: float) -> list[SettleKey]:
        """Return the outcomes whose write is due to be retried."""
        due = [
            item for item in self._unsettled.values() if now_s - item.written_at_s >= SETTLE_RETRY_S
        ]
        for item in due:
            item.written_at_s = now_s
        return [item.settle for item in due]
