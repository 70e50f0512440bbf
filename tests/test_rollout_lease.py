"""The roll-out lease: only its holder, the leader, orders runners to load new weights.

Failure guarded against: two entries give orders less than one lease apart, or with a fence that
does not rise.  Several entries share an object store with conditional writes.  Writes may be
carried out late, their responses may get lost, and entries may be suspended or cut off from the
store; each entry's clock counts suspended time.  An order is recorded at the moment it is sent.
"""

import random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertstream.process.rollout_lease import (
    LOADED_LIMIT,
    LeaseRecord,
    RolloutLease,
    RolloutState,
    WriteLease,
)
from tests.helpers import rev

LEASE_S = 3.0
NO_WORK = RolloutState((), {}, {})
STEP_S = 0.1


class Order(NamedTuple):
    at_s: float
    holder: str
    fence: int


class LateWrite(NamedTuple):
    due_s: float
    owner: int
    write: WriteLease
    has_response: bool


class Cluster:
    """Entries that compete for one lease record."""

    def __init__(self, entries: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 50.0
        self.leases = [
            RolloutLease(f"e{number}", LEASE_S, random.Random(f"{seed}-{number}"))
            for number in range(entries)
        ]
        self.record: LeaseRecord | None = None
        self.revision = rev(0)
        self.late: list[LateWrite] = []
        self.orders: list[Order] = []
        self.suspended_until_s = [0.0] * entries
        self.cut_until_s = [0.0] * entries
        self.lost_fraction = 0.0
        self.delay_s = 0.0
        self.has_work = True

    def step(self) -> None:
        self.now_s += STEP_S
        for item in [item for item in self.late if item.due_s <= self.now_s]:
            self.late.remove(item)
            self._apply(item)
        for number, lease in enumerate(self.leases):
            if self.now_s < self.suspended_until_s[number]:
                continue
            if self.now_s >= self.cut_until_s[number]:
                lease.on_observed(self.record, self.revision, self.now_s)
            write = lease.tick(self.now_s, self.has_work, NO_WORK)
            if write is not None and self.now_s >= self.cut_until_s[number]:
                due_s = self.now_s + self.rng.uniform(0.0, self.delay_s)
                has_response = self.rng.random() >= self.lost_fraction
                self.late.append(LateWrite(due_s, number, write, has_response))
            if lease.may_order(self.now_s):
                self.orders.append(Order(self.now_s, f"e{number}", lease.fence))

    def _apply(self, item: LateWrite) -> None:
        is_current = item.write.revision == self.revision
        if is_current:
            self.record, self.revision = item.write.record, rev(self.revision.number + 1)
        if item.has_response and self.now_s >= self.suspended_until_s[item.owner]:
            lease = self.leases[item.owner]
            if not is_current:
                lease.on_write_refused()
            lease.on_observed(self.record, self.revision, self.now_s)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def check(self) -> None:
        for before, after in zip(self.orders, self.orders[1:], strict=False):
            if before.holder != after.holder:
                assert after.at_s - before.at_s >= LEASE_S, (before, after)
                assert after.fence > before.fence, (before, after)
            assert after.fence >= before.fence


def test_new_fleet_takes_the_lease_and_orders_at_once() -> None:
    """No lease record exists yet, so no other leader can be active."""
    cluster = Cluster(6, 1)
    cluster.run(1.0)
    assert cluster.orders
    assert cluster.orders[0].at_s < 50.6
    cluster.check()


def test_last_leader_resumes_without_a_gap_and_another_waits_for_a_lease() -> None:
    """A leader releases the lease and takes it again; later it is cut off from the object store."""
    cluster = Cluster(3, 2)
    cluster.run(2.0)
    holder = int(cluster.orders[-1].holder[1:])
    cluster.has_work = False
    cluster.run(2.0)
    assert cluster.record is not None
    assert not cluster.record.active
    cluster.has_work = True
    began = cluster.now_s
    cluster.run(0.6)
    assert [item.holder for item in cluster.orders if item.at_s > began][:1] == [f"e{holder}"]
    cluster.cut_until_s[holder] = cluster.now_s + 60.0
    last_s = cluster.orders[-1].at_s
    cluster.run(8.0)
    other = next(item for item in cluster.orders if item.holder != f"e{holder}")
    assert LEASE_S <= other.at_s - last_s < LEASE_S + 4.0
    cluster.check()


def test_idle_fleet_writes_no_lease_record() -> None:
    """No runner needs new weights, so no entry needs the lease."""
    cluster = Cluster(4, 3)
    cluster.has_work = False
    cluster.run(20.0)
    assert (cluster.revision, cluster.orders) == (rev(0), [])


def test_loaded_weights_in_the_record_survive_a_change_of_leader_and_stay_bounded() -> None:
    """A new leader takes over a record that lists what runners have loaded."""
    lease = RolloutLease("e0", LEASE_S, random.Random(1))
    lease.on_observed(LeaseRecord("e9#1", 3, False, 1, [], {}, {"r1": {"m": 2}}), rev(1), 10.0)
    lease.tick(10.0, True, NO_WORK)
    taken = lease.tick(11.0, True, NO_WORK)
    assert taken is not None
    assert taken.record.loaded == {"r1": {"m": 2}}
    lease.on_observed(taken.record, rev(2), 11.0)
    found = {f"s{number}": {"m": 3} for number in range(LOADED_LIMIT)}
    renewed = lease.tick(11.1, True, RolloutState((), {}, found))
    assert renewed is not None
    assert renewed.record.loaded == found


@pytest.mark.parametrize("seed", range(6))
def test_leader_that_was_suspended_beyond_its_lease_gives_no_orders_on_resuming(seed: int) -> None:
    """The leader's VM is suspended for two leases, and another entry takes over meanwhile."""
    cluster = Cluster(4, seed)
    cluster.run(2.0)
    holder = int(cluster.orders[-1].holder[1:])
    cluster.suspended_until_s[holder] = cluster.now_s + 6.0
    cluster.run(12.0)
    cluster.check()


def test_leader_that_released_before_its_first_order_waits_out_the_gap_when_it_takes_again() -> (
    None
):
    """Load pattern: weights are named right after a roll-out has ended, and soon again."""
    cluster = Cluster(3, 4)
    cluster.run(2.0)
    for has_work, seconds in ((False, 0.3), (True, 0.8), (False, 0.3), (True, 6.0)):
        cluster.has_work = has_work
        holder = int(cluster.orders[-1].holder[1:])
        # The last leader is cut off, so that another entry takes the lease.
        cluster.cut_until_s[holder] = cluster.now_s + seconds if has_work else 0.0
        cluster.run(seconds)
    assert len({order.holder for order in cluster.orders}) == 2
    cluster.check()


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["suspend", "cut", "lossy", "slow", "calm", "idle", "busy"]),
        st.integers(0, 3),
        st.floats(0.3, 6.0),
    ),
    max_size=14,
)


@given(seed=st.integers(0, 10_000), faults=FAULTS)
def test_orders_of_two_leaders_are_at_least_one_lease_apart(
    seed: int, faults: list[tuple[str, int, float]]
) -> None:
    """Entries are suspended, cut off, or get lost and slow responses, in any order."""
    cluster = Cluster(4, seed)
    for fault, number, seconds in faults:
        if fault == "suspend":
            cluster.suspended_until_s[number] = cluster.now_s + seconds
        elif fault == "cut":
            cluster.cut_until_s[number] = cluster.now_s + seconds
        elif fault == "lossy":
            cluster.lost_fraction = 0.5
        elif fault == "slow":
            cluster.delay_s = seconds / 2
        elif fault == "calm":
            cluster.lost_fraction = cluster.delay_s = 0.0
        else:
            cluster.has_work = fault == "busy"
        cluster.run(seconds)
    cluster.check()
