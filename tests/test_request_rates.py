"""Targets that limit the rate of requests from all entries together, over whole fleets."""

import functools
import itertools
import random

import pytest

from bench.arrivals import CONTACT_S, allowed, busiest_window
from bench.world import World
from filbertstream.request.call import PromptBlock
from filbertstream.request.call_events import SendCall
from filbertstream.version.documents import Model
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


def limit_by_one_entry(world: World, per_s: float) -> str:
    """Let a runner name a rate that one entry holds alone; return that entry's name."""
    world.targets["r1"].limit_per_s = per_s
    load(world, 60.0, 8.0)
    senders: list[str] = []

    def note(name: str, action: object) -> None:
        if isinstance(action, SendCall) and action.target_id == "r1":
            senders.append(name)

    world.on_action = note
    load(world, 60.0, 4.0)
    world.on_action = None
    (holder,) = set(senders)
    return holder


def test_target_gets_requests_and_its_limit_can_end_while_the_only_holder_is_dead() -> None:
    """A VM is lost, and its registration stays."""
    world = ready_world(8)
    world.run(10.0)
    load(world, 60.0, 4.0)
    world.kill(limit_by_one_entry(world, 1.0))
    killed_s = world.now_s
    load(world, 60.0, 40.0)
    limited = world.targets["r1"]
    late = [at_s for at_s in limited.arrivals if at_s >= killed_s + 15.0]
    assert len(late) >= 0.3 * 25.0
    assert busiest_window(limited.arrivals, killed_s, world.now_s).arrivals <= allowed(1.0)
    limited.limit_per_s = None
    load(world, 60.0, 10.0)
    assert len([at_s for at_s in limited.arrivals if at_s >= world.now_s - 4.0]) > 40


def test_runner_that_loads_weights_gets_no_more_calls_than_its_rate_allows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Weights are named while a runner limits its rate, and it takes long to load them."""
    monkeypatch.setattr("bench.targets.SWAP_S", 5.0)
    world = ready_world(3)
    world.run(10.0)
    limited = world.targets["r1"]
    limited.limit_per_s = 1.0
    load(world, 30.0, 10.0)
    named_s = world.now_s
    world.apply([Model("model", "m", 2)])
    load(world, 30.0, 20.0)
    busiest = busiest_window(limited.arrivals, named_s, world.now_s)
    assert busiest.arrivals <= allowed(1.0)
    assert limited.weights == 2


@pytest.mark.parametrize("entries", [8, 24])
def test_limit_is_kept_by_entries_that_are_cut_off_from_one_another(entries: int) -> None:
    """No message between entries arrives, for long."""
    world = ready_world(entries)
    world.run(10.0)
    world.cut = {frozenset(pair) for pair in itertools.combinations(sorted(world.cores), 2)}
    load(world, 60.0, 4.0)
    limited = world.targets["r1"]
    limited.limit_per_s = 1.0
    named_s = world.now_s
    load(world, 40.0, 80.0)
    busiest = busiest_window(limited.arrivals, named_s + CONTACT_S, world.now_s)
    assert busiest.arrivals <= allowed(1.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_limit_is_kept_while_entries_are_killed_restarted_suspended_and_cut_off(seed: int) -> None:
    """Random faults of a fleet overlap while a runner limits its rate."""
    rng = random.Random(seed)
    world = ready_world(8, seed)
    world.run(10.0)
    load(world, 60.0, 3.0)
    names = sorted(world.cores)
    limited = world.targets["r1"]
    limited.limit_per_s = 2.1
    named_s = world.now_s
    for _ in range(12):
        fault, name = rng.choice(["kill", "restart", "suspend", "none"]), rng.choice(names)
        if fault in ("kill", "restart") and name in world.cores and len(world.cores) > 2:
            world.kill(name)
        if fault == "suspend" and name in world.cores:
            world.paused.add(name)
            world.after(2.5, functools.partial(world.resume, name))
        for dead in set(names) - set(world.cores):
            if fault == "restart" or rng.random() < 0.4:
                world.add_entry(dead)
        pairs = itertools.combinations(names, 2)
        world.cut = {frozenset(pair) for pair in pairs if rng.random() < 0.2}
        world.store_cut = {cut for cut in names if rng.random() < 0.2}
        load(world, 60.0, 4.0)
    busiest = busiest_window(limited.arrivals, named_s + CONTACT_S, world.now_s)
    assert busiest.arrivals <= allowed(2.1)
    assert len(limited.arrivals) > 0.5 * 2.1 * (world.now_s - named_s)
