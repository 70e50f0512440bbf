"""The object store comes back from an older copy, in virtual time.

Failures guarded against: changes after the return that never take effect, bookings that run twice,
accepted documents that are undone, orders of two leaders or with a fence that was given out before,
and targets or entries that are used although they had left.  They come about when facts that are
numbered by the lost history are compared with those of the new one.
"""

import itertools

import pytest

from bench.world import World
from filbertstream.epoch_number import EpochNumber
from filbertstream.names import digest_key
from filbertstream.platform.documents import DOCUMENTS_KIND, DOCUMENTS_NAME, TARGETS_KIND
from filbertstream.process.store_view import KindObserved
from filbertstream.request.call_events import SendCall
from filbertstream.version.documents import Model, Removal, Workspace
from tests import gateway_world
from tests.helpers import codes, kinds, ready_world, rev, runs

SETTLED_S = 14.0
"""Longer than any entry waits for its peers to write again what they know."""


def churn(world: World, changes: int = 12) -> None:
    """Let something else write to the store, as on a shared platform."""
    for number in range(changes):
        world.objects.register("others", f"o{number}", {"at": world.now_s})


def add_workspace(world: World, name: str, key: str) -> None:
    ended = world.apply([Workspace("workspace", name, "t", keys=(digest_key(key),))])
    assert ended.state == "accepted", ended


def answered(world: World, key: str = "k") -> list[bool]:
    """Return for each entry whether it answers a prompt of a workspace's key."""
    requests = [world.request(name, key=key) for name in world.cores]
    world.run(2.0)
    return [kinds(world, request) == ["answered"] for request in requests]


@pytest.mark.parametrize("entries", [1, 4, 16])
@pytest.mark.parametrize("reused", [0, 40], ids=["expired", "skipped"])
def test_changes_after_the_return_of_the_store_never_take_effect(entries: int, reused: int) -> None:
    """Targets join, drain and leave; the new history is behind the old one, or already past it."""
    world = ready_world(entries)
    copy = world.objects.revision
    churn(world, 25)
    world.run(1.0)
    world.objects.restore(copy)
    churn(world, reused)
    world.run(5.0)
    world.add_runner("r3")
    world.targets["r1"].draining = True
    world.targets["r2"].draining = True
    world.run(world.bounds.drain_s + 0.6)
    before = [len(world.targets[name].ran) for name in ("r1", "r2")]
    assert all(answered(world))
    assert [len(world.targets[name].ran) for name in ("r1", "r2")] == before


@pytest.mark.parametrize("entries", [1, 4, 16])
def test_documents_accepted_in_the_lost_span_are_undone(entries: int) -> None:
    """A workspace is added and another one's key removed, then the store is back without either."""
    world = ready_world(entries)
    copy = world.objects.revision
    add_workspace(world, "new", "new-key")
    world.apply([Removal("removal", "x", "workspace")])
    world.run(1.0)
    world.objects.restore(copy)
    for _ in range(int(SETTLED_S)):
        removed = [world.request(name, key="other") for name in world.cores]
        world.run(1.0)
        assert [kinds(world, request) for request in removed] == [["refused"]] * entries
    assert all(answered(world, "new-key"))
    assert b'"new"' in bytes(world.objects.objects[DOCUMENTS_KIND][DOCUMENTS_NAME].content)
    add_workspace(world, "later", "later-key")
    world.run(world.bounds.config_apply_s)
    assert all(answered(world, "later-key") + answered(world, "new-key"))


@pytest.mark.parametrize("ended", [(), ("e1",), ("e1", "e2")], ids=["none", "one", "two"])
def test_booking_of_the_lost_span_runs_again_at_another_entry(ended: tuple[str, ...]) -> None:
    """Bookings are repeated after the return, at once and later; who knew them may have died."""
    world = ready_world(4)
    copy = world.objects.revision
    for number in range(12):
        world.request(f"e{1 + number % 2}", "service", idempotency_key=f"b{number}")
        world.run(0.2)
    world.run(0.5)
    for name in ended:
        world.kill(name)
    world.objects.restore(copy)
    for _ in range(8):
        for number, name in itertools.product(range(12), ("e3", "e4")):
            world.request(name, "service", idempotency_key=f"b{number}")
        world.run(2.0)
    assert {runs(world, f"b{number}") for number in range(12)} == {1}
    fresh = world.request("e3", "service", idempotency_key="fresh")
    world.run(1.0)
    assert kinds(world, fresh) == ["answered"]


def test_running_booking_of_the_lost_span_runs_again_at_another_entry() -> None:
    """The store comes back while a booking runs, and the booking is repeated meanwhile."""
    world = ready_world(3)
    copy = world.objects.revision
    for service in ("s1", "s2"):
        world.targets[service].run_s = 6.0
    first = world.request("e1", "service", idempotency_key="b", deadline_s=20.0)
    world.run(0.5)
    world.objects.restore(copy)
    for _ in range(10):
        world.request("e2", "service", idempotency_key="b")
        world.run(1.0)
    assert runs(world, "b") == 1
    assert kinds(world, first) == ["answered"]


def test_fence_of_the_lost_span_is_given_out_again() -> None:
    """Weights are rolled out in the lost span and after the return; fences must rise."""
    world = ready_world(4)
    copy = world.objects.revision
    world.apply([Model("model", "m", 2)])
    world.run(9.0)
    leaders = {
        holder for target in world.targets.values() for _, _, holder in target.accepted_orders
    }
    for name in leaders:
        world.kill(name)
    world.objects.restore(copy)
    world.run(SETTLED_S)
    world.apply([Model("model", "m", 3)])
    world.run(12.0)
    assert [world.targets[name].weights for name in ("r1", "r2")] == [3, 3]
    orders = sorted(order for target in world.targets.values() for order in target.accepted_orders)
    for (at_s, fence, holder), (next_s, next_fence, other) in itertools.pairwise(orders):
        if other != holder:
            assert next_fence > fence
            assert next_s - at_s >= world.bounds.lease_s


@pytest.mark.parametrize("lead_s", [0.3, 1.0, 2.0, 3.0, 4.5])
def test_two_leaders_order_within_a_lease_when_the_store_returns(lead_s: float) -> None:
    """The store comes back without the lease of the entry that is rolling out weights."""
    world = ready_world(4)
    for number in range(3, 9):
        world.add_runner(f"r{number}")
    world.run(2.0)
    world.apply([Model("model", "m", 2)])
    copy = world.objects.revision
    world.run(lead_s)
    world.objects.restore(copy)
    world.run(20.0)
    orders = sorted(order for target in world.targets.values() for order in target.accepted_orders)
    assert orders
    for (at_s, fence, holder), (next_s, next_fence, other) in itertools.pairwise(orders):
        assert next_fence >= fence
        if other != holder:
            assert next_fence > fence
            assert next_s - at_s >= world.bounds.lease_s


def test_target_that_left_in_the_lost_span_is_used_again() -> None:
    """A target drains and another one leaves; the copy still has both as ready."""
    world = ready_world(4)
    for number in range(3, 5):
        world.add_runner(f"r{number}")
    world.run(2.0)
    copy = world.objects.revision
    world.targets["r1"].draining = True
    world.targets["r2"].dead = True
    world.objects.remove(TARGETS_KIND, "r2")
    world.run(world.bounds.drain_s)
    world.targets["r1"].dead = True
    sent: list[str] = []
    world.on_action = lambda name, action: (
        sent.append(action.target_id) if isinstance(action, SendCall) else None
    )
    world.objects.restore(copy)
    for _ in range(6):
        for name in [*world.cores] * 4:
            world.request(name)
        world.run(0.5)
    assert sent
    assert not {"r1", "r2"} & set(sent)


def test_entry_that_left_in_the_lost_span_is_a_member_again() -> None:
    """An entry stops; the copy still has its registration."""
    world = ready_world(4)
    copy = world.objects.revision
    world.objects.remove("filbertstream-entries", "e4")
    world.kill("e4")
    world.run(2.0)
    world.objects.restore(copy)
    world.run(SETTLED_S)
    members = [sorted(core.peers.members) for core in world.cores.values()]
    assert members == [["e1", "e2", "e3"]] * 3


def test_entry_that_starts_after_the_return_takes_the_copy_for_current() -> None:
    """A key was removed in the lost span, and an entry starts before that is written again."""
    world = ready_world(4)
    copy = world.objects.revision
    world.apply([Removal("removal", "x", "workspace")])
    world.run(1.0)
    world.store_cut |= {"e1", "e2", "e3"}
    world.kill("e4")
    world.objects.restore(copy)
    world.add_entry("e4")
    world.after(1.5, world.store_cut.clear)
    for _ in range(10):
        removed = world.request("e4", key="other")
        world.run(0.5)
        assert kinds(world, removed) == ["refused"], codes(world, removed)


@pytest.mark.parametrize("after_s", [0.3, 0.8, 1.3, 1.8])
def test_entry_that_starts_once_peers_have_confirmed_takes_the_copy_for_current(
    after_s: float,
) -> None:
    """As before, but the peers were in contact and have confirmed the new epoch already."""
    world = ready_world(4)
    copy = world.objects.revision
    world.apply([Removal("removal", "x", "workspace")])
    world.run(1.0)
    lost = world.objects.objects[DOCUMENTS_KIND][DOCUMENTS_NAME].content
    for name in world.cores:
        # What operators wrote is back only later, and not by this system.
        world.cores[name].document_recovery.on_restored = lambda epoch, now_s: None
    world.objects.restore(copy)
    world.run(after_s)
    world.kill("e4")
    world.add_entry("e4")
    assert world.objects.objects[DOCUMENTS_KIND][DOCUMENTS_NAME].content != lost
    for _ in range(10):
        removed = world.request("e4", key="other")
        world.run(0.1)
        assert kinds(world, removed) == ["refused"], codes(world, removed)


def test_second_restore_soon_after_the_first_is_missed() -> None:
    """The store comes back twice within a second, the second time from a newer copy."""
    world = ready_world(4)
    copies = [world.objects.revision]
    add_workspace(world, "one", "key-one")
    copies.append(world.objects.revision)
    add_workspace(world, "two", "key-two")
    world.run(1.0)
    for copy in copies:
        world.objects.restore(copy)
        world.run(0.7)
    world.run(SETTLED_S)
    add_workspace(world, "three", "key-three")
    world.run(world.bounds.config_apply_s)
    for key in ("key-one", "key-two", "key-three"):
        assert all(answered(world, key)), key


@pytest.mark.parametrize("out", ["cut", "paused"])
def test_entry_that_was_out_during_the_restore_misses_it(out: str) -> None:
    """An entry is cut off from the store, or frozen, while the store comes back."""
    world = ready_world(4)
    copy = world.objects.revision
    add_workspace(world, "one", "key-one")
    world.run(1.0)
    getattr(world, "store_cut" if out == "cut" else "paused").add("e2")
    world.objects.restore(copy)
    world.run(6.0)
    if out == "cut":
        world.store_cut.discard("e2")
    else:
        world.resume("e2")
    world.run(SETTLED_S)
    add_workspace(world, "two", "key-two")
    world.run(world.bounds.config_apply_s)
    assert all(answered(world, "key-one") + answered(world, "key-two"))


@pytest.mark.parametrize(
    ("away_s", "written_after_s", "cut_after_s"),
    [(0.3, 2.0, 1.7), (0.1, 2.2, 1.9), (2.0, 2.0, 1.5), (0.3, 1.5, 1.4), (3.4, 2.0, 9.0)],
)
def test_key_removed_right_before_a_restore_is_admitted_by_an_entry_that_is_cut_off(
    away_s: float, written_after_s: float, cut_after_s: float
) -> None:
    """The copy, which has the key, counts as the newest before operators have written again."""
    world = gateway_world.World()
    removed_at_s = world.now_s
    back_s = removed_at_s + away_s

    def read(epoch: int, version: int, keys: tuple[str, ...]) -> None:
        row = gateway_world.configuration_row(version, keys, version)
        as_of = EpochNumber(epoch, version)
        world.step(KindObserved(DOCUMENTS_KIND, True, rev(0), as_of, world.now_s, (row,)))

    read(1, 2, ("k", "other"))
    admitted_at_s: list[float] = []
    while world.now_s < removed_at_s + 11.0:
        since_back_s = world.now_s - back_s
        if written_after_s <= since_back_s < cut_after_s:
            read(2, 3, ("k",))
        elif 0.0 <= since_back_s < cut_after_s:
            read(2, 2, ("k", "other"))
        if any(isinstance(item, SendCall) for item in world.arrive("book", "other")):
            admitted_at_s.append(world.now_s)
        world.run(0.1, confirm=False)
    assert max(admitted_at_s) - removed_at_s < gateway_world.BOUNDS.revoke_s


@pytest.mark.parametrize("entries", [1, 4, 16])
def test_restore_makes_all_entries_unready_or_refuse_keys(entries: int) -> None:
    """No entry has a recent confirmation, and callers are turned away at all of them."""
    world = ready_world(entries)
    copy = world.objects.revision
    world.run(1.0)
    world.objects.restore(copy)
    for _ in range(50):
        requests = [world.request(name) for name in world.cores]
        world.run(0.1)
        assert all(core.ready(world.now_s) for core in world.cores.values())
        assert not any("refused" in kinds(world, request) for request in requests)
