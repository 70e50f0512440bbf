"""Drives cores and fakes in virtual time: an event queue, no threads, no sockets, one seed.

Tests bring about faults by setting the fields of fakes, ``cut`` links, ``paused`` and ``dead``
members; measurements feed requests in and read the outcomes.  The same seed gives the same run.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from bench.fakes import FakePlatform, FakeRunner, FakeService, FakeStore
from bench.targets import TargetSide
from filbertstream.actions import (
    Action,
    AnswerKept,
    ApplyEnded,
    AwaitDecision,
    DrainEnded,
    ExportPieces,
    ListObjects,
    Log,
    OrderTarget,
    PollTarget,
    PutObject,
    Refuse,
    ResumeAttempt,
    SendAttempt,
    SendPeer,
)
from filbertstream.core import Core, CoreConfig
from filbertstream.events import (
    ApplyRequested,
    CallerRequest,
    DecisionOverdue,
    DrainRequested,
    Event,
    ListedTarget,
    PeerMessage,
    TargetsListed,
    Tick,
)
from filbertstream.names import digest_key
from filbertstream.version.documents import Change, encode_changes

TICK_S: Final = 0.1
LIST_S: Final = 1.0
PEER_S: Final = 0.001
PLATFORM_S: Final = 0.003
SECRET: Final = b"world"


class Outcome(NamedTuple):
    """How a request ended, and when."""

    kind: str
    code: str
    run: str
    at_s: float
    first_token_s: float | None
    retry_after_s: float


class Asked(NamedTuple):
    """A request as it was put in."""

    req: CallerRequest
    member: str
    at_s: float
    out_tokens: int


class World:
    """Cores, fakes, and the queue of what happens next."""

    def __init__(self, seed: int = 1, list_lag_s: float = 1.0, policy: str = "cost") -> None:
        self.now_s = 100.0
        self.rng = random.Random(seed)
        self.platform = FakePlatform()
        self.cores: dict[str, Core] = {}
        self.runners: dict[str, FakeRunner] = {}
        self.services: dict[str, FakeService] = {}
        self.stores: dict[str, FakeStore] = {}
        self.cut: set[frozenset[str]] = set()
        self.platform_cut: set[str] = set()
        self.paused: set[str] = set()
        self.silent: set[str] = set()
        self.killed: set[str] = set()
        self.platform_s = PLATFORM_S
        self.outcomes: dict[str, list[Outcome]] = {}
        self.asked: dict[str, Asked] = {}
        self.applied: dict[str, list[ApplyEnded]] = {}
        self.drained: dict[str, list[DrainEnded]] = {}
        self.logs: list[tuple[float, str, Log]] = []
        self.on_action: Callable[[str, Action], None] | None = None
        self.targets = TargetSide(self)
        self.list_lag_s = list_lag_s
        self._policy = policy
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._held: dict[str, list[Event]] = {}
        self._numbers = itertools.count(1)
        self._incarnations = itertools.count(1)
        self.first_token_s: dict[str, float] = {}
        self._list_history: list[tuple[float, tuple[ListedTarget, ...]]] = []

    # Building

    def add_entry(self, name: str, data_center: str = "dc1", seeds: tuple[str, ...] = ()) -> Core:
        """Start a member, or a new incarnation of one."""
        cfg = CoreConfig(
            name,
            f"vm-{name}",
            data_center,
            next(self._incarnations),
            f"tcp://{name}",
            seeds or tuple(f"tcp://{other}" for other in self.cores if other != name),
            SECRET,
            claim_shards=4,
            policy=self._policy,
        )
        core = Core(cfg)
        self.cores[name] = core
        self._held.pop(name, None)
        self.after(0.0, lambda: self._tick(core))
        return core

    def kill(self, name: str) -> None:
        """End a member at once."""
        del self.cores[name]
        self.killed.add(name)

    def add_runner(self, name: str, model: str = "m", data_center: str = "dc1") -> FakeRunner:
        """Add a runner."""
        listed = ListedTarget(
            name, f"vm-{name}", "runner", f"http://{name}", data_center, "live", model, ""
        )
        self.runners[name] = FakeRunner(listed)
        return self.runners[name]

    def add_service(self, name: str, service: str = "s", data_center: str = "dc1") -> FakeService:
        """Add a target of a plain service."""
        listed = ListedTarget(
            name, f"vm-{name}", "service", f"http://{name}", data_center, "live", "", service
        )
        self.services[name] = FakeService(listed)
        return self.services[name]

    def add_store(self, name: str, data_center: str = "dc1") -> FakeStore:
        """Add a store."""
        listed = ListedTarget(
            name, f"vm-{name}", "store", f"http://{name}", data_center, "live", "", ""
        )
        self.stores[name] = FakeStore(listed)
        return self.stores[name]

    # Time

    def after(self, delay_s: float, do: Callable[[], object]) -> None:
        """Have something happen later."""
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._order), do))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end_s = self.now_s + seconds
        while self._queue and self._queue[0][0] <= end_s:
            at_s, _, do = heapq.heappop(self._queue)
            self.now_s = at_s
            do()
        self.now_s = end_s

    def run_until(self, holds: Callable[[], bool], within_s: float) -> bool:
        """Let time pass until something holds; whether it did."""
        end_s = self.now_s + within_s
        while not holds() and self.now_s < end_s:
            self.run(TICK_S / 2)
        return holds()

    def _tick(self, core: Core) -> None:
        if self.cores.get(core.cfg.name) is not core:
            return
        self.give(core.cfg.name, Tick())
        self.after(TICK_S, lambda: self._tick(core))

    # Events in

    def give(self, name: str, event: Event) -> None:
        """Hand an event to a member now; a paused one gets it when it goes on."""
        core = self.cores.get(name)
        if core is None:
            return
        if name in self.paused:
            self._held.setdefault(name, []).append(event)
            return
        for action in core.step(self.now_s, event):
            if self.on_action is not None:
                self.on_action(name, action)
            self._carry_out(core, action)

    def resume(self, name: str) -> None:
        """Let a paused member go on: it sees at once all that it missed."""
        self.paused.discard(name)
        for event in self._held.pop(name, []):
            self.give(name, event)

    def later(self, core: Core, delay_s: float, event: Event) -> None:
        """Deliver an event to one life of a member, unless that has ended by then."""

        def deliver() -> None:
            if self.cores.get(core.cfg.name) is core:
                self.give(core.cfg.name, event)

        self.after(delay_s, deliver)

    def list_targets(self) -> None:
        """Deliver the lagging list to every member, from now on each second."""
        rows = tuple(
            fake.listed
            for fakes in (self.runners, self.services, self.stores)
            for fake in fakes.values()
        )
        self._list_history.append((self.now_s, rows))
        seen = [item for at_s, item in self._list_history if at_s <= self.now_s - self.list_lag_s]
        shown = seen[-1] if seen else self._list_history[0][1]
        for name in list(self.cores):
            self.give(name, TargetsListed(shown))
        self.after(LIST_S, self.list_targets)

    def apply(self, member: str, changes: list[Change], base: int | None = None) -> str:
        """Ask for a change through a member; the answer lands in ``applied``."""
        request_id = f"apply-{next(self._numbers)}"
        self.applied[request_id] = []
        self.give(member, ApplyRequested(request_id, encode_changes(changes), base))
        return request_id

    def drain(self, member: str, vm: str) -> str:
        """Ask for a planned stop; the answer lands in ``drained``."""
        request_id = f"drain-{next(self._numbers)}"
        self.drained[request_id] = []
        self.give(member, DrainRequested(request_id, vm))
        return request_id

    def ask(self, member: str, req: CallerRequest, out_tokens: int = 8) -> str:
        """Put a request in; its outcomes land in ``outcomes``."""
        self.outcomes[req.request_id] = []
        self.asked[req.request_id] = Asked(req, member, self.now_s, out_tokens)
        self.give(member, req)
        return req.request_id

    def request(
        self,
        member: str,
        kind: str = "model",
        key: str = "k",
        name: str = "",
        tokens: int = 100,
        pieces: tuple[bytes, ...] = (),
        idempotency_key: str | None = None,
        body: str = "",
        deadline_s: float | None = None,
        out_tokens: int = 8,
    ) -> str:
        """Put a request with common values in; return its id."""
        target_name = name or ("m" if kind == "model" else "s")
        req = CallerRequest(
            f"req-{next(self._numbers)}",
            digest_key(key),
            kind,
            target_name,
            "POST",
            "/",
            tokens,
            pieces,
            deadline_s,
            idempotency_key,
            body,
            kind == "service",
        )
        return self.ask(member, req, out_tokens)

    # Actions out

    def _carry_out(self, core: Core, action: Action) -> None:
        match action:
            case SendPeer():
                self._send_peer(core, action)
            case PutObject():
                self._put(core, action)
            case ListObjects():
                self._list(core, action)
            case SendAttempt():
                self.targets.attempt(core, action)
            case ResumeAttempt():
                self.targets.resume(core, action)
            case AwaitDecision():
                self.later(core, action.within_s, DecisionOverdue(action.request_id))
            case PollTarget():
                self.targets.poll(core, action)
            case ExportPieces():
                self.targets.export(core, action)
            case OrderTarget():
                self.targets.order(core, action)
            case Refuse():
                self.end(action.request_id, "refused", action)
            case AnswerKept():
                self.end(action.request_id, "kept", None)
            case ApplyEnded():
                self.applied[action.request_id].append(action)
            case DrainEnded():
                self.drained.setdefault(action.request_id, []).append(action)
            case Log():
                self.logs.append((self.now_s, core.cfg.name, action))

    def end(self, request_id: str, kind: str, refusal: Refuse | None) -> None:
        """Note an outcome of a request."""
        outcome = Outcome(
            kind,
            refusal.code if refusal else "",
            refusal.run if refusal else "",
            self.now_s,
            self.first_token_s.pop(request_id, None),
            refusal.retry_after_s if refusal else 0.0,
        )
        self.outcomes[request_id].append(outcome)

    def _send_peer(self, core: Core, action: SendPeer) -> None:
        name = action.address.removeprefix("tcp://")
        peer = self.cores.get(name)
        if peer is None or frozenset((core.cfg.name, name)) in self.cut:
            return
        self.later(peer, PEER_S, PeerMessage(action.payload))

    def _reaches_platform(self, core: Core) -> bool:
        return core.cfg.name not in self.platform_cut

    def _put(self, core: Core, put: PutObject) -> None:
        def carry_out() -> None:
            if self._reaches_platform(core):
                result = self.platform.put(put)
            else:
                down, self.platform.down = self.platform.down, True
                result = self.platform.put(put)
                self.platform.down = down
            self.later(core, self.platform_s, result)

        self.after(self.platform_s, carry_out)

    def _list(self, core: Core, ask: ListObjects) -> None:
        def carry_out() -> None:
            result = self.platform.list(ask)
            if not self._reaches_platform(core):
                result = result._replace(ok=False, records=())
            self.later(core, self.platform_s, result)

        self.after(self.platform_s, carry_out)
