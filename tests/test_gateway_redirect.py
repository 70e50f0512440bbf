"""Where callers are sent by an entry that can't serve them now.

Load pattern: some entries get no answers from the store while the others do.  Callers that are told
to wait for the store come back late, though another entry would have served them at once.
"""

import pytest

from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.gateway_events import PeerMessage, Tick
from filbertstream.messages import EntryWork
from filbertstream.request.authorization import (
    OTHER_ENTRY_RETRY_S,
    STALE_RETRY_MAX_S,
    STALE_RETRY_MIN_S,
)
from filbertstream.request.call_events import RespondLocally
from filbertstream.request.forwarding import RETRY_JITTER
from tests.gateway_world import BOUNDS, World

OUTAGE_S = 6.0
"""Longer than the bound for removed keys."""


def out_of_touch(world: World, outage_s: float, others: bool | None) -> RespondLocally:
    """Let the store be silent, hear another entry (or none), and return the refusal of a call."""
    for _ in range(round(outage_s / 0.1)):
        world.now_s += 0.1
        world.tell(Tick())
        if others is not None:
            world.tell(PeerMessage(EntryWork("e2", (), others)))
    refusals = [item for item in world.arrive("read") if isinstance(item, RespondLocally)]
    assert [(item.status, item.code) for item in refusals] == [(503, "stale")]
    return refusals[0]


def test_callers_go_to_another_entry_at_once_where_one_is_in_touch() -> None:
    refusal = out_of_touch(World(), OUTAGE_S, True)
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s <= OTHER_ENTRY_RETRY_S * (1.0 + RETRY_JITTER)


@pytest.mark.parametrize("others", [False, None], ids=["others out of touch", "none heard"])
def test_callers_wait_where_no_entry_is_known_to_be_in_touch(others: bool | None) -> None:
    refusal = out_of_touch(World(), OUTAGE_S, others)
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s >= STALE_RETRY_MIN_S


def test_the_wait_grows_with_the_outage_up_to_a_bound() -> None:
    shorter = out_of_touch(World(), OUTAGE_S, None).retry_after_s
    longer = out_of_touch(World(), 30.0, None).retry_after_s
    assert shorter is not None
    assert longer is not None
    assert STALE_RETRY_MIN_S <= shorter <= longer <= STALE_RETRY_MAX_S * (1.0 + RETRY_JITTER)


def test_what_another_entry_said_long_ago_sends_nobody_there() -> None:
    world = World()
    world.tell(PeerMessage(EntryWork("e2", (), True)))
    refusal = out_of_touch(world, OUTAGE_S, None)
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s >= STALE_RETRY_MIN_S


@pytest.mark.parametrize("others", [True, False])
def test_connections_end_with_their_answers_before_calls_must_be_refused(others: bool) -> None:
    world = World()
    gateway_io = GatewayIO(world.core, lambda log: None, lambda reason: None)
    world.tell(PeerMessage(EntryWork("e2", (), others)))
    assert not world.core.should_close_connections(world.now_s)
    outage_s = BOUNDS.revoke_s * 0.7
    for _ in range(round(outage_s / 0.1)):
        world.now_s += 0.1
        world.tell(PeerMessage(EntryWork("e2", (), others)))
    assert world.core.should_close_connections(world.now_s) == others
    assert not [item for item in world.arrive("read") if isinstance(item, RespondLocally)]
    assert not gateway_io.stopping
