"""The calls to the object store that claim or settle an idempotency key, as generators without I/O.

Each generator yields a ``KeyCall`` and is sent the object store's ``KeyResponse``.  Its return
value is reported to the core.  ``connection.idempotency_key_store`` drives the generators in
production, a state machine in the tests.

A write without a response may still take effect at any later time.  A claim therefore counts only
once the object store returns the call's own record, and ``settle_steps`` makes sure that an
abandoned claim can no longer succeed.
"""

import enum
from collections.abc import Generator
from typing import Final, NamedTuple

from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.request.idempotency_keys import (
    ClaimKey,
    KeyClaimed,
    KeyRecord,
    KeySettled,
    KeyState,
    SettleKey,
)
from filbertstream.request.key_journal import KeyRewritten, RewriteKey

MAX_CLAIM_CALLS: Final = 3
"""The most calls of one claim; two without a response take about as long as a caller waits."""


class KeyAction(enum.Enum):
    """An operation of the object store; writes are conditional."""

    CREATE = "create"
    REPLACE = "replace"
    READ = "read"


class KeyCall(NamedTuple):
    """One call to the object store.

    A replaced object must have the given ``revision``, or the write fails as a conflict.
    """

    action: KeyAction
    name: str
    record: KeyRecord | None = None
    revision: EpochNumber = NO_REVISION


class KeyOutcome(enum.Enum):
    """The outcome of a call to the object store.

    ``DONE``: the object is written or read.  ``CONFLICT``: the condition of the write is not met.
    ``REFUSED``: the call had no effect.  ``OUTCOME_UNKNOWN``: there was no response, so a write may
    or may not take effect.
    """

    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "unsure"


class KeyResponse(NamedTuple):
    """The outcome of a call, with the object as it is stored now, or None if there is none."""

    outcome: KeyOutcome
    record: KeyRecord | None = None
    revision: EpochNumber = NO_REVISION


ClaimSteps = Generator[KeyCall, KeyResponse, KeyClaimed]
RewriteSteps = Generator[KeyCall, KeyResponse, KeyRewritten]
SettleSteps = Generator[KeyCall, KeyResponse, KeySettled | None]


def claim_steps(claim: ClaimKey) -> ClaimSteps:
    """Write the record of a call unless another call has claimed its key."""
    call = KeyCall(KeyAction.CREATE, claim.name, claim.record)
    for _ in range(MAX_CLAIM_CALLS):
        response = yield call
        call = KeyCall(KeyAction.CREATE, claim.name, claim.record)
        present = response.record
        if response.outcome is KeyOutcome.REFUSED:
            break
        if response.outcome is KeyOutcome.OUTCOME_UNKNOWN or present is None:
            continue
        if present.call == claim.record.call:
            # If the call has ended in the meantime, this record is its outcome, and the core
            # ignores the event.
            return KeyClaimed(claim.call_id, claim.name, True, None, response.revision)
        if present.state is not KeyState.FREE:
            return KeyClaimed(claim.call_id, claim.name, False, present)
        call = KeyCall(KeyAction.REPLACE, claim.name, claim.record, response.revision)
    return KeyClaimed(claim.call_id, claim.name, False, None)


def settle_steps(settle: SettleKey) -> SettleSteps:
    """Replace the record of a call by its outcome; return None if that is not confirmed yet."""
    settled = KeySettled(settle.name, settle.record.call)
    if settle.revision != NO_REVISION:
        call = KeyCall(KeyAction.REPLACE, settle.name, settle.record, settle.revision)
        response = yield call
        present = response.record
        if response.outcome is KeyOutcome.DONE:
            return settled
        if response.outcome is not KeyOutcome.CONFLICT:
            return None
        if present is not None and present.state is not KeyState.RUNNING:
            # Only this call's own outcome can have replaced its record.
            return settled
        # The object store was restored: the record is lost, or written again with a new revision.
    response = yield KeyCall(KeyAction.READ, settle.name)
    if response.outcome is not KeyOutcome.DONE:
        return None
    present = response.record
    if present is None:
        call = KeyCall(KeyAction.CREATE, settle.name, settle.record)
    else:
        claimed_by_other = present.call != settle.record.call and present.state is not KeyState.FREE
        if claimed_by_other or present == settle.record:
            return settled
        call = KeyCall(KeyAction.REPLACE, settle.name, settle.record, response.revision)
    response = yield call
    return settled if response.outcome is KeyOutcome.DONE else None


def rewrite_steps(rewrite: RewriteKey) -> RewriteSteps:
    """Write a record again unless the object store has it, or the outcome of another call.

    A claim of another call is replaced: it was made because this record was missing, and is
    withdrawn, which would leave the key free.
    """
    record = rewrite.record
    call = KeyCall(KeyAction.CREATE, rewrite.name, record)
    lacked = False
    for _ in range(MAX_CLAIM_CALLS):
        response = yield call
        present = response.record
        call = KeyCall(KeyAction.CREATE, rewrite.name, record)
        if response.outcome is KeyOutcome.REFUSED:
            break
        if response.outcome is KeyOutcome.DONE:
            return KeyRewritten(rewrite.name, True, True)
        if response.outcome is KeyOutcome.OUTCOME_UNKNOWN or present is None:
            lacked = True
            continue
        if present.call == record.call:
            is_current = present == record or present.state is not KeyState.RUNNING
        else:
            withdrawn = (KeyState.FREE, KeyState.RUNNING)
            is_current = present.state not in withdrawn or record.state is KeyState.FREE
        if is_current:
            return KeyRewritten(rewrite.name, True, lacked)
        call = KeyCall(KeyAction.REPLACE, rewrite.name, record, response.revision)
    return KeyRewritten(rewrite.name, False, False)
