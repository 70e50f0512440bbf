"""The core: one state machine that takes events and returns actions, and does nothing else.

It reads no clock, opens no socket, starts no thread and draws no random number of its own: time
and seed are given.  ``process.host`` drives it in production; a test or a bench drives it the same
way.  The work is in the machines that it composes; this module hands events to them and decides
only whether this entry takes work at all.
"""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from filbertstream.actions import Action, DrainEnded, Log
from filbertstream.events import (
    ApplyRequested,
    AttemptFailed,
    AttemptFinished,
    AttemptStarted,
    CallerLeft,
    CallerRequest,
    DecisionOverdue,
    DrainRequested,
    Event,
    LoadReported,
    OrderFinished,
    PeerMessage,
    PiecesExported,
    PutFinished,
    ReadFinished,
    StoreListed,
    TargetSilent,
    TargetsListed,
    Tick,
)
from filbertstream.log_events import LogEvent
from filbertstream.process.append_log import OpIds
from filbertstream.process.burn import Burn
from filbertstream.process.counters import Counters
from filbertstream.process.directory import Directory
from filbertstream.process.duties import Duties
from filbertstream.process.gossip import Gossip, GossipParts
from filbertstream.process.leases import Holder, Lease
from filbertstream.process.membership import Membership, Registration
from filbertstream.process.polling import Polling
from filbertstream.process.sharing import Sharing
from filbertstream.request.admission import Admission
from filbertstream.request.cache_use import CacheUse
from filbertstream.request.claimed import Claimed
from filbertstream.request.claims import Ledger
from filbertstream.request.endings import Endings
from filbertstream.request.explain import Explanations
from filbertstream.request.retry_budget import RetryBudget
from filbertstream.request.run import Phase
from filbertstream.request.serving import Serving, ServingParts
from filbertstream.version.catalogue import Catalogue
from filbertstream.version.config_log import ConfigLog
from filbertstream.version.governance import Governance

SETTLE_S: Final = 0.5
STALE_RETRY_S: Final = 2.0


class CoreConfig(NamedTuple):
    """What a core is told about itself."""

    name: str
    vm: str
    data_center: str
    incarnation: int
    peer_address: str
    seeds: tuple[str, ...]
    secret: bytes
    claim_shards: int = 64
    policy: str = "cost"
    seed: int = 0


class Core:
    """All decisions of one entry."""

    def __init__(self, cfg: CoreConfig) -> None:
        self.cfg = cfg
        self._rng = random.Random(f"{cfg.seed}-{cfg.name}")
        nonce_prefix = f"{cfg.name}#{cfg.incarnation:x}"
        op_ids = OpIds()
        own = Registration(cfg.name, cfg.vm, cfg.incarnation, cfg.data_center, cfg.peer_address, 0)
        self.membership = Membership(own, cfg.seeds, op_ids)
        self.config = ConfigLog(op_ids, nonce_prefix)
        self.governance = Governance(self.config, self.membership)
        self.directory = Directory()
        self.catalogue = Catalogue()
        self.counters = Counters()
        self.explanations = Explanations()
        self.burn = Burn()
        self.ledger = Ledger(cfg.claim_shards, op_ids, nonce_prefix)
        self.lease = Lease("weights", Holder(cfg.name, cfg.incarnation), op_ids)
        self.duties = Duties(self.lease, self.membership, self.directory, self.config.view)
        self.polling = Polling(self.directory, self.membership, self.catalogue)
        self._sharing = Sharing(cfg.name)
        cache = CacheUse(cfg.secret, self.directory, self.membership, self.catalogue, self._sharing)
        admission = Admission(self._rng)
        endings = Endings(admission, self.burn, self.counters, self.explanations)
        self.serving = Serving(self._serving_parts(admission), cache, endings)
        self.claimed = Claimed(self.ledger, self.serving, self.membership)
        self.serving.endings.close_claim = self.claimed.close
        self.gossip = Gossip(self._gossip_parts())
        self.platform_up = True
        self._was_ready = False
        self._was_fresh = True
        self._drain_id: str | None = None
        self._live_before: frozenset[str] = frozenset()
        self._next_settle_s = 0.0
        self._handlers: dict[type, Callable[[Any, float], list[Action]]] = {
            CallerRequest: self._on_request,
            AttemptStarted: self.serving.on_started,
            AttemptFinished: self.serving.on_finished,
            AttemptFailed: self.serving.on_failed,
            CallerLeft: self._on_caller_left,
            DecisionOverdue: self._on_overdue,
            OrderFinished: self.duties.on_order,
            LoadReported: self.polling.on_load,
            TargetSilent: self.polling.on_silent,
            TargetsListed: self.polling.on_targets,
            PutFinished: self._on_put,
            ReadFinished: self._on_read,
            PeerMessage: self.gossip.on_message,
            ApplyRequested: self.governance.on_apply,
            DrainRequested: self._on_drain,
            PiecesExported: cache.on_exported,
            StoreListed: self.polling.on_store,
            Tick: self._on_tick,
        }

    def _serving_parts(self, admission: Admission) -> ServingParts:
        return ServingParts(
            self.cfg.name,
            self.cfg.data_center,
            self.cfg.policy,
            self.config.view,
            self.directory,
            self.membership,
            admission,
            RetryBudget(),
            self.counters,
            self._rng,
        )

    def _gossip_parts(self) -> GossipParts:
        return GossipParts(
            self.membership,
            self.governance,
            self.directory,
            self.polling,
            self.duties,
            self.catalogue,
            self._sharing,
            self.serving,
        )

    def step(self, now_s: float, event: Event) -> list[Action]:
        """Take one event and return what is to be done.

        >>> core = Core(CoreConfig("e1", "vm1", "dc1", 1, "tcp://127.0.0.1:1", (), b"secret"))
        >>> [type(action).__name__ for action in core.step(1.0, Tick())][:2]
        ['ListObjects', 'PutObject']
        """
        return self._handlers[type(event)](event, now_s)

    @property
    def draining(self) -> bool:
        """Whether a planned stop of this entry has begun."""
        return self.gossip.draining

    def blocked(self, now_s: float) -> str | None:
        """Return why no new work is taken at all, or None."""
        if self.draining:
            return "draining"
        if not self.governance.ready:
            return "starting"
        return None if self.governance.is_fresh(now_s) else "stale"

    def _on_request(self, req: CallerRequest, now_s: float) -> list[Action]:
        blocked = self.blocked(now_s)
        if blocked is not None:
            return self.serving.endings.refuse_new(req, blocked, STALE_RETRY_S)
        run, actions = self.serving.admit(req, now_s)
        if run is None:
            return actions
        if req.kind == "model":
            return [*self.serving.begin_model(run, now_s), *self.gossip.share_work(now_s)]
        service = self.config.view.service(req.target_name)
        if service is None or req.method not in service.not_repeatable:
            return self.serving.route(run, now_s)
        if not req.idempotency_key:
            return self.serving.endings.give_up(run, "key_required", now_s)
        return self.claimed.begin(run, now_s)

    def _on_caller_left(self, event: CallerLeft, now_s: float) -> list[Action]:
        run = self.serving.endings.runs.get(event.request_id)
        return [] if run is None else self.serving.on_caller_left(run, now_s)

    def _on_overdue(self, event: DecisionOverdue, now_s: float) -> list[Action]:
        run = self.serving.endings.runs.get(event.request_id)
        if run is None or run.phase is Phase.ATTEMPT:
            return []
        if run.phase is Phase.LOOKUP:
            return self.serving.on_lookup_overdue(run, now_s)
        return self.claimed.on_overdue(run, now_s)

    def _on_put(self, event: PutFinished, now_s: float) -> list[Action]:
        actions = self._note_platform(event.outcome in ("ok", "conflict"))
        if self.membership.on_put(event, now_s) or self.lease.on_put(event):
            return actions
        governed = self.governance.on_put(event, now_s)
        if governed is not None:
            return [*actions, *governed]
        step = self.ledger.on_put(event)
        return actions if step is None else [*actions, *self.claimed.take(step, now_s)]

    def _on_read(self, event: ReadFinished, now_s: float) -> list[Action]:
        actions = self._note_platform(event.ok)
        if self.membership.on_read(event, now_s):
            return [*actions, *self.governance.settle(now_s)]
        if self.lease.on_read(event, now_s):
            return actions
        governed = self.governance.on_read(event, now_s)
        if governed is not None:
            return [*actions, *governed]
        step = self.ledger.on_read(event)
        return actions if step is None else [*actions, *self.claimed.take(step, now_s)]

    def _note_platform(self, up: bool) -> list[Action]:
        if up == self.platform_up:
            return []
        self.platform_up = up
        return [Log(LogEvent.PLATFORM_BACK if up else LogEvent.PLATFORM_LOST, ())]

    def _on_drain(self, event: DrainRequested, now_s: float) -> list[Action]:
        """Begin a planned stop: of this entry, or of a target's VM."""
        if event.vm in (self.cfg.vm, self.cfg.name):
            self.gossip.draining = True
            self._drain_id = event.request_id
            log = Log(LogEvent.DRAIN_BEGAN, (("vm", event.vm),))
            return [log, *self._settle_drain(now_s)]
        targets = [
            target for target in self.directory.targets.values() if target.listed.vm == event.vm
        ]
        if not targets:
            return [DrainEnded(event.request_id, "unknown", 0)]
        actions: list[Action] = []
        for target in targets:
            if self.directory.mark_leaving(target.name, now_s):
                actions.append(Log(LogEvent.TARGET_LEAVING, (("target", target.name),)))
        running = sum(max(target.outstanding, target.running) for target in targets)
        state = "draining" if running else "drained"
        return [*actions, DrainEnded(event.request_id, state, running)]

    def _settle_drain(self, now_s: float) -> list[Action]:
        """End a planned stop once nothing runs and, the platform willing, all outcomes are kept."""
        unkept = self.platform_up and not self.ledger.idle
        if self._drain_id is None or self.serving.endings.runs or unkept:
            return []
        request_id, self._drain_id = self._drain_id, None
        log = Log(LogEvent.DRAIN_ENDED, ())
        ended = DrainEnded(request_id, "drained", 0)
        return [ended, log, *self.membership.leave(), *self.gossip.beat(now_s)]

    def _on_tick(self, event: Tick, now_s: float) -> list[Action]:
        may_hold = self.governance.ready and not self.draining
        return [
            *self.governance.tick(now_s),
            *self.membership.tick(now_s),
            *self.duties.tick(now_s, may_hold),
            *self.polling.tick(now_s),
            *self._tick_claims(now_s),
            *self.gossip.tick(now_s),
            *self._tick_state(now_s),
            *self.governance.settle(now_s),
            *self._settle_drain(now_s),
        ]

    def _tick_claims(self, now_s: float) -> list[Action]:
        if now_s < self._next_settle_s:
            return []
        self._next_settle_s = now_s + SETTLE_S
        return self.claimed.take(self.ledger.settle(), now_s)

    def _tick_state(self, now_s: float) -> list[Action]:
        """Log what changed by time alone: deaths of members, the own readiness."""
        actions: list[Action] = []
        live = frozenset(self.membership.live(now_s))
        for name in sorted(self._live_before - live):
            peer = self.membership.peers.get(name)
            if peer is None or peer.state != "left":
                actions.append(Log(LogEvent.MEMBER_DEAD, (("member", name),)))
        self._live_before = live
        return [*actions, *self._tick_readiness(now_s)]

    def _tick_readiness(self, now_s: float) -> list[Action]:
        if not self.governance.ready:
            return []
        actions: list[Action] = []
        if not self._was_ready:
            self._was_ready = True
            actions.append(Log(LogEvent.ENTRY_READY, (("revision", self.config.revision),)))
        fresh = self.governance.is_fresh(now_s)
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            actions.append(Log(LogEvent.ENTRY_FRESH if fresh else LogEvent.ENTRY_STALE, ()))
        return actions
