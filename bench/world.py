"""Drives cores and fakes in virtual time: an event queue, no threads, no sockets, one seed.

Tests inject faults through the fields of the fakes, ``cut`` (links between entries),
``store_cut`` (entries cut off from the object store), ``paused`` and ``kill``; measurements submit
requests and read the outcomes.  The same seed gives the same run.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Generator
from typing import Any, Final, NamedTuple

from result import Err, Ok

from bench.fakes import FakeCacheStore, FakeObjects, FakeTarget
from bench.platform_side import PlatformSide, registration
from bench.targets import TargetSide
from filbertstream.actions import Log, SendPeer
from filbertstream.connection.document_store import ApplyResult, DocumentStore
from filbertstream.fleet.crash_detector import ProbeTarget
from filbertstream.fleet.quarantine import RemoveQuarantine, WriteQuarantine
from filbertstream.gateway import Gateway, GatewayConfig
from filbertstream.gateway_events import (
    PeerMessage,
    PublishKind,
    RemoveEntry,
    StopProcess,
    StopRequested,
    Tick,
    WriteEntry,
)
from filbertstream.platform.documents import TARGETS_KIND
from filbertstream.process.cache_stores import FreeBlocks, ListCacheBlocks, PollCacheEvents
from filbertstream.process.deployment import Bounds
from filbertstream.process.document_recovery import RewriteDocuments
from filbertstream.process.rollout_lease import WriteLease
from filbertstream.request.call import (
    BufferedResponse,
    CallHead,
    IdempotencyKey,
    Prompt,
    PromptBlock,
)
from filbertstream.request.call_events import (
    AbortResponse,
    CallArrived,
    CancelSend,
    ContinueResponse,
    ProbeLoad,
    RelayResponse,
    ReplayResponse,
    RespondLocally,
    SendCall,
)
from filbertstream.request.idempotency_keys import ClaimKey, SettleKey
from filbertstream.request.key_journal import RewriteKey
from filbertstream.request.key_writes import (
    KeyCall,
    KeyResponse,
    claim_steps,
    rewrite_steps,
    settle_steps,
)
from filbertstream.version.compiled import model_host, service_host
from filbertstream.version.documents import Change, Store, encode_changes
from filbertstream.version.rollout import OrderWeights, PollReport

TICK_S: Final = 0.05
PEER_LATENCY_S: Final = 0.001
HEARTBEAT_S: Final = 0.6
LISTED_WAIT_S: Final = 3.0

BOUNDS: Final = Bounds(
    config_apply_s=2.0,
    drain_s=2.0,
    revoke_s=5.0,
    strict_revocation=True,
    reuse_s=2.0,
    grace_s=20.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=0.0,
    lease_s=3.0,
    version_s=8.0,
    contact_s=3.0,
    retry_floor=4,
)


class Outcome(NamedTuple):
    """How a request ended, and when.

    ``kind`` is answered, kept (a stored response was replayed), refused or broken.
    """

    kind: str
    status: int
    code: str
    run: str
    at_s: float
    first_token_s: float | None
    retry_after_s: float | None


class Submitted(NamedTuple):
    """A request as it was submitted."""

    head: CallHead
    member: str
    at_s: float
    out_tokens: int


class World:
    """Cores, fakes, and the queue of future events."""

    def __init__(self, seed: int = 1, bounds: Bounds = BOUNDS) -> None:
        self.now_s = 100.0
        self.rng = random.Random(seed)
        self.seed = seed
        self.bounds = bounds
        self.objects = FakeObjects(self.after)
        self.cores: dict[str, Gateway] = {}
        self.targets: dict[str, FakeTarget] = {}
        self.stores: dict[str, FakeCacheStore] = {}
        self.cut: set[frozenset[str]] = set()
        self.store_cut: set[str] = set()
        self.paused: set[str] = set()
        self.stalled: set[str] = set()
        self.killed: set[str] = set()
        self.outcomes: dict[str, list[Outcome]] = {}
        self.submitted: dict[str, Submitted] = {}
        self.applied: list[tuple[float, ApplyResult]] = []
        self.logs: list[tuple[float, str, Log]] = []
        self.drain_registered_s: dict[str, float] = {}
        self.on_action: Callable[[str, Any], None] | None = None
        self.first_token_s: dict[str, float] = {}
        self.calls: dict[tuple[str, int], str] = {}
        self.target_side = TargetSide(self)
        self.platform = PlatformSide(self)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._held_events: dict[str, list[Any]] = {}
        self._numbers = itertools.count(1)
        self._incarnations = itertools.count(1)
        self._handlers: dict[type, Callable[[Gateway, Any], None]] = {
            Log: self._note_log,
            SendPeer: self._send_peer,
            SendCall: self.target_side.send,
            CancelSend: self.target_side.cancel,
            RelayResponse: lambda core, action: None,
            ContinueResponse: lambda core, action: None,
            RespondLocally: self._respond_locally,
            ReplayResponse: self._replay,
            AbortResponse: self._abort,
            PollReport: self.target_side.poll_report,
            OrderWeights: self.target_side.order_weights,
            PollCacheEvents: self.target_side.poll_cache_events,
            ListCacheBlocks: self.target_side.list_cache_blocks,
            FreeBlocks: self.target_side.free_blocks,
            ProbeTarget: self.target_side.probe,
            ProbeLoad: self.target_side.probe_load,
            PublishKind: self.platform.publish,
            WriteLease: self.platform.write_lease,
            WriteEntry: self.platform.write_entry,
            RemoveEntry: self.platform.remove_entry,
            WriteQuarantine: self.platform.write_quarantine,
            RemoveQuarantine: self.platform.remove_quarantine,
            ClaimKey: lambda core, claim: self._run_key_steps(core, claim_steps(claim)),
            RewriteKey: lambda core, rewrite: self._run_key_steps(core, rewrite_steps(rewrite)),
            RewriteDocuments: self.platform.rewrite_documents,
            SettleKey: lambda core, settle: self._run_key_steps(core, settle_steps(settle)),
            StopProcess: lambda core, action: self.deliver(core.cfg.name, StopRequested()),
        }

    # Setting up

    def add_entry(self, name: str, data_center: str = "dc1") -> Gateway:
        """Start an entry, or a new incarnation of one."""
        number = next(self._incarnations)
        cfg = GatewayConfig(
            name,
            number,
            data_center,
            self.bounds,
            f"tcp://{name}",
            self.seed + number,
            self.platform.followed,
            has_documents=True,
        )
        core = self.cores[name] = Gateway(cfg)
        self._held_events.pop(name, None)
        self.after(0.0, lambda: self._tick(core))
        self.platform.follow(core)
        return core

    def kill(self, name: str) -> None:
        """Kill an entry."""
        del self.cores[name]
        self.killed.add(name)

    def add_runner(self, name: str, data_center: str = "dc1", model: str = "m") -> FakeTarget:
        """Add a runner, which renews its own registration."""
        return self._add_target(FakeTarget(name, model, data_center, model))

    def add_service(self, name: str, data_center: str = "dc1", service: str = "s") -> FakeTarget:
        """Add a target of a plain service, which renews its own registration."""
        return self._add_target(FakeTarget(name, service, data_center))

    def _add_target(self, target: FakeTarget) -> FakeTarget:
        self.targets[target.name] = target
        self._heartbeat(target)
        return target

    def add_store(self, name: str, data_center: str = "dc1") -> FakeCacheStore:
        """Add a cache store; ``store_document`` returns its document."""
        address = f"10.9.0.{len(self.stores) + 1}:80"
        store = self.stores[name] = FakeCacheStore(name, data_center, address)
        return store

    def store_document(self, name: str) -> Store:
        """Return the document of a cache store."""
        store = self.stores[name]
        return Store("store", name, store.address, store.data_center, store.capacity_tokens)

    def _heartbeat(self, target: FakeTarget) -> None:
        """Renew a target's registration and schedule the next heartbeat."""
        if not target.dead and not self.objects.down:
            registered = target.registration()
            if registered.draining:
                self.drain_registered_s.setdefault(target.name, self.now_s)
            self.objects.register(TARGETS_KIND, target.name, registration(registered))
        self.after(HEARTBEAT_S, lambda: self._heartbeat(target))

    # Time

    def after(self, delay_s: float, do: Callable[[], object]) -> None:
        """Schedule a call after a delay."""
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._order), do))

    def run(self, seconds: float) -> None:
        """Advance the virtual time and run what is due."""
        end_s = self.now_s + seconds
        while self._queue and self._queue[0][0] <= end_s:
            at_s, _, do = heapq.heappop(self._queue)
            self.now_s = at_s
            do()
        self.now_s = end_s

    def run_until(self, holds: Callable[[], bool], within_s: float) -> bool:
        """Advance the virtual time until a condition holds; return whether it does."""
        end_s = self.now_s + within_s
        while not holds() and self.now_s < end_s:
            self.run(TICK_S / 2)
        return holds()

    def _tick(self, core: Gateway) -> None:
        if self.cores.get(core.cfg.name) is not core:
            return
        self.deliver(core.cfg.name, Tick())
        self.after(TICK_S, lambda: self._tick(core))

    # Events in

    def deliver(self, name: str, event: Any) -> None:
        """Deliver an event to an entry now, or when it is resumed if it is paused."""
        core = self.cores.get(name)
        if core is None:
            return
        if name in self.paused:
            self._held_events.setdefault(name, []).append(event)
            return
        for action in core.step(self.now_s, event):
            if self.on_action is not None:
                self.on_action(name, action)
            self._handlers[type(action)](core, action)

    def resume(self, name: str) -> None:
        """Resume a paused entry and deliver all events held back meanwhile."""
        self.paused.discard(name)
        for event in self._held_events.pop(name, []):
            self.deliver(name, event)

    def deliver_later(self, core: Gateway, delay_s: float, event: Any) -> None:
        """Deliver an event to one incarnation of an entry, unless it has ended by then."""

        def deliver_if_alive() -> None:
            if self.cores.get(core.cfg.name) is core:
                self.deliver(core.cfg.name, event)

        self.after(delay_s, deliver_if_alive)

    def apply(self, changes: list[Change], base: int | None = None) -> ApplyResult:
        """Apply changes as an operator does through any entry."""
        store: Any = self.objects
        result = DocumentStore(store).apply(encode_changes(changes), base)
        self.applied.append((self.now_s, result))
        return result

    def submit(self, member: str, head: CallHead, out_tokens: int = 8) -> str:
        """Submit a request; its outcomes are added to ``outcomes``."""
        number = next(self._numbers)
        self.outcomes[head.request_id] = []
        self.submitted[head.request_id] = Submitted(head, member, self.now_s, out_tokens)
        self.calls[member, number] = head.request_id
        self.deliver(member, CallArrived(number, head))
        return head.request_id

    def request(
        self,
        member: str,
        kind: str = "model",
        key: str = "k",
        name: str = "",
        tokens: int = 100,
        blocks: tuple[PromptBlock, ...] = (),
        idempotency_key: str | None = None,
        body: str = "",
        deadline_s: float | None = None,
        out_tokens: int = 8,
    ) -> str:
        """Submit a request with common values; return its id."""
        model = name or "m"
        host = model_host(model) if kind == "model" else service_host(name or "s", "POST")
        prompt = Prompt(model, tokens, out_tokens, blocks) if kind == "model" else None
        idem_key = None if idempotency_key is None else IdempotencyKey(idempotency_key, body)
        request_id = f"req-{next(self._numbers)}"
        head = CallHead(request_id, "POST", host, "/", key, deadline_s, 10, prompt, None, idem_key)
        return self.submit(member, head, out_tokens)

    # Actions out

    def _note_log(self, core: Gateway, action: Log) -> None:
        self.logs.append((self.now_s, core.cfg.name, action))

    def _respond_locally(self, core: Gateway, action: RespondLocally) -> None:
        run = "may_have_run" if action.status in (502, 504) else "not_run"
        self._end(core, action.call_id, "refused", action, run)

    def _replay(self, core: Gateway, action: ReplayResponse) -> None:
        self._end(core, action.call_id, "kept", None, "")

    def _abort(self, core: Gateway, action: AbortResponse) -> None:
        self._end(core, action.call_id, "broken", None, "may_have_run")

    def record_complete(self, core: Gateway, call_id: int) -> None:
        """Record that a caller has received its complete response."""
        self._end(core, call_id, "answered", None, "")

    def _end(
        self, core: Gateway, call_id: int, kind: str, refusal: RespondLocally | None, run: str
    ) -> None:
        request_id = self.calls[core.cfg.name, call_id]
        outcome = Outcome(
            kind,
            200 if refusal is None else refusal.status,
            "" if refusal is None else refusal.code,
            run,
            self.now_s,
            self.first_token_s.pop(request_id, None),
            None if refusal is None else refusal.retry_after_s,
        )
        self.outcomes[request_id].append(outcome)

    def buffered_response(self, request_id: str) -> BufferedResponse:
        """Return a service's response to a request, as stored for its idempotency key."""
        return BufferedResponse(200, "text/plain", request_id.encode())

    def _send_peer(self, core: Gateway, action: SendPeer) -> None:
        name = action.address.removeprefix("tcp://")
        peer = self.cores.get(name)
        if peer is None or frozenset((core.cfg.name, name)) in self.cut:
            return
        self.deliver_later(peer, PEER_LATENCY_S, PeerMessage(action.payload))

    def _run_key_steps(self, core: Gateway, steps: Generator[KeyCall, KeyResponse, Any]) -> None:
        """Carry out the writes for an idempotency key, each with the object store's latency."""

        def step(response: KeyResponse | None) -> None:
            try:
                call = next(steps) if response is None else steps.send(response)
            except StopIteration as stop:
                if stop.value is not None:
                    self.deliver_later(core, 0.0, stop.value)
                return
            self.platform.key_call(core, call, step)

        step(None)

    def is_cut_off(self, name: str) -> bool:
        """Whether an entry gets no responses from the object store."""
        return self.objects.down or name in self.store_cut


def value_or_none(result: Any) -> Any:
    """Return the value of a successful call, or None."""
    match result:
        case Ok(value):
            return value
        case Err(_):
            return None
    raise AssertionError(f"neither Ok nor Err: {result!r}")
