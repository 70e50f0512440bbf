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
from filbertstream.process.roster import RosterTarget
from filbertstream.request.block_sources import (
    CacheSource,
    CacheView,
    block_sources,
    from_preferred,
)
from filbertstream.request.call import Prompt
from filbertstream.request.drawn_targets import DRAWN, draw_prompts
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

SPREAD_COST_PER_TOKEN: Final = 3e-5
"""The same cost where prompts are placed by reported load: other runners fetch what the preferred
one holds, so only a block that nobody holds yet is prefilled once more for being elsewhere."""

REMOTE_PROMPT_COST: Final = 0.005
"""Cost of a runner in another data center; it only decides between otherwise equal runners."""

BUSY_COST: Final = 0.5
"""Cost of a target with all slots in use, in proportion to the slots that are in use."""

MEMORY_COST: Final = 2.0
"""Cost of memory use beyond ``MEMORY_TARGET_FRACTION``, per unit of that fraction."""

MEMORY_TARGET_FRACTION: Final = 0.85
"""The fraction of a runner's memory that running requests should not exceed."""

SHORTLISTED: Final = 3
"""How many targets are asked for their load before a prompt is placed."""

OLD_WEIGHTS_COST: Final = 0.2
"""Cost of a runner whose weights are older than the named version."""


class RequestWork(NamedTuple):
    """The expected work of a request.

    ``draw`` seeds the random draw of the ``drawn`` targets that are compared; None compares all.
    """

    estimate: WorkEstimate
    draw: str | None
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
    barred_sources: frozenset[str] = frozenset()
    """The runners and cache stores from which nothing may be fetched for this prompt."""
    work: RequestWork | None = None
    """Only if runners report their slowness."""


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
        estimate(request, target, cache_view, target is preferred_target, now_s, preferred_target)
        for target in targets
    ]
    if request.work is not None:
        return _cheapest_drawn(request, options, preferred_target, request.work)
    return min(options, key=_order)


def _order(option: Placement) -> tuple[bool, float]:
    return (not option.fits, option.cost)


def shortlist(
    request: PlacementRequest, targets: Sequence[RosterTarget], cache_view: CacheView, now_s: float
) -> list[RosterTarget]:
    """Return the few targets whose current load decides on a prompt.

    The preferred runner is one of them if it could admit the prompt.
    """
    if not targets or request.work is None:
        return []
    preferred = preferred_runner(request, targets)
    options = [
        estimate(request, target, cache_view, target is preferred, now_s, preferred)
        for target in targets
    ]
    compared = sorted(
        _compared(request, options, preferred, request.work).values(),
        key=lambda option: (option.target is not preferred, *_order(option)),
    )
    return [option.target for option in compared[:SHORTLISTED]]


def _cheapest_drawn(
    request: PlacementRequest,
    options: Sequence[Placement],
    preferred: RosterTarget,
    work: RequestWork,
) -> Placement:
    """Return the cheapest of a few options, with the next one as its runner-up."""
    if work.draw is None:
        compared = {option.target.target_id: option for option in options}
    else:
        compared = _compared(request, options, preferred, work)
    best, *others = sorted(compared.values(), key=_order)
    return best._replace(runner_up=others[0] if others else None)


def _compared(
    request: PlacementRequest,
    options: Sequence[Placement],
    preferred: RosterTarget,
    work: RequestWork,
) -> dict[str, Placement]:
    """Return the options that are compared, by target.

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
    return compared


def _drawn(options: Sequence[Placement], work: RequestWork) -> dict[str, Placement]:
    names = [option.target.target_id for option in options]
    drawn = draw_prompts(names, work.draw or "", work.drawn)
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
    preferred: RosterTarget | None = None,
) -> Placement:
    """Return the placement of a prompt at a target, with its expected cost.

    ``preferred`` is the runner from which another one fetches shared blocks.
    """
    model = request.prompt.model
    weights = target.weights.get(model, 0)
    namespace = request.namespaces.get(weights, "")
    fetch, fetched, held = block_sources(
        request.prompt, target, namespace, cache_view, request.barred_sources, now_s
    )
    if request.work is not None and preferred is not None and not is_preferred:
        fetch = from_preferred(request.prompt, fetch, preferred)
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
    if request.work is not None:
        return NOT_PREFERRED_COST + SPREAD_COST_PER_TOKEN * max(0, not_held - fetched)
    cost = NOT_PREFERRED_COST + not_held / rate / request.objective_s
    return cost + NOT_PREFERRED_COST_PER_TOKEN * max(0, not_held - fetched)


def _memory_fraction(request: PlacementRequest, target: RosterTarget, now_s: float) -> float:
    """Return the fraction of a runner's memory that running requests and this prompt would fill."""
    added = request.prompt.tokens + request.prompt.max_new_tokens
    return (target.memory(now_s) + added) / max(1, request.engine.cache_tokens)
