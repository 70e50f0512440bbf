"""Where prompts go: each test is a load pattern that the choice of the runner answers."""

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
from filbertstream.request.call import Prompt, PromptBlock
from filbertstream.request.load_shedding import headroom
from filbertstream.request.placement import (
    CacheView,
    PlacementRequest,
    place_prompt,
    preferred_runner,
)
from filbertstream.version.routes import Engine
from tests.gateway_world import ENGINE

SPACE = "space"
PIECE = 1_000
IDLE = WorkTotals(0, 0, 0, 0)


class Runners:
    """Runners of one data center, and what an entry knows of them."""

    def __init__(self, count: int, engine: Engine = ENGINE) -> None:
        self.told: dict[str, WorkTotals] = {}
        self.engine = engine
        self.index = CacheIndex()
        self.cache_view = CacheView(self.index, CacheStores(self.index, random.Random(1)))
        self.targets = [self._target(f"r{number}") for number in range(count)]

    def _target(self, name: str) -> RosterTarget:
        address = Address("10.0.0.1", 80)
        entry = TargetRegistration(name, "models", address, "dc1", 64, False, 0.0, {"m": 1}, 1)
        return RosterTarget(entry, 0.0, lambda target, now_s: self.told.get(target, IDLE))

    def placement_request(self, blocks: tuple[PromptBlock, ...], turn: int = 0) -> PlacementRequest:
        tokens = sum(block.tokens for block in blocks) or 500
        prompt = Prompt("m", tokens, 50, blocks)
        return PlacementRequest(
            prompt, self.engine, 1.0, "dc1", 1, {1: SPACE}, turn, headroom(1.0, 0)
        )

    def place(self, blocks: tuple[PromptBlock, ...], turn: int = 0) -> str:
        placement = place_prompt(
            self.placement_request(blocks, turn), self.targets, self.cache_view, 1.0
        )
        assert placement is not None
        return placement.target.target_id

    def home(self, blocks: tuple[PromptBlock, ...]) -> RosterTarget:
        return preferred_runner(self.placement_request(blocks), self.targets)

    def queue(self, target: RosterTarget, tokens: int) -> None:
        self.told[target.target_id] = WorkTotals(1, tokens, tokens, tokens)


def talk(name: str, pieces: int, rest: int = 300) -> tuple[PromptBlock, ...]:
    """Return the parts of a conversation: equal pieces, and a rest that is new each time."""
    full = tuple(PromptBlock(f"{name}-{number}", PIECE) for number in range(pieces))
    return (*full, PromptBlock(f"{name}-rest-{pieces}-{rest}", rest))


def test_a_conversation_that_grows_keeps_its_preferred_runner() -> None:
    runners = Runners(6)
    for number in range(20):
        homes = {runners.home(talk(f"t{number}", pieces)).target_id for pieces in range(1, 30)}
        assert len(homes) == 1


def test_prompts_that_share_only_a_short_preamble_are_spread() -> None:
    runners = Runners(6)
    preamble = PromptBlock("preamble", 200)
    homes = Counter(
        runners.home((preamble, PromptBlock(f"case-{number}", 5_000), PromptBlock("own", 100)))
        for number in range(60)
    )
    assert len(homes) == 6
    assert max(homes.values()) <= 20


def test_prompts_without_parts_take_turns_on_idle_runners() -> None:
    runners = Runners(6)
    placed = Counter(runners.place((), turn) for turn in range(60))
    assert set(placed.values()) == {10}


def test_a_prefix_that_nobody_is_known_to_hold_waits_a_while_at_its_preferred_runner() -> None:
    """No store has it any more: other entries had it read at the preferred runner too."""
    runners = Runners(6)
    blocks = talk("cold", 10)
    home = runners.home(blocks)
    runners.queue(home, 2 * 10 * PIECE)
    assert runners.place(blocks) == home.target_id
    runners.queue(home, 40 * 10 * PIECE)
    assert runners.place(blocks) != home.target_id


def test_a_prompt_is_not_turned_away_for_the_runner_that_it_prefers() -> None:
    """Runners that read everything anew: the preferred one is full, others have room."""
    runners = Runners(6)
    blocks = talk("cold", 30)
    home = runners.home(blocks)
    # Longer than what is admitted, shorter than what it would cost to read the prefix elsewhere.
    runners.queue(home, round(1.2 * INITIAL_RATE_PER_S))
    placement = place_prompt(
        runners.placement_request(blocks), runners.targets, runners.cache_view, 1.0
    )
    assert placement is not None
    assert (placement.target is home, placement.fits) == (False, True)
    for target in runners.targets:
        runners.queue(target, round(1.2 * INITIAL_RATE_PER_S))
    assert runners.place(blocks) == home.target_id


def test_a_runner_that_is_known_to_hold_the_prefix_needs_no_preference() -> None:
    runners = Runners(6)
    blocks = talk("held", 10)
    home = runners.home(blocks)
    holder = next(target for target in runners.targets if target is not home)
    for block in blocks[:-1]:
        runners.index.add(holder.target_id, (SPACE, block.block_id), block.tokens)
    runners.queue(home, 6 * PIECE)
    assert runners.place(blocks) == holder.target_id


def test_old_news_of_a_queue_turns_few_prompts_away_from_it() -> None:
    """All entries heard the same: the more time has passed, the less a difference tells."""
    runners = Runners(2)
    work = PeerWork("e1")
    work.on_work(EntryWork("e2", (WorkRow("r0", 1, 4_000, 4_000),)), 1.0)
    placed = {}
    for age_s in (0.0, 0.9):
        runners.told = {name: work.peer_work_at(name, 1.0 + age_s) for name in ("r0", "r1")}
        placed[age_s] = [runners.place((), turn) for turn in range(2)]
    assert placed[0.0] == ["r1", "r1"]
    assert placed[0.9] == ["r0", "r1"]
