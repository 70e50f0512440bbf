"""Which runner serves a prompt: the lowest expected cost among a few candidates.

A decision looks at the runners that hold the prompt's cache, the runner that the prompt's first
piece prefers by rendezvous hash, and some drawn at random, never at all runners, so its time does
not grow with the fleet.  Policies are registered by name; ``cost`` is the product's, the others are
the baselines it is measured against in ``bench.routing``.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from filbertstream.messages import Holding
from filbertstream.names import rank
from filbertstream.process.directory import Directory, Target
from filbertstream.units import KV_BYTES_PER_TOKEN, PIECE_TOKENS
from filbertstream.version.documents import Weights

LOOK_AT_ALL: Final = 8
"""Up to this many runners, a decision looks at each."""

MOVE_FACTOR: Final = 200.0
"""How many times a piece is counted that a move would place on a further runner.

A prompt that leaves its runner takes memory on two, on this return and on all that follow.
"""

TIE_S: Final = 0.005
"""Costs within this of each other are equal, and the draw decides: entries that know the same old
facts would else all choose the same runner."""

SAMPLED_CANDIDATES: Final = 6
"""How many runners are drawn at random where there are too many to look at each."""

RANKED_CANDIDATES: Final = 16
"""A first piece prefers the highest rank among this many runners after its place on the ring."""

SAME_DATA_CENTER_S: Final = 0.0
OTHER_DATA_CENTER_S: Final = 0.001


class Ask(NamedTuple):
    """What a decision is taken on."""

    model: str
    weight_version: str
    prompt_tokens: int
    names: tuple[str, ...]
    holdings: tuple[Holding, ...]
    weights: Weights
    data_center: str
    excluded: frozenset[str]


class Candidate(NamedTuple):
    """A runner that was looked at, and what serving there is expected to cost, in seconds."""

    target: str
    wait_s: float
    recompute_tokens: int
    import_pieces: tuple[int, int]
    import_s: float
    store: str
    first_token_s: float
    cost: float


class Decision(NamedTuple):
    """The chosen runner, and all that were looked at, cheapest first.

    The runner is told that ``hint_store`` has the pieces which it is expected to have or to import:
    cache events are late and get lost, and a piece that is gone after all is then imported.
    """

    chosen: Candidate
    candidates: tuple[Candidate, ...]
    hint_store: str = ""
    hint_depth: int = 0


class Policy(Protocol):
    """Chooses among usable runners; None where there is none."""

    def __call__(
        self, ask: Ask, directory: Directory, now_s: float, rng: random.Random
    ) -> Decision | None:
        """Return the decision."""


POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a routing policy under a name."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


def usable_runners(ask: Ask, directory: Directory, names: list[str], now_s: float) -> list[Target]:
    """Return those of the named runners that may serve this request."""
    found = []
    for name in names:
        target = directory.usable(name, now_s)
        if target is None or name in ask.excluded:
            continue
        if target.weight_version in ("", ask.weight_version):
            found.append(target)
    return found


@policy("cost")
def by_cost(ask: Ask, directory: Directory, now_s: float, rng: random.Random) -> Decision | None:
    """Choose the lowest expected cost: wait, recompute or import, distance, and moving."""
    everyone = directory.runners(ask.model)
    names = _candidates(ask, everyone, rng)
    targets = usable_runners(ask, directory, names, now_s)
    if not targets and len(names) < len(everyone):
        targets = usable_runners(ask, directory, everyone, now_s)
    if not targets:
        return None
    depths = dict(ask.holdings)
    store = _deepest_store(ask, directory, depths, now_s)
    home = "".join(_preferred(ask, everyone))
    seen = [_estimate(ask, target, depths, store, home, now_s) for target in targets]
    seen.sort(key=lambda candidate: (candidate.cost // TIE_S, rng.random()))
    if store is None:
        return Decision(seen[0], tuple(seen))
    expected = min(store.depth, seen[0].import_pieces[1])
    return Decision(seen[0], tuple(seen), store.name, expected)


def _candidates(ask: Ask, everyone: list[str], rng: random.Random) -> list[str]:
    """Return the runners worth looking at: all while few, else holders, preferred and drawn."""
    if len(everyone) <= LOOK_AT_ALL:
        return everyone
    holders = [name for name, _ in ask.holdings]
    drawn = [everyone[rng.randrange(len(everyone))] for _ in range(SAMPLED_CANDIDATES)]
    names = [*holders, *_preferred(ask, everyone), *drawn]
    known = set(everyone) if len(everyone) <= RANKED_CANDIDATES else None
    unique = list(dict.fromkeys(names))
    return unique if known is None else [name for name in unique if name in known]


def _preferred(ask: Ask, everyone: list[str]) -> list[str]:
    """Return the runner that the first piece prefers, from a window of the sorted names."""
    if not ask.names:
        return []
    start = rank("", ask.names[0]) % len(everyone)
    window = [everyone[(start + step) % len(everyone)] for step in range(RANKED_CANDIDATES)]
    return [max(window, key=lambda name: rank(name, ask.names[0]))]


class _StoreView(NamedTuple):
    """The store that holds most of the chain."""

    name: str
    depth: int
    wait_s: float
    bytes_per_s: float


def _deepest_store(
    ask: Ask, directory: Directory, depths: dict[str, int], now_s: float
) -> _StoreView | None:
    best: _StoreView | None = None
    for name in directory.stores():
        target = directory.usable(name, now_s)
        depth = depths.get(name, 0)
        if target is None or depth == 0:
            continue
        wait_s = target.link.wait_s(now_s)
        view = _StoreView(name, depth, wait_s, target.link.rate_per_s)
        if best is None or (depth, -wait_s) > (best.depth, -best.wait_s):
            best = view
    return best


def _estimate(
    ask: Ask,
    target: Target,
    depths: dict[str, int],
    store: _StoreView | None,
    home: str,
    now_s: float,
) -> Candidate:
    """Return what serving on a runner is expected to cost."""
    wait_s = target.prefill.wait_s(now_s)
    have = min(depths.get(target.name, 0), len(ask.names))
    restore_s = PIECE_TOKENS / target.prefill.rate_per_s
    if store is not None:
        restore_s = min(restore_s, PIECE_TOKENS * KV_BYTES_PER_TOKEN / store.bytes_per_s)
    plain = _priced(ask, target, wait_s, have, have, 0.0, "", restore_s, home)
    if store is None or store.depth <= have:
        return plain
    moved_bytes = (store.depth - have) * PIECE_TOKENS * KV_BYTES_PER_TOKEN
    import_s = store.wait_s + moved_bytes / store.bytes_per_s
    imported = _priced(
        ask, target, wait_s, have, store.depth, import_s, store.name, restore_s, home
    )
    return min(plain, imported, key=lambda candidate: candidate.cost)


def _priced(
    ask: Ask,
    target: Target,
    wait_s: float,
    have: int,
    depth: int,
    import_s: float,
    store: str,
    restore_s: float,
    home: str,
) -> Candidate:
    """Return a candidate that starts from ``depth`` pieces, those after ``have`` imported.

    ``restore_s`` is what fetching or computing one piece takes; ``home`` is the runner that the
    prompt's pieces belong on.
    """
    recompute = max(0, ask.prompt_tokens - depth * PIECE_TOKENS)
    compute_s = recompute / target.prefill.rate_per_s
    near = target.listed.data_center == ask.data_center
    distance_s = SAME_DATA_CENTER_S if near else OTHER_DATA_CENTER_S
    # An import waits for the link while the runner works off its queue.
    first_token_s = max(wait_s, import_s) + compute_s + distance_s
    weights = ask.weights
    moved_pieces = 0 if target.name == home else len(ask.names) - have
    placed_s = MOVE_FACTOR * moved_pieces * restore_s
    cost = (
        weights.first_token * first_token_s
        + weights.recompute * compute_s
        + (weights.first_token + weights.recompute) * placed_s
        + weights.link * import_s
    )
    return Candidate(
        target.name, wait_s, recompute, (have, depth), import_s, store, first_token_s, cost
    )


def _flat(ask: Ask, directory: Directory, target: Target, now_s: float) -> Decision:
    """Return the decision of a policy that looks at one figure only.

    It is told of the same stores as ``by_cost``, so that only the choice of the runner differs.
    """
    store = _deepest_store(ask, directory, dict(ask.holdings), now_s)
    depth = 0 if store is None else store.depth
    tokens = max(0, ask.prompt_tokens - depth * PIECE_TOKENS)
    name = "" if store is None else store.name
    candidate = Candidate(target.name, 0.0, tokens, (0, depth), 0.0, name, 0.0, 0.0)
    return Decision(candidate, (candidate,), name, depth)


def _decide(
    ask: Ask, directory: Directory, now_s: float, key: Callable[[Target], float]
) -> Decision | None:
    """Return the usable runner with the lowest key."""
    targets = usable_runners(ask, directory, directory.runners(ask.model), now_s)
    if not targets:
        return None
    chosen = min(targets, key=lambda target: (key(target), target.name))
    return _flat(ask, directory, chosen, now_s)


@policy("round_robin")
def round_robin(
    ask: Ask, directory: Directory, now_s: float, rng: random.Random
) -> Decision | None:
    """Choose the runners in turn."""
    targets = usable_runners(ask, directory, directory.runners(ask.model), now_s)
    if not targets:
        return None
    turn = directory.next_turn(ask.model)
    return _flat(ask, directory, targets[turn % len(targets)], now_s)


@policy("least_load")
def least_load(ask: Ask, directory: Directory, now_s: float, rng: random.Random) -> Decision | None:
    """Choose the runner with the least work, by its report and what this entry has sent."""
    return _decide(ask, directory, now_s, lambda item: item.prefill.units(now_s) + item.running)


@policy("prefix_affinity")
def prefix_affinity(
    ask: Ask, directory: Directory, now_s: float, rng: random.Random
) -> Decision | None:
    """Choose by rendezvous hash of the prompt's first piece alone."""
    if not ask.names:
        return least_load(ask, directory, now_s, rng)
    return _decide(ask, directory, now_s, lambda item: -float(rank(item.name, ask.names[0])))
