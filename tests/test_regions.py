"""Allowed regions of routes and workspaces: where requests and cached blocks may go.

Failure guarded against: a request, or the cached blocks of its prompt, leaves the regions that its
route and workspace allow, whatever fails and whoever holds the blocks.
"""

from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec
import pytest

from filbertstream.gateway_events import ConfigurationObserved, TargetsListed
from filbertstream.names import digest_key
from filbertstream.platform.documents import decode_configuration
from filbertstream.platform.settings_file import read_settings_file
from filbertstream.request.call_events import RespondLocally, SendFailed
from filbertstream.version.routes import Workspace
from tests.gateway_world import ROUTES, World, configuration, entry, sends
from tests.helpers import rev
from tests.test_gateway_parts import BOOT

CENTERS = {"1": "dc1", "2": "dc2", "3": "dc3", "4": "unknown"}
TARGETS = tuple(
    entry(f"{kind}{number}", service, data_center=center)
    for kind, service in (("r", "models"), ("a", "app"))
    for number, center in CENTERS.items()
)


class RegionWorld(World):
    """An entry in dc1 with a target of each service in dc1 to dc3 and in an unknown one."""

    regions = MappingProxyType({"dc1": "north", "dc2": "south", "dc3": "east"})

    def __init__(self, route: set[str], workspace: set[str]) -> None:
        super().__init__()
        routes = tuple(item._replace(allowed_regions=frozenset(route)) for item in ROUTES)
        owner = Workspace("w", allowed_regions=frozenset(workspace))
        config = configuration()
        workspaces = {digest_key("k"): owner}
        config = config._replace(version=rev(2), routes=routes, workspaces=workspaces)
        self.step(ConfigurationObserved(config, self.now_s))
        self.step(TargetsListed(TARGETS))


@pytest.mark.parametrize("name", ["read", "draft"])
@pytest.mark.parametrize(
    ("route", "workspace", "reached"),
    [
        (set(), set(), "1234"),
        (set(), {"south", "east"}, "23"),
        ({"north", "south"}, {"south", "east"}, "2"),
        ({"north"}, {"south"}, ""),
        ({"nowhere"}, set(), ""),
    ],
)
def test_calls_reach_only_allowed_regions(
    name: str, route: set[str], workspace: set[str], reached: str
) -> None:
    """The local data center and one without a region are not allowed, or none is."""
    world = RegionWorld(route, workspace)
    actions = [item for _ in range(16) for item in world.arrive(name)]
    found = {send.target_id[-1] for send in sends(actions)}
    assert "".join(sorted(found)) == reached
    refused = [item for item in actions if isinstance(item, RespondLocally)]
    assert len(refused) == (0 if reached else 16)
    for item in refused:
        assert (item.status, item.code) == (503, "region_not_allowed")
        assert item.retry_after_s is not None


def test_retry_stays_in_the_allowed_regions() -> None:
    """The only allowed target fails; three healthy ones elsewhere are idle."""
    world = RegionWorld({"south"}, set())
    (first,) = sends(world.arrive("read"))
    actions = world.step(SendFailed(1, first.number, "reset", False, False, None))
    assert sends([*actions, *world.run(3.0)]) == []


@pytest.mark.parametrize(
    ("holder", "allowed", "fetched"),
    [
        ("r3", set(), True),
        ("r3", {"north", "south"}, False),
        ("keep", {"north", "south"}, True),
        ("keep", {"south"}, False),
    ],
)
def test_blocks_are_fetched_only_from_allowed_regions(
    holder: str, allowed: set[str], fetched: bool
) -> None:
    """A runner in dc3 or a cache store in dc1 holds a block of a prompt that goes to dc2."""
    world = RegionWorld(allowed, set())
    for name in ("r1", "r3", "r4"):
        world.core.roster.targets[name].backoff_until_s = world.now_s + 99.0
    (first,) = sends(world.arrive("draft"))
    assert first.cache is not None
    world.core.index.forget("r2")
    world.core.index.add(holder, (first.cache.namespace, "shared"), 800)
    keep: Any = world.core.stores.states["keep"]
    keep.fetchable = lambda now_s: True
    (second,) = sends(world.arrive("draft"))
    assert second.cache is not None
    assert bool(second.cache.fetch[0]) is fetched


@pytest.mark.parametrize("allowed", [set(), {"south"}])
def test_blocks_are_saved_only_to_allowed_regions(allowed: set[str]) -> None:
    """The only cache store is in dc1; a block in it would have left the allowed region."""
    world = RegionWorld(allowed, set())
    stores: Any = world.core.stores
    stores._knows_contents = lambda state, now_s: True
    stores.states["keep"].fits = lambda tokens, now_s: True
    (send,) = sends(world.arrive("draft"))
    assert send.cache is not None
    assert any(send.cache.save) is not bool(allowed)


@pytest.mark.parametrize("names", [None, [], ["north", "south"]])
def test_configuration_names_allowed_regions(names: list[str] | None) -> None:
    """The field is null or empty."""
    route = {"name": "r", "host": "h", "path_prefix": "/", "type": "stream", "service": "s"}
    route |= {"timeout_ms": 1, "latency_target_ms": 1, "attempts": 1, "allowed_regions": names}
    tenant = {"name": "w", "api_keys": ["k"], "allowed_regions": names}
    content = {"version": 1, "routes": [route], "services": [], "tenants": [tenant]}
    config = decode_configuration(msgspec.Raw(msgspec.json.encode(content))).unwrap()
    workspace = config.workspace_of("k")
    assert workspace is not None
    assert config.routes[0].allowed_regions == workspace.allowed_regions == set(names or ())


@pytest.mark.parametrize(
    ("fields", "regions"),
    [
        ("", {}),
        ("region: north", {"dc1": "north"}),
        ("region: north\nzones: {dc2: south}", {"dc1": "north", "dc2": "south"}),
        ("region: north\nzones: {dc1: south}", {"dc1": "south"}),
    ],
)
def test_settings_name_the_regions_of_data_centers(
    tmp_path: Path, fields: str, regions: dict[str, str]
) -> None:
    """The map lacks the data center of this VM, or contradicts its region."""
    file = tmp_path / "settings.yaml"
    for bound, evac_s in (("", None), ("evac_ms: 4000, ", 4.0)):
        file.write_text(BOOT.replace("bounds: {", "bounds: {" + bound) + fields)
        deployment = read_settings_file(file).unwrap()
        assert (deployment.regions, deployment.bounds.evac_s) == (regions, evac_s)
