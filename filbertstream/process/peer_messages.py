"""Handles the messages of peers, and sends them the work in progress of this entry."""

from typing import Any, TypeAlias

from filbertstream.actions import Log, SendPeer
from filbertstream.fleet.facts import FactExchange
from filbertstream.fleet.scope import Scope
from filbertstream.gateway_events import PeerMessage, PublishKind
from filbertstream.messages import (
    CacheUpdate,
    CacheUpdateBatch,
    EntryWork,
    FleetWork,
    GroupWork,
    ViewRequest,
    ViewResponse,
    WorkRow,
)
from filbertstream.process.cache_updates import CacheUpdateExchange
from filbertstream.process.peer_work import PeerWork
from filbertstream.process.relayed_view import RelayedView
from filbertstream.process.request_rates import RequestRates
from filbertstream.process.roster import Roster
from filbertstream.process.work_exchange import WorkExchange

Action: TypeAlias = Log | PublishKind | SendPeer


class PeerMessages:
    """Passes each message of a peer to the component that it concerns."""

    def __init__(
        self,
        peers: PeerWork,
        exchange: WorkExchange,
        rates: RequestRates,
        facts: FactExchange,
        cache_updates: CacheUpdateExchange,
        relayed_view: RelayedView,
    ) -> None:
        self._peers = peers
        self._exchange = exchange
        self._rates = rates
        self._facts = facts
        self._cache_updates = cache_updates
        self._relayed_view = relayed_view

    def on_message(self, event: PeerMessage, now_s: float) -> list[Action]:
        """Handle a message."""
        message: Any = event.message
        actions: list[Action] = []
        if isinstance(message, EntryWork):
            self._peers.on_work(message, now_s)
            actions += self._take_reports(message, Scope.GROUP, now_s)
        elif isinstance(message, GroupWork):
            self._peers.on_group(message, now_s)
            actions += self._take_reports(message, Scope.FLEET, now_s)
        elif isinstance(message, FleetWork):
            self._peers.on_fleet(message, now_s)
            actions += self._take_reports(message, Scope.FLEET, now_s)
        elif isinstance(message, CacheUpdate):
            self._cache_updates.on_update(message, now_s)
        elif isinstance(message, CacheUpdateBatch):
            self._cache_updates.on_batch(message, now_s)
        elif isinstance(message, ViewRequest):
            actions += self._relayed_view.on_view_request(message, now_s)
        elif isinstance(message, ViewResponse):
            actions += self._relayed_view.on_view_response(message, now_s)
        return actions

    def _take_reports(
        self, message: EntryWork | GroupWork | FleetWork, scope: Scope, now_s: float
    ) -> list[Log]:
        rates = self._rates.on_report(message.rates, scope, now_s)
        return [*rates, *self._facts.take(message.facts, scope, now_s)]

    def due(
        self, roster: Roster, is_current: bool, followers: list[str], now_s: float
    ) -> list[SendPeer]:
        """Return the messages with this entry's work in progress, if they are due."""
        rows = tuple(
            WorkRow(
                target.target_id,
                target.outstanding,
                target.memory_tokens,
                target.prefill.queued_tokens,
            )
            for target in roster.targets.values()
            if target.outstanding
        )
        return self._exchange.due(rows, is_current, followers, now_s)
