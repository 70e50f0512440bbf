"""Routing in virtual time: the product's policy against baselines, under load and faults.

    python -m bench.routing [--requests 3000] [--write docs/MEASUREMENTS.md] [--plots docs/plots]

Every cell replays the same seeded requests.  Times are virtual, so the figures don't depend on the
machine.  ``oracle`` sees the true state of all runners, caches and stores at once.
"""

import argparse
import itertools
import random
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Final, NamedTuple

from bench.fakes import PREFILL_TOKENS_PER_S
from bench.workload import DEPLOYMENTS, Arrival, Deployment, arrivals, conversations
from bench.world import SECRET, World
from filbertstream.names import digest_key
from filbertstream.process.directory import Directory
from filbertstream.request.prefix import piece_names
from filbertstream.request.routing import POLICIES, Ask, Candidate, Decision, usable_runners
from filbertstream.units import KV_BYTES_PER_TOKEN, PIECE_TOKENS
from filbertstream.version.documents import (
    Change,
    Limits,
    Model,
    Objectives,
    Service,
    Template,
    Workspace,
)

SEED: Final = 7
WORKSPACES: Final = 10
WARM_SHARE: Final = 0.3
"""The first requests fill caches and are not counted."""

WARM_SLOWER: Final = 4.0
"""The first requests come this many times slower, so that rates are learned without a flood."""

WARM_REST_S: Final = 3.0

LISTED_S: Final = 12.0
DEADLINE_S: Final = 20.0
OBJECTIVE_S: Final = 0.36
POLICY_NAMES: Final = ("cost", "round_robin", "least_load", "prefix_affinity", "oracle")
LOADS: Final = (0.5, 0.8, 1.0, 1.5)


class Row(NamedTuple):
    """The figures of one cell."""

    deployment: str
    load: float
    fault: str
    policy: str
    requests: int
    answered: int
    refused: int
    p50_s: float
    p95_s: float
    recomputed_share: float
    link_busy_s: float
    retries: int
    in_time: int


class Cell(NamedTuple):
    """One run."""

    deployment: str
    load: float
    fault: str
    policy: str
    requests: int
    seed: int


Fault = Callable[[World], None]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault that is brought about after the warm-up."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


@fault("calm")
def _calm(world: World) -> None:
    """Change nothing."""


@fault("store dead")
def _store_dead(world: World) -> None:
    world.stores["store-1"].dead = True


@fault("link slow")
def _link_slow(world: World) -> None:
    world.stores["store-1"].link_bytes_per_s /= 10


@fault("runner swapped")
def _swapped(world: World) -> None:
    world.runners["runner-1"].cache.clear()
    world.runners["runner-1"].weight_version = "v0"
    world.after(30.0, lambda: setattr(world.runners["runner-1"], "weight_version", "v1"))


@fault("entries killed")
def _killed(world: World) -> None:
    world.kill("entry-2")
    world.kill("entry-5")


@fault("reports late")
def _late(world: World) -> None:
    for runner in world.runners.values():
        runner.load_lag_s = 2.0


@fault("events lost")
def _lost(world: World) -> None:
    for runner in world.runners.values():
        runner.lose_events = True


@fault("platform out")
def _out(world: World) -> None:
    world.platform.down = True


class Oracle:
    """Knows the true state of everything at the moment of the decision."""

    def __init__(self, world: World) -> None:
        self._world = world

    def __call__(
        self, ask: Ask, directory: Directory, now_s: float, rng: random.Random
    ) -> Decision | None:
        """Return the runner with the lowest true cost under the template's weights."""
        targets = usable_runners(ask, directory, directory.runners(ask.model), now_s)
        candidates = [self._price(ask, target.name, now_s) for target in targets]
        if not candidates:
            return None
        candidates.sort(key=lambda candidate: (candidate.cost, candidate.target))
        best = candidates[0]
        return Decision(best, tuple(candidates), best.store, best.import_pieces[1])

    def _price(self, ask: Ask, name: str, now_s: float) -> Candidate:
        runner = self._world.runners[name]
        have = _leading(ask.names, runner.cache)
        wait_s = max(0.0, runner.free_s - now_s)
        best = self._candidate(ask, name, wait_s, have, have, 0.0, "")
        for store_name, store in self._world.stores.items():
            depth = 0 if store.dead else _leading(ask.names, store.pieces)
            if depth > have:
                moved = (depth - have) * PIECE_TOKENS * KV_BYTES_PER_TOKEN
                import_s = max(0.0, store.link_free_s - now_s) + moved / store.link_bytes_per_s
                other = self._candidate(ask, name, wait_s, have, depth, import_s, store_name)
                best = min(best, other, key=lambda candidate: candidate.cost)
        return best

    def _candidate(
        self,
        ask: Ask,
        name: str,
        wait_s: float,
        have: int,
        depth: int,
        import_s: float,
        store: str,
    ) -> Candidate:
        tokens = max(0, ask.prompt_tokens - depth * PIECE_TOKENS)
        compute_s = tokens / PREFILL_TOKENS_PER_S
        first_s = max(wait_s, import_s) + compute_s
        weights = ask.weights
        cost = weights.first_token * first_s + weights.recompute * compute_s
        cost += weights.link * import_s
        return Candidate(name, wait_s, tokens, (have, depth), import_s, store, first_s, cost)


def _leading(names: Iterable[str], present: Iterable[str]) -> int:
    held = present if isinstance(present, dict) else set(present)
    return sum(1 for _ in itertools.takewhile(lambda name: name in held, names))


def _documents(deployment: Deployment) -> list[Change]:
    template = Template(
        "template",
        "t",
        ("m",),
        {},
        ("s",),
        limits=Limits(100_000, 1e6),
        objectives=Objectives(OBJECTIVE_S, 0.027, DEADLINE_S, 0.95),
        weights=deployment.weights,
    )
    documents: list[Change] = [
        Model("model", "m", "v1"),
        Service("service", "s", ("POST",)),
        template,
    ]
    for number in range(WORKSPACES):
        key = digest_key(f"key-{number}")
        documents.append(Workspace("workspace", f"w{number}", "t", keys=(key,)))
    return documents


def build(deployment: Deployment, policy: str, seed: int) -> World:
    """Return a ready world in the deployment's shape."""
    world = World(seed, policy=policy)
    if policy == "oracle":
        POLICIES["oracle"] = Oracle(world)
    centers = [f"dc{number}" for number in range(1, deployment.data_centers + 1)]
    for number in range(deployment.entries):
        world.add_entry(f"entry-{number + 1}", centers[number % len(centers)])
    for number in range(deployment.runners):
        world.add_runner(f"runner-{number + 1}", "m", centers[number % len(centers)])
    for number in range(deployment.services):
        world.add_service(f"service-{number + 1}", "s", centers[number % len(centers)])
    for number in range(2):
        world.add_store(f"store-{number + 1}", centers[number])
    world.list_targets()
    world.run_until(lambda: all(core.governance.ready for core in world.cores.values()), 5.0)
    world.apply("entry-1", _documents(deployment))
    world.run(8.0)
    return world


def run_cell(cell: Cell) -> Row:
    """Run one cell and return its figures."""
    deployment = DEPLOYMENTS[cell.deployment]
    world = build(deployment, cell.policy, cell.seed)
    rate = cell.load * deployment.capacity_per_s
    _keep_conversations(world, deployment, cell.seed)
    rng = random.Random(cell.seed)
    plan = arrivals(deployment, rng, cell.requests, rate, PIECE_TOKENS)
    warm = int(WARM_SHARE * len(plan))
    chooser = random.Random(cell.seed + 1)
    for arrival in _paced(world, plan[:warm], WARM_SLOWER):
        _feed(world, chooser, arrival)
    world.run(WARM_REST_S)
    busy_s = sum(store.link_busy_s for store in world.stores.values())
    computed = sum(runner.computed_tokens for runner in world.runners.values())
    FAULTS[cell.fault](world)
    ids = [_feed(world, chooser, arrival) for arrival in _paced(world, plan[warm:], 1.0)]
    world.run(DEADLINE_S + 30.0)
    computed = sum(runner.computed_tokens for runner in world.runners.values()) - computed
    busy_s = sum(store.link_busy_s for store in world.stores.values()) - busy_s
    return _figures(world, cell, plan[warm:], ids, computed, busy_s)


def _keep_conversations(world: World, deployment: Deployment, seed: int) -> None:
    """Publish the cache of all conversations on the stores, and let the listings spread."""
    stores = list(world.stores.values())
    for talk in conversations(deployment, random.Random(seed)):
        workspace = f"w{talk.number % WORKSPACES}"
        names = piece_names(talk.pieces(PIECE_TOKENS), SECRET, workspace, "m", "v1")
        if names:
            stores[talk.number % len(stores)].publish(names, names[0])
    world.run(LISTED_S)


def _paced(world: World, plan: list[Arrival], slower: float) -> Iterable[Arrival]:
    """Yield arrivals at their times, counted from the first, that many times slower."""
    begin_s = world.now_s
    for arrival in plan:
        at_s = begin_s + slower * (arrival.at_s - plan[0].at_s)
        world.run(max(0.0, at_s - world.now_s))
        yield arrival


def _feed(world: World, chooser: random.Random, arrival: Arrival) -> str:
    """Put a request in through a random live entry, as the balancer does."""
    member = chooser.choice(sorted(world.cores))
    key = f"key-{arrival.workspace}"
    if arrival.service:
        return world.request(member, "service", key, idempotency_key=f"{world.now_s:.6f}")
    return world.request(
        member, "model", key, tokens=arrival.tokens, pieces=arrival.pieces,
        out_tokens=arrival.out_tokens,
    )  # fmt: skip


def _figures(
    world: World,
    cell: Cell,
    plan: list[Arrival],
    ids: list[str],
    computed: int,
    busy_s: float,
) -> Row:
    firsts = []
    answered = refused = in_time = 0
    for request_id, arrival in zip(ids, plan, strict=True):
        outcomes = world.outcomes[request_id]
        if outcomes and outcomes[0].kind == "answered":
            answered += 1
            if not arrival.service and outcomes[0].first_token_s is not None:
                firsts.append(outcomes[0].first_token_s)
                in_time += 1
        elif outcomes:
            refused += 1
    firsts.sort()
    total = sum(arrival.tokens for arrival in plan)
    needed = sum(arrival.new_tokens for arrival in plan)
    retries = sum(
        count
        for core in world.cores.values()
        for (name, _), count in core.counters.snapshot().items()
        if name == "retried"
    )
    return Row(
        cell.deployment,
        cell.load,
        cell.fault,
        cell.policy,
        len(ids),
        answered,
        refused,
        _percentile(firsts, 0.5),
        _percentile(firsts, 0.95),
        max(0, computed - needed) / total,
        busy_s,
        retries,
        in_time,
    )


def _percentile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("inf")


def cells(requests: int, seed: int) -> list[Cell]:
    """Return all cells: every load calm, and every fault at 0.8."""
    found = []
    for deployment in DEPLOYMENTS:
        for load in LOADS:
            found += [Cell(deployment, load, "calm", name, requests, seed) for name in POLICY_NAMES]
        for name in FAULTS:
            if name != "calm":
                found += [
                    Cell(deployment, 0.8, name, policy, requests, seed) for policy in POLICY_NAMES
                ]
    return found


def main() -> int:
    """Run all cells, print the table, and write it where asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=3_000)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--write", type=Path)
    parser.add_argument("--plots", type=Path)
    options = parser.parse_args()
    with ProcessPoolExecutor(4) as pool:
        rows = list(pool.map(run_cell, cells(options.requests, options.seed)))
    # Imported here, so that tests which run single cells don't load the plotting library.
    from bench.report import plot, table

    text = table(rows, options.requests, options.seed)
    print(text)
    if options.write is not None:
        options.write.write_text(text)
    if options.plots is not None:
        plot(rows, options.plots)
    return 0


if __name__ == "__main__":
    sys.exit(main())
