"""Prompts with a block that crashes each runner after its response has begun, over fleets.

Failure guarded against: the first events of its responses clear the block, so that it goes on
crashing runners, or sound streams that began shortly before a crash are held responsible for it.
"""

import functools

import pytest

from bench.crashing_prompts import CONTACT_S, SENDS_AFTER, CrashingLoad
from bench.world import World
from filbertstream.fleet.crash_detector import ProbeOutcome
from filbertstream.gateway_events import TargetObserved
from tests.gateway_world import entry, sends
from tests.test_crash_evidence import CrashWorld
from tests.test_crashing_prompts import CRASHES_TO_CONVICT, crashing_fleet


def begun_fleet(entries: int, crash_after_s: float) -> World:
    world = crashing_fleet(entries, runners=8)
    for target in world.targets.values():
        target.crash_after_s = crash_after_s
    return world


@pytest.mark.parametrize("entries", [1, 2, 8, 16])
@pytest.mark.parametrize(
    ("crash_after_s", "out_tokens"), [(0.005, 8), (0.005, 110), (0.1, 8), (0.5, 80), (1.0, 80)]
)
@pytest.mark.parametrize("position", [0, 2])
def test_block_goes_on_crashing_runners_after_their_first_event(
    position: int, crash_after_s: float, out_tokens: int, entries: int
) -> None:
    """Responses with the block begin, and clear it before their runner crashes."""
    world = begun_fleet(entries, crash_after_s)
    load = CrashingLoad(world)
    load.out_tokens = out_tokens
    load.run(10.0, 10.0, 0.0)
    began_s = world.now_s
    load.run(10.0, 40.0, 0.12, position)
    world.run(5.0)
    crashes = load.crashes()
    assert len(crashes) >= CRASHES_TO_CONVICT
    assert load.sends_after_learning() <= SENDS_AFTER
    before = load.begun_share(began_s - 10.0, began_s)
    assert load.begun_share(crashes[2] + 2.0 * CONTACT_S, world.now_s) >= 0.95 * before


@pytest.mark.parametrize("entries", [1, 4, 8])
def test_runners_that_end_amid_sound_streams_convict_a_block(entries: int) -> None:
    """A runner ends every 2.5 s, each time with streams that have just begun."""
    world = begun_fleet(entries, 0.1)
    load = CrashingLoad(world)
    load.out_tokens = 110
    load.run(10.0, 5.0, 0.0)
    for number in range(16):
        target = world.targets[f"r{1 + number % 8}"]
        world.after(2.5 * number, functools.partial(world.target_side.crash, target))
    began_s = world.now_s
    load.run(10.0, 40.0, 0.0)
    world.run(5.0)
    assert len(load.crashes()) > 2 * CRASHES_TO_CONVICT
    assert not any(core.crash_watch.quarantine.active for core in world.cores.values())
    assert load.begun_share(began_s, world.now_s) >= 0.95


def test_sound_stream_that_has_just_begun_is_cut_by_the_end_of_its_runner() -> None:
    """A runner ends for another reason, and no response with the blocks was complete before."""
    world = CrashWorld()
    world.step(TargetObserved("r3", entry("r3", "models"), False))
    calls = [sends(world.arrive("draft"))[0] for _ in range(16)]
    first = calls[0]
    second = next(call for call in calls[1:] if call.target_id == first.target_id)
    actions = world.cut_off(first, begun=True)
    assert sends(actions)
    world.probed(actions, ProbeOutcome.REFUSED)
    assert sends(world.cut_off(second, begun=True))


def test_stream_that_crashes_runners_is_resumed_until_its_attempts_are_used() -> None:
    """Each attempt of a resumable stream ends one more runner."""
    world = CrashWorld()
    world.step(TargetObserved("r3", entry("r3", "models"), False))
    actions = world.cut_off(sends(world.arrive("draft"))[0], begun=True)
    world.probed(actions, ProbeOutcome.REFUSED)
    actions = world.cut_off(sends(world.arrive("draft"))[0], begun=True)
    actions += world.probed(actions, ProbeOutcome.REFUSED) + world.run(0.5)
    assert not sends(actions)
    assert world.core.counters.get("retries_withheld") == 1
