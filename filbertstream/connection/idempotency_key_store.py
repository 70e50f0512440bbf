"""Makes the calls of ``request.key_writes`` to the platform's store; they block."""

import time
from collections.abc import Generator
from typing import Any, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from filbertstream.platform.documents import KEYS_KIND, decode_internal
from filbertstream.platform.objects import ObjectStore, ObjectStoreFailure, StoredObject, Written
from filbertstream.request.idempotency_keys import (
    ClaimKey,
    KeyClaimed,
    KeyRecord,
    KeySettled,
    SettleKey,
)
from filbertstream.request.key_writes import (
    KeyAction,
    KeyCall,
    KeyOutcome,
    KeyReply,
    claim_steps,
    settle_steps,
)

AGAIN_S: Final = 0.05
"""Pause after a call that was not answered."""

T = TypeVar("T")


class IdempotencyKeyStore:
    """Writes records of keys."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def claim(self, claim: ClaimKey) -> KeyClaimed:
        """Write the record of a call unless its key is taken, and return what holds."""
        return self._run(claim_steps(claim))

    def settle(self, settle: SettleKey) -> KeySettled | None:
        """Write the outcome of a call; None where that is not done yet."""
        return self._run(settle_steps(settle))

    def _run(self, steps: Generator[KeyCall, KeyReply, T]) -> T:
        try:
            call = next(steps)
            while True:
                reply = self._make(call)
                if reply.outcome is KeyOutcome.OUTCOME_UNKNOWN:
                    time.sleep(AGAIN_S)
                call = steps.send(reply)
        except StopIteration as ended:
            result: T = ended.value
            return result

    def _make(self, call: KeyCall) -> KeyReply:
        if call.action is KeyAction.READ:
            return read_reply(self._store.read(KEYS_KIND, call.name))
        if call.action is KeyAction.CREATE:
            return write_reply(self._store.create(KEYS_KIND, call.name, call.record))
        return write_reply(self._store.replace(KEYS_KIND, call.name, call.record, call.revision))


def _fault(fault: ObjectStoreFailure) -> KeyReply:
    refused = fault is ObjectStoreFailure.REFUSED
    return KeyReply(KeyOutcome.REFUSED if refused else KeyOutcome.OUTCOME_UNKNOWN)


def read_reply(result: Result[StoredObject | None, ObjectStoreFailure]) -> KeyReply:
    """Return what a read tells of a key."""
    match result:
        case Err(fault):
            return _fault(fault)
        case Ok(stored):
            return KeyReply(KeyOutcome.DONE) if stored is None else _shown(KeyOutcome.DONE, stored)


def write_reply(result: Result[Written, ObjectStoreFailure]) -> KeyReply:
    """Return what a write tells of a key."""
    match result:
        case Err(fault):
            return _fault(fault)
        case Ok(written):
            outcome = KeyOutcome.DONE if written.done else KeyOutcome.CONFLICT
            if written.present is None:
                return KeyReply(outcome)
            return _shown(outcome, written.present)


def _shown(outcome: KeyOutcome, stored: StoredObject) -> KeyReply:
    """Return a reply with an object; one that can't be read counts as no answer."""
    try:
        record: Any = decode_internal(stored.content, KeyRecord)
    except msgspec.DecodeError:
        return KeyReply(KeyOutcome.OUTCOME_UNKNOWN)
    return KeyReply(outcome, record, stored.revision)
