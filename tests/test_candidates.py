"""Which of many runners a prompt is compared on: load patterns of fleets of hundreds."""

import random
from collections import Counter
from collections.abc import Sequence

import pytest

from filbertstream.process.peer_work import WorkTotals
from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import PromptBlock
from filbertstream.request.candidates import (
    COMPARED_HOLDERS,
    COMPARED_RANDOM,
    MAX_COMPARED_ALL,
    PREFERRED_PER_BLOCK,
    Candidates,
)
from filbertstream.request.placement import place_prompt
from tests.gateway_world import ENGINE
from tests.test_placement import SPACE, Runners, talk

FLEET = 59
MOST = COMPARED_RANDOM + COMPARED_HOLDERS + PREFERRED_PER_BLOCK


class Many(Runners):
    """Hundreds of runners, and one entry's choice among them."""

    def __init__(self, count: int = FLEET) -> None:
        super().__init__(count, ENGINE._replace(slots=12))
        self.registered = frozenset(target.target_id for target in self.targets)

    def compared(
        self, entry: Candidates, blocks: tuple[PromptBlock, ...]
    ) -> Sequence[RosterTarget]:
        return entry.choose(
            self.placement_request(blocks), self.targets, self.registered, self.index
        )


def test_few_runners_are_all_compared() -> None:
    runners = Many(MAX_COMPARED_ALL)
    assert runners.compared(Candidates(random.Random(1)), talk("a", 3)) == runners.targets


@pytest.mark.parametrize("count", [FLEET, 740, 7_400])
def test_as_many_are_compared_whatever_the_fleet(count: int) -> None:
    runners = Many(count)
    entry = Candidates(random.Random(1))
    sizes = [len(runners.compared(entry, talk(f"t{turn}", 3))) for turn in range(50)]
    assert COMPARED_RANDOM <= min(sizes) <= max(sizes) <= MOST


def test_the_preferred_runner_and_the_holders_are_compared() -> None:
    runners = Many()
    blocks = talk("held", 10)
    holders = [target.target_id for target in runners.targets[20:30]]
    for number, name in enumerate(holders):
        for block in blocks[: number + 1]:
            runners.index.add(name, (SPACE, block.block_id), block.tokens)
    names = {item.target_id for item in runners.compared(Candidates(random.Random(1)), blocks)}
    assert runners.home(blocks).target_id in names
    assert holders[-1] in names


def test_a_preferred_runner_that_leaves_is_not_remembered() -> None:
    runners = Many()
    blocks = talk("a", 3)
    entry = Candidates(random.Random(1))
    home = runners.home(blocks)
    assert home in runners.compared(entry, blocks)
    runners.targets.remove(home)
    runners.registered -= {home.target_id}
    found = runners.compared(entry, blocks)
    assert home not in found
    assert runners.home(blocks) in found


def test_hundreds_of_entries_with_the_same_old_news_do_not_all_find_one_runner() -> None:
    """Load pattern: one runner was idle when all were told, and each entry now has a prompt."""
    runners = Many()
    for target in runners.targets[1:]:
        runners.told[target.target_id] = WorkTotals(6, 30_000, 0, 0)
    chosen: dict[str, Counter[str]] = {"all": Counter(), "some": Counter()}
    for number in range(195):
        blocks = (PromptBlock(f"own-{number}", 900),)
        entry = Candidates(random.Random(number))
        compared = {"all": runners.targets, "some": runners.compared(entry, blocks)}
        for way, targets in compared.items():
            placed = place_prompt(
                runners.placement_request(blocks), targets, runners.cache_view, 1.0
            )
            assert placed is not None
            chosen[way][placed.target.target_id] += 1
    assert chosen["all"]["r0"] > 100
    assert chosen["some"]["r0"] < 60
