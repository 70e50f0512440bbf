"""Compiles the operators' documents into the configuration that entries serve.

Each model and each method of each service becomes a route.  The documents have no hosts or paths,
so the host of a route is generated here and the callers' API looks it up by that host.  Cache is
never shared between workspaces: every workspace is dedicated.
"""

from collections.abc import Iterable
from typing import Final

from filbertstream.epoch_number import NO_REVISION, EpochNumber
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

MAX_ATTEMPTS: Final = 3
"""Two failures in a row are rare; a third one indicates an outage."""

SERVICE_OBJECTIVE_S: Final = 1.0
"""A call to a plain service waits this long for a response before it is sent to another target."""

ROUTE_TIMEOUT_S: Final = 600.0
"""The timeout of a route; the deadline of a workspace, which is shorter, overrides it."""

MAX_CONNECTIONS: Final = 300
"""Bounds the connections to one target."""

MAX_PRIORITY: Final = 9
"""The most urgent priority in documents; in routes, 0 is the most urgent."""


def model_host(model: str) -> str:
    """Return the host of a model's route."""
    return f"{model}.models"


def service_host(service: str, method: str) -> str:
    """Return the host of the route for a method of a service."""
    return f"{method.lower()}.{service}.services"


def compile_documents(
    doc_set: DocumentSet,
    revision: EpochNumber,
    limits: CallerLimits,
    generation: EpochNumber = NO_REVISION,
) -> Configuration:
    """Return the configuration that documents describe; ``revision`` becomes its version."""
    routes: list[Route] = []
    services: dict[str, Service] = {}
    drained: set[str] = set()
    for document in doc_set.documents.values():
        if isinstance(document, docs.Model):
            routes.append(_model_route(document))
            services[document.name] = _model_service(document)
        elif isinstance(document, docs.Service):
            routes += _service_routes(document)
            services[document.name] = Service(document.name, "", MAX_CONNECTIONS)
        elif isinstance(document, docs.Store):
            services[document.name] = _store_service(document)
        elif isinstance(document, docs.Drain):
            drained.add(document.name)
    workspaces = {
        digest: _workspace(doc_set.grants[name])
        for digest, name in doc_set.keys.items()
        if name in doc_set.grants
    }
    return Configuration(
        revision,
        tuple(routes),
        services,
        workspaces,
        True,
        limits,
        frozenset(drained),
        generation,
        frozenset(doc_set.grants),
    )


def document_set(documents: Iterable[docs.Document]) -> DocumentSet:
    """Return a ``DocumentSet`` that holds documents."""
    doc_set = DocumentSet()
    for document in documents:
        doc_set.put(document)
    return doc_set


def _model_route(model: docs.Model) -> Route:
    return Route(
        model.name,
        model_host(model.name),
        "/",
        CallKind.STREAM,
        (Backend(model.name, 1.0),),
        ROUTE_TIMEOUT_S,
        docs.Objectives().first_token_s,
        MAX_ATTEMPTS,
        resumable=True,
        gap_objective_s=docs.Objectives().token_gap_s,
    )


def _model_service(model: docs.Model) -> Service:
    engine = Engine(
        model.slots, model.cache_tokens, model.token_bytes, model.event_readers, (model.name,)
    )
    return Service(model.name, "", MAX_CONNECTIONS, engine)


def _service_routes(service: docs.Service) -> list[Route]:
    routes = []
    for method in METHODS:
        at_most_once = method in service.not_repeatable
        routes.append(
            Route(
                f"{service.name} {method}",
                service_host(service.name, method),
                "/",
                CallKind.NON_IDEMPOTENT if at_most_once else CallKind.IDEMPOTENT,
                (Backend(service.name, 1.0),),
                ROUTE_TIMEOUT_S,
                SERVICE_OBJECTIVE_S,
                1 if at_most_once else MAX_ATTEMPTS,
                needs_idempotency_key=at_most_once,
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
    return Service(store.name, "", MAX_CONNECTIONS, store=cache)


def _workspace(grant: Grant) -> Workspace:
    limits = WorkspaceLimits(
        grant.models | grant.services,
        grant.limits.concurrent,
        grant.limits.requests_per_s,
        grant.limits.prompt_tokens,
        grant.objectives.first_token_s,
        grant.objectives.token_gap_s,
        grant.objectives.deadline_s,
        grant.objectives.within,
    )
    return Workspace(grant.workspace, True, MAX_PRIORITY - grant.priority, limits)
