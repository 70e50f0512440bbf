"""The registration of a target."""

from typing import NamedTuple

from filbertstream.process.deployment import Address


class TargetStart(NamedTuple):
    """One start of a target; what a target has said before it restarted no longer holds."""

    target_id: str
    started_ms: int


class TargetRegistration(NamedTuple):
    """One registration of a target.

    A target that restarts usually gets a new ``target_id``.  It may also keep its id; then
    ``started_ms`` differs.  ``weights`` are the loaded versions by model.  ``refreshes`` counts how
    often this start has renewed its registration.
    """

    target_id: str
    service: str
    address: Address
    data_center: str
    slots: int
    draining: bool
    warmup_left_s: float
    weights: dict[str, int]
    started_ms: int
    refreshes: int = 0

    @property
    def start(self) -> TargetStart:
        """The start of the target to which this registration belongs."""
        return TargetStart(self.target_id, self.started_ms)
