"""The duty of weights: bringing runners to the named versions, and freeing what older ones left.

Joins the lease record (``process.rollout_lease``), the roll-out and the retirement of parts;
one entry at a time gives orders, all others follow what its record tells.
"""

from collections.abc import Iterable
from typing import TypeAlias

from filbertstream.actions import Log
from filbertstream.gateway_events import LeaseConfirmed, LeaseObserved, LeaseWritten
from filbertstream.log_events import LogEvent
from filbertstream.process.cache_stores import FreeBlocks
from filbertstream.process.rollout_lease import RolloutLease, RolloutState, WriteLease
from filbertstream.process.roster import Roster
from filbertstream.version.retirement import FREE_AFTER_S, Retirement
from filbertstream.version.rollout import (
    OrderResponse,
    OrderWeights,
    PollReport,
    ReportReceived,
    Rollout,
)
from filbertstream.version.weights_view import WeightsView

Action: TypeAlias = Log | WriteLease | FreeBlocks | PollReport | OrderWeights


class WeightsLeader:
    """This entry's part in the duty, whether it holds it or not."""

    def __init__(
        self,
        rollout_lease: RolloutLease,
        roster: Roster,
        weights: WeightsView,
        retirement: Retirement,
    ) -> None:
        self._duty = rollout_lease
        self._roster = roster
        self._weights = weights
        self._rollout = Rollout(roster, weights)
        self._retirement = retirement
        self.is_leader = False

    def on_seen(self, event: LeaseObserved, now_s: float) -> list[Action]:
        """Take in the record, and the weights that its holder found on runners."""
        self._duty.on_seen(event.record, event.revision, now_s)
        loaded = {} if event.record is None else event.record.loaded
        for name in loaded.keys() & self._roster.targets.keys():
            for model, version in loaded[name].items():
                self._roster.targets[name].note_weights(model, version)
        self._weights.swapping = self._duty.swapping(now_s)
        self._weights.retired = self._duty.retired
        return []

    def on_confirmed(self, event: LeaseConfirmed, now_s: float) -> list[Action]:
        """Take in that the record was still the newest at a moment."""
        self._weights.lease_observed_at_s = max(self._weights.lease_observed_at_s, event.sent_at_s)
        return []

    def on_written(self, event: LeaseWritten, now_s: float) -> list[Action]:
        """Take in whether the own write of the record was refused."""
        if event.refused:
            self._duty.on_write_rejected()
        return []

    def on_report(self, event: ReportReceived, now_s: float) -> list[Action]:
        """Take in a runner's report."""
        if not self._rollout.on_report(event):
            return []
        fields = (("target", event.target_id), ("weights", str(event.weights)))
        return [Log(LogEvent.SWAP_VERIFIED, fields)]

    def on_order(self, event: OrderResponse, now_s: float) -> list[Action]:
        """Take in a runner's answer to an order, -1 for none."""
        self._rollout.on_order(event)
        status = -1 if event.status is None else event.status
        return [Log(LogEvent.SWAP_ANSWERED, (("target", event.target_id), ("status", status)))]

    def tick(
        self, now_s: float, owners: Iterable[str], stopping: bool, reserve_s: float = 0.0
    ) -> list[Action]:
        """Return what is due; ``owners`` are the names under which parts are cached.

        ``reserve_s`` is how much later than others this entry takes the duty.
        """
        self._weights.swapping = self._duty.swapping(now_s)
        replaced = self._weights.replaced_namespaces(owners)
        stale = self._retirement.has_work(replaced)
        has_work = (bool(self._rollout.outdated()) or stale) and not stopping
        may_order = self._duty.may_order(now_s)
        work = RolloutState((), {}, {})
        if may_order:
            swapping = self._rollout.swapping(now_s)
            work = RolloutState(swapping, self._to_retire(now_s), self._rollout.loaded)
        actions: list[Action] = []
        write = self._duty.tick(now_s, has_work, work, reserve_s)
        if write is not None:
            actions.append(write)
        if may_order != self.is_leader:
            self.is_leader = may_order
            event_no = LogEvent.LEASE_TAKEN if may_order else LogEvent.LEASE_LOST
            actions.append(Log(event_no, (("fence", self._duty.fence),)))
        if not may_order:
            self._rollout.stop()
            return actions
        if stale:
            actions += self._free(replaced, now_s)
        return [*actions, *self._order(now_s)]

    def _to_retire(self, now_s: float) -> dict[str, int]:
        """Return the versions by model below which parts on stores are of no more use.

        Runners on older weights that still get calls fetch them.
        """
        in_use = {
            model
            for target, model in self._rollout.outdated()
            if not self._weights.is_overdue(model, target.weights[model], now_s)
        }
        named = self._weights.named
        return {model: version for model, version in named.items() if model not in in_use}

    def _free(self, replaced: frozenset[str], now_s: float) -> list[Action]:
        """Free parts of replaced weights once no fetch of them can be under way."""
        named = self._weights.named.items()
        retired_s = [self._duty.retired_for_s(model, version, now_s) for model, version in named]
        if any(since_s <= FREE_AFTER_S for since_s in retired_s):
            return []
        freed = self._retirement.step(replaced, now_s)
        lines = [
            Log(LogEvent.PARTS_FREED, (("store", item.holder), ("parts", len(item.keys))))
            for item in freed
        ]
        return [*freed, *lines]

    def _order(self, now_s: float) -> list[Action]:
        """Go on with the swaps."""
        actions: list[Action] = []
        for action in self._rollout.step(now_s, self._duty.fence):
            actions.append(action)
            if isinstance(action, OrderWeights):
                fields = (("target", action.target_id), ("model", action.model))
                version = (("version", action.version), ("fence", action.fence))
                actions.append(Log(LogEvent.SWAP_ORDERED, (*fields, *version)))
        return actions
