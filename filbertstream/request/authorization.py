"""Authorizes calls: matches the route and checks the API key against the configuration in force.

A key is accepted only if the configuration has been confirmed within the bound for removed keys.
An unknown route or key is denied with 404 or 401 only if the configuration is current.  A stale
configuration may lack a route or a key that has been added since, so the call is refused with 503
as not run, and the caller may retry it.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from filbertstream.process.stopping import Stopping
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
from filbertstream.version.routes import Configuration, Route, RouteTable, Workspace

DENIAL_MARGIN_S: Final = 0.1
"""Safety margin below the bound on applying a configuration, since a caller's clock is not
exact."""

STARTING_RETRY_S: Final = 0.5
"""About the time that an entry needs from its start to read its configuration."""

STALE_RETRY_MIN_S: Final = 1.0
STALE_RETRY_MAX_S: Final = 5.0
"""While no entry is known to have a current configuration, callers wait for as long as the outage
of the object store has lasted so far, within these bounds, because most clients retry only once."""

PEER_RETRY_S: Final = 0.05
"""The retry time if a peer can serve the call at once."""


class Authorized(NamedTuple):
    """The route and the workspace of a call that is authorized."""

    route: Route
    workspace: Workspace | None


class Refused(NamedTuple):
    """The status and the error code with which a call is refused."""

    status: int
    code: str
    retry_after_s: float | None = None


STOPPING: Final = Refused(UNAVAILABLE, "stopping", PEER_RETRY_S)


class Authorizer:
    """Authorizes calls against the configuration in force.

    ``has_current_peer`` returns whether some peer has a current configuration and can thus serve
    the calls that this entry can't authorize.
    """

    def __init__(
        self,
        config_freshness: ConfigFreshness,
        config_apply_s: float,
        has_current_peer: Callable[[float], bool] = lambda now_s: False,
        stopping: Stopping | None = None,
    ) -> None:
        self._config_freshness = config_freshness
        self._has_current_peer = has_current_peer
        # An older configuration may lack a route or a key of the newest one.
        self._denial_age_s = config_apply_s - DENIAL_MARGIN_S
        self._table = RouteTable(())
        self.config: Configuration | None = None
        self._stopping = stopping or Stopping()

    def set_bound(self, config_apply_s: float) -> None:
        """Change the bound on the time until a new configuration is in force."""
        self._denial_age_s = config_apply_s - DENIAL_MARGIN_S

    def apply(self, config: Configuration) -> bool:
        """Put a configuration in force unless it is no newer; return whether it is in force now."""
        if self.config is not None and (
            config.version <= self.config.version or self.is_older(config)
        ):
            return False
        self.replace(config)
        return True

    def is_older(self, config: Configuration) -> bool:
        """Whether a configuration is older than that in force.

        A revision of a later epoch may be that of an older copy; the generations tell.
        """
        if self.config is None:
            return False
        if config.version.comparable(self.config.version):
            return config.version < self.config.version
        return config.generation < self.config.generation

    def replace(self, config: Configuration) -> None:
        """Put a configuration in force, also an older one."""
        self.config = config
        self._table = RouteTable(config.routes)

    def check(self, head: CallHead, now_s: float) -> Authorized | Refused:
        """Return the route and the workspace of a call, or the reason for refusing it."""
        if not self._stopping.admits(0.0, now_s):
            return STOPPING
        found = self._authorize(head, now_s)
        if isinstance(found, Refused):
            return found
        limit_s = call_limit_s(found.route, head)
        return found if self._stopping.admits(limit_s, now_s) else STOPPING

    def _authorize(self, head: CallHead, now_s: float) -> Authorized | Refused:
        config = self.config
        if config is None:
            return self._starting(now_s)
        current = self._config_freshness.age_s(now_s) < self._denial_age_s
        route = self._table.find(head.host, head.path)
        if route is None:
            return Refused(NOT_FOUND, "no_route") if current else self._stale(now_s)
        if not config.needs_keys or route.anonymous:
            return Authorized(route, None)
        found = self.workspace_of(head.key, now_s)
        return found if isinstance(found, Refused) else _check_limits(route, found, head)

    def workspace_of(self, key: str | None, now_s: float) -> Workspace | Refused:
        """Return the workspace that holds a key, or the reason for refusing the key."""
        config = self.config
        if config is None:
            return self._starting(now_s)
        if not self._config_freshness.admits_keys(now_s):
            return self._stale(now_s)
        workspace = None if key is None else config.workspace_of(key)
        if workspace is not None:
            return workspace
        current = self._config_freshness.age_s(now_s) < self._denial_age_s
        return Refused(UNAUTHORIZED, "unknown_key") if current else self._stale(now_s)

    def _starting(self, now_s: float) -> Refused:
        """Return the refusal of a call that arrives before a configuration has been read."""
        peer_serves = self._has_current_peer(now_s)
        retry_after_s = PEER_RETRY_S if peer_serves else STARTING_RETRY_S
        return Refused(UNAVAILABLE, "starting", retry_after_s)

    def _stale(self, now_s: float) -> Refused:
        """Return the refusal of a call that needs a current configuration for its decision."""
        retry_after_s = PEER_RETRY_S
        if not self._has_current_peer(now_s):
            outage_s = self._config_freshness.age_s(now_s)
            retry_after_s = min(STALE_RETRY_MAX_S, max(STALE_RETRY_MIN_S, outage_s))
        return Refused(UNAVAILABLE, "stale", retry_after_s)


def call_limit_s(route: Route, head: CallHead) -> float:
    """Return the time after which a call has its final response."""
    return route.timeout_s if head.deadline_s is None else min(route.timeout_s, head.deadline_s)


def _check_limits(route: Route, workspace: Workspace, head: CallHead) -> Authorized | Refused:
    """Check a call against the permissions and limits of its workspace."""
    workspace_limits = workspace.workspace_limits
    if workspace_limits is not None:
        if any(backend.service not in workspace_limits.services for backend in route.backends):
            return Refused(FORBIDDEN, "not_permitted")
        if head.prompt is not None and head.prompt.tokens > workspace_limits.prompt_tokens:
            return Refused(TOO_LARGE, "too_large")
        route = workspace_limits.apply_to(route)
    if route.needs_idempotency_key and head.idempotency_key is None:
        return Refused(BAD_REQUEST, "key_required")
    return Authorized(route, workspace)
