"""Enforces the concurrency and rate limits of workspaces, which hold over all entries together.

Each entry enforces its share of a workspace's limits.  Load pattern handled: one workspace sends
far more than was agreed.  Its excess calls are refused at once, and other workspaces are not
affected.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from filbertstream.version.routes import WorkspaceLimits

RATE_BURST_S: Final = 1.0
"""Burst size of the token bucket, as the time in which that many tokens are refilled."""

CONCURRENCY_RETRY_S: Final = 0.5
"""About the time after which one of many running calls has ended."""


class LimitExceeded(NamedTuple):
    """The limit for which a call is refused, and the time after which the caller should retry."""

    code: str
    retry_after_s: float


class _Usage:
    """The running calls and the token bucket of one workspace on this entry."""

    def __init__(self, now_s: float) -> None:
        self.running = 0
        self.tokens: float | None = None
        self.refilled_at_s = now_s


class Admission:
    """Usage of all workspaces on this entry.

    ``share`` returns the fraction of the limits that this entry enforces.
    """

    def __init__(self, share: Callable[[], float]) -> None:
        self._share = share
        self._usage: dict[str, _Usage] = {}

    def begin(
        self, workspace: str, workspace_limits: WorkspaceLimits, now_s: float
    ) -> LimitExceeded | None:
        """Count a call as running, or return the limit that it would exceed."""
        usage = self._usage.setdefault(workspace, _Usage(now_s))
        share = self._share()
        if usage.running >= max(1.0, workspace_limits.concurrent * share):
            return LimitExceeded("concurrency", CONCURRENCY_RETRY_S)
        rate = workspace_limits.calls_per_s * share
        self._refill(usage, rate, now_s)
        tokens = usage.tokens or 0.0
        if tokens < 1.0:
            return LimitExceeded("rate", (1.0 - tokens) / rate)
        usage.tokens = tokens - 1.0
        usage.running += 1
        return None

    def _refill(self, usage: _Usage, rate: float, now_s: float) -> None:
        bucket_size = max(1.0, rate * RATE_BURST_S)
        if usage.tokens is None:
            usage.tokens = bucket_size
        elapsed_s = now_s - usage.refilled_at_s
        usage.tokens = min(bucket_size, usage.tokens + elapsed_s * rate)
        usage.refilled_at_s = now_s

    def end(self, workspace: str) -> None:
        """Count a running call as ended."""
        usage = self._usage[workspace]
        usage.running -= 1
        if usage.running < 0:
            raise AssertionError(f"more calls of workspace {workspace} ended than started")

    def running(self, workspace: str) -> int:
        """Return the number of calls of a workspace that run on this entry."""
        usage = self._usage.get(workspace)
        return 0 if usage is None else usage.running
