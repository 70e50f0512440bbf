"""A relay and the link of its VM, which its messages share with requests and responses.

Failure guarded against: requests, and the ends of those whose callers have left, wait for a second
behind a relay's messages to its followers.
"""

from itertools import pairwise

import pytest

from filbertstream.actions import SendPeer
from filbertstream.gateway import Gateway, GatewayConfig
from filbertstream.gateway_events import EntryObserved, PeerMessage, Tick
from filbertstream.messages import (
    CacheUpdate,
    CacheUpdateBatch,
    CacheUpdateRow,
    EntryWork,
    FleetWork,
    GroupWork,
    ViewRequest,
    WorkRow,
    encode,
)
from filbertstream.names import rank
from filbertstream.process import cache_updates, work_exchange
from filbertstream.process.cache_stores import HOLDINGS_MAX_AGE_S
from filbertstream.process.link_share import BURST_S
from filbertstream.process.peer_work import WORK_MAX_AGE_S, EntryRecord
from filbertstream.process.relays import MIN_RELAYS, Relays, VmResources
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.call import RequestRate
from filbertstream.version.routes import CacheStore
from tests.gateway_world import BOUNDS, FOLLOWED
from tests.helpers import rev

FLEET = tuple(f"f{number}" for number in range(81))
FOLLOWERS = [name for name in FLEET if not Relays(name, lambda: FLEET).is_relay][:40]
"""Half of the fleet, while one of its three relays is skipped."""

LINK_MBPS = 10.0
LINK_BYTES_PER_S = LINK_MBPS * 125_000
TICK_S = 0.025
TARGETS = 90
STORES = 28

ROWS_PER_S = 2_000
"""Blocks stored or dropped: about 600 prompts a second with three shared blocks each."""


def tags(count: int, seed: int) -> list[str]:
    return [f"{int(rank(f'{seed}-{n}', 'tag') * 2**48):012x}" for n in range(count)]


def store_updates(turn: int) -> list[CacheUpdate]:
    """Return what the readers of cache stores tell a relay in a fifth of a second."""
    per_store, updates = ROWS_PER_S // 5 // STORES, []
    for store in range(STORES):
        found = tags(per_store, turn * STORES + store)
        rows = tuple(CacheUpdateRow(True, "7bdbff988bc0e1df", tag, 1_500) for tag in found)
        updates.append(CacheUpdate(f"keep-{store}", 1, (turn + 1) * per_store, 0.1, 5_000, rows))
    return updates


def work(member: str, turn: int) -> EntryWork:
    rows = [
        WorkRow(f"i-{n:010x}", 1 + (turn + n) % 7, 9_000 + n, 800 + turn) for n in range(TARGETS)
    ]
    return EntryWork(member, tuple(rows[FLEET.index(member) % 5 :: 5]))


def relay_core(link_mbps: float) -> Gateway:
    name = next(name for name in FLEET if Relays(name, lambda: FLEET).is_relay)
    core = Gateway(GatewayConfig(name, 1, "dc1", BOUNDS, f"tcp://{name}", 7, FOLLOWED, link_mbps))
    spec = CacheStore("10.9.0.1:80", "dc1", 1_000_000, 12, "m")
    core.stores.configure([(f"keep-{store}", spec) for store in range(STORES)])
    for member in FLEET:
        core.step(100.0, EntryObserved(member, EntryRecord(f"tcp://{member}", 1, 10.0), rev(1)))
    return core


def sent_by(core: Gateway, seconds: float) -> list[tuple[float, SendPeer]]:
    """Return the messages of a relay under load, with the time of each."""
    sent: list[tuple[float, SendPeer]] = []
    for tick in range(round(seconds / TICK_S)):
        now_s = 100.0 + tick * TICK_S
        if tick % 20 == 0:
            for name in FOLLOWERS:
                core.step(now_s, PeerMessage(ViewRequest(name, 1 + tick, {})))
        if tick % 8 == 0:
            for name in FOLLOWERS:
                core.step(now_s, PeerMessage(work(name, tick)))
            for update in store_updates(tick // 8):
                core.step(now_s, PeerMessage(update))
        sent += [(now_s, item) for item in core.step(now_s, Tick()) if isinstance(item, SendPeer)]
    return sent


def test_requests_wait_behind_the_messages_of_a_relay() -> None:
    """Messages to followers fill a link of 10 Mbit/s, so that what is sent next arrives late."""
    free_at_s = longest_wait_s = 0.0
    for now_s, item in sent_by(relay_core(LINK_MBPS), 4.0):
        free_at_s = max(free_at_s, now_s) + len(encode(item.payload)) / LINK_BYTES_PER_S
        longest_wait_s = max(longest_wait_s, free_at_s - now_s)
    assert longest_wait_s < 0.25


@pytest.mark.parametrize(
    ("kinds", "fraction"),
    [
        ((EntryWork, FleetWork, GroupWork), work_exchange.LINK_FRACTION),
        ((CacheUpdateBatch,), cache_updates.LINK_FRACTION),
    ],
)
def test_messages_of_one_purpose_take_more_than_their_share_of_the_link(
    kinds: tuple[type, ...], fraction: float
) -> None:
    """Messages about work, or updates of cache stores, use what is left to requests."""
    sizes = [
        (now_s, len(encode(item.payload)))
        for now_s, item in sent_by(relay_core(LINK_MBPS), 4.0)
        if isinstance(item.payload, kinds)
    ]
    largest = max(size for _, size in sizes)
    for from_s in (100.0, 101.0, 102.0, 103.0):
        sent = sum(size for now_s, size in sizes if from_s <= now_s < from_s + 1.0)
        assert sent <= fraction * LINK_BYTES_PER_S * (1.0 + BURST_S + TICK_S) + largest * MIN_RELAYS


@pytest.mark.parametrize("link_mbps", [LINK_MBPS, 200.0])
def test_what_followers_of_a_busy_relay_know_expires(link_mbps: float) -> None:
    """Each follower gets the work of the fleet and the updates of cache stores in time."""
    sent = sent_by(relay_core(link_mbps), 6.0)
    limits = {FleetWork | GroupWork: WORK_MAX_AGE_S, CacheUpdateBatch: HOLDINGS_MAX_AGE_S}
    for kind, max_age_s in limits.items():
        times: dict[str, list[float]] = {f"tcp://{name}": [] for name in FOLLOWERS}
        for now_s, item in sent:
            if isinstance(item.payload, kind) and item.address in times:
                times[item.address].append(now_s)
        for at_s in times.values():
            assert max(b - a for a, b in pairwise([100.5, *at_s, 106.0])) < max_age_s


def test_rate_looks_newer_than_it_is_to_the_last_followers_of_a_round() -> None:
    """A limit was named right before a round, which takes a third of a second."""
    core = relay_core(LINK_MBPS)
    core.request_rates.on_response(TargetStart("i-1", 1), RequestRate(5.0), 100.0, 100.0)
    sent = [(at_s, item.payload) for at_s, item in sent_by(core, 2.0)]
    rows = [(at_s, row) for at_s, work in sent if isinstance(work, FleetWork) for row in work.rates]
    assert len(rows) > 1
    assert all(at_s - row.age_s < 100.01 for at_s, row in rows)


def test_entries_with_the_smallest_links_relay() -> None:
    """Load pattern: six VMs of a large fleet have links of 200 Mbit/s, the others of 10."""
    strong = {f"f{number}" for number in range(0, 81, 14)}
    resources = {name: VmResources(200.0 if name in strong else LINK_MBPS, 0.5) for name in FLEET}
    relays = {name for name in FLEET if Relays(name, lambda: FLEET, resources.__getitem__).is_relay}
    assert len(relays) == MIN_RELAYS
    assert relays <= strong
