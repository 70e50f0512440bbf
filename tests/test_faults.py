"""Directed faults over the core in virtual time, one promise at a time."""

from bench.world import World
from tests.helpers import ready_world


def runs(world: World, key: str) -> int:
    return sum(service.runs[key] for service in world.services.values())


def test_a_booking_cut_after_it_ran_is_not_repeated() -> None:
    world = ready_world()
    for service in world.services.values():
        service.cut_after_run = 1
    first = world.request("e1", "service", idempotency_key="b")
    world.run(2.0)
    outcome = world.outcomes[first][0]
    assert (outcome.kind, outcome.run) == ("refused", "may_have_run")
    second = world.request("e2", "service", idempotency_key="b")
    world.run(2.0)
    assert [outcome.code for outcome in world.outcomes[second]] == ["outcome_unknown"]
    assert runs(world, "b") == 1


def test_a_booking_to_a_dead_target_goes_to_another_and_runs_once() -> None:
    world = ready_world()
    world.services["s1"].dead = True
    request = world.request("e1", "service", idempotency_key="b")
    world.run(2.0)
    assert [outcome.kind for outcome in world.outcomes[request]] == ["answered"]
    assert runs(world, "b") == 1


def test_a_booking_that_reached_no_target_can_be_made_later() -> None:
    world = ready_world()
    for service in world.services.values():
        service.dead = True
    first = world.request("e1", "service", idempotency_key="b")
    world.run(3.0)
    assert [outcome.run for outcome in world.outcomes[first]] == ["not_run"]
    for service in world.services.values():
        service.dead = False
    world.run(10.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(2.0)
    assert [outcome.kind for outcome in world.outcomes[second]] == ["answered"]
    assert runs(world, "b") == 1


def test_a_claimant_killed_while_its_booking_runs_leaves_one_run_and_no_second() -> None:
    world = ready_world()
    for service in world.services.values():
        service.run_s = 0.5
    world.request("e1", "service", idempotency_key="b")
    world.run(0.2)
    world.kill("e1")
    second = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert world.outcomes[second] == []
    world.run(10.0)
    assert [outcome.code for outcome in world.outcomes[second]] == ["outcome_unknown"]
    assert runs(world, "b") == 1


def test_a_repeat_joins_the_run_under_way_at_another_entry() -> None:
    world = ready_world()
    for service in world.services.values():
        service.run_s = 1.0
    world.request("e1", "service", idempotency_key="b")
    world.run(0.2)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(3.0)
    assert [outcome.kind for outcome in world.outcomes[second]] == ["kept"]
    assert runs(world, "b") == 1


def test_a_claim_whose_answer_was_lost_is_settled_and_runs_once() -> None:
    world = ready_world()
    world.platform.lose_answers = 1
    request = world.request("e1", "service", idempotency_key="b")
    world.run(2.0)
    assert [outcome.kind for outcome in world.outcomes[request]] == ["answered"]
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
    world.platform_s = 0.5
    first = world.request("e1", "service", idempotency_key="b")
    world.run(1.2)
    assert [outcome.kind for outcome in world.outcomes[first]] == ["answered"]
    drain = world.drain("e1", "e1")
    assert world.drained[drain] == []
    world.run(5.0)
    assert [ended.state for ended in world.drained[drain]] == ["drained"]
    world.kill("e1")
    world.platform_s = 0.003
    second = world.request("e2", "service", idempotency_key="b")
    world.run(5.0)
    assert [outcome.kind for outcome in world.outcomes[second]] == ["kept"]


def test_a_store_is_not_blamed_when_the_runner_had_the_pieces_itself() -> None:
    world = ready_world()
    pieces = tuple(bytes([index]) * 16 for index in range(4))
    world.request("e1", tokens=9_000, pieces=pieces)
    world.run(8.0)
    # Events that claim an eviction which did not happen make imports be ordered in vain.
    for core in world.cores.values():
        for runner in world.runners:
            core.catalogue.forget_holder(runner)
    for _ in range(6):
        world.request("e2", tokens=9_000, pieces=pieces)
        world.run(0.3)
        for core in world.cores.values():
            for runner in world.runners:
                core.catalogue.forget_holder(runner)
    assert "st1" not in world.cores["e2"].directory.outliers.out(world.now_s)


def test_two_stores_dead_cost_time_and_no_answer() -> None:
    world = ready_world()
    pieces = tuple(bytes([index]) * 16 for index in range(4))
    world.request("e1", tokens=9_000, pieces=pieces)
    world.run(5.0)
    world.stores["st1"].dead = True
    for runner in world.runners.values():
        runner.cache.clear()
    again = world.request("e2", tokens=9_000, pieces=pieces)
    world.run(5.0)
    assert [outcome.kind for outcome in world.outcomes[again]] == ["answered"]


def test_a_model_request_whose_runner_dies_mid_stream_ends_as_an_error() -> None:
    world = ready_world()
    request = world.request("e1", out_tokens=100)
    world.run(0.5)
    for runner in world.runners.values():
        runner.dead = True
    world.run(5.0)
    outcome = world.outcomes[request][0]
    assert (outcome.kind, outcome.run) == ("refused", "may_have_run")
