"""Chooses the target of a call by its expected cost there.

The cost of a prompt adds up what delays its response (queued prefill, blocks to prefill, blocks to
fetch), the tokens that are recomputed, and the load on the target's memory.

Load patterns handled:

- Many prompts share a prefix.  They go to the runner that holds the prefix until waiting there
  costs more than moving the prefix.
- A runner has a much longer queue than the others.
- A target's VM becomes slow for a moment or for minutes, and the target reports it.
- Entries decide on the same stale data.  Reports from peers count less with their age, and a
  preferred runner, chosen by rendezvous hashing, keeps the entries from all moving to the same
  runner at once.
- A prefix is not in any cache store any more.  It is recomputed once, by the preferred runner, and
  not once by each runner.

Where targets report their slowness (``RequestWork``), these are handled too:

- Large and small requests at once.  A target's outstanding work counts in seconds
  (``fleet.target_work``), and a request's own work by its estimate (``request.work_estimate``).
- 65 entries decide on the same late information.  The cheapest target would get the requests of
  all of them, so only a few random ones are compared (``request.drawn_targets``).
- An estimate is wrong by a factor of 4.  All targets get the same estimate, and it decides only
  among a few random ones.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from filbertstream.names import rank
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.cache_stores import CacheStores
from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import Prompt
from filbertstream.request.drawn_targets import DRAWN, draw_calls, draw_prompts
from filbertstream.request.load_shedding import Headroom
from filbertstream.request.work_estimate import WorkEstimate
from filbertstream.version.routes import Engine

FETCH_TIME_FRACTION: Final = 0.2
"""Time to fetch a token from another holder, as a fraction of the time to prefill it."""

RECOMPUTE_COST_PER_TOKEN: Final = 1e-4
"""Cost of a recomputed token, in units of waiting for one latency objective."""

FETCH_COST_PER_TOKEN: Final = 1e-5
"""Cost of a fetched token, in the same unit."""

NOT_PREFERRED_COST: Final = 0.05
"""Cost of a runner other than the preferred one; decides if nothing else differs."""

NOT_PREFERRED_COST_PER_TOKEN: Final = 4e-4
"""Cost of a shared token that a runner other than the preferred one must prefill, in addition to
the time, since the preferred runner may have prefilled it for another entry.  The value is from the
routing bench with a dead cache store, where 1e-4 led to a fifth more prefilled tokens."""

REMOTE_COST: Final = 0.1
"""Cost of a service's target in another data center; equals that of a tenth of its slots in use."""

REMOTE_PROMPT_COST: Final = 0.005
"""Cost of a runner in another data center; it only decides between otherwise equal runners."""

BUSY_COST: Final = 0.5
"""Cost of a target with all slots in use, in proportion to the slots that are in use."""

MEMORY_COST: Final = 2.0
"""Cost of memory use beyond ``MEMORY_TARGET_FRACTION``, per unit of that fraction."""

MEMORY_TARGET_FRACTION: Final = 0.85
"""The fraction of a runner's memory that running requests should not exceed."""

OLD_WEIGHTS_COST: Final = 0.2
"""Cost of a runner whose weights are older than the named version."""


class RequestWork(NamedTuple):
    """The expected work of a request; ``draw`` seeds the random draw of ``drawn`` targets."""

    estimate: WorkEstimate
    draw: str
    drawn: int = DRAWN


class PlacementRequest(NamedTuple):
    """A prompt to be placed, with the objective and the bounds that apply to it."""

    prompt: Prompt
    engine: Engine
    objective_s: float
    data_center: str
    named_weights: int | None
    namespaces: Mapping[int, str]
    """Cache namespace by weight version."""
    round_robin_index: int
    """Counts the entry's prompts without blocks, which are placed round-robin."""
    headroom: Headroom
    """The queue and memory bounds of a runner at which the prompt is admitted."""
    work: RequestWork | None = None
    """Only if runners report their slowness."""


class CacheView(NamedTuple):
    """The observed cache contents: the holders of each block, and the cache stores."""

    blocks: CacheIndex
    stores: CacheStores


class CacheSource(NamedTuple):
    """The holder to fetch a block from.

    ``tokens`` is the size of the complete block in a cache store, or 0 if the holder is a runner,
    which may have only a part of the block.
    """

    holder: str
    tokens: int


class Placement(NamedTuple):
    """A runner with the expected cost of a prompt there.

    ``fetch`` contains the source of each block, or None if the block is not fetched.
    """

    target: RosterTarget
    weights: int
    namespace: str
    cost: float
    first_event_s: float
    memory_fraction: float
    queue_s: float
    fits: bool
    prefill_tokens: int
    fetched_tokens: int
    fetch: tuple[CacheSource | None, ...]
    slot_s: float = 0.0
    runner_up: "Placement | None" = None


def place_prompt(
    request: PlacementRequest, targets: Sequence[RosterTarget], cache_view: CacheView, now_s: float
) -> Placement | None:
    """Return the cheapest placement, or None if there is no target.

    A runner that could not admit the prompt is chosen only if none could.
    """
    if not targets:
        return None
    preferred_target = preferred_runner(request, targets)
    options = [
        estimate(request, target, cache_view, target is preferred_target, now_s)
        for target in targets
    ]
    if request.work is not None:
        return _cheapest_drawn(request, options, preferred_target, request.work)
    return min(options, key=_order)


def _order(option: Placement) -> tuple[bool, float]:
    return (not option.fits, option.cost)


def _cheapest_drawn(
    request: PlacementRequest,
    options: Sequence[Placement],
    preferred: RosterTarget,
    work: RequestWork,
) -> Placement:
    """Return the cheapest of a few options, with the next one as its runner-up.

    These are a few random ones, and for a prompt with blocks the preferred runner and a few random
    ones of those that have the least to prefill and fetch.
    """
    fitting = [option for option in options if option.fits] or options
    compared = _drawn(fitting, work)
    if request.prompt.blocks:
        least = min(map(_prefill_work, fitting))
        warm = [option for option in fitting if _prefill_work(option) == least]
        if len(warm) < len(fitting):
            compared |= _drawn(warm, work)
        compared |= {
            option.target.target_id: option for option in fitting if option.target is preferred
        }
    best, *others = sorted(compared.values(), key=_order)
    return best._replace(runner_up=others[0] if others else None)


def _drawn(options: Sequence[Placement], work: RequestWork) -> dict[str, Placement]:
    names = [option.target.target_id for option in options]
    drawn = draw_prompts(names, work.draw, work.drawn)
    return {names[index]: options[index] for index in drawn}


def _prefill_work(option: Placement) -> float:
    return option.prefill_tokens + FETCH_TIME_FRACTION * option.fetched_tokens


def affinity_block_id(request: PlacementRequest) -> str | None:
    """Return the id of the block that determines the preferred runner: the largest shared block.

    Of equally large blocks it is the first, which stays the same while a conversation grows.
    """
    shared = request.prompt.blocks[:-1] or request.prompt.blocks
    return max(shared, key=lambda block: block.tokens).block_id if shared else None


def preferred_runner(request: PlacementRequest, targets: Sequence[RosterTarget]) -> RosterTarget:
    """Return the preferred runner, by rendezvous hashing of the prompt's largest shared block.

    Prompts without blocks get the runners round-robin.
    """
    block_id = affinity_block_id(request)
    if block_id is None:
        return targets[request.round_robin_index % len(targets)]
    return max(targets, key=lambda target: rank(target.target_id, block_id))


def estimate(
    request: PlacementRequest,
    target: RosterTarget,
    cache_view: CacheView,
    is_preferred: bool,
    now_s: float,
) -> Placement:
    """Return the placement of a prompt at a target, with its expected cost."""
    model = request.prompt.model
    weights = target.weights.get(model, 0)
    namespace = request.namespaces.get(weights, "")
    fetch, fetched, held = _sources(request, target, namespace, cache_view, now_s)
    prefill = max(1, request.prompt.tokens - held - fetched)
    rate = target.prefill.rate_per_s / target.slowness(now_s)
    work = prefill + FETCH_TIME_FRACTION * fetched
    queue_s = target.queued_tokens(now_s) / rate
    first_event_s = queue_s + work / rate
    cost = (target.weighted_queued_tokens(now_s) + work) / rate / request.objective_s
    cost += RECOMPUTE_COST_PER_TOKEN * prefill + FETCH_COST_PER_TOKEN * fetched
    cost += 0.0 if is_preferred else _not_preferred_cost(request, held, fetched, rate)
    cost += 0.0 if target.registration.data_center == request.data_center else REMOTE_PROMPT_COST
    slot_s = 0.0
    if request.work is None:
        cost += BUSY_COST * target.running(now_s) / max(1, request.engine.slots)
    else:
        outstanding = target.outstanding_work(True, request.engine.slots, now_s)
        slot_s = outstanding.slot_s
        first_event_s += outstanding.slot_wait_s
        decode_s = request.work.estimate.output_tokens * target.work.token_s
        decode_s *= target.slowness(now_s) / outstanding.slots
        cost += outstanding.slot_wait_s / request.objective_s
        cost += BUSY_COST * (slot_s + decode_s) / outstanding.full_s
    memory_fraction = _memory_fraction(request, target, now_s)
    cost += MEMORY_COST * max(0.0, memory_fraction - MEMORY_TARGET_FRACTION)
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
        prefill,
        fetched,
        fetch,
        slot_s,
    )


def _not_preferred_cost(request: PlacementRequest, held: int, fetched: int, rate: float) -> float:
    """Return the cost of a runner other than the preferred one.

    Peers send the shared blocks to the preferred runner too, so it is likely to hold more of them
    than this entry has observed.
    """
    not_held = max(0, sum(block.tokens for block in request.prompt.blocks[:-1]) - held)
    cost = NOT_PREFERRED_COST + not_held / rate / request.objective_s
    return cost + NOT_PREFERRED_COST_PER_TOKEN * max(0, not_held - fetched)


def _memory_fraction(request: PlacementRequest, target: RosterTarget, now_s: float) -> float:
    """Return the fraction of a runner's memory that running requests and this prompt would fill."""
    added = request.prompt.tokens + request.prompt.max_new_tokens
    return (target.memory(now_s) + added) / max(1, request.engine.cache_tokens)


def _sources(
    request: PlacementRequest,
    target: RosterTarget,
    namespace: str,
    cache_view: CacheView,
    now_s: float,
) -> tuple[tuple[CacheSource | None, ...], int, int]:
    """Return the source of each block, the tokens to fetch, and the tokens held by the target.

    A block in a cache store gets that store as its source even if the target appears to hold it.
    The target fetches only what it lacks, and it may have evicted the block in the meantime.
    """
    fetch: list[CacheSource | None] = []
    fetched = held = 0
    chain_ends = False
    for block in request.prompt.blocks:
        key = (namespace, block.block_id)
        holders = cache_view.blocks.holders(key)
        if chain_ends or not holders:
            # A block is usable only if all blocks before it are available.
            chain_ends = True
            fetch.append(None)
            continue
        data_center = target.registration.data_center
        store = cache_view.stores.source(key, block.tokens, data_center, now_s)
        source = None if store is None else CacheSource(store, block.tokens)
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
) -> CacheSource | None:
    runners = [
        name
        for name in holders
        if name not in cache_view.stores.states and name != target.target_id
    ]
    if not runners:
        return None
    return CacheSource(max(runners, key=lambda name: (holders[name], name)), 0)


def place_service_call(
    targets: Sequence[RosterTarget],
    data_center: str,
    objective_s: float,
    now_s: float,
    work: RequestWork | None = None,
) -> RosterTarget | None:
    """Return the target for a call that is no prompt, by load, latency and data center.

    With ``work`` it is the one of a few random targets where the call is expected to end first.
    """
    if work is not None:
        options = compare_service_calls(targets, data_center, now_s, work)
        return options[0].target if options else None

    def cost(target: RosterTarget) -> tuple[float, str]:
        busy = target.running(now_s) / max(1, target.registration.slots)
        remote = 0.0 if target.registration.data_center == data_center else REMOTE_COST
        latency_s = target.latency_s * target.slowness(now_s)
        return (busy + remote + latency_s / objective_s, target.target_id)

    return min(targets, key=cost) if targets else None


class CallOption(NamedTuple):
    """A target of a call that is no prompt, with the time in which the call should end there."""

    end_s: float
    target: RosterTarget


def compare_service_calls(
    targets: Sequence[RosterTarget], data_center: str, now_s: float, work: RequestWork
) -> list[CallOption]:
    """Return a few random targets, the one where the call is expected to end first at the front."""
    names = [target.target_id for target in targets]
    local = [target.registration.data_center == data_center for target in targets]
    drawn = [targets[index] for index in draw_calls(names, local, work.draw, work.drawn)]
    options = [CallOption(call_end_s(item, data_center, work, now_s), item) for item in drawn]
    return sorted(options, key=lambda option: option.end_s)


def call_end_s(target: RosterTarget, data_center: str, work: RequestWork, now_s: float) -> float:
    """Return the time in which a call that is no prompt is expected to end at a target.

    Calls in another data center count as if they took a tenth longer (``REMOTE_COST``).  The work
    of others counts also while slots are free, since they share the target's cores.
    """
    outstanding = target.outstanding_work(False, target.registration.slots, now_s)
    factor = target.work.duration_factor * target.slowness(now_s)
    remote = 0.0 if target.registration.data_center == data_center else REMOTE_COST
    service_s = work.estimate.service_s * factor * (1.0 + remote)
    return service_s + outstanding.slot_s + outstanding.slot_wait_s
