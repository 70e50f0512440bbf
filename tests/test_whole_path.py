"""The whole path over several cores in virtual time: serving, changes, outages, stops, weights."""

import pytest

from filbertstream.gateway_events import StopRequested
from filbertstream.names import digest_key
from filbertstream.request.call import PromptBlock
from filbertstream.version.documents import (
    Drain,
    Limits,
    Model,
    Removal,
    Template,
    Workspace,
)
from tests.helpers import all_ready, codes, kinds, ready_world, runs

PARTS = tuple(PromptBlock(f"part-{index}", 2_000) for index in range(10))
REVOKE_S = 5.0


def test_a_prompt_and_its_return_through_another_entry() -> None:
    world = ready_world()
    first = world.request("e1", tokens=20_100, blocks=(*PARTS, PromptBlock("first", 100)))
    world.run(5.0)
    assert sum(target.prefilled_tokens for target in world.targets.values()) == 20_100
    (reader,) = [target for target in world.targets.values() if target.ran]
    reader.draining = True
    world.run(world.bounds.drain_s)
    again = world.request("e2", tokens=20_100, blocks=(*PARTS, PromptBlock("again", 100)))
    world.run(5.0)
    assert kinds(world, first) == kinds(world, again) == ["answered"]
    assert sum(target.prefilled_tokens for target in world.targets.values()) == 20_200


def test_a_booking_repeated_through_another_entry_runs_once() -> None:
    world = ready_world()
    first = world.request("e1", "service", idempotency_key="b")
    world.run(1.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert kinds(world, first) == ["answered"]
    assert kinds(world, second) == ["kept"]
    assert runs(world, "b") == 1


def test_another_body_under_the_same_key_conflicts() -> None:
    world = ready_world()
    world.request("e1", "service", idempotency_key="b", body="one")
    world.run(1.0)
    second = world.request("e2", "service", idempotency_key="b", body="two")
    world.run(1.0)
    assert codes(world, second) == ["key_conflict"]
    assert runs(world, "b") == 1


def test_two_workspaces_may_use_the_same_key() -> None:
    world = ready_world()
    first = world.request("e1", "service", "k", idempotency_key="b")
    second = world.request("e2", "service", "other", idempotency_key="b")
    world.run(1.0)
    assert kinds(world, first) == kinds(world, second) == ["answered"]
    assert runs(world, "b") == 2


def test_an_outage_refuses_bookings_at_once_and_serves_prompts_up_to_the_bound() -> None:
    world = ready_world()
    world.objects.down = True
    booking = world.request("e1", "service", idempotency_key="b")
    prompt = world.request("e2")
    world.run(1.0)
    assert codes(world, booking) == ["claims_unavailable"]
    assert kinds(world, prompt) == ["answered"]
    world.run(REVOKE_S)
    late = world.request("e2")
    world.run(1.0)
    assert codes(world, late) == ["stale"]
    world.objects.down = False
    world.run(5.0)
    again = world.request("e1", "service", idempotency_key="b")
    world.run(1.0)
    assert kinds(world, again) == ["answered"]
    assert runs(world, "b") == 1


def test_an_entry_that_is_cut_off_refuses_new_work_while_the_others_go_on() -> None:
    world = ready_world()
    world.store_cut.add("e1")
    world.run(REVOKE_S + 1.0)
    refused, served = world.request("e1"), world.request("e2")
    world.run(1.0)
    assert codes(world, refused) == ["stale"]
    assert world.outcomes[refused][0].retry_after_s is not None
    assert kinds(world, served) == ["answered"]
    assert not world.cores["e1"].ready(world.now_s)


def test_a_change_is_in_force_at_once_for_all_in_touch_and_binds_all_others() -> None:
    world = ready_world()
    world.store_cut.add("e3")
    ended = world.apply([Workspace("workspace", "w", "t", keys=(digest_key("new"),))])
    assert ended.state == "accepted"
    world.run(world.bounds.config_apply_s)
    for name in ("e1", "e2"):
        old, new = world.request(name, key="k"), world.request(name, key="new")
        world.run(1.0)
        assert codes(world, old) == ["unknown_key"]
        assert kinds(world, new) == ["answered"]
    world.run(REVOKE_S)
    refused = world.request("e3", key="k")
    world.run(1.0)
    assert codes(world, refused) == ["stale"]


def test_racing_operators_one_wins_and_the_other_learns_the_revision() -> None:
    world = ready_world()
    base = world.objects.revision
    revision = world.applied[-1][1].revision
    first = world.apply([Model("model", "m2", 1)], revision)
    second = world.apply([Model("model", "m3", 1)], revision)
    assert (first.state, second.state) == ("accepted", "lost")
    assert second.revision == first.revision > base


def test_a_lost_answer_of_a_change_is_looked_up() -> None:
    world = ready_world()
    world.objects.lose_responses = 1
    ended = world.apply([Model("model", "m2", 1)])
    assert ended.state == "accepted"
    world.run(2.0)
    assert all(
        core.authorizer.config is not None and core.authorizer.config.version == ended.revision
        for core in world.cores.values()
    )


def test_a_change_that_is_carried_out_late_is_not_called_accepted_or_lost() -> None:
    world = ready_world()
    world.objects.late_writes = 1
    assert world.apply([Model("model", "m2", 1)]).state == "unsettled"


def test_a_change_that_contradicts_the_documents_is_invalid() -> None:
    world = ready_world()
    ended = world.apply([Removal("removal", "t", "template")])
    assert (ended.state, "no template t" in ended.detail) == ("invalid", True)


def test_a_newcomer_during_an_outage_is_not_ready() -> None:
    world = ready_world()
    world.objects.down = True
    world.add_entry("e4")
    world.run(5.0)
    request = world.request("e4")
    world.run(1.0)
    assert codes(world, request) == ["starting"]
    world.objects.down = False
    assert world.run_until(lambda: all_ready(world, 1), 10.0)


def test_an_entry_drains_without_cutting_a_request() -> None:
    world = ready_world()
    running = world.request("e1", out_tokens=150)
    booking = world.request("e1", "service", idempotency_key="b")
    world.run(0.1)
    world.deliver("e1", StopRequested())
    world.run(world.bounds.grace_s - 1.0)
    refused = world.request("e1")
    world.run(1.0)
    assert kinds(world, running) == kinds(world, booking) == ["answered"]
    assert codes(world, refused) == ["stopping"]
    assert "e1" not in world.cores["e2"].peers.members


def test_operators_drain_an_entry_by_a_document() -> None:
    world = ready_world()
    world.apply([Drain("drain", "e1")])
    world.run(2.0)
    assert world.cores["e1"].stopping
    assert not world.cores["e2"].stopping


@pytest.mark.parametrize("how", ["registration", "document"])
def test_a_leaving_target_gets_no_new_work_after_the_bound(how: str) -> None:
    world = ready_world()
    if how == "registration":
        world.targets["r1"].draining = True
    else:
        world.apply([Drain("drain", "r1")])
    world.run(world.bounds.drain_s)
    before = len(world.targets["r1"].ran)
    requests = [world.request(f"e{1 + number % 3}") for number in range(12)]
    world.run(3.0)
    assert [kinds(world, request) for request in requests] == [["answered"]] * 12
    assert len(world.targets["r1"].ran) == before


def test_a_version_rolls_out_and_no_request_is_cut_or_begins_late_on_old_weights() -> None:
    world = ready_world()
    world.add_runner("r3", "dc3")
    world.add_runner("r4")
    world.run(3.0)
    world.apply([Model("model", "m", 2)])
    named_s = world.now_s
    requests = []
    for number in range(60):
        requests.append(world.request(f"e{1 + number % 3}", out_tokens=30))
        world.run(0.2)
        loading = [item for item in world.targets.values() if item.loading_until_s > world.now_s]
        assert len(loading) <= 2
        if world.now_s - named_s > world.bounds.version_s:
            assert {world.targets[f"r{n}"].weights for n in range(1, 5)} == {2}
    world.run(3.0)
    assert [kinds(world, request) for request in requests] == [["answered"]] * 60
    orders = sorted(order for target in world.targets.values() for order in target.accepted_orders)
    assert len(orders) == 4
    assert [fence for _, fence, _ in orders] == sorted(fence for _, fence, _ in orders)


def test_a_runner_that_swapped_unseen_is_caught_by_its_own_answer() -> None:
    world = ready_world()
    world.targets["r1"].weights = 7
    requests = [world.request(f"e{1 + number % 3}") for number in range(8)]
    world.run(5.0)
    assert [kinds(world, request) for request in requests] == [["answered"]] * 8


def test_a_dead_runner_costs_repeats_and_no_answer() -> None:
    world = ready_world()
    world.targets["r1"].dead = True
    requests = [world.request(f"e{1 + number % 3}") for number in range(8)]
    world.run(5.0)
    assert [kinds(world, request) for request in requests] == [["answered"]] * 8


@pytest.mark.parametrize("key", ["", "nobody"])
def test_an_unknown_key_is_refused(key: str) -> None:
    world = ready_world()
    request = world.request("e1", key=key)
    world.run(1.0)
    assert codes(world, request) == ["unknown_key"]


def test_a_workspace_over_its_limits_is_refused_and_others_are_served() -> None:
    world = ready_world()
    limits = Limits(concurrent=3, requests_per_s=100.0, prompt_tokens=5_000)
    world.apply(
        [
            Template("template", "small", ("m",), ("s",), limits=limits),
            Workspace("workspace", "w", "small", keys=(digest_key("k"),)),
        ]
    )
    world.run(2.0)
    too_long = world.request("e1", tokens=6_000)
    many = [world.request("e1", out_tokens=50) for _ in range(4)]
    others = world.request("e1", key="other")
    world.run(3.0)
    assert codes(world, too_long) == ["too_large"]
    # One of three entries has a third of the limit.
    assert sorted(codes(world, request)[0] for request in many) == ["", *["concurrency"] * 3]
    assert kinds(world, others) == ["answered"]
