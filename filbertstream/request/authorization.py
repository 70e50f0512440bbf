"""Whether a call is allowed: its route and its key, by a configuration that is recent enough.

A key is admitted only while the configuration was confirmed within the bound for removed keys.  An
unknown route or key is denied only by a current configuration; an older one may just not have it
yet, and the call is then refused as not run.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from filbertstream.request.call import CallHead
from filbertstream.statuses import (
    BAD_REQUEST,
    FORBIDDEN,
    NOT_FOUND,
    TOO_LARGE,
    UNAUTHORIZED,
    UNAVAILABLE,
)
from filbertstream.version.config_freshness import ConfigFreshness
from filbertstream.version.routes import CallKind, Configuration, Route, RouteTable, Workspace

DENIAL_MARGIN_S: Final = 0.1
"""Kept from the bound for a configuration to be in force: the caller's clock is not exact."""

STARTING_RETRY_S: Final = 0.5
"""About the time from an entry's start until it has its configuration."""

STALE_RETRY_MIN_S: Final = 1.0
STALE_RETRY_MAX_S: Final = 5.0
"""While no entry is known to be in touch with the store, callers wait as long as its outage has
lasted already, within these bounds: most clients come back only once."""

OTHER_ENTRY_RETRY_S: Final = 0.05
"""Another entry serves the call at once."""


class Admitted(NamedTuple):
    """The route and the workspace of a call that is allowed."""

    route: Route
    workspace: Workspace | None


class Refused(NamedTuple):
    """Why a call is not served."""

    status: int
    code: str
    retry_after_s: float | None = None


STOPPING: Final = Refused(UNAVAILABLE, "stopping", OTHER_ENTRY_RETRY_S)


class Authorizer:
    """Checks calls against the configuration in force.

    ``has_current_peer`` tells whether another entry takes the calls that this one can't admit.
    """

    def __init__(
        self,
        config_freshness: ConfigFreshness,
        config_apply_s: float,
        has_current_peer: Callable[[float], bool] = lambda now_s: False,
    ) -> None:
        self._currency = config_freshness
        self._has_current_peer = has_current_peer
        # A configuration older than this may lack a route or a key that the newest one has.
        self._denial_age_s = config_apply_s - DENIAL_MARGIN_S
        self._table = RouteTable(())
        self.config: Configuration | None = None
        self.refuse_streams_from_s = float("inf")
        self.refuse_from_s = float("inf")

    def set_bound(self, config_apply_s: float) -> None:
        """Go by another bound for configurations from now on."""
        self._denial_age_s = config_apply_s - DENIAL_MARGIN_S

    def apply(self, config: Configuration) -> bool:
        """Put a configuration in force, unless one at least as new is; whether it was."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self._table = RouteTable(config.routes)
        return True

    def check(self, head: CallHead, now_s: float) -> Admitted | Refused:
        """Return how a call is allowed, or why it is refused."""
        config = self.config
        if config is None:
            return self._starting(now_s)
        if now_s >= self.refuse_from_s:
            return STOPPING
        current = self._currency.age_s(now_s) < self._denial_age_s
        route = self._table.find(head.host, head.path)
        if route is None:
            return Refused(NOT_FOUND, "no_route") if current else self._stale(now_s)
        if route.kind is CallKind.STREAM and now_s >= self.refuse_streams_from_s:
            return STOPPING
        if not config.needs_keys or route.anonymous:
            return Admitted(route, None)
        found = self.workspace_of(head.key, now_s)
        return found if isinstance(found, Refused) else _by_terms(route, found, head)

    def workspace_of(self, key: str | None, now_s: float) -> Workspace | Refused:
        """Return the workspace that a key opens, or why it opens none."""
        config = self.config
        if config is None:
            return self._starting(now_s)
        if not self._currency.admits_keys(now_s):
            return self._stale(now_s)
        workspace = None if key is None else config.workspace_of(key)
        if workspace is not None:
            return workspace
        current = self._currency.age_s(now_s) < self._denial_age_s
        return Refused(UNAUTHORIZED, "unknown_key") if current else self._stale(now_s)

    def _starting(self, now_s: float) -> Refused:
        """Return the refusal of a call that came before any configuration was read."""
        elsewhere = self._has_current_peer(now_s)
        retry_after_s = OTHER_ENTRY_RETRY_S if elsewhere else STARTING_RETRY_S
        return Refused(UNAVAILABLE, "starting", retry_after_s)

    def _stale(self, now_s: float) -> Refused:
        """Return the refusal of a call that only a current configuration could admit or deny."""
        retry_after_s = OTHER_ENTRY_RETRY_S
        if not self._has_current_peer(now_s):
            outage_s = self._currency.age_s(now_s)
            retry_after_s = min(STALE_RETRY_MAX_S, max(STALE_RETRY_MIN_S, outage_s))
        return Refused(UNAVAILABLE, "stale", retry_after_s)


def _by_terms(route: Route, workspace: Workspace, head: CallHead) -> Admitted | Refused:
    """Check a call against what its workspace may use."""
    workspace_limits = workspace.workspace_limits
    if workspace_limits is not None:
        if any(backend.service not in workspace_limits.services for backend in route.backends):
            return Refused(FORBIDDEN, "not_permitted")
        if head.prompt is not None and head.prompt.tokens > workspace_limits.prompt_tokens:
            return Refused(TOO_LARGE, "too_large")
        route = workspace_limits.apply_to(route)
    if route.needs_idempotency_key and head.idempotency_key is None:
        return Refused(BAD_REQUEST, "key_required")
    return Admitted(route, workspace)
