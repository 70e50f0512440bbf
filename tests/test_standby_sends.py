"""Sends that are silent while another target is tried, in the core of an entry.

Failure guarded against: a call ends although a runner would still have completed its response.
"""

from typing import Any

import pytest

from filbertstream.request.call_events import (
    AbortResponse,
    CallerDisconnected,
    CancelSend,
    FirstEvent,
    RelayResponse,
    RespondLocally,
    ResponseComplete,
    ResponseStarted,
    SendCall,
    SendFailed,
    SendProgressed,
    SendStalled,
)
from tests.gateway_world import World, response_head, sends

REJECTED = response_head(503, not_run=True)
ENDS = (AbortResponse, RespondLocally)


def serve_calls(world: World, name: str) -> None:
    """Serve calls before, from which retry budget grows."""
    for _ in range(60):
        (sent,) = sends(world.arrive(name))
        world.step(ResponseStarted(sent.call_id, sent.number, response_head()))
        world.step(FirstEvent(sent.call_id, sent.number))
        world.step(ResponseComplete(sent.call_id, sent.number, 10))


class Played:
    """A call of which the first send is silent, and what has become of its sends."""

    def __init__(self, name: str, begun: bool) -> None:
        self.world = World()
        self.open: set[int] = set()
        self.ended = False
        self.begun = begun
        serve_calls(self.world, name)
        self.first = self.take(self.world.arrive(name))[0]
        self.call_id = self.world.calls
        if begun:
            self.step(ResponseStarted(self.call_id, 1, response_head()))
            self.step(FirstEvent(self.call_id, 1))
        self.second = self.stall()[0]

    def take(self, actions: list[Any]) -> list[SendCall]:
        call_id = self.world.calls
        own = [item for item in actions if getattr(item, "call_id", call_id) == call_id]
        for item in own:
            if isinstance(item, SendCall):
                self.open.add(item.number)
            if isinstance(item, CancelSend):
                self.open.discard(item.number)
            self.ended = self.ended or isinstance(item, ENDS)
        return sends(own)

    def step(self, event: Any) -> list[SendCall]:
        return self.take(self.world.step(event))

    def stall(self) -> list[SendCall]:
        if self.begun:
            return self.step(SendStalled(self.call_id, 1, True, "5"))
        return self.wait(8.0)

    def wait(self, seconds: float) -> list[SendCall]:
        found = []
        for _ in range(round(seconds / 0.1)):
            found += self.take(self.world.run(0.1))
            if found:
                break
        return found

    def reject_all(self, found: list[SendCall]) -> None:
        while found:
            found = self.step(ResponseStarted(self.call_id, found[0].number, REJECTED))

    def complete(self, number: int) -> None:
        if not self.begun:
            relayed = self.world.step(ResponseStarted(self.call_id, number, response_head()))
            assert [item for item in relayed if isinstance(item, RelayResponse)]
            self.take(relayed)
        self.step(ResponseComplete(self.call_id, number, 10))
        assert not self.ended
        assert self.world.core.counters.get("calls_ended", "complete") == 61


CALLS = pytest.mark.parametrize(
    ("name", "begun"), [("draft", True), ("draft", False), ("read", False)]
)


@CALLS
def test_silent_send_is_cancelled_although_all_other_targets_reject_the_call(
    name: str, begun: bool
) -> None:
    """A runner preempts a run for seconds while the others are full."""
    played = Played(name, begun)
    assert played.open == {1, played.second.number}
    played.reject_all([played.second])
    assert 1 in played.open
    played.complete(1)


@CALLS
@pytest.mark.parametrize("sent", [False, True])
def test_silent_send_is_cancelled_although_the_other_send_has_failed(
    name: str, begun: bool, sent: bool
) -> None:
    """The other runner refuses the connection, or ends while it reads the prompt."""
    played = Played(name, begun)
    cause = "cut" if sent else "unreachable"
    found = [played.second]
    while found:
        found = played.step(SendFailed(played.call_id, found[0].number, cause, sent, begun, "5"))
        found += played.wait(1.0)
    assert 1 in played.open
    played.complete(1)


@CALLS
def test_both_sends_go_on_after_the_silent_one_responds(name: str, begun: bool) -> None:
    """The runner continues the run before the other one has responded."""
    played = Played(name, begun)
    if begun:
        played.step(SendProgressed(played.call_id, 1))
        assert played.open == {1}
    played.complete(1)
    assert played.second.number not in played.open


@CALLS
def test_both_sends_go_on_after_the_other_one_responds(name: str, begun: bool) -> None:
    """Another runner takes the call; the silent one would work on for nobody."""
    played = Played(name, begun)
    number = played.second.number
    played.step(ResponseStarted(played.call_id, number, response_head()))
    assert (1 in played.open) == begun
    played.step(FirstEvent(played.call_id, number))
    assert played.open == {number}
    played.step(ResponseComplete(played.call_id, number, 10))
    assert played.world.core.counters.get("calls_ended", "complete") == 61


@CALLS
def test_runs_go_on_for_a_caller_that_has_left(name: str, begun: bool) -> None:
    """A caller leaves while one send is silent and another one has not responded."""
    played = Played(name, begun)
    played.step(CallerDisconnected(played.call_id))
    assert not played.open


@CALLS
def test_silent_send_that_fails_ends_the_call(name: str, begun: bool) -> None:
    """The runner ends while it is silent; the other one has the call by then."""
    played = Played(name, begun)
    played.step(SendFailed(played.call_id, 1, "cut", True, begun, "5"))
    assert not played.ended
    assert played.open == {played.second.number}
    played.complete(played.second.number)


@CALLS
@pytest.mark.parametrize("changes", [{"status": 500}, {"signed": False}, {"encoded": True}])
def test_invalid_response_of_the_silent_send_ends_the_other_one(
    name: str, begun: bool, changes: dict[str, Any]
) -> None:
    """The silent target responds with an error, or with what can't be passed on."""
    played = Played(name, begun)
    head = response_head()._replace(**changes)
    played.step(ResponseStarted(played.call_id, 1, head))
    assert played.open == {played.second.number}
    played.complete(played.second.number)


@CALLS
def test_targets_keep_what_a_call_with_two_sends_has_taken(name: str, begun: bool) -> None:
    """A call has run on one target, been rejected by another, and completed."""
    played = Played(name, begun)
    targets = played.world.core.roster.targets
    before = {key: (item.outstanding, item.memory_tokens) for key, item in targets.items()}
    played.reject_all([played.second])
    played.complete(1)
    after = {key: (item.outstanding, item.memory_tokens) for key, item in targets.items()}
    freed = {key for key in after if after[key] != before[key]}
    assert freed == {played.first.target_id, played.second.target_id}
    assert all(before[key][0] - after[key][0] == 1 for key in freed)


def test_full_targets_are_not_asked_again_while_a_stream_is_silent() -> None:
    """All others are full for a moment; the silent runner never goes on."""
    played = Played("draft", True)
    played.reject_all([played.second])
    played.world.run(2.0)
    again = played.stall()
    assert again
    assert again[0].target_id == played.second.target_id
    played.step(ResponseStarted(played.call_id, again[0].number, response_head()))
    played.step(FirstEvent(played.call_id, again[0].number))
    assert played.open == {again[0].number}


def test_stream_that_was_broken_off_ends_while_the_other_targets_are_full_for_a_moment() -> None:
    """A runner ends in the middle of a stream; all others are full for 0.8 s."""
    world = World()
    serve_calls(world, "draft")
    (first,) = sends(world.arrive("draft"))
    call_id = world.calls
    world.step(ResponseStarted(call_id, first.number, response_head()))
    world.step(FirstEvent(call_id, first.number))
    found = sends(world.step(SendFailed(call_id, first.number, "cut", True, True, "5")))
    full_until_s = world.now_s + 0.8
    while world.now_s < full_until_s or not found:
        assert world.now_s < full_until_s + 2.0
        while found:
            actions = world.step(ResponseStarted(call_id, found[0].number, REJECTED))
            assert not [item for item in actions if isinstance(item, ENDS)]
            found = sends(actions)
        found = [item for item in sends(world.run(0.1)) if item.call_id == call_id]
    assert found[0].last_event_id == "5"
