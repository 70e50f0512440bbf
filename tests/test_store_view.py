"""Views of the object store that are updated by it and by each other.

Failure guarded against: a view counts as confirmed as of some time, but lacks a write that the
store had accepted by then, or contains an object that was removed before.  This comes about when
responses and relayed updates arrive late, out of order or never.
"""

from typing import NamedTuple

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from filbertstream.messages import KindUpdate, ObjectRow
from filbertstream.process.store_view import (
    REMOVALS_KEPT,
    FollowedKind,
    KindObserved,
    ObjectStoreView,
)
from tests.helpers import rev

KIND = "k"
VIEWS = 3
NAMES = ("a", "b", "c", "d")
FOLLOWED = (FollowedKind(KIND, 2.0, True),)


class Written(NamedTuple):
    """A write that the object store has accepted; ``row`` has no content for a removal."""

    at_s: float
    row: ObjectRow


class InTransit(NamedTuple):
    """A response or update that is in transit to a view."""

    view: int
    kind_observed: KindObserved


class ViewMachine(RuleBasedStateMachine):
    """An object store, and views that read it and request updates from each other."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 10.0
        self.revision = 1
        self.written: list[Written] = []
        self.views = [ObjectStoreView(FOLLOWED) for _ in range(VIEWS)]
        self.in_transit: list[InTransit] = []

    def present(self, at_s: float) -> dict[str, ObjectRow]:
        """Return the objects in the object store at a time."""
        objects: dict[str, ObjectRow] = {}
        for write in self.written:
            if write.at_s <= at_s:
                if write.row.content is None:
                    objects.pop(write.row.name, None)
                else:
                    objects[write.row.name] = write.row
        return objects

    @rule(name=st.sampled_from(NAMES), removed=st.booleans())
    def write(self, name: str, removed: bool) -> None:
        self.now_s += 0.01
        if removed and name not in self.present(self.now_s):
            return
        self.revision += 1
        content = None if removed else b"%d" % self.revision
        # A removal carries the revision of the object's last change, not one of its own.
        revision = self.present(self.now_s)[name].revision if removed else self.revision
        self.written.append(Written(self.now_s, ObjectRow(name, revision, content)))
        self.write_revisions = getattr(self, "write_revisions", {})
        self.write_revisions[len(self.written) - 1] = self.revision

    @rule(view=st.integers(0, VIEWS - 1))
    def list(self, view: int) -> None:
        rows = tuple(self.present(self.now_s).values())
        kind_observed = KindObserved(KIND, True, rev(0), rev(self.revision), self.now_s, rows)
        self.in_transit.append(InTransit(view, kind_observed))

    @rule(view=st.integers(0, VIEWS - 1))
    def watch(self, view: int) -> None:
        since = self.views[view].as_of()[KIND]
        if since == rev(0):
            return
        changed = [
            write.row
            for number, write in enumerate(self.written)
            if self.write_revisions[number] > since.number
        ]
        kind_observed = KindObserved(
            KIND, False, since, rev(self.revision), self.now_s, tuple(changed)
        )
        self.in_transit.append(InTransit(view, kind_observed))

    @rule(
        follower=st.integers(0, VIEWS - 1), relay=st.integers(0, VIEWS - 1), delayed=st.booleans()
    )
    def request_update(self, follower: int, relay: int, delayed: bool) -> None:
        sent_at_s = self.now_s
        self.now_s += 0.3 if delayed else 0.001
        kind_update = self.views[relay].kind_update(
            KIND, self.views[follower].as_of()[KIND], self.now_s
        )
        if kind_update is None:
            return
        assert isinstance(kind_update, KindUpdate)
        assert kind_update.rows is not None
        observed_at_s = sent_at_s - kind_update.age_s
        kind_observed = KindObserved(
            KIND,
            kind_update.full,
            rev(kind_update.since),
            rev(kind_update.as_of),
            observed_at_s,
            kind_update.rows,
        )
        self.in_transit.append(InTransit(follower, kind_observed))

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), lost=st.booleans())
    def deliver(self, data: st.DataObject, lost: bool) -> None:
        item = self.in_transit.pop(data.draw(st.integers(0, len(self.in_transit) - 1)))
        self.now_s += 0.01
        if lost:
            return
        view = self.views[item.view]
        before = view.as_of()[KIND]
        view.take(item.kind_observed, self.now_s)
        assert view.as_of()[KIND] >= before
        self.check(view)

    def check(self, view: ObjectStoreView) -> None:
        update = view.kind_update(KIND, rev(0), self.now_s)
        if update is None:
            return
        assert update.rows is not None
        held = {row.name: row for row in update.rows if row.content is not None}
        observed_at_s = self.now_s - update.age_s
        # Every object that existed at the observed time is present, unless it was removed later.
        for name, row in self.present(observed_at_s + 1e-9).items():
            later = [item for item in self.written if item.row.name == name]
            is_removed = any(
                item.row.content is None and item.at_s > observed_at_s for item in later
            )
            assert is_removed or held[name].revision >= row.revision
        for name, row in held.items():
            removals = [
                item.at_s
                for item in self.written
                if item.row.name == name
                and item.row.content is None
                and item.row.revision >= row.revision
            ]
            assert all(at_s > observed_at_s - 1e-9 for at_s in removals), name


TestViews = ViewMachine.TestCase
TestViews.settings = settings(max_examples=800, stateful_step_count=60)


def test_object_removed_and_created_again_within_one_response_is_present() -> None:
    """Fault: registrations expire while the object store is down and are renewed on its return."""
    view = ObjectStoreView(FOLLOWED)
    view.take(KindObserved(KIND, True, rev(0), rev(5), 0.0, (ObjectRow("x", 4, b"4"),)), 0.0)
    rows = (ObjectRow("x", 4, None), ObjectRow("x", 7, b"7"))
    taken = view.take(KindObserved(KIND, False, rev(5), rev(9), 1.0, rows), 1.0)
    assert taken is not None
    assert taken.rows == rows[1:]
    update = view.kind_update(KIND, rev(5), 1.0)
    assert update is not None
    assert update.rows == (rows[1],)


def test_object_created_again_is_relayed_after_its_removal_was() -> None:
    """A relay sends a removal to its follower, and the object is created again afterwards."""
    relay, follower = ObjectStoreView(FOLLOWED), ObjectStoreView(FOLLOWED)
    for view in (relay, follower):
        view.take(KindObserved(KIND, True, rev(0), rev(5), 0.0, (ObjectRow("x", 4, b"4"),)), 0.0)
    relay.take(KindObserved(KIND, False, rev(5), rev(9), 1.0, (ObjectRow("x", 4, None),)), 1.0)
    for since, row in ((rev(9), ObjectRow("x", 10, b"10")), (None, None)):
        update = relay.kind_update(KIND, follower.as_of()[KIND], 1.0)
        assert update is not None
        assert update.rows is not None
        follower.take(
            KindObserved(KIND, update.full, rev(update.since), rev(update.as_of), 1.0, update.rows),
            1.0,
        )
        if row is not None and since is not None:
            relay.take(KindObserved(KIND, False, since, rev(12), 1.0, (row,)), 1.0)
    held = follower.kind_update(KIND, rev(0), 1.0)
    assert held is not None
    assert held.rows == (ObjectRow("x", 10, b"10"),)


def test_follower_that_missed_removals_no_longer_kept_gets_a_full_listing() -> None:
    """More objects are removed than a view keeps removals of."""
    view = ObjectStoreView(FOLLOWED)
    view.take(KindObserved(KIND, True, rev(0), rev(1), 0.0, (ObjectRow("x", 1, b"1"),)), 0.0)
    removals = tuple(ObjectRow(f"r{number}", 1, None) for number in range(REMOVALS_KEPT + 1))
    for number, row in enumerate(removals):
        view.take(KindObserved(KIND, False, rev(1 + number), rev(2 + number), 1.0, (row,)), 1.0)
    update = view.kind_update(KIND, rev(1), 1.0)
    assert update is not None
    assert update.full
    assert update.rows is not None
    assert [row.name for row in update.rows] == ["x"]
    later = view.kind_update(KIND, rev(2), 1.0)
    assert later is not None
    assert not later.full
