"""Decisions recorded before targets reported how long their work takes, replayed.

Failure guarded against: a deployment whose targets report three figures in ``Server-Load``, or
none, gets other decisions because of a feature for those that report four.  ``RECORDED`` was
written by the code before that feature; a change that has to alter these decisions records them
again and says why.
"""

import random

from filbertstream.names import digest_text
from filbertstream.process.deployment import Address
from filbertstream.process.peer_work import WorkTotals
from filbertstream.process.roster import RosterTarget
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.request.call import TargetLoad
from filbertstream.request.placement import place_prompt
from filbertstream.request.service_placement import place_service_call
from tests.test_placement import SPACE, Runners, conversation

SEED = 20_261_206
ROSTERS = 60

RECORDED_PROMPTS = (
    "r2 r1 r1 r5 r7 r5 r5 r7 r4 r1 r0 r0 r0 r2 r0 r3 r2 r9 r1 r5 r0 r9 r1 r1 r11 r0 r5 r0 r1 "
    "r0 r7 r5 r3 r1 r0 r0 r5 r0 r3 r11 r7 r3 r1 r1 r3 r0 r7 r3 r2 r2 r5 r5 r3 r5 r4 r8 r0 r5 "
    "r4 r5"
)
RECORDED_PROMPTS_DIGEST = "2f0530e3608b0f74dee78e6b44c50c04826ec11cdab036e0fbd93e6bfd07c63f"
RECORDED_CALLS = (
    "r4 r7 r1 r2 r0 r7 r0 r1 r7 r0 r0 r3 r1 r0 r0 r0 r0 r0 r5 r0 r5 r4 r5 r5 r0 r5 r2 r2 r1 "
    "r2 r2 r1 r6 r1 r1 r3 r2 r2 r0 r6 r6 r1 r1 r0 r0 r3 r3 r1 r2 r9 r3 r5 r2 r1 r0 r0 r3 r5 "
    "r4 r1"
)


def drawn_target(rng: random.Random, number: int) -> RosterTarget:
    """Return a target with drawn work of this entry, of peers, and in its own report."""
    center = f"dc{rng.randint(1, 3)}"
    registration = TargetRegistration(
        f"r{number}", "models", Address("10.0.0.1", 80), center, 16, False, 0.0,
        {"m": rng.choice([1, 1, 1, 2])}, 1,
    )  # fmt: skip
    queued = rng.choice([0, 0, rng.randint(1, 40_000)])
    totals = WorkTotals(rng.randint(0, 12), rng.randint(0, 90_000), queued, queued // 2)
    target = RosterTarget(registration, 0.0, lambda name, now_s: totals)
    target.outstanding = rng.randint(0, 6)
    target.memory_tokens = rng.randint(0, 30_000)
    target.prefill.sent(rng.choice([0, rng.randint(1, 20_000)]))
    target.prefill.rate_per_s = rng.uniform(4_000.0, 60_000.0)
    target.latency_s = rng.uniform(0.0, 0.4)
    if rng.random() < 0.7:
        target.note_load(TargetLoad(rng.randint(0, 20), rng.randint(0, 5), 16), rng.uniform(0, 5))
    return target


def drawn_targets(rng: random.Random) -> list[RosterTarget]:
    return [drawn_target(rng, number) for number in range(rng.randint(1, 12))]


def test_prompts_are_placed_as_before_without_a_fourth_figure() -> None:
    """Long and short prompts, some with a prefix that runners hold, on unevenly loaded runners."""
    rng = random.Random(SEED)
    chosen, details = [], []
    for turn in range(ROSTERS):
        runners = Runners(0)
        runners.targets = drawn_targets(rng)
        blocks = conversation(f"c{turn}", rng.randint(0, 12)) if rng.random() < 0.8 else ()
        for target in rng.sample(runners.targets, rng.randint(0, min(2, len(runners.targets)))):
            for block in blocks[: rng.randint(0, 12)]:
                runners.index.add(target.target_id, (SPACE, block.block_id), block.tokens)
        request = runners.request(blocks, turn)._replace(namespaces={1: SPACE, 2: "newer"})
        placement = place_prompt(request, runners.targets, runners.cache_view, 5.0)
        assert placement is not None
        chosen.append(placement.target.target_id)
        details.append(repr(placement[1:11]))
    assert " ".join(chosen) == RECORDED_PROMPTS
    assert digest_text(*details) == RECORDED_PROMPTS_DIGEST


def test_service_calls_are_placed_as_before_without_a_fourth_figure() -> None:
    """Calls to targets of three data centers with different loads and latencies."""
    rng = random.Random(SEED)
    chosen = []
    for _ in range(ROSTERS):
        target = place_service_call(drawn_targets(rng), "dc1", rng.uniform(0.2, 2.0), 5.0)
        assert target is not None
        chosen.append(target.target_id)
    assert " ".join(chosen) == RECORDED_CALLS
