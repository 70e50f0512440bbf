"""Fakes at the interfaces of the core, in virtual time: object store, targets, cache stores.

They count what the checks need.  All decisions under test are made by the cores, none here;
``bench.world`` connects fakes and cores.
"""

import zlib
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.platform.objects import (
    Change,
    Changes,
    Listing,
    ObjectStoreFailure,
    StoredObject,
    Written,
)
from filbertstream.process.cache_stores import CacheChange
from filbertstream.process.deployment import Address
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.request.call import CacheDirectives, Prompt

PREFILL_TOKENS_PER_S: Final = 50_000.0
TOKEN_GAP_S: Final = 0.027
CACHE_TOKENS: Final = 300_000
LINK_TOKENS_PER_S: Final = 600_000.0
STORE_TOKENS: Final = 40_000_000
SWAP_S: Final = 0.4
PORT: Final = 80
TARGETS_NETWORK: Final = int(IPv4Address("10.0.0.0"))

CallResult = Result[Any, ObjectStoreFailure]


class FakeObjects:
    """The object store: objects with revisions, conditional writes, a history to watch.

    ``down`` refuses every call; the next ``lose_responses`` writes are carried out without a
    response, the next ``late_writes`` writes are carried out ``LATE_WRITE_S`` later without one.
    ``restore`` brings the store back as it was at a revision, with the next ``epoch``; what was
    written since is lost, and its revisions are given out again.
    """

    def __init__(self, after: Callable[[float, Callable[[], object]], None]) -> None:
        self.objects: dict[str, dict[str, StoredObject]] = {}
        self.down = False
        self.lose_responses = 0
        self.late_writes = 0
        self.calls: Counter[str] = Counter()
        self.revision = 0
        self.epoch = 1
        self._after = after
        self._history: list[tuple[int, str, Change]] = []

    def list(self, kind: str, sent_at_s: float) -> Result[Listing, ObjectStoreFailure]:
        """Return all objects of a kind."""
        self.calls["reads"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        listed = tuple(self.objects.get(kind, {}).values())
        return Ok(Listing(sent_at_s, self.as_of, listed))

    def watch(
        self, kind: str, since: EpochNumber, sent_at_s: float
    ) -> Result[Changes, ObjectStoreFailure]:
        """Return what changed after a revision."""
        self.calls["reads"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        if not self.as_of.succeeds(since):
            return Err(ObjectStoreFailure.EXPIRED)
        changes = [
            item
            for revision_at, changed_kind, item in self._history
            if changed_kind == kind and revision_at > since.number
        ]
        return Ok(Changes(sent_at_s, self.as_of, tuple(changes)))

    def read(self, kind: str, name: str) -> Result[StoredObject | None, ObjectStoreFailure]:
        """Return one object."""
        self.calls["reads"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        return Ok(self.objects.get(kind, {}).get(name))

    def create(self, kind: str, name: str, content: Any) -> Result[Written, ObjectStoreFailure]:
        """Create an object unless there is one of that name."""
        return self._write(kind, name, content, NO_REVISION)

    def put(
        self, kind: str, name: str, content: Any, revision: EpochNumber
    ) -> Result[Written, ObjectStoreFailure]:
        """Replace an object that has the given revision, or create it for ``NO_REVISION``."""
        return self._write(kind, name, content, revision)

    def replace(
        self, kind: str, name: str, content: Any, revision: EpochNumber
    ) -> Result[Written, ObjectStoreFailure]:
        """Replace an object if it still has the revision."""
        return self._write(kind, name, content, revision)

    def restore(self, revision: int) -> None:
        """Bring the store back from the copy that was made at a revision."""
        self._history = [item for item in self._history if item[0] <= revision]
        self.revision = revision
        self.epoch += 1
        self.objects = {}
        for _, kind, (stored, removed) in self._history:
            objects = self.objects.setdefault(kind, {})
            objects.pop(stored.name, None)
            if not removed:
                number = stored.revision.number
                objects[stored.name] = stored._replace(revision=EpochNumber(self.epoch, number))

    @property
    def as_of(self) -> EpochNumber:
        """The current revision."""
        return EpochNumber(self.epoch, self.revision)

    def register(self, kind: str, name: str, content: Any) -> None:
        """Write an object as its owner does; an unchanged one is not recorded as a change."""
        raw = msgspec.json.encode(content)
        present = self.objects.get(kind, {}).get(name)
        if not self.down and (present is None or bytes(present.content) != raw):
            self._apply(kind, name, content, NO_REVISION if present is None else present.revision)

    def remove(
        self, kind: str, name: str, revision: EpochNumber = NO_REVISION
    ) -> Result[Written, ObjectStoreFailure]:
        """Remove an object, if a revision is given only if it still has that one."""
        self.calls["writes"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        present = self.objects.get(kind, {}).get(name)
        if present is not None and revision not in (NO_REVISION, present.revision):
            return Ok(Written(False, present))
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._record_change(kind, stored, True)
        return Ok(Written(stored is not None, None))

    def _write(
        self, kind: str, name: str, content: Any, revision: EpochNumber
    ) -> Result[Written, ObjectStoreFailure]:
        self.calls["writes"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        if self.late_writes > 0:
            self.late_writes -= 1
            self._after(LATE_WRITE_S, lambda: self._apply(kind, name, content, revision))
            return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
        written = self._apply(kind, name, content, revision)
        if self.lose_responses > 0:
            self.lose_responses -= 1
            return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
        return Ok(written)

    def _apply(self, kind: str, name: str, content: Any, revision: EpochNumber) -> Written:
        objects = self.objects.setdefault(kind, {})
        present = objects.get(name)
        if (NO_REVISION if present is None else present.revision) != revision:
            return Written(False, present)
        raw = msgspec.Raw(msgspec.json.encode(content))
        revision = EpochNumber(self.epoch, self.revision + 1)
        stored = objects[name] = StoredObject(name, revision, raw)
        self._record_change(kind, stored, False)
        return Written(True, stored)

    def _record_change(self, kind: str, stored: StoredObject, removed: bool) -> None:
        self.revision += 1
        self._history.append((self.revision, kind, Change(stored, removed)))


LATE_WRITE_S: Final = 3.0
"""Delay after which a write without a response is still carried out."""


@dataclass
class FakeCacheStore:
    """A cache store and its link, which transfers one block at a time."""

    name: str
    data_center: str
    address: str
    capacity_tokens: int = STORE_TOKENS
    tokens_per_s: float = LINK_TOKENS_PER_S
    dead: bool = False
    full: bool = False
    start_id: int = 1
    blocks: dict[tuple[str, str], int] = field(default_factory=dict)
    events: list[CacheChange] = field(default_factory=list)
    link_free_s: float = 0.0
    link_busy_s: float = 0.0

    def transfer(self, now_s: float, tokens: int) -> float:
        """Queue a transfer on the link; return when it ends."""
        transfer_s = tokens / self.tokens_per_s
        self.link_free_s = max(now_s, self.link_free_s) + transfer_s
        self.link_busy_s += transfer_s
        return self.link_free_s

    def save(self, key: tuple[str, str], tokens: int) -> None:
        """Save a block if it fits."""
        used_tokens = sum(self.blocks.values())
        if (
            self.dead
            or self.full
            or key in self.blocks
            or used_tokens + tokens > self.capacity_tokens
        ):
            return
        self.blocks[key] = tokens
        self.events.append(CacheChange(True, key, tokens))

    def free(self, key: tuple[str, str]) -> None:
        """Free a block."""
        tokens = self.blocks.pop(key, None)
        if tokens is not None:
            self.events.append(CacheChange(False, key, tokens))


def _ip_address(name: str) -> str:
    """Return the address of the VM of a target."""
    return str(IPv4Address(TARGETS_NETWORK + zlib.crc32(name.encode()) % 2**24))


@dataclass
class FakeTarget:
    """A runner (``model``) or a plain service, with a record of what ran.

    ``weights`` of a runner change ``SWAP_S`` after an order; prompts are prefilled one at a time.
    All its responses to requests name ``limit_per_s``; ``arrivals`` has the times of all requests
    and calls.  A prompt with one of the ``deadly`` blocks crashes it when its response begins,
    after the head if ``head_first`` is set, or ``crash_after_s`` after the first event if that is
    given; ``deadly_arrivals`` has the times of their requests.
    It starts again after ``restart_s``.  Its work takes ``slowness`` times as long as usual;
    ``reported_slowness`` is what its responses say of that, None for nothing.
    """

    name: str
    service: str
    data_center: str
    model: str = ""
    weights: int = 1
    run_s: float = 0.01
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    dead: bool = False
    draining: bool = False
    lose_responses: int = 0
    orders: int = 0
    loading_until_s: float = 0.0
    prefill_free_s: float = 0.0
    running: int = 0
    waiting: int = 0
    cache_tokens: int = CACHE_TOKENS
    cache: "OrderedDict[tuple[str, str], int]" = field(default_factory=OrderedDict)
    runs: "Counter[str]" = field(default_factory=Counter)
    ran: set[str] = field(default_factory=set)
    accepted_orders: list[tuple[float, int, str]] = field(default_factory=list)
    prefilled_tokens: int = 0
    limit_per_s: float | None = None
    arrivals: list[float] = field(default_factory=list)
    deadly: frozenset[str] = frozenset()
    head_first: bool = True
    crash_after_s: float | None = None
    restart_s: float = 2.5
    started_ms: int = 1
    crashed: bool = False
    crashes: list[float] = field(default_factory=list)
    deadly_arrivals: list[float] = field(default_factory=list)
    slowness: float = 1.0
    reported_slowness: float | None = None

    def is_deadly(self, prompt: Prompt | None) -> bool:
        """Whether a prompt crashes this target."""
        return prompt is not None and any(item.block_id in self.deadly for item in prompt.blocks)

    def start(self) -> None:
        """Start again after a crash: nothing of before is known."""
        self.dead = self.crashed = False
        self.started_ms += 1
        self.cache.clear()
        self.running = self.waiting = 0
        self.prefill_free_s = 0.0
        self.orders = 0

    def end_run(self, started_ms: int) -> None:
        """End a run, unless a crash since its start has ended it."""
        if self.started_ms == started_ms:
            self.running -= 1

    def registration(self) -> TargetRegistration:
        """Return the target's registration."""
        weights = {self.model: self.weights} if self.model else {}
        return TargetRegistration(
            self.name,
            self.service,
            Address(_ip_address(self.name), PORT),
            self.data_center,
            64,
            self.draining,
            0.0,
            weights,
            self.started_ms,
        )

    def queue_prompt(
        self,
        prompt: Prompt,
        directives: CacheDirectives,
        stores: dict[str, FakeCacheStore],
        now_s: float,
    ) -> float:
        """Queue a prompt; return the time of its first token."""
        start_s = max(now_s, self.prefill_free_s)
        ready_s, to_prefill = now_s, prompt.tokens
        fetches = directives.fetch or ("",) * len(prompt.blocks)
        for block, fetch in zip(prompt.blocks, fetches, strict=True):
            key = (directives.namespace, block.block_id)
            store = stores.get(fetch.partition("/")[0])
            if key in self.cache:
                to_prefill -= block.tokens
            elif store is not None and not store.dead and key in store.blocks:
                ready_s = store.transfer(now_s, block.tokens)
                to_prefill -= block.tokens
            self._cache_block(key, block.tokens)
        self.prefilled_tokens += to_prefill
        rate = self.prefill_tokens_per_s / self.slowness
        self.prefill_free_s = start_s + to_prefill / rate
        return max(start_s, ready_s) + to_prefill / rate

    def _cache_block(self, key: tuple[str, str], tokens: int) -> None:
        self.cache[key] = tokens
        self.cache.move_to_end(key)
        while sum(self.cache.values()) > self.cache_tokens:
            self.cache.popitem(last=False)
