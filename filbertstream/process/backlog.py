"""How much work waits at something that serves one after another: a runner's prefill, a link.

Work is counted in units (tokens, bytes) and served at a learned rate.  What is known for sure is
old: a base, the units that waited at some moment, from a report or an own request's wait.  What
this entry has added since then is on top, and what was served since is off.
"""

import math
from collections import deque
from typing import Final, NamedTuple

RATE_RISE: Final = 0.5
"""How much one higher observation moves the learned rate."""

RATE_FALL_S: Final = 300.0
"""The time over which lower observations bring the learned rate down.

An observed time includes waits for others, so every observation is at or below the true rate: a
higher one is believed, lower ones only once no higher one has come for a while.
"""

ADDITIONS_KEPT: Final = 4_096


class _Addition(NamedTuple):
    at_s: float
    units: float


class Backlog:
    """The units that wait, as far as this entry can tell."""

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._units = 0.0
        self._at_s = 0.0
        self._based_at_s = float("-inf")
        self._learned_at_s = 0.0
        self._additions: deque[_Addition] = deque(maxlen=ADDITIONS_KEPT)

    def wait_s(self, now_s: float) -> float:
        """Return how long a new arrival waits."""
        return self.units(now_s) / self.rate_per_s

    def units(self, now_s: float) -> float:
        """Return the units that wait now."""
        return max(0.0, self._units - (now_s - self._at_s) * self.rate_per_s)

    def add(self, now_s: float, units: float) -> None:
        """Add units that were just sent."""
        self._advance(now_s)
        self._units += units
        self._additions.append(_Addition(now_s, units))

    def rebase(self, at_s: float, units: float) -> None:
        """Start from the units that are known to have waited at ``at_s``, unless that is old."""
        if at_s <= self._based_at_s:
            return
        while self._additions and self._additions[0].at_s <= at_s:
            self._additions.popleft()
        self._based_at_s = at_s
        self._units = units
        self._at_s = at_s
        for addition in self._additions:
            self._advance(addition.at_s)
            self._units += addition.units

    def observe_wait(self, sent_at_s: float, wait_s: float) -> None:
        """Take in how long an arrival of ``sent_at_s`` waited: a report that doesn't lag."""
        if sent_at_s > self._based_at_s:
            # The arrival itself stays among the additions after the base.
            own = [item for item in self._additions if item.at_s == sent_at_s]
            self.rebase(sent_at_s, max(0.0, wait_s) * self.rate_per_s)
            self._units += sum(item.units for item in own)

    def learn_rate(self, now_s: float, units: float, seconds: float) -> None:
        """Learn the rate from units that were served within some time."""
        rate = units / seconds
        weight = RATE_RISE
        if rate < self.rate_per_s:
            weight = 1.0 - math.exp((self._learned_at_s - now_s) / RATE_FALL_S)
        self._learned_at_s = now_s
        self.rate_per_s += weight * (rate - self.rate_per_s)

    def _advance(self, to_s: float) -> None:
        self._units = self.units(to_s)
        self._at_s = max(self._at_s, to_s)
