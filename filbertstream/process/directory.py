"""The targets: what the lagging list says, what they report, and what this member has sent them.

``request.routing`` asks it for the runners of a model and for their expected wait.  A target that
the list calls leaving, that a drain names, or that is out as an outlier gets no new work.  Load
reports lag, so work sent since a report was taken is added to it.
"""

from typing import Final

from filbertstream.events import ListedTarget
from filbertstream.messages import TargetLoad
from filbertstream.process.backlog import Backlog
from filbertstream.process.outliers import Outliers

LEARN_FROM_TOKENS: Final = 500
"""Shorter computations tell more of the latency around them than of the rate."""

FIRST_PREFILL_TOKENS_PER_S: Final = 20_000.0
FIRST_LINK_BYTES_PER_S: Final = 100e6
"""A link is first taken for a fast one: one taken for slow would never be tried."""

LIST_MISSES_BEFORE_GONE: Final = 3
"""A target missing from this many lists in a row is forgotten."""


class Target:
    """One target: listed facts, the last report, and learned rates."""

    def __init__(self, listed: ListedTarget) -> None:
        self.listed = listed
        self.weight_version = ""
        self.reported_at_s: float | None = None
        self.running = 0
        self.queued_tokens = 0
        self.outstanding = 0
        self.prefill = Backlog(FIRST_PREFILL_TOKENS_PER_S)
        self.link = Backlog(FIRST_LINK_BYTES_PER_S)
        self.full = False
        self.swapping = False
        self.leaving_since_s: float | None = None
        self.misses = 0

    @property
    def name(self) -> str:
        """The target's name."""
        return self.listed.name

    @property
    def leaving(self) -> bool:
        """Whether the target must get no new work because it is going away."""
        return self.leaving_since_s is not None

    def take_report(self, load: TargetLoad, now_s: float) -> bool:
        """Take in a load report unless a later one is known; whether the version changed."""
        taken_at_s = now_s - load.age_s
        if self.reported_at_s is not None and taken_at_s <= self.reported_at_s:
            return False
        self.reported_at_s = taken_at_s
        self.running = load.running + load.queued
        self.queued_tokens = load.queued_tokens
        self.prefill.rebase(taken_at_s, float(load.queued_tokens))
        changed = self.weight_version != load.weight_version
        self.weight_version = load.weight_version
        return changed

    def sent(self, now_s: float, tokens: int, spread: int) -> None:
        """Note work that was sent to the target.

        ``tokens`` are expected to be computed.  They count ``spread`` times, see
        ``process.sharing``.
        """
        self.outstanding += 1
        self.prefill.add(now_s, spread * tokens)

    def sent_by_peer(self, now_s: float, units: float) -> None:
        """Note what another entry has sent: tokens to a runner, bytes to a store."""
        backlog = self.link if self.listed.kind == "store" else self.prefill
        backlog.add(now_s, units)

    def done(self) -> None:
        """Note that an attempt on the target ended."""
        self.outstanding -= 1

    def learn_prefill(self, now_s: float, tokens: int, seconds: float) -> None:
        """Learn the prefill rate from a request that computed ``tokens`` before its first byte."""
        if tokens >= LEARN_FROM_TOKENS and seconds > 0:
            self.prefill.learn_rate(now_s, tokens, seconds)

    def learn_link(self, began_s: float, bytes_moved: int, seconds: float) -> None:
        """Learn from a transfer: how fast the link is, and how long the transfer waited for it."""
        if bytes_moved <= 0 or seconds <= 0:
            return
        self.link.learn_rate(began_s + seconds, bytes_moved, seconds)
        self.link.observe_wait(began_s, seconds - bytes_moved / self.link.rate_per_s)


class Directory:
    """All targets by name, with indexes for the lookups that requests make."""

    def __init__(self) -> None:
        self.targets: dict[str, Target] = {}
        self.outliers = Outliers()
        self._runners: dict[str, list[str]] = {}
        self._services: dict[str, list[str]] = {}
        self._stores: list[str] = []
        self._swapping: frozenset[str] = frozenset()
        self._turns: dict[str, int] = {}
        self._versions: dict[str, dict[str, int]] = {}

    def next_turn(self, model: str) -> int:
        """Return a number that grows by one with each call for a model."""
        turn = self._turns.get(model, -1) + 1
        self._turns[model] = turn
        return turn

    def on_list(self, listed: tuple[ListedTarget, ...], now_s: float) -> tuple[str, ...]:
        """Take in the platform's list; return the targets that were not known to leave before."""
        rows = {row.name: row for row in listed}
        changed = []
        for row in listed:
            if self._take_row(row, now_s):
                changed.append(row.name)
        for name, target in list(self.targets.items()):
            target.misses = 0 if name in rows else target.misses + 1
            if target.misses >= LIST_MISSES_BEFORE_GONE and target.outstanding <= 0:
                del self.targets[name]
        self._index()
        return tuple(changed)

    def _take_row(self, row: ListedTarget, now_s: float) -> bool:
        target = self.targets.get(row.name)
        if target is None or target.listed.address != row.address:
            target = self.targets[row.name] = Target(row)
            target.swapping = row.name in self._swapping
        target.listed = row
        if row.state != "leaving" or target.leaving:
            return False
        target.leaving_since_s = now_s
        return True

    def on_load(self, load: TargetLoad, now_s: float) -> str | None:
        """Take in a load report; return the weight version it replaces, if that changed."""
        target = self.targets.get(load.target)
        if target is None:
            return None
        before = target.weight_version
        if not target.take_report(load, now_s):
            return None
        self._index()
        return before

    def versions(self, model: str) -> tuple[str, ...]:
        """Return the weight versions that a model's runners serve, the most served first."""
        served = self._versions.get(model, {})
        return tuple(sorted(served, key=lambda version: (-served[version], version)))

    def mark_swapping(self, names: frozenset[str]) -> None:
        """Mark exactly these runners as being swapped."""
        if names == self._swapping:
            return
        self._swapping = names
        for target in self.targets.values():
            target.swapping = target.name in names

    def mark_leaving(self, name: str, now_s: float) -> bool:
        """Note a planned stop that the list doesn't show yet; whether that was news."""
        target = self.targets.get(name)
        if target is None or target.leaving:
            return False
        target.leaving_since_s = now_s
        return True

    def leaving(self) -> tuple[str, ...]:
        """Return the names of the targets that are going away."""
        return tuple(sorted(name for name, item in self.targets.items() if item.leaving))

    def _index(self) -> None:
        self._runners = {}
        self._services = {}
        self._stores = []
        self._versions = {}
        for name in sorted(self.targets):
            target = self.targets[name]
            listed = target.listed
            if listed.kind == "runner":
                self._runners.setdefault(listed.model, []).append(name)
                self._count_version(target)
            elif listed.kind == "service":
                self._services.setdefault(listed.service, []).append(name)
            else:
                self._stores.append(name)

    def _count_version(self, target: Target) -> None:
        if target.leaving or not target.weight_version:
            return
        served = self._versions.setdefault(target.listed.model, {})
        served[target.weight_version] = served.get(target.weight_version, 0) + 1

    def runners(self, model: str) -> list[str]:
        """Return the names of a model's runners, usable or not."""
        return self._runners.get(model, [])

    def servers(self, service: str) -> list[str]:
        """Return the names of a service's targets, usable or not."""
        return self._services.get(service, [])

    def stores(self) -> list[str]:
        """Return the names of the stores, usable or not."""
        return self._stores

    def usable(self, name: str, now_s: float) -> Target | None:
        """Return a target that may get new work."""
        target = self.targets.get(name)
        if target is None or target.leaving or target.swapping:
            return None
        return None if self.outliers.is_out(name, now_s) else target
