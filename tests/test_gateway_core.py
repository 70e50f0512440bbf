"""The core of an entry on the platform, driven in virtual time: no sockets, no clock."""

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
    answer,
    configuration,
    entry,
    sends,
    statuses,
)


def test_a_booking_that_may_have_run_is_sent_once_and_never_refused_as_not_run() -> None:
    for cause in ("cut", "reset", "malformed", "silent"):
        world = World()
        (sent,) = sends(world.arrive("book"))
        actions = world.tell(SendFailed(1, sent.number, cause, True, False, None))
        assert not sends(actions)
        assert statuses(actions) == [502]


def test_a_booking_whose_connection_was_never_made_goes_to_another_target() -> None:
    world = World()
    (first,) = sends(world.arrive("book"))
    (second,) = sends(world.tell(SendFailed(1, first.number, "unreachable", False, False, None)))
    assert second.target_id != first.target_id
    actions = world.tell(SendFailed(1, second.number, "unreachable", False, False, None))
    assert statuses(actions) == [503]


def test_a_booking_refused_by_its_target_is_sent_again_and_then_refused_as_not_run() -> None:
    world = World()
    for _ in range(60):
        world.arrive("open", key=None)
    actions = world.arrive("book")
    call_id = world.calls
    targets = []
    while not statuses(actions):
        (sent,) = [item for item in sends(actions) if item.call_id == call_id]
        targets.append(sent.target_id)
        actions = world.tell(ResponseStarted(call_id, sent.number, answer(503, not_run=True)))
        if not actions[1:] and not statuses(actions):
            actions = world.run(0.2)
    assert sorted(targets[:2]) == ["a1", "a2"]
    assert len(targets) == 3
    assert statuses(actions) == [503]
    assert world.now_s < 100.5


def test_a_late_answer_of_an_earlier_send_changes_nothing() -> None:
    world = World()
    world.run(0.1)
    for _ in range(60):
        world.arrive("open", key=None)
    (first,) = sends(world.arrive("read"))
    call_id = world.calls
    (second,) = sends(world.tell(SendFailed(call_id, first.number, "cut", True, False, None)))
    assert second.number == first.number + 1
    assert world.tell(ResponseStarted(call_id, first.number, answer())) == []
    assert world.tell(ResponseComplete(call_id, first.number, 5)) == []
    assert world.tell(ResponseStarted(call_id, second.number, answer())) == [
        RelayResponse(call_id, second.number, False)
    ]


def test_a_stream_goes_on_elsewhere_from_the_last_event_and_only_if_it_may_be_resumed() -> None:
    world = World()
    for _ in range(60):
        world.arrive("draft")
    (first,) = sends(world.arrive("draft"))
    call_id = world.calls
    world.tell(ResponseStarted(call_id, first.number, answer()))
    (second,) = sends(world.tell(SendFailed(call_id, first.number, "cut", True, True, "7")))
    assert (second.last_event_id, second.target_id != first.target_id) == ("7", True)
    assert world.tell(ResponseStarted(call_id, second.number, answer())) == [
        ContinueResponse(call_id, second.number)
    ]
    (walk,) = sends(world.arrive("walk"))
    world.tell(ResponseStarted(world.calls, walk.number, answer()))
    actions = world.tell(SendFailed(world.calls, walk.number, "cut", True, True, "7"))
    assert AbortResponse(world.calls) in actions
    assert not sends(actions)


def test_an_unsigned_or_encoded_success_is_not_passed_on() -> None:
    for wrong in (answer(signed=False), answer(encoded=True)):
        world = World()
        (sent,) = sends(world.arrive("book"))
        actions = world.tell(ResponseStarted(1, sent.number, wrong))
        assert statuses(actions) == [502]


def test_a_caller_that_leaves_has_its_send_cancelled_at_once() -> None:
    world = World()
    (sent,) = sends(world.arrive("walk"))
    assert world.tell(CallerDisconnected(1)) == [CancelSend(1, sent.number)]
    assert world.core.roster.targets[sent.target_id].outstanding == 0


def test_a_call_ends_at_its_timeout_with_its_state_told_truly() -> None:
    world = World()
    world.arrive("book")
    assert statuses(world.run(10.2)) == [504]


def test_no_key_is_admitted_once_the_configuration_was_not_confirmed_within_the_bound() -> None:
    world = World()
    world.run(4.0, confirm=False)
    assert sends(world.arrive("read"))
    world.run(1.0, confirm=False)
    assert statuses(world.arrive("read")) == [503]
    assert sends(world.arrive("open", key=None))
    world.confirm()
    assert sends(world.arrive("read"))


def test_a_machine_that_was_suspended_knows_at_once_that_its_configuration_is_old() -> None:
    world = World()
    world.now_s += 6.0  # The clock counts suspended time; no event arrived meanwhile.
    assert statuses(world.arrive("read")) == [503]
    assert not world.core.ready(world.now_s)


def test_the_age_of_a_configuration_counts_from_when_the_call_was_sent() -> None:
    world = World()
    world.now_s += 4.0
    world.tell(ConfigurationObserved(None, world.now_s - 3.5))
    world.now_s += 1.6
    assert statuses(world.arrive("read")) == [503]


def test_unknown_routes_and_keys_are_denied_only_by_a_current_configuration() -> None:
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


def test_a_version_never_reverts_and_a_removed_key_opens_nothing() -> None:
    world = World()
    world.tell(ConfigurationObserved(configuration(3, keys=("new",)), world.now_s))
    world.tell(ConfigurationObserved(configuration(2, keys=("k",)), world.now_s))
    assert statuses(world.arrive("read", key="k")) == [401]
    assert sends(world.arrive("read", key="new"))


def test_a_draining_or_unreadable_target_gets_no_call() -> None:
    world = World()
    world.tell(TargetObserved("a1", entry("a1", "app", draining=True), False))
    assert {sends(world.arrive("read"))[0].target_id for _ in range(9)} == {"a2"}
    world.tell(TargetObserved("a2", None, False))
    assert statuses(world.arrive("read")) == [503]


def test_a_registration_that_changes_draws_no_calls_from_those_that_stand_still() -> None:
    """The store passes on what changes: a sound target's registration stands still for ever."""
    world = World()
    world.run(20.0)
    world.tell(TargetObserved("a1", entry("a1", "app", warmup_left_s=0.5), False))
    assert {sends(world.arrive("read"))[0].target_id for _ in range(9)} == {"a1", "a2"}


def test_a_lapse_seen_while_the_store_is_in_trouble_is_held_back_until_its_return() -> None:
    world = World()
    world.tell(ObjectStoreResult("servers", False, "unsure"))
    world.tell(TargetObserved("a1", None, True))
    world.run(4.0)
    assert "a1" in world.core.roster.targets
    world.tell(ObjectStoreResult("servers", True, ""))
    world.run(2.0)
    assert "a1" in world.core.roster.targets
    world.run(0.6)
    assert "a1" not in world.core.roster.targets


def test_a_lapse_that_comes_back_keeps_its_target() -> None:
    world = World()
    world.tell(ObjectStoreResult("servers", False, "unsure"))
    world.tell(TargetObserved("a1", None, True))
    world.tell(ObjectStoreResult("servers", True, ""))
    world.run(1.5)
    world.tell(TargetObserved("a1", entry("a1", "app"), False))
    world.run(3.0)
    assert "a1" in world.core.roster.targets


def test_an_entry_that_stops_is_not_ready_and_refuses_calls_that_might_not_end() -> None:
    world = World()
    world.tell(StopRequested())
    assert not world.core.ready(world.now_s)
    world.run(2.0)
    assert sends(world.arrive("draft"))
    world.run(1.0)
    assert statuses(world.arrive("draft")) == [503]
    assert sends(world.arrive("read"))
    world.run(3.5)
    assert statuses(world.arrive("read")) == [503]


def test_repeats_stay_within_the_share_of_the_calls() -> None:
    world = World()
    repeats = 0
    for _ in range(200):
        actions = world.arrive("read")
        (sent,) = sends(actions)
        failed = world.tell(SendFailed(world.calls, sent.number, "cut", True, False, None))
        repeats += len(sends(failed))
    assert repeats <= 0.2 * 200


def test_the_cache_namespace_holds_the_weights_and_a_dedicated_workspace() -> None:
    world = World()
    config = configuration(2)
    workspaces = {
        digest_key("k"): Workspace("w"),
        digest_key("k2"): Workspace("w2"),
        digest_key("d"): Workspace("d", dedicated=True),
        digest_key("d2"): Workspace("d2", dedicated=True),
    }
    world.tell(ConfigurationObserved(config._replace(workspaces=workspaces), world.now_s))

    def namespace(key: str) -> str:
        (sent,) = sends(world.arrive("draft", key=key))
        assert sent.cache is not None
        return sent.cache.namespace

    assert namespace("k") == namespace("k2")
    assert len({namespace("k"), namespace("d"), namespace("d2")}) == 3
    before = namespace("k")
    for name in ("r1", "r2"):
        world.tell(TargetObserved(name, entry(name, "models", weights={"m": 2}), False))
    (sent,) = sends(world.arrive("draft"))
    assert sent.cache is not None
    assert (sent.cache.namespace != before, sent.cache.weights) == (True, 2)


def test_old_weights_get_no_call_once_their_bound_is_near() -> None:
    world = World()
    world.tell(WeightsNamed("m", 2))
    world.tell(TargetObserved("r1", entry("r1", "models", weights={"m": 2}), False))
    world.run(7.0)
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(9)} == {"r1"}
    world.tell(TargetObserved("r1", None, True))
    assert statuses(world.arrive("draft")) == [503]


def test_an_entry_that_starts_amid_a_swap_uses_new_weights_only() -> None:
    world = World()
    world.tell(TargetObserved("r1", entry("r1", "models", weights={"m": 2}), False))
    world.tell(WeightsNamed("m", 2, True))
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(9)} == {"r1"}
    world.tell(TargetObserved("r1", entry("r1", "models", weights={"m": 2}, draining=True), False))
    assert statuses(world.arrive("draft")) == [503]


def test_an_entry_that_starts_between_two_swaps_uses_the_newest_weights_that_any_runner_has() -> (
    None
):
    """Load pattern: weights are named twice, the first swap isn't over, and entries are killed."""
    world = World()
    world.tell(TargetObserved("r1", entry("r1", "models", weights={"m": 2}), False))
    world.tell(WeightsNamed("m", 3, True))
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(9)} == {"r1"}


def test_an_entry_that_starts_before_a_swap_has_begun_uses_old_weights_for_a_while() -> None:
    world = World()
    world.tell(WeightsNamed("m", 2, True))
    assert sends(world.arrive("draft"))
    world.run(3.0)
    assert statuses(world.arrive("draft")) == [503]


@pytest.mark.parametrize("kind", ["read", "draft"])
def test_many_calls_at_once_are_spread_over_the_targets(kind: str) -> None:
    """Load pattern: calls that arrive together, before any target has reported its load."""
    world = World()
    chosen = [sends(world.arrive(kind))[0].target_id for _ in range(40)]
    assert all(chosen.count(name) >= 10 for name in set(chosen))
    assert len(set(chosen)) == 2


def test_a_runner_that_refuses_the_expected_weights_is_known_to_have_newer_ones() -> None:
    world = World()
    for _ in range(60):
        world.arrive("draft")
    (sent,) = sends(world.arrive("draft"))
    refusal = answer(421, target_id=sent.target_id)
    (again,) = sends(world.tell(ResponseStarted(world.calls, sent.number, refusal)))
    assert again.target_id != sent.target_id
    assert world.core.roster.targets[sent.target_id].weights["m"] == 2


def test_a_repeat_uses_a_new_connection() -> None:
    world = World()
    for _ in range(40):
        world.arrive("read")
    (first,) = sends(world.arrive("read"))
    assert first.max_idle_s > 0
    failed = SendFailed(world.calls, first.number, "silent", True, False, None)
    (second,) = sends(world.tell(failed))
    assert second.max_idle_s == 0


def test_many_calls_that_meet_newer_weights_at_once_leave_the_runner_usable() -> None:
    world = World()
    sent = [sends(world.arrive("draft"))[0] for _ in range(8)]
    target = world.core.roster.targets["r1"]
    for call_id, send in enumerate(sent, start=1):
        if send.target_id == "r1":
            refusal = answer(421, not_run=True, target_id="r1")
            world.tell(ResponseStarted(call_id, send.number, refusal))
    assert target.weights["m"] == 2


def test_weights_that_a_refusal_tells_are_taken_as_they_are() -> None:
    world = World()
    (send,) = sends(world.arrive("draft"))
    refusal = answer(421, not_run=True, target_id=send.target_id, weights=5)
    world.tell(ResponseStarted(1, send.number, refusal))
    assert world.core.roster.targets[send.target_id].weights["m"] == 5


def test_a_holder_that_fell_silent_leaves_no_runner_out() -> None:
    """Load pattern: the holder is cut off amid a roll-out, and all calls crowd on the rest."""
    world = World()
    world.tell(WeightsNamed("m", 2))
    world.tell(LeaseObserved(LeaseRecord("e9#1", 1, True, 1, ["r1"]), 5))
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(8)} == {"r2"}
    world.run(1.5)
    assert sends(world.arrive("draft"))[0].target_id == "r1"


def test_a_prompt_that_all_runners_refuse_while_they_load_is_tried_again_soon() -> None:
    """Load pattern: weights are swapped, and for half a second no runner takes a prompt."""
    world = World()
    for _ in range(60):
        world.arrive("draft")
    actions = world.arrive("draft")
    call_id = world.calls
    for _ in range(2):
        (sent,) = sends(actions)
        actions = world.tell(ResponseStarted(call_id, sent.number, answer(503, not_run=True)))
    assert not sends(actions)
    assert not statuses(actions)
    later = [sent for sent in sends(world.run(0.2)) if sent.call_id == call_id]
    assert len(later) == 1


def test_a_call_without_any_target_is_refused_at_once() -> None:
    world = World()
    for name in ("a1", "a2"):
        world.tell(TargetObserved(name, None, True))
    assert statuses(world.arrive("read")) == [503]


def test_changed_bounds_are_in_force_at_once() -> None:
    world = World()
    world.run(3.0, confirm=False)
    assert sends(world.arrive("read"))
    world.tell(BoundsChanged(BOUNDS._replace(revoke_s=2.0)))
    assert statuses(world.arrive("read")) == [503]
