"""Retry times that an entry gives to callers whom it can't serve now.

Load pattern: some entries get no responses from the object store while others do.  Callers that
get a retry time as long as the outage return late, though a peer would serve them at once.
"""

import pytest

from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.gateway_events import PeerMessage, Tick
from filbertstream.messages import EntryWork
from filbertstream.request.authorization import (
    PEER_RETRY_S,
    STALE_RETRY_MAX_S,
    STALE_RETRY_MIN_S,
)
from filbertstream.request.call_endings import RETRY_JITTER
from filbertstream.request.call_events import RespondLocally
from tests.gateway_world import BOUNDS, World

OUTAGE_S = 6.0
"""Longer than the bound for removed keys."""


def refusal_of_a_stale_entry(
    world: World, outage_s: float, peer_is_current: bool | None
) -> RespondLocally:
    """Run without the object store, with or without a peer's reports; return a call's refusal."""
    for _ in range(round(outage_s / 0.1)):
        world.now_s += 0.1
        world.step(Tick())
        if peer_is_current is not None:
            world.step(PeerMessage(EntryWork("e2", (), peer_is_current)))
    refusals = [item for item in world.arrive("read") if isinstance(item, RespondLocally)]
    assert [(item.status, item.code) for item in refusals] == [(503, "stale")]
    return refusals[0]


def test_stale_entry_gives_a_short_retry_time_if_a_peer_is_current() -> None:
    """The object store responds to a peer and not to this entry."""
    refusal = refusal_of_a_stale_entry(World(), OUTAGE_S, True)
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s <= PEER_RETRY_S * (1.0 + RETRY_JITTER)


@pytest.mark.parametrize("peer_is_current", [False, None], ids=["peers are stale", "no reports"])
def test_stale_entry_gives_a_longer_retry_time_if_no_peer_is_known_to_be_current(
    peer_is_current: bool | None,
) -> None:
    """The object store responds to no entry, or no peer reports anything."""
    refusal = refusal_of_a_stale_entry(World(), OUTAGE_S, peer_is_current)
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s >= STALE_RETRY_MIN_S


def test_retry_time_grows_with_the_outage_up_to_a_bound() -> None:
    """Short and long outages of the object store."""
    shorter = refusal_of_a_stale_entry(World(), OUTAGE_S, None).retry_after_s
    longer = refusal_of_a_stale_entry(World(), 30.0, None).retry_after_s
    assert shorter is not None
    assert longer is not None
    assert STALE_RETRY_MIN_S <= shorter <= longer <= STALE_RETRY_MAX_S * (1.0 + RETRY_JITTER)


def test_old_report_of_a_current_peer_does_not_shorten_the_retry_time() -> None:
    """A peer reported before the outage that it is current, and nothing since."""
    world = World()
    world.step(PeerMessage(EntryWork("e2", (), True)))
    refusal = refusal_of_a_stale_entry(world, OUTAGE_S, None)
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s >= STALE_RETRY_MIN_S


@pytest.mark.parametrize("peer_is_current", [True, False])
def test_keep_alive_connections_are_closed_before_the_configuration_is_stale(
    peer_is_current: bool,
) -> None:
    """An entry loses the object store.

    It closes callers' connections after a response while it can still serve, so that they reconnect
    to a peer that is current.
    """
    world = World()
    gateway_io = GatewayIO(world.core, lambda log: None, lambda reason: None)
    world.step(PeerMessage(EntryWork("e2", (), peer_is_current)))
    assert not world.core.should_close_connections(world.now_s)
    outage_s = BOUNDS.revoke_s * 0.7
    for _ in range(round(outage_s / 0.1)):
        world.now_s += 0.1
        world.step(PeerMessage(EntryWork("e2", (), peer_is_current)))
    assert world.core.should_close_connections(world.now_s) == peer_is_current
    assert not [item for item in world.arrive("read") if isinstance(item, RespondLocally)]
    assert not gateway_io.stopping
