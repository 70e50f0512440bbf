"""Places a prompt on a runner or rejects it: candidates, cost, admission and cache directives.

The only side effect is on the cache index, which records that the runner will hold the blocks of
the prompts that are sent to it.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from filbertstream.actions import LogFields
from filbertstream.process.roster import Roster, RosterTarget
from filbertstream.request.block_sources import CacheSource, CacheView
from filbertstream.request.call import CacheDirectives, Prompt
from filbertstream.request.call_state import Call
from filbertstream.request.candidates import Candidates
from filbertstream.request.fair_admission import FairAdmission
from filbertstream.request.load_shedding import Headroom, headroom, retry_after_s
from filbertstream.request.placement import Placement, PlacementRequest, place_prompt, shortlist
from filbertstream.request.regions import Regions, allowed_regions
from filbertstream.request.work_accounting import WorkAccounting, work_fields
from filbertstream.version.cache_owners import CacheOwners
from filbertstream.version.routes import Engine
from filbertstream.version.weights_view import UNKNOWN_WEIGHTS, WeightsView, cache_namespace


class Placed(NamedTuple):
    """The runner of a prompt; ``inputs`` are the logged inputs of the choice."""

    target: RosterTarget
    directives: CacheDirectives
    prefill_tokens: int
    ahead_tokens: int
    inputs: LogFields


class Rejection(NamedTuple):
    """A call that no target can take: when to retry, if that can help, and the logged inputs.

    ``code`` is the error code if the reason is not the usual one.
    """

    retry_after_s: float | None
    inputs: LogFields
    code: str = ""


PlacementPolicy = Callable[
    [PlacementRequest, Sequence[RosterTarget], CacheView, float], Placement | None
]


class PromptPlacer:
    """Places prompts.

    ``choose`` is the placement policy; benchmarks replace it to compare policies.  With ``fair``
    scarce capacity is shared fairly, else prompts are rejected by load shedding only.
    """

    def __init__(
        self,
        data_center: str,
        roster: Roster,
        cache_view: CacheView,
        weights: WeightsView,
        cache_owners: CacheOwners,
        rng: random.Random,
        regions: Regions,
        work: WorkAccounting,
        fair: FairAdmission | None = None,
    ) -> None:
        self._data_center = data_center
        self._roster = roster
        self._cache_view = cache_view
        self._weights = weights
        self._cache_owners = cache_owners
        self._regions = regions
        self.choose: PlacementPolicy = place_prompt
        self._candidates = Candidates(rng)
        self._work = work
        self._fair = fair
        self._round_robin_index = 0

    def shortlist(
        self, call: Call, engine: Engine, candidates: list[RosterTarget], now_s: float
    ) -> list[RosterTarget]:
        """Return the runners whose load decides on a prompt; empty if they don't report it."""
        prompt = call.head.prompt
        targets = [] if prompt is None else self._eligible(prompt, candidates, now_s)
        if prompt is None or not self._work.in_effect(targets):
            return []
        limits = headroom(call.route.queue_limit_s, call.urgency)
        request = self._request(call, prompt, engine, targets, limits, now_s)
        registered = self._roster.names_of(call.service.name)
        compared = self._candidates.choose(request, targets, registered, self._cache_view.blocks)
        return shortlist(request, compared, self._cache_view, now_s)

    def _eligible(
        self, prompt: Prompt, candidates: list[RosterTarget], now_s: float
    ) -> list[RosterTarget]:
        return self._weights.eligible_targets(prompt.model, candidates, now_s)

    def place(
        self,
        call: Call,
        engine: Engine,
        candidates: list[RosterTarget],
        now_s: float,
        answered: frozenset[str] = frozenset(),
    ) -> Placed | Rejection | None:
        """Return the runner of a prompt, its rejection, or None if there is no runner.

        If ``answered`` names runners that have just reported their load, one of these is chosen.
        """
        prompt = call.head.prompt
        if prompt is None:
            raise AssertionError("the call to be placed has no prompt")
        self._round_robin_index += 0 if prompt.blocks else 1
        targets = self._eligible(prompt, candidates, now_s)
        limits = headroom(call.route.queue_limit_s, call.urgency)
        request = self._request(call, prompt, engine, targets, limits, now_s)
        registered = self._roster.names_of(call.service.name)
        compared = self._candidates.choose(request, targets, registered, self._cache_view.blocks)
        fresh = [target for target in targets if target.target_id in answered]
        if fresh and request.work is not None:
            request = request._replace(work=request.work._replace(draw=None))
            compared = fresh
        placement = self.choose(request, compared, self._cache_view, now_s)
        if placement is None:
            return None
        wait_s = retry_after_s(placement.queue_s, placement.memory_fraction, limits)
        decided: LogFields = ()
        if self._fair is not None and not call.response_started:
            decision = self._fair.decide(call, engine, placement, compared, targets, limits, now_s)
            if decision is not None:
                wait_s, decided = decision.verdict.retry_after_s, decision.log_fields
                if decision.free:
                    free = self._candidates.choose(
                        request, decision.free, registered, self._cache_view.blocks
                    )
                    placement = self.choose(request, free, self._cache_view, now_s) or placement
        ahead = placement.target.queued_tokens(now_s)
        inputs = (
            *_inputs(placement, len(targets)),
            ("namespace", placement.namespace),
            ("config", self._cache_owners.config_number),
            *work_fields(call, placement, now_s),
            *decided,
        )
        if wait_s is not None and not call.response_started:
            return Rejection(wait_s, inputs)
        directives = self._directives(prompt, placement, request.barred_sources, now_s)
        self._note_cached(prompt, placement)
        return Placed(placement.target, directives, placement.prefill_tokens, ahead, inputs)

    def directives_without_placement(self, call: Call, now_s: float) -> CacheDirectives | None:
        """Return the directives of a call without a readable prompt or to a service without engine.

        Its runner may cache blocks all the same.  Those without a namespace are shared by all.
        Returns None for a call that can have no blocks.
        """
        prompt = call.head.prompt
        if prompt is None and call.service.engine is None:
            return None
        owner = self._cache_owners.owner_of(call.workspace, now_s)
        model = "" if prompt is None else prompt.model
        return CacheDirectives(cache_namespace(owner, model, UNKNOWN_WEIGHTS), None)

    def _request(
        self,
        call: Call,
        prompt: Prompt,
        engine: Engine,
        targets: list[RosterTarget],
        limits: Headroom,
        now_s: float,
    ) -> PlacementRequest:
        owner = self._cache_owners.owner_of(call.workspace, now_s)
        versions = {target.weights.get(prompt.model, 0) for target in targets}
        return PlacementRequest(
            prompt,
            engine,
            call.route.objective_s,
            self._data_center,
            self._weights.named.get(prompt.model),
            {version: cache_namespace(owner, prompt.model, version) for version in versions},
            self._round_robin_index,
            limits,
            self._barred_sources(call),
            self._work.expect(call, targets),
        )

    def _barred_sources(self, call: Call) -> frozenset[str]:
        """Return the runners and cache stores from which nothing is fetched for a call.

        Cache stores run no requests, so an evacuation does not bar them.
        """
        evacuations, allowed = self._roster.evacuations, allowed_regions(call)
        if not allowed and not evacuations.data_centers:
            return frozenset()
        runners = {
            target.target_id: target.registration.data_center
            for target in self._roster.targets.values()
        }
        states = self._cache_view.stores.states
        stores = {name: state.spec.data_center for name, state in states.items()}
        evacuated = {name for name, center in runners.items() if evacuations.is_evacuated(center)}
        return frozenset(evacuated) | {
            name
            for name, center in (runners | stores).items()
            if not self._regions.allows(allowed, center)
        }

    def _directives(
        self, prompt: Prompt, placement: Placement, barred: frozenset[str], now_s: float
    ) -> CacheDirectives:
        from_stores = self._weights.may_fetch(prompt.model, placement.weights, now_s)
        # A runner whose weights are swapped during the prefill would save blocks that two versions
        # have computed.
        replaced = self._weights.is_replaced(prompt.model, placement.weights)
        from_a_store = [
            (placement.namespace, block.block_id)
            for block, source in zip(prompt.blocks, placement.fetch, strict=True)
            if source is not None and source.tokens
        ]
        return CacheDirectives(
            placement.namespace,
            placement.weights or None,
            tuple(self._address_of(source, from_stores) for source in placement.fetch),
            () if replaced else self._saves(prompt, placement.namespace, barred, now_s),
            self._cache_view.stores.fetch_until_ms(from_a_store, now_s),
        )

    def _saves(
        self, prompt: Prompt, namespace: str, barred: frozenset[str], now_s: float
    ) -> tuple[str, ...]:
        """Return for each block the cache store to save it to.

        The last block is never saved, since only this call has it.  Stores outside the allowed
        regions get none.
        """
        stores = self._cache_view.stores
        found = []
        for block in prompt.blocks[:-1]:
            store = stores.save_to((namespace, block.block_id), block.tokens, now_s, barred)
            found.append("" if store is None else stores.address(store))
        return (*found, "") if found else ()

    def _address_of(self, source: CacheSource | None, from_stores: bool) -> str:
        """Return the address from which a runner fetches a block, or an empty string.

        For a cache store the size of the block in tokens is appended.
        """
        if source is None or (source.tokens and not from_stores):
            return ""
        if source.tokens:
            return f"{self._cache_view.stores.address(source.holder)}/{source.tokens}"
        target = self._roster.targets.get(source.holder)
        return "" if target is None else str(target.registration.address)

    def _note_cached(self, prompt: Prompt, placement: Placement) -> None:
        for block in prompt.blocks[:-1]:
            key = (placement.namespace, block.block_id)
            self._cache_view.blocks.add(placement.target.target_id, key, block.tokens)


def _inputs(placement: Placement, candidates: int) -> LogFields:
    return (
        ("queue_s", round(placement.queue_s, 3)),
        ("expected_s", round(placement.first_event_s, 3)),
        ("read_tokens", placement.prefill_tokens),
        ("fetched_tokens", placement.fetched_tokens),
        ("weights", placement.weights),
        ("memory_share", round(placement.memory_fraction, 2)),
        ("candidates", candidates),
        ("cost", round(placement.cost, 3)),
    )
