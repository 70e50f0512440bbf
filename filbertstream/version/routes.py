"""Routes, services, workspaces and limits of one configuration version.

The platform adapter decodes an operator's document into a ``Configuration``; ``gateway`` keeps the
newest.  Nothing here knows where a configuration came from.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from filbertstream.names import digest_key

ALL_WEIGHTS_ZERO: Final = "every backend of a route has weight zero"


WAIT_SHARE: Final = 0.5
"""The share of a deadline that a prompt may wait in a queue; the answer itself takes time, too."""


class CallKind(enum.Enum):
    """What may be repeated: an idempotent call always, a stream only where it may be resumed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Backend(NamedTuple):
    """A service that gets a share of a route's calls."""

    service: str
    weight: float


class Route(NamedTuple):
    """How the calls of one host and path prefix are served; times in seconds.

    ``attempts`` bounds the targets that one call may run on.  ``objective_s`` is the latency
    objective (streams: to the first event), ``gap_objective_s`` the longest pause between events.
    ``priority`` 0 is the most urgent.  ``anonymous`` calls need no key.
    With ``needs_idempotency_key`` a call needs an idempotency key and runs once for it, whichever entry gets
    it.  ``wait_s`` is how long callers would rather wait than be turned away, where that is longer
    than the objective.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    backends: tuple[Backend, ...]
    timeout_s: float
    objective_s: float
    attempts: int
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False
    gap_objective_s: float | None = None
    needs_idempotency_key: bool = False
    wait_s: float | None = None

    @property
    def queue_limit_s(self) -> float:
        """The queue at a runner behind which a prompt would come too late."""
        return self.objective_s if self.wait_s is None else self.wait_s

    @property
    def retryable(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or (self.kind is CallKind.STREAM and self.resumable)

    def pick_backend(self, draw: float) -> str:
        """Return the service for a draw from [0, 1), by weight."""
        total = sum(backend.weight for backend in self.backends)
        if total <= 0:
            return self.backends[0].service
        left = draw * total
        for backend in self.backends:
            left -= backend.weight
            if left < 0:
                return backend.service
        return self.backends[-1].service


class Engine(NamedTuple):
    """What the runners of a service have in common.

    ``cache_tokens`` is the memory that running requests and cached parts share.  ``event_readers``
    bounds the cache event calls that one runner holds open at once.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    event_readers: int
    models: tuple[str, ...]


class CacheStore(NamedTuple):
    """A store of kept cache; a managed one drops nothing on its own."""

    address: str
    data_center: str
    capacity_tokens: int
    event_readers: int
    managed: bool


class Service(NamedTuple):
    """A named group of targets."""

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    store: CacheStore | None = None


class WorkspaceLimits(NamedTuple):
    """What a workspace may use and what it expects, where the operators state that.

    ``services`` names what it may call.  ``concurrent`` and ``calls_per_s`` hold over all entries
    together.  A share ``within`` of its calls is to meet ``first_token_s``.
    """

    services: frozenset[str]
    concurrent: int
    calls_per_s: float
    prompt_tokens: int
    first_token_s: float
    token_gap_s: float
    deadline_s: float
    within: float

    def apply_to(self, route: Route) -> Route:
        """Return the route with this workspace's own objectives."""
        if route.kind is not CallKind.STREAM:
            return route._replace(timeout_s=self.deadline_s)
        return route._replace(
            timeout_s=self.deadline_s,
            objective_s=self.first_token_s,
            gap_objective_s=self.token_gap_s,
            wait_s=WAIT_SHARE * self.deadline_s,
        )


class Workspace(NamedTuple):
    """A holder of keys; a ``dedicated`` one shares no cache, ``priority`` goes before a route's."""

    name: str
    dedicated: bool = False
    priority: int | None = None
    workspace_limits: WorkspaceLimits | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of the configuration, whole.

    ``workspaces`` maps key digests to workspaces.  ``drained`` names the targets and entries that
    the operators want to stop.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    needs_keys: bool
    limits: CallerLimits = CallerLimits()
    drained: frozenset[str] = frozenset()

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self.workspaces.get(digest_key(key))


class RouteTable:
    """Looks routes up by host and longest path prefix.

    >>> route = Route("r", "a.example", "/x/", CallKind.IDEMPOTENT, (Backend("s", 1),), 1, 1, 1)
    >>> table = RouteTable([route, route._replace(name="y", path_prefix="/x/y/")])
    >>> [table.find("A.example:80", path).name for path in ("/x/z", "/x/y/z?q=1")]
    ['r', 'y']
    >>> table.find("a.example", "/z/") is None
    True
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for group in self._by_host.values():
            group.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a call, or None."""
        name = host.partition(":")[0].lower()
        bare = path.partition("?")[0]
        for route in self._by_host.get(name, ()):
            if bare.startswith(route.path_prefix):
                return route
        return None
