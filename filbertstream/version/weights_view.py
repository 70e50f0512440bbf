"""An entry's view of model weights: the named versions and the progress of their roll-out.

The named version of a model is the one that its runners are to load.  Calls may start on older
weights only for a bounded time after a newer version was named.  The namespace of cached blocks
contains the version, so blocks that other weights produced are never read.
"""

import functools
from collections.abc import Iterable
from typing import Final

from filbertstream.names import digest_text
from filbertstream.process.roster import Roster, RosterTarget

OVERDUE_FRACTION: Final = 0.75
"""The fraction of the bound after which old weights get no new calls, since calls may queue."""

LISTED_AGE_FRACTION: Final = 0.5
"""The fraction of that bound assumed to have passed for weights first observed in a listing."""

NAMESPACE_DIGITS: Final = 16

UNKNOWN_WEIGHTS: Final = 0
"""Lower than every version of weights."""

ROLL_OUT_FRACTION: Final = 0.3
"""The fraction of that bound over which the swaps of a service's runners are spread.

Of 0.05, 0.3 and 0.5 this served the most requests in simulated days
(docs/MEASUREMENTS-platform.md).
"""

MAX_NAMINGS: Final = 16
"""Bounds the versions of a model whose naming time is kept; older ones are long overdue."""

REPLACED_VERSIONS: Final = 40
"""How many versions before the named one are searched for stale blocks on cache stores."""

MAX_FETCH_VIEW_AGE_S: Final = 3.0
"""An entry fetches from cache stores only if its copy of the lease record is younger than this."""


@functools.lru_cache(maxsize=4_096)
def cache_namespace(owner: str, model: str, version: int) -> str:
    """Return the namespace of cached blocks.

    ``owner`` is one of ``version.cache_owners``.
    """
    return digest_text("cache", owner, model, str(version))[:NAMESPACE_DIGITS]


class WeightsView:
    """The named versions, the runners that are being swapped, and the retired versions."""

    def __init__(self, roster: Roster, version_s: float) -> None:
        self._roster = roster
        self._version_s = version_s
        self.named: dict[str, int] = {}
        self._namings: dict[str, list[tuple[int, float]]] = {}
        self._listed: set[str] = set()
        self.swapping: frozenset[str] = frozenset()
        self.retired: dict[str, int] = {}
        self.lease_observed_at_s = float("-inf")

    def set_bound(self, version_s: float) -> None:
        """Replace the bound for calls on old weights."""
        self._version_s = version_s

    def name(self, model: str, version: int, now_s: float, listed: bool = False) -> bool:
        """Record the named version of a model; return whether it is newer than the known one.

        Weights that a listing shows were named at an unknown earlier time.
        """
        if version <= self.named.get(model, 0):
            return False
        self.named[model] = version
        self._listed.discard(model)
        at_s = now_s
        if listed:
            self._listed.add(model)
            at_s -= LISTED_AGE_FRACTION * self._version_s
        namings = self._namings.setdefault(model, [])
        namings.append((version, at_s))
        del namings[:-MAX_NAMINGS]
        return True

    def outdated_for_s(self, model: str, version: int, now_s: float) -> float:
        """Return the time since the first newer version was named, or 0 if there is none."""
        for named, at_s in self._namings.get(model, ()):
            if named > version:
                return now_s - at_s
        return 0.0

    def is_overdue(self, model: str, version: int, now_s: float) -> bool:
        """Whether the bound for a version is so close that no call should start on it."""
        return self.outdated_for_s(model, version, now_s) > OVERDUE_FRACTION * self._version_s

    def swap_progress(self, model: str, version: int, now_s: float) -> float:
        """Return the fraction of a service's runners that may have been swapped by now.

        A swap invalidates a runner's cache, so runners swapped together would all prefill
        everything again at the same time.
        """
        spread_s = ROLL_OUT_FRACTION * self._version_s
        return min(1.0, self.outdated_for_s(model, version, now_s) / spread_s)

    def is_swapping(self, target: RosterTarget) -> bool:
        """Whether a runner is being swapped and is not known to have loaded the named weights."""
        if target.target_id not in self.swapping:
            return False
        return any(version < self.named.get(model, 0) for model, version in target.weights.items())

    def eligible_targets(
        self, model: str, targets: list[RosterTarget], now_s: float
    ) -> list[RosterTarget]:
        """Return the targets without runners whose old weights are close to their bound."""
        named = self.named.get(model)
        if named is None:
            return targets
        min_version = 0
        if model in self._listed:
            # A roll-out takes about as long as the bound: once one has started, old weights may be
            # overdue.
            newest_version = max((target.weights.get(model, 0) for target in targets), default=0)
            min_version = named if self._has_started(model, named) else newest_version
        return [
            target
            for target in targets
            if target.weights.get(model, 0) >= min_version
            and not self.is_overdue(model, target.weights.get(model, 0), now_s)
        ]

    def _has_started(self, model: str, named: int) -> bool:
        targets = self._roster.targets.values()
        return any(target.weights.get(model, 0) >= named for target in targets)

    def is_replaced(self, model: str, version: int) -> bool:
        """Whether newer weights than these are named."""
        return version < self.named.get(model, 0)

    def may_fetch(self, model: str, version: int, now_s: float) -> bool:
        """Whether blocks of a version may be fetched from cache stores.

        Blocks of retired versions may be freed at any time, and without a recent lease record any
        version may have been retired.
        """
        return (
            version >= self.retired.get(model, 0)
            and now_s - self.lease_observed_at_s < MAX_FETCH_VIEW_AGE_S
        )

    def replaced_namespaces(self, owners: Iterable[str]) -> frozenset[str]:
        """Return the cache namespaces of replaced versions."""
        return frozenset(
            cache_namespace(owner, model, version)
            for owner in owners
            for model, named in self.named.items()
            for version in range(max(0, named - REPLACED_VERSIONS), named)
        )
