"""Calls that run once for an idempotency key, whichever entries get them and whatever dies.

The platform's store holds one object a key.  An entry may send a call only after it has written a
``running`` record that names the call; the store lets only one entry do that.  When the call ends,
the record becomes ``kept`` with the answer, ``unknown`` where the call may have run without an
answer, or ``free`` where nothing ran.  Objects are never removed: a write that is carried out late
could otherwise meet the record of another call.

This module decides what a call's key allows and when it is settled; ``key_writes`` has the writes.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

import msgspec

from filbertstream.names import digest_text
from filbertstream.request.authorization import Refused
from filbertstream.request.call import BufferedResponse, IdempotencyKey
from filbertstream.request.call_state import Call
from filbertstream.statuses import CONFLICT, UNAVAILABLE, UNPROCESSABLE

KEPT_BYTES: Final = 64_000
"""The longest answer that is kept; the store takes objects of a megabyte."""

RUNNING_RETRY_S: Final = 1.0
"""About the time that a plain call takes at most."""

UNAVAILABLE_RETRY_S: Final = 2.0
"""About the time in which the store answers again after a short outage."""

SETTLE_AGAIN_S: Final = 0.5
"""How often an outcome that the store has not taken is written again."""


SEEN_RUNNING: Final = 10_000
"""Running calls of others that are remembered; a forgotten one is waited for anew."""


class KeyState(enum.Enum):
    """What is known of the call that a key was used for."""

    RUNNING = "running"
    STORED = "kept"
    TOO_LARGE = "too_large"
    UNKNOWN = "unknown"
    FREE = "free"


class KeyRecord(msgspec.Struct, frozen=True):
    """The object of a key.  ``entry`` and ``incarnation`` tell which process made the call."""

    state: KeyState
    call: str
    fingerprint: str
    entry: str
    incarnation: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimKey(NamedTuple):
    """Write a ``running`` record unless the key is taken."""

    call_id: int
    name: str
    record: KeyRecord


class KeyClaimed(NamedTuple):
    """What became of a claim: ``present`` is the record in the way, or None without an answer.

    ``revision`` is that of the own record.
    """

    call_id: int
    name: str
    ours: bool
    present: KeyRecord | None
    revision: int = 0


class SettleKey(NamedTuple):
    """Replace the running record of a call by its outcome.

    ``revision`` is that of the running record, or 0 where it is not known if there is one.
    """

    name: str
    record: KeyRecord
    revision: int


class KeySettled(NamedTuple):
    """The store has taken a call's outcome."""

    name: str
    call: str


class _Unsettled:
    """An outcome that the store has not confirmed."""

    def __init__(self, settle: SettleKey, now_s: float) -> None:
        self.settle = settle
        self.written_at_s = now_s


Alive = Callable[[str, int], bool]


class IdempotencyKeys:
    """The claims of this entry; ``alive`` tells whether a process is registered."""

    def __init__(self, entry: str, incarnation: int, alive: Alive) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._alive = alive
        self._claims: dict[int, ClaimKey] = {}
        self._revisions: dict[int, int] = {}
        self._unsettled: dict[str, _Unsettled] = {}
        self._running_since_s: OrderedDict[str, float] = OrderedDict()

    @property
    def unsettled(self) -> int:
        """The number of calls whose outcome the store may not have yet."""
        return len(self._claims) + len(self._unsettled)

    def claim(self, call: Call, idempotency_key: IdempotencyKey) -> ClaimKey:
        """Return the claim of a call's key."""
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
        """Return how a call ends whose key it could not claim, or None where it may run.

        ``longest_s`` is how long a call of its workspace takes at most.
        """
        if event.ours:
            self._revisions[event.call_id] = event.revision
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
        """Whether the call of a record may still end with an answer that is kept.

        A process that died stays registered until another takes its name, so a record that has
        been seen for longer than any call takes counts as left behind.
        """
        if not self._alive(present.entry, present.incarnation):
            return False
        since_s = self._running_since_s.setdefault(present.call, now_s)
        while len(self._running_since_s) > SEEN_RUNNING:
            self._running_since_s.popitem(last=False)
        return now_s - since_s < longest_s + SETTLE_AGAIN_S

    def end(self, call: Call, response: BufferedResponse | None, now_s: float) -> list[SettleKey]:
        """Settle the key of a call that ended; a call that never claimed one has none."""
        claim = self._claims.pop(call.call_id, None)
        return [] if claim is None else self._settle(claim, call, response, now_s)

    def _settle(
        self, claim: ClaimKey, call: Call, response: BufferedResponse | None, now_s: float
    ) -> list[SettleKey]:
        record = claim.record
        if response is not None and len(response.body) <= KEPT_BYTES:
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
            # Attempts count only sends that were not proved to have run nothing.
            ran = call.may_have_run or call.attempts > 0
            state = KeyState.UNKNOWN if ran else KeyState.FREE
            record = msgspec.structs.replace(record, state=state)
        settle = SettleKey(claim.name, record, self._revisions.pop(call.call_id, 0))
        self._unsettled[record.call] = _Unsettled(settle, now_s)
        return [settle]

    def on_settled(self, event: KeySettled) -> None:
        """Forget an outcome that the store has taken."""
        self._unsettled.pop(event.call, None)

    def tick(self, now_s: float) -> list[SettleKey]:
        """Return the outcomes that are due to be written again."""
        due = [
            item for item in self._unsettled.values() if now_s - item.written_at_s >= SETTLE_AGAIN_S
        ]
        for item in due:
            item.written_at_s = now_s
        return [item.settle for item in due]
