"""Directed faults over several cores in virtual time, one promise for each test.

Failures guarded against: a non-idempotent call runs twice or is wrongly reported as not run, an
idempotency key stays blocked, and a stored response is lost.  They come about when targets, entries
or the object store fail between the steps of a call.
"""

from bench.world import World
from filbertstream.request.call import PromptBlock
from filbertstream.request.call_events import CallerDisconnected
from tests.helpers import codes, kinds, ready_world, runs

BLOCKS = tuple(PromptBlock(f"part-{index}", 2_000) for index in range(4))


def world_with_running_call(run_s: float) -> World:
    """Return a world in which a call of the first entry runs at a service for ``run_s``."""
    world = ready_world()
    for name in ("s1", "s2"):
        world.targets[name].run_s = run_s
    world.request("e1", "service", idempotency_key="b")
    world.run(0.2)
    return world


def test_keyed_call_cut_after_it_ran_is_not_retried() -> None:
    """A target runs a call and its response is lost; the caller sends the key to another entry."""
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


def test_keyed_call_to_a_dead_target_is_sent_to_another_and_runs_once() -> None:
    """One of two service targets is dead."""
    world = ready_world()
    world.targets["s1"].dead = True
    request = world.request("e1", "service", idempotency_key="b")
    world.run(2.0)
    assert kinds(world, request) == ["answered"]
    assert runs(world, "b") == 1


def test_keyed_call_that_reached_no_target_can_be_made_later() -> None:
    """All targets of a service are dead when a call arrives, and are back later."""
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


def test_entry_killed_during_a_keyed_call_leaves_a_key_that_is_not_run_again() -> None:
    """The entry that claimed a key is killed while the call runs, so its outcome is not stored."""
    world = world_with_running_call(0.5)
    world.kill("e1")
    second = world.request("e2", "service", idempotency_key="b")
    world.run(20.0)
    assert codes(world, second) == ["key_running"]
    third = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert codes(world, third) == ["outcome_unknown"]
    assert runs(world, "b") == 1


def test_key_of_a_restarted_entry_does_not_stay_marked_as_running() -> None:
    """The entry that claimed a key is killed and starts again as a new incarnation."""
    world = world_with_running_call(0.5)
    world.kill("e1")
    world.add_entry("e1")
    world.run(2.0)
    second = world.request("e2", "service", idempotency_key="b")
    world.run(1.0)
    assert codes(world, second) == ["outcome_unknown"]
    assert runs(world, "b") == 1


def test_retry_during_the_run_gets_a_retry_time_and_then_the_stored_response() -> None:
    """A caller sends the same key to another entry while its call runs."""
    world = world_with_running_call(1.0)
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


def test_claim_whose_response_was_lost_is_resolved_and_its_call_runs_once() -> None:
    """The object store takes a claim, and its response is lost."""
    world = ready_world()
    world.objects.lose_responses = 1
    request = world.request("e1", "service", idempotency_key="b")
    world.run(4.0)
    assert kinds(world, request) == ["answered"]
    assert runs(world, "b") == 1


def test_claim_that_is_carried_out_late_does_not_block_its_key() -> None:
    """The object store carries claims out after the call has ended as not run."""
    world = ready_world()
    world.objects.late_writes = 3
    first = world.request("e1", "service", idempotency_key="b", deadline_s=1.0)
    world.run(12.0)
    assert [outcome.run for outcome in world.outcomes[first]] == ["not_run"]
    second = world.request("e2", "service", idempotency_key="b")
    world.run(4.0)
    assert kinds(world, second) == ["answered"]
    assert runs(world, "b") == 1


def test_paused_entry_does_not_run_its_claimed_call_a_second_time_on_resuming() -> None:
    """An entry is suspended while its claim is being written, and the key is used elsewhere."""
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


def test_planned_stop_waits_until_the_outcome_of_a_keyed_call_is_stored() -> None:
    """The object store is slow when an entry stops right after it has sent a response."""
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


def test_dead_cache_store_delays_a_response_but_does_not_fail_it() -> None:
    """A cache store dies after it reported the blocks that a prompt needs."""
    world = ready_world()
    world.request("e1", tokens=8_000, blocks=BLOCKS)
    world.run(5.0)
    assert world.stores["st1"].blocks
    world.stores["st1"].dead = True
    for target in world.targets.values():
        target.cache.clear()
    again = world.request("e2", tokens=8_000, blocks=BLOCKS)
    world.run(5.0)
    assert kinds(world, again) == ["answered"]


def test_stream_whose_runners_all_die_ends_as_an_error() -> None:
    """All runners die in the middle of a stream."""
    world = ready_world()
    request = world.request("e1", out_tokens=100)
    world.run(0.5)
    for target in world.targets.values():
        target.dead = True
    world.run(13.0)
    outcome = world.outcomes[request][0]
    assert (outcome.kind, outcome.run) == ("broken", "may_have_run")


def test_key_of_a_caller_that_disconnected_during_the_run_may_have_run() -> None:
    """A caller disconnects while its call runs and sends the key again."""
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
