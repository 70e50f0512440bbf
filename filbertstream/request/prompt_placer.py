"""Decides on the runner of a prompt, or turns it away: candidates, cost, admission, cache orders.

Pure but for the hints that it leaves in the cache index: where a part was sent, it will be.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from filbertstream.process.roster import Roster, RosterTarget
from filbertstream.request.call import CacheDirectives, Prompt
from filbertstream.request.call_state import Call
from filbertstream.request.candidates import Candidates
from filbertstream.request.load_shedding import Headroom, headroom, retry_after_s
from filbertstream.request.placement import (
    CacheView,
    Placement,
    PlacementRequest,
    Source,
    place_prompt,
)
from filbertstream.version.routes import Engine
from filbertstream.version.weights_view import WeightsView, cache_namespace

LogFields = tuple[tuple[str, str | int | float], ...]


class Placed(NamedTuple):
    """The runner of a prompt; ``inputs`` are what the choice was made on."""

    target: RosterTarget
    directives: CacheDirectives
    read_tokens: int
    ahead_tokens: int
    inputs: LogFields


class TurnedAway(NamedTuple):
    """The prompt can't be answered in time; when it should come back."""

    retry_after_s: float
    inputs: LogFields


PlacementPolicy = Callable[
    [PlacementRequest, Sequence[RosterTarget], CacheView, float], Placement | None
]


class PromptPlacer:
    """Places prompts; ``choose`` picks the runner, and benches compare others with it."""

    def __init__(
        self,
        data_center: str,
        roster: Roster,
        cache_view: CacheView,
        weights: WeightsView,
        rng: random.Random,
    ) -> None:
        self._data_center = data_center
        self._roster = roster
        self._holdings = cache_view
        self._weights = weights
        self.choose: PlacementPolicy = place_prompt
        self._candidates = Candidates(rng)
        self._turn = 0

    def place(
        self, call: Call, engine: Engine, candidates: list[RosterTarget], now_s: float
    ) -> Placed | TurnedAway | None:
        """Return where a prompt goes, or that it is turned away; None without any runner."""
        prompt = call.head.prompt
        if prompt is None:
            raise AssertionError("a prompt was to be placed and there is none")
        self._turn += 0 if prompt.blocks else 1
        targets = self._weights.eligible_targets(prompt.model, candidates, now_s)
        limits = headroom(call.route.queue_limit_s, call.urgency)
        request = self._ask(call, prompt, engine, targets, limits)
        registered = self._roster.names_of(call.service.name)
        compared = self._candidates.choose(request, targets, registered, self._holdings.blocks)
        placement = self.choose(request, compared, self._holdings, now_s)
        if placement is None:
            return None
        ahead = placement.target.queued_tokens(now_s)
        inputs = _inputs(placement, len(targets))
        wait_s = retry_after_s(placement.queue_s, placement.memory_fraction, limits)
        if wait_s is not None and not call.begun:
            return TurnedAway(wait_s, inputs)
        directives = self._orders(prompt, placement, now_s)
        self._note_cached(prompt, placement)
        return Placed(placement.target, directives, placement.read_tokens, ahead, inputs)

    def _ask(
        self,
        call: Call,
        prompt: Prompt,
        engine: Engine,
        targets: list[RosterTarget],
        limits: Headroom,
    ) -> PlacementRequest:
        workspace = call.workspace
        owner = workspace.name if workspace is not None and workspace.dedicated else ""
        versions = {target.weights.get(prompt.model, 0) for target in targets}
        return PlacementRequest(
            prompt,
            engine,
            call.route.objective_s,
            self._data_center,
            self._weights.named.get(prompt.model),
            {version: cache_namespace(owner, prompt.model, version) for version in versions},
            self._turn,
            limits,
        )

    def _orders(self, prompt: Prompt, placement: Placement, now_s: float) -> CacheDirectives:
        from_stores = self._weights.may_fetch(prompt.model, placement.weights, now_s)
        # A runner that is swapped while it reads would save parts that two versions made.
        replaced = self._weights.is_replaced(prompt.model, placement.weights)
        return CacheDirectives(
            placement.namespace,
            placement.weights or None,
            tuple(self._address_of(source, from_stores) for source in placement.fetch),
            () if replaced else self._saves(prompt, placement.namespace, now_s),
            self._holdings.stores.fetch_until_ms(now_s),
        )

    def _saves(self, prompt: Prompt, namespace: str, now_s: float) -> tuple[str, ...]:
        """Return for each part the store to save it to; the last part is the call's own."""
        stores = self._holdings.stores
        found = []
        for block in prompt.blocks[:-1]:
            store = stores.save_to((namespace, block.block_id), block.tokens, now_s)
            found.append("" if store is None else stores.address(store))
        return (*found, "") if found else ()

    def _address_of(self, source: Source | None, from_stores: bool) -> str:
        """Return how a runner is told where to fetch a part from."""
        if source is None or (source.tokens and not from_stores):
            return ""
        if source.tokens:
            return f"{self._holdings.stores.address(source.holder)}/{source.tokens}"
        target = self._roster.targets.get(source.holder)
        return "" if target is None else str(target.entry.address)

    def _note_cached(self, prompt: Prompt, placement: Placement) -> None:
        for block in prompt.blocks[:-1]:
            key = (placement.namespace, block.block_id)
            self._holdings.blocks.add(placement.target.target_id, key, block.tokens)


def _inputs(placement: Placement, candidates: int) -> LogFields:
    return (
        ("queue_s", round(placement.queue_s, 3)),
        ("expected_s", round(placement.first_event_s, 3)),
        ("read_tokens", placement.read_tokens),
        ("fetched_tokens", placement.fetched_tokens),
        ("weights", placement.weights),
        ("memory_share", round(placement.memory_fraction, 2)),
        ("candidates", candidates),
        ("cost", round(placement.cost, 3)),
    )
