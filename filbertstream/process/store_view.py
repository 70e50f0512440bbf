"""What an entry was shown of the platform's store, undecoded, so that it can tell others.

For each kind of object that is followed: all objects with their revisions, the revision up to which
this is complete, and the latest moment as of which it was shown to be.  The same rows come from the
store's own answers and from other entries; each is taken only if it is newer than what is there, so
that it does not matter in which order they arrive.

>>> view = StoreView((FollowedKind("k", 2.0, True),))
>>> view.take(KindObserved("k", True, 0, 7, 1.0, (ObjectRow("a", 5, b"1"),)), 1.1).rows
(ObjectRow(name='a', revision=5, content=b'1'),)
>>> view.kind_update("k", 7, 2.0)
KindUpdate(kind='k', full=False, since=7, as_of=7, age_s=1.0, rows=())
>>> kind_update = view.kind_update("k", 4, 2.0)
>>> (kind_update.full, [row.name for row in kind_update.rows])
(True, ['a'])
"""

from typing import Final, NamedTuple

from filbertstream.messages import KindUpdate, ObjectRow

REMOVALS_KEPT: Final = 512
"""Removals of a kind that are remembered; who asks about earlier ones is told the whole kind."""

KIND_UPDATE_LIMIT_BYTES: Final = 262_144
"""Content of one kind in one answer; more than this is read from the store by each entry."""


class FollowedKind(NamedTuple):
    """A kind of object that entries follow.

    ``max_age_s`` is the age up to which another entry's word for it is relied on, and ``pushed``
    tells whether a change is passed on at once instead of when the next question comes.
    """

    kind: str
    max_age_s: float
    pushed: bool


class KindObserved(NamedTuple):
    """What a kind's objects are as of a revision: all of them, or those changed after ``since``.

    ``observed_at_s`` is a moment by the own clock as of which nothing newer was there.
    """

    kind: str
    full: bool
    since: int
    as_of: int
    observed_at_s: float
    rows: tuple[ObjectRow, ...]


class KindDelta(NamedTuple):
    """What of it was new: the rows to decode, as a listing of the kind or as changes."""

    kind: str
    full: bool
    observed_at_s: float
    rows: tuple[ObjectRow, ...]


class _Removal(NamedTuple):
    """An object that is gone: the last revision that it had, and one by which it was gone."""

    revision: int
    at: int


NEVER: Final = _Removal(0, 0)


class _Kind:
    """The view of one kind."""

    def __init__(self) -> None:
        self.as_of = 0
        self.newest = 0
        self.listed = False
        self.learned_at_s = float("-inf")
        self.observed_at_s = float("-inf")
        self.complete_from = 0
        self.present: dict[str, ObjectRow] = {}
        self.removed: dict[str, _Removal] = {}

    def put(self, row: ObjectRow, as_of: int) -> bool:
        """Take a row in; whether it is newer than what is there."""
        known = self.present.get(row.name)
        before = self.removed.get(row.name, NEVER).revision if known is None else known.revision
        if row.content is None:
            # The revision of a removal is not told; it came no later than the answer.
            if known is not None and known.revision > as_of:
                return False
            self.removed[row.name] = _Removal(max(before, row.revision), as_of)
            return self.present.pop(row.name, None) is not None
        if row.revision <= before:
            return False
        self.removed.pop(row.name, None)
        self.present[row.name] = row
        self.newest = max(self.newest, row.revision)
        return True

    def trim(self) -> None:
        """Forget the oldest removals beyond the bound."""
        while len(self.removed) > REMOVALS_KEPT:
            name = min(self.removed, key=lambda item: self.removed[item].at)
            self.complete_from = max(self.complete_from, self.removed.pop(name).at)


class StoreView:
    """All kinds that are followed."""

    def __init__(self, followed: tuple[FollowedKind, ...]) -> None:
        self.followed = {item.kind: item for item in followed}
        self._kinds = {item.kind: _Kind() for item in followed}

    def as_of(self) -> dict[str, int]:
        """Return the revision up to which each kind is complete, 0 for one not shown yet."""
        return {name: kind.as_of for name, kind in self._kinds.items()}

    def listed(self, kind: str) -> bool:
        """Whether all objects of a kind have been shown."""
        return self._kinds[kind].listed

    def age_s(self, kind: str, now_s: float) -> float:
        """Return how long ago a kind was last shown to be as it is here."""
        return now_s - self._kinds[kind].observed_at_s

    def contradicted(self, kind: str, as_of: int, observed_at_s: float) -> bool:
        """Whether a state can't be the newest as of a moment: a newer one was known by then."""
        known = self._kinds[kind]
        return as_of < known.newest and observed_at_s > known.learned_at_s

    def take(self, shown: KindObserved, now_s: float) -> KindDelta | None:
        """Take an answer in; None where it shows nothing about what is here."""
        kind = self._kinds[shown.kind]
        if not shown.full and (not kind.listed or shown.since > kind.as_of):
            # Changes between what is here and what was asked about are unknown.
            return None
        if shown.as_of < kind.as_of:
            # Nothing newer was there at that moment, and what is here is newer still.
            kind.observed_at_s = max(kind.observed_at_s, shown.observed_at_s)
            return KindDelta(shown.kind, False, kind.observed_at_s, ())
        # Of several changes of an object the last one tells how it was as of the answer; the others
        # may be known already, and what came after them too.
        last = {row.name: row for row in shown.rows}
        rows = [row for row in last.values() if kind.put(row, shown.as_of)]
        listed = shown.full and not kind.listed
        if shown.full:
            names = {row.name for row in shown.rows}
            for name in [name for name in kind.present if name not in names]:
                gone = ObjectRow(name, kind.present[name].revision, None)
                if kind.put(gone, shown.as_of):
                    rows.append(gone)
            # Objects that came and went before this listing are not known here.
            kind.complete_from = shown.as_of
        if rows:
            kind.learned_at_s = now_s
        kind.as_of = shown.as_of
        kind.listed = True
        kind.trim()
        kind.observed_at_s = max(kind.observed_at_s, shown.observed_at_s)
        return KindDelta(shown.kind, listed, kind.observed_at_s, tuple(rows))

    def kind_update(self, name: str, since: int, now_s: float) -> KindUpdate | None:
        """Return what another entry is to be told of a kind that it knows up to ``since``."""
        kind = self._kinds.get(name)
        if kind is None or not kind.listed:
            return None
        age_s = now_s - kind.observed_at_s
        full = since < kind.complete_from
        changed = [row for row in kind.present.values() if full or row.revision > since]
        if not full:
            gone = [item for item in kind.removed.items() if item[1].at > since]
            changed += [ObjectRow(name, removal.revision, None) for name, removal in gone]
        if sum(len(row.content or b"") for row in changed) > KIND_UPDATE_LIMIT_BYTES:
            return KindUpdate(name, full, since, kind.as_of, age_s, None)
        return KindUpdate(name, full, since, kind.as_of, age_s, tuple(changed))
