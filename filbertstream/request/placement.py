"""Chooses the target of a call by the cost that it is expected to have there.

For a prompt the cost adds up what makes its caller wait (queued prefill, parts to read, parts to
fetch), what is recomputed, and what the target's memory has room for.  Load patterns answered: many
prompts with a shared prefix (they stay where the prefix is, until waiting there costs more than
moving the prefix); a runner that is far behind; entries that decide on the same old facts (what
they were told weighs less with its age, and a preferred runner by rendezvous rank keeps them from
all moving at once); prefixes that no store has any more (they are read once, at the preferred
runner, and not once by each).
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from filbertstream.names import rank
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.cache_stores import CacheStores
from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import Prompt
from filbertstream.request.load_shedding import Headroom
from filbertstream.version.routes import Engine

FETCH_SHARE: Final = 0.2
"""Time to fetch a token from another holder, as a share of the time to read it."""

RECOMPUTE_COST_PER_TOKEN: Final = 1e-4
"""Cost of a token that is read again, in objectives of waiting."""

FETCH_COST_PER_TOKEN: Final = 1e-5
"""Cost of a token that is moved, in objectives of waiting."""

AWAY_COST: Final = 0.05
"""Cost of a target other than the preferred one, where nothing else differs."""

AWAY_COST_PER_TOKEN: Final = 4e-4
"""Cost of a shared token that another target than the preferred one must read, beyond its time:
the preferred one may have read it for another entry.  From the routing bench with a dead store,
where 1e-4 reads a fifth more."""

FAR_COST: Final = 0.1
"""Cost of a plain target in another data center: a tenth of its slots taken weighs as much."""

FAR_PROMPT_COST: Final = 0.005
"""Cost of a runner in another data center: it only decides between runners that are else alike."""

BUSY_COST: Final = 0.5
"""Cost of a target all of whose slots are taken; less in proportion."""

MEMORY_COST: Final = 2.0
"""Cost of each time over that a prompt would overfill a runner's memory."""

MEMORY_AIM: Final = 0.85
"""The share of a runner's memory that running requests should stay within."""

OLD_WEIGHTS_COST: Final = 0.2
"""Cost of a runner whose weights are older than the named ones."""


class PlacementRequest(NamedTuple):
    """What a prompt is placed by."""

    prompt: Prompt
    engine: Engine
    objective_s: float
    data_center: str
    named_weights: int | None
    namespaces: Mapping[int, str]
    """Cache namespace by weight version."""
    turn: int
    """Counts the entry's prompts without parts, which are spread in turn."""
    headroom: Headroom
    """What the prompt may find at a runner and still be admitted."""


class CacheView(NamedTuple):
    """What is known of who holds which part."""

    blocks: CacheIndex
    stores: CacheStores


class Source(NamedTuple):
    """Where to fetch a part: a store's whole part of ``tokens``, or what a runner has (0)."""

    holder: str
    tokens: int


class Placement(NamedTuple):
    """A runner and what is expected there; ``fetch`` tells for each part where it comes from."""

    target: RosterTarget
    weights: int
    namespace: str
    cost: float
    first_event_s: float
    memory_fraction: float
    queue_s: float
    fits: bool
    read_tokens: int
    fetched_tokens: int
    fetch: tuple[Source | None, ...]


def place_prompt(
    request: PlacementRequest, targets: Sequence[RosterTarget], cache_view: CacheView, now_s: float
) -> Placement | None:
    """Return the cheapest placement, or None where there is no target.

    A runner that could not admit the prompt is chosen only where none could.
    """
    if not targets:
        return None
    home = preferred_runner(request, targets)
    options = [estimate(request, target, cache_view, target is home, now_s) for target in targets]
    return min(options, key=lambda option: (not option.fits, option.cost))


def preference(request: PlacementRequest) -> str | None:
    """Return the part by which a prompt prefers runners: its largest shared one.

    Of equal parts the first counts, which stays the same while a conversation grows.
    """
    shared = request.prompt.blocks[:-1] or request.prompt.blocks
    return max(shared, key=lambda block: block.tokens).block_id if shared else None


def preferred_runner(request: PlacementRequest, targets: Sequence[RosterTarget]) -> RosterTarget:
    """Return the preferred runner, by the rendezvous rank of the prompt's largest shared part."""
    subject = preference(request)
    if subject is None:
        return targets[request.turn % len(targets)]
    return max(targets, key=lambda target: rank(target.target_id, subject))


def estimate(
    request: PlacementRequest,
    target: RosterTarget,
    cache_view: CacheView,
    is_home: bool,
    now_s: float,
) -> Placement:
    """Return what is expected of a prompt at a target."""
    model = request.prompt.model
    weights = target.weights.get(model, 0)
    namespace = request.namespaces.get(weights, "")
    fetch, fetched, held = _sources(request, target, namespace, cache_view, now_s)
    read = max(1, request.prompt.tokens - held - fetched)
    rate = target.prefill.rate_per_s
    to_read = read + FETCH_SHARE * fetched
    queue_s = target.queued_tokens(now_s) / rate
    first_event_s = queue_s + to_read / rate
    cost = (target.weighted_queued_tokens(now_s) + to_read) / rate / request.objective_s
    cost += RECOMPUTE_COST_PER_TOKEN * read + FETCH_COST_PER_TOKEN * fetched
    cost += 0.0 if is_home else _away_cost(request, held, fetched, rate)
    cost += 0.0 if target.entry.data_center == request.data_center else FAR_PROMPT_COST
    running = target.running(now_s)
    cost += BUSY_COST * running / max(1, request.engine.slots)
    memory_fraction = _memory_share(request, target, now_s)
    cost += MEMORY_COST * max(0.0, memory_fraction - MEMORY_AIM)
    if request.named_weights is not None and weights < request.named_weights:
        cost += OLD_WEIGHTS_COST
    fits = (
        queue_s <= request.headroom.queue_s and memory_fraction <= request.headroom.memory_fraction
    )
    return Placement(
        target,
        weights,
        namespace,
        cost,
        first_event_s,
        memory_fraction,
        queue_s,
        fits,
        read,
        fetched,
        fetch,
    )


def _away_cost(request: PlacementRequest, held: int, fetched: int, rate: float) -> float:
    """Return the cost of another runner than the preferred one.

    Other entries send the shared parts to the preferred runner too, so it is likely to hold more of
    them than this entry knows.
    """
    unheld = max(0, sum(block.tokens for block in request.prompt.blocks[:-1]) - held)
    cost = AWAY_COST + unheld / rate / request.objective_s
    return cost + AWAY_COST_PER_TOKEN * max(0, unheld - fetched)


def _memory_share(request: PlacementRequest, target: RosterTarget, now_s: float) -> float:
    """Return the share of a runner's memory that running requests would fill with this one."""
    own = request.prompt.tokens + request.prompt.max_new_tokens
    return (target.memory(now_s) + own) / max(1, request.engine.cache_tokens)


def _sources(
    request: PlacementRequest,
    target: RosterTarget,
    namespace: str,
    cache_view: CacheView,
    now_s: float,
) -> tuple[tuple[Source | None, ...], int, int]:
    """Return where each part is fetched from, the tokens to fetch, and those at the target.

    A part on a store is asked for even where the target seems to have it: the target fetches only
    what it lacks, and its own cache may have been dropped meanwhile.
    """
    fetch: list[Source | None] = []
    fetched = held = 0
    chain_ends = False
    for block in request.prompt.blocks:
        key = (namespace, block.block_id)
        holders = cache_view.blocks.holders(key)
        if chain_ends or not holders:
            # A part counts only where all parts before it are at hand.
            chain_ends = True
            fetch.append(None)
            continue
        data_center = target.entry.data_center
        store = cache_view.stores.source(key, block.tokens, data_center, now_s)
        source = None if store is None else Source(store, block.tokens)
        if target.target_id in holders:
            held += min(block.tokens, holders[target.target_id])
        elif source is not None:
            fetched += block.tokens
        else:
            source = _runner_source(target, holders, cache_view)
            if source is None:
                chain_ends = True
            else:
                fetched += min(block.tokens, holders[source.holder])
        fetch.append(source)
    return tuple(fetch), fetched, held


def _runner_source(
    target: RosterTarget, holders: Mapping[str, int], cache_view: CacheView
) -> Source | None:
    runners = [
        name
        for name in holders
        if name not in cache_view.stores.states and name != target.target_id
    ]
    if not runners:
        return None
    return Source(max(runners, key=lambda name: (holders[name], name)), 0)


def place_plain(
    targets: Sequence[RosterTarget], data_center: str, objective_s: float, now_s: float
) -> RosterTarget | None:
    """Return the target of a plain service: little load, quick answers, near."""

    def cost(target: RosterTarget) -> tuple[float, str]:
        busy = target.running(now_s) / max(1, target.entry.slots)
        far = 0.0 if target.entry.data_center == data_center else FAR_COST
        return (busy + far + target.latency_s / objective_s, target.target_id)

    return min(targets, key=cost) if targets else None
