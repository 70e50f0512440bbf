"""At most once: claims of non-idempotent requests, durable before the first byte goes out.

A claim is an operation in a sharded ``process.append_log``: the shard's log, replayed in order, is
the only truth.  Claims that wait while a write is under way go into the next record together
(group commit), so the platform's write rate bounds latency and not throughput.  A member that owns
a shard by rendezvous hash is merely likely to know the log's end; the conditional create decides.

    granted      the claim stands and belongs to the asker: it may send, once
    done         the key ran before and its answer was kept
    running      the key is claimed and its outcome isn't known yet
    conflict     the key was used for another body
    unavailable  the claim doesn't stand and never will: not run

``core`` turns verdicts into attempts and refusals.
"""

import enum
from collections import deque
from typing import Final, NamedTuple

import msgspec

from filbertstream.actions import Action
from filbertstream.events import PutFinished, ReadFinished
from filbertstream.names import digest_text
from filbertstream.process.append_log import AppendLog, LogEntry, OpIds, Progress

KEPT_ANSWER_LIMIT_BYTES: Final = 64_000
BATCH_LIMIT_OPS: Final = 1_000
BATCH_LIMIT_BYTES: Final = 800_000


class OpKind(enum.IntEnum):
    """What an operation does to a key."""

    CLAIM = 0
    DONE = 1
    VOID = 2


class ClaimOp(msgspec.Struct, frozen=True, array_like=True):
    """One operation on a key.  ``claim_id`` names the claimant's one try."""

    kind: OpKind
    key: str
    claim_id: str
    body_digest: str = ""
    claimant: str = ""
    status: int = 0
    answer: bytes = b""


class Standing(NamedTuple):
    """What the log says of a key: the winning claim and, once known, its outcome."""

    claim_id: str
    body_digest: str
    claimant: str
    status: int
    answer: bytes


class Verdict(NamedTuple):
    """The fate of one claim operation."""

    claim_id: str
    outcome: str
    status: int = 0
    answer: bytes = b""
    claimant: str = ""


class LedgerStep(NamedTuple):
    """What the ledger decided and what it asks for."""

    verdicts: tuple[Verdict, ...]
    asks: tuple[Action, ...]


def claim_key(workspace: str, service: str, idempotency_key: str) -> str:
    """Return the name under which a key is claimed; it reveals nothing of the workspace."""
    return digest_text("claim", workspace, service, idempotency_key)


class Shard:
    """The ledger of one shard: an append log and the index that its records make."""

    def __init__(self, kind: str, op_ids: OpIds, nonce_prefix: str) -> None:
        self.log = AppendLog(kind, op_ids)
        self.index: dict[str, Standing] = {}
        self._waiting: deque[ClaimOp] = deque()
        self._writing: list[ClaimOp] = []
        self._batches = 0
        self._nonce_prefix = nonce_prefix

    def submit(self, op: ClaimOp) -> LedgerStep:
        """Queue an operation and write it if nothing is under way."""
        self._waiting.append(op)
        return self.pump()

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be written."""
        return not self._waiting and not self._writing

    def poll(self) -> LedgerStep:
        """Read the log's end, to settle an open write or learn other members' records."""
        if self.log.busy:
            return LedgerStep((), ())
        return LedgerStep((), (self.log.read(),))

    def on_put(self, result: PutFinished) -> LedgerStep:
        """Take in the result of a write of this shard."""
        return self._after(self.log.on_put(result))

    def on_read(self, result: ReadFinished) -> LedgerStep:
        """Take in the result of a listing of this shard."""
        return self._after(self.log.on_read(result))

    def _after(self, progress: Progress) -> LedgerStep:
        self._apply(progress.learned)
        verdicts = self._settled(progress)
        if not progress.reachable:
            verdicts += self._give_up()
        if progress.asks:
            return LedgerStep(tuple(verdicts), progress.asks)
        more = self.pump() if progress.reachable else LedgerStep((), ())
        return LedgerStep((*verdicts, *more.verdicts), more.asks)

    def _settled(self, progress: Progress) -> list[Verdict]:
        """Return verdicts for the batch whose fate is now known."""
        if progress.written is None:
            return []
        batch, self._writing = self._writing, []
        if progress.written:
            return [self._judge(op) for op in batch]
        self._waiting.extendleft(reversed(batch))
        return []

    def _give_up(self) -> list[Verdict]:
        """Refuse every waiting claim at once; outcomes and voids stay queued."""
        if self.log.unsettled:
            self.log.abandon()
        ops = [*self._writing, *self._waiting]
        refused = [op for op in ops if op.kind is OpKind.CLAIM]
        kept = [op for op in ops if op.kind is not OpKind.CLAIM]
        # An abandoned write may still turn out to stand.  Its claims were refused, so they are
        # voided: a later repeat of the key can then run.
        unsure = self._writing if self.log.unsettled else []
        voids = [ClaimOp(OpKind.VOID, op.key, op.claim_id) for op in unsure if op in refused]
        self._writing = []
        self._waiting = deque([*kept, *voids])
        return [Verdict(op.claim_id, "unavailable") for op in refused]

    def pump(self) -> LedgerStep:
        """Write the next batch, or read first where an earlier write is not settled."""
        if self.log.busy or not self._waiting:
            return LedgerStep((), ())
        if self.log.unsettled:
            return LedgerStep((), (self.log.read(),))
        verdicts = self._take_batch()
        if not self._writing:
            return LedgerStep(tuple(verdicts), ())
        self._batches += 1
        nonce = f"{self._nonce_prefix}-{self._batches}"
        put = self.log.append(nonce, msgspec.msgpack.encode(self._writing))
        return LedgerStep(tuple(verdicts), (put,))

    def _take_batch(self) -> list[Verdict]:
        """Move waiting operations into the next record; claims on taken keys are judged now."""
        verdicts = []
        size = 0
        claimed: set[str] = set()
        later: list[ClaimOp] = []
        while self._waiting and len(self._writing) < BATCH_LIMIT_OPS and size < BATCH_LIMIT_BYTES:
            op = self._waiting.popleft()
            if op.kind is OpKind.CLAIM and op.key in self.index:
                verdicts.append(self._judge(op))
            elif op.kind is OpKind.CLAIM and op.key in claimed:
                later.append(op)
            elif op.kind is not OpKind.CLAIM and not self._concerns(op):
                continue
            else:
                claimed.add(op.key)
                size += len(op.answer) + len(op.key)
                self._writing.append(op)
        self._waiting.extendleft(reversed(later))
        return verdicts

    def _concerns(self, op: ClaimOp) -> bool:
        """Whether an outcome or a void still speaks of the claim that stands."""
        standing = self.index.get(op.key)
        return standing is not None and standing.claim_id == op.claim_id

    def _judge(self, op: ClaimOp) -> Verdict:
        """Return what the index says of an operation."""
        standing = self.index.get(op.key)
        if op.kind is not OpKind.CLAIM or standing is None:
            return Verdict(op.claim_id, "recorded")
        if standing.claim_id == op.claim_id:
            return Verdict(op.claim_id, "granted")
        if standing.body_digest != op.body_digest:
            return Verdict(op.claim_id, "conflict")
        if standing.status:
            return Verdict(op.claim_id, "done", standing.status, standing.answer)
        return Verdict(op.claim_id, "running", claimant=standing.claimant)

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            if not entry.record.payload:
                continue
            for op in msgspec.msgpack.decode(entry.record.payload, type=list[ClaimOp]):
                self._apply_op(op)

    def _apply_op(self, op: ClaimOp) -> None:
        """Take one operation into the index; the first claim of a key wins."""
        standing = self.index.get(op.key)
        if op.kind is OpKind.CLAIM and standing is None:
            self.index[op.key] = Standing(op.claim_id, op.body_digest, op.claimant, 0, b"")
        if standing is None or standing.claim_id != op.claim_id:
            return
        if op.kind is OpKind.DONE:
            self.index[op.key] = standing._replace(status=op.status, answer=op.answer)
        elif op.kind is OpKind.VOID and not standing.status:
            del self.index[op.key]


class Ledger:
    """All shards of claims that this process has touched."""

    def __init__(self, shard_count: int, op_ids: OpIds, nonce_prefix: str) -> None:
        self._shard_count = shard_count
        self._op_ids = op_ids
        self._nonce_prefix = nonce_prefix
        self._shards: dict[int, Shard] = {}

    def submit(self, op: ClaimOp) -> LedgerStep:
        """Queue an operation on its key's shard."""
        return self.shard_of(op.key).submit(op)

    def poll(self, key: str) -> LedgerStep:
        """Learn what other members wrote to a key's shard."""
        return self.shard_of(key).poll()

    def standing(self, key: str) -> Standing | None:
        """Return what is known of a key."""
        return self.shard_of(key).index.get(key)

    def shard_of(self, key: str) -> Shard:
        """Return a key's shard, made when first touched."""
        number = int(key[:8], 16) % self._shard_count
        shard = self._shards.get(number)
        if shard is None:
            shard = Shard(f"claims-{number:04d}", self._op_ids, self._nonce_prefix)
            self._shards[number] = shard
        return shard

    def on_put(self, result: PutFinished) -> LedgerStep | None:
        """Take in a write's result; None if no shard asked for it."""
        for shard in self._shards.values():
            if shard.log.owns(result.op_id):
                return shard.on_put(result)
        return None

    def on_read(self, result: ReadFinished) -> LedgerStep | None:
        """Take in a listing's result; None if no shard asked for it."""
        for shard in self._shards.values():
            if shard.log.owns(result.op_id):
                return shard.on_read(result)
        return None

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be written in any shard."""
        return all(shard.idle for shard in self._shards.values())

    def settle(self) -> LedgerStep:
        """Try again to settle open writes and to write what waits, after an outage."""
        verdicts: list[Verdict] = []
        asks: list[Action] = []
        for shard in self._shards.values():
            if shard.log.busy:
                continue
            if shard.log.unsettled:
                asks += shard.poll().asks
                continue
            step = shard.pump()
            verdicts += step.verdicts
            asks += step.asks
        return LedgerStep(tuple(verdicts), tuple(asks))
