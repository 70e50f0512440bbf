"""Targets that limit the rate of requests from all entries together, over whole fleets."""

import pytest

from bench.arrivals import CONTACT_S, allowed, busiest_window
from bench.world import World
from filbertstream.request.call import PromptBlock
from tests.helpers import ready_world


def load(world: World, per_s: float, seconds: float, kind: str = "model") -> None:
    """Submit requests to all running entries in turn, each with a prefix shared by some."""
    for number in range(round(per_s * seconds)):
        running = sorted(world.cores)
        blocks = (PromptBlock(f"shared {number % 7}", 900), PromptBlock(f"own {number}", 100))
        entry = running[number % len(running)]
        world.request(entry, kind, tokens=1_000, blocks=blocks if kind == "model" else ())
        world.run(1.0 / per_s)


@pytest.mark.parametrize(("entries", "per_s"), [(1, 2.1), (8, 2.1), (8, 12.0), (24, 2.1)])
def test_target_gets_no_more_requests_than_allowed_by_the_rate_that_it_named(
    entries: int, per_s: float
) -> None:
    """A runner names a limit while all entries send to it."""
    world = ready_world(entries)
    world.run(10.0)
    load(world, 60.0, 6.0)
    limited = world.targets["r1"]
    limited.limit_per_s = per_s
    named_s = world.now_s
    load(world, 60.0, 20.0)
    window = busiest_window(limited.arrivals, named_s + CONTACT_S, world.now_s)
    assert window.arrivals <= allowed(per_s)
