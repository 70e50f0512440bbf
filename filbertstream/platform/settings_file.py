"""Reads the settings file that the platform writes for each process.

Unknown keys are ignored, since the platform adds keys over time; a missing or malformed key results
in a ``Mistake`` with its line.
"""

import re
from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated, Any, Final, TypeAlias

import msgspec
import yaml
from result import Err, Ok, Result

from filbertstream.checks import Mistake
from filbertstream.process.deployment import Address, Bounds, Deployment

BOOT_VARIABLE: Final = "FILBERTSTREAM_BOOT"
MS: Final = 1000.0
ADDRESS_FORMAT: Final = "an address like 10.0.0.1:8000"
MISSING_FIELD: Final = re.compile(r"missing required field `([^`]+)`")


Positive: TypeAlias = Annotated[float, msgspec.Meta(gt=0)]


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Limits(msgspec.Struct):
    memory_mb: Positive
    max_fds: Annotated[int, msgspec.Meta(gt=0)]
    # A fraction of one core, which is ``cores`` times as fast as a reference core.
    cpu_share: float = 0.0
    cores: float = 1.0
    link_mbps: float = 0.0


class _Bounds(msgspec.Struct):
    drain_ms: float
    reuse_after_s: float
    grace_s: float
    budget_ratio: float
    budget_window_s: float
    retry_slack: float
    config_apply_ms: float = 2000
    revoke_ms: float = 5000
    # Whether a process refuses calls with a key unless its configuration is confirmed.
    strict_revoke: bool = True
    lease_ttl_ms: float = 3000
    version_ms: float = 8000
    contact_ms: float = 3000
    # Calls to the object store are metered: without this key, evacuations are not watched.
    evac_ms: Positive | None = None
    # Requests to a cold server in any second, as a multiple of its ``cold_per_s``, and beyond that.
    cold_over: Annotated[float, msgspec.Meta(ge=0)] | None = None
    cold_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Platform(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    limits: _Limits
    bounds: _Bounds
    platform: _Platform
    # The first and last port of the range that is free on the VM.
    port_range: list[int] = []
    # The region of this VM, and that of each data center.
    region: str = ""
    zones: dict[str, str] = {}
    fair_shares: bool | None = None


MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5


def parse_address(text: str) -> Address:
    """Parse ``host:port``; raise ``ValueError`` if it is malformed.

    The host must be an IPv4 address: the lookup of a name would wait for another system, and raises
    ``UnicodeError`` for names that are none.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(ADDRESS_FORMAT)
    return Address(str(IPv4Address(host)), int(port))


def read_settings_file(path: Path) -> Result[Deployment, list[Mistake]]:
    """Return the deployment that a settings file describes, or the first error in it."""
    file = str(path)
    try:
        text = path.read_text()
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
        data: Any = yaml.load(text, Loader=yaml.CSafeLoader)
    except OSError as exc:
        return Err([Mistake(file, 0, "", f"a readable file ({exc.strerror})")])
    except (yaml.YAMLError, UnicodeDecodeError):
        return Err([Mistake(file, 0, "", "well-formed YAML")])
    try:
        settings = msgspec.convert(data, _Settings)
    except msgspec.ValidationError as exc:
        error = _config_error(str(exc))
    else:
        malformed_key = _malformed_address(settings)
        if malformed_key is None:
            return Ok(_deployment(settings))
        error = Mistake(file, 0, malformed_key, ADDRESS_FORMAT)
    return Err([error.with_location(file, node) if node is not None else error._replace(file=file)])


def _config_error(message: str) -> Mistake:
    """Convert an error message of msgspec into an error with the key and the expected value."""
    expected, _, path = message.partition(" - at `$")
    key = path.removesuffix("`").removeprefix(".")
    missing = MISSING_FIELD.search(expected)
    if missing is not None:
        key = f"{key}.{missing[1]}" if key else missing[1]
        return Mistake("", 0, key, "this key, which is required")
    return Mistake("", 0, key, expected.removeprefix("Expected ").replace("`", ""))


def _malformed_address(settings: _Settings) -> str | None:
    """Return the key of the first malformed address, or None."""
    addresses = {
        "listen.front": settings.listen.front,
        "listen.ready": settings.listen.ready,
        "platform.address": settings.platform.address,
    }
    for key, text in addresses.items():
        try:
            parse_address(text)
        except ValueError:
            return key
    return None


def _deployment(settings: _Settings) -> Deployment:
    bounds = settings.bounds
    ports = settings.port_range
    metrics = Address(settings.ip, ports[0]) if ports else None
    peers = Address(settings.ip, ports[0] + 1) if ports and ports[0] < ports[-1] else None
    return Deployment(
        name=settings.node_name,
        host=settings.ip,
        data_center=settings.zone,
        callers=parse_address(settings.listen.front),
        readiness=parse_address(settings.listen.ready),
        metrics=metrics,
        peers=peers,
        object_store=f"http://{parse_address(settings.platform.address)}",
        memory_mb=settings.limits.memory_mb,
        max_descriptors=settings.limits.max_fds,
        link_mbps=settings.limits.link_mbps,
        cores=settings.limits.cpu_share * settings.limits.cores,
        fair_shares=settings.fair_shares,
        bounds=Bounds(
            config_apply_s=bounds.config_apply_ms / MS,
            drain_s=bounds.drain_ms / MS,
            revoke_s=bounds.revoke_ms / MS,
            strict_revocation=bounds.strict_revoke,
            reuse_s=bounds.reuse_after_s,
            grace_s=bounds.grace_s,
            retry_ratio=bounds.budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_slack=bounds.retry_slack,
            lease_s=bounds.lease_ttl_ms / MS,
            version_s=bounds.version_ms / MS,
            contact_s=bounds.contact_ms / MS,
            evac_s=None if bounds.evac_ms is None else bounds.evac_ms / MS,
            cold_over=bounds.cold_over,
            cold_slack=bounds.cold_slack,
        ),
        regions=({settings.zone: settings.region} if settings.region else {}) | settings.zones,
    )
