"""The core of an entry: turns events into actions and does no I/O.

It reads no clock and opens no socket; ``connection.gateway_io`` drives it in production, and tests
drive it the same way.  ``request.forwarding`` handles calls; this module handles the state observed
in the object store, the lease for weight roll-outs, and the readiness of the entry.
"""

import random
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.fleet.cold_targets import ColdTargets, IdleConnectionLost
from filbertstream.fleet.crash_watch import CrashWatch
from filbertstream.fleet.evacuations import Evacuations
from filbertstream.fleet.slowness_facts import SlownessFacts
from filbertstream.gateway_events import (
    BoundsChanged,
    ConfigurationObserved,
    GatewayAction,
    ObjectStoreResult,
    PeerMessage,
    StopRequested,
    StoreEpochObserved,
    Tick,
    WatchExpired,
    WeightsNamed,
)
from filbertstream.log_events import LogEvent
from filbertstream.process.burn import Burn
from filbertstream.process.cache_event_handlers import CacheEventHandlers
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.cache_stores import CacheStores
from filbertstream.process.cache_updates import CacheUpdateExchange
from filbertstream.process.config_observer import ConfigObserver
from filbertstream.process.counters import Counters
from filbertstream.process.deployment import Bounds
from filbertstream.process.document_recovery import DocumentRecovery, DocumentsRewritten
from filbertstream.process.entry_registrations import EntryRegistrations
from filbertstream.process.latencies import Latencies
from filbertstream.process.peer_messages import PeerMessages
from filbertstream.process.peer_work import EntryRecord, PeerWork
from filbertstream.process.rate_shares import RateShares
from filbertstream.process.relayed_view import RelayedView
from filbertstream.process.relays import Relays
from filbertstream.process.request_rates import RequestRates
from filbertstream.process.rollout_lease import RolloutLease
from filbertstream.process.roster import Roster
from filbertstream.process.stopping import Stopping
from filbertstream.process.store_health import StoreHealth
from filbertstream.process.store_recovery import StoreRecovery
from filbertstream.process.store_view import FollowedKind, KindObserved
from filbertstream.process.target_registrations import TargetRegistrations
from filbertstream.process.work_exchange import WorkExchange
from filbertstream.request.admission import Admission
from filbertstream.request.authorization import Authorizer
from filbertstream.request.block_sources import CacheView
from filbertstream.request.call_handlers import call_handlers
from filbertstream.request.fair_admission import FairAdmission
from filbertstream.request.forwarding import Forwarding
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.idempotency_keys import IdempotencyKeys, KeySettled
from filbertstream.request.key_journal import KeyJournal, KeyRewritten
from filbertstream.request.prompt_placer import PromptPlacer
from filbertstream.request.rate_admission import RateAdmission
from filbertstream.request.regions import Regions
from filbertstream.request.retry_budget import SharedRetryBudget
from filbertstream.request.work_accounting import WorkAccounting
from filbertstream.version.cache_owners import CacheOwners
from filbertstream.version.config_freshness import ConfigFreshness
from filbertstream.version.retirement import Retirement
from filbertstream.version.weights_leader import WeightsLeader
from filbertstream.version.weights_view import WeightsView

FOLLOWER_LEASE_DELAY_S: Final = 2.0
"""Extra delay before an entry that follows relays takes the lease.

Entries that read the object store take it sooner, so fewer writes of the lease conflict and the
leader observes its record first.
"""

LEASE_TICK_S: Final = 0.05
"""Interval of checking the lease and the roll-out."""


class GatewayConfig(NamedTuple):
    """Configuration of the core of one entry."""

    name: str
    incarnation: int
    data_center: str
    bounds: Bounds
    peer_address: str
    seed: int
    followed: tuple[FollowedKind, ...] = ()
    link_mbps: float = 0.0
    cores: float = 0.0
    has_documents: bool = False
    regions: Mapping[str, str] = MappingProxyType({})
    fair_shares: bool | None = None


class Gateway:
    """The decisions of one entry."""

    def __init__(self, cfg: GatewayConfig) -> None:
        self.cfg = cfg
        rng = random.Random(f"{cfg.seed}-{cfg.name}")
        bounds, link_mbps = cfg.bounds, cfg.link_mbps
        self.counters = Counters()
        self.latencies = Latencies()
        self.evacuations = Evacuations(bounds.evac_s)
        self.roster = Roster(self.evacuations)
        self.index = CacheIndex()
        self.peers = PeerWork(cfg.name)
        self.relays = Relays(cfg.name, self.peers.names, self.peers.vm_resources)
        self.request_rates = RequestRates(self.counters)
        self.rate_shares = RateShares(cfg.name, self.peers.any_peer_current)
        self.cold_targets = ColdTargets(
            bounds,
            lambda: {} if self.authorizer.config is None else self.authorizer.config.services,
            self.counters,
        )
        self.evacuations.on_ended = self.cold_targets.note_evacuation_ended
        self.rate_admission = RateAdmission(self.request_rates, self.rate_shares, self.cold_targets)
        recovery_rng = random.Random(f"{cfg.seed}-{cfg.name}-recovery")
        self.recovery = StoreRecovery(cfg.name, lambda: self.peers.members)
        self.key_journal = KeyJournal(cfg.name, self.recovery, lambda: len(self.peers.members))
        self.document_recovery = DocumentRecovery(
            cfg.has_documents, lambda: len(self.peers.members), recovery_rng
        )
        waits_for_store = bool(cfg.followed)
        self.crash_watch = CrashWatch(self.peers, self.roster, waits_for_store, self.counters, rng)
        self.crash_watch.facts.add("keys", self.key_journal)
        self.crash_watch.facts.add("slowness", SlownessFacts(self.roster))
        facts = self.crash_watch.facts
        self.exchange = WorkExchange(self.peers, self.relays, self.request_rates, facts, link_mbps)
        self.relayed_view = RelayedView(
            cfg.followed, self.relays, self.peers, self.roster, self.recovery
        )
        self.stores = CacheStores(self.index, rng, self.peers.reads, self.relays)
        self.cache_updates = CacheUpdateExchange(self.peers, self.relays, self.stores, link_mbps)
        self.cache_events = CacheEventHandlers(self.stores, self.cache_updates, self.counters)
        self.roster.peer_work_at = self.peers.peer_work_at
        self.config_freshness = ConfigFreshness(bounds.revoke_s, bounds.strict_revocation)
        self.budget = SharedRetryBudget(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_floor
        )
        self.stopping = Stopping(bounds.grace_s)
        self.authorizer = Authorizer(
            self.config_freshness,
            bounds.config_apply_s,
            self.peers.any_peer_current,
            self.stopping,
        )
        self.weights = WeightsView(self.roster, bounds.version_s)
        self.burn = Burn()
        self.idempotency_keys = IdempotencyKeys(
            cfg.name,
            cfg.incarnation,
            self.peers.is_registered,
            lambda: self.recovery.complete_epoch,
            self.key_journal.note,
        )
        cache_view = CacheView(self.index, self.stores)
        self.cache_owners = CacheOwners(
            lambda: self.authorizer.config, self.config_freshness.is_recent
        )
        regions = Regions(cfg.regions)
        self.work = WorkAccounting(cfg.name)
        self.fair_admission = fair = FairAdmission.create(cfg.name, self.counters, cfg.fair_shares)
        if fair is not None:
            facts.add("shares", fair.facts)
        self.prompt_placer = PromptPlacer(
            cfg.data_center,
            self.roster,
            cache_view,
            self.weights,
            self.cache_owners,
            rng,
            regions,
            self.work,
            fair,
        )
        dependencies = ForwardingDependencies(
            cfg.data_center,
            self.roster,
            self.authorizer,
            self.weights,
            self.prompt_placer,
            self.config_freshness,
            self.budget,
            self.counters,
            self.latencies,
            Admission(lambda: 1.0 / max(1, len(self.peers.members))),
            self.idempotency_keys,
            self.burn,
            self.request_rates,
            self.rate_admission,
            self.cold_targets,
            self.crash_watch.evidence,
            self.crash_watch.detector,
            self.crash_watch.trials,
            self.crash_watch.quarantine,
            rng,
            regions,
            self.work,
        )
        self.forwarding = Forwarding(dependencies)
        self.rollout_lease = RolloutLease(f"{cfg.name}#{cfg.incarnation:x}", bounds.lease_s, rng)
        self.weights_leader = WeightsLeader(
            self.rollout_lease,
            self.roster,
            self.weights,
            Retirement(self.stores, self.index.held_by),
            self.request_rates,
            self.rate_admission,
        )
        record = EntryRecord(cfg.peer_address, cfg.incarnation, cfg.link_mbps, cfg.cores)
        self.entry_registrations = EntryRegistrations(
            cfg.name, record, self.peers, self.rate_shares, self.recovery, recovery_rng
        )
        self.peer_messages = PeerMessages(
            self.peers,
            self.exchange,
            self.request_rates,
            facts,
            self.cache_updates,
            self.relayed_view,
        )
        self.target_registrations = TargetRegistrations(
            self.roster,
            self.index,
            self.crash_watch.detector.on_gone,
            self.cold_targets.note_registration,
        )
        self.config_observer = ConfigObserver(
            cfg.name,
            self.authorizer,
            self.config_freshness,
            self.stores,
            self.roster,
            self.recovery,
        )
        self.recovery.parts = (
            self.config_freshness,
            self.target_registrations,
            self.rollout_lease,
            self.entry_registrations,
            self.crash_watch.quarantine,
            self.evacuations,
            self.key_journal,
            self.document_recovery,
        )
        self.store_health = StoreHealth(self.roster)
        self._next_lease_tick_s = 0.0
        self._was_ready = False
        self._handlers: dict[type, Callable[[Any, float], list[GatewayAction]]] = {
            **call_handlers(self.forwarding),
            KeySettled: self._on_key_settled,
            ConfigurationObserved: self._forward(self.config_observer.on_configuration),
            **self.target_registrations.handlers(),
            WeightsNamed: self._on_weights,
            **self.weights_leader.handlers(),
            **self.cache_events.handlers(),
            IdleConnectionLost: self._forward(self.cold_targets.on_connection_lost),
            **self.crash_watch.handlers(),
            **self.evacuations.handlers(),
            **self.entry_registrations.handlers(),
            PeerMessage: self._forward(self.peer_messages.on_message),
            KindObserved: self._forward(self.relayed_view.on_kind_observed),
            ObjectStoreResult: self._forward(self.store_health.on_result),
            WatchExpired: self._forward(self.store_health.on_expired),
            StoreEpochObserved: lambda event, now_s: [
                *self.relayed_view.on_epoch(event.epoch, now_s)
            ],
            KeyRewritten: self._forward(self.key_journal.on_rewritten),
            DocumentsRewritten: self._forward(self.document_recovery.on_rewritten),
            BoundsChanged: self._on_bounds,
            StopRequested: self._on_stop,
            Tick: self._on_tick,
        }

    @staticmethod
    def _forward(
        handler: Callable[[Any, float], list[Any]],
    ) -> Callable[[Any, float], list[GatewayAction]]:
        return handler

    def step(self, now_s: float, event: Any) -> list[GatewayAction]:
        """Process one event and return the actions to carry out."""
        return self._handlers[type(event)](event, now_s)

    def ready(self, now_s: float) -> bool:
        """Whether the load balancer should send new connections to this entry."""
        if self.stopping.begun or self.authorizer.config is None or not self.evacuations.listed:
            return False
        return self.config_freshness.keeps_ready(now_s)

    @property
    def busy(self) -> bool:
        """Whether work in progress needs frequent ticks."""
        return bool(self.forwarding.calls) or self.weights_leader.is_leader or not self._was_ready

    def should_close_connections(self, now_s: float) -> bool:
        """Whether callers should reconnect, so that the load balancer picks another entry.

        An entry whose configuration is stale closes its connections before it has to refuse calls
        on them, unless no peer is known to have a current configuration.
        """
        return not self.ready(now_s) and self.peers.any_peer_current(now_s)

    def _on_key_settled(self, event: KeySettled, now_s: float) -> list[GatewayAction]:
        self.idempotency_keys.on_settled(event)
        return []

    def _on_weights(self, event: WeightsNamed, now_s: float) -> list[GatewayAction]:
        return [*self._name_weights(event.model, event.version, now_s, event.listed)]

    def _name_weights(
        self, model: str, version: int, now_s: float, listed: bool = False
    ) -> list[Log]:
        if not self.weights.name(model, version, now_s, listed):
            return []
        return [Log(LogEvent.WEIGHTS_NAMED, (("model", model), ("version", version)))]

    def _on_bounds(self, event: BoundsChanged, now_s: float) -> list[GatewayAction]:
        bounds = event.bounds
        self.cfg = self.cfg._replace(bounds=bounds)
        self.config_freshness.set_bounds(bounds.revoke_s, bounds.strict_revocation)
        self.authorizer.set_bound(bounds.config_apply_s)
        self.budget.set_bounds(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_floor)
        self.weights.set_bound(bounds.version_s)
        self.cold_targets.set_bounds(bounds)
        self.rollout_lease.set_lease(bounds.lease_s)
        self.stopping.set_grace(bounds.grace_s)
        return []

    def _on_stop(self, event: StopRequested, now_s: float) -> list[GatewayAction]:
        self.stopping.begin(now_s)
        running = len(self.forwarding.calls)
        log = Log(LogEvent.DRAIN_BEGAN, (("calls", running),))
        return [log, *self.entry_registrations.stop()]

    def _on_tick(self, event: Tick, now_s: float) -> list[GatewayAction]:
        actions: list[GatewayAction] = list(self.evacuations.tick(now_s))
        actions += self.forwarding.tick(now_s)
        if now_s >= self.stopping.responses_end_s:
            actions += self.forwarding.end_all(now_s)
        self.store_health.tick(now_s)
        actions += self.target_registrations.tick(now_s)
        actions += self.crash_watch.tick(now_s)
        actions += self.cold_targets.tick(self.roster.starts, now_s)
        self.rate_admission.expire(self.roster.starts, now_s)
        self.roster.notices.expire(self.roster.starts, now_s)
        actions += self.stores.tick(now_s)
        followers = self.relayed_view.followers(now_s)
        actions += self.peer_messages.due(self.roster, self.ready(now_s), followers, now_s)
        actions += self.cache_updates.due(followers, now_s)
        actions += self.recovery.tick(now_s)
        self.key_journal.expire(now_s)
        actions += self.key_journal.due(now_s)
        actions += self.document_recovery.due(now_s)
        actions += self.entry_registrations.tick(now_s)
        actions += self.entry_registrations.log_joined()
        actions += self.relayed_view.tick(now_s)
        if now_s >= self._next_lease_tick_s:
            self._next_lease_tick_s = now_s + LEASE_TICK_S
            extra_delay_s = (
                0.0 if self.relayed_view.reads_object_store(now_s) else FOLLOWER_LEASE_DELAY_S
            )
            owners = self.cache_owners.all()
            actions += self.weights_leader.tick(now_s, owners, self.stopping.begun, extra_delay_s)
        ready = self.ready(now_s)
        if ready != self._was_ready:
            self._was_ready = ready
            age_known = bool(self.store_health.failed_kinds) or ready
            age_s = round(self.config_freshness.age_s(now_s), 3) if age_known else -1
            log_event = LogEvent.ENTRY_FRESH if ready else LogEvent.ENTRY_STALE
            actions.append(Log(log_event, (("config_age_s", age_s),)))
        return actions
