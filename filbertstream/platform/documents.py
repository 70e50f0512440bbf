"""Decodes objects of the platform's object store: configuration, registrations, named weights.

Each object is decoded separately, so that a malformed one doesn't affect the others.
"""

from typing import Annotated, Any, Final

import msgspec
from result import Err, Ok, Result

from filbertstream.epoch_number import EpochNumber
from filbertstream.names import digest_key
from filbertstream.platform.raw_json import UNREADABLE, Number, is_text
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
QUARANTINE_KIND: Final = "filbertstream-quarantine"
EVACUATIONS_KIND: Final = "evacuations"
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
    allowed_regions: list[str] | None = None


class _ModelName(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: int
    # Tokens shared by running requests and cached blocks; not the capacity of a cache store.
    kv_capacity: int
    token_bytes: float
    # Bounds concurrent cache event calls to a runner, not requests.
    max_inflight: int = 4
    models: list[_ModelName] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    max_conns: int = 0
    engine: _Engine | None = None
    # Only cache stores have this address and the fields below.
    store_addr: str | None = None
    zone: str = ""
    kv_capacity: int = 0
    max_inflight: int = 4
    managed: bool = False
    # How long a server is cold after its start, and the requests a second that it then tolerates.
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


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
    allowed_regions: list[str] | None = None


class _Config(msgspec.Struct):
    version: Number
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _LoadedModel(msgspec.Struct):
    name: str
    version: Number


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    # The version of the runner's software, not of its weights.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=2**31)]
    state: str
    # The remaining time for which the runner is slow after its start.
    cold_left_ms: float
    # Counts the heartbeats.
    seq: Number
    models: list[_LoadedModel] = []
    born: Number = 0


class _Named(msgspec.Struct):
    model: str
    version: Number


def decode_configuration(spec: msgspec.Raw) -> Result[Configuration, str]:
    """Return the configuration in an object's content, or the reason why it is malformed."""
    try:
        wire = msgspec.json.decode(spec, type=_Config)
        kinds = {kind.value: kind for kind in CallKind}
        routes = tuple(_route(route, kinds[route.type]) for route in wire.routes)
    except (*UNREADABLE, KeyError) as exc:
        return Err(str(exc))
    limits = CallerLimits() if wire.limits is None else _limits(wire.limits)
    workspaces = {}
    for tenant in wire.tenants or ():
        regions = frozenset(tenant.allowed_regions or ())
        workspace = Workspace(
            tenant.name, tenant.dedicated, tenant.priority, allowed_regions=regions
        )
        workspaces.update({digest_key(key): workspace for key in tenant.api_keys})
    services = {service.name: _service(service) for service in wire.services}
    needs_keys = wire.tenants is not None
    version = EpochNumber(0, wire.version)
    dedicated = frozenset(tenant.name for tenant in wire.tenants or () if tenant.dedicated)
    return Ok(
        Configuration(
            version, routes, services, workspaces, needs_keys, limits, dedicated=dedicated
        )
    )


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
        allowed_regions=frozenset(wire.allowed_regions or ()),
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
        store = _cache_store(wire, wire.store_addr)
    return Service(
        wire.name,
        wire.health_path,
        wire.max_conns,
        engine,
        store,
        max(0.0, wire.cold_start_s),
        max(0.0, wire.cold_per_s),
    )


def _cache_store(wire: _Service, address: str) -> CacheStore | None:
    """Return a service's cache store, None if its address can't be read: the others hold."""
    try:
        parse_address(address)
    except ValueError:
        return None
    return CacheStore(address, wire.zone, wire.kv_capacity, wire.max_inflight, wire.managed)


def decode_target(name: str, spec: msgspec.Raw) -> Result[TargetRegistration, str]:
    """Return a target's registration, or the reason why it is malformed."""
    try:
        wire = msgspec.json.decode(spec, type=_Server)
        address = parse_address(wire.address)
        texts = (wire.service, wire.zone, *(model.name for model in wire.models))
        if not all(map(is_text, texts)):
            return Err("text with lone surrogates")
    except (*UNREADABLE, ValueError) as exc:
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
            wire.seq,
        )
    )


def decode_named_weights(spec: msgspec.Raw) -> Result[tuple[str, int], str]:
    """Return a model and its named weight version, or the reason why they are malformed."""
    try:
        wire = msgspec.json.decode(spec, type=_Named)
    except UNREADABLE as exc:
        return Err(str(exc))
    if not is_text(wire.model):
        return Err("text with lone surrogates")
    return Ok((wire.model, wire.version))


def decode_internal(spec: msgspec.Raw, kind: Any) -> Any:
    """Decode an object of a kind that filbertstream itself writes; may raise ``DecodeError``."""
    try:
        return msgspec.json.decode(spec, type=kind)
    except (RecursionError, UnicodeError) as exc:
        raise msgspec.DecodeError(str(exc)) from exc
