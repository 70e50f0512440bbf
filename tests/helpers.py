"""A ready world for tests: three entries, two runners, two service targets, a store, one tenant."""

from bench.world import World
from filbertstream.names import digest_key
from filbertstream.version.documents import Change, Limits, Model, Service, Template, Workspace

DOCUMENTS: list[Change] = [
    Model("model", "m", "v1"),
    Service("service", "s", ("POST",)),
    Template("template", "t", ("m",), {}, ("s",), limits=Limits(1_000, 10_000.0)),
    Workspace("workspace", "w", "t", keys=(digest_key("k"),)),
    Workspace("workspace", "x", "t", keys=(digest_key("other"),)),
]


def ready_world(entries: int = 3, seed: int = 1) -> World:
    """Return a world whose entries take requests under revision 1."""
    world = World(seed)
    for number in range(1, entries + 1):
        world.add_entry(f"e{number}", f"dc{1 + (number - 1) % 3}")
    world.add_runner("r1")
    world.add_runner("r2", data_center="dc2")
    world.add_service("s1")
    world.add_service("s2", data_center="dc2")
    world.add_store("st1")
    world.list_targets()
    assert world.run_until(lambda: all(core.governance.ready for core in world.cores.values()), 5.0)
    change = world.apply("e1", DOCUMENTS)
    assert world.run_until(lambda: bool(world.applied[change]), 8.0)
    assert world.applied[change][0].state == "accepted", world.applied
    world.run(3.0)
    return world
