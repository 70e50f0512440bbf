"""Allowed regions of routes and workspaces: where requests and cached blocks may go.

Failure guarded against: a request, or the cached blocks of its prompt, leaves the regions that its
route and workspace allow, whatever fails and whoever holds the blocks.
"""

from types import MappingProxyType
from typing import Any

import msgspec
import pytest
import yaml

from filbertstream.gateway_events import ConfigurationObserved, TargetsListed
from filbertstream.names import digest_key
from filbertstream.platform.documents import decode_configuration
from filbertstream.platform.settings_file import read_settings_file
from filbertstream.request.call_events import RespondLocally, SendFailed
from filbertstream.version.routes import CacheStore, Service, Workspace
from tests.gateway_world import ROUTES, STORE, World, configuration, entry, sends
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

    def __init__(self, route: set[str], workspace: set[str], store: CacheStore = STORE) -> None:
        super().__init__()
        routes = tuple(item._replace(allowed_regions=frozenset(route)) for item in ROUTES)
        owner = Workspace("w", allowed_regions=frozenset(workspace))
        config = configuration()
        services = {**config.services, "keep": Service("keep", "", 80, store=store)}
        config = config._replace(
            version=rev(2), routes=routes, workspaces={digest_key("k"): owner}, services=services
        )
        self.step(ConfigurationObserved(config, self.now_s))
        self.step(TargetsListed(TARGETS))

    def reached(self, name: str, count: int = 16) -> str:
        """Return the last characters of the targets that calls reach."""
        found = {send.target_id for _ in range(count) for send in sends(self.arrive(name))}
        return "".join(sorted(target[-1] for target in found))


@pytest.mark.parametrize("name", ["read", "draft"])
@pytest.mark.parametrize(
    ("route", "workspace", "reached"),
    [
        (set(), set(), "1234"),
        ({"south"}, set(), "2"),
        (set(), {"south", "east"}, "23"),
        ({"north", "south"}, {"south", "east"}, "2"),
    ],
)
def test_calls_reach_only_allowed_regions(
    name: str, route: set[str], workspace: set[str], reached: str
) -> None:
    """The local data center and one without a region are not allowed."""
    assert RegionWorld(route, workspace).reached(name) == reached


@pytest.mark.parametrize("name", ["read", "book", "draft"])
@pytest.mark.parametrize("regions", [({"north"}, {"south"}), ({"nowhere"}, set())])
def test_call_without_an_allowed_target_is_rejected_at_once(
    name: str, regions: tuple[set[str], set[str]]
) -> None:
    """Route and workspace allow no region in common; no target is in the allowed region."""
    actions = RegionWorld(*regions).arrive(name)
    (refusal,) = [item for item in actions if isinstance(item, RespondLocally)]
    assert (refusal.status, refusal.code, sends(actions)) == (503, "region_not_allowed", [])
    assert refusal.retry_after_s is not None


def test_retry_stays_in_the_allowed_regions() -> None:
    """The only allowed target fails; three healthy ones elsewhere are idle."""
    world = RegionWorld({"south"}, set())
    (first,) = sends(world.arrive("read"))
    actions = world.step(SendFailed(1, first.number, "reset", False, False, None))
    assert sends([*actions, *world.run(3.0)]) == []


@pytest.mark.parametrize("allowed", [set(), {"north", "south"}, {"south"}])
def test_blocks_are_fetched_only_from_allowed_regions(allowed: set[str]) -> None:
    """A runner in dc3 and a cache store in dc1 hold the blocks of a prompt."""
    fetched = []
    for holder in ("r3", "keep"):
        world = RegionWorld(allowed, set())
        for name in ("r1", "r3", "r4"):
            world.core.roster.targets[name].backoff_until_s = world.now_s + 99.0
        (first,) = sends(world.arrive("draft"))
        assert first.target_id == "r2"
        assert first.cache is not None
        world.core.index.forget("r2")
        world.core.index.add(holder, (first.cache.namespace, "shared"), 800)
        keep: Any = world.core.stores.states["keep"]
        keep.fetchable = lambda now_s: True
        (second,) = sends(world.arrive("draft"))
        assert second.cache is not None
        fetched.append(bool(second.cache.fetch[0]))
    assert fetched == [not allowed, "north" in allowed or not allowed]


@pytest.mark.parametrize("allowed", [set(), {"south"}])
def test_blocks_are_saved_only_to_allowed_regions(allowed: set[str]) -> None:
    """The only cache store is in dc1; a block in it would have left the allowed region."""
    world = RegionWorld(allowed, set())
    stores: Any = world.core.stores
    stores._knows_contents = lambda state, now_s: True
    stores.states["keep"].fits = lambda tokens, now_s: True
    (send,) = sends(world.arrive("draft"))
    assert send.cache is not None
    assert bool(any(send.cache.save)) is not bool(allowed)


ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/",
    "type": "idempotent",
    "timeout_ms": 1,
    "latency_target_ms": 1,
    "attempts": 1,
    "service": "s",
}


@pytest.mark.parametrize(
    ("fields", "regions"),
    [
        ({}, set()),
        ({"allowed_regions": None}, set()),
        ({"allowed_regions": []}, set()),
        ({"allowed_regions": ["north", "south"]}, {"north", "south"}),
    ],
)
def test_configuration_names_allowed_regions(fields: dict[str, Any], regions: set[str]) -> None:
    """The field is absent, null, empty or a list."""
    tenant = {"name": "w", "api_keys": ["k"], **fields}
    config = {"version": 1, "routes": [ROUTE | fields], "services": [], "tenants": [tenant]}
    decoded = decode_configuration(msgspec.Raw(msgspec.json.encode(config))).unwrap()
    workspace = decoded.workspace_of("k")
    assert workspace is not None
    assert decoded.routes[0].allowed_regions == workspace.allowed_regions == regions


@pytest.mark.parametrize(
    ("fields", "regions"),
    [
        ({}, {}),
        ({"region": "north"}, {"dc1": "north"}),
        ({"region": "north", "zones": {"dc2": "south"}}, {"dc1": "north", "dc2": "south"}),
        ({"region": "north", "zones": {"dc1": "south"}}, {"dc1": "south"}),
    ],
)
def test_settings_name_the_regions_of_data_centers(
    tmp_path: Any, fields: dict[str, Any], regions: dict[str, str]
) -> None:
    """The map lacks the data center of this VM, or contradicts its region."""
    settings = yaml.safe_load(BOOT)
    file = tmp_path / "settings.yaml"
    for bound, evac_s in ((None, None), (4_000, 4.0)):
        bounds = settings["bounds"] | ({} if bound is None else {"evac_ms": bound})
        file.write_text(yaml.safe_dump(settings | fields | {"bounds": bounds}))
        deployment = read_settings_file(file).unwrap()
        assert (deployment.regions, deployment.bounds.evac_s) == (regions, evac_s)
