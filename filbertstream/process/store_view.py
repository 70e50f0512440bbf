"""The objects of the object store as observed by an entry, undecoded, to be relayed to peers.

For each followed kind of object, the view holds all objects with their revisions, the revision up
to which it is complete, and the latest time as of which it was observed to be the newest.  The same
rows come from the object store and from peers.  A row is applied only if it is newer than the one
in the view, so the order in which rows arrive does not matter.

Revisions count within an epoch of the object store.  A full listing of a later epoch replaces the
whole state of a kind, and responses of earlier epochs are dropped, whatever their revisions.

>>> view = ObjectStoreView((FollowedKind("k", 2.0, True),))
>>> rows = (ObjectRow("a", 5, b"1"),)
>>> view.take(KindObserved("k", True, NO_REVISION, EpochNumber(1, 7), 1.0, rows), 1.1).rows
(ObjectRow(name='a', revision=5, content=b'1'),)
>>> view.kind_update("k", EpochNumber(1, 7), 2.0)
KindUpdate(kind='k', full=False, since=7, as_of=7, age_s=1.0, rows=())
>>> kind_update = view.kind_update("k", EpochNumber(1, 4), 2.0)
>>> (kind_update.full, [row.name for row in kind_update.rows])
(True, ['a'])
"""

from typing import Final, NamedTuple

from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.messages import KindUpdate, ObjectRow

REMOVALS_KEPT: Final = 512
"""Removals of a kind that are kept; a request from before that gets the full listing."""

KIND_UPDATE_LIMIT_BYTES: Final = 262_144
"""Limit of the content of one kind in a response; beyond it each entry reads the object store."""


class FollowedKind(NamedTuple):
    """A kind of object that entries follow.

    ``max_age_s`` is the age up to which relayed data of the kind is used.  Changes of a ``pushed``
    kind are sent to followers at once instead of with the response to their next poll.  Relays of
    older builds, or with other settings, may not follow a kind that is not ``since_first_build``.
    """

    kind: str
    max_age_s: float
    pushed: bool
    since_first_build: bool = True


class KindObserved(NamedTuple):
    """The objects of a kind as of a revision: all of them, or those changed after ``since``.

    ``observed_at_s`` is a time on the local clock as of which nothing newer existed.  The revisions
    of the rows count in the epoch of ``as_of``.
    """

    kind: str
    full: bool
    since: EpochNumber
    as_of: EpochNumber
    observed_at_s: float
    rows: tuple[ObjectRow, ...]


class KindDelta(NamedTuple):
    """The new rows of an observation, to be decoded as a full listing or as changes.

    The revisions of the rows count in ``epoch``.
    """

    kind: str
    epoch: int
    full: bool
    observed_at_s: float
    rows: tuple[ObjectRow, ...]


class _Removal(NamedTuple):
    """A removed object: its last revision, and a revision as of which it no longer existed."""

    revision: int
    gone_by: int


NOT_REMOVED: Final = _Removal(0, 0)


class _KindState:
    """The objects and removals of one kind in one epoch, to which all its revisions belong."""

    def __init__(self, epoch: int = 0) -> None:
        self.epoch = epoch
        self.as_of = 0
        self.newest_revision = 0
        self.listed = False
        self.changed_at_s = float("-inf")
        self.observed_at_s = float("-inf")
        self.complete_from = 0
        self.present: dict[str, ObjectRow] = {}
        self.removed: dict[str, _Removal] = {}

    def revision(self, number: int) -> EpochNumber:
        """Return a revision of this epoch."""
        return EpochNumber(self.epoch, number)

    def put(self, row: ObjectRow, as_of: int) -> bool:
        """Apply a row; return whether it is newer than what the view has."""
        known = self.present.get(row.name)
        before = (
            self.removed.get(row.name, NOT_REMOVED).revision if known is None else known.revision
        )
        if row.content is None:
            # A removal comes without its revision, which is at most that of the response.
            if known is not None and known.revision > as_of:
                return False
            self.removed[row.name] = _Removal(max(before, row.revision), as_of)
            return self.present.pop(row.name, None) is not None
        if row.revision <= before:
            return False
        self.removed.pop(row.name, None)
        self.present[row.name] = row
        self.newest_revision = max(self.newest_revision, row.revision)
        return True

    def trim(self) -> None:
        """Drop the oldest removals beyond the limit."""
        while len(self.removed) > REMOVALS_KEPT:
            name = min(self.removed, key=lambda item: self.removed[item].gone_by)
            self.complete_from = max(self.complete_from, self.removed.pop(name).gone_by)


class ObjectStoreView:
    """The view of all followed kinds."""

    def __init__(self, followed: tuple[FollowedKind, ...]) -> None:
        self.followed = {item.kind: item for item in followed}
        self._kinds = {item.kind: _KindState() for item in followed}

    def as_of(self) -> dict[str, EpochNumber]:
        """Return the revision up to which each kind is complete, or ``NO_REVISION``."""
        return {name: kind.revision(kind.as_of) for name, kind in self._kinds.items()}

    def epoch(self) -> int:
        """Return the latest epoch of any kind."""
        return max((kind.epoch for kind in self._kinds.values()), default=0)

    def listed(self, kind: str) -> bool:
        """Whether a full listing of a kind has been observed."""
        return self._kinds[kind].listed

    def age_s(self, kind: str, now_s: float) -> float:
        """Return how long ago a kind was last observed to be as it is in the view."""
        return now_s - self._kinds[kind].observed_at_s

    def contradicts(self, kind: str, as_of: EpochNumber, observed_at_s: float) -> bool:
        """Whether a state can't be the newest as of a time: the view had a newer one by then."""
        known = self._kinds[kind]
        newest = known.revision(known.newest_revision)
        return as_of < newest and observed_at_s > known.changed_at_s

    def take(self, observed: KindObserved, now_s: float) -> KindDelta | None:
        """Apply an observation; return None if it leaves a gap after what the view has."""
        kind = self._kinds[observed.kind]
        since, as_of = observed.since, observed.as_of
        if as_of.epoch < kind.epoch:
            return None
        if not observed.full and not (
            kind.listed and as_of.comparable(since) and kind.revision(kind.as_of).succeeds(since)
        ):
            # The changes between the view's revision and ``since`` are unknown.
            return None
        former = kind
        if as_of.epoch > kind.epoch:
            kind = self._kinds[observed.kind] = _KindState(as_of.epoch)
        if as_of.number < kind.as_of:
            # Nothing newer existed at that time, and the view is newer still.
            kind.observed_at_s = max(kind.observed_at_s, observed.observed_at_s)
            return KindDelta(observed.kind, kind.epoch, False, kind.observed_at_s, ())
        # Of several changes of an object the last one gives its state as of the response.  Earlier
        # ones may already be in the view, and so may what followed them.
        last = {row.name: row for row in observed.rows}
        rows = [row for row in last.values() if kind.put(row, as_of.number)]
        listed = observed.full and not kind.listed
        if observed.full:
            names = {row.name for row in observed.rows}
            for name in [name for name in kind.present if name not in names]:
                gone = ObjectRow(name, kind.present[name].revision, None)
                if kind.put(gone, as_of.number):
                    rows.append(gone)
            # Objects that were created and removed before this listing are unknown.
            kind.complete_from = as_of.number
        if rows or former is not kind:
            kind.changed_at_s = now_s
        kind.as_of = as_of.number
        kind.listed = True
        kind.trim()
        kind.observed_at_s = max(kind.observed_at_s, observed.observed_at_s)
        return KindDelta(observed.kind, kind.epoch, listed, kind.observed_at_s, tuple(rows))

    def kind_update(self, name: str, since: EpochNumber, now_s: float) -> KindUpdate | None:
        """Return the update of a kind for a peer whose view is complete up to ``since``.

        Its revisions count in the epoch of this view; the receiver takes an update of a later
        epoch than its own only if it is full.
        """
        kind = self._kinds.get(name)
        if kind is None or not kind.listed:
            return None
        age_s = now_s - kind.observed_at_s
        full = since == NO_REVISION or not since.succeeds(kind.revision(kind.complete_from))
        first = 0 if full else since.number
        changed = [row for row in kind.present.values() if full or row.revision > first]
        if not full:
            gone = [item for item in kind.removed.items() if item[1].gone_by > first]
            changed += [ObjectRow(name, removal.revision, None) for name, removal in gone]
        if sum(len(row.content or b"") for row in changed) > KIND_UPDATE_LIMIT_BYTES:
            return KindUpdate(name, full, first, kind.as_of, age_s, None)
        return KindUpdate(name, full, first, kind.as_of, age_s, tuple(changed))
