"""What a target has registered about itself."""

from typing import NamedTuple

from filbertstream.process.deployment import Address


class TargetRegistration(NamedTuple):
    """One registration.

    ``target_id`` names an incarnation, though a target may start again under the id that it had:
    ``started_ms`` then differs.
    ``weights`` are the loaded versions by model.
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
