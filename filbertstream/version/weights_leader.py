"""Rolls out weight versions and frees the cache blocks of older ones, as the elected leader.

Combines the lease (``process.rollout_lease``), the roll-out and the retirement of blocks.  Only the
entry that holds the lease sends orders; its peers follow its lease record.
"""

from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

from filbertstream.actions import Log
from filbertstream.gateway_events import LeaseConfirmed, LeaseObserved, LeaseWritten
from filbertstream.log_events import LogEvent
from filbertstream.process.cache_stores import FreeBlocks
from filbertstream.process.request_rates import RequestRates
from filbertstream.process.rollout_lease import RolloutLease, RolloutState, WriteLease
from filbertstream.process.roster import Roster
from filbertstream.request.call import UNLIMITED
from filbertstream.request.rate_admission import RateAdmission
from filbertstream.version.retirement import FREE_AFTER_S, Retirement
from filbertstream.version.rollout import (
    OrderResponse,
    OrderWeights,
    PollReport,
    ReportFailed,
    ReportReceived,
    Rollout,
)
from filbertstream.version.weights_view import WeightsView

Action: TypeAlias = Log | WriteLease | FreeBlocks | PollReport | OrderWeights


class WeightsLeader:
    """This entry's part in roll-outs, as the leader or as a follower of the leader."""

    def __init__(
        self,
        rollout_lease: RolloutLease,
        roster: Roster,
        weights: WeightsView,
        retirement: Retirement,
        rates: RequestRates,
        admission: RateAdmission,
    ) -> None:
        self._lease = rollout_lease
        self._roster = roster
        self._weights = weights
        self._rates = rates
        self._rollout = Rollout(roster, weights, admission)
        self._retirement = retirement
        self.is_leader = False

    def handlers(self) -> dict[type, Callable[[Any, float], list[Any]]]:
        """Return the handlers by the type of event."""
        return {
            LeaseObserved: self.on_lease_observed,
            LeaseConfirmed: self.on_lease_confirmed,
            LeaseWritten: self.on_lease_written,
            ReportReceived: self.on_report,
            ReportFailed: self.on_report_failed,
            OrderResponse: self.on_order,
        }

    def on_lease_observed(self, event: LeaseObserved, now_s: float) -> list[Action]:
        """Process a lease record, which also lists the weights that the leader found on runners."""
        self._lease.on_observed(event.record, event.revision, now_s)
        loaded = {} if event.record is None else event.record.loaded
        for name in loaded.keys() & self._roster.targets.keys():
            for model, version in loaded[name].items():
                self._roster.targets[name].note_weights(model, version)
        self._weights.swapping = self._lease.swapping(now_s)
        self._weights.retired = self._lease.retired
        return []

    def on_lease_confirmed(self, event: LeaseConfirmed, now_s: float) -> list[Action]:
        """Process a confirmation that the record was the newest when a request was sent."""
        self._weights.lease_observed_at_s = max(self._weights.lease_observed_at_s, event.sent_at_s)
        return []

    def on_lease_written(self, event: LeaseWritten, now_s: float) -> list[Action]:
        """Process the outcome of this entry's write of the record."""
        if event.refused:
            self._lease.on_write_refused()
        return []

    def on_report(self, event: ReportReceived, now_s: float) -> list[Action]:
        """Process a runner's report."""
        logs = [*self._note_rate(event, now_s), *self._note_notice(event, now_s)]
        if not self._rollout.on_report(event):
            return [*logs]
        fields = (("target", event.target_id), ("weights", str(event.weights)))
        return [*logs, Log(LogEvent.SWAP_VERIFIED, fields)]

    def _note_rate(self, event: ReportReceived | OrderResponse, now_s: float) -> list[Log]:
        """Record a rate that is named; that none is named shows nothing on a call of this kind."""
        target = self._roster.targets.get(event.target_id)
        if target is None or event.request_rate == UNLIMITED:
            return []
        return self._rates.on_response(target.start, event.request_rate, event.sent_at_s, now_s)

    def on_report_failed(self, event: ReportFailed, now_s: float) -> list[Action]:
        """Process the failure of a request for a report, which may name a pause."""
        self._rollout.on_report_failed(event.target_id)
        return [*self._note_notice(event, now_s)]

    def _note_notice(
        self, event: ReportReceived | ReportFailed | OrderResponse, now_s: float
    ) -> list[Log]:
        target = self._roster.targets.get(event.target_id)
        return (
            [] if target is None else self._roster.notices.note(target.start, event.notice, now_s)
        )

    def on_order(self, event: OrderResponse, now_s: float) -> list[Action]:
        """Process a runner's response to an order; a missing response is logged as -1."""
        self._rollout.on_order(event)
        logs = [] if event.status is None else self._note_rate(event, now_s)
        logs += self._note_notice(event, now_s)
        status = -1 if event.status is None else event.status
        fields = (("target", event.target_id), ("status", status))
        return [*logs, Log(LogEvent.SWAP_ANSWERED, fields)]

    def tick(
        self, now_s: float, owners: Iterable[str], stopping: bool, extra_delay_s: float = 0.0
    ) -> list[Action]:
        """Return the actions that are due; ``owners`` are the owners of cache namespaces.

        ``extra_delay_s`` is how much later than its peers this entry takes the lease.
        """
        self._weights.swapping = self._lease.swapping(now_s)
        replaced = self._weights.replaced_namespaces(owners)
        stale = self._retirement.has_work(replaced)
        has_work = (bool(self._rollout.outdated()) or stale) and not stopping
        may_order = self._lease.may_order(now_s)
        work = RolloutState((), {}, {})
        if may_order:
            swapping = self._rollout.swapping(now_s)
            work = RolloutState(swapping, self._versions_to_retire(now_s), self._rollout.loaded)
        actions: list[Action] = []
        write = self._lease.tick(now_s, has_work, work, extra_delay_s)
        if write is not None:
            actions.append(write)
        if may_order != self.is_leader:
            self.is_leader = may_order
            log_event = LogEvent.LEASE_TAKEN if may_order else LogEvent.LEASE_LOST
            actions.append(Log(log_event, (("fence", self._lease.fence),)))
        if not may_order:
            self._rollout.stop()
            return actions
        if stale:
            actions += self._free_stale_blocks(replaced, now_s)
        return [*actions, *self._advance_rollout(now_s)]

    def _versions_to_retire(self, now_s: float) -> dict[str, int]:
        """Return the version of each model below which cached blocks are of no more use.

        A model is omitted while runners on older weights still get calls and fetch such blocks.
        """
        in_use = {
            model
            for target, model in self._rollout.outdated()
            if not self._weights.is_overdue(model, target.weights[model], now_s)
        }
        named = self._weights.named
        return {model: version for model, version in named.items() if model not in in_use}

    def _free_stale_blocks(self, replaced: frozenset[str], now_s: float) -> list[Action]:
        """Free the blocks of replaced weights once no fetch of them can be in progress."""
        named = self._weights.named.items()
        retired_s = [self._lease.retired_for_s(model, version, now_s) for model, version in named]
        if any(since_s <= FREE_AFTER_S for since_s in retired_s):
            return []
        freed = self._retirement.step(replaced, now_s)
        logs = [
            Log(LogEvent.PARTS_FREED, (("store", item.holder), ("parts", len(item.keys))))
            for item in freed
        ]
        return [*freed, *logs]

    def _advance_rollout(self, now_s: float) -> list[Action]:
        """Advance the swaps, and log each order."""
        actions: list[Action] = []
        for action in self._rollout.step(now_s, self._lease.fence):
            actions.append(action)
            if isinstance(action, OrderWeights):
                fields = (("target", action.target_id), ("model", action.model))
                version = (("version", action.version), ("fence", action.fence))
                actions.append(Log(LogEvent.SWAP_ORDERED, (*fields, *version)))
        return actions
