"""Decodes what lies in the platform's store: the configuration, registrations, named weights.

Each document is decoded by itself, so that one which can't be read hides no other.
"""

from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from filbertstream.names import digest_key
from filbertstream.platform.settings_file import parse_address
from filbertstream.process.target_registration import TargetRegistration
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
)

MS: Final = 1000.0

CONFIG_KIND: Final = "config"
CONFIG_NAME: Final = "main"
TARGETS_KIND: Final = "servers"
WEIGHTS_KIND: Final = "versions"
LEASES_KIND: Final = "filbertstream-duties"
ENTRIES_KIND: Final = "filbertstream-entries"
KEYS_KIND: Final = "filbertstream-keys"
DOCUMENTS_KIND: Final = "filbertstream-documents"
DOCUMENTS_NAME: Final = "all"


class _Backend(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    latency_target_ms: float
    attempts: int
    priority: int = 0
    service: str | None = None
    backends: list[_Backend] = []
    anonymous: bool = False
    resumable: bool = False
    gap_target_ms: float | None = None


class _ModelName(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: int
    # Tokens that running requests and cached parts share, not a store's capacity.
    kv_capacity: int
    token_bytes: float
    # Cache event calls that a runner holds open at once, not requests.
    max_inflight: int = 4
    models: list[_ModelName] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    max_conns: int = 0
    engine: _Engine | None = None
    # Only stores of kept cache have an address of their own and the fields below.
    store_addr: str | None = None
    zone: str = ""
    kv_capacity: int = 0
    max_inflight: int = 4
    managed: bool = False


class _Limits(msgspec.Struct):
    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    dedicated: bool = False
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _LoadedModel(msgspec.Struct):
    name: str
    version: int


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    # How much longer the runner stays slow after its start.
    cold_left_ms: float = 0
    # Counts refreshes of the entry; in a runner's report the same name counts orders.
    models: list[_LoadedModel] = []
    born: int = 0


class _Named(msgspec.Struct):
    model: str
    version: int


def decode_configuration(spec: msgspec.Raw) -> Result[Configuration, str]:
    """Return the configuration in an object's content, or why it can't be used."""
    try:
        wire = msgspec.json.decode(spec, type=_Config)
        kinds = {kind.value: kind for kind in CallKind}
        routes = tuple(_route(route, kinds[route.type]) for route in wire.routes)
    except (msgspec.DecodeError, KeyError) as exc:
        return Err(str(exc))
    limits = CallerLimits() if wire.limits is None else _limits(wire.limits)
    workspaces = {}
    for tenant in wire.tenants or ():
        workspace = Workspace(tenant.name, tenant.dedicated, tenant.priority)
        workspaces.update({digest_key(key): workspace for key in tenant.api_keys})
    services = {service.name: _service(service) for service in wire.services}
    needs_keys = wire.tenants is not None
    return Ok(Configuration(wire.version, routes, services, workspaces, needs_keys, limits))


def _route(wire: _Route, kind: CallKind) -> Route:
    backends = tuple(Backend(item.service, item.weight) for item in wire.backends)
    if wire.service is not None:
        backends = (Backend(wire.service, 1.0),)
    if not backends:
        raise KeyError(f"route {wire.name} names no service")
    return Route(
        wire.name,
        wire.host,
        wire.path_prefix,
        kind,
        backends,
        wire.timeout_ms / MS,
        wire.latency_target_ms / MS,
        wire.attempts,
        wire.priority,
        wire.anonymous,
        wire.resumable,
        None if wire.gap_target_ms is None else wire.gap_target_ms / MS,
    )


def _limits(wire: _Limits) -> CallerLimits:
    return CallerLimits(
        wire.header_bytes,
        wire.body_bytes,
        wire.header_timeout_ms / MS,
        wire.idle_timeout_ms / MS,
    )


def _service(wire: _Service) -> Service:
    engine = store = None
    if wire.engine is not None:
        models = tuple(model.name for model in wire.engine.models)
        engine = Engine(
            wire.engine.slots,
            wire.engine.kv_capacity,
            int(wire.engine.token_bytes),
            wire.engine.max_inflight,
            models,
        )
    if wire.store_addr is not None:
        store = CacheStore(
            wire.store_addr, wire.zone, wire.kv_capacity, wire.max_inflight, wire.managed
        )
    return Service(wire.name, wire.health_path, wire.max_conns, engine, store)


def decode_target(name: str, spec: msgspec.Raw) -> Result[TargetRegistration, str]:
    """Return a registration, or why it names no target."""
    try:
        wire = msgspec.json.decode(spec, type=_Server)
        address = parse_address(wire.address)
    except (msgspec.DecodeError, ValueError) as exc:
        return Err(str(exc))
    if wire.state not in ("ready", "draining"):
        return Err(f"unknown state {wire.state[:20]!r}")
    return Ok(
        TargetRegistration(
            name,
            wire.service,
            address,
            wire.zone,
            wire.slots,
            wire.state == "draining",
            wire.cold_left_ms / MS,
            {model.name: model.version for model in wire.models},
            wire.born,
        )
    )


def decode_named_weights(spec: msgspec.Raw) -> Result[tuple[str, int], str]:
    """Return a model and the weight version that is named for it."""
    try:
        wire = msgspec.json.decode(spec, type=_Named)
    except msgspec.DecodeError as exc:
        return Err(str(exc))
    return Ok((wire.model, wire.version))


def decode_internal(spec: msgspec.Raw, kind: Any) -> Any:
    """Return an object of a kind of this system's own; raises ``msgspec.DecodeError``."""
    return msgspec.json.decode(spec, type=kind)
