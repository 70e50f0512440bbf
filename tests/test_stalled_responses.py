"""Responses that stall in the middle while their connections stay open.

Failure guarded against: the entry ends a response that a slow runner would still have completed.
"""

import pytest

from filbertstream.request.call_events import (
    CancelSend,
    FirstEvent,
    ResponseComplete,
    ResponseStarted,
    SendStalled,
)
from tests.gateway_world import World, response_head, sends


@pytest.mark.parametrize("name", ["walk", "book"])
def test_stalled_response_that_cannot_be_resumed_elsewhere_is_waited_for(name: str) -> None:
    """Load pattern: runners short of memory suspend runs for seconds and resume them."""
    world = World()
    (sent,) = sends(world.arrive(name))
    world.step(ResponseStarted(1, sent.number, response_head()))
    for _ in range(3):
        world.run(2.0)
        assert world.step(SendStalled(1, sent.number, name == "walk", "3")) == []
    assert world.step(ResponseComplete(1, sent.number, 10)) == []
    assert world.core.counters.get("calls_ended", "complete") == 1


def test_stalled_stream_is_resumed_elsewhere_within_its_attempts_and_then_waited_for() -> None:
    """A resumable stream stalls on its first runner and on the second one."""
    world = World()
    for _ in range(60):
        world.arrive("draft")
    (first,) = sends(world.arrive("draft"))
    call_id = world.calls
    world.step(ResponseStarted(call_id, first.number, response_head()))
    actions = world.step(SendStalled(call_id, first.number, True, "7"))
    (second,) = sends(actions)
    assert CancelSend(call_id, first.number) not in actions
    assert second.last_event_id == "7"
    actions = world.step(ResponseStarted(call_id, second.number, response_head()))
    assert CancelSend(call_id, first.number) not in actions
    assert CancelSend(call_id, first.number) in world.step(FirstEvent(call_id, second.number))
    assert world.step(SendStalled(call_id, second.number, True, "9")) == []
