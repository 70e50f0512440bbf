"""Placement of prompts on runners: each test is a load pattern that the choice must handle."""

import random
from collections import Counter

from filbertstream.messages import EntryWork, WorkRow
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.cache_stores import CacheStores
from filbertstream.process.deployment import Address
from filbertstream.process.peer_work import PeerWork, WorkTotals
from filbertstream.process.prefill import INITIAL_RATE_PER_S
from filbertstream.process.roster import RosterTarget
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.request.block_sources import CacheView
from filbertstream.request.call import Prompt, PromptBlock
from filbertstream.request.load_shedding import headroom
from filbertstream.request.placement import PlacementRequest, place_prompt, preferred_runner
from filbertstream.version.routes import Engine
from tests.gateway_world import ENGINE

SPACE = "space"
BLOCK_TOKENS = 1_000
IDLE = WorkTotals(0, 0, 0, 0)


class Runners:
    """Runners of one data center, and an entry's state about them."""

    def __init__(self, count: int, engine: Engine = ENGINE) -> None:
        self.others_work: dict[str, WorkTotals] = {}
        self.engine = engine
        self.index = CacheIndex()
        self.cache_view = CacheView(self.index, CacheStores(self.index, random.Random(1)))
        self.targets = [self._target(f"r{number}") for number in range(count)]

    def _target(self, name: str) -> RosterTarget:
        address = Address("10.0.0.1", 80)
        entry = TargetRegistration(name, "models", address, "dc1", 64, False, 0.0, {"m": 1}, 1)
        return RosterTarget(entry, 0.0, lambda target, now_s: self.others_work.get(target, IDLE))

    def request(self, blocks: tuple[PromptBlock, ...], turn: int = 0) -> PlacementRequest:
        tokens = sum(block.tokens for block in blocks) or 500
        prompt = Prompt("m", tokens, 50, blocks)
        return PlacementRequest(
            prompt, self.engine, 1.0, "dc1", 1, {1: SPACE}, turn, headroom(1.0, 0)
        )

    def place(self, blocks: tuple[PromptBlock, ...], turn: int = 0) -> str:
        placement = place_prompt(self.request(blocks, turn), self.targets, self.cache_view, 1.0)
        assert placement is not None
        return placement.target.target_id

    def preferred_for(self, blocks: tuple[PromptBlock, ...]) -> RosterTarget:
        return preferred_runner(self.request(blocks), self.targets)

    def queue(self, target: RosterTarget, tokens: int) -> None:
        self.others_work[target.target_id] = WorkTotals(1, tokens, tokens, tokens)


def conversation(name: str, blocks: int, rest: int = 300) -> tuple[PromptBlock, ...]:
    """Return a conversation's blocks: equal full ones, and a rest that is new each time."""
    full = tuple(PromptBlock(f"{name}-{number}", BLOCK_TOKENS) for number in range(blocks))
    return (*full, PromptBlock(f"{name}-rest-{blocks}-{rest}", rest))


def test_growing_conversation_keeps_its_preferred_runner() -> None:
    """Each turn adds blocks to the same prefix. Another runner would recompute the prefix."""
    runners = Runners(6)
    for number in range(20):
        preferred_runners = {
            runners.preferred_for(conversation(f"t{number}", blocks)).target_id
            for blocks in range(1, 30)
        }
        assert len(preferred_runners) == 1


def test_prompts_that_share_only_a_short_preamble_are_spread() -> None:
    """All prompts begin with the same system prompt and would overload one runner."""
    runners = Runners(6)
    preamble = PromptBlock("preamble", 200)
    preferred_runners = Counter(
        runners.preferred_for(
            (preamble, PromptBlock(f"case-{number}", 5_000), PromptBlock("own", 100))
        )
        for number in range(60)
    )
    assert len(preferred_runners) == 6
    assert max(preferred_runners.values()) <= 20


def test_prompts_without_blocks_rotate_over_idle_runners() -> None:
    """Prompts without cacheable blocks cost the same everywhere."""
    runners = Runners(6)
    chosen = Counter(runners.place((), turn) for turn in range(60))
    assert set(chosen.values()) == {10}


def test_prefix_without_a_known_holder_queues_at_its_preferred_runner_up_to_a_limit() -> None:
    """No cache store holds the prefix any more. Peers sent it to the preferred runner as well."""
    runners = Runners(6)
    blocks = conversation("cold", 10)
    preferred_target = runners.preferred_for(blocks)
    runners.queue(preferred_target, 2 * 10 * BLOCK_TOKENS)
    assert runners.place(blocks) == preferred_target.target_id
    runners.queue(preferred_target, 40 * 10 * BLOCK_TOKENS)
    assert runners.place(blocks) != preferred_target.target_id


def test_prompt_is_not_rejected_because_its_preferred_runner_is_full() -> None:
    """The runners recompute every prefix; the preferred one is full, and others have capacity."""
    runners = Runners(6)
    blocks = conversation("cold", 30)
    preferred_target = runners.preferred_for(blocks)
    # More than is admitted, less than it would cost to prefill the prefix on another runner.
    runners.queue(preferred_target, round(1.2 * INITIAL_RATE_PER_S))
    placement = place_prompt(runners.request(blocks), runners.targets, runners.cache_view, 1.0)
    assert placement is not None
    assert (placement.target is preferred_target, placement.fits) == (False, True)
    for target in runners.targets:
        runners.queue(target, round(1.2 * INITIAL_RATE_PER_S))
    assert runners.place(blocks) == preferred_target.target_id


def test_runner_known_to_hold_the_prefix_is_chosen_over_the_preferred_one() -> None:
    """Another runner than the preferred one has the prefix in its cache and a queue."""
    runners = Runners(6)
    blocks = conversation("held", 10)
    preferred_target = runners.preferred_for(blocks)
    holder = next(target for target in runners.targets if target is not preferred_target)
    for block in blocks[:-1]:
        runners.index.add(holder.target_id, (SPACE, block.block_id), block.tokens)
    runners.queue(preferred_target, 6 * BLOCK_TOKENS)
    assert runners.place(blocks) == holder.target_id


def test_older_report_of_a_queue_diverts_fewer_prompts() -> None:
    """All entries receive the same report.

    If its weight did not fall with its age, all of them would avoid the same runner.
    """
    runners = Runners(2)
    work = PeerWork("e1")
    work.on_work(EntryWork("e2", (WorkRow("r0", 1, 4_000, 4_000),)), 1.0)
    chosen = {}
    for age_s in (0.0, 0.9):
        runners.others_work = {name: work.peer_work_at(name, 1.0 + age_s) for name in ("r0", "r1")}
        chosen[age_s] = [runners.place((), turn) for turn in range(2)]
    assert chosen[0.0] == ["r1", "r1"]
    assert chosen[0.9] == ["r0", "r1"]
