"""Views of the store that are told by the store and by each other, in any order, late or never.

The promise that everything rests on: what a view was shown to be as of a moment holds every write
that the store had taken by then, and no object that was removed before it.
"""

from typing import NamedTuple

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from filbertstream.messages import KindUpdate, ObjectRow
from filbertstream.process.store_view import REMOVALS_KEPT, FollowedKind, KindObserved, StoreView

KIND = "k"
VIEWS = 3
NAMES = ("a", "b", "c", "d")
FOLLOWED = (FollowedKind(KIND, 2.0, True),)


class Written(NamedTuple):
    """A write that the store has taken; ``row`` has no content for a removal."""

    at_s: float
    row: ObjectRow


class Shown(NamedTuple):
    """An answer that is on its way to a view."""

    view: int
    shown: KindObserved


class ViewMachine(RuleBasedStateMachine):
    """A store, and views that ask it and each other."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 10.0
        self.revision = 1
        self.written: list[Written] = []
        self.views = [StoreView(FOLLOWED) for _ in range(VIEWS)]
        self.on_the_way: list[Shown] = []

    def present(self, at_s: float) -> dict[str, ObjectRow]:
        """Return what the store held at a moment."""
        found: dict[str, ObjectRow] = {}
        for write in self.written:
            if write.at_s <= at_s:
                if write.row.content is None:
                    found.pop(write.row.name, None)
                else:
                    found[write.row.name] = write.row
        return found

    @rule(name=st.sampled_from(NAMES), removed=st.booleans())
    def write(self, name: str, removed: bool) -> None:
        self.now_s += 0.01
        if removed and name not in self.present(self.now_s):
            return
        self.revision += 1
        content = None if removed else b"%d" % self.revision
        # A removal shows the revision of the last change, not its own.
        revision = self.present(self.now_s)[name].revision if removed else self.revision
        self.written.append(Written(self.now_s, ObjectRow(name, revision, content)))
        self.stamps = getattr(self, "stamps", {})
        self.stamps[len(self.written) - 1] = self.revision

    @rule(view=st.integers(0, VIEWS - 1))
    def list(self, view: int) -> None:
        rows = tuple(self.present(self.now_s).values())
        shown = KindObserved(KIND, True, 0, self.revision, self.now_s, rows)
        self.on_the_way.append(Shown(view, shown))

    @rule(view=st.integers(0, VIEWS - 1))
    def watch(self, view: int) -> None:
        since = self.views[view].as_of()[KIND]
        if not since:
            return
        changed = [
            write.row for number, write in enumerate(self.written) if self.stamps[number] > since
        ]
        shown = KindObserved(KIND, False, since, self.revision, self.now_s, tuple(changed))
        self.on_the_way.append(Shown(view, shown))

    @rule(asker=st.integers(0, VIEWS - 1), relay=st.integers(0, VIEWS - 1), late=st.booleans())
    def ask(self, asker: int, relay: int, late: bool) -> None:
        sent_at_s = self.now_s
        self.now_s += 0.3 if late else 0.001
        kind_update = self.views[relay].kind_update(
            KIND, self.views[asker].as_of()[KIND], self.now_s
        )
        if kind_update is None:
            return
        assert isinstance(kind_update, KindUpdate)
        assert kind_update.rows is not None
        observed_at_s = sent_at_s - kind_update.age_s
        shown = KindObserved(
            KIND,
            kind_update.full,
            kind_update.since,
            kind_update.as_of,
            observed_at_s,
            kind_update.rows,
        )
        self.on_the_way.append(Shown(asker, shown))

    @precondition(lambda self: self.on_the_way)
    @rule(data=st.data(), lost=st.booleans())
    def arrive(self, data: st.DataObject, lost: bool) -> None:
        item = self.on_the_way.pop(data.draw(st.integers(0, len(self.on_the_way) - 1)))
        self.now_s += 0.01
        if lost:
            return
        view = self.views[item.view]
        before = view.as_of()[KIND]
        view.take(item.shown, self.now_s)
        assert view.as_of()[KIND] >= before
        self.check(view)

    def check(self, view: StoreView) -> None:
        told = view.kind_update(KIND, 0, self.now_s)
        if told is None:
            return
        assert told.rows is not None
        held = {row.name: row for row in told.rows if row.content is not None}
        observed_at_s = self.now_s - told.age_s
        # Whatever was there at the moment shown, or has been put there since.
        for name, row in self.present(observed_at_s + 1e-9).items():
            later = [item for item in self.written if item.row.name == name]
            gone = any(item.row.content is None and item.at_s > observed_at_s for item in later)
            assert gone or held[name].revision >= row.revision
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


def test_an_object_that_came_back_within_one_answer_is_there() -> None:
    """Fault: registrations lapse while the store is away, and are back with its return."""
    view = StoreView(FOLLOWED)
    view.take(KindObserved(KIND, True, 0, 5, 0.0, (ObjectRow("x", 4, b"4"),)), 0.0)
    rows = (ObjectRow("x", 4, None), ObjectRow("x", 7, b"7"))
    taken = view.take(KindObserved(KIND, False, 5, 9, 1.0, rows), 1.0)
    assert taken is not None
    assert taken.rows == rows[1:]
    told = view.kind_update(KIND, 5, 1.0)
    assert told is not None
    assert told.rows == (rows[1],)


def test_an_object_that_came_back_is_told_after_its_removal_was() -> None:
    relay, follower = StoreView(FOLLOWED), StoreView(FOLLOWED)
    for view in (relay, follower):
        view.take(KindObserved(KIND, True, 0, 5, 0.0, (ObjectRow("x", 4, b"4"),)), 0.0)
    relay.take(KindObserved(KIND, False, 5, 9, 1.0, (ObjectRow("x", 4, None),)), 1.0)
    for since, row in ((9, ObjectRow("x", 10, b"10")), (None, None)):
        told = relay.kind_update(KIND, follower.as_of()[KIND], 1.0)
        assert told is not None
        assert told.rows is not None
        follower.take(KindObserved(KIND, told.full, told.since, told.as_of, 1.0, told.rows), 1.0)
        if row is not None and since is not None:
            relay.take(KindObserved(KIND, False, since, 12, 1.0, (row,)), 1.0)
    held = follower.kind_update(KIND, 0, 1.0)
    assert held is not None
    assert held.rows == (ObjectRow("x", 10, b"10"),)


def test_an_asker_that_missed_forgotten_removals_is_told_the_whole_kind() -> None:
    view = StoreView(FOLLOWED)
    view.take(KindObserved(KIND, True, 0, 1, 0.0, (ObjectRow("x", 1, b"1"),)), 0.0)
    removals = tuple(ObjectRow(f"r{number}", 1, None) for number in range(REMOVALS_KEPT + 1))
    for number, row in enumerate(removals):
        view.take(KindObserved(KIND, False, 1 + number, 2 + number, 1.0, (row,)), 1.0)
    told = view.kind_update(KIND, 1, 1.0)
    assert told is not None
    assert told.full
    assert told.rows is not None
    assert [row.name for row in told.rows] == ["x"]
    later = view.kind_update(KIND, 2, 1.0)
    assert later is not None
    assert not later.full
