"""Fakes at the interfaces of the core, in virtual time: the platform's store, targets, stores.

They keep the counts that checks need.  Nothing here takes a decision of the system's;
``bench.world`` connects fakes and cores.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

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
LOAD_S: Final = 0.4
PORT: Final = 80

Answer = Result[Any, ObjectStoreFailure]


class FakeObjects:
    """The platform's store: objects with revisions, conditional writes, a history to watch.

    ``down`` refuses every call, ``lose_answers`` counts writes that are carried out and not
    answered, ``late_writes`` counts those that are carried out seconds later and not answered.
    """

    def __init__(self, after: Callable[[float, Callable[[], object]], None]) -> None:
        self.objects: dict[str, dict[str, StoredObject]] = {}
        self.down = False
        self.lose_answers = 0
        self.late_writes = 0
        self.calls: Counter[str] = Counter()
        self.revision = 0
        self._after = after
        self._history: list[tuple[int, str, Change]] = []

    def list(self, kind: str, sent_at_s: float) -> Result[Listing, ObjectStoreFailure]:
        """Return all objects of a kind."""
        self.calls["reads"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        found = tuple(self.objects.get(kind, {}).values())
        return Ok(Listing(sent_at_s, self.revision, found))

    def watch(self, kind: str, since: int, sent_at_s: float) -> Result[Changes, ObjectStoreFailure]:
        """Return what changed after a revision."""
        self.calls["reads"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        changes = [item for at, of, item in self._history if of == kind and at > since]
        return Ok(Changes(sent_at_s, self.revision, tuple(changes)))

    def read(self, kind: str, name: str) -> Result[StoredObject | None, ObjectStoreFailure]:
        """Return one object."""
        self.calls["reads"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        return Ok(self.objects.get(kind, {}).get(name))

    def create(self, kind: str, name: str, content: Any) -> Result[Written, ObjectStoreFailure]:
        """Create an object unless there is one of that name."""
        return self._write(kind, name, content, 0)

    def replace(
        self, kind: str, name: str, content: Any, revision: int
    ) -> Result[Written, ObjectStoreFailure]:
        """Replace an object if it still has the revision."""
        return self._write(kind, name, content, revision)

    def register(self, kind: str, name: str, content: Any) -> None:
        """Write an object as its owner does; one that stays as it was is not a change."""
        raw = msgspec.json.encode(content)
        present = self.objects.get(kind, {}).get(name)
        if not self.down and (present is None or bytes(present.content) != raw):
            self._apply(kind, name, content, 0 if present is None else present.revision)

    def remove(self, kind: str, name: str) -> Result[Written, ObjectStoreFailure]:
        """Remove an object."""
        self.calls["writes"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._note(kind, stored, True)
        return Ok(Written(stored is not None, None))

    def _write(
        self, kind: str, name: str, content: Any, revision: int
    ) -> Result[Written, ObjectStoreFailure]:
        self.calls["writes"] += 1
        if self.down:
            return Err(ObjectStoreFailure.REFUSED)
        if self.late_writes > 0:
            self.late_writes -= 1
            self._after(LATE_S, lambda: self._apply(kind, name, content, revision))
            return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
        written = self._apply(kind, name, content, revision)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
        return Ok(written)

    def _apply(self, kind: str, name: str, content: Any, revision: int) -> Written:
        objects = self.objects.setdefault(kind, {})
        present = objects.get(name)
        if (0 if present is None else present.revision) != revision:
            return Written(False, present)
        raw = msgspec.Raw(msgspec.json.encode(content))
        stored = objects[name] = StoredObject(name, self.revision + 1, raw)
        self._note(kind, stored, False)
        return Written(True, stored)

    def _note(self, kind: str, stored: StoredObject, removed: bool) -> None:
        self.revision += 1
        self._history.append((self.revision, kind, Change(stored, removed)))


LATE_S: Final = 3.0
"""How much later a write that was not answered may be carried out."""


@dataclass
class FakeCacheStore:
    """A store of kept cache and its link, which transfers one part after another."""

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
        """Book a transfer; return when it ends."""
        seconds = tokens / self.tokens_per_s
        self.link_free_s = max(now_s, self.link_free_s) + seconds
        self.link_busy_s += seconds
        return self.link_free_s

    def save(self, key: tuple[str, str], tokens: int) -> None:
        """Take a part in, if there is room."""
        held = sum(self.blocks.values())
        if self.dead or self.full or key in self.blocks or held + tokens > self.capacity_tokens:
            return
        self.blocks[key] = tokens
        self.events.append(CacheChange(True, key, tokens))

    def free(self, key: tuple[str, str]) -> None:
        """Drop a part."""
        tokens = self.blocks.pop(key, None)
        if tokens is not None:
            self.events.append(CacheChange(False, key, tokens))


@dataclass
class FakeTarget:
    """A runner (``model``) or a plain service, with what ran there.

    ``weights`` of a runner change ``LOAD_S`` after an order; prompts are read one after another.
    """

    name: str
    service: str
    data_center: str
    model: str = ""
    weights: int = 1
    run_s: float = 0.01
    rate: float = PREFILL_TOKENS_PER_S
    dead: bool = False
    draining: bool = False
    lose: int = 0
    orders: int = 0
    loading_until_s: float = 0.0
    free_s: float = 0.0
    running: int = 0
    waiting: int = 0
    cache_tokens: int = CACHE_TOKENS
    cache: "OrderedDict[tuple[str, str], int]" = field(default_factory=OrderedDict)
    runs: "Counter[str]" = field(default_factory=Counter)
    ran: set[str] = field(default_factory=set)
    accepted_orders: list[tuple[float, int, str]] = field(default_factory=list)
    computed_tokens: int = 0

    def entry(self) -> TargetRegistration:
        """Return its registration."""
        weights = {self.model: self.weights} if self.model else {}
        return TargetRegistration(
            self.name,
            self.service,
            Address(self.name, PORT),
            self.data_center,
            64,
            self.draining,
            0.0,
            weights,
            1,
        )

    def read(
        self,
        prompt: Prompt,
        orders: CacheDirectives,
        stores: dict[str, FakeCacheStore],
        now_s: float,
    ) -> float:
        """Queue a prompt; return when its first token comes."""
        start_s = max(now_s, self.free_s)
        ready_s, computed = now_s, prompt.tokens
        fetches = orders.fetch or ("",) * len(prompt.blocks)
        for block, fetch in zip(prompt.blocks, fetches, strict=True):
            key = (orders.namespace, block.block_id)
            store = stores.get(fetch.partition("/")[0])
            if key in self.cache:
                computed -= block.tokens
            elif store is not None and not store.dead and key in store.blocks:
                ready_s = store.transfer(now_s, block.tokens)
                computed -= block.tokens
            self._keep(key, block.tokens)
        self.computed_tokens += computed
        self.free_s = start_s + computed / self.rate
        return max(start_s, ready_s) + computed / self.rate

    def _keep(self, key: tuple[str, str], tokens: int) -> None:
        self.cache[key] = tokens
        self.cache.move_to_end(key)
        while sum(self.cache.values()) > self.cache_tokens:
            self.cache.popitem(last=False)
