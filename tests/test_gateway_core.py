"""The core of an entry, driven in virtual time without sockets or a clock.

Failures guarded against: calls that run twice or are reported as "not run" after they may have
run, keys admitted on a stale configuration, calls to targets that drain or have old weights, and
retries beyond the budget.
"""

import pytest

from filbertstream.gateway import Gateway, GatewayConfig
from filbertstream.gateway_events import (
    BoundsChanged,
    ConfigurationObserved,
    LeaseObserved,
    ObjectStoreResult,
    StopRequested,
    TargetObserved,
    WeightsNamed,
)
from filbertstream.names import digest_key
from filbertstream.process.rollout_lease import LeaseRecord
from filbertstream.request.call import CallHead
from filbertstream.request.call_events import (
    AbortResponse,
    CallArrived,
    CallerDisconnected,
    CancelSend,
    ContinueResponse,
    FirstEvent,
    RelayResponse,
    RespondLocally,
    ResponseComplete,
    ResponseStarted,
    SendFailed,
)
from filbertstream.version.routes import (
    Workspace,
)
from tests.gateway_world import (
    BOUNDS,
    World,
    configuration,
    entry,
    response_head,
    sends,
    statuses,
)
from tests.helpers import rev


def test_non_idempotent_call_that_may_have_run_is_sent_once_and_fails_with_502() -> None:
    """A connection fails after a non-idempotent call was sent, so the call may have run."""
    for cause in ("cut", "reset", "malformed", "silent"):
        world = World()
        (sent,) = sends(world.arrive("book"))
        actions = world.step(SendFailed(1, sent.number, cause, True, False, None))
        assert not sends(actions)
        assert statuses(actions) == [502]


def test_non_idempotent_call_is_retried_on_another_target_if_no_connection_was_made() -> None:
    """A target is unreachable, so the call can't have run there."""
    world = World()
    (first,) = sends(world.arrive("book"))
    (second,) = sends(world.step(SendFailed(1, first.number, "unreachable", False, False, None)))
    assert second.target_id != first.target_id
    actions = world.step(SendFailed(1, second.number, "unreachable", False, False, None))
    assert statuses(actions) == [503]


def test_non_idempotent_call_rejected_by_its_targets_is_retried_and_then_refused_with_503() -> None:
    """Both targets reject a call with a 503 that says it did not run.

    The last send is a retry after a pause.
    """
    world = World()
    for _ in range(60):
        world.arrive("open", key=None)
    actions = world.arrive("book")
    call_id = world.calls
    targets = []
    while not statuses(actions):
        (sent,) = [item for item in sends(actions) if item.call_id == call_id]
        targets.append(sent.target_id)
        actions = world.step(
            ResponseStarted(call_id, sent.number, response_head(503, not_run=True))
        )
        if not actions[1:] and not statuses(actions):
            actions = world.run(0.2)
    assert sorted(targets[:2]) == ["a1", "a2"]
    assert len(targets) == 3
    assert statuses(actions) == [503]
    assert world.now_s < 100.5


def test_late_response_of_an_earlier_send_is_ignored() -> None:
    """A call is retried because its connection was cut, and the first send's response arrives."""
    world = World()
    world.run(0.1)
    for _ in range(60):
        world.arrive("open", key=None)
    (first,) = sends(world.arrive("read"))
    call_id = world.calls
    (second,) = sends(world.step(SendFailed(call_id, first.number, "cut", True, False, None)))
    assert second.number == first.number + 1
    assert world.step(ResponseStarted(call_id, first.number, response_head())) == []
    assert world.step(ResponseComplete(call_id, first.number, 5)) == []
    assert world.step(ResponseStarted(call_id, second.number, response_head())) == [
        RelayResponse(call_id, second.number, False)
    ]


def test_cut_stream_resumes_on_another_target_after_the_last_event_only_if_resumable() -> None:
    """A connection is cut in the middle of a stream, on a resumable route and on another one."""
    world = World()
    for _ in range(60):
        world.arrive("draft")
    (first,) = sends(world.arrive("draft"))
    call_id = world.calls
    world.step(ResponseStarted(call_id, first.number, response_head()))
    world.step(FirstEvent(call_id, first.number))
    (second,) = sends(world.step(SendFailed(call_id, first.number, "cut", True, True, "7")))
    assert (second.last_event_id, second.target_id != first.target_id) == ("7", True)
    assert world.step(ResponseStarted(call_id, second.number, response_head())) == [
        ContinueResponse(call_id, second.number)
    ]
    (walk,) = sends(world.arrive("walk"))
    world.step(ResponseStarted(world.calls, walk.number, response_head()))
    actions = world.step(SendFailed(world.calls, walk.number, "cut", True, True, "7"))
    assert AbortResponse(world.calls) in actions
    assert not sends(actions)


@pytest.mark.parametrize(
    "head", [{"status": 500}, {"status": 503}, {"content_type": "text/html"}], ids=str
)
def test_error_of_the_next_runner_is_passed_on_as_the_rest_of_a_stream(
    head: dict[str, object],
) -> None:
    """A stream breaks, and the next runner answers with an error, maybe with status 200."""
    world = World()
    for _ in range(60):
        world.arrive("draft")
    (first,) = sends(world.arrive("draft"))
    call_id = world.calls
    streamed = response_head(content_type="text/event-stream")
    world.step(ResponseStarted(call_id, first.number, streamed))
    world.step(FirstEvent(call_id, first.number))
    (second,) = sends(world.step(SendFailed(call_id, first.number, "cut", True, True, "7")))
    actions = world.step(
        ResponseStarted(call_id, second.number, streamed._replace(**head))  # type: ignore[arg-type]
    )
    assert not any(isinstance(action, ContinueResponse) for action in actions)
    assert sends(actions) or AbortResponse(call_id) in actions


def test_unsigned_or_encoded_success_is_not_relayed() -> None:
    """A target sends a success without a signature or with a content encoding."""
    for wrong in (response_head(signed=False), response_head(encoded=True)):
        world = World()
        (sent,) = sends(world.arrive("book"))
        actions = world.step(ResponseStarted(1, sent.number, wrong))
        assert statuses(actions) == [502]


def test_send_of_a_disconnected_caller_is_cancelled_at_once() -> None:
    """A caller disconnects while its call runs."""
    world = World()
    (sent,) = sends(world.arrive("walk"))
    assert world.step(CallerDisconnected(1)) == [CancelSend(1, sent.number)]
    assert world.core.roster.targets[sent.target_id].outstanding == 0


def test_call_that_may_have_run_ends_with_504_at_its_timeout() -> None:
    """A target never responds to a non-idempotent call."""
    world = World()
    world.arrive("book")
    assert statuses(world.run(10.2)) == [504]


def test_no_key_is_admitted_when_the_configuration_is_not_confirmed_within_the_bound() -> None:
    """The object store stops responding, so a removed key can't be noticed.

    Anonymous routes stay open.
    """
    world = World()
    world.run(4.0, confirm=False)
    assert sends(world.arrive("read"))
    world.run(1.0, confirm=False)
    assert statuses(world.arrive("read")) == [503]
    assert sends(world.arrive("open", key=None))
    world.confirm()
    assert sends(world.arrive("read"))


def test_configuration_is_stale_right_after_the_vm_was_suspended() -> None:
    """A VM is suspended for longer than the bound, and a call arrives before any timer fires."""
    world = World()
    world.now_s += 6.0  # The clock counts suspended time, and no event arrives during it.
    assert statuses(world.arrive("read")) == [503]
    assert not world.core.ready(world.now_s)


def test_age_of_a_configuration_counts_from_when_its_request_was_sent() -> None:
    """The object store's response takes 3.5 s, and its content may be as old as the request."""
    world = World()
    world.now_s += 4.0
    world.step(ConfigurationObserved(None, world.now_s - 3.5))
    world.now_s += 1.6
    assert statuses(world.arrive("read")) == [503]


def test_unknown_routes_and_keys_are_denied_only_by_a_current_configuration() -> None:
    """A route or key may have been added after the entry's copy became stale.

    A 404 or 401 would be wrong then, and also before the entry has any copy.
    """
    world = World()
    assert statuses(world.arrive("none")) == [404]
    assert statuses(world.arrive("read", key="x")) == [401]
    assert statuses(world.arrive("read", key=None)) == [401]
    world.run(2.0, confirm=False)
    assert statuses(world.arrive("none")) == [503]
    assert statuses(world.arrive("read", key="x")) == [503]
    fresh = Gateway(GatewayConfig("e2", 1, "dc1", BOUNDS, "", 7))
    head = CallHead("q", "GET", "h.example", "/none/", None, None, 0, None, None)
    refused, _ = fresh.step(100.0, CallArrived(1, head))
    assert isinstance(refused, RespondLocally)
    assert refused.status == 503


def test_older_configuration_version_is_ignored_and_a_removed_key_stays_refused() -> None:
    """An older configuration arrives after a newer one."""
    world = World()
    world.step(ConfigurationObserved(configuration(3, keys=("new",)), world.now_s))
    world.step(ConfigurationObserved(configuration(2, keys=("k",)), world.now_s))
    assert statuses(world.arrive("read", key="k")) == [401]
    assert sends(world.arrive("read", key="new"))


def test_draining_or_unreadable_target_gets_no_call() -> None:
    """A target's registration changes to draining, or to content that can't be decoded."""
    world = World()
    world.step(TargetObserved("a1", entry("a1", "app", draining=True), False))
    assert {sends(world.arrive("read"))[0].target_id for _ in range(9)} == {"a2"}
    world.step(TargetObserved("a2", None, False))
    assert statuses(world.arrive("read")) == [503]


def test_changed_registration_takes_no_calls_from_unchanged_ones() -> None:
    """One of two targets registers again.

    The object store reports only changes, so a healthy target's registration never changes, and its
    age must not count against it.
    """
    world = World()
    world.run(20.0)
    world.step(TargetObserved("a1", entry("a1", "app", warmup_left_s=0.5), False))
    assert {sends(world.arrive("read"))[0].target_id for _ in range(9)} == {"a1", "a2"}


def test_expired_registration_is_kept_during_an_object_store_outage() -> None:
    """A registration expires while the object store fails, because its target could not renew it.

    The target is removed only some time after the object store is back.
    """
    world = World()
    world.step(ObjectStoreResult("servers", False, "unsure"))
    world.step(TargetObserved("a1", None, True))
    world.run(4.0)
    assert "a1" in world.core.roster.targets
    world.step(ObjectStoreResult("servers", True, ""))
    world.run(2.0)
    assert "a1" in world.core.roster.targets
    world.run(0.6)
    assert "a1" not in world.core.roster.targets


def test_expired_registration_that_is_renewed_after_an_outage_keeps_its_target() -> None:
    """A registration expires during an object store outage and is renewed right after it."""
    world = World()
    world.step(ObjectStoreResult("servers", False, "unsure"))
    world.step(TargetObserved("a1", None, True))
    world.step(ObjectStoreResult("servers", True, ""))
    world.run(1.5)
    world.step(TargetObserved("a1", entry("a1", "app"), False))
    world.run(3.0)
    assert "a1" in world.core.roster.targets


def test_stopping_entry_is_not_ready_and_refuses_calls_that_might_not_finish() -> None:
    """An entry drains: long calls are refused first and short ones later, as less time is left."""
    world = World()
    world.step(StopRequested())
    assert not world.core.ready(world.now_s)
    world.run(2.0)
    assert sends(world.arrive("draft"))
    world.run(1.0)
    assert statuses(world.arrive("draft")) == [503]
    assert sends(world.arrive("read", deadline_s=3.0))
    world.run(3.5)
    assert statuses(world.arrive("read", deadline_s=3.0)) == [503]


def test_retries_stay_within_their_fraction_of_the_calls() -> None:
    """Every call's connection is cut, and each of these calls could be retried."""
    world = World()
    retries = 0
    for _ in range(200):
        actions = world.arrive("read")
        (sent,) = sends(actions)
        failed = world.step(SendFailed(world.calls, sent.number, "cut", True, False, None))
        retries += len(sends(failed))
    assert retries <= 0.2 * 200


def test_cache_namespace_contains_the_weights_and_a_dedicated_workspace() -> None:
    """Cache blocks must not be shared between dedicated workspaces or between weight versions."""
    world = World()
    config = configuration(2)
    workspaces = {
        digest_key("k"): Workspace("w"),
        digest_key("k2"): Workspace("w2"),
        digest_key("d"): Workspace("d", dedicated=True),
        digest_key("d2"): Workspace("d2", dedicated=True),
    }
    world.step(ConfigurationObserved(config._replace(workspaces=workspaces), world.now_s))

    def namespace(key: str) -> str:
        (sent,) = sends(world.arrive("draft", key=key))
        assert sent.cache is not None
        return sent.cache.namespace

    assert namespace("k") == namespace("k2")
    assert len({namespace("k"), namespace("d"), namespace("d2")}) == 3
    before = namespace("k")
    for name in ("r1", "r2"):
        world.step(TargetObserved(name, entry(name, "models", weights={"m": 2}), False))
    (sent,) = sends(world.arrive("draft"))
    assert sent.cache is not None
    assert (sent.cache.namespace != before, sent.cache.weights) == (True, 2)


def test_runner_with_old_weights_gets_no_call_near_the_end_of_the_bound() -> None:
    """New weights are named, and one of two runners is not swapped in time."""
    world = World()
    world.step(WeightsNamed("m", 2))
    world.step(TargetObserved("r1", entry("r1", "models", weights={"m": 2}), False))
    world.run(7.0)
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(9)} == {"r1"}
    world.step(TargetObserved("r1", None, True))
    assert statuses(world.arrive("draft")) == [503]


def test_entry_that_starts_during_a_roll_out_uses_new_weights_only() -> None:
    """An entry starts when some runners have new weights.

    It has no time of naming for weights that were named before its start.
    """
    world = World()
    world.step(TargetObserved("r1", entry("r1", "models", weights={"m": 2}), False))
    world.step(WeightsNamed("m", 2, True))
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(9)} == {"r1"}
    world.step(TargetObserved("r1", entry("r1", "models", weights={"m": 2}, draining=True), False))
    assert statuses(world.arrive("draft")) == [503]


def test_entry_that_starts_between_two_roll_outs_uses_the_newest_loaded_weights() -> None:
    """Load pattern:

    weights are named twice before the first roll-out is over, and entries are killed. No runner has
    the weights named last.
    """
    world = World()
    world.step(TargetObserved("r1", entry("r1", "models", weights={"m": 2}), False))
    world.step(WeightsNamed("m", 3, True))
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(9)} == {"r1"}


def test_entry_that_starts_before_any_swap_uses_old_weights_for_a_limited_time() -> None:
    """An entry starts when weights were named and no runner has loaded them yet."""
    world = World()
    world.step(WeightsNamed("m", 2, True))
    assert sends(world.arrive("draft"))
    world.run(3.0)
    assert statuses(world.arrive("draft")) == [503]


@pytest.mark.parametrize("kind", ["read", "draft"])
def test_simultaneous_calls_are_spread_over_the_targets(kind: str) -> None:
    """Load pattern: calls arrive together, before any target has reported its load."""
    world = World()
    chosen = [sends(world.arrive(kind))[0].target_id for _ in range(40)]
    assert all(chosen.count(name) >= 10 for name in set(chosen))
    assert len(set(chosen)) == 2


def test_runner_that_rejects_the_expected_weights_is_recorded_with_newer_ones() -> None:
    """A runner is swapped without an order of the entry, and its 421 contains no version."""
    world = World()
    for _ in range(60):
        world.arrive("draft")
    (sent,) = sends(world.arrive("draft"))
    refusal = response_head(421, target_id=sent.target_id)
    (again,) = sends(world.step(ResponseStarted(world.calls, sent.number, refusal)))
    assert again.target_id != sent.target_id
    assert world.core.roster.targets[sent.target_id].weights["m"] == 2


def test_retry_uses_a_new_connection() -> None:
    """A send got no response; other idle connections to the target may be broken as well."""
    world = World()
    for _ in range(40):
        world.arrive("read")
    (first,) = sends(world.arrive("read"))
    assert first.max_idle_s > 0
    failed = SendFailed(world.calls, first.number, "silent", True, False, None)
    (second,) = sends(world.step(failed))
    assert second.max_idle_s == 0


def test_simultaneous_rejections_raise_the_recorded_weights_only_once() -> None:
    """Several calls under way are rejected for the same swap.

    If each raised the recorded version, it would exceed the real one and the runner would reject
    every later call.
    """
    world = World()
    sent = [sends(world.arrive("draft"))[0] for _ in range(8)]
    target = world.core.roster.targets["r1"]
    for call_id, send in enumerate(sent, start=1):
        if send.target_id == "r1":
            refusal = response_head(421, not_run=True, target_id="r1")
            world.step(ResponseStarted(call_id, send.number, refusal))
    assert target.weights["m"] == 2


def test_weight_version_in_a_rejection_is_recorded_as_reported() -> None:
    """A runner's 421 reports its weight version, which is several versions ahead."""
    world = World()
    (send,) = sends(world.arrive("draft"))
    refusal = response_head(421, not_run=True, target_id=send.target_id, weights=5)
    world.step(ResponseStarted(1, send.number, refusal))
    assert world.core.roster.targets[send.target_id].weights["m"] == 5


def test_runner_of_an_unresponsive_leader_gets_calls_again() -> None:
    """Load pattern:

    the leader of a roll-out is cut off, and all calls crowd on the runners that it was not
    swapping.
    """
    world = World()
    world.step(WeightsNamed("m", 2))
    world.step(LeaseObserved(LeaseRecord("e9#1", 1, True, 1, ["r1"]), rev(5)))
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(8)} == {"r2"}
    world.run(1.5)
    assert sends(world.arrive("draft"))[0].target_id == "r1"


def test_prompt_that_all_runners_reject_during_a_swap_is_retried_after_a_pause() -> None:
    """Load pattern: weights are swapped, and for half a second no runner accepts a prompt."""
    world = World()
    for _ in range(60):
        world.arrive("draft")
    actions = world.arrive("draft")
    call_id = world.calls
    for _ in range(2):
        (sent,) = sends(actions)
        actions = world.step(
            ResponseStarted(call_id, sent.number, response_head(503, not_run=True))
        )
    assert not sends(actions)
    assert not statuses(actions)
    later = [sent for sent in sends(world.run(0.2)) if sent.call_id == call_id]
    assert len(later) == 1


def test_call_without_any_target_is_refused_at_once() -> None:
    """All registrations of a service have expired."""
    world = World()
    for name in ("a1", "a2"):
        world.step(TargetObserved(name, None, True))
    assert statuses(world.arrive("read")) == [503]


def test_changed_bounds_take_effect_at_once() -> None:
    """An operator lowers the revocation bound below the age of the current configuration."""
    world = World()
    world.run(3.0, confirm=False)
    assert sends(world.arrive("read"))
    world.step(BoundsChanged(BOUNDS._replace(revoke_s=2.0)))
    assert statuses(world.arrive("read")) == [503]
