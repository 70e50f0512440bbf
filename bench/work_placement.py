"""Placement of prompts by expected work against baselines, at 65 entries, in virtual time.

    python -m bench.work_placement [--entries 65] [--requests 4000] [--seeds 1 2 3]

Load patterns: prompts of three sizes at once, in bursts; runners whose VMs become slow for a second
or two, and report it with noise; entries that learn of each other's work through relays.  The
policies of one seed get the same arrivals and the same slowness of each runner at each time.  All
fakes are those of ``bench.world``: a runner prefills one prompt at a time, and nothing is cached.
"""

import argparse
import random
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Final, NamedTuple

from bench.routing import DEADLINE_S, RUNNER_TOKENS
from bench.world import World
from bench.world_documents import world_documents
from filbertstream.process.roster import RosterTarget
from filbertstream.request.block_sources import CacheView
from filbertstream.request.placement import Placement, PlacementRequest, estimate, place_prompt
from filbertstream.request.prompt_placer import PlacementPolicy
from filbertstream.version.documents import Limits, Model, Objectives

PREFILL_TOKENS_PER_S: Final = 50_000.0
MEAN_TOKENS: Final = 4_478
SLOTS: Final = 16
SETTLE_S: Final = 8.0
WARMUP_S: Final = 6.0
SLOWNESS_STEP_S: Final = 0.1
SLOW_FRACTION: Final = 0.15
"""The fraction of the time for which a runner is slow."""

SLOW_S: Final = 1.5
"""Mean duration of a slow phase."""

NOISE: Final = 0.2
"""Deviation of the logarithm of a reported slowness from the true one."""

WORKSPACES: Final = 24
MIN_REQUESTS: Final = 40
"""Requests of a workspace from which its share counts as the worst one."""

BURST: Final = 4
"""Prompts of a burst, which arrive together at different entries."""


class Kind(NamedTuple):
    """A kind of prompts; the weights and sizes are those of the page on uneven load."""

    name: str
    weight: int
    tokens: int
    out_tokens: int
    objective_s: float


KINDS: Final = (
    Kind("large", 4_054, 11_992, 38, 0.518),
    Kind("small", 3_821, 827, 29, 0.607),
    Kind("classify", 7_821, 2_368, 2, 1.009),
)


class Prompt(NamedTuple):
    """One arrival."""

    at_s: float
    entry: int
    workspace: int
    kind: Kind
    tokens: int
    out_tokens: int


class Cell(NamedTuple):
    """One run."""

    policy: str
    entries: int
    runners: int
    load: float
    requests: int
    seed: int


class Row(NamedTuple):
    """The figures of one run: times to the first token, and shares within the objective."""

    mean_s: float
    p99_s: float
    in_time: float
    worst_kind: float
    worst_workspace: float
    refused: float


Chooser = Callable[[PlacementRequest, Sequence[RosterTarget], float], RosterTarget]


def _baseline(choose: Chooser) -> PlacementPolicy:
    def place(
        request: PlacementRequest,
        targets: Sequence[RosterTarget],
        cache_view: CacheView,
        now_s: float,
    ) -> Placement | None:
        if not targets:
            return None
        target = choose(request, targets, now_s)
        return estimate(request._replace(work=None), target, cache_view, True, now_s)

    return place


def _least_requests(
    request: PlacementRequest, targets: Sequence[RosterTarget], now_s: float
) -> RosterTarget:
    return min(targets, key=lambda target: target.running(now_s))


def _policy(name: str, rng: random.Random) -> PlacementPolicy:
    offset = rng.randrange(1_000)

    def round_robin(
        request: PlacementRequest, targets: Sequence[RosterTarget], now_s: float
    ) -> RosterTarget:
        return targets[(request.round_robin_index + offset) % len(targets)]

    def two_random(
        request: PlacementRequest, targets: Sequence[RosterTarget], now_s: float
    ) -> RosterTarget:
        drawn = rng.sample(targets, min(2, len(targets)))
        return _least_requests(request, drawn, now_s)

    baselines = {
        "round-robin": round_robin,
        "least requests": _least_requests,
        "two random": two_random,
    }
    return _baseline(baselines[name]) if name in baselines else place_prompt


BY_WORK: Final = "by work"
ODD_REPORTS: Final = "by work, odd reports"
POLICIES: Final = (
    "present", "round-robin", "least requests", "two random", BY_WORK, ODD_REPORTS,
)  # fmt: skip
"""``present`` is the placement of targets without a fourth figure.  The last one gets reports that
are wrong by a factor of 4, up or down at random."""


def _arrivals(cell: Cell, rng: random.Random) -> list[Prompt]:
    rate = cell.load * cell.runners * PREFILL_TOKENS_PER_S / MEAN_TOKENS
    at_s = 0.0
    result: list[Prompt] = []
    while len(result) < cell.requests:
        at_s += rng.expovariate(rate / BURST)
        for _ in range(BURST):
            workspace = min(WORKSPACES - 1, int(rng.expovariate(0.2)))
            (kind,) = rng.choices(KINDS, [item.weight for item in KINDS])
            factor = rng.lognormvariate(0.0, 0.5)
            result.append(
                Prompt(
                    at_s, rng.randrange(cell.entries), workspace, kind,
                    round(kind.tokens * rng.uniform(0.8, 1.2)),
                    max(1, round(kind.out_tokens * factor)),
                )
            )  # fmt: skip
    return result


def _vary_speeds(world: World, rng: random.Random, policy: str) -> None:
    """Change the slowness of all runners again and again; the draws depend on the seed only."""
    slow_until_s: dict[str, float] = {}

    def step() -> None:
        for name in sorted(world.targets):
            target = world.targets[name]
            begins = rng.random() < SLOWNESS_STEP_S * SLOW_FRACTION / SLOW_S
            factor, lasts_s = rng.uniform(2.0, 5.0), rng.expovariate(1.0 / SLOW_S)
            if begins:
                slow_until_s[name] = world.now_s + lasts_s
                target.slowness = factor
            elif world.now_s >= slow_until_s.get(name, 0.0):
                target.slowness = 1.0
            noise, odd = rng.lognormvariate(0.0, NOISE), rng.choice([0.25, 4.0])
            if policy in (BY_WORK, ODD_REPORTS):
                target.reported_slowness = target.slowness * noise
                target.reported_slowness *= odd if policy == ODD_REPORTS else 1.0
        world.after(SLOWNESS_STEP_S, step)

    step()


def build(cell: Cell) -> World:
    """Return a ready world."""
    world = World(cell.seed)
    for number in range(cell.entries):
        core = world.add_entry(f"entry-{number}", f"dc{number % 3}")
        rng = random.Random(f"{cell.seed}-{number}")
        core.prompt_placer.choose = _policy(cell.policy, rng)
    for number in range(cell.runners):
        runner = world.add_runner(f"runner-{number}", f"dc{number % 3}")
        runner.prefill_tokens_per_s = PREFILL_TOKENS_PER_S
    keys = {f"w{number}": f"key-{number}" for number in range(WORKSPACES)}
    objectives = Objectives(KINDS[1].objective_s, 0.4, DEADLINE_S, 0.95)
    model = Model("model", "m", 1, SLOTS, RUNNER_TOKENS)
    world.apply(world_documents(keys, objectives, Limits(100_000, 1e6), model))
    world.run(SETTLE_S)
    return world


def run_cell(cell: Cell) -> Row:
    """Run one cell and return its figures."""
    world = build(cell)
    _vary_speeds(world, random.Random(f"{cell.seed}-speeds"), cell.policy)
    begin_s = world.now_s
    counted: list[tuple[str, Prompt]] = []
    for prompt in _arrivals(cell, random.Random(f"{cell.seed}-arrivals")):
        world.run(max(0.0, begin_s + prompt.at_s - world.now_s))
        request_id = world.request(
            f"entry-{prompt.entry}", "model", f"key-{prompt.workspace}",
            tokens=prompt.tokens, out_tokens=prompt.out_tokens,
        )  # fmt: skip
        if prompt.at_s >= WARMUP_S:
            counted.append((request_id, prompt))
    world.run(DEADLINE_S)
    return _figures(world, counted)


def _figures(world: World, counted: list[tuple[str, Prompt]]) -> Row:
    times_s: list[float] = []
    in_time: dict[str, list[bool]] = {}
    refused = 0
    for request_id, prompt in counted:
        outcomes = world.outcomes[request_id]
        first_s = outcomes[0].first_token_s if outcomes else None
        if first_s is None:
            refused += 1
        else:
            times_s.append(first_s)
        met = first_s is not None and first_s <= prompt.kind.objective_s
        for group in ("all", prompt.kind.name, f"workspace {prompt.workspace}"):
            in_time.setdefault(group, []).append(met)
    times_s.sort()
    shares = {group: sum(items) / len(items) for group, items in in_time.items()}
    return Row(
        sum(times_s) / len(times_s),
        times_s[int(0.99 * (len(times_s) - 1))],
        shares["all"],
        min(shares[kind.name] for kind in KINDS),
        min(
            share
            for group, share in shares.items()
            if group.startswith("workspace") and len(in_time[group]) >= MIN_REQUESTS
        ),
        refused / len(counted),
    )


def main() -> int:
    """Run all policies on all seeds and print a table of the means over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=65)
    parser.add_argument("--runners", type=int, default=35)
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--requests", type=int, default=4_000)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--policies", nargs="+", default=POLICIES)
    parser.add_argument("--processes", type=int, default=3)
    options = parser.parse_args()
    cells = [
        Cell(name, options.entries, options.runners, options.load, options.requests, seed)
        for name in options.policies
        for seed in options.seeds
    ]
    with ProcessPoolExecutor(options.processes) as pool:
        rows = dict(zip(cells, pool.map(run_cell, cells), strict=True))
    print("| policy | mean s | p99 s | in time | worst kind | worst workspace | refused |")
    print("|---|---|---|---|---|---|---|")
    for name in options.policies:
        found = [row for cell, row in rows.items() if cell.policy == name]
        means = [sum(values) / len(found) for values in zip(*found, strict=True)]
        print(f"| {name} | " + " | ".join(f"{value:.3f}" for value in means) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
