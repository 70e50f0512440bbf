"""The complete path over several cores in virtual time.

Failures guarded against: prefixes that are recomputed, calls that run twice, work on a stale
configuration, requests cut by drains and roll-outs, and limits that are not kept.  They come about
through outages, races between operators, drains, swaps and dead runners.
"""

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
from tests.helpers import all_ready, codes, kinds, ready_world, rev, runs

BLOCKS = tuple(PromptBlock(f"part-{index}", 2_000) for index in range(10))
REVOKE_S = 5.0


def test_returning_prompt_reuses_its_cache_through_another_entry_and_runner() -> None:
    """A prompt returns through another entry when the runner that computed its prefix drains."""
    world = ready_world()
    first = world.request("e1", tokens=20_100, blocks=(*BLOCKS, PromptBlock("first", 100)))
    world.run(5.0)
    assert sum(target.prefilled_tokens for target in world.targets.values()) == 20_100
    (first_runner,) = [target for target in world.targets.values() if target.ran]
    first_runner.draining = True
    world.run(world.bounds.drain_s)
    again = world.request("e2", tokens=20_100, blocks=(*BLOCKS, PromptBlock("again", 100)))
    world.run(5.0)
    assert kinds(world, first) == kinds(world, again) == ["answered"]
    assert sum(target.prefilled_tokens for target in world.targets.values()) == 20_200


def test_keyed_call_retried_through_another_entry_runs_once() -> None:
    """A caller sends the same idempotency key to two entries."""
    world = ready_world()
    first = world.request("e1", "service", idempotency_key="b")
    world.run(1.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert kinds(world, first) == ["answered"]
    assert kinds(world, second) == ["kept"]
    assert runs(world, "b") == 1


def test_other_body_with_the_same_idempotency_key_conflicts() -> None:
    """A caller uses one idempotency key for two different requests."""
    world = ready_world()
    world.request("e1", "service", idempotency_key="b", body="one")
    world.run(1.0)
    second = world.request("e2", "service", idempotency_key="b", body="two")
    world.run(1.0)
    assert codes(world, second) == ["key_conflict"]
    assert runs(world, "b") == 1


def test_two_workspaces_may_use_the_same_idempotency_key() -> None:
    """Keys of different workspaces are independent, although their texts are equal."""
    world = ready_world()
    first = world.request("e1", "service", "k", idempotency_key="b")
    second = world.request("e2", "service", "other", idempotency_key="b")
    world.run(1.0)
    assert kinds(world, first) == kinds(world, second) == ["answered"]
    assert runs(world, "b") == 2


def test_outage_refuses_keyed_calls_at_once_and_serves_prompts_up_to_the_bound() -> None:
    """The object store is down: no key can be claimed, and the configuration becomes stale."""
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


def test_entry_cut_off_from_the_object_store_refuses_new_work_and_its_peers_do_not() -> None:
    """One entry loses the object store for longer than the bound."""
    world = ready_world()
    world.store_cut.add("e1")
    world.run(REVOKE_S + 1.0)
    refused, served = world.request("e1"), world.request("e2")
    world.run(1.0)
    assert codes(world, refused) == ["stale"]
    assert world.outcomes[refused][0].retry_after_s is not None
    assert kinds(world, served) == ["answered"]
    assert not world.cores["e1"].ready(world.now_s)


def test_change_takes_effect_at_once_on_current_entries_and_stale_ones_refuse_calls() -> None:
    """A key is replaced while one entry is cut off from the object store."""
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


def test_of_two_racing_operators_one_wins_and_the_other_gets_the_new_revision() -> None:
    """Two operators apply changes to the same base revision."""
    world = ready_world()
    base = world.objects.as_of
    revision = world.applied[-1][1].revision.number
    first = world.apply([Model("model", "m2", 1)], revision)
    second = world.apply([Model("model", "m3", 1)], revision)
    assert (first.state, second.state) == ("accepted", "lost")
    assert second.revision == first.revision > base


def test_change_whose_response_was_lost_is_read_back() -> None:
    """The object store takes a change, and its response is lost."""
    world = ready_world()
    world.objects.lose_responses = 1
    ended = world.apply([Model("model", "m2", 1)])
    assert ended.state == "accepted"
    world.run(2.0)
    assert all(
        core.authorizer.config is not None and core.authorizer.config.version == ended.revision
        for core in world.cores.values()
    )


def test_change_that_is_carried_out_late_is_reported_as_unsettled() -> None:
    """A write gets no response and may still take effect."""
    world = ready_world()
    world.objects.late_writes = 1
    assert world.apply([Model("model", "m2", 1)]).state == "unsettled"


def test_change_that_contradicts_other_documents_is_invalid() -> None:
    """An operator removes a template that a workspace uses."""
    world = ready_world()
    ended = world.apply([Removal("removal", "t", "template")])
    assert (ended.state, "no template t" in ended.detail) == ("invalid", True)


def test_entry_that_starts_during_an_outage_is_not_ready() -> None:
    """An entry starts while the object store is down, so it has no configuration."""
    world = ready_world()
    world.objects.down = True
    world.add_entry("e4")
    world.run(5.0)
    request = world.request("e4")
    world.run(1.0)
    assert codes(world, request) == ["starting"]
    world.objects.down = False
    assert world.run_until(lambda: all_ready(world, rev(1)), 10.0)


def test_entry_drains_without_cutting_a_request() -> None:
    """An entry is stopped while it has a stream and a keyed call in progress."""
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


def test_drain_document_stops_an_entry() -> None:
    """An operator applies a drain document that names one entry."""
    world = ready_world()
    world.apply([Drain("drain", "e1")])
    world.run(2.0)
    assert world.cores["e1"].stopping.begun
    assert not world.cores["e2"].stopping.begun


@pytest.mark.parametrize("how", ["registration", "document"])
def test_leaving_target_gets_no_new_work_after_the_bound(how: str) -> None:
    """A target is drained by its registration or by an operator's document."""
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


def test_roll_out_cuts_no_request_and_ends_calls_on_old_weights_within_the_bound() -> None:
    """Weights are named under load. No more than half of the runners may load at once."""
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


def test_unannounced_swap_of_a_runner_is_detected_by_its_response() -> None:
    """A runner loads other weights without an order, and rejects the expected version."""
    world = ready_world()
    world.targets["r1"].weights = 7
    requests = [world.request(f"e{1 + number % 3}") for number in range(8)]
    world.run(5.0)
    assert [kinds(world, request) for request in requests] == [["answered"]] * 8


def test_dead_runner_causes_retries_but_no_failed_call() -> None:
    """One runner is dead but still registered."""
    world = ready_world()
    world.targets["r1"].dead = True
    requests = [world.request(f"e{1 + number % 3}") for number in range(8)]
    world.run(5.0)
    assert [kinds(world, request) for request in requests] == [["answered"]] * 8


@pytest.mark.parametrize("key", ["", "nobody"])
def test_unknown_api_key_is_refused(key: str) -> None:
    """A caller sends no API key, or one of no workspace."""
    world = ready_world()
    request = world.request("e1", key=key)
    world.run(1.0)
    assert codes(world, request) == ["unknown_key"]


def test_workspace_over_its_limits_is_refused_and_others_are_served() -> None:
    """A workspace exceeds its prompt length and its concurrency."""
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
    # Each of three entries enforces a third of the limit.
    assert sorted(codes(world, request)[0] for request in many) == ["", *["concurrency"] * 3]
    assert kinds(world, others) == ["answered"]
