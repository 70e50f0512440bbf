"""Answers that stop in the middle while their connections stay open."""

import pytest

from filbertstream.request.call_events import (
    CancelSend,
    ResponseComplete,
    ResponseStarted,
    SendStalled,
)
from tests.gateway_world import World, answer, sends


@pytest.mark.parametrize("name", ["walk", "book"])
def test_a_runner_that_falls_silent_ends_no_answer_that_cannot_go_on_elsewhere(name: str) -> None:
    """Load pattern: runners short of memory set runs aside for seconds, and go on with them."""
    world = World()
    (sent,) = sends(world.arrive(name))
    world.tell(ResponseStarted(1, sent.number, answer()))
    for _ in range(3):
        world.run(2.0)
        assert world.tell(SendStalled(1, sent.number, name == "walk", "3")) == []
    assert world.tell(ResponseComplete(1, sent.number, 10)) == []
    assert world.core.counters.get("calls_ended", "complete") == 1


def test_a_silent_stream_goes_on_elsewhere_within_its_attempts_and_is_then_waited_for() -> None:
    world = World()
    for _ in range(60):
        world.arrive("draft")
    (first,) = sends(world.arrive("draft"))
    call_id = world.calls
    world.tell(ResponseStarted(call_id, first.number, answer()))
    actions = world.tell(SendStalled(call_id, first.number, True, "7"))
    (second,) = sends(actions)
    assert CancelSend(call_id, first.number) in actions
    assert second.last_event_id == "7"
    world.tell(ResponseStarted(call_id, second.number, answer()))
    assert world.tell(SendStalled(call_id, second.number, True, "9")) == []
