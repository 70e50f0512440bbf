"""The writes that claim or settle an idempotency key, step by step and without I/O.

A step yields a ``KeyCall`` and is sent the store's ``KeyReply``; what it returns at its end is told
to the core.  ``connection.idempotency_key_store`` drives the steps in production, a state machine in the tests.
A write without an answer may be carried out at any later time, so a claim counts only once the
store shows the call's own record, and one that is given up is made impossible (``settle_steps``).
"""

import enum
from collections.abc import Generator
from typing import Final, NamedTuple

from filbertstream.request.idempotency_keys import (
    ClaimKey,
    KeyClaimed,
    KeyRecord,
    KeySettled,
    KeyState,
    SettleKey,
)

CLAIM_CALLS: Final = 3
"""Calls of one claim at most; two that get no answer take about as long as a caller waits."""


class KeyAction(enum.Enum):
    """What is asked of the store; writes are conditional."""

    CREATE = "create"
    REPLACE = "replace"
    READ = "read"


class KeyCall(NamedTuple):
    """One call; ``revision`` is that which a replaced object must have."""

    action: KeyAction
    name: str
    record: KeyRecord | None = None
    revision: int = 0


class KeyOutcome(enum.Enum):
    """How a call ended.

    ``DONE``: written, or read.  ``CONFLICT``: another object is there.  ``REFUSED``: not carried
    out.  ``OUTCOME_UNKNOWN``: no answer.
    """

    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "unsure"


class KeyReply(NamedTuple):
    """The end of a call, with the object that is there now; None where there is none."""

    outcome: KeyOutcome
    record: KeyRecord | None = None
    revision: int = 0


ClaimSteps = Generator[KeyCall, KeyReply, KeyClaimed]
SettleSteps = Generator[KeyCall, KeyReply, KeySettled | None]


def claim_steps(claim: ClaimKey) -> ClaimSteps:
    """Write the record of a call unless its key is taken."""
    call = KeyCall(KeyAction.CREATE, claim.name, claim.record)
    for _ in range(CLAIM_CALLS):
        reply = yield call
        call = KeyCall(KeyAction.CREATE, claim.name, claim.record)
        present = reply.record
        if reply.outcome is KeyOutcome.REFUSED:
            break
        if reply.outcome is KeyOutcome.OUTCOME_UNKNOWN or present is None:
            continue
        if present.call == claim.record.call:
            # Where the call has ended meanwhile, this is its outcome and the core takes no notice.
            return KeyClaimed(claim.call_id, claim.name, True, None, reply.revision)
        if present.state is not KeyState.FREE:
            return KeyClaimed(claim.call_id, claim.name, False, present)
        call = KeyCall(KeyAction.REPLACE, claim.name, claim.record, reply.revision)
    return KeyClaimed(claim.call_id, claim.name, False, None)


def settle_steps(settle: SettleKey) -> SettleSteps:
    """Write the outcome of a call over its own record; None where that is not done yet."""
    settled = KeySettled(settle.name, settle.record.call)
    if settle.revision:
        call = KeyCall(KeyAction.REPLACE, settle.name, settle.record, settle.revision)
        reply = yield call
        # Only this call's own outcome can have replaced its record.
        done = reply.outcome in (KeyOutcome.DONE, KeyOutcome.CONFLICT)
        return settled if done else None
    reply = yield KeyCall(KeyAction.READ, settle.name)
    if reply.outcome is not KeyOutcome.DONE:
        return None
    present = reply.record
    if present is None:
        call = KeyCall(KeyAction.CREATE, settle.name, settle.record)
    else:
        taken = present.call != settle.record.call and present.state is not KeyState.FREE
        if taken or present == settle.record:
            return settled
        call = KeyCall(KeyAction.REPLACE, settle.name, settle.record, reply.revision)
    reply = yield call
    return settled if reply.outcome is KeyOutcome.DONE else None
