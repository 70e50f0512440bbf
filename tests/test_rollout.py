"""Roll-outs: how the runners of a model get named weights, and which weights calls use meanwhile.

Failures guarded against: too many runners swap at once, a runner misses the bound for new weights,
and a call starts on weights whose bound is near.
"""

import itertools

from filbertstream.gateway_events import LeaseObserved, TargetObserved, Tick, WeightsNamed
from filbertstream.process.rollout_lease import LeaseRecord, WriteLease
from filbertstream.process.roster import Roster
from filbertstream.version.rollout import OrderResponse, OrderWeights, ReportReceived, Rollout
from filbertstream.version.weights_view import OVERDUE_FRACTION, ROLL_OUT_FRACTION, WeightsView
from tests.gateway_world import World, entry, sends
from tests.helpers import rev, unlimited

VERSION_S = 8.0
LOAD_S = 0.5


def view_with_named(*versions: int, at_s: float, apart_s: float = 0.0) -> WeightsView:
    """Return a view in which versions of the model were named one after another."""
    weights = WeightsView(Roster(), VERSION_S)
    for number, version in enumerate(versions):
        weights.name("m", version, at_s + number * apart_s)
    return weights


def roster_of(weights: list[int]) -> Roster:
    roster = Roster()
    for number, version in enumerate(weights):
        roster.put(entry(f"r{number}", "models", weights={"m": version}), 100.0)
    return roster


def run_rollout(rollout: Rollout, roster: Roster, begin_s: float, end_s: float) -> dict[str, float]:
    """Run a roll-out whose swaps take ``LOAD_S``; return the start time of each runner's swap."""
    began: dict[str, float] = {}
    now_s = begin_s
    while now_s < end_s:
        now_s += 0.05
        for name in rollout.swapping(now_s):
            if now_s - began.setdefault(name, now_s) >= LOAD_S:
                roster.targets[name].note_weights("m", 3)
    return began


def test_swaps_are_spread_over_a_fraction_of_the_bound() -> None:
    """Load pattern: all runners are busy, and those just swapped have to recompute all prefixes."""
    roster = roster_of([1] * 10)
    began = run_rollout(
        Rollout(roster, view_with_named(3, at_s=100.0), unlimited()), roster, 100.0, 108.0
    )
    times = sorted(began.values())
    assert len(times) == 10
    assert times[-1] - 100.0 <= ROLL_OUT_FRACTION * VERSION_S + 0.1
    assert all(later - earlier >= 0.1 for earlier, later in itertools.pairwise(times))


def test_single_runner_is_swapped_at_once() -> None:
    """With one runner there is nothing to spread."""
    roster = roster_of([1])
    began = run_rollout(
        Rollout(roster, view_with_named(3, at_s=100.0), unlimited()), roster, 100.0, 101.0
    )
    assert began["r0"] < 100.2


def test_leader_that_takes_over_late_swaps_half_of_the_runners_at_a_time() -> None:
    """The lease changes hands when more than half of the bound has passed."""
    roster = roster_of([1] * 6)
    began = run_rollout(
        Rollout(roster, view_with_named(3, at_s=100.0), unlimited()), roster, 104.5, 108.0
    )
    assert sorted(began.values())[2] < 104.6
    assert sorted(began.values())[5] < 104.7 + LOAD_S


def test_runners_without_a_report_keep_the_others_from_their_weights() -> None:
    """Half of the runners never report; they have the first turns."""
    roster = roster_of([1] * 6)
    rollout = Rollout(roster, view_with_named(3, at_s=100.0), unlimited())
    silent = set(rollout.swapping(108.0))
    assert len(silent) == 3
    began: dict[str, float] = {}
    for step in range(100):
        now_s = 108.0 + 0.05 * step
        for name in set(rollout.swapping(now_s)) - silent:
            if now_s - began.setdefault(name, now_s) >= LOAD_S:
                roster.targets[name].note_weights("m", 3)
    assert set(began) == set(roster.targets) - silent


def test_runner_is_asked_again_while_its_report_is_awaited() -> None:
    """A runner drips its report, and each call for one holds a thread."""
    roster = roster_of([1])
    rollout = Rollout(roster, view_with_named(3, at_s=100.0), unlimited())
    rollout.swapping(100.2)
    polls = [rollout.step(100.2 + 0.05 * step, 1) for step in range(20)]
    assert sum(map(len, polls)) == 1
    rollout.on_report_failed("r0")
    assert rollout.step(101.2, 1)


def test_runners_with_the_oldest_weights_are_swapped_first_and_by_their_own_bound() -> None:
    """Load pattern: a version is named before the preceding one is loaded everywhere."""
    roster = roster_of([2, 2, 2, 1, 1, 2])
    weights = view_with_named(2, 3, at_s=100.0, apart_s=4.0)
    began = run_rollout(Rollout(roster, weights, unlimited()), roster, 104.0, 110.0)
    assert set(sorted(began, key=began.__getitem__)[:2]) == {"r3", "r4"}
    assert max(began["r3"], began["r4"]) < 104.2
    assert min(began[name] for name in ("r0", "r1", "r2", "r5")) > 104.2


def test_runner_is_overdue_by_the_first_version_that_it_missed() -> None:
    """Two versions are named, and the bound of the first one passes."""
    weights = view_with_named(2, 3, at_s=100.0, apart_s=4.0)
    late_s = 100.0 + OVERDUE_FRACTION * VERSION_S + 0.1
    assert weights.is_overdue("m", 1, late_s)
    assert not weights.is_overdue("m", 2, late_s)
    assert not weights.is_overdue("m", 3, late_s + 100.0)


def test_no_call_starts_on_weights_near_their_bound_after_newer_ones_were_named() -> None:
    """Naming version 3 must not restart the bound of a runner that still lacks version 2."""
    world = World()
    world.step(WeightsNamed("m", 2))
    world.step(TargetObserved("r1", entry("r1", "models", weights={"m": 2}), False))
    world.run(4.0)
    world.step(WeightsNamed("m", 3))
    world.run(2.5)
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(9)} == {"r1"}


def test_lease_record_informs_all_entries_of_loaded_weights() -> None:
    """An entry sends no calls to a runner with old weights. No response can show it newer ones."""
    world = World()
    world.step(WeightsNamed("m", 2))
    record = LeaseRecord("e9#1", 1, True, 1, [], {}, {"r2": {"m": 2}, "gone": {"m": 2}})
    world.step(LeaseObserved(record, rev(5)))
    world.run(7.0)
    assert {sends(world.arrive("draft"))[0].target_id for _ in range(9)} == {"r2"}


def test_roll_out_swaps_at_most_half_at_a_time_and_sends_no_order_twice() -> None:
    """Reports of runners arrive in between, before and after a swap."""
    roster = Roster()
    for number in range(6):
        roster.put(entry(f"r{number}", "models"), 100.0)
    # The weights were named long ago, so the swaps are not spread.
    rollout = Rollout(roster, view_with_named(2, at_s=0.0), unlimited())
    now_s, ordered = 100.0, []
    for _ in range(400):
        now_s += 0.1
        assert len(rollout.swapping(now_s)) <= 3
        for action in rollout.step(now_s, 5):
            target = roster.targets[action.target_id]
            if isinstance(action, OrderWeights):
                ordered.append(action.target_id)
                rollout.on_order(OrderResponse(action.target_id, 202))
            else:
                count = ordered.count(action.target_id)
                weights = {"m": 2} if count else dict(target.weights)
                rollout.on_report(ReportReceived(action.target_id, count, False, weights, now_s))
    assert sorted(ordered) == [f"r{number}" for number in range(6)]
    assert rollout.outdated() == []


def test_order_carries_the_number_of_orders_that_its_runner_has_accepted() -> None:
    """An order without a response may be carried out late. The count lets a runner reject it."""
    roster = Roster()
    roster.put(entry("r0", "models"), 100.0)
    rollout = Rollout(roster, view_with_named(2, at_s=0.0), unlimited())
    now_s, orders = 100.0, []
    for step in range(60):
        now_s += 0.1
        rollout.swapping(now_s)
        for action in rollout.step(now_s, 5):
            if isinstance(action, OrderWeights):
                orders.append(action.accepted_orders)
                rollout.on_order(OrderResponse("r0", None))
            else:
                rollout.on_report(ReportReceived("r0", 4 + step // 30, False, {"m": 1}, now_s))
    assert orders[0] == 4
    assert orders[-1] == 5


def test_blocks_are_retired_once_no_runner_that_gets_calls_has_older_weights() -> None:
    """Runners with older weights continue to fetch the blocks that were saved for them."""
    world = World()
    world.step(WeightsNamed("m", 2))
    world.step(TargetObserved("r1", entry("r1", "models", weights={"m": 2}), False))
    world.step(LeaseObserved(None, rev(0)))
    retired = []
    for revision in range(1, 40):
        world.now_s += 0.1
        for action in world.step(Tick()):
            if isinstance(action, WriteLease):
                world.step(LeaseObserved(action.record, rev(revision)))
                retired.append(action.record.retired)
        if revision == 20:
            assert len(retired) > 2
            assert not any(retired)
            world.step(TargetObserved("r2", entry("r2", "models", weights={"m": 2}), False))
    assert retired[-1] == {"m": 2}
