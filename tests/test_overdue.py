"""When a send without a response counts as overdue, on routes whose work varies and on others."""

import pytest

from filbertstream.request.call_events import (
    CallerDisconnected,
    ResponseComplete,
    ResponseStarted,
    SendCall,
)
from tests.gateway_world import World, response_head, sends

FAST_S, LONG_S = 0.1, 1.6


def respond(world: World, send: SendCall) -> None:
    world.step(ResponseStarted(send.call_id, send.number, response_head()))
    world.step(ResponseComplete(send.call_id, send.number, 2, None))


def play(world: World, seconds: float) -> int:
    """Make a call whose work takes this long at any target; return how often it is sent."""
    (send,) = sends(world.arrive("read"))
    left_s = seconds
    while left_s > 0.0:
        left_s -= 0.1
        for again in sends(world.run(0.1)):
            send, left_s = again, seconds
    respond(world, send)
    return send.number


def notice_s(world: World, send: SendCall) -> float:
    """Return after which time a call without a response is sent again."""
    sent_s = world.now_s
    while send.call_id not in [again.call_id for again in sends(world.run(0.1))]:
        assert world.now_s < sent_s + 9.0
    return world.now_s - sent_s


# BUDGET over real processes: sound targets got every call of the longest work twice.
@pytest.mark.parametrize("every", [10, 20])
def test_calls_of_varying_work_are_not_repeated(every: int) -> None:
    world = World()
    counts = [play(world, LONG_S if n % every == 0 else FAST_S) for n in range(20 * every)]
    assert sum(counts) <= len(counts) + 4


def test_silent_target_is_noticed_as_soon_as_ever_on_a_steady_route() -> None:
    world = World()
    for _ in range(200):
        play(world, FAST_S)
    for _ in range(2):
        (send,) = sends(world.arrive("read"))
        assert notice_s(world, send) == pytest.approx(1.1, abs=0.11)


# The estimate must not be made of the fast calls only, nor be raised by silent targets.
@pytest.mark.parametrize("responds", [True, False])
def test_call_given_up_as_overdue_counts_if_its_target_was_alive(responds: bool) -> None:
    world = World()
    others = [sends(world.arrive("read"))[0] for _ in range(4)]
    overdue = sends(world.arrive("read"))[0]
    world.run(0.1)
    for other in others:
        if responds or other.target_id != overdue.target_id:
            respond(world, other)
        else:
            world.step(CallerDisconnected(other.call_id))
    notice_s(world, overdue)
    (send,) = sends(world.arrive("read"))
    assert (notice_s(world, send) > 1.15) is responds


def test_lost_requests_raise_the_time_to_a_limit() -> None:
    world = World()
    for _ in range(40):
        for _ in range(4):
            respond(world, sends(world.arrive("read"))[0])
        lost = sends(world.arrive("read"))[0]
        world.run(0.2)
        for _ in range(4):
            respond(world, sends(world.arrive("read"))[0])
        assert notice_s(world, lost) < 3.3
        world.run(10.0)
