"""Rolls out the named weight version of each model to its runners, a few at a time.

All entries first stop sending calls to a runner.  Once the runner has prefilled the prompts that it
has received, the leader orders it to load the version and polls its report until the report shows
that version.  Running requests continue during the swap, since waiting for their end would take the
runner out of service for seconds.  An order carries the number of orders that the runner had
accepted before, so that a delayed order has no effect after a newer one.

Load patterns and faults handled: a version named under load (the swaps are spread over a fraction
of the bound for old weights, so that the runners don't all lose their cache and prefill everything
again at the same time), and a leader that is partitioned right after its first orders (its
successor may swap half of the runners at once, so two rounds are enough).
"""

import math
from typing import Final, NamedTuple

from filbertstream.process.roster import Roster, RosterTarget
from filbertstream.request.call import NO_NOTICE, UNLIMITED, RequestRate, TargetNotice
from filbertstream.request.rate_admission import RateAdmission
from filbertstream.version.weights_view import WeightsView

SWAP_FRACTION: Final = 0.5
"""The largest fraction of a service's runners that is swapped at the same time."""

RECORD_PROPAGATION_S: Final = 0.08
"""The time until all entries have received a lease record that names the runners to swap."""

MAX_PREFILL_WAIT_S: Final = 0.3
"""A runner that still prefills prompts after this long is ordered anyway."""

POLL_INTERVAL_S: Final = 0.15
"""Interval of polling the report of a runner that is being swapped."""

CALL_TIMEOUT_S: Final = 3.0
"""A report that has neither arrived nor failed after this long is requested again."""

NO_REPORT_S: Final = 2.0
"""A runner without a report for this long no longer holds up the swaps of others."""

ORDER_EFFECT_TIMEOUT_S: Final = 0.6
"""An order that shows no effect in reports after this long may be sent again."""


class PollReport(NamedTuple):
    """Request a runner's report."""

    target_id: str


class OrderWeights(NamedTuple):
    """Order a runner to load a version, if it has accepted ``accepted_orders`` orders so far."""

    target_id: str
    model: str
    version: int
    fence: int
    accepted_orders: int


class ReportReceived(NamedTuple):
    """A runner's report: accepted orders, whether one is in progress, loaded versions by model."""

    target_id: str
    accepted_orders: int
    busy: bool
    weights: dict[str, int]
    sent_at_s: float
    request_rate: RequestRate = UNLIMITED
    notice: TargetNotice = NO_NOTICE


class ReportFailed(NamedTuple):
    """A request for a runner's report failed."""

    target_id: str
    notice: TargetNotice = NO_NOTICE


class OrderResponse(NamedTuple):
    """A runner's response to an order; ``status`` is None if there was no response."""

    target_id: str
    status: int | None
    sent_at_s: float = 0.0
    request_rate: RequestRate = UNLIMITED
    notice: TargetNotice = NO_NOTICE


class _Swap:
    """The progress of one runner that is being swapped."""

    def __init__(self, started_at_s: float) -> None:
        self.started_at_s = started_at_s
        self.report: ReportReceived | None = None
        self.polled_at_s = float("-inf")
        self.awaits_report = False
        self.reported_at_s = started_at_s
        self.ordered_at_s: float | None = None
        self.ordered_version = 0


class Rollout:
    """The roll-out of the named weights of all models."""

    def __init__(self, roster: Roster, weights: WeightsView, admission: RateAdmission) -> None:
        self._roster = roster
        self._admission = admission
        self._weights = weights
        self._swaps: dict[str, _Swap] = {}
        self.loaded: dict[str, dict[str, int]] = {}

    def outdated(self) -> list[tuple[RosterTarget, str]]:
        """Return the runners with older weights than the named ones, each with the model.

        Those that leave or are evacuated get no orders, and don't hold up the others.
        """
        return [
            (target, model)
            for target in self._roster.targets.values()
            for model, version in target.weights.items()
            if version < self._weights.named.get(model, 0)
            and not target.registration.draining
            and not self._roster.notices.is_leaving(target.start)
            and target.missing_since_s is None
            and not self._roster.is_evacuated(target)
        ]

    def swapping(self, now_s: float) -> tuple[str, ...]:
        """Return the runners to swap now, adding runners as earlier ones complete."""
        pairs = self.outdated()
        outdated = {target.target_id for target, _ in pairs}
        for name in self._swaps.keys() - outdated & self._roster.targets.keys():
            self.loaded[name] = dict(self._roster.targets[name].weights)
        self._swaps = {name: swap for name, swap in self._swaps.items() if name in outdated}
        # The oldest weights come first, as their bound expires first.
        for target, model in sorted(pairs, key=lambda pair: pair[0].weights[pair[1]]):
            name = target.target_id
            if name in self._swaps:
                continue
            group = self._roster.of_service(target.registration.service)
            begun = [self._swaps[item.target_id] for item in group if item.target_id in self._swaps]
            swapping = sum(now_s - swap.reported_at_s < NO_REPORT_S for swap in begun)
            started = len(begun) + sum(1 for member in group if member.target_id not in outdated)
            progress = self._weights.swap_progress(model, target.weights[model], now_s)
            due = math.ceil(len(group) * progress)
            if started < due and swapping < math.ceil(len(group) * SWAP_FRACTION):
                self._swaps[name] = _Swap(now_s)
        return tuple(sorted(self._swaps))

    def stop(self) -> None:
        """Discard running and completed swaps: a peer holds the lease, or no work is left."""
        self._swaps = {}
        self.loaded = {}

    def on_report(self, report: ReportReceived) -> bool:
        """Process a report and return whether it shows newer weights than were known."""
        target = self._roster.targets.get(report.target_id)
        swap = self._swaps.get(report.target_id)
        if swap is not None:
            swap.report, swap.awaits_report = report, False
            swap.reported_at_s = report.sent_at_s
        if target is None:
            return False
        newer = [item for item in report.weights.items() if target.note_weights(*item)]
        return bool(newer)

    def on_report_failed(self, target_id: str) -> None:
        """Process the failure of a request for a report; the next one may be sent."""
        swap = self._swaps.get(target_id)
        if swap is not None:
            swap.awaits_report = False

    def on_order(self, event: OrderResponse) -> None:
        """Process the response to an order; only the next report shows whether it took effect."""
        swap = self._swaps.get(event.target_id)
        if swap is not None:
            swap.report = None

    def step(self, now_s: float, fence: int) -> list[PollReport | OrderWeights]:
        """Return the polls and orders that are due; only valid while orders may be sent."""
        actions: list[PollReport | OrderWeights] = []
        for target, model in self.outdated():
            swap = self._swaps.get(target.target_id)
            if swap is None or not self._roster.notices.admits(target.start, now_s):
                continue
            ready = self._is_ready_to_load(swap, target, now_s)
            if not ready and swap.report is not None:
                continue
            action = self._step_swap(swap, target, model, fence, now_s)
            if action is not None:
                actions.append(action)
        return actions

    @staticmethod
    def _is_ready_to_load(swap: _Swap, target: RosterTarget, now_s: float) -> bool:
        since_s = now_s - swap.started_at_s
        prefills = target.queued_tokens(now_s) > 0
        return since_s >= (MAX_PREFILL_WAIT_S if prefills else RECORD_PROPAGATION_S)

    def _step_swap(
        self, swap: _Swap, target: RosterTarget, model: str, fence: int, now_s: float
    ) -> PollReport | OrderWeights | None:
        name = target.target_id
        version = self._weights.named[model]
        report = swap.report
        if report is None or report.busy or self._is_order_pending(swap, version, now_s):
            interval_s = CALL_TIMEOUT_S if swap.awaits_report else POLL_INTERVAL_S
            if now_s - swap.polled_at_s < interval_s:
                return None
            if not self._admission.may_call(target, now_s):
                return None
            swap.polled_at_s, swap.awaits_report = now_s, True
            return PollReport(name)
        if not self._admission.may_call(target, now_s):
            return None
        swap.ordered_at_s = now_s
        swap.ordered_version = version
        swap.report = None
        swap.polled_at_s = now_s
        return OrderWeights(name, model, version, fence, report.accepted_orders)

    def _is_order_pending(self, swap: _Swap, version: int, now_s: float) -> bool:
        """Whether the order of this version may still take effect without a retry."""
        if swap.ordered_at_s is None or swap.ordered_version != version or swap.report is None:
            return False
        return swap.report.sent_at_s < swap.ordered_at_s + ORDER_EFFECT_TIMEOUT_S
