"""What a process is told at its start about where it runs and which bounds it must keep.

The platform adapter reads a ``Deployment`` from the settings that the platform writes; times are in
seconds.
"""

from typing import NamedTuple


class Bounds(NamedTuple):
    """Bounds that the operators of a deployment set.

    ``config_apply_s``: within it, a configuration must be in force.
    ``drain_s``: after it, a target that is known to leave gets no call.  ``revoke_s``: after it, a
    removed key opens nothing.  ``reuse_s``: after it, a target's address may belong to another.
    ``grace_s``: from SIGTERM to SIGKILL.  ``lease_s``: the gap between two holders of a duty.
    ``version_s``: after it, no call may begin on older weights.  ``retry_floor``: repeats to a
    service that one entry may make in a window without any calls of its own.
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


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the usual form."""
        return f"{self.host}:{self.port}"


class Deployment(NamedTuple):
    """Where this process runs; ``object_store`` is a URL.

    ``link_mbps`` and ``cores`` are what the VM has, 0 where that is not known.
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
