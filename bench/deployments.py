"""Draws deployments that nobody tuned for, and plays overlapping faults on each in virtual time.

    python -m bench.deployments [--seeds 100] [--first 1]

A seed gives the numbers of data centers, entries, runners, services and stores, their sizes, the
workspaces, the shapes of prompts, the operators' bounds, all names, the work and the faults.  The
invariants are those of the fault matrix (``bench.faults``), from what callers and targets see; once
the faults are over, every entry must serve again.
"""

import argparse
import functools
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Final, NamedTuple

from bench.fault_table import FAULTS
from bench.faults import Checks, serve_everywhere
from bench.world import BOUNDS, World
from bench.world_documents import world_documents
from filbertstream.process.cache_stores import SAVE_HOLDOFF_S
from filbertstream.process.deployment import Bounds
from filbertstream.process.relays import DIRECT_READ_MEMBERS
from filbertstream.request.call import PromptBlock
from filbertstream.version.documents import Model, Objectives

START_S: Final = 12.0
WORK_S: Final = 30.0
STEP_S: Final = 0.25
REPAIR_S: Final = 30.0
LEAST_FAULTS: Final = 3
MOST_FAULTS: Final = 6
LARGE_SEED: Final = 1_000_000
"""Seeds from here on draw fleets in which entries rely on others' word."""

MOST_NAMINGS: Final = 3
FAULT_LEAST_S: Final = 0.5
FAULT_MOST_S: Final = 10.0
SYLLABLES: Final = ("ba", "du", "fe", "go", "ki", "lo", "mu", "ne", "pi", "ru", "sa", "te", "vo")
ONE_WAY: Final = frozenset({"target leaving"})
"""Faults that nothing ends: at most one of these in a play, since targets must be left."""


class Deployment(NamedTuple):
    """What a seed has drawn; ``runner_rates`` are tokens that each runner reads in a second.

    ``histories`` are the parts of the prompts that return.
    """

    seed: int
    data_centers: tuple[str, ...]
    entries: tuple[str, ...]
    model: Model
    runner_rates: tuple[float, ...]
    service: str
    service_targets: int
    stores: int
    workspaces: dict[str, str]
    histories: tuple[tuple[PromptBlock, ...], ...]
    objectives: Objectives
    bounds: Bounds
    calls_per_step: int


class Planned(NamedTuple):
    """A fault: when it begins, how long it lasts, and the entry that it is about."""

    at_s: float
    for_s: float
    label: str
    member: str


def draw(seed: int) -> Deployment:
    """Return the deployment of a seed.

    >>> draw(3) == draw(3), draw(3) == draw(4)
    (True, False)
    """
    rng = random.Random(f"deployment-{seed}")
    more = 0 if seed < LARGE_SEED else DIRECT_READ_MEMBERS
    centers = tuple(_name(rng) for _ in range(rng.randint(1, 5)))
    entries = tuple(f"{_name(rng)}-{number}" for number in range(rng.randint(2, 14) + more))
    shared = rng.randint(0, 6)
    part_tokens = rng.choice((128, 700, 2_000, 4_096))
    histories = tuple(
        tuple(PromptBlock(f"{number}-{index}", part_tokens) for index in range(shared))
        for number in range(rng.randint(1, 30))
    )
    return Deployment(
        seed,
        centers,
        entries,
        Model(
            "model",
            _name(rng),
            1,
            slots=rng.choice((4, 16, 64, 256)),
            cache_tokens=max(
                rng.choice((30_000, 80_000, 250_000, 600_000)), 4 * shared * part_tokens
            ),
        ),
        tuple(rng.uniform(15_000, 120_000) for _ in range(rng.randint(3, 12))),
        f"{_name(rng)}-app",
        rng.randint(3, 8),
        rng.randint(1, 4),
        {_name(rng) + str(number): f"key {number}" for number in range(rng.randint(1, 40))},
        histories,
        Objectives(rng.uniform(0.3, 3.0), rng.uniform(0.1, 0.5), rng.uniform(5.0, 20.0)),
        _draw_bounds(rng),
        rng.randint(1, 4),
    )


def _name(rng: random.Random) -> str:
    return "".join(rng.choice(SYLLABLES) for _ in range(3))


def _draw_bounds(rng: random.Random) -> Bounds:
    revoke_s = rng.uniform(4.0, 12.0)
    return BOUNDS._replace(
        config_apply_s=rng.uniform(1.0, 5.0),
        drain_s=rng.uniform(1.5, 5.0),
        revoke_s=revoke_s,
        retry_ratio=rng.uniform(0.05, 0.4),
        retry_window_s=rng.uniform(5.0, 20.0),
        lease_s=rng.uniform(1.0, 6.0),
        # An entry that is out of touch learns of new weights only when it is back.
        version_s=revoke_s + rng.uniform(2.0, 10.0),
    )


def plan(deployment: Deployment) -> list[Planned]:
    """Return the faults of a deployment's seed, which may overlap and come more than once."""
    rng = random.Random(f"faults-{deployment.seed}")
    found: list[Planned] = []
    for _ in range(rng.randint(LEAST_FAULTS, MOST_FAULTS)):
        label = rng.choice(sorted(FAULTS))
        if label in ONE_WAY and any(planned.label in ONE_WAY for planned in found):
            continue
        at_s = rng.uniform(0.0, WORK_S - FAULT_MOST_S / 2)
        for_s = rng.uniform(FAULT_LEAST_S, FAULT_MOST_S)
        found.append(Planned(at_s, for_s, label, rng.choice(deployment.entries)))
    return sorted(found)


def build(deployment: Deployment) -> World:
    """Return a world of the deployment that takes requests; raises ``AssertionError`` if not."""
    world = World(deployment.seed, deployment.bounds)
    centers = deployment.data_centers
    for number, name in enumerate(deployment.entries):
        world.add_entry(name, centers[number % len(centers)])
    for number, rate in enumerate(deployment.runner_rates):
        runner = world.add_runner(
            f"r{number}", centers[number % len(centers)], deployment.model.name
        )
        runner.rate, runner.cache_tokens = rate, deployment.model.cache_tokens
    for number in range(deployment.service_targets):
        world.add_service(f"s{number}", centers[number % len(centers)], deployment.service)
    for number in range(deployment.stores):
        world.add_store(f"st{number}", centers[number % len(centers)])
    documents = world_documents(
        deployment.workspaces,
        deployment.objectives,
        model=deployment.model,
        service=deployment.service,
    )
    stores = [world.store_document(name) for name in world.stores]
    ended = world.apply([*documents, *stores])
    if ended.state != "accepted":
        raise AssertionError(ended)
    ready = world.run_until(
        lambda: all(core.ready(world.now_s) for core in world.cores.values()), START_S
    )
    if not ready:
        raise AssertionError("entries are not ready")
    world.run(SAVE_HOLDOFF_S + 1.0)
    return world


def play(seed: int) -> list[str]:
    """Play a seed; return everything that must not have happened."""
    deployment = draw(seed)
    world = build(deployment)
    checks = Checks(world)
    world.on_action = checks.on_action
    for planned in plan(deployment):
        _schedule(world, planned)
    _work(deployment, world, checks)
    world.run(REPAIR_S)
    serve_everywhere(world, checks, deployment.model.name, deployment.service, _keys(deployment)[0])
    checks.at_end()
    return checks.broken


def _schedule(world: World, planned: Planned) -> None:
    def begin() -> None:
        end = FAULTS[planned.label](world, planned.member)
        world.after(planned.for_s, end)

    world.after(planned.at_s, begin)


def _keys(deployment: Deployment) -> tuple[str, ...]:
    return tuple(deployment.workspaces.values())


def _work(deployment: Deployment, world: World, checks: Checks) -> None:
    """Ask for prompts and bookings, and name new weights on the way, some soon after others."""
    rng = random.Random(f"work-{deployment.seed}")

    def name_weights(version: int) -> None:
        checks.name_weights(deployment.model._replace(version=version))

    at_s = 0.0
    for version in range(2, 2 + rng.randint(1, MOST_NAMINGS)):
        at_s += rng.uniform(0.0, WORK_S / 2)
        world.after(at_s, functools.partial(name_weights, version))
    keys, model, service = _keys(deployment), deployment.model.name, deployment.service
    for number in range(int(WORK_S / STEP_S)):
        members = sorted(name for name in world.cores if name not in world.paused)
        for call in range(deployment.calls_per_step if members else 0):
            member, key = rng.choice(members), rng.choice(keys)
            blocks = rng.choice(deployment.histories)
            tokens = sum(block.tokens for block in blocks) + rng.randint(50, 500)
            world.request(
                member, "model", key, model, tokens, blocks, out_tokens=rng.randint(1, 60)
            )
            once = f"{number // 2}-{call}"
            world.request(member, "service", key, service, idempotency_key=f"{key} {once}")
        world.run(STEP_S)


def main() -> int:
    """Play seeds and print those on which something went wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    with ProcessPoolExecutor(4) as pool:
        results = dict(zip(seeds, pool.map(play, seeds), strict=True))
    for seed, broken in results.items():
        for text in broken:
            print(f"seed {seed}: {text}")
    wrong = sum(1 for broken in results.values() if broken)
    print(f"{len(results)} deployments, {wrong} with a promise broken")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
