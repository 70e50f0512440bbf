"""Whether a request may begin: the workspace's limits and the deadline it could still meet.

Each entry works within its share of a workspace's limits.  Refusals tell when to come back, from
the backlog, spread so that callers which were refused together don't return together.
"""

import random
from typing import Final, NamedTuple

from filbertstream.version.resolve import Grant

RATE_BURST_S: Final = 1.0
"""The rate limit is enforced over this much time."""

RETRY_AFTER_MIN_S: Final = 0.5
RETRY_AFTER_MAX_S: Final = 30.0


class Shortage(NamedTuple):
    """Why a request can't begin now, and when it might."""

    code: str
    retry_after_s: float


class _Use:
    """What one workspace uses of this entry's share."""

    def __init__(self, now_s: float) -> None:
        self.running = 0
        self.tokens: float | None = None
        self.refilled_at_s = now_s


class Admission:
    """Uses of all workspaces on this entry."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._uses: dict[str, _Use] = {}

    def begin(self, grant: Grant, share: float, now_s: float) -> Shortage | None:
        """Count a request in, or tell why not; ``share`` is this entry's part of the limits."""
        use = self._uses.setdefault(grant.workspace, _Use(now_s))
        limits = grant.limits
        if use.running >= max(1.0, limits.concurrent * share):
            return Shortage("concurrency", self.spread(RETRY_AFTER_MIN_S))
        rate = limits.requests_per_s * share
        self._refill(use, rate, now_s)
        tokens = use.tokens or 0.0
        if tokens < 1.0:
            return Shortage("rate", self.spread((1.0 - tokens) / rate))
        use.tokens = tokens - 1.0
        use.running += 1
        return None

    def _refill(self, use: _Use, rate: float, now_s: float) -> None:
        ceiling = max(1.0, rate * RATE_BURST_S)
        if use.tokens is None:
            use.tokens = ceiling
        elapsed_s = now_s - use.refilled_at_s
        use.tokens = min(ceiling, use.tokens + elapsed_s * rate)
        use.refilled_at_s = now_s

    def end(self, workspace: str) -> None:
        """Count a request out."""
        use = self._uses[workspace]
        use.running -= 1
        if use.running < 0:
            raise AssertionError(f"more requests of {workspace} ended than began")

    def running(self, workspace: str) -> int:
        """Return how many requests of a workspace run on this entry."""
        use = self._uses.get(workspace)
        return 0 if use is None else use.running

    def spread(self, wait_s: float) -> float:
        """Return a time to come back: at least ``wait_s``, up to twice that, within bounds."""
        bounded_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
        return round(bounded_s * (1.0 + self._rng.random()), 3)
