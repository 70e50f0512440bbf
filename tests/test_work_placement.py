"""Placement by expected work: each test is a load pattern that the choice must handle."""

import random
from collections import Counter
from typing import Any
from unittest.mock import MagicMock

import pytest

from filbertstream.actions import Log
from filbertstream.connection.gateway_status import metrics_text
from filbertstream.log_events import LogEvent
from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import PromptBlock, TargetLoad
from filbertstream.request.call_events import (
    FirstEvent,
    LoadProbed,
    ProbeLoad,
    ResponseComplete,
    ResponseStarted,
)
from filbertstream.request.placement import Placement, RequestWork, place_prompt
from filbertstream.request.service_placement import place_service_call
from filbertstream.request.work_estimate import WorkEstimate
from tests.gateway_world import World, response_head, sends
from tests.test_placement import SPACE, Runners, conversation

ENTRIES = 65
RUNNERS = 35
PROMPT = WorkEstimate(500, 50.0, 0.0)
CALL = WorkEstimate(0, 0.0, 0.1)
LARGE_CALL = WorkEstimate(0, 0.0, 5.0)


def work(draw: object, estimate: WorkEstimate = PROMPT) -> RequestWork:
    return RequestWork(estimate, f"draw-{draw}")


def place(runners: Runners, draw: object, blocks: tuple[PromptBlock, ...] = ()) -> Placement:
    request = runners.request(blocks)._replace(work=work(draw))
    placement = place_prompt(request, runners.targets, runners.cache_view, 1.0)
    assert placement is not None
    return placement


def place_calls(targets: list[RosterTarget], count: int = ENTRIES) -> Counter[str]:
    chosen = [
        place_service_call(targets, "dc1", 1.0, 1.0, work(draw, CALL)) for draw in range(count)
    ]
    return Counter(target.target_id for target in chosen if target is not None)


def busy(targets: list[RosterTarget], estimate: WorkEstimate, runs: int) -> None:
    for target in targets:
        for call_id in range(runs):
            target.work.sent(call_id, estimate, 1.0)
            target.outstanding += 1


def test_65_entries_all_choose_the_one_idle_target() -> None:
    """All entries know the same outdated reports, in which one of 35 targets is idle."""
    runners = Runners(RUNNERS)
    idle, *others = runners.targets
    busy(others, CALL, 8)
    calls = place_calls(runners.targets)
    assert max(calls.values()) <= 10
    assert len(calls) > 20
    prompts = Counter(place(runners, entry).target.target_id for entry in range(ENTRIES))
    assert max(prompts.values()) <= 10
    cold = conversation("cold", 3)
    spread = Counter(place(runners, entry, cold).target.target_id for entry in range(ENTRIES))
    assert spread[idle.target_id] <= 10


def test_slow_target_among_many_gets_its_share() -> None:
    """One of six targets is five times slower; the others are equal."""
    runners = Runners(6)
    busy(runners.targets, CALL, 8)
    slow = runners.targets[0]
    slow.note_load(TargetLoad(8, 0, 64, 5.0, True), 1.0)
    assert place_calls(runners.targets, 600)[slow.target_id] == 0
    assert slow.target_id not in {place(runners, draw).target.target_id for draw in range(100)}


def test_target_with_few_large_requests_gets_the_work_before_one_with_many_small_ones() -> None:
    """One target runs 2 calls of 5 s, the other 8 calls of 100 ms."""
    runners = Runners(2)
    large, small = runners.targets
    for call_id in range(2):
        large.work.sent(call_id, LARGE_CALL, 1.0)
    for call_id in range(8):
        small.work.sent(call_id, CALL, 1.0)
    assert set(place_calls(runners.targets)) == {small.target_id}


@pytest.mark.parametrize("error", [0.25, 4.0])
def test_estimates_that_are_wrong_by_a_factor_are_worse_than_none(error: float) -> None:
    """Half of all calls are estimated at a quarter or four times their work; none ends.

    Without estimates the calls would go to random targets.
    """
    runners = Runners(RUNNERS)
    rng = random.Random(1)
    placed, at_random = Counter[str](), Counter[str]()
    for number in range(1_400):
        estimate = CALL._replace(service_s=0.1 * (error if rng.random() < 0.5 else 1.0))
        target = place_service_call(runners.targets, "dc1", 1.0, 1.0, work(number, estimate))
        assert target is not None
        target.work.sent(number, estimate, 1.0)
        target.outstanding += 1
        placed[target.target_id] += 1
        at_random[rng.choice(runners.targets).target_id] += 1
    assert max(placed.values()) < max(at_random.values())
    assert min(placed.values()) > min(at_random.values())


def test_prompt_leaves_the_runner_that_holds_its_prefix_for_a_random_one() -> None:
    """One of 35 equally loaded runners holds a prefix; two random choices would miss it."""
    runners = Runners(RUNNERS)
    blocks = conversation("held", 10)
    holder = runners.targets[20]
    for block in blocks[:-1]:
        runners.index.add(holder.target_id, (SPACE, block.block_id), block.tokens)
    for entry in range(ENTRIES):
        placement = place(runners, entry, blocks)
        assert placement.target is holder
        assert placement.runner_up is not None


def test_call_leaves_its_data_center_while_targets_there_are_idle() -> None:
    """Two targets are in the entry's data center and 33 elsewhere, all idle."""
    runners = Runners(RUNNERS)
    for target in runners.targets[2:]:
        target.registration = target.registration._replace(data_center="dc2")
    assert set(place_calls(runners.targets)) <= {"r0", "r1"}


def served(world: World, name: str, load: TargetLoad, events: int = 0) -> Any:
    """Serve a call to its end; return the core's record of it."""
    world.confirm()
    actions = world.arrive(name)
    for probe in [item for item in actions if isinstance(item, ProbeLoad)]:
        actions += world.step(
            LoadProbed(probe.call_id, probe.start, world.now_s, response_head(load=load))
        )
    (send,) = sends(actions)
    call = world.core.forwarding.calls[send.call_id]
    world.now_s += 0.2
    head = response_head(load=load, target_id=send.target_id, content_type="text/event-stream")
    world.step(ResponseStarted(send.call_id, send.number, head))
    world.step(FirstEvent(send.call_id, send.number))
    world.now_s += 0.1
    world.step(ResponseComplete(send.call_id, send.number, 2, None, events))
    return call


class LoggingWorld(World):
    """A core whose log lines are kept."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[Log] = []
        core_step = self.core.step

        def keep_lines(now_s: float, event: Any) -> list[Any]:
            actions = core_step(now_s, event)
            self.lines += [action for action in actions if isinstance(action, Log)]
            return actions

        self.core.step = keep_lines  # type: ignore[method-assign]

    def last(self, event: LogEvent) -> dict[str, Any]:
        return dict(next(line.fields for line in reversed(self.lines) if line.number == event))


def test_operator_cannot_see_the_estimate_or_how_wrong_it_was() -> None:
    """A prompt and a call are placed by their work; its estimate is compared afterwards."""
    world = LoggingWorld()
    load = TargetLoad(1, 0, 8, 1.2, True)
    for name, expected in (("draft", "expected_tokens"), ("read", "expected_run_s")):
        for _ in range(3):
            served(world, name, load, 20)
        placed, ended = world.last(LogEvent.CALL_PLACED), world.last(LogEvent.REQUEST_FINISHED)
        assert placed["runner_up"] != placed["target"]
        assert placed["slowness"] > 0.0
        assert ended["expected_work"] == pytest.approx(placed[expected], rel=0.01)
        # The call took 0.3 s at a target that was between 1 and 1.2 times slower than usual.
        low, high = (20, 20) if name == "draft" else (0.25, 0.3)
        assert low <= ended["actual_work"] <= high
    page = metrics_text(world.core, MagicMock(), MagicMock(), 0).decode()
    assert 'filbertstream_work_error_ratio_bucket{le="+Inf",route="draft"}' in page
    assert 'filbertstream_work_error_ratio_count{route="read"}' in page


def test_log_lines_and_metrics_change_without_a_fourth_figure() -> None:
    """Nothing is placed by its work; lines and page are as before."""
    world = LoggingWorld()
    served(world, "read", TargetLoad(1, 0, 8))
    served(world, "read", TargetLoad(1, 0, 8))
    fields = world.last(LogEvent.CALL_PLACED) | world.last(LogEvent.REQUEST_FINISHED)
    assert not {"runner_up", "slowness", "expected_s", "expected_work"} & fields.keys()
    page = metrics_text(world.core, MagicMock(), MagicMock(), 0).decode()
    assert "work_error" not in page


def test_work_counts_where_targets_report_three_figures() -> None:
    """Most deployments don't report a slowness; there nothing is estimated or learned."""
    world = World()
    for _ in range(4):
        for name in ("read", "draft"):
            assert served(world, name, TargetLoad(1, 0, 8), 20).work is None
    assert world.core.work.estimator.levels == 0


def test_nothing_is_learned_where_targets_report_a_fourth_figure() -> None:
    """Drafts give 20 events, calls take 0.3 s; estimates begin with the first report."""
    world = World()
    load = TargetLoad(1, 0, 8, 1.0, True)
    for _ in range(30):
        call, prompt = served(world, "read", load), served(world, "draft", load, 20)
    assert call.work.service_s == pytest.approx(0.3, rel=0.15)
    assert prompt.work.output_tokens == pytest.approx(20, rel=0.15)
    targets = world.core.roster.targets
    assert targets["r1"].work.token_s < 0.02
    assert all(item.outstanding_work(True, 8, world.now_s).runs < 1.5 for item in targets.values())
