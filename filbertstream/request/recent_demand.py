"""What this entry has been asked for and has admitted in the last seconds, by workspace and kind.

All numbers are decaying sums, so there is nothing to reset and an entry that
starts has no history.  The state is bounded: of many workspaces only those with the most work are
kept, since all others are far below their share.

>>> shares = CapacityShares()
>>> asked = Asked("w", "chat", 0, 1_000, 1_000.0)
>>> shares.note_arrival(asked, 0.0); shares.over_share("w", 0.0)
1.0
"""

import math
from collections.abc import Callable
from typing import Final, NamedTuple

from filbertstream.request.capacity_shares import Claim, Demand, fair_share

DECAY_S: Final = 8.0
"""Time in which sums of work decay to 1/e: bursts last seconds."""

RATE_DECAY_S: Final = 60.0
"""The same for numbers of calls, from which rates are calculated.  One of 65 entries sees a large
prompt in ten seconds, and a rate needs several."""

PRESSURE_DECAY_S: Final = 2.0
"""The same for the fraction of decisions under pressure, so that shares end soon after a burst."""

MAX_WORKSPACES: Final = 256
MAX_KINDS: Final = 32
"""Kinds with a record of their own; calls of further ones count for their workspace only."""

IDLE_CALLS: Final = 0.001
"""A decayed number of calls below which a record is dropped if its room is needed: that of one call
after 14 s for a service, and after 7 minutes for a kind."""

ALONE_FRACTION: Final = 0.02
"""A workspace is alone if the others have at most this fraction of the work."""

SHARE_INTERVAL_S: Final = 0.2
"""Interval at which the fair share is calculated again."""

LARGEST_FRACTION: Final = 0.1
SIZE_STEP: Final = 0.05
"""The step by which the size above which prompts are among the largest follows each call."""


class Asked(NamedTuple):
    """A call with its expected work; ``tokens`` is the size of its prompt."""

    workspace: str
    kind: str
    urgency: int
    tokens: int
    work: float


class ShareEstimate(NamedTuple):
    """The work of a workspace, the fair share of each, and the work of all, in the same unit."""

    work: float
    share: float
    total: float


FleetEstimate = Callable[[str, float], ShareEstimate | None]
"""Returns what entries have reported of a workspace, or None if nothing is known."""


class _Sum:
    """A decaying sum."""

    __slots__ = ("_at_s", "_decay_s", "_value")

    def __init__(self, now_s: float, decay_s: float = DECAY_S) -> None:
        self._value, self._at_s, self._decay_s = 0.0, now_s, decay_s

    def at(self, now_s: float) -> float:
        return self._value * math.exp(min(0.0, self._at_s - now_s) / self._decay_s)

    def add(self, amount: float, now_s: float) -> None:
        self._value, self._at_s = self.at(now_s) + amount, now_s


class _Calls:
    """Numbers of arrived and served calls."""

    __slots__ = ("arrived", "served")

    def __init__(self, now_s: float) -> None:
        self.arrived, self.served = _Sum(now_s, RATE_DECAY_S), _Sum(now_s, RATE_DECAY_S)


class _Workspace:
    """The calls of a workspace, their work by urgency, and the work of those served."""

    __slots__ = ("calls", "served_work", "work")

    def __init__(self, now_s: float) -> None:
        self.calls, self.served_work = _Calls(now_s), _Sum(now_s)
        self.work: dict[int, _Sum] = {}

    def work_at(self, now_s: float, urgency: int | None = None) -> float:
        """Return the work of all kinds, or of those at least as urgent."""
        return sum(
            item.at(now_s)
            for level, item in self.work.items()
            if urgency is None or level <= urgency
        )


class _Kind:
    """The calls of a kind, and the largest tenth of them."""

    __slots__ = ("all", "large", "large_above")

    def __init__(self, tokens: int, now_s: float) -> None:
        self.all, self.large, self.large_above = _Calls(now_s), _Calls(now_s), float(tokens)


class CapacityShares:
    """The recent calls to one service, as seen by this entry.

    ``fleet`` returns what entries have reported of a workspace; without it, or if it knows nothing,
    shares follow from what this entry sees itself.
    """

    def __init__(self, fleet: FleetEstimate = lambda workspace, now_s: None) -> None:
        self._fleet = fleet
        self._workspaces: dict[str, _Workspace] = {}
        self._kinds: dict[tuple[str, int], _Kind] = {}
        self._decisions = _Sum(0.0, PRESSURE_DECAY_S)
        self._pressed = _Sum(0.0, PRESSURE_DECAY_S)
        self._share = self._total = 0.0
        self._share_at_s = float("-inf")

    def note_arrival(self, asked: Asked, now_s: float) -> None:
        """Count a call that is to be decided on."""
        known = self._workspaces.get(asked.workspace)
        if known is None:
            if len(self._workspaces) >= MAX_WORKSPACES:
                self._drop_smallest(now_s)
            known = self._workspaces[asked.workspace] = _Workspace(now_s)
        known.calls.arrived.add(1.0, now_s)
        known.work.setdefault(asked.urgency, _Sum(now_s)).add(asked.work, now_s)
        kind = self._kinds.get((asked.kind, asked.urgency))
        if kind is None and len(self._kinds) >= MAX_KINDS:
            self._drop_idle_kinds(now_s)
        if kind is None and len(self._kinds) < MAX_KINDS:
            kind = self._kinds[asked.kind, asked.urgency] = _Kind(asked.tokens, now_s)
        if kind is None:
            return
        kind.all.arrived.add(1.0, now_s)
        if asked.tokens > kind.large_above:
            kind.large.arrived.add(1.0, now_s)

    def note_served(self, asked: Asked, now_s: float) -> None:
        """Count a call that was admitted, after its arrival."""
        known = self._workspaces.get(asked.workspace)
        if known is not None:
            known.calls.served.add(1.0, now_s)
            known.served_work.add(asked.work, now_s)
        kind = self._kinds.get((asked.kind, asked.urgency))
        if kind is None:
            return
        kind.all.served.add(1.0, now_s)
        if asked.tokens > kind.large_above:
            kind.large.served.add(1.0, now_s)

    def note_decision(self, asked: Asked, is_pressed: bool, now_s: float) -> None:
        """Count a decision, and whether capacity was running out; the last step for a call."""
        self._decisions.add(1.0, now_s)
        self._pressed.add(1.0 if is_pressed else 0.0, now_s)
        kind = self._kinds.get((asked.kind, asked.urgency))
        if kind is not None:
            above = asked.tokens > kind.large_above
            step = 1.0 - LARGEST_FRACTION if above else -LARGEST_FRACTION
            kind.large_above *= 1.0 + SIZE_STEP * step

    def is_idle(self, now_s: float) -> bool:
        """Whether no call has been decided on for a while."""
        return self._decisions.at(now_s) < IDLE_CALLS

    def pressed_fraction(self, now_s: float) -> float:
        """Return the fraction of recent decisions under pressure."""
        decisions = self._decisions.at(now_s)
        return self._pressed.at(now_s) / decisions if decisions > 0.0 else 0.0

    def over_share(self, workspace: str, now_s: float, urgency: int | None = None) -> float:
        """Return the work of a workspace in fair shares, 1 if it is alone.

        With an urgency only the kinds at least as urgent count.
        """
        known = self._workspaces.get(workspace)
        local = 0.0 if known is None else known.work_at(now_s)
        self._update_share(now_s)
        estimate = ShareEstimate(local, self._share, self._total)
        fleet = self._fleet(workspace, now_s)
        if fleet is not None and fleet.share > 0.0:
            estimate = ShareEstimate(
                max(local, fleet.work), fleet.share, max(self._total, fleet.total)
            )
        if estimate.share <= 0.0 or local <= 0.0 or known is None:
            return min(1.0, local)
        if estimate.total - estimate.work <= ALONE_FRACTION * estimate.total:
            return 1.0
        return estimate.work / estimate.share * known.work_at(now_s, urgency) / local

    def claim(self, asked: Asked, now_s: float) -> Claim:
        """Return the claim of a call whose arrival has been counted."""
        known = self._workspaces.get(asked.workspace)
        kind = self._kinds.get((asked.kind, asked.urgency))
        return Claim(
            asked.kind,
            asked.urgency,
            kind is not None and asked.tokens > kind.large_above,
            self.over_share(asked.workspace, now_s, asked.urgency),
            0.0 if known is None else known.calls.arrived.at(now_s),
            0.0 if known is None else known.calls.served.at(now_s),
        )

    def demand(self, now_s: float) -> list[Demand]:
        """Return the recent calls of each kind, and of the largest of each."""
        found = []
        for (name, urgency), kind in self._kinds.items():
            for is_large, calls in ((False, kind.all), (True, kind.large)):
                arrived, served = calls.arrived.at(now_s), calls.served.at(now_s)
                found.append(Demand(name, urgency, is_large, arrived, served))
        return found

    def heaviest(self, limit: int, now_s: float) -> tuple[float, float, list[tuple[str, float]]]:
        """Return the fair share, the work of all, and the workspaces with the most work."""
        self._update_share(now_s)
        items = [(name, item.work_at(now_s)) for name, item in self._workspaces.items()]
        items.sort(key=lambda item: (-item[1], item[0]))
        return self._share, self._total, items[:limit]

    def count_over(self, limit: float, now_s: float) -> int:
        """Return the number of workspaces with more than this many shares."""
        return sum(self.over_share(name, now_s) > limit for name in self._workspaces)

    def _update_share(self, now_s: float) -> None:
        """Divide the work that was served among the workspaces by max-min fairness."""
        if now_s - self._share_at_s < SHARE_INTERVAL_S:
            return
        self._share_at_s = now_s
        work = [item.work_at(now_s) for item in self._workspaces.values()]
        served = sum(item.served_work.at(now_s) for item in self._workspaces.values())
        self._share, self._total = fair_share(work, served), sum(work)

    def _drop_idle_kinds(self, now_s: float) -> None:
        """Drop kinds without recent calls, such as those of routes that are gone."""
        kinds = self._kinds.items()
        for name in [name for name, kind in kinds if kind.all.arrived.at(now_s) < IDLE_CALLS]:
            del self._kinds[name]

    def _drop_smallest(self, now_s: float) -> None:
        """Drop the half of the workspaces with the least work."""
        ranked = sorted(self._workspaces, key=lambda name: self._workspaces[name].work_at(now_s))
        for name in ranked[: MAX_WORKSPACES // 2]:
            del self._workspaces[name]
