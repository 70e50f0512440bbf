"""Fair sharing of scarce capacity, replayed without a network.

Failures guarded against: a workspace that sends many times its share takes the capacity of small
ones; large prompts, or one kind, get nothing while others fill the queue; a call is held back
although there is room.  The bounds are those of docs/design/uneven-load.md, part 5.
"""

import random
from collections import Counter
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertstream.request.call_endings import RETRY_JITTER
from filbertstream.request.capacity_shares import Claim, Demand, Room, admit, fair_share
from filbertstream.request.load_shedding import headroom, retry_after_s
from filbertstream.request.recent_demand import MAX_KINDS, MAX_WORKSPACES, Asked, CapacityShares

PREFILL_PER_S = 40_000.0
REPORT_INTERVAL_S = 0.2
STEP_S = 0.02


class Kind(NamedTuple):
    name: str
    urgency: int
    tokens: int
    objective_s: float


LARGE = Kind("large", 0, 11_992, 0.518)
SMALL = Kind("small", 1, 827, 0.607)


class Fleet:
    """Entries that place prompts on runners, whose queues they know as they were a while ago."""

    def __init__(self, entries: int, runners: int, shared: bool = True) -> None:
        self.rng = random.Random(7)
        self.now_s = 0.0
        self.shares = [CapacityShares() for _ in range(entries)]
        self.ends_s = [0.0] * runners
        self.reported_s = [0.0] * runners
        self.is_shared = shared
        self.arrived: Counter[object] = Counter()
        self.served: Counter[object] = Counter()
        self.in_time: Counter[object] = Counter()
        self.work: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()

    def offer(self, workspace: str, kind: Kind, tokens: int | None = None) -> None:
        size = kind.tokens if tokens is None else tokens
        shares = self.rng.choice(self.shares)
        compared = self.rng.sample(range(len(self.ends_s)), 2)
        best = min(compared, key=lambda name: self.reported_s[name])
        queue_s = max(0.0, self.reported_s[best] - self.now_s)
        limits = headroom(kind.objective_s, kind.urgency)
        prefill_s = size / PREFILL_PER_S
        asked = Asked(workspace, kind.name, kind.urgency, size, float(size))
        shares.note_arrival(asked, self.now_s)
        pressed = shares.pressed_fraction(self.now_s)
        room = Room(
            queue_s <= 0.0, queue_s, prefill_s, 0.5, kind.objective_s, limits, pressed, 10.0
        )
        claim = shares.claim(asked, self.now_s)
        admitted = retry_after_s(queue_s, 0.5, limits) is None
        if self.is_shared:
            verdict = admit(claim, shares.demand(self.now_s), room)
            admitted = verdict.retry_after_s is None
            self.reasons[verdict.reason] += 1
        keys = (workspace, kind.name, (kind.name, size))
        self.arrived.update((*keys, "all"))
        if admitted:
            shares.note_served(asked, self.now_s)
            wait_s = max(0.0, self.ends_s[best] - self.now_s) + prefill_s
            self.ends_s[best] = self.now_s + wait_s
            self.served.update((*keys, "all"))
            self.work[workspace] += size
            if wait_s <= kind.objective_s:
                self.in_time.update((*keys, "all"))
        shares.note_decision(asked, room.is_pressed, self.now_s)

    def play(
        self, seconds: float, per_s: dict[tuple[str, Kind], float], swing: float = 0.0
    ) -> None:
        steps = round(seconds / STEP_S)
        for step in range(steps):
            self.now_s += STEP_S
            if step % round(REPORT_INTERVAL_S / STEP_S) == 0:
                self.reported_s = list(self.ends_s)
            up = 1.0 + swing * (1 if (step // 100) % 2 else -1)
            due = [
                item
                for item, rate in per_s.items()
                for _ in range(int(rate * up * STEP_S + self.rng.random()))
            ]
            self.rng.shuffle(due)
            for workspace, kind in due:
                self.offer(workspace, kind)

    def rate(self, key: object) -> float:
        return self.served[key] / self.arrived[key]


def capacity_per_s(runners: int, kind: Kind) -> float:
    return runners * PREFILL_PER_S / kind.tokens


@pytest.mark.parametrize("entries", [6, 65])
def test_small_workspaces_keep_their_share_beside_one_that_sends_ten_times_as_much(
    entries: int,
) -> None:
    """Without shares each gets capacity in proportion to what it sends."""
    demand = {("big", SMALL): 4 * capacity_per_s(8, SMALL) / 3}
    small = [f"w{number}" for number in range(10)]
    demand |= {(name, SMALL): demand["big", SMALL] / 10 for name in small}
    kept = {}
    for shared in (False, True):
        fleet = Fleet(entries, 8, shared)
        fleet.play(20.0, demand)
        kept[shared] = min(fleet.rate(name) for name in small)
        assert fleet.rate("big") > 0.25 * fleet.rate("all")
    # An equal share is 1/11 of the capacity, or 0.68 of what each small one sends.
    assert kept[False] < 0.45
    assert kept[True] > 0.75 * 0.68


def test_one_workspace_alone_is_never_held_back() -> None:
    """Its work is far above any share of a part of the capacity, but nobody else needs that."""
    plain, shared = Fleet(6, 8, False), Fleet(6, 8)
    for fleet in (plain, shared):
        fleet.play(20.0, {("only", SMALL): 2 * capacity_per_s(8, SMALL)})
    assert shared.reasons["over_share"] == 0
    assert shared.work["only"] > 0.97 * plain.work["only"]


def test_load_within_capacity_is_never_held_back() -> None:
    """One workspace sends most, at two thirds of the capacity."""
    fleet = Fleet(35, 8)
    total = capacity_per_s(8, SMALL)
    fleet.play(20.0, {("big", SMALL): 0.6 * total, ("w", SMALL): 0.06 * total})
    assert fleet.rate("all") == 1.0


def test_bursts_at_65_entries_hold_nobody_back_beyond_the_bounds() -> None:
    """The load swings by 55% around the capacity; each entry sees a 65th of it."""
    demand = {}
    for number in range(24):
        factor = 4.0 if number < 3 else 1.0
        demand[f"w{number}", LARGE] = factor * 0.4 * capacity_per_s(10, LARGE) / 33
        demand[f"w{number}", SMALL] = factor * 0.7 * capacity_per_s(10, SMALL) / 33
    fleets = {shared: Fleet(65, 10, shared) for shared in (False, True)}
    for fleet in fleets.values():
        fleet.play(40.0, demand, swing=0.55)
    plain, fleet = fleets[False], fleets[True]
    assert fleet.in_time["all"] > 0.95 * plain.in_time["all"]
    assert sum(fleet.work.values()) > 0.9 * sum(plain.work.values())
    for key in [f"w{number}" for number in range(24)] + ["large", "small"]:
        assert fleet.rate(key) > 0.25 * fleet.rate("all")
    assert fleet.rate(LARGE.name) > fleet.rate(SMALL.name) - 0.05


@pytest.mark.parametrize(("large", "small"), [(LARGE, SMALL), (LARGE._replace(urgency=2), SMALL)])
def test_large_prompts_are_served_beside_small_ones(large: Kind, small: Kind) -> None:
    """Small prompts alone fill the queue to a length at which no large one is in time."""
    fleet = Fleet(35, 10)
    demand = {("a", large): capacity_per_s(10, large), ("b", small): capacity_per_s(10, small)}
    fleet.play(40.0, demand)
    assert fleet.rate(large.name) > 0.25 * fleet.rate("all")
    assert fleet.rate(small.name) > 0.25 * fleet.rate("all")
    if large.urgency < small.urgency:
        assert fleet.rate(large.name) > fleet.rate(small.name) - 0.05


def test_the_largest_tenth_of_a_kind_is_served() -> None:
    """Sizes of one kind differ by a factor of 25, at twice the capacity.  The largest prompts are
    late behind a queue at which the others are in time."""
    fleet = Fleet(10, 8)
    for number in range(9_000):
        fleet.now_s += 0.0043
        if number % 45 == 0:
            fleet.reported_s = list(fleet.ends_s)
        fleet.offer("w", SMALL, 20_000 if fleet.rng.random() < 0.1 else 800)
    assert fleet.rate(("small", 20_000)) > 0.5 * fleet.rate("small")


ROOM = Room(False, 0.3, 0.05, 0.5, 1.0, headroom(1.0, 0), 1.0, 6.0)
CLAIM = Claim("k", 0, False, 1.0, 100.0, 60.0)
shares_of = st.sampled_from((0.0, 0.5, 1.0, 1.5, 4.0, 10.0, 1_000.0))
queues = st.integers(0, 50).map(lambda step: step / 50)
demands = st.lists(
    st.builds(
        Demand,
        st.sampled_from("kl"),
        st.integers(0, 3),
        st.booleans(),
        st.floats(0.0, 500.0),
        st.floats(0.0, 500.0),
    ),
    max_size=6,
)


def test_others_wait_for_shorter_queues_while_a_kind_is_short() -> None:
    """A kind that gets a tenth of what it asks for is let in only if the others make room."""
    starved = Demand("large", 1, False, 100.0, 10.0)
    served = Demand("k", 0, False, 100.0, 60.0)
    room = ROOM._replace(queue_s=0.6)
    assert admit(CLAIM, (served, starved), room).reason == "others_short"
    assert admit(CLAIM, (served, starved._replace(served=50.0)), room).reason == "in_time"
    assert admit(CLAIM._replace(kind="large", urgency=1), (served, starved), room).reason == "short"


@given(shares_of, queues, demands)
def test_nobody_is_held_back_while_a_runner_is_free(
    shares: float, queue_s: float, demand: list[Demand]
) -> None:
    """Whatever the shares and the record, free capacity is used."""
    room = ROOM._replace(is_free=True, queue_s=queue_s)
    assert admit(CLAIM._replace(shares=shares), demand, room).retry_after_s is None


@given(shares_of, queues, demands)
def test_without_pressure_decisions_are_those_of_load_shedding(
    shares: float, queue_s: float, demand: list[Demand]
) -> None:
    """Shares count only while calls can't all be in time."""
    room = ROOM._replace(queue_s=queue_s, pressed_fraction=0.0)
    verdict = admit(CLAIM._replace(shares=shares), demand, room)
    shed_s = retry_after_s(queue_s, room.memory_fraction, room.limits)
    assert (verdict.retry_after_s is None) == (shed_s is None)


@given(shares_of, shares_of, queues, demands)
def test_a_smaller_share_never_makes_a_call_worse_off(
    first: float, second: float, queue_s: float, demand: list[Demand]
) -> None:
    """A workspace that lowers its load must not be rejected for it, nor be told to wait longer."""
    low, high = sorted((first, second))
    room = ROOM._replace(queue_s=queue_s)
    of_low = admit(CLAIM._replace(shares=low), (), room)
    of_high = admit(CLAIM._replace(shares=high), (), room)
    assert of_high.retry_after_s is not None or of_low.retry_after_s is None


@given(shares_of, queues, demands, st.floats(0.0, 30.0))
def test_retry_times_are_such_that_callers_honor_them(
    shares: float, queue_s: float, demand: list[Demand], left_s: float
) -> None:
    """A caller ignores a retry time above a third of the time that it has left."""
    room = ROOM._replace(queue_s=queue_s, left_s=left_s)
    verdict = admit(CLAIM._replace(shares=shares), demand, room)
    longest_s = (verdict.retry_after_s or 0.0) * (1.0 + RETRY_JITTER)
    assert longest_s <= left_s / 3 + 1e-9


@given(st.lists(st.floats(0.0, 100.0), min_size=1, max_size=20), st.floats(0.0, 500.0))
def test_fair_shares_use_the_capacity(work: list[float], capacity: float) -> None:
    """A share that is too small leaves capacity unused, one too large exceeds it."""
    share = fair_share(work, capacity)
    assert sum(min(item, share) for item in work) == pytest.approx(min(capacity, sum(work)))


def test_state_is_bounded_and_keeps_the_heavy_workspaces() -> None:
    """35,000 workspaces and made-up kinds must not fill the memory of a small VM."""
    shares = CapacityShares()
    for number in range(35_000):
        asked = Asked(f"w{number}", f"k{number}", 0, 100, 100.0)
        shares.note_arrival(asked, number * 0.001)
        if number % 50 == 0:
            shares.note_arrival(asked._replace(workspace="heavy"), number * 0.001)
    _, _, heaviest = shares.heaviest(35_000, 35.0)
    assert len(heaviest) <= MAX_WORKSPACES
    assert heaviest[0][0] == "heavy"
    assert len(shares.demand(35.0)) <= 2 * MAX_KINDS
    # The routes of a new configuration take the place of those that are gone.
    shares.note_arrival(Asked("heavy", "new", 0, 100, 100.0), 600.0)
    assert [item.kind for item in shares.demand(600.0)] == ["new", "new"]
