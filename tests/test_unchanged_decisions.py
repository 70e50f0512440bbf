"""Recorded decisions are replayed: without the features for uneven load nothing may change.

Failure guarded against: a deployment whose settings, configuration and targets ask for none of the
features of docs/design/uneven-load.md decides otherwise than before, or calls the object store
more often.
"""

import hashlib
from typing import Any

import pytest

from filbertstream.fleet.crash_detector import ProbeTarget
from filbertstream.request.call import PromptBlock
from filbertstream.request.call_events import RespondLocally, SendCall
from filbertstream.version.rollout import OrderWeights, PollReport
from tests.helpers import ready_world

DECISIONS = (SendCall, RespondLocally, ProbeTarget, PollReport, OrderWeights)

RECORDED = {1: "97a98ba37b888ec1", 2: "af4cbbb3271a4ba0"}
"""Decisions and calls to the object store at 642dd3b, before the first of the features."""


def play(seed: int) -> str:
    """Play requests while targets fail, leave, restrict their rate or restart; return a digest."""
    world = ready_world(seed=seed)
    found: list[Any] = []

    def note(name: str, action: Any) -> None:
        if isinstance(action, DECISIONS):
            found.append((round(world.now_s, 6), name, action))

    world.on_action = note
    runner = world.add_runner("r3", "dc3")
    world.add_service("s3", "dc3")
    for number in range(240):
        runner.limit_per_s = 3.0 if number >= 40 else None
        if number == 80:
            world.targets["r1"].lose_responses = 3
        world.targets["s1"].dead = 80 <= number < 180
        world.targets["s2"].draining = number >= 120
        world.objects.down = 140 <= number < 180
        blocks = (PromptBlock(f"shared{number % 5}", 600), PromptBlock(f"own{number}", 100))
        kind, key = ("model", None) if number % 3 else ("service", f"key{number}")
        member = f"e{1 + number % 3}"
        world.request(member, kind, "k", "", 700, blocks, key, deadline_s=6.0)
        world.run(0.05)
    world.run(12.0)
    text = repr((found, sorted(world.objects.calls.items())))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@pytest.mark.parametrize("seed", RECORDED)
def test_decisions_without_the_features_are_those_recorded(seed: int) -> None:
    """Targets that fail, leave and restrict their rate, and an outage of the object store."""
    assert play(seed) == RECORDED[seed]
