"""Whether a workspace may begin another call: its limits over all entries together.

Each entry works within its share of a workspace's limits, which answers the load of one workspace
that sends far more than was agreed: it is turned away at once, and others don't notice.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from filbertstream.version.routes import WorkspaceLimits

RATE_BURST_S: Final = 1.0
"""The rate limit is enforced over this much time."""

CONCURRENCY_RETRY_S: Final = 0.5
"""About the time in which one of many running calls ends."""


class Shortage(NamedTuple):
    """Why a call can't begin now, and when it might."""

    code: str
    retry_after_s: float


class _Use:
    """What one workspace uses of this entry's share."""

    def __init__(self, now_s: float) -> None:
        self.running = 0
        self.tokens: float | None = None
        self.refilled_at_s = now_s


class Admission:
    """Uses of all workspaces on this entry; ``share`` returns this entry's part of the limits."""

    def __init__(self, share: Callable[[], float]) -> None:
        self._share = share
        self._uses: dict[str, _Use] = {}

    def begin(
        self, workspace: str, workspace_limits: WorkspaceLimits, now_s: float
    ) -> Shortage | None:
        """Count a call in, or tell why not."""
        use = self._uses.setdefault(workspace, _Use(now_s))
        share = self._share()
        if use.running >= max(1.0, workspace_limits.concurrent * share):
            return Shortage("concurrency", CONCURRENCY_RETRY_S)
        rate = workspace_limits.calls_per_s * share
        self._refill(use, rate, now_s)
        tokens = use.tokens or 0.0
        if tokens < 1.0:
            return Shortage("rate", (1.0 - tokens) / rate)
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
        """Count a call out."""
        use = self._uses[workspace]
        use.running -= 1
        if use.running < 0:
            raise AssertionError(f"more calls of {workspace} ended than began")

    def running(self, workspace: str) -> int:
        """Return how many calls of a workspace run on this entry."""
        use = self._uses.get(workspace)
        return 0 if use is None else use.running
