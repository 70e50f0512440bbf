"""Fakes at the interfaces of the core, in virtual time: the platform, runners, services, stores.

They answer the core's actions with events and keep the counts that checks need.  Nothing here
takes a decision of the system's; ``bench.world`` connects fakes and cores.
"""

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from filbertstream.actions import MUST_NOT_EXIST, ListObjects, PutObject, SendAttempt
from filbertstream.events import (
    ListedTarget,
    LoadReported,
    ObjectRecord,
    PutFinished,
    ReadFinished,
    StoredPiece,
)
from filbertstream.units import KV_BYTES_PER_TOKEN, PIECE_TOKENS

PREFILL_TOKENS_PER_S: Final = 50_000.0
TOKEN_GAP_S: Final = 0.027
CACHE_PIECES: Final = 150
LINK_BYTES_PER_S: Final = 25e6
STORE_PIECES: Final = 20_000


class FakePlatform:
    """Objects with versions and conditional updates; can be down or lose answers."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, ObjectRecord]] = {}
        self.down = False
        self.lose_answers = 0
        self.calls: Counter[str] = Counter()
        self._version = 0

    def put(self, put: PutObject) -> PutFinished:
        """Carry out a conditional write."""
        self.calls["writes"] += 1
        if self.down:
            return PutFinished(put.op_id, "refused")
        outcome = self._apply(put)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return PutFinished(put.op_id, "unsure")
        return outcome

    def _apply(self, put: PutObject) -> PutFinished:
        objects = self.objects.setdefault(put.kind, {})
        present = objects.get(put.name)
        version = MUST_NOT_EXIST if present is None else present.version
        if version != put.expect:
            return PutFinished(put.op_id, "conflict")
        self._version += 1
        if put.value is None:
            objects.pop(put.name, None)
        else:
            objects[put.name] = ObjectRecord(put.name, self._version, put.value)
        return PutFinished(put.op_id, "ok", self._version)

    def list(self, ask: ListObjects) -> ReadFinished:
        """Carry out a listing."""
        self.calls["reads"] += 1
        if self.down:
            return ReadFinished(ask.op_id, False, ())
        objects = self.objects.get(ask.kind, {})
        rows = tuple(objects[name] for name in sorted(objects) if name > ask.after)
        return ReadFinished(ask.op_id, True, rows)


class Served(NamedTuple):
    """What a runner will do for an attempt, and when."""

    first_token_s: float
    end_s: float
    cached_tokens: int
    imported_tokens: int


class _Job(NamedTuple):
    arrived_s: float
    first_token_s: float
    end_s: float
    tokens: int


@dataclass
class FakeStore:
    """A store VM: published pieces and a link that transfers one after another."""

    listed: ListedTarget
    link_bytes_per_s: float = LINK_BYTES_PER_S
    dead: bool = False
    full: bool = False
    pieces: "OrderedDict[str, str]" = field(default_factory=OrderedDict)
    link_free_s: float = 0.0
    link_busy_s: float = 0.0

    def transfer(self, now_s: float, count: int) -> float:
        """Book a transfer of pieces; return when it ends."""
        seconds = count * PIECE_TOKENS * KV_BYTES_PER_TOKEN / self.link_bytes_per_s
        self.link_free_s = max(now_s, self.link_free_s) + seconds
        self.link_busy_s += seconds
        return self.link_free_s

    def publish(self, names: tuple[str, ...], root: str) -> None:
        """Take pieces in; the longest unused go."""
        for name in names:
            self.pieces[name] = root
            self.pieces.move_to_end(name)
        while len(self.pieces) > STORE_PIECES:
            self.pieces.popitem(last=False)


@dataclass
class FakeRunner:
    """A model runner: serial prefill, parallel decoding, a limited cache, lagging reports."""

    listed: ListedTarget
    weight_version: str = "v1"
    load_lag_s: float = 0.5
    rate: float = PREFILL_TOKENS_PER_S
    dead: bool = False
    cache_pieces: int = CACHE_PIECES
    lose_events: bool = False
    free_s: float = 0.0
    cache: "OrderedDict[str, str]" = field(default_factory=OrderedDict)
    evicted: list[StoredPiece] = field(default_factory=list)
    jobs: "deque[_Job]" = field(default_factory=deque)
    computed_tokens: int = 0

    def serve(
        self, now_s: float, send: SendAttempt, tokens: int, out: int, stores: list[FakeStore]
    ) -> Served:
        """Queue an attempt and say when its answer comes."""
        start_s = max(now_s, self.free_s)
        cached = self._leading(send.piece_names)
        imported, ready_s = self._import(now_s, send, cached, stores)
        computed = tokens - (cached + imported) * PIECE_TOKENS
        self.computed_tokens += computed
        first_token_s = max(start_s, ready_s) + computed / self.rate
        # An import waits for the link while others are computed.
        self.free_s = start_s + computed / self.rate
        end_s = first_token_s + out * TOKEN_GAP_S
        self._keep(send.piece_names)
        self.jobs.append(_Job(now_s, first_token_s, end_s, computed))
        return Served(first_token_s, end_s, cached * PIECE_TOKENS, imported * PIECE_TOKENS)

    def _leading(self, names: tuple[str, ...]) -> int:
        for index, name in enumerate(names):
            if name not in self.cache:
                return index
        return len(names)

    def _import(
        self, now_s: float, send: SendAttempt, cached: int, stores: list[FakeStore]
    ) -> tuple[int, float]:
        places = {hint.piece: hint.address for hint in send.imports}
        by_address = {store.listed.address: store for store in stores}
        imported = 0
        ready_s = now_s
        for name in send.piece_names[cached:]:
            store = by_address.get(places.get(name, ""))
            if store is None or store.dead or name not in store.pieces:
                break
            ready_s = store.transfer(now_s, 1)
            imported += 1
        return imported, ready_s

    def _keep(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.cache[name] = names[0]
            self.cache.move_to_end(name)
        while len(self.cache) > self.cache_pieces:
            name, root = self.cache.popitem(last=False)
            if not self.lose_events:
                self.evicted.append(StoredPiece(name, root))

    def report(self, now_s: float) -> LoadReported:
        """Return the load as it was some time ago."""
        at_s = now_s - self.load_lag_s
        while self.jobs and self.jobs[0].end_s < at_s - 1.0:
            self.jobs.popleft()
        known = [job for job in self.jobs if job.arrived_s <= at_s < job.end_s]
        waiting = [job for job in known if job.first_token_s > at_s]
        evicted, self.evicted = tuple(self.evicted), []
        return LoadReported(
            self.listed.name,
            len(known) - len(waiting),
            len(waiting),
            sum(job.tokens for job in waiting),
            self.listed.model,
            self.weight_version,
            self.load_lag_s,
            evicted,
        )


@dataclass
class FakeService:
    """A plain service that counts how often each idempotency key ran."""

    listed: ListedTarget
    run_s: float = 0.01
    dead: bool = False
    cut_after_run: int = 0
    runs: "Counter[str]" = field(default_factory=Counter)
