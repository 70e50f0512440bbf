"""Rolls a model's weight version out over its runners, at most two at a time.

The duty is held by a lease (``process.leases``).  A runner is first marked as swapping, which
heartbeats spread, so that no entry sends it new work; once its own report shows no work it is
ordered to load the version, under the lease's fencing number.  Nothing relies on the order: the
runner counts as swapped only when its own report or answer shows the version, so a runner that
ignores fencing and obeys an old holder is simply ordered again.
"""

from typing import Final, NamedTuple

from filbertstream.actions import Action, Log, OrderTarget
from filbertstream.events import OrderFinished
from filbertstream.log_events import LogEvent
from filbertstream.process.directory import Directory, Target
from filbertstream.version.resolve import View

MAX_SWAPPING: Final = 2
SPREAD_S: Final = 2.5
"""How long a mark takes to reach every entry; only later reports show that the work is over."""

DRAIN_LIMIT_S: Final = 120.0
ORDER_RETRY_S: Final = 5.0
"""An order that isn't verified for this long is given again."""


class _Swap(NamedTuple):
    version: str
    begun_at_s: float
    ordered_at_s: float | None


class Rollout:
    """The swaps that this member conducts while it holds the lease."""

    def __init__(self) -> None:
        self._swaps: dict[str, _Swap] = {}

    def swapping(self) -> tuple[str, ...]:
        """Return the runners under way, which heartbeats tell to all entries."""
        return tuple(sorted(self._swaps))

    def stop(self) -> None:
        """Forget all swaps: the lease is lost."""
        self._swaps.clear()

    def tick(
        self, now_s: float, view: View, directory: Directory, fencing: int
    ) -> tuple[Action, ...]:
        """Begin, order and end swaps; call only right after a look at the lease."""
        actions = self._end(view, directory)
        actions += self._begin(now_s, view, directory)
        actions += self._order(now_s, directory, fencing)
        return tuple(actions)

    def on_order(self, result: OrderFinished) -> tuple[Action, ...]:
        """Take in an order's answer; one that failed is given again."""
        swap = self._swaps.get(result.target)
        if swap is None or result.outcome == "done":
            return ()
        return (_log(LogEvent.SWAP_FAILED, result.target, swap.version),)

    def _end(self, view: View, directory: Directory) -> list[Action]:
        actions: list[Action] = []
        for name, swap in list(self._swaps.items()):
            target = directory.targets.get(name)
            if target is None or target.leaving:
                del self._swaps[name]
            elif target.weight_version == swap.version:
                del self._swaps[name]
                actions.append(_log(LogEvent.SWAP_VERIFIED, name, swap.version))
            elif self._wanted(target, view) != swap.version:
                del self._swaps[name]
        return actions

    def _begin(self, now_s: float, view: View, directory: Directory) -> list[Action]:
        actions: list[Action] = []
        for model in view.models():
            for name in directory.runners(model.name):
                target = directory.targets[name]
                wanted = self._wanted(target, view)
                if len(self._swaps) >= MAX_SWAPPING:
                    return actions
                if name in self._swaps or target.leaving or target.weight_version in ("", wanted):
                    continue
                self._swaps[name] = _Swap(wanted, now_s, None)
                actions.append(_log(LogEvent.SWAP_BEGAN, name, wanted))
        return actions

    def _order(self, now_s: float, directory: Directory, fencing: int) -> list[Action]:
        actions: list[Action] = []
        for name, swap in self._swaps.items():
            target = directory.targets[name]
            if not self._due(swap, target, now_s):
                continue
            self._swaps[name] = swap._replace(ordered_at_s=now_s)
            address = target.listed.address
            actions.append(OrderTarget(name, address, swap.version, fencing))
            actions.append(_log(LogEvent.SWAP_ORDERED, name, swap.version))
        return actions

    def _due(self, swap: _Swap, target: Target, now_s: float) -> bool:
        """Whether a runner can be ordered now: its work is over, or has taken too long."""
        if swap.ordered_at_s is not None:
            return now_s - swap.ordered_at_s >= ORDER_RETRY_S
        if now_s - swap.begun_at_s >= DRAIN_LIMIT_S:
            return True
        spread_at_s = swap.begun_at_s + SPREAD_S
        reported = target.reported_at_s is not None and target.reported_at_s >= spread_at_s
        return reported and target.running == 0 and target.outstanding <= 0

    def _wanted(self, target: Target, view: View) -> str:
        model = view.model(target.listed.model)
        return target.weight_version if model is None else model.version


def _log(event: LogEvent, target: str, version: str) -> Log:
    return Log(event, (("target", target), ("weight_version", version)))
