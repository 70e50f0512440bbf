"""Prompts with a block that crashes each runner that begins to respond to them, over fleets."""

import pytest

from bench.crashing_prompts import SENDS_AFTER, CrashingLoad
from bench.world import World
from tests.helpers import ready_world

CRASHES_TO_CONVICT = 3


def crashing_fleet(entries: int, runners: int = 6, seed: int = 1) -> World:
    world = ready_world(entries, seed)
    for number in range(3, runners + 1):
        world.add_runner(f"r{number}", f"dc{number % 3 + 1}")
    world.run(6.0)
    return world


@pytest.mark.parametrize(
    ("entries", "share", "position"),
    [(1, 0.02, 2), (4, 0.06, 2), (8, 0.06, 1), (8, 0.06, 0), (8, 0.3, 2), (24, 0.06, 2)],
)
def test_prompts_with_a_block_that_crashes_runners_keep_crashing_them(
    entries: int, share: float, position: int
) -> None:
    """One block in a share of the prompts crashes runners, which are back after seconds."""
    world = crashing_fleet(entries)
    load = CrashingLoad(world)
    load.run(30.0, 10.0, 0.0)
    began_s = world.now_s
    load.run(30.0, 30.0, share, position)
    world.run(5.0)
    assert load.sends_after_learning() <= SENDS_AFTER
    crashes = load.crashes()
    assert len(crashes) >= CRASHES_TO_CONVICT
    before = load.begun_share(began_s - 10.0, began_s)
    after = load.begun_share(crashes[2] + 6.0, world.now_s)
    assert after >= 0.95 * before


@pytest.mark.parametrize("head_first", [True, False])
def test_more_than_three_runners_crash_before_a_block_is_blocked(head_first: bool) -> None:
    """Eight entries see a crash each at most; the block comes every two seconds."""
    world = crashing_fleet(8)
    for target in world.targets.values():
        target.head_first = head_first
    load = CrashingLoad(world)
    load.run(30.0, 5.0, 0.0)
    load.run(30.0, 40.0, 0.02)
    assert len(load.crashes()) == CRASHES_TO_CONVICT
