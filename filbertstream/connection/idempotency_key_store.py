"""Makes the object store calls of ``request.key_writes``; they block the calling thread."""

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
from filbertstream.request.key_journal import KeyRewritten, RewriteKey
from filbertstream.request.key_writes import (
    KeyAction,
    KeyCall,
    KeyOutcome,
    KeyResponse,
    claim_steps,
    rewrite_steps,
    settle_steps,
)

RETRY_PAUSE_S: Final = 0.05
"""Pause before the next call after one without a response."""

T = TypeVar("T")


class IdempotencyKeyStore:
    """Writes the records of idempotency keys to the object store."""

    def __init__(self, store: ObjectStore) -> None:
        self._object_store = store

    def claim(self, claim: ClaimKey) -> KeyClaimed:
        """Claim a call's key unless it is taken already; return the record in force."""
        return self._run(claim_steps(claim))

    def settle(self, settle: SettleKey) -> KeySettled | None:
        """Write the outcome of a call; None if it is not written yet."""
        return self._run(settle_steps(settle))

    def rewrite(self, rewrite: RewriteKey) -> KeyRewritten:
        """Write a record again that a restored object store may lack."""
        return self._run(rewrite_steps(rewrite))

    def _run(self, steps: Generator[KeyCall, KeyResponse, T]) -> T:
        try:
            call = next(steps)
            while True:
                response = self._execute(call)
                if response.outcome is KeyOutcome.OUTCOME_UNKNOWN:
                    time.sleep(RETRY_PAUSE_S)
                call = steps.send(response)
        except StopIteration as ended:
            result: T = ended.value
            return result

    def _execute(self, call: KeyCall) -> KeyResponse:
        if call.action is KeyAction.READ:
            return read_response(self._object_store.read(KEYS_KIND, call.name))
        if call.action is KeyAction.CREATE:
            return write_response(self._object_store.create(KEYS_KIND, call.name, call.record))
        return write_response(
            self._object_store.replace(KEYS_KIND, call.name, call.record, call.revision)
        )


def _failure_response(failure: ObjectStoreFailure) -> KeyResponse:
    refused = failure is ObjectStoreFailure.REFUSED
    return KeyResponse(KeyOutcome.REFUSED if refused else KeyOutcome.OUTCOME_UNKNOWN)


def read_response(result: Result[StoredObject | None, ObjectStoreFailure]) -> KeyResponse:
    """Return the result of a read of a key's record."""
    match result:
        case Err(failure):
            return _failure_response(failure)
        case Ok(stored):
            return (
                KeyResponse(KeyOutcome.DONE)
                if stored is None
                else _decoded_response(KeyOutcome.DONE, stored)
            )


def write_response(result: Result[Written, ObjectStoreFailure]) -> KeyResponse:
    """Return the result of a write of a key's record."""
    match result:
        case Err(failure):
            return _failure_response(failure)
        case Ok(written):
            outcome = KeyOutcome.DONE if written.done else KeyOutcome.CONFLICT
            if written.present is None:
                return KeyResponse(outcome)
            return _decoded_response(outcome, written.present)


def _decoded_response(outcome: KeyOutcome, stored: StoredObject) -> KeyResponse:
    """Return a response with an object; an undecodable object counts as no response."""
    try:
        record: Any = decode_internal(stored.content, KeyRecord)
    except msgspec.DecodeError:
        return KeyResponse(KeyOutcome.OUTCOME_UNKNOWN)
    return KeyResponse(outcome, record, stored.revision)
