"""Blocks that crash runners, over whole fleets: false blame, loss of entries, operators, expiry."""

import functools
import random

import pytest

from bench.crashing_prompts import CrashingLoad
from bench.world import World
from filbertstream.fleet.quarantine import KEPT_S, QuarantineRecord
from filbertstream.gateway_events import Tick
from filbertstream.platform.documents import QUARANTINE_KIND
from tests.test_crashing_prompts import CRASHES_TO_CONVICT, crashing_fleet


def quarantined(world: World) -> list[set[str]]:
    """Return the quarantined blocks as known to each entry."""
    return [
        {record.block_id for record in core.crash_watch.quarantine.active}
        for core in world.cores.values()
    ]


def arrivals(world: World) -> int:
    return sum(len(target.deadly_arrivals) for target in world.targets.values())


def convict(world: World, seed: int = 1) -> CrashingLoad:
    load = CrashingLoad(world, seed=seed)
    load.run(30.0, 5.0, 0.0)
    load.run(30.0, 20.0, 0.04)
    assert all(blocks == {"deadly"} for blocks in quarantined(world))
    return load


@pytest.mark.parametrize(("at_once", "interval_s"), [(1, 0.4), (3, 4.0), (6, 6.0)])
def test_block_of_sound_prompts_is_quarantined_after_unrelated_crashes(
    at_once: int, interval_s: float
) -> None:
    """Runners crash for other reasons, alone or a rack at once, under load."""
    world = crashing_fleet(8)
    load = CrashingLoad(world)
    rng = random.Random(3)
    load.run(40.0, 5.0, 0.0)
    for _ in range(round(40.0 / interval_s)):
        runners = [target for target in world.targets.values() if target.model]
        for target in rng.sample(runners, at_once):
            world.target_side.crash(target)
        load.run(40.0, interval_s, 0.0)
    assert quarantined(world) == [set()] * 8


def test_two_blocks_that_crash_runners_cost_more_than_three_runners_each() -> None:
    """Prompts with either of two blocks come at the same time."""
    world = crashing_fleet(8, runners=12)
    load = CrashingLoad(world, ("deadly", "fatal"))
    load.run(30.0, 5.0, 0.0)
    load.run(30.0, 40.0, 0.03)
    assert quarantined(world) == [{"deadly", "fatal"}] * 8
    assert len(load.crashes()) <= 2 * CRASHES_TO_CONVICT


@pytest.mark.parametrize("store_down", [False, True])
def test_block_crashes_runners_again_after_all_entries_were_killed(store_down: bool) -> None:
    """All entries are killed at once, some time after a verdict with or without the store."""
    world = crashing_fleet(4)
    if store_down:
        world.after(5.0, lambda: setattr(world.objects, "down", True))
        world.after(27.0, lambda: setattr(world.objects, "down", False))
    load = convict(world)
    world.run(25.0)
    for name in sorted(world.cores):
        world.kill(name)
    for name in sorted(world.killed):
        world.add_entry(name)
    before = arrivals(world)
    load.run(30.0, 10.0, 0.2)
    assert arrivals(world) == before
    assert len(load.crashes()) <= CRASHES_TO_CONVICT + 1


def test_entry_that_was_cut_off_sends_a_quarantined_block_when_it_is_back() -> None:
    """One entry hears no peer while the others convict a block; then it gets prompts with it."""
    world = crashing_fleet(4)
    others = sorted(world.cores)[1:]
    world.cut = {frozenset(("e1", name)) for name in others}
    load = CrashingLoad(world)
    load.run(30.0, 5.0, 0.0)
    load.run(30.0, 20.0, 0.04)
    world.cut = set()
    world.run(3.0)
    before = arrivals(world)
    load.run(30.0, 10.0, 0.2)
    assert quarantined(world) == [{"deadly"}] * 4
    assert arrivals(world) == before


def test_release_by_an_operator_is_undone_by_messages_between_entries() -> None:
    """An operator releases a block in the object store while all entries know it."""
    world = crashing_fleet(8)
    convict(world)
    world.run(10.0)
    (stored,) = world.objects.objects[QUARANTINE_KIND].values()
    record = world.cores["e1"].crash_watch.quarantine.active[0]
    released = QuarantineRecord(record.model, record.block_id, 2, False, "operator")
    world.objects.register(QUARANTINE_KIND, stored.name, released)
    world.run(30.0)
    assert quarantined(world) == [set()] * 8
    load = CrashingLoad(world)
    for target in world.targets.values():
        target.deadly = frozenset()
    submitted = len(world.outcomes)
    load.run(30.0, 10.0, 0.2)
    world.run(3.0)
    assert all(item[0].kind == "answered" for item in list(world.outcomes.values())[submitted:])


def test_block_set_by_an_operator_reaches_runners() -> None:
    """An operator writes a record for a block that no runner has crashed at."""
    world = crashing_fleet(8)
    record = QuarantineRecord("m", "deadly", 1, True, "operator")
    world.objects.register(QUARANTINE_KIND, record.name, record)
    world.run(2.0)
    load = CrashingLoad(world)
    load.run(30.0, 10.0, 0.2)
    assert arrivals(world) == 0
    refused = [
        outcomes[0]
        for request_id, outcomes in world.outcomes.items()
        if any(
            block.block_id == "deadly"
            for block in world.submitted[request_id].head.prompt.blocks  # type: ignore[union-attr]
        )
    ]
    assert len(refused) > 10
    assert all(
        (item.status, item.code, item.run, item.retry_after_s)
        == (503, "quarantined", "not_run", None)
        for item in refused
    )


def test_record_is_kept_for_ever_or_expires_while_such_prompts_come() -> None:
    """Prompts with a block come more rarely than its record is kept, then no more."""
    world = crashing_fleet(2)
    load = convict(world)
    world.run(10.0)
    core = world.cores["e1"]
    quarantine = core.crash_watch.quarantine
    for _ in range(3):
        world.run(0.8 * KEPT_S)
        load.run(30.0, 2.0, 0.5)
        assert quarantined(world) == [{"deadly"}] * 2
    world.run(1.2 * KEPT_S)
    core.step(world.now_s, Tick())
    assert quarantine.active == []
    assert not world.objects.objects[QUARANTINE_KIND]


def test_crashed_runner_gets_no_calls_when_it_is_back() -> None:
    """A runner that a prompt crashed is back, and the block is quarantined."""
    world = crashing_fleet(4)
    load = convict(world)
    crashed = [target for target in world.targets.values() if target.crashes]
    back_s = max(target.crashes[-1] + target.restart_s for target in crashed)
    load.run(60.0, 10.0, 0.0)
    for target in crashed:
        assert any(back_s < at_s < back_s + 20.0 for at_s in target.arrivals)


@pytest.mark.parametrize("seed", [1, 2])
def test_block_keeps_crashing_runners_while_entries_are_killed_suspended_and_cut_off(
    seed: int,
) -> None:
    """Random faults of a fleet overlap while prompts with a block come."""
    rng = random.Random(seed)
    world = crashing_fleet(8, seed=seed)
    load = CrashingLoad(world, seed=seed)
    load.run(30.0, 5.0, 0.0)
    names = sorted(world.cores)
    for _ in range(10):
        name = rng.choice(names)
        fault = rng.choice(["kill", "suspend", "cut", "none"])
        if fault == "kill" and name in world.cores and len(world.cores) > 2:
            world.kill(name)
        if fault == "suspend" and name in world.cores:
            world.paused.add(name)
            world.after(1.5, functools.partial(world.resume, name))
        world.cut = {frozenset((name, other)) for other in names} if fault == "cut" else set()
        world.store_cut = {name} if fault == "cut" else set()
        load.run(30.0, 4.0, 0.06)
        for dead in set(names) - set(world.cores):
            world.add_entry(dead)
    assert load.sends_after_learning() <= 3
