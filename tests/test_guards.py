"""One directed scenario for each guard that the state machines reach too rarely.

``bench.guards`` takes the guards out one at a time and shows that the scenario goes red.
"""

import pytest

from bench.world import World
from filbertstream.actions import ListObjects, PutObject
from filbertstream.core import Core, CoreConfig
from filbertstream.events import ObjectRecord, PutFinished, ReadFinished, Tick
from filbertstream.messages import Heartbeat
from filbertstream.process.append_log import OpIds
from filbertstream.process.freshness import Freshness
from filbertstream.process.leases import LEASE_S, Holder, Lease
from filbertstream.process.membership import Membership, Registration
from filbertstream.units import FRESH_S
from filbertstream.version.documents import Model
from tests.helpers import ready_world


def isolate(world: World, name: str) -> None:
    world.cut |= {frozenset((name, other)) for other in world.cores if other != name}


def heartbeat(revision: int, confirmed_age_s: float, echo_s: float) -> Heartbeat:
    return Heartbeat("e2", 1, "dc1", "tcp://e2", "live", 5.0, echo_s, revision, confirmed_age_s)


def test_nothing_is_accepted_without_a_majority() -> None:
    world = ready_world(5)
    isolate(world, "e5")
    world.platform_cut |= {"e1", "e2", "e3", "e4"}
    world.run(8.0)
    assert world.cores["e1"].blocked(world.now_s) is None
    change = world.apply("e5", [Model("model", "m", "v2")])
    world.run(8.0)
    assert [ended.state for ended in world.applied[change]] == ["staged"]


def test_acceptance_waits_for_a_member_that_has_just_registered() -> None:
    world = ready_world()
    e1 = world.cores["e1"]
    listed_s = e1.membership.listed_at_s
    assert world.run_until(lambda: e1.membership.listed_at_s != listed_s, 10.0)
    world.add_entry("e4")
    isolate(world, "e4")
    assert world.run_until(lambda: world.cores["e4"].governance.ready, 2.0)
    change = world.apply("e1", [Model("model", "m", "v2")])
    assert world.run_until(lambda: bool(world.applied[change]), 10.0)
    taking = world.cores["e4"].blocked(world.now_s) is None
    assert not taking or world.cores["e4"].config.revision == e1.config.revision


def test_a_member_is_ready_only_after_a_read_that_follows_its_registration() -> None:
    core = Core(CoreConfig("e1", "vm", "dc", 1, "tcp://e1", (), b"secret"))
    actions = core.step(10.0, Tick())
    (read,) = [item for item in actions if isinstance(item, ListObjects) and item.kind == "config"]
    (put,) = [item for item in actions if isinstance(item, PutObject)]
    core.step(10.1, ReadFinished(read.op_id, True, ()))
    assert core.blocked(10.2) == "starting"
    core.step(10.3, PutFinished(put.op_id, "ok", 1))
    assert core.blocked(10.4) == "starting"
    again = [item for item in core.step(11.1, Tick()) if isinstance(item, ListObjects)]
    core.step(11.2, ReadFinished(again[0].op_id, True, ()))
    assert core.blocked(11.3) is None
    # The read counts from when it was asked, however late it is answered.
    assert core.blocked(11.1 + FRESH_S + 0.05) == "stale"


def test_a_confirmation_counts_only_for_a_revision_that_is_in_force_here() -> None:
    freshness = Freshness()
    freshness.on_heartbeat(heartbeat(2, 0.1, 10.0), revision=1)
    assert not freshness.is_fresh(10.5, ("e2", "e3", "e4"))
    freshness.on_heartbeat(heartbeat(1, 0.1, 10.0), revision=1)
    assert freshness.is_fresh(10.5, ("e2", "e3", "e4"))
    assert not freshness.is_fresh(10.0 + FRESH_S, ("e2", "e3", "e4"))


def test_a_heartbeat_that_waited_long_proves_nothing() -> None:
    freshness = Freshness()
    freshness.on_heartbeat(heartbeat(1, 0.0, 10.0), revision=1)
    assert not freshness.is_fresh(30.0, ("e2",))


def test_a_paused_holder_has_stopped_before_another_takes_the_lease() -> None:
    ops = OpIds()
    first, second = (Lease("duty", Holder(name, 1), ops) for name in ("m1", "m2"))
    (read,) = first.tick(100.0, True)
    assert isinstance(read, ListObjects)
    first.on_read(ReadFinished(read.op_id, True, ()), 100.0)
    (put,) = first.tick(104.0, True)
    assert isinstance(put, PutObject)
    assert put.value is not None
    # The answer is slow; the lease counts from before the write.
    first.on_put(PutFinished(put.op_id, "ok", 1))
    assert first.held(104.0 + LEASE_S / 2)
    row = ObjectRecord("duty", 1, put.value)
    taken_s = None
    for step in range(60):
        now_s = 104.0 + step / 2
        for action in second.tick(now_s, True):
            if isinstance(action, ListObjects):
                second.on_read(ReadFinished(action.op_id, True, (row,)), now_s)
            elif isinstance(action, PutObject):
                second.on_put(PutFinished(action.op_id, "ok", 2))
                taken_s = taken_s or now_s
        assert not (first.held(now_s) and second.held(now_s))
    assert taken_s is not None
    assert second.fencing > first.fencing


@pytest.mark.parametrize("count", [1, 2, 3, 7, 8, 20, 33])
def test_a_push_reaches_every_live_member_once(count: int) -> None:
    names = [f"m{number:02d}" for number in range(count)]
    views = {name: membership_of(name, names) for name in names}
    reached: list[str] = []

    def follow(name: str, until: str | None) -> None:
        for branch in views[name].branches(until, 10.0):
            receiver = branch.address.removeprefix("tcp://")
            reached.append(receiver)
            follow(receiver, branch.until)

    origin = names[count // 2]
    follow(origin, None)
    assert sorted([*reached, origin]) == names


def membership_of(name: str, names: list[str]) -> Membership:
    membership = Membership(Registration(name, "vm", 1, "dc", f"tcp://{name}", 0), (), OpIds())
    for other in names:
        beat = Heartbeat(other, 1, "dc", f"tcp://{other}", "live", 1.0, 1.0, 0, 0.0)
        membership.on_heartbeat(beat, 10.0)
    return membership
