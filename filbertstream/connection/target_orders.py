"""Executes the calls of a roll-out, reports and orders, on worker threads.

Whatever a runner's response causes, it counts as a failed report or an order without a response: it
affects the roll-out to that runner alone.
"""

from collections.abc import Callable
from typing import Any

from filbertstream.gateway import Gateway
from filbertstream.platform.runner_calls import RunnerCalls
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address
from filbertstream.version.rollout import (
    OrderResponse,
    OrderWeights,
    PollReport,
    ReportFailed,
    ReportReceived,
)


class TargetOrders:
    """The handlers of the actions of a roll-out."""

    def __init__(
        self,
        core: Gateway,
        runners: RunnerCalls,
        submit: Callable[..., None],
        emit: Callable[[Any], None],
    ) -> None:
        self._core = core
        self._runners = runners
        self._submit = submit
        self._emit = emit

    def handlers(self) -> dict[type, Callable[[Any], object]]:
        """Return the handlers by the type of action."""
        return {PollReport: self._poll_report, OrderWeights: self._order}

    def _poll_report(self, poll: PollReport) -> None:
        target = self._core.roster.targets.get(poll.target_id)
        if target is not None:
            self._submit(self._report, poll, target.registration.address)

    def _is_evacuated(self, action: PollReport | OrderWeights) -> bool:
        """Whether a runner was evacuated since its call was submitted to a worker."""
        target = self._core.roster.targets.get(action.target_id)
        return target is not None and self._core.roster.is_evacuated(target)

    def _report(self, poll: PollReport, address: Address) -> None:
        if self._is_evacuated(poll):
            return
        report: ReportReceived | ReportFailed
        try:
            report = self._runners.report(poll, address)
        except Exception:
            self._core.counters.add("task_errors", "report")
            report = ReportFailed(poll.target_id)
        self._emit(report)

    def _order(self, order: OrderWeights) -> None:
        target = self._core.roster.targets.get(order.target_id)
        if target is not None:
            self._submit(self._send_order, order, target.registration.address)

    def _send_order(self, order: OrderWeights, address: Address) -> None:
        # A worker may start late, so the lease must still be held when the order is sent.
        if not self._core.rollout_lease.may_order(boot_time_s()) or self._is_evacuated(order):
            return
        try:
            response = self._runners.order(order, address)
        except Exception:
            self._core.counters.add("task_errors", "order")
            response = OrderResponse(order.target_id, None)
        self._emit(response)
