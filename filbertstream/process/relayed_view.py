"""Asks another entry what is new in the platform's store, and tells others.

Joins ``process.relays`` (whom to ask, and when) with ``process.store_view`` (what is known).  While
another entry's word is recent enough for every kind, an entry makes no call to the store to follow
it.  Otherwise it reads the store as in a small fleet, so nothing depends on a relay that is dead,
suspended, cut off, slow or wrong: the age of what it tells counts from before the question.

Load patterns answered: a large fleet that would follow every registration by itself, and one whose
relays all die or lose the store at once.
"""

import math
from typing import Final, TypeAlias

from filbertstream.actions import Log, SendPeer
from filbertstream.gateway_events import PublishKind
from filbertstream.log_events import LogEvent
from filbertstream.messages import KindUpdate, PeerPayload, ViewRequest, ViewResponse
from filbertstream.process.peer_work import PeerWork
from filbertstream.process.relays import POLL_INTERVAL_S, Relays
from filbertstream.process.roster import Roster
from filbertstream.process.store_view import FollowedKind, KindObserved, StoreView

PUSHED_TO_S: Final = 3 * POLL_INTERVAL_S
"""Changes are passed on to entries that asked within this time: three questions' time."""

FRESH_FRACTION: Final = 0.8
"""A relay whose word is older than this share of what is relied on is passed over before it counts
for nothing; its usual age is less."""

START_WAIT_S: Final = 0.4
"""An entry that has started waits this long to be told: a question and another one elsewhere."""

UNASKED: Final = 0
"""Number of a message that answers no question."""

Action: TypeAlias = Log | SendPeer | PublishKind


class RelayedView:
    """This entry's view of the store, its questions to others, and its answers."""

    def __init__(
        self,
        followed: tuple[FollowedKind, ...],
        relays: Relays,
        peers: PeerWork,
        roster: Roster,
    ) -> None:
        self.view = StoreView(followed)
        self._relays = relays
        self._peers = peers
        self._roster = roster
        self._told_at_s = {item.kind: float("-inf") for item in followed}
        self._followers: dict[str, float] = {}
        self._own_reads: set[str] = set()
        self._relied = False
        self._asked = ""
        self._hints = {item.kind for item in followed if math.isinf(item.max_age_s)}
        self._began_s: float | None = None

    def reads_object_store(self, now_s: float) -> bool:
        """Whether this entry follows the store itself now."""
        return not self._relied or self._relays.serves_peers(now_s)

    def reads_kind(self, kind: str, now_s: float) -> bool:
        """Whether it follows one kind itself.

        It does where others have too much to tell of it.  At its start it first looks who is there:
        hundreds of entries that start together need not all list everything.
        """
        if self._may_be_told(now_s):
            return kind in self._hints
        return kind in self._own_reads or self.reads_object_store(now_s)

    def _may_be_told(self, now_s: float) -> bool:
        """Whether this entry has just started and others may tell it all."""
        if self._began_s is None:
            self._began_s = now_s
        if now_s - self._began_s >= START_WAIT_S or self._relied:
            return False
        if not all(self.view.listed(kind) for kind in self._hints):
            return True
        return not (self._relays.small_fleet or self._relays.serves_peers(now_s))

    def on_kind_observed(self, shown: KindObserved, now_s: float) -> list[Action]:
        """Take in an answer of the store, and pass on what can't wait for a question."""
        before = self.view.as_of()[shown.kind]
        taken = self.view.take(shown, now_s)
        if taken is None:
            return []
        pushed = self.view.followed[shown.kind].pushed and bool(taken.rows) and before > 0
        return [PublishKind(taken), *(self._push(shown.kind, before, now_s) if pushed else [])]

    def _push(self, kind: str, since: int, now_s: float) -> list[Action]:
        kind_update = self.view.kind_update(kind, since, now_s)
        if kind_update is None:
            return []
        told = ViewResponse(UNASKED, (kind_update,))
        return [action for name in self.followers(now_s) for action in self._send(name, told)]

    def followers(self, now_s: float) -> list[str]:
        """Return the entries that asked this one lately."""
        gone = [name for name, at_s in self._followers.items() if now_s - at_s >= PUSHED_TO_S]
        for name in gone:
            del self._followers[name]
        return list(self._followers)

    def _send(self, member: str, payload: PeerPayload) -> list[Action]:
        record = self._peers.members.get(member)
        return [] if record is None else [SendPeer(record.peer_address, payload)]

    def on_view_request(self, asked: ViewRequest, now_s: float) -> list[Action]:
        """Answer another entry by what is known here, with its age."""
        self._relays.note_view_request(now_s)
        self._followers[asked.member] = now_s
        kind_update = [
            self.view.kind_update(kind, since, now_s) for kind, since in asked.as_of.items()
        ]
        kinds = tuple(item for item in kind_update if item is not None)
        removals_held_s = max(0.0, self._roster.removals_held_until_s - now_s)
        return self._send(asked.member, ViewResponse(asked.number, kinds, removals_held_s))

    def on_view_response(self, told: ViewResponse, now_s: float) -> list[Action]:
        """Take in what another entry knows, as of before the question was sent."""
        if told.number == UNASKED:
            observed_at_s = float("-inf")
            return [
                item
                for kind_update in told.kinds
                for item in self._take(kind_update, observed_at_s, now_s)
            ]
        sent_at_s = self._relays.accept_response(told.number, now_s)
        if sent_at_s is None:
            return []
        if told.removals_held_s > 0:
            self._roster.hold_removals(now_s + told.removals_held_s)
        # A relay that contradicts itself may be suspended between two steps, or its clock stands.
        believed = [
            kind_update
            for kind_update in told.kinds
            if not self._contradicted(kind_update, sent_at_s)
        ]
        actions: list[Action] = []
        for kind_update in believed:
            actions += self._take(kind_update, sent_at_s - kind_update.age_s, now_s)
        if len(believed) == len(told.kinds) and self.is_current(now_s, FRESH_FRACTION):
            self._relays.mark_healthy(told.number)
        else:
            self._relays.doubt(told.number, now_s)
        return actions

    def _contradicted(self, kind_update: KindUpdate, sent_at_s: float) -> bool:
        """Whether it tells an older state for a moment at which a newer one was known here."""
        return kind_update.kind in self.view.followed and self.view.contradicted(
            kind_update.kind, kind_update.as_of, sent_at_s - kind_update.age_s
        )

    def _take(self, kind_update: KindUpdate, observed_at_s: float, now_s: float) -> list[Action]:
        if kind_update.kind not in self.view.followed:
            return []
        if kind_update.rows is None:
            self._own_reads.add(kind_update.kind)
            return []
        shown = KindObserved(
            kind_update.kind,
            kind_update.full,
            kind_update.since,
            kind_update.as_of,
            observed_at_s,
            kind_update.rows,
        )
        self._own_reads.discard(kind_update.kind)
        taken = self.view.take(shown, now_s)
        if taken is None:
            return []
        self._told_at_s[kind_update.kind] = max(self._told_at_s[kind_update.kind], observed_at_s)
        return [PublishKind(taken)]

    def is_current(self, now_s: float, share: float = 1.0) -> bool:
        """Whether others' word is recent enough for every kind, or within a share of that."""
        return all(
            now_s - self._told_at_s[kind] < share * item.max_age_s or kind in self._own_reads
            for kind, item in self.view.followed.items()
        )

    def tick(self, now_s: float) -> list[Action]:
        """Return the question that is due, and log lines where what is relied on has changed."""
        actions: list[Action] = []
        question = self._relays.due(now_s)
        if question is not None:
            asked = ViewRequest(self._peers.own, question.number, self.view.as_of())
            actions += self._send(question.member, asked)
            if question.member != self._asked:
                fields = (("relay", question.member), ("before", self._asked))
                actions.append(Log(LogEvent.RELAY_CHANGED, fields))
                self._asked = question.member
        relies = not self._relays.small_fleet and self.is_current(now_s)
        if relies != self._relied:
            self._relied = relies
            event_no = LogEvent.VIEW_RELAYED if relies else LogEvent.VIEW_DIRECT
            actions.append(Log(event_no, (("relay", self._asked), *self._ages(now_s))))
        return actions

    def _ages(self, now_s: float) -> tuple[tuple[str, float], ...]:
        """Return how old others' word for each kind is, as a log tells it; -1 for none."""
        ages = {kind: now_s - at_s for kind, at_s in self._told_at_s.items()}
        return tuple(
            (f"{kind}_age_s", -1.0 if math.isinf(age_s) else round(age_s, 3))
            for kind, age_s in ages.items()
        )
