"""Follows the object store through relays, and responds to the polls of peers.

Combines ``process.relays`` (which relay to poll, and when) with ``process.store_view`` (the
observed objects).  While relayed data is recent enough for every kind, an entry does not read the
object store.  Otherwise it reads the object store as in a small fleet, so nothing depends on a
relay that is dead, suspended, partitioned, slow or wrong: the age of relayed data counts from
before the poll.

Load patterns handled: a large fleet in which every entry would follow every registration by itself,
and one whose relays all die or lose the object store at once.
"""

import math
from typing import Final, TypeAlias

from filbertstream.actions import Log, SendPeer
from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.gateway_events import PublishKind
from filbertstream.log_events import LogEvent
from filbertstream.messages import KindUpdate, PeerPayload, ViewRequest, ViewResponse
from filbertstream.process.peer_work import PeerWork
from filbertstream.process.relays import POLL_INTERVAL_S, Relays
from filbertstream.process.roster import Roster
from filbertstream.process.store_recovery import StoreRecovery
from filbertstream.process.store_view import FollowedKind, KindObserved, ObjectStoreView

FOLLOWER_TTL_S: Final = 3 * POLL_INTERVAL_S
"""Changes are pushed to entries that polled within this time: three poll intervals."""

FRESH_FRACTION: Final = 0.8
"""A relay whose data is older than this fraction of ``max_age_s`` is marked suspect, before its
data is too old to use; the usual age is lower."""

START_WAIT_S: Final = 0.4
"""Time after its start for which an entry waits for relayed data before it reads the object store:
a poll, and another one to a second relay."""

UNREQUESTED: Final = 0
"""Number of a response that is pushed without a request."""

Action: TypeAlias = Log | SendPeer | PublishKind


class RelayedView:
    """This entry's view of the object store, its polls of relays, and its responses to peers."""

    def __init__(
        self,
        followed: tuple[FollowedKind, ...],
        relays: Relays,
        peers: PeerWork,
        roster: Roster,
        recovery: StoreRecovery,
    ) -> None:
        self.view = ObjectStoreView(followed)
        self._recovery = recovery
        self._relays = relays
        self._peers = peers
        self._roster = roster
        self._relayed_at_s = {item.kind: float("-inf") for item in followed}
        self._followers: dict[str, float] = {}
        self._direct_reads: set[str] = set()
        self._outdated: set[str] = set()
        self._uses_relay = False
        self._last_relay = ""
        self._newer_kinds = {item.kind for item in followed if not item.since_first_build}
        self._unbounded_kinds = {item.kind for item in followed if math.isinf(item.max_age_s)}
        self._started_at_s: float | None = None

    def reads_object_store(self, now_s: float) -> bool:
        """Whether this entry reads the object store itself now."""
        return not self._uses_relay or self._relays.serves_peers(now_s)

    def reads_kind(self, kind: str, now_s: float) -> bool:
        """Whether this entry reads one kind itself.

        It does if the kind is too large for the responses of relays, or if its relay doesn't follow
        the kind.  At its start an entry first reads only the kinds whose ``max_age_s`` is infinite,
        such as the entries' registrations, and waits for a relay to send the others: hundreds of
        entries that start together need not all list everything.
        """
        if self._awaits_relay(now_s):
            return kind in self._unbounded_kinds
        return kind in self._direct_reads or self.reads_object_store(now_s)

    def _awaits_relay(self, now_s: float) -> bool:
        """Whether this entry has just started and a relay may still send it every kind."""
        if self._started_at_s is None:
            self._started_at_s = now_s
        if now_s - self._started_at_s >= START_WAIT_S or self._uses_relay:
            return False
        if not all(self.view.listed(kind) for kind in self._unbounded_kinds):
            return True
        return not (self._relays.small_fleet or self._relays.serves_peers(now_s))

    def on_kind_observed(self, observed: KindObserved, now_s: float) -> list[Action]:
        """Handle a response of the object store; push changes that can't wait for a poll."""
        before = self.view.as_of()[observed.kind]
        logs = self.on_epoch(observed.as_of.epoch, now_s)
        delta = self.view.take(observed, now_s)
        outdated = [*logs, *self._log_outdated(observed, before)]
        if delta is None:
            return [*outdated]
        was_listed = before != NO_REVISION
        pushed = self.view.followed[observed.kind].pushed and bool(delta.rows) and was_listed
        pushes = self._push(observed.kind, before, now_s) if pushed else []
        return [*outdated, PublishKind(delta), *pushes]

    def on_epoch(self, epoch: int, now_s: float) -> list[Log]:
        """Note the epoch that a response of the object store or a peer's message names."""
        is_first = all(revision == NO_REVISION for revision in self.view.as_of().values())
        return self._recovery.on_epoch(epoch, is_first, now_s)

    def _log_outdated(self, observed: KindObserved, known: EpochNumber) -> list[Log]:
        """Log the first of several responses in a row that are older than what is known."""
        if observed.as_of >= known:
            self._outdated.discard(observed.kind)
            return []
        if observed.kind in self._outdated:
            return []
        self._outdated.add(observed.kind)
        revisions = (("as_of", str(tuple(observed.as_of))), ("known", str(tuple(known))))
        fields = (("kind", observed.kind), *revisions, ("rows", len(observed.rows)))
        return [Log(LogEvent.OBSERVATION_OUTDATED, fields)]

    def _push(self, kind: str, since: EpochNumber, now_s: float) -> list[Action]:
        kind_update = self.view.kind_update(kind, since, now_s)
        if kind_update is None:
            return []
        response = ViewResponse(UNREQUESTED, (kind_update,), epochs=self._epochs())
        return [action for name in self.followers(now_s) for action in self._send(name, response)]

    def followers(self, now_s: float) -> list[str]:
        """Return the entries that polled this one recently."""
        gone = [name for name, at_s in self._followers.items() if now_s - at_s >= FOLLOWER_TTL_S]
        for name in gone:
            del self._followers[name]
        return list(self._followers)

    def _send(self, member: str, payload: PeerPayload) -> list[Action]:
        record = self._peers.members.get(member)
        return [] if record is None else [SendPeer(record.peer_address, payload)]

    def on_view_request(self, request: ViewRequest, now_s: float) -> list[Action]:
        """Respond to a peer with what this entry has observed, and its age."""
        self._relays.note_view_request(now_s)
        self._followers[request.member] = now_s
        updates = [
            self.view.kind_update(kind, request.since(kind), now_s) for kind in request.as_of
        ]
        kinds = tuple(item for item in updates if item is not None)
        removals_held_s = max(0.0, self._roster.removals_held_until_s - now_s)
        response = ViewResponse(request.number, kinds, removals_held_s, self._epochs())
        return self._send(request.member, response)

    def _epochs(self) -> dict[str, int]:
        as_of = self.view.as_of()
        return {kind: revision.epoch for kind, revision in as_of.items() if revision.epoch}

    def on_view_response(self, response: ViewResponse, now_s: float) -> list[Action]:
        """Handle a peer's response; its age counts from before the poll was sent."""
        if response.number == UNREQUESTED:
            observed_at_s = float("-inf")
            return [
                item
                for kind_update in response.kinds
                for item in self._take(kind_update, response.epochs, observed_at_s, now_s)
            ]
        sent_at_s = self._relays.accept_response(response.number, now_s)
        if sent_at_s is None:
            return []
        if response.removals_held_s > 0:
            self._roster.hold_removals(now_s + response.removals_held_s)
        if response.kinds:
            # The relay has the other kinds, so it doesn't follow these.
            self._direct_reads |= self._newer_kinds - {item.kind for item in response.kinds}
        # An inconsistent relay may have been suspended between two steps, or its clock has stopped.
        consistent = [
            kind_update
            for kind_update in response.kinds
            if not self._contradicts(kind_update, response.epochs, sent_at_s)
        ]
        actions: list[Action] = []
        for kind_update in consistent:
            observed_at_s = sent_at_s - kind_update.age_s
            actions += self._take(kind_update, response.epochs, observed_at_s, now_s)
        if len(consistent) == len(response.kinds) and self.is_fresh(now_s, FRESH_FRACTION):
            self._relays.mark_healthy(response.number)
        else:
            self._relays.mark_suspect(response.number, now_s)
        return actions

    def _contradicts(
        self, kind_update: KindUpdate, epochs: dict[str, int], sent_at_s: float
    ) -> bool:
        """Whether an update gives an older state for a time when the view had a newer one."""
        as_of = EpochNumber(epochs.get(kind_update.kind, 0), kind_update.as_of)
        return kind_update.kind in self.view.followed and self.view.contradicts(
            kind_update.kind, as_of, sent_at_s - kind_update.age_s
        )

    def _take(
        self,
        kind_update: KindUpdate,
        epochs: dict[str, int],
        observed_at_s: float,
        now_s: float,
    ) -> list[Action]:
        if kind_update.kind not in self.view.followed:
            return []
        if kind_update.rows is None:
            self._direct_reads.add(kind_update.kind)
            return []
        epoch = epochs.get(kind_update.kind, 0)
        observed = KindObserved(
            kind_update.kind,
            kind_update.full,
            EpochNumber(epoch, kind_update.since),
            EpochNumber(epoch, kind_update.as_of),
            observed_at_s,
            kind_update.rows,
        )
        self._direct_reads.discard(kind_update.kind)
        logs = self.on_epoch(epoch, now_s)
        delta = self.view.take(observed, now_s)
        if delta is None:
            return [*logs]
        self._relayed_at_s[kind_update.kind] = max(
            self._relayed_at_s[kind_update.kind], observed_at_s
        )
        return [*logs, PublishKind(delta)]

    def is_fresh(self, now_s: float, fraction: float = 1.0) -> bool:
        """Whether relayed data of every kind is within a fraction of the kind's ``max_age_s``."""
        return all(
            now_s - self._relayed_at_s[kind] < fraction * item.max_age_s
            or kind in self._direct_reads
            for kind, item in self.view.followed.items()
        )

    def tick(self, now_s: float) -> list[Action]:
        """Return the poll that is due, and log a change of relay or between relayed and direct."""
        actions: list[Action] = []
        poll = self._relays.due(now_s)
        if poll is not None:
            as_of = {kind: revision.number for kind, revision in self.view.as_of().items()}
            request = ViewRequest(self._peers.local_name, poll.number, as_of, self._epochs())
            actions += self._send(poll.member, request)
            if poll.member != self._last_relay:
                fields = (("relay", poll.member), ("before", self._last_relay))
                actions.append(Log(LogEvent.RELAY_CHANGED, fields))
                self._last_relay = poll.member
        uses_relay = not self._relays.small_fleet and self.is_fresh(now_s)
        if uses_relay != self._uses_relay:
            self._uses_relay = uses_relay
            event_no = LogEvent.VIEW_RELAYED if uses_relay else LogEvent.VIEW_DIRECT
            actions.append(Log(event_no, (("relay", self._last_relay), *self._ages(now_s))))
        return actions

    def _ages(self, now_s: float) -> tuple[tuple[str, float], ...]:
        """Return the age of relayed data by kind, as log fields; -1 for a kind without any."""
        ages = {kind: now_s - at_s for kind, at_s in self._relayed_at_s.items()}
        return tuple(
            (f"{kind}_age_s", -1.0 if math.isinf(age_s) else round(age_s, 3))
            for kind, age_s in ages.items()
        )
