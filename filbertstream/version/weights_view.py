"""What an entry knows of the weights of models: the named versions, and how far a roll-out is.

Calls may begin on older weights only for a bounded time after newer ones were named.  Parts of
prompts are cached under names that hold the version, so what other weights made is never read.
"""

import functools
from collections.abc import Iterable
from typing import Final

from filbertstream.names import digest_text
from filbertstream.process.roster import Roster, RosterTarget

OVERDUE_FRACTION: Final = 0.75
"""The share of the bound for old weights after which they get no call: calls wait at runners."""

LISTED_SHARE: Final = 0.5
"""The share of that bound which is taken to have passed for weights that a listing shows."""

NAMESPACE_DIGITS: Final = 16

ROLL_OUT_FRACTION: Final = 0.3
"""The share of that bound over which the swaps of a service's runners are spread; of 0.05, 0.3
and 0.5 the one that served most on played days (docs/MEASUREMENTS-platform.md)."""

NAMINGS: Final = 16
"""Versions of a model of which the time of naming is remembered; older ones are long overdue."""

REPLACED_VERSIONS: Final = 40
"""Weight versions before the named one whose parts are looked for on stores."""

MAX_FETCH_VIEW_AGE_S: Final = 3.0
"""The age of an entry's view of the duty's record up to which it fetches from stores."""


@functools.lru_cache(maxsize=4_096)
def cache_namespace(owner: str, model: str, version: int) -> str:
    """Return the name under which parts are cached.

    ``owner`` is a workspace that shares nothing, or empty.
    """
    return digest_text("cache", owner, model, str(version))[:NAMESPACE_DIGITS]


class WeightsView:
    """The named weights, the runners that are being swapped, and the retired versions."""

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
        """Go by another bound for old weights from now on."""
        self._version_s = version_s

    def name(self, model: str, version: int, now_s: float, listed: bool = False) -> bool:
        """Take in that new weights are named; whether they are newer than the known ones.

        Weights that a listing shows were named at an unknown time before.
        """
        if version <= self.named.get(model, 0):
            return False
        self.named[model] = version
        self._listed.discard(model)
        at_s = now_s
        if listed:
            self._listed.add(model)
            at_s -= LISTED_SHARE * self._version_s
        namings = self._namings.setdefault(model, [])
        namings.append((version, at_s))
        del namings[:-NAMINGS]
        return True

    def behind_for_s(self, model: str, version: int, now_s: float) -> float:
        """Return how long ago the first newer version was named, or 0 if there is none."""
        for named, at_s in self._namings.get(model, ()):
            if named > version:
                return now_s - at_s
        return 0.0

    def is_overdue(self, model: str, version: int, now_s: float) -> bool:
        """Whether the bound for a version is so near that calls should not begin on it."""
        return self.behind_for_s(model, version, now_s) > OVERDUE_FRACTION * self._version_s

    def swap_progress(self, model: str, version: int, now_s: float) -> float:
        """Return the share of a service's runners that may have been swapped by now.

        A runner's cache is of no use after a swap: swapped together, all read everything again at
        the same time.
        """
        spread_s = ROLL_OUT_FRACTION * self._version_s
        return min(1.0, self.behind_for_s(model, version, now_s) / spread_s)

    def is_swapping(self, target: RosterTarget) -> bool:
        """Whether a runner is being swapped and has not shown the named weights yet."""
        if target.target_id not in self.swapping:
            return False
        return any(version < self.named.get(model, 0) for model, version in target.weights.items())

    def eligible_targets(
        self, model: str, targets: list[RosterTarget], now_s: float
    ) -> list[RosterTarget]:
        """Leave out runners on older weights once the bound for them is near."""
        named = self.named.get(model)
        if named is None:
            return targets
        oldest = 0
        if model in self._listed:
            # A roll-out that has got anywhere takes about as long as the bound.
            newest = max((target.weights.get(model, 0) for target in targets), default=0)
            oldest = named if self._has_begun(model, named) else newest
        return [
            target
            for target in targets
            if target.weights.get(model, 0) >= oldest
            and not self.is_overdue(model, target.weights.get(model, 0), now_s)
        ]

    def _has_begun(self, model: str, named: int) -> bool:
        targets = self._roster.targets.values()
        return any(target.weights.get(model, 0) >= named for target in targets)

    def is_replaced(self, model: str, version: int) -> bool:
        """Whether newer weights than these are named."""
        return version < self.named.get(model, 0)

    def may_fetch(self, model: str, version: int, now_s: float) -> bool:
        """Whether parts of a version may be fetched from stores.

        Parts of retired versions may be freed; without a fresh view, any may be retired.
        """
        return (
            version >= self.retired.get(model, 0)
            and now_s - self.lease_observed_at_s < MAX_FETCH_VIEW_AGE_S
        )

    def replaced_namespaces(self, owners: Iterable[str]) -> frozenset[str]:
        """Return the namespaces of weights that newer ones have replaced."""
        return frozenset(
            cache_namespace(owner, model, version)
            for owner in owners
            for model, named in self.named.items()
            for version in range(max(0, named - REPLACED_VERSIONS), named)
        )
