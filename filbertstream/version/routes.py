"""Routes, services, workspaces and limits of one configuration version.

``platform.documents`` decodes and ``version.compiled`` compiles a ``Configuration``; the core keeps
the newest one.  Nothing in this module depends on the source of a configuration.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.names import digest_key

ALL_WEIGHTS_ZERO: Final = "every backend of a route has weight zero"


QUEUE_WAIT_FRACTION: Final = 0.5
"""The fraction of a deadline that a prompt may queue, since the response takes time as well."""


class CallKind(enum.Enum):
    """Whether calls may be retried: idempotent ones always, streams only if they are resumable."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Backend(NamedTuple):
    """A service that receives a fraction of a route's calls, in proportion to its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """How the calls of one host and path prefix are served.

    ``attempts`` bounds the targets that one call may run on.  ``objective_s`` is the latency
    objective (for streams, to the first event) and ``gap_objective_s`` the longest pause between
    events.  ``priority`` 0 is the most urgent.  ``anonymous`` calls need no key.  With
    ``needs_idempotency_key`` a call needs an idempotency key and runs at most once for that key,
    across all entries.  ``wait_s`` is how long a call may queue before it is rejected, if that is
    longer than the objective.  Without ``allowed_regions`` all regions are allowed.
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
    allowed_regions: frozenset[str] = frozenset()

    @property
    def queue_limit_s(self) -> float:
        """The longest time for which a prompt may queue at a runner."""
        return self.objective_s if self.wait_s is None else self.wait_s

    @property
    def retryable(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or (self.kind is CallKind.STREAM and self.resumable)

    def pick_backend(self, draw: float) -> str:
        """Return the service for a random number from [0, 1), in proportion to the weights."""
        total = sum(backend.weight for backend in self.backends)
        if total <= 0:
            return self.backends[0].service
        remaining = draw * total
        for backend in self.backends:
            remaining -= backend.weight
            if remaining < 0:
                return backend.service
        return self.backends[-1].service


class Engine(NamedTuple):
    """Properties that the runners of a service have in common.

    ``cache_tokens`` is the memory of a runner, shared by running requests and cached blocks.
    ``event_readers`` bounds the concurrent cache event calls to one runner.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    event_readers: int
    models: tuple[str, ...]


class CacheStore(NamedTuple):
    """A cache store; a ``managed`` one evicts nothing by itself."""

    address: str
    data_center: str
    capacity_tokens: int
    event_readers: int
    managed: bool


class Service(NamedTuple):
    """A named group of targets.

    For ``cold_start_s`` after its start a target tolerates only ``cold_per_s`` requests a second; 0
    means that the targets are never cold.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    store: CacheStore | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class WorkspaceLimits(NamedTuple):
    """The limits and objectives of a workspace, as set by the operators.

    ``services`` lists the services that it may call.  ``concurrent`` and ``calls_per_s`` apply to
    the sum over all entries.  A fraction ``within`` of its calls is to meet ``first_token_s``.
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
        """Return the route with the objectives of this workspace."""
        if route.kind is not CallKind.STREAM:
            return route._replace(timeout_s=self.deadline_s)
        return route._replace(
            timeout_s=self.deadline_s,
            objective_s=self.first_token_s,
            gap_objective_s=self.token_gap_s,
            wait_s=QUEUE_WAIT_FRACTION * self.deadline_s,
        )


class Workspace(NamedTuple):
    """An owner of keys; a ``dedicated`` one shares no cache, ``priority`` overrides a route's.

    Its calls reach only targets in its ``allowed_regions``, if it has any.
    """

    name: str
    dedicated: bool = False
    priority: int | None = None
    workspace_limits: WorkspaceLimits | None = None
    allowed_regions: frozenset[str] = frozenset()


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests and on idle connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One complete version of the configuration.

    ``version`` orders configurations.  Where it is a revision of the object store, a configuration
    of a later epoch may be an older one; then ``generation`` tells, which is written with it.
    ``workspaces`` maps key digests to workspaces.  ``drained`` names the targets and entries that
    the operators drain.  ``dedicated`` names all dedicated workspaces, those without keys too.
    """

    version: EpochNumber
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    needs_keys: bool
    limits: CallerLimits = CallerLimits()
    drained: frozenset[str] = frozenset()
    generation: EpochNumber = NO_REVISION
    dedicated: frozenset[str] = frozenset()

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that owns a key, or None."""
        return self.workspaces.get(digest_key(key))


class RouteTable:
    """Finds routes by host and longest path prefix.

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
        path_only = path.partition("?")[0]
        for route in self._by_host.get(name, ()):
            if path_only.startswith(route.path_prefix):
                return route
        return None
