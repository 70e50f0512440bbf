"""Baselines of the routing bench: other policies to choose a runner, and an oracle.

All of them fetch and save cache as the product does; they differ only in the choice of the runner.
"""

from collections.abc import Callable, Sequence
from typing import Final

from bench.world import World
from filbertstream.names import rank
from filbertstream.process.roster import RosterTarget
from filbertstream.request.block_sources import CacheView
from filbertstream.request.placement import Placement, PlacementRequest, estimate
from filbertstream.request.prompt_placer import PlacementPolicy

POLICIES: Final[dict[str, Callable[[World], PlacementPolicy]]] = {}


def policy(
    name: str,
) -> Callable[[Callable[[World], PlacementPolicy]], Callable[[World], PlacementPolicy]]:
    """Register a function that creates a baseline policy for a world."""

    def register(make: Callable[[World], PlacementPolicy]) -> Callable[[World], PlacementPolicy]:
        POLICIES[name] = make
        return make

    return register


def _place_on(
    request: PlacementRequest, target: RosterTarget, cache_view: CacheView, now_s: float
) -> Placement:
    return estimate(request, target, cache_view, True, now_s)


@policy("round_robin")
def _round_robin(world: World) -> PlacementPolicy:
    turns = [0]

    def choose(
        request: PlacementRequest,
        targets: Sequence[RosterTarget],
        cache_view: CacheView,
        now_s: float,
    ) -> Placement | None:
        turns[0] += 1
        return (
            _place_on(request, targets[turns[0] % len(targets)], cache_view, now_s)
            if targets
            else None
        )

    return choose


@policy("least_load")
def _least_load(world: World) -> PlacementPolicy:
    def choose(
        request: PlacementRequest,
        targets: Sequence[RosterTarget],
        cache_view: CacheView,
        now_s: float,
    ) -> Placement | None:
        if not targets:
            return None
        best = min(targets, key=lambda target: (target.queued_tokens(now_s), target.running(now_s)))
        return _place_on(request, best, cache_view, now_s)

    return choose


@policy("prefix_affinity")
def _prefix_affinity(world: World) -> PlacementPolicy:
    def choose(
        request: PlacementRequest,
        targets: Sequence[RosterTarget],
        cache_view: CacheView,
        now_s: float,
    ) -> Placement | None:
        if not targets:
            return None
        blocks = request.prompt.blocks
        subject = blocks[0].block_id if blocks else f"{world.rng.random()}"
        best = max(targets, key=lambda target: rank(target.target_id, subject))
        return _place_on(request, best, cache_view, now_s)

    return choose


@policy("oracle")
def _oracle(world: World) -> PlacementPolicy:
    """Choose by the true queues, caches and cache stores at the time of the decision."""

    def first_token_s(request: PlacementRequest, target: RosterTarget, now_s: float) -> float:
        runner = world.targets[target.target_id]
        if runner.dead or now_s < runner.loading_until_s:
            return float("inf")
        namespace = request.namespaces.get(target.weights.get(request.prompt.model, 0), "")
        tokens, ready_s = request.prompt.tokens, 0.0
        fetched_tokens = dict.fromkeys(world.stores, 0)
        for block in request.prompt.blocks:
            key = (namespace, block.block_id)
            holders = [name for name, store in world.stores.items() if key in store.blocks]
            if key in runner.cache:
                tokens -= block.tokens
            elif holders and not world.stores[holders[0]].dead:
                tokens -= block.tokens
                fetched_tokens[holders[0]] += block.tokens
        for name, count in fetched_tokens.items():
            store = world.stores[name]
            wait_s = max(0.0, store.link_free_s - now_s) + count / store.tokens_per_s
            ready_s = max(ready_s, wait_s if count else 0.0)
        return max(ready_s, runner.prefill_free_s - now_s) + tokens / runner.prefill_tokens_per_s

    def choose(
        request: PlacementRequest,
        targets: Sequence[RosterTarget],
        cache_view: CacheView,
        now_s: float,
    ) -> Placement | None:
        if not targets:
            return None
        best = min(
            targets, key=lambda target: (first_token_s(request, target, now_s), target.target_id)
        )
        return _place_on(request, best, cache_view, now_s)

    return choose
