"""The settings of one entry process: a YAML file that is validated completely at the start.

The settings are not for tuning single machines.  They contain the addresses of a process, its data
center, the address of the platform, and the key files to use.  Everything that decides how requests
are served is in the configuration documents (``version.documents``).  ``deployment_of`` converts
the settings for the core.
"""

import re
from ipaddress import IPv4Address, IPv6Address
from pathlib import Path
from typing import Annotated, Any, Final, Literal, NamedTuple, TypeAlias

import yaml
from pydantic import Field, StringConstraints, TypeAdapter, ValidationError
from result import Err, Ok, Result

from filbertstream.checks import Mistake, collect_errors
from filbertstream.process import deployment as deploy
from filbertstream.version.documents import Digest, Name

Address: TypeAlias = Annotated[IPv4Address | IPv6Address, Field(union_mode="left_to_right")]
Port: TypeAlias = Annotated[int, Field(gt=0, lt=65_536, strict=True)]
PeerAddress: TypeAlias = Annotated[str, StringConstraints(pattern=r"^tcp://[0-9.]+:[0-9]+$")]
Url: TypeAlias = Annotated[str, StringConstraints(pattern=r"^https?://[0-9.]+:[0-9]+$")]

PositiveFloat: TypeAlias = Annotated[float, Field(gt=0)]

OPERATOR_THREADS: Final = 6
BODY_LIMIT_BYTES: Final = 4_000_000

MEMORY_MB: Final = 512.0
MAX_DESCRIPTORS: Final = 4_096


class Tls(NamedTuple):
    """Certificate and key files in PEM; changed files are reloaded."""

    certificate_file: Path
    key_file: Path


class Listener(NamedTuple):
    """The listener for callers."""

    host: Address
    port: Port
    body_limit_bytes: Annotated[int, Field(gt=0, strict=True)] = BODY_LIMIT_BYTES
    tls: Tls | None = None


class Operators(NamedTuple):
    """The listener for operators; ``keys`` are digests from ``filbertstream digest``."""

    host: Address
    port: Port
    keys: Annotated[tuple[Digest, ...], Field(min_length=1)]
    tls: Tls | None = None


class Peers(NamedTuple):
    """The address for peers, which read it from the object store.

    ``key_file`` holds the fleet's CURVE secret key.  With it, links are encrypted, and messages are
    accepted only from holders of the same key.
    """

    address: PeerAddress
    key_file: Path | None = None


class Platform(NamedTuple):
    """The platform's object store."""

    objects: Url
    ca_file: Path | None = None


class Targets(NamedTuple):
    """TLS to targets: the certificate authority that must have signed their certificates."""

    ca_file: Path | None = None


class Bounds(NamedTuple):
    """Bounds in seconds that the entries keep; see ``process.deployment.Bounds``.

    Without ``strict_revocation``, keys are still admitted while the object store is unreachable,
    including those that are removed meanwhile.
    """

    config_apply_s: PositiveFloat = 2.0
    drain_s: PositiveFloat = 2.0
    revoke_s: PositiveFloat = 5.0
    strict_revocation: bool = True
    reuse_s: PositiveFloat = 2.0
    grace_s: PositiveFloat = 30.0
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.2
    retry_window_s: PositiveFloat = 10.0
    retry_slack: Annotated[float, Field(ge=0)] = 0.0
    retry_floor: Annotated[int, Field(ge=0, strict=True)] = 4
    lease_s: PositiveFloat = 3.0
    version_s: PositiveFloat = 8.0
    contact_s: PositiveFloat = 3.0


class Settings(NamedTuple):
    """All settings of an entry."""

    name: Name
    data_center: Name
    callers: Listener
    operators: Operators
    peers: Peers
    platform: Platform
    targets: Targets = Targets()
    bounds: Bounds = Bounds()
    log_level: Literal["debug", "info", "warning", "error"] = "info"


_ADAPTER: Final[TypeAdapter[Settings]] = TypeAdapter(Settings)


def read_settings(path: Path, files: bool = True) -> Result[Settings, list[Mistake]]:
    """Return the validated settings of a file, or all errors in it.

    With ``files``, the files that the settings name must exist, too.
    """
    file = str(path)
    try:
        text = path.read_text()
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        raw: Any = yaml.safe_load(text)
    except OSError as exc:
        return Err([Mistake(file, 0, "", f"a readable file ({exc.strerror})")])
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        mark = getattr(exc, "problem_mark", None)
        return Err([Mistake(file, mark.line + 1 if mark else 0, "", "well-formed YAML")])
    if node is None:
        return Err([Mistake(file, 1, "", "a mapping of settings")])
    try:
        settings = _ADAPTER.validate_python(raw)
    except ValidationError as exc:
        return Err(collect_errors(exc, file, node))
    missing = [item for item in _files(settings) if files and not item[1].is_file()]
    if missing:
        errors = [Mistake(file, 0, key, f"an existing file ({path})") for key, path in missing]
        return Err([error.with_location(file, node) for error in errors])
    return Ok(settings)


def deployment_of(settings: Settings) -> deploy.Deployment:
    """Return the deployment data of the settings, for the core and the I/O layer."""
    matched = re.fullmatch(r"tcp://([0-9.]+):([0-9]+)", settings.peers.address)
    if matched is None:
        raise AssertionError(
            f"peers.address {settings.peers.address!r} passed validation but is not tcp://IP:PORT"
        )
    return deploy.Deployment(
        settings.name,
        str(settings.callers.host),
        settings.data_center,
        deploy.Address(str(settings.callers.host), settings.callers.port),
        readiness=None,
        metrics=None,
        peers=deploy.Address(matched[1], int(matched[2])),
        object_store=settings.platform.objects,
        memory_mb=MEMORY_MB,
        max_descriptors=MAX_DESCRIPTORS,
        bounds=deploy.Bounds(**settings.bounds._asdict()),
    )


def _files(settings: Settings) -> list[tuple[str, Path]]:
    """Return the files that the settings name, each with its settings key."""
    named: list[tuple[str, Path | None]] = [
        ("peers.key_file", settings.peers.key_file),
        ("platform.ca_file", settings.platform.ca_file),
        ("targets.ca_file", settings.targets.ca_file),
    ]
    for key, tls in (
        ("callers.tls", settings.callers.tls),
        ("operators.tls", settings.operators.tls),
    ):
        if tls is not None:
            named.append((f"{key}.certificate_file", tls.certificate_file))
            named.append((f"{key}.key_file", tls.key_file))
    return [(key, path) for key, path in named if path is not None]
