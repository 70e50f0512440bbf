"""Directed faults over the core in virtual time, one promise at a time."""

from bench.world import World
from filbertstream.request.call import PromptBlock
from filbertstream.request.call_events import CallerDisconnected
from tests.helpers import codes, kinds, ready_world, runs

PARTS = tuple(PromptBlock(f"part-{index}", 2_000) for index in range(4))


def booking_under_way(run_s: float) -> World:
    """Return a world in which the first entry's booking runs at a service that takes so long."""
    world = ready_world()
    for name in ("s1", "s2"):
        world.targets[name].run_s = run_s
    world.request("e1", "service", idempotency_key="b")
    world.run(0.2)
    return world


def test_a_booking_cut_after_it_ran_is_not_repeated() -> None:
    world = ready_world()
    for target in world.targets.values():
        target.lose_responses = 1
    first = world.request("e1", "service", idempotency_key="b")
    world.run(2.0)
    outcome = world.outcomes[first][0]
    assert (outcome.kind, outcome.run) == ("refused", "may_have_run")
    second = world.request("e2", "service", idempotency_key="b")
    world.run(2.0)
    assert codes(world, second) == ["outcome_unknown"]
    assert runs(world, "b") == 1


def test_a_booking_to_a_dead_target_goes_to_another_and_runs_once() -> None:
    world = ready_world()
    world.targets["s1"].dead = True
    request = world.request("e1", "service", idempotency_key="b")
    world.run(2.0)
    assert kinds(world, request) == ["answered"]
    assert runs(world, "b") == 1


def test_a_booking_that_reached_no_target_can_be_made_later() -> None:
    world = ready_world()
    for name in ("s1", "s2"):
        world.targets[name].dead = True
    first = world.request("e1", "service", idempotency_key="b")
    world.run(3.0)
    assert [outcome.run for outcome in world.outcomes[first]] == ["not_run"]
    for name in ("s1", "s2"):
        world.targets[name].dead = False
    world.run(10.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(2.0)
    assert kinds(world, second) == ["answered"]
    assert runs(world, "b") == 1


def test_a_claimant_killed_while_its_booking_runs_leaves_one_run_and_no_second() -> None:
    world = booking_under_way(0.5)
    world.kill("e1")
    second = world.request("e2", "service", idempotency_key="b")
    world.run(20.0)
    assert codes(world, second) == ["key_running"]
    third = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert codes(world, third) == ["outcome_unknown"]
    assert runs(world, "b") == 1


def test_a_claimant_that_was_replaced_leaves_no_key_running() -> None:
    world = booking_under_way(0.5)
    world.kill("e1")
    world.add_entry("e1")
    world.run(2.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert codes(world, second) == ["outcome_unknown"]
    assert runs(world, "b") == 1


def test_a_repeat_during_the_run_is_told_to_come_back_and_then_gets_the_answer() -> None:
    world = booking_under_way(1.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(0.2)
    assert codes(world, second) == ["key_running"]
    wait_s = world.outcomes[second][0].retry_after_s
    assert wait_s is not None
    world.run(wait_s)
    third = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert kinds(world, third) == ["kept"]
    assert runs(world, "b") == 1


def test_a_claim_whose_answer_was_lost_is_settled_and_runs_once() -> None:
    world = ready_world()
    world.objects.lose_responses = 1
    request = world.request("e1", "service", idempotency_key="b")
    world.run(4.0)
    assert kinds(world, request) == ["answered"]
    assert runs(world, "b") == 1


def test_a_claim_that_is_carried_out_late_leaves_its_key_free() -> None:
    world = ready_world()
    world.objects.late_writes = 3
    first = world.request("e1", "service", idempotency_key="b", deadline_s=1.0)
    world.run(12.0)
    assert [outcome.run for outcome in world.outcomes[first]] == ["not_run"]
    second = world.request("e2", "service", idempotency_key="b")
    world.run(4.0)
    assert kinds(world, second) == ["answered"]
    assert runs(world, "b") == 1


def test_a_paused_claimant_sends_nothing_twice_when_it_goes_on() -> None:
    world = ready_world()
    world.request("e1", "service", idempotency_key="b")
    world.paused.add("e1")
    world.run(20.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    world.resume("e1")
    world.run(5.0)
    assert runs(world, "b") <= 1
    assert len(world.outcomes[second]) == 1


def test_a_planned_stop_waits_until_the_outcome_of_a_booking_is_kept() -> None:
    world = ready_world()
    first = world.request("e1", "service", idempotency_key="b")
    world.run(0.012)
    world.platform.latency_s = 0.5
    assert world.run_until(lambda: bool(kinds(world, first)), 2.0)
    assert kinds(world, first) == ["answered"]
    core = world.cores["e1"]
    assert core.idempotency_keys.unsettled == 1
    assert world.run_until(lambda: core.idempotency_keys.unsettled == 0, 3.0)
    world.kill("e1")
    world.platform.latency_s = 0.003
    second = world.request("e2", "service", idempotency_key="b")
    world.run(5.0)
    assert kinds(world, second) == ["kept"]


def test_a_dead_store_costs_time_and_no_answer() -> None:
    world = ready_world()
    world.request("e1", tokens=8_000, blocks=PARTS)
    world.run(5.0)
    assert world.stores["st1"].blocks
    world.stores["st1"].dead = True
    for target in world.targets.values():
        target.cache.clear()
    again = world.request("e2", tokens=8_000, blocks=PARTS)
    world.run(5.0)
    assert kinds(world, again) == ["answered"]


def test_a_model_request_whose_runners_die_mid_stream_ends_as_an_error() -> None:
    world = ready_world()
    request = world.request("e1", out_tokens=100)
    world.run(0.5)
    for target in world.targets.values():
        target.dead = True
    world.run(13.0)
    outcome = world.outcomes[request][0]
    assert (outcome.kind, outcome.run) == ("broken", "may_have_run")


def test_a_caller_that_leaves_during_its_booking_leaves_a_key_that_may_have_run() -> None:
    world = ready_world()
    for name in ("s1", "s2"):
        world.targets[name].run_s = 0.5
    first = world.request("e1", "service", idempotency_key="b")
    world.run(0.2)
    (call_id,) = [number for (_, number), request in world.calls.items() if request == first]
    world.deliver("e1", CallerDisconnected(call_id))
    world.run(2.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert codes(world, second) == ["outcome_unknown"]
    assert runs(world, "b") == 1
