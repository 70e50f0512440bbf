"""The runners of a large fleet that the placement of a prompt compares.

Failures guarded against: placement costs that grow with the fleet, and hundreds of entries that
choose the same runner because they act on the same old reports.
"""

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
from tests.test_placement import SPACE, Runners, conversation

FLEET = 59
MOST_COMPARED = COMPARED_RANDOM + COMPARED_HOLDERS + PREFERRED_PER_BLOCK


class ManyRunners(Runners):
    """Hundreds of runners, and one entry's choice among them."""

    def __init__(self, count: int = FLEET) -> None:
        super().__init__(count, ENGINE._replace(slots=12))
        self.registered = frozenset(target.target_id for target in self.targets)

    def compared(
        self, entry: Candidates, blocks: tuple[PromptBlock, ...]
    ) -> Sequence[RosterTarget]:
        return entry.choose(self.request(blocks), self.targets, self.registered, self.index)


def test_all_runners_of_a_small_fleet_are_compared() -> None:
    """A small fleet needs no selection."""
    runners = ManyRunners(MAX_COMPARED_ALL)
    assert runners.compared(Candidates(random.Random(1)), conversation("a", 3)) == runners.targets


@pytest.mark.parametrize("count", [FLEET, 740, 7_400])
def test_number_of_compared_runners_does_not_grow_with_the_fleet(count: int) -> None:
    """Fleets of 59, 740 and 7 400 runners."""
    runners = ManyRunners(count)
    entry = Candidates(random.Random(1))
    sizes = [len(runners.compared(entry, conversation(f"t{turn}", 3))) for turn in range(50)]
    assert COMPARED_RANDOM <= min(sizes) <= max(sizes) <= MOST_COMPARED


def test_preferred_runner_and_best_holder_of_the_prefix_are_compared() -> None:
    """Ten runners hold prefixes of different lengths. A random draw could miss the best ones."""
    runners = ManyRunners()
    blocks = conversation("held", 10)
    holders = [target.target_id for target in runners.targets[20:30]]
    for number, name in enumerate(holders):
        for block in blocks[: number + 1]:
            runners.index.add(name, (SPACE, block.block_id), block.tokens)
    compared_ids = {
        item.target_id for item in runners.compared(Candidates(random.Random(1)), blocks)
    }
    assert runners.preferred_for(blocks).target_id in compared_ids
    assert holders[-1] in compared_ids


def test_preferred_runner_that_left_is_not_compared() -> None:
    """The preferred runner of a conversation leaves between two of its prompts."""
    runners = ManyRunners()
    blocks = conversation("a", 3)
    entry = Candidates(random.Random(1))
    preferred_target = runners.preferred_for(blocks)
    assert preferred_target in runners.compared(entry, blocks)
    runners.targets.remove(preferred_target)
    runners.registered -= {preferred_target.target_id}
    compared = runners.compared(entry, blocks)
    assert preferred_target not in compared
    assert runners.preferred_for(blocks) in compared


def test_hundreds_of_entries_with_the_same_old_reports_do_not_all_choose_one_runner() -> None:
    """Load pattern: one runner was idle at the last report, and each entry now has a prompt."""
    runners = ManyRunners()
    for target in runners.targets[1:]:
        runners.others_work[target.target_id] = WorkTotals(6, 30_000, 0, 0)
    chosen: dict[str, Counter[str]] = {"all": Counter(), "some": Counter()}
    for number in range(195):
        blocks = (PromptBlock(f"own-{number}", 900),)
        entry = Candidates(random.Random(number))
        compared = {"all": runners.targets, "some": runners.compared(entry, blocks)}
        for selection, targets in compared.items():
            placement = place_prompt(runners.request(blocks), targets, runners.cache_view, 1.0)
            assert placement is not None
            chosen[selection][placement.target.target_id] += 1
    assert chosen["all"]["r0"] > 100
    assert chosen["some"]["r0"] < 60
