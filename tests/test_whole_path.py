"""The core over fakes in virtual time: requests, claims, configuration, drains, swaps."""

import pytest

from bench.world import World
from filbertstream.actions import SendAttempt
from filbertstream.version.documents import Model, Workspace
from tests.helpers import ready_world


def answered(world: World, request_id: str) -> bool:
    return [outcome.kind for outcome in world.outcomes[request_id]] == ["answered"]


def test_a_prompt_and_its_return_through_another_entry() -> None:
    world = ready_world()
    pieces = tuple(bytes([index]) * 16 for index in range(4))
    first = world.request("e1", tokens=9_000, pieces=pieces)
    world.run(5.0)
    assert answered(world, first)
    for runner in world.runners.values():
        runner.cache.clear()
    world.run(6.0)
    computed = sum(runner.computed_tokens for runner in world.runners.values())
    again = world.request("e2", tokens=9_000, pieces=pieces)
    world.run(5.0)
    assert answered(world, again)
    computed_again = sum(runner.computed_tokens for runner in world.runners.values()) - computed
    assert computed_again == 1_000


def test_a_booking_repeated_through_another_entry_runs_once() -> None:
    world = ready_world()
    first = world.request("e1", "service", idempotency_key="b")
    world.run(1.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert answered(world, first)
    assert [outcome.kind for outcome in world.outcomes[second]] == ["kept"]
    assert sum(service.runs["b"] for service in world.services.values()) == 1


def test_another_body_under_the_same_key_conflicts() -> None:
    world = ready_world()
    world.request("e1", "service", idempotency_key="b", body="one")
    world.run(1.0)
    second = world.request("e3", "service", idempotency_key="b", body="two")
    world.run(1.0)
    assert [outcome.code for outcome in world.outcomes[second]] == ["key_conflict"]


def test_two_workspaces_may_use_the_same_key() -> None:
    world = ready_world()
    one = world.request("e1", "service", idempotency_key="b")
    two = world.request("e2", "service", idempotency_key="b", key="other")
    world.run(1.0)
    assert answered(world, one)
    assert answered(world, two)


def test_platform_outage_refuses_bookings_at_once_and_serves_prompts() -> None:
    world = ready_world()
    world.platform.down = True
    world.run(20.0)
    asked_s = world.now_s
    booking = world.request("e1", "service", idempotency_key="b")
    prompt = world.request("e2")
    world.run(2.0)
    outcome = world.outcomes[booking][0]
    assert (outcome.code, outcome.run) == ("claims_unavailable", "not_run")
    assert outcome.at_s - asked_s < 0.1
    assert outcome.retry_after_s > 0
    assert answered(world, prompt)
    assert not any(service.runs for service in world.services.values())
    world.platform.down = False
    world.run(5.0)
    again = world.request("e1", "service", idempotency_key="b")
    world.run(1.0)
    assert answered(world, again)


def test_an_entry_that_hears_nobody_refuses_new_work() -> None:
    world = ready_world()
    world.platform_cut.add("e1")
    world.cut |= {frozenset(("e1", "e2")), frozenset(("e1", "e3"))}
    world.run(4.0)
    request = world.request("e1")
    world.run(1.0)
    assert [outcome.code for outcome in world.outcomes[request]] == ["stale"]


def test_a_minority_without_platform_stops_while_the_majority_goes_on() -> None:
    world = ready_world(5)
    for one in ("e1", "e2"):
        world.platform_cut.add(one)
        world.cut |= {frozenset((one, other)) for other in ("e3", "e4", "e5")}
    world.run(4.0)
    assert world.cores["e1"].blocked(world.now_s) == "stale"
    assert world.cores["e2"].blocked(world.now_s) == "stale"
    assert world.cores["e3"].blocked(world.now_s) is None


def test_a_change_waits_for_a_silent_member_and_is_staged_or_accepted_after_its_death() -> None:
    world = ready_world()
    world.paused.add("e3")
    change = world.apply("e1", [Model("model", "m", "v1")])
    world.run(3.0)
    assert world.applied[change] == []
    world.run(5.0)
    assert world.applied[change][0].state == "accepted"
    assert world.cores["e3"].config.revision < world.cores["e1"].config.revision
    # The paused member takes no work before it has caught up: its own clock tells.
    world.resume("e3")
    request = world.request("e3")
    world.run(2.0)
    assert world.cores["e3"].config.revision == world.cores["e1"].config.revision
    assert [outcome.kind for outcome in world.outcomes[request]] in (["refused"], ["answered"])


def test_racing_operators_one_wins_and_the_other_learns_the_revision() -> None:
    world = ready_world()
    base = world.cores["e1"].config.revision
    one = world.apply("e1", [Model("model", "m", "v1")], base)
    two = world.apply("e2", [Model("model", "m2", "v1")], base)
    world.run(3.0)
    states = sorted(world.applied[name][0].state for name in (one, two))
    assert states == ["accepted", "lost"]
    lost = next(
        ended for name in (one, two) for ended in world.applied[name] if ended.state == "lost"
    )
    assert lost.revision == base + 1


def test_a_lost_answer_of_a_change_is_settled_by_its_nonce() -> None:
    world = ready_world()
    world.platform.lose_answers = 1
    change = world.apply("e2", [Model("model", "m2", "v1")])
    world.run(5.0)
    assert [ended.state for ended in world.applied[change]] == ["accepted"]
    revisions = {core.config.revision for core in world.cores.values()}
    assert revisions == {2}


def test_a_newcomer_during_an_outage_is_not_ready() -> None:
    world = ready_world()
    world.platform.down = True
    world.run(1.0)
    newcomer = world.add_entry("e4")
    world.run(10.0)
    assert newcomer.blocked(world.now_s) == "starting"
    world.platform.down = False
    world.run(5.0)
    assert newcomer.blocked(world.now_s) is None
    assert newcomer.config.revision == 1


def test_an_entry_drains_without_cutting_a_request() -> None:
    world = ready_world()
    request = world.request("e1", out_tokens=100)
    world.run(0.5)
    drain = world.drain("e1", "vm-e1")
    refused = world.request("e1")
    world.run(0.5)
    assert world.drained[drain] == []
    world.run(5.0)
    assert answered(world, request)
    assert [outcome.code for outcome in world.outcomes[refused]] == ["draining"]
    assert [ended.state for ended in world.drained[drain]] == ["drained"]


def test_a_leaving_target_gets_no_new_work_after_seconds_though_the_list_lags() -> None:
    world = ready_world()
    world.list_lag_s = 60.0
    world.drain("e2", "vm-r1")
    world.run(1.5)
    sent: list[str] = []

    def note(name: str, action: object) -> None:
        if isinstance(action, SendAttempt):
            sent.append(action.target)

    world.on_action = note
    requests = [world.request(f"e{1 + index % 3}") for index in range(30)]
    world.run(3.0)
    assert all(answered(world, request) for request in requests)
    assert set(sent) == {"r2"}


def test_a_version_rolls_out_two_at_a_time_and_no_request_is_cut() -> None:
    world = ready_world()
    for number in range(3, 7):
        world.add_runner(f"r{number}")
    world.run(4.0)
    most = 0

    def count(name: str, action: object) -> None:
        nonlocal most
        most = max(most, sum(len(core.duties.rollout.swapping()) for core in world.cores.values()))

    world.on_action = count
    world.apply("e1", [Model("model", "m", "v2")])
    requests = []
    for index in range(200):
        requests.append(world.request(f"e{1 + index % 3}"))
        world.run(0.2)
    world.run(10.0)
    assert {runner.weight_version for runner in world.runners.values()} == {"v2"}
    assert most == 2
    assert all(answered(world, request) for request in requests)


def test_a_runner_that_swapped_unseen_is_caught_by_its_own_answer() -> None:
    world = ready_world()
    world.runners["r1"].weight_version = "v9"
    requests = [world.request("e1") for _ in range(6)]
    world.run(3.0)
    assert all(answered(world, request) for request in requests)
    assert world.runners["r1"].computed_tokens == 0


def test_a_dead_runner_costs_retries_and_no_answer() -> None:
    world = ready_world()
    world.runners["r1"].dead = True
    requests = [world.request("e1") for _ in range(8)]
    world.run(3.0)
    assert all(answered(world, request) for request in requests)


@pytest.mark.parametrize("key", ["nobody", ""])
def test_an_unknown_key_is_refused(key: str) -> None:
    world = ready_world()
    request = world.request("e1", key=key)
    assert [outcome.code for outcome in world.outcomes[request]] == ["unauthorized"]


def test_a_removed_key_stops_working_everywhere() -> None:
    world = ready_world()
    world.apply("e2", [Workspace("workspace", "x", "t", keys=())])
    world.run(2.0)
    for member in world.cores:
        request = world.request(member, key="other")
        assert [outcome.code for outcome in world.outcomes[request]] == ["unauthorized"]
