"""Makes the configuration that entries serve by of the operators' documents.

Each model and each method of each service becomes a route.  A caller's edge finds it by a host
made here, since the documents know neither hosts nor paths.  Cache is never shared between
workspaces: every one is dedicated.
"""

from collections.abc import Iterable
from typing import Final

from filbertstream.version import documents as docs
from filbertstream.version.resolve import DocumentSet, Grant
from filbertstream.version.routes import (
    Backend,
    CacheStore,
    CallerLimits,
    CallKind,
    Configuration,
    Engine,
    Route,
    Service,
    Workspace,
    WorkspaceLimits,
)

METHODS: Final = ("GET", "POST", "PUT", "PATCH", "DELETE")

ATTEMPTS: Final = 3
"""Runs of one call at most; a second failure in a row is rare, a third a sign of an outage."""

SERVICE_OBJECTIVE_S: Final = 1.0
"""Until this long without an answer, a plain call is not sent elsewhere."""

LONGEST_S: Final = 600.0
"""A route's own limit; the deadline of each workspace is shorter."""

CONNECTIONS: Final = 300
"""Connections to one target at most."""

MOST_URGENT: Final = 9
"""Documents count priorities up to this; a route's 0 is the most urgent."""


def model_host(model: str) -> str:
    """Return the host under which a model's route is found."""
    return f"{model}.models"


def service_host(service: str, method: str) -> str:
    """Return the host under which the route of a service's method is found."""
    return f"{method.lower()}.{service}.services"


def compile_documents(view: DocumentSet, revision: int, limits: CallerLimits) -> Configuration:
    """Return the configuration of a view; ``revision`` becomes its version."""
    routes: list[Route] = []
    services: dict[str, Service] = {}
    drained: set[str] = set()
    for document in view.documents.values():
        if isinstance(document, docs.Model):
            routes.append(_model_route(document))
            services[document.name] = _model_service(document)
        elif isinstance(document, docs.Service):
            routes += _service_routes(document)
            services[document.name] = Service(document.name, "", CONNECTIONS)
        elif isinstance(document, docs.Store):
            services[document.name] = _store_service(document)
        elif isinstance(document, docs.Drain):
            drained.add(document.name)
    workspaces = {
        digest: _workspace(view.grants[name])
        for digest, name in view.keys.items()
        if name in view.grants
    }
    return Configuration(
        revision, tuple(routes), services, workspaces, True, limits, frozenset(drained)
    )


def document_set(documents: Iterable[docs.Document]) -> DocumentSet:
    """Return a view of documents."""
    view = DocumentSet()
    for document in documents:
        view.put(document)
    return view


def _model_route(model: docs.Model) -> Route:
    return Route(
        model.name,
        model_host(model.name),
        "/",
        CallKind.STREAM,
        (Backend(model.name, 1.0),),
        LONGEST_S,
        docs.Objectives().first_token_s,
        ATTEMPTS,
        resumable=True,
        gap_objective_s=docs.Objectives().token_gap_s,
    )


def _model_service(model: docs.Model) -> Service:
    engine = Engine(
        model.slots, model.cache_tokens, model.token_bytes, model.event_readers, (model.name,)
    )
    return Service(model.name, "", CONNECTIONS, engine)


def _service_routes(service: docs.Service) -> list[Route]:
    routes = []
    for method in METHODS:
        once = method in service.not_repeatable
        routes.append(
            Route(
                f"{service.name} {method}",
                service_host(service.name, method),
                "/",
                CallKind.NON_IDEMPOTENT if once else CallKind.IDEMPOTENT,
                (Backend(service.name, 1.0),),
                LONGEST_S,
                SERVICE_OBJECTIVE_S,
                1 if once else ATTEMPTS,
                needs_idempotency_key=once,
            )
        )
    return routes


def _store_service(store: docs.Store) -> Service:
    cache = CacheStore(
        store.address,
        store.data_center,
        store.capacity_tokens,
        store.event_readers,
        store.managed,
    )
    return Service(store.name, "", CONNECTIONS, store=cache)


def _workspace(grant: Grant) -> Workspace:
    workspace_limits = WorkspaceLimits(
        grant.models | grant.services,
        grant.limits.concurrent,
        grant.limits.requests_per_s,
        grant.limits.prompt_tokens,
        grant.objectives.first_token_s,
        grant.objectives.token_gap_s,
        grant.objectives.deadline_s,
        grant.objectives.within,
    )
    return Workspace(grant.workspace, True, MOST_URGENT - grant.priority, workspace_limits)
