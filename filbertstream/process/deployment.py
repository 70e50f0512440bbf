"""Where a process runs and the bounds that it must keep, as given at its start.

The platform adapter reads a ``Deployment`` from the settings that the platform writes.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class Bounds(NamedTuple):
    """Bounds that the operators of a deployment set.

    ``config_apply_s``: time within which a configuration must be in force.  ``drain_s``: time after
    which a target that is known to leave gets no call.  ``revoke_s``: time after which a removed
    key is refused.  ``reuse_s``: time after which a target's address may belong to another.
    ``grace_s``: time from SIGTERM to SIGKILL.  ``lease_s``: gap between two leaders of the roll-out
    lease.  ``version_s``: time after which no call may begin on older weights.  ``retry_floor``:
    retries to a service that one entry may send in a window without any calls of its own.
    ``evac_s``: time after which the targets of an evacuated data center get nothing, or None where
    evacuations are not watched.
    ``cold_over`` and ``cold_slack``: a cold target may get ``cold_per_s * cold_over + cold_slack``
    requests in any second (``fleet.cold_targets``); without ``cold_over`` no target is cold.
    """

    config_apply_s: float
    drain_s: float
    revoke_s: float
    strict_revocation: bool
    reuse_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    lease_s: float
    version_s: float
    contact_s: float
    retry_floor: int = 1
    evac_s: float | None = None
    cold_over: float | None = None
    cold_slack: float = 0.0


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"


class Deployment(NamedTuple):
    """Where this process runs; ``object_store`` is a URL.

    ``link_mbps`` and ``cores`` are the resources of the VM, 0 if unknown.  ``regions`` has the
    region of each known data center.  With ``fair_shares`` scarce capacity is shared fairly among
    workspaces (``request.capacity_shares``); None does so where runners report their slowness.
    """

    name: str
    host: str
    data_center: str
    callers: Address
    readiness: Address | None
    metrics: Address | None
    peers: Address | None
    object_store: str
    memory_mb: float
    max_descriptors: int
    bounds: Bounds
    link_mbps: float = 0.0
    cores: float = 0.0
    regions: Mapping[str, str] = MappingProxyType({})
    fair_shares: bool | None = None
