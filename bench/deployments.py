"""Draws random deployments and injects overlapping faults into each in virtual time.

    python -m bench.deployments [--seeds 100] [--first 1]

Nothing is tuned for these deployments.  A seed determines the numbers of data centers, entries,
runners, services and cache stores, their sizes, the workspaces, the shapes of prompts, the
operators' bounds, all names, the work and the faults.  The invariants are those of the fault matrix
(``bench.faults``), as observed by callers and targets; after the faults have ended, every entry
must serve again.
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
MIN_FAULTS: Final = 3
MAX_FAULTS: Final = 6
LARGE_SEED: Final = 1_000_000
"""Seeds from here on draw fleets so large that entries read the object store through relays."""

MAX_WEIGHT_CHANGES: Final = 3
MIN_FAULT_S: Final = 0.5
MAX_FAULT_S: Final = 10.0
SYLLABLES: Final = ("ba", "du", "fe", "go", "ki", "lo", "mu", "ne", "pi", "ru", "sa", "te", "vo")
UNENDING_FAULTS: Final = frozenset({"target leaving"})
"""Faults that never end: at most one of them in a run, so that enough targets remain."""


class Deployment(NamedTuple):
    """The deployment of a seed; ``runner_rates`` are the tokens each runner prefills per second.

    ``histories`` are the cache blocks of the returning prompts.
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


class PlannedFault(NamedTuple):
    """A fault: its begin, its duration and the entry that it affects."""

    at_s: float
    duration_s: float
    label: str
    member: str


def draw(seed: int) -> Deployment:
    """Return the deployment of a seed.

    >>> draw(3) == draw(3), draw(3) == draw(4)
    (True, False)
    """
    rng = random.Random(f"deployment-{seed}")
    extra_entries = 0 if seed < LARGE_SEED else DIRECT_READ_MEMBERS
    centers = tuple(_name(rng) for _ in range(rng.randint(1, 5)))
    entries = tuple(
        f"{_name(rng)}-{number}" for number in range(rng.randint(2, 14) + extra_entries)
    )
    blocks_per_history = rng.randint(0, 6)
    block_tokens = rng.choice((128, 700, 2_000, 4_096))
    histories = tuple(
        tuple(PromptBlock(f"{number}-{index}", block_tokens) for index in range(blocks_per_history))
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
                rng.choice((30_000, 80_000, 250_000, 600_000)),
                4 * blocks_per_history * block_tokens,
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
        # A stale entry observes new weights only after it is current again.
        version_s=revoke_s + rng.uniform(2.0, 10.0),
    )


def plan(deployment: Deployment) -> list[PlannedFault]:
    """Return the faults of a deployment's seed, which may overlap and repeat."""
    rng = random.Random(f"faults-{deployment.seed}")
    faults: list[PlannedFault] = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        label = rng.choice(sorted(FAULTS))
        if label in UNENDING_FAULTS and any(planned.label in UNENDING_FAULTS for planned in faults):
            continue
        at_s = rng.uniform(0.0, WORK_S - MAX_FAULT_S / 2)
        duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        faults.append(PlannedFault(at_s, duration_s, label, rng.choice(deployment.entries)))
    return sorted(faults)


def build(deployment: Deployment) -> World:
    """Return a ready world of the deployment; raises ``AssertionError`` if it isn't ready."""
    world = World(deployment.seed, deployment.bounds)
    centers = deployment.data_centers
    for number, name in enumerate(deployment.entries):
        world.add_entry(name, centers[number % len(centers)])
    for number, prefill_tokens_per_s in enumerate(deployment.runner_rates):
        runner = world.add_runner(
            f"r{number}", centers[number % len(centers)], deployment.model.name
        )
        runner.prefill_tokens_per_s, runner.cache_tokens = (
            prefill_tokens_per_s,
            deployment.model.cache_tokens,
        )
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
    result = world.apply([*documents, *stores])
    if result.state != "accepted":
        raise AssertionError(result)
    ready = world.run_until(
        lambda: all(core.ready(world.now_s) for core in world.cores.values()), START_S
    )
    if not ready:
        raise AssertionError("entries did not become ready in time")
    world.run(SAVE_HOLDOFF_S + 1.0)
    return world


def play(seed: int) -> list[str]:
    """Run a seed; return all violations of the invariants."""
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
    return checks.violations


def _schedule(world: World, planned: PlannedFault) -> None:
    def begin() -> None:
        end = FAULTS[planned.label](world, planned.member)
        world.after(planned.duration_s, end)

    world.after(planned.at_s, begin)


def _keys(deployment: Deployment) -> tuple[str, ...]:
    return tuple(deployment.workspaces.values())


def _work(deployment: Deployment, world: World, checks: Checks) -> None:
    """Submit prompts and bookings, and name new weights meanwhile, some in quick succession."""
    rng = random.Random(f"work-{deployment.seed}")

    def name_weights(version: int) -> None:
        checks.name_weights(deployment.model._replace(version=version))

    at_s = 0.0
    for version in range(2, 2 + rng.randint(1, MAX_WEIGHT_CHANGES)):
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
            booking = f"{number // 2}-{call}"
            world.request(member, "service", key, service, idempotency_key=f"{key} {booking}")
        world.run(STEP_S)


def main() -> int:
    """Run seeds and print the violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    with ProcessPoolExecutor(4) as pool:
        results = dict(zip(seeds, pool.map(play, seeds), strict=True))
    for seed, violations in results.items():
        for text in violations:
            print(f"seed {seed}: {text}")
    failed = sum(1 for violations in results.values() if violations)
    print(f"{len(results)} deployments, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
