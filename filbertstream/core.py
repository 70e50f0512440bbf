"""The core: one state machine that takes events and returns actions, and does nothing else.

It reads no clock, opens no socket, starts no thread and draws no random number of its own: time
and seed are given.  ``process.host`` drives it in production; a test or a bench drives it the same
way.  The work is in the machines that it composes; this module only hands events to them.
"""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from filbertstream.actions import Action, DrainEnded, ListObjects, Log, PollTarget, SendPeer
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
from filbertstream.messages import (
    Acknowledgement,
    CatalogueAnswer,
    CatalogueAsk,
    CatalogueDrop,
    CatalogueNote,
    Heartbeat,
    RevisionAsk,
    RevisionPush,
    TargetLoad,
    WorkShare,
)
from filbertstream.process.append_log import OpIds
from filbertstream.process.burn import Burn
from filbertstream.process.counters import Counters
from filbertstream.process.directory import Directory
from filbertstream.process.freshness import Freshness
from filbertstream.process.leases import Holder, Lease
from filbertstream.process.membership import Membership, Registration
from filbertstream.process.sharing import Sharing
from filbertstream.request.admission import Admission
from filbertstream.request.claimed import Claimed
from filbertstream.request.claims import Ledger
from filbertstream.request.explain import Explanations
from filbertstream.request.retry_budget import RetryBudget
from filbertstream.request.run import Phase
from filbertstream.request.serving import Serving, ServingParts, holdings_of
from filbertstream.units import FRESH_S
from filbertstream.version.acceptance import Acceptance
from filbertstream.version.catalogue import Catalogue
from filbertstream.version.config_log import ConfigLog, ConfigStep
from filbertstream.version.weights import Rollout

CONFIG_POLL_S: Final = 1.0
OWN_READ_AFTER_S: Final = FRESH_S - 2 * CONFIG_POLL_S
"""A member reads the platform itself once its confirmation through peers is older than this."""

POLL_TARGET_S: Final = 1.0
POLL_STORE_S: Final = 5.0
SETTLE_S: Final = 0.5
STALE_RETRY_S: Final = 2.0
LOADS_PER_HEARTBEAT: Final = 8


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
        self.freshness = Freshness()
        self.acceptance = Acceptance()
        self.directory = Directory()
        self.catalogue = Catalogue()
        self.sharing = Sharing(cfg.name)
        self.counters = Counters()
        self.explanations = Explanations()
        self.burn = Burn()
        self.rollout = Rollout()
        self.lease = Lease("weights", Holder(cfg.name, cfg.incarnation), op_ids)
        self.ledger = Ledger(cfg.claim_shards, op_ids, nonce_prefix)
        self.serving = Serving(self._serving_parts())
        self.claimed = Claimed(self.ledger, self.serving, self.membership)
        self.serving.close_claim = self.claimed.close
        self.ready = False
        self.draining = False
        self.platform_up = True
        self._was_fresh = True
        self._held_lease = False
        self._config_asked_s = 0.0
        self._drain_id: str | None = None
        self._live_before: frozenset[str] = frozenset()
        self._next_config_s = 0.0
        self._next_poll_s = 0.0
        self._next_store_s = 0.0
        self._next_settle_s = 0.0
        self._swapping_by: dict[str, tuple[str, ...]] = {}
        self._swapping: frozenset[str] = frozenset()
        self._handlers: dict[type, Callable[[Any, float], list[Action]]] = {
            CallerRequest: self._on_request,
            AttemptStarted: self.serving.on_started,
            AttemptFinished: self.serving.on_finished,
            AttemptFailed: self.serving.on_failed,
            CallerLeft: self._on_caller_left,
            DecisionOverdue: self._on_overdue,
            OrderFinished: lambda event, now_s: list(self.rollout.on_order(event)),
            LoadReported: self._on_load,
            TargetSilent: self._on_target_silent,
            TargetsListed: self._on_targets,
            PutFinished: self._on_put,
            ReadFinished: self._on_read,
            PeerMessage: self._on_peer,
            ApplyRequested: self._on_apply,
            DrainRequested: self._on_drain,
            PiecesExported: self.serving.on_exported,
            StoreListed: self._on_store,
            Tick: self._on_tick,
        }

    def _serving_parts(self) -> ServingParts:
        return ServingParts(
            self.cfg.name,
            self.cfg.data_center,
            self.cfg.secret,
            self.cfg.policy,
            self.config.view,
            self.directory,
            self.membership,
            self.catalogue,
            self.sharing,
            Admission(self._rng),
            RetryBudget(),
            self.explanations,
            self.burn,
            self.counters,
            self._rng,
        )

    def step(self, now_s: float, event: Event) -> list[Action]:
        """Take one event and return what is to be done.

        >>> core = Core(CoreConfig("e1", "vm1", "dc1", 1, "tcp://127.0.0.1:1", (), b"secret"))
        >>> [type(action).__name__ for action in core.step(1.0, Tick())][:2]
        ['ListObjects', 'PutObject']
        """
        return self._handlers[type(event)](event, now_s)

    def is_fresh(self, now_s: float) -> bool:
        """Whether the configuration is confirmed recently enough to take new work."""
        return self.freshness.is_fresh(now_s, self.membership.others())

    # Requests

    def _on_request(self, req: CallerRequest, now_s: float) -> list[Action]:
        blocked = self.blocked(now_s)
        if blocked is not None:
            return self.serving.refuse_new(req, blocked, STALE_RETRY_S)
        run, actions = self.serving.admit(req, now_s)
        if run is None:
            return actions
        if req.kind == "model":
            return [*self.serving.begin_model(run, now_s), *self._share_work(now_s)]
        service = self.config.view.service(req.target_name)
        if service is None or req.method not in service.not_repeatable:
            return self.serving.route(run, now_s)
        if not req.idempotency_key:
            return self.serving.give_up(run, "key_required", now_s)
        return self.claimed.begin(run, now_s)

    def _share_work(self, now_s: float) -> list[Action]:
        """Tell the other entries what this one has sent, when that is due."""
        share = self.sharing.due(now_s, len(self.membership.live(now_s)))
        return [] if share is None else list(self.membership.tell_all(share, now_s))

    def blocked(self, now_s: float) -> str | None:
        """Return why no new work is taken at all."""
        if self.draining:
            return "draining"
        if not self.ready:
            return "starting"
        return None if self.is_fresh(now_s) else "stale"

    def _on_caller_left(self, event: CallerLeft, now_s: float) -> list[Action]:
        run = self.serving.runs.get(event.request_id)
        return [] if run is None else self.serving.on_caller_left(run, now_s)

    def _on_overdue(self, event: DecisionOverdue, now_s: float) -> list[Action]:
        run = self.serving.runs.get(event.request_id)
        if run is None or run.phase is Phase.ATTEMPT:
            return []
        if run.phase is Phase.LOOKUP:
            return self.serving.on_lookup_overdue(run, now_s)
        return self.claimed.on_overdue(run, now_s)

    # Targets

    def _on_targets(self, event: TargetsListed, now_s: float) -> list[Action]:
        changed = self.directory.on_list(event.targets, now_s)
        for name in self._swapping & self.directory.targets.keys():
            self.directory.targets[name].swapping = True
        return [Log(LogEvent.TARGET_LEAVING, (("target", name),)) for name in changed]

    def _on_load(self, event: LoadReported, now_s: float) -> list[Action]:
        load = TargetLoad(
            event.target,
            event.running,
            event.queued,
            event.queued_tokens,
            event.weight_version,
            event.age_s,
        )
        return [*self._drop_evicted(event, now_s), *self._take_load(load, now_s)]

    def _drop_evicted(self, event: LoadReported, now_s: float) -> list[Action]:
        """Tell the owners of their chains which pieces a runner has evicted."""
        by_owner: dict[str, list[str]] = {}
        for piece in event.evicted:
            for owner in self.membership.owners(piece.root, now_s):
                by_owner.setdefault(owner, []).append(piece.name)
        actions: list[Action] = []
        for owner, names in by_owner.items():
            address = self.membership.address_of(owner)
            if address is None:
                self.catalogue.forget(event.target, names)
            else:
                actions.append(SendPeer(address, CatalogueDrop(event.target, tuple(names))))
        return actions

    def _take_load(self, load: TargetLoad, now_s: float) -> list[Action]:
        before = self.directory.on_load(load, now_s)
        if before is None:
            return []
        if before:
            self.catalogue.forget_holder(load.target)
        fields = (("target", load.target), ("weight_version", load.weight_version))
        return [Log(LogEvent.TARGET_VERSION, fields)]

    def _on_target_silent(self, event: TargetSilent, now_s: float) -> list[Action]:
        if not self.directory.outliers.failed(event.target, len(self.directory.targets), now_s):
            return []
        return [Log(LogEvent.TARGET_EJECTED, (("target", event.target),))]

    def _on_store(self, event: StoreListed, now_s: float) -> list[Action]:
        store = self.directory.targets.get(event.store)
        if store is not None:
            store.full = event.full
        for piece in event.pieces:
            if self.cfg.name in self.membership.owners(piece.root, now_s):
                self.catalogue.note(event.store, (piece.name,))
        return []

    # Platform

    def _on_put(self, event: PutFinished, now_s: float) -> list[Action]:
        actions = self._note_platform(event.outcome in ("ok", "conflict"))
        if self.membership.on_put(event, now_s) or self.lease.on_put(event):
            return actions
        if self.config.log.owns(event.op_id):
            return [*actions, *self._after_config(self.config.on_put(event), now_s)]
        step = self.ledger.on_put(event)
        return actions if step is None else [*actions, *self.claimed.take(step, now_s)]

    def _on_read(self, event: ReadFinished, now_s: float) -> list[Action]:
        actions = self._note_platform(event.ok)
        if self.membership.on_read(event, now_s):
            return [*actions, *self._settle_acceptance(now_s)]
        if self.lease.on_read(event, now_s):
            return actions
        if self.config.log.owns(event.op_id):
            asked_s = self._config_asked_s
            step = self.config.on_read(event)
            if event.ok:
                self.freshness.confirm(asked_s)
                self._become_ready(asked_s)
            return [*actions, *self._after_config(step, now_s)]
        found = self.ledger.on_read(event)
        return actions if found is None else [*actions, *self.claimed.take(found, now_s)]

    def _become_ready(self, read_asked_s: float) -> None:
        """Take work once a read of the configuration began after the own registration stood."""
        registered_s = self.membership.registered_at_s
        if registered_s is not None and read_asked_s >= registered_s:
            self.ready = True

    def _note_platform(self, up: bool) -> list[Action]:
        if up == self.platform_up:
            return []
        self.platform_up = up
        return [Log(LogEvent.PLATFORM_BACK if up else LogEvent.PLATFORM_LOST, ())]

    # Configuration

    def _on_apply(self, event: ApplyRequested, now_s: float) -> list[Action]:
        return self._after_config(self.config.submit(event), now_s)

    def _after_config(self, step: ConfigStep, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for action in step.actions:
            if isinstance(action, ListObjects):
                self._config_asked_s = now_s
            actions.append(action)
        for request_id in step.written:
            self.acceptance.begin(request_id, self.config.revision, now_s)
            self.membership.list_now()
        if step.applied:
            actions += self._spread(step.applied, None, now_s)
        return [*actions, *self._settle_acceptance(now_s)]

    def _spread(self, applied: tuple[int, ...], until: str | None, now_s: float) -> list[Action]:
        """Pass on revisions that are newly in force here, to the members up to ``until``."""
        own = self.membership.own
        self.acceptance.acknowledge(own.name, self.config.revision)
        first, records = self.config.records_after(applied[0] - 1)
        actions: list[Action] = [
            Log(LogEvent.REVISION_IN_FORCE, (("revision", self.config.revision),))
        ]
        for branch in self.membership.branches(until, now_s):
            push = RevisionPush(own.name, first, records, own.address, branch.until)
            actions.append(SendPeer(branch.address, push))
        return actions

    def _settle_acceptance(self, now_s: float) -> list[Action]:
        registered = self.membership.registered()
        live = self.membership.live(now_s)
        listed_at_s = self.membership.listed_at_s
        actions: list[Action] = []
        for ended in self.acceptance.settle(now_s, live, registered, listed_at_s):
            accepted = ended.state == "accepted"
            event = LogEvent.CHANGE_ACCEPTED if accepted else LogEvent.CHANGE_STAGED
            actions += [ended, Log(event, (("revision", ended.revision),))]
        return actions

    # Peers

    def _on_peer(self, event: PeerMessage, now_s: float) -> list[Action]:
        message = event.message
        match message:
            case Heartbeat():
                return self._on_heartbeat(message, now_s)
            case RevisionPush():
                return self._on_push(message, now_s)
            case RevisionAsk():
                return self._on_revision_ask(message)
            case Acknowledgement():
                self.acceptance.acknowledge(message.member, message.revision)
                return self._settle_acceptance(now_s)
            case WorkShare():
                self._on_work(message, now_s)
                return []
            case CatalogueNote():
                self.catalogue.note(message.holder, message.names)
                return []
            case CatalogueDrop():
                self.catalogue.forget(message.holder, message.names)
                return []
            case CatalogueAsk():
                return [SendPeer(message.address, holdings_of(self.catalogue, message))]
            case CatalogueAnswer():
                return self.serving.on_holdings(message, now_s)

    def _on_work(self, share: WorkShare, now_s: float) -> None:
        for row in share.rows:
            target = self.directory.targets.get(row.target)
            if target is not None:
                target.sent_by_peer(now_s, row.units)

    def _on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> list[Action]:
        actions: list[Action] = []
        newcomer = self.membership.on_heartbeat(heartbeat, now_s)
        if newcomer:
            actions.append(Log(LogEvent.MEMBER_JOINED, (("member", heartbeat.member),)))
        if newcomer or self.membership.owes_reply(heartbeat, now_s):
            actions.append(
                SendPeer(heartbeat.address, self._heartbeat(heartbeat.member, now_s, True))
            )
        self.freshness.on_heartbeat(heartbeat, self.config.revision)
        self.acceptance.acknowledge(heartbeat.member, heartbeat.revision)
        for load in heartbeat.loads:
            actions += self._take_load(load, now_s)
        for name in heartbeat.leaving:
            if self.directory.mark_leaving(name, now_s):
                actions.append(Log(LogEvent.TARGET_LEAVING, (("target", name),)))
        self._swapping_by[heartbeat.member] = heartbeat.swapping
        self._mark_swapping(now_s)
        if heartbeat.revision > self.config.revision:
            own = self.membership.own
            ask = RevisionAsk(own.name, own.address, self.config.revision)
            actions.append(SendPeer(heartbeat.address, ask))
        return [*actions, *self._settle_acceptance(now_s)]

    def _on_push(self, push: RevisionPush, now_s: float) -> list[Action]:
        applied = self.config.learn_encoded(push.first, push.records)
        own = self.membership.own
        acknowledgement = Acknowledgement(own.name, self.config.revision)
        actions: list[Action] = [SendPeer(push.acknowledge_to, acknowledgement)]
        if push.first > self.config.revision + 1:
            ask = RevisionAsk(own.name, own.address, self.config.revision)
            actions.append(SendPeer(push.acknowledge_to, ask))
        return [*actions, *self._spread(applied, push.until, now_s)] if applied else actions

    def _on_revision_ask(self, ask: RevisionAsk) -> list[Action]:
        first, records = self.config.records_after(ask.after)
        own = self.membership.own
        if not records:
            return []
        push = RevisionPush(own.name, first, records, own.address, ask.member)
        return [SendPeer(ask.address, push)]

    def _mark_swapping(self, now_s: float) -> None:
        marked = set(self.rollout.swapping())
        for member, names in self._swapping_by.items():
            if names and member in self.membership.live(now_s):
                marked.update(names)
        if marked == self._swapping:
            return
        self._swapping = frozenset(marked)
        for target in self.directory.targets.values():
            target.swapping = target.name in marked

    def _heartbeat(self, to: str, now_s: float, reply: bool = False) -> Heartbeat:
        own = self.membership.own
        peer = self.membership.peers.get(to)
        return Heartbeat(
            own.name,
            own.incarnation,
            own.data_center,
            own.address,
            "draining" if self.draining else self.membership.state,
            now_s,
            0.0 if peer is None else peer.stamp_s,
            self.config.revision,
            self.freshness.confirmed_age_s(now_s),
            () if reply else self._loads(now_s),
            self.directory.leaving(),
            self.rollout.swapping(),
            reply,
        )

    def _loads(self, now_s: float) -> tuple[TargetLoad, ...]:
        """Return the latest reports of the targets that this member polls."""
        loads = []
        for name in self._polled(now_s)[:LOADS_PER_HEARTBEAT]:
            target = self.directory.targets[name]
            if target.reported_at_s is None:
                continue
            age_s = now_s - target.reported_at_s
            tokens = target.queued_tokens
            version = target.weight_version
            loads.append(TargetLoad(name, target.running, 0, tokens, version, age_s))
        return tuple(loads)

    def _polled(self, now_s: float) -> list[str]:
        """Return the runners and stores whose reports this member fetches for all."""
        return [
            name
            for name, target in self.directory.targets.items()
            if target.listed.kind != "service"
            and self.membership.owner(name, now_s) == self.cfg.name
        ]

    # Operators

    def _on_drain(self, event: DrainRequested, now_s: float) -> list[Action]:
        """Begin a planned stop: of this entry, or of a target's VM."""
        if event.vm in (self.cfg.vm, self.cfg.name):
            self.draining = True
            self._drain_id = event.request_id
            log = Log(LogEvent.DRAIN_BEGAN, (("vm", event.vm),))
            return [log, *self._settle_drain()]
        actions: list[Action] = []
        running = 0
        for name, target in self.directory.targets.items():
            if target.listed.vm != event.vm:
                continue
            running += max(target.outstanding, target.running)
            if self.directory.mark_leaving(name, now_s):
                actions.append(Log(LogEvent.TARGET_LEAVING, (("target", name),)))
        state = "draining" if running else "drained"
        return [*actions, DrainEnded(event.request_id, state, running)]

    def _settle_drain(self) -> list[Action]:
        if self._drain_id is None:
            return []
        running = len(self.serving.runs)
        if running:
            return []
        request_id, self._drain_id = self._drain_id, None
        log = Log(LogEvent.DRAIN_ENDED, ())
        return [DrainEnded(request_id, "drained", 0), log, *self.membership.leave()]

    # Time

    def _on_tick(self, event: Tick, now_s: float) -> list[Action]:
        actions: list[Action] = []
        actions += self._tick_config(now_s)
        actions += self.membership.tick(now_s)
        actions += self._tick_lease(now_s)
        actions += self._tick_targets(now_s)
        actions += self._tick_claims(now_s)
        actions += self._tick_peers(now_s)
        actions += self._share_work(now_s)
        actions += self._tick_state(now_s)
        return [*actions, *self._settle_acceptance(now_s), *self._settle_drain()]

    def _tick_config(self, now_s: float) -> list[Action]:
        if now_s < self._next_config_s:
            return []
        self._next_config_s = now_s + CONFIG_POLL_S
        age_s = self.freshness.confirmed_age_s(now_s)
        relies_on_peers = self.ready and not self.membership.is_watcher(now_s)
        if relies_on_peers and 0 <= age_s <= OWN_READ_AFTER_S:
            return []
        asks = list(self.config.poll())
        if asks:
            self._config_asked_s = now_s
        return asks

    def _tick_lease(self, now_s: float) -> list[Action]:
        wanted = self.membership.owner(f"duty:{self.lease.duty}", now_s) == self.cfg.name
        actions = list(self.lease.tick(now_s, wanted and self.ready and not self.draining))
        held = self.lease.held(now_s)
        if held != self._held_lease:
            self._held_lease = held
            event = LogEvent.LEASE_TAKEN if held else LogEvent.LEASE_LOST
            actions.append(Log(event, (("duty", self.lease.duty),)))
        if held:
            actions += self.rollout.tick(
                now_s, self.config.view, self.directory, self.lease.fencing
            )
        else:
            self.rollout.stop()
        self._mark_swapping(now_s)
        return actions

    def _tick_targets(self, now_s: float) -> list[Action]:
        if now_s < self._next_poll_s:
            return []
        self._next_poll_s = now_s + POLL_TARGET_S
        stores_due = now_s >= self._next_store_s
        if stores_due:
            self._next_store_s = now_s + POLL_STORE_S
        polls: list[Action] = []
        for name in self._polled(now_s):
            listed = self.directory.targets[name].listed
            if listed.kind == "runner":
                polls.append(PollTarget(name, listed.address, listed.kind))
        for name in self.directory.stores() if stores_due else ():
            listed = self.directory.targets[name].listed
            polls.append(PollTarget(name, listed.address, listed.kind))
        return polls

    def _tick_claims(self, now_s: float) -> list[Action]:
        if now_s < self._next_settle_s:
            return []
        self._next_settle_s = now_s + SETTLE_S
        return self.claimed.take(self.ledger.settle(), now_s)

    def _tick_peers(self, now_s: float) -> list[Action]:
        if not self.membership.beat_due(now_s):
            return []
        actions: list[Action] = []
        for peer in self.membership.fan_out(now_s):
            heartbeat = self._heartbeat(peer.registration.name, now_s)
            actions.append(SendPeer(peer.registration.address, heartbeat))
        for address in self.membership.seed_addresses():
            actions.append(SendPeer(address, self._heartbeat("", now_s)))
        return actions

    def _tick_state(self, now_s: float) -> list[Action]:
        """Log what changed by time alone: deaths of members, the own freshness."""
        actions: list[Action] = []
        live = frozenset(self.membership.live(now_s))
        for name in sorted(self._live_before - live):
            actions.append(Log(LogEvent.MEMBER_DEAD, (("member", name),)))
        self._live_before = live
        fresh = self.is_fresh(now_s)
        if self.ready and fresh != self._was_fresh:
            self._was_fresh = fresh
            actions.append(Log(LogEvent.ENTRY_FRESH if fresh else LogEvent.ENTRY_STALE, ()))
        return actions
