"""Calls that arrive at an entry after SIGTERM.

Failures guarded against: a call is admitted that can't end before the process exits; its target
runs it and its caller gets no answer; and a process that goes on when it should have ended.
"""

import socket
import subprocess
import sys
import time
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertstream.cli import EXIT_INVARIANT
from filbertstream.connection.listener import SHUTDOWN_TIMEOUT_S, Listener
from filbertstream.gateway_events import BoundsChanged, StopRequested, Tick
from filbertstream.process.stopping import EXIT_MARGIN_S, NOTICED_S, RESPONSE_MARGIN_S
from filbertstream.request.call_events import AbortResponse, RespondLocally, ResponseStarted
from standins.processes import LOOPBACK, ROOT, free_port
from tests.gateway_world import BOUNDS, World, response_head, sends, statuses

TICK_S = 0.025
LAST_S = BOUNDS.grace_s - EXIT_MARGIN_S


def run_until(world: World, until_s: float) -> list[Any]:
    actions: list[Any] = []
    while world.now_s < until_s:
        world.now_s += TICK_S
        world.confirm()
        actions += world.step(Tick())
    return actions


@given(
    st.sampled_from(["read", "book", "draft", "walk"]),
    st.floats(0.3, 16.0),
    st.floats(0.0, LAST_S),
    st.sampled_from([3.0, 8.0, 30.0]),
)
def test_call_that_arrives_after_a_stop_runs_and_gets_no_answer(
    name: str, deadline_s: float, after_s: float, grace_s: float
) -> None:
    """A target never answers; each call gets a final response before the process exits."""
    world = World()
    world.step(BoundsChanged(BOUNDS._replace(grace_s=grace_s)))
    world.step(StopRequested())
    exits_at_s = world.now_s + grace_s - EXIT_MARGIN_S
    run_until(world, min(world.now_s + after_s, exits_at_s))
    arrived_s = world.now_s
    actions = world.arrive(name, deadline_s=deadline_s)
    admitted = bool(sends(actions))
    limit_s = min(deadline_s, 10.0)
    late = arrived_s + limit_s > exits_at_s - RESPONSE_MARGIN_S
    assert admitted or late
    if late and after_s > NOTICED_S + TICK_S:
        assert statuses(actions) == [503]
    actions += run_until(world, exits_at_s)
    assert len([item for item in actions if isinstance(item, RespondLocally)]) == 1
    assert not world.core.forwarding.calls


def test_call_with_time_left_is_refused_by_a_stopping_entry() -> None:
    """A short call arrives late in the grace and would end before the exit."""
    world = World()
    world.step(StopRequested())
    run_until(world, world.now_s + LAST_S - 1.0)
    assert sends(world.arrive("book", deadline_s=0.7))
    assert statuses(world.arrive("book", deadline_s=0.9)) == [503]


@pytest.mark.parametrize("name", ["book", "draft"])
def test_call_still_runs_when_the_process_exits(name: str) -> None:
    """A call from before the stop takes longer than the grace; its caller is told of the end."""
    world = World()
    (send,) = sends(world.arrive(name))
    if name == "draft":
        world.step(ResponseStarted(send.call_id, send.number, response_head(signed=True)))
    world.step(StopRequested())
    actions = run_until(world, world.now_s + LAST_S)
    aborted = [item for item in actions if isinstance(item, AbortResponse)]
    assert (statuses(actions), len(aborted)) == (([502], 0) if name == "book" else ([], 1))


def test_shorter_grace_during_a_stop_is_ignored() -> None:
    """The settings change while an entry stops, and it would be killed amid its last calls."""
    world = World()
    world.step(StopRequested())
    world.step(BoundsChanged(BOUNDS._replace(grace_s=5.0)))
    run_until(world, world.now_s + 3.0)
    assert statuses(world.arrive("book", deadline_s=2.0)) == [503]
    assert sends(world.arrive("book", deadline_s=1.0))


UNANSWERED_CALL = """
import threading
from concurrent.futures import ThreadPoolExecutor
from filbertstream.cli import run_process

class Process:
    def run(self):
        ThreadPoolExecutor(1).submit(threading.Event().wait)
        return {succeeded}

run_process(Process())
"""


@pytest.mark.parametrize(("succeeded", "code"), [(True, 0), (False, EXIT_INVARIANT)])
def test_process_ends_although_a_call_of_a_thread_is_unanswered(succeeded: bool, code: int) -> None:
    """The interpreter waits for a worker at a silent object store until the platform kills it."""
    script = UNANSWERED_CALL.format(succeeded=succeeded)
    ended = subprocess.run([sys.executable, "-c", script], cwd=ROOT, timeout=20.0, check=False)
    assert ended.returncode == code


def test_half_request_of_an_operator_does_not_delay_the_end() -> None:
    """The listener waits for the rest of a request until the process is killed."""
    port = free_port()
    listener = Listener(LOOPBACK, port, lambda environ, start: [], 2, 1_000, None)
    listener.start()
    with socket.create_connection((LOOPBACK, port)) as operator:
        operator.sendall(b"GET /v1")
        time.sleep(0.2)
        began_s = time.monotonic()
        listener.close(0.1)
    assert time.monotonic() - began_s < SHUTDOWN_TIMEOUT_S - 1.0
