"""Brings the runners of a model to the named weight version, a few at a time.

A runner is first left out by all entries, then ordered to load once it has read the prompts that
it was sent, then asked until its own report shows the version.  Its runs go on meanwhile: waiting
for them to end takes a runner out for seconds.  An order carries the count of orders that
the runner had accepted, so that one which is carried out late does nothing after a newer one.
Load patterns answered: a version named under load (the swaps are spread over a share of the
bound for old weights, so that not all runners have to read everything again at once), and a holder
that is cut off right after its first orders (whoever follows may swap half of the runners at once,
so that two rounds are enough).
"""

import math
from typing import Final, NamedTuple

from filbertstream.process.roster import Roster, RosterTarget
from filbertstream.version.weights_view import WeightsView

SWAP_SHARE: Final = 0.5
"""The share of a service's runners that is swapped at a time at most."""

LEAVE_OUT_S: Final = 0.08
"""From the record that names the swapped runners until all entries have seen it."""

READ_OUT_S: Final = 0.3
"""A runner that still reads prompts is ordered after this all the same."""

ASK_S: Final = 0.15
"""Interval of asking a runner that was ordered."""

UNANSWERED_S: Final = 0.6
"""An order without an answer is looked into after this time."""


class PollReport(NamedTuple):
    """Ask a runner for its report."""

    target_id: str


class OrderWeights(NamedTuple):
    """Order a runner to load a version if it has accepted ``accepted_orders`` so far."""

    target_id: str
    model: str
    version: int
    fence: int
    accepted_orders: int


class ReportReceived(NamedTuple):
    """A runner's report: orders accepted, whether one is under way, loaded versions by model."""

    target_id: str
    accepted_orders: int
    busy: bool
    weights: dict[str, int]
    sent_at_s: float


class ReportFailed(NamedTuple):
    """A runner did not give its report."""

    target_id: str


class OrderResponse(NamedTuple):
    """A runner answered an order, or did not (``status`` None)."""

    target_id: str
    status: int | None


class _Swap:
    """One runner that is being swapped."""

    def __init__(self, began_s: float) -> None:
        self.began_s = began_s
        self.report: ReportReceived | None = None
        self.asked_at_s = float("-inf")
        self.ordered_at_s: float | None = None
        self.ordered_version = 0


class Rollout:
    """The roll-out of all models."""

    def __init__(self, roster: Roster, weights: WeightsView) -> None:
        self._roster = roster
        self._weights = weights
        self._swaps: dict[str, _Swap] = {}
        self.loaded: dict[str, dict[str, int]] = {}

    def outdated(self) -> list[tuple[RosterTarget, str]]:
        """Return the runners with older weights than named, and the model."""
        return [
            (target, model)
            for target in self._roster.targets.values()
            for model, version in target.weights.items()
            if version < self._weights.named.get(model, 0)
            and not target.entry.draining
            and target.missing_since_s is None
        ]

    def swapping(self, now_s: float) -> tuple[str, ...]:
        """Return the runners to swap now, chosen anew as earlier ones are done."""
        pairs = self.outdated()
        outdated = {target.target_id for target, _ in pairs}
        for name in self._swaps.keys() - outdated & self._roster.targets.keys():
            self.loaded[name] = dict(self._roster.targets[name].weights)
        self._swaps = {name: swap for name, swap in self._swaps.items() if name in outdated}
        # The oldest weights first: the bound is nearest for them.
        for target, model in sorted(pairs, key=lambda pair: pair[0].weights[pair[1]]):
            name = target.target_id
            if name in self._swaps:
                continue
            group = self._roster.of_service(target.entry.service)
            taken = sum(1 for member in group if member.target_id in self._swaps)
            begun = taken + sum(1 for member in group if member.target_id not in outdated)
            progress = self._weights.swap_progress(model, target.weights[model], now_s)
            due = math.ceil(len(group) * progress)
            if begun < due and taken < math.ceil(len(group) * SWAP_SHARE):
                self._swaps[name] = _Swap(now_s)
        return tuple(sorted(self._swaps))

    def stop(self) -> None:
        """Forget the swaps under way and done: another entry holds the duty, or none is left."""
        self._swaps = {}
        self.loaded = {}

    def on_report(self, report: ReportReceived) -> bool:
        """Take in a report; whether it shows newer weights than known."""
        target = self._roster.targets.get(report.target_id)
        swap = self._swaps.get(report.target_id)
        if swap is not None:
            swap.report = report
        if target is None:
            return False
        newer = [item for item in report.weights.items() if target.note_weights(*item)]
        return bool(newer)

    def on_order(self, event: OrderResponse) -> None:
        """Take in an order's answer; the runner's report settles what it means."""
        swap = self._swaps.get(event.target_id)
        if swap is not None:
            swap.report = None

    def step(self, now_s: float, fence: int) -> list[PollReport | OrderWeights]:
        """Return what is due; only called while orders may be sent."""
        actions: list[PollReport | OrderWeights] = []
        for target, model in self.outdated():
            swap = self._swaps.get(target.target_id)
            if swap is None:
                continue
            left_out = self._is_left_out(swap, target, now_s)
            if not left_out and swap.report is not None:
                continue
            action = self._step_one(swap, target.target_id, model, fence, now_s)
            if action is not None:
                actions.append(action)
        return actions

    @staticmethod
    def _is_left_out(swap: _Swap, target: RosterTarget, now_s: float) -> bool:
        since_s = now_s - swap.began_s
        reads = target.queued_tokens(now_s) > 0
        return since_s >= (READ_OUT_S if reads else LEAVE_OUT_S)

    def _step_one(
        self, swap: _Swap, name: str, model: str, fence: int, now_s: float
    ) -> PollReport | OrderWeights | None:
        version = self._weights.named[model]
        report = swap.report
        if report is None or report.busy or self._awaits_effect(swap, version, now_s):
            if now_s - swap.asked_at_s < ASK_S:
                return None
            swap.asked_at_s = now_s
            return PollReport(name)
        swap.ordered_at_s = now_s
        swap.ordered_version = version
        swap.report = None
        swap.asked_at_s = now_s
        return OrderWeights(name, model, version, fence, report.accepted_orders)

    def _awaits_effect(self, swap: _Swap, version: int, now_s: float) -> bool:
        """Whether the order of this version may still take effect without being repeated."""
        if swap.ordered_at_s is None or swap.ordered_version != version or swap.report is None:
            return False
        return swap.report.sent_at_s < swap.ordered_at_s + UNANSWERED_S
