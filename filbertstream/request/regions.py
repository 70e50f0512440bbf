"""Which data centers a call may use, by the regions that its route and workspace allow.

A data center without a known region is in none of the allowed ones.

>>> regions = Regions({"dc1": "north", "dc2": "south"})
>>> [regions.allows((frozenset({"north"}),), name) for name in ("dc1", "dc2", "dc3")]
[True, False, False]
>>> regions.allows((), "dc3")
True
"""

from collections.abc import Mapping
from typing import TypeAlias

from filbertstream.request.call_state import Call

AllowedRegions: TypeAlias = tuple[frozenset[str], ...]
"""The sets of regions that must all contain a data center's; empty if every region is allowed."""


def allowed_regions(call: Call) -> AllowedRegions:
    """Return the allowed regions of a call's route and of its workspace."""
    workspace = call.workspace
    sets = (
        call.route.allowed_regions,
        frozenset() if workspace is None else workspace.allowed_regions,
    )
    return tuple(found for found in sets if found)


class Regions:
    """The region of each known data center."""

    def __init__(self, by_data_center: Mapping[str, str]) -> None:
        self._by_data_center = by_data_center

    def allows(self, allowed: AllowedRegions, data_center: str) -> bool:
        """Whether a data center is in all sets of allowed regions."""
        if not allowed:
            return True
        region = self._by_data_center.get(data_center)
        return region is not None and all(region in found for found in allowed)
