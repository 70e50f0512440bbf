"""Brings revisions into force here and everywhere, and tells operators when that is done.

Joins ``config_log`` (what is written), ``acceptance`` (when an operator hears *accepted*) and
``process.freshness`` (whether this member may take work under what it holds).  ``core`` hands it
the events; ``process.gossip`` hands it the peers' messages.
"""

from typing import Final

from filbertstream.actions import Action, ApplyEnded, ListObjects, Log, SendPeer
from filbertstream.events import ApplyRequested, PutFinished, ReadFinished
from filbertstream.log_events import LogEvent
from filbertstream.messages import Acknowledgement, Heartbeat, RevisionAsk, RevisionPush
from filbertstream.process.freshness import Freshness
from filbertstream.process.membership import Membership
from filbertstream.units import FRESH_S
from filbertstream.version.acceptance import Acceptance
from filbertstream.version.config_log import ConfigLog, ConfigStep

POLL_S: Final = 1.0
OWN_READ_AFTER_S: Final = FRESH_S - 2 * POLL_S
"""A member reads the platform itself once its confirmation through peers is older than this."""


class Governance:
    """The configuration in force, and who else has it."""

    def __init__(self, config: ConfigLog, membership: Membership) -> None:
        self.config = config
        self.freshness = Freshness()
        self.ready = False
        self._acceptance = Acceptance()
        self._membership = membership
        self._asked_s = 0.0
        self._next_poll_s = 0.0

    def is_fresh(self, now_s: float) -> bool:
        """Whether the configuration is confirmed recently enough to take new work."""
        return self.freshness.is_fresh(now_s, self._membership.others())

    def on_apply(self, event: ApplyRequested, now_s: float) -> list[Action]:
        """Take an operator's change."""
        return self._after(self.config.submit(event), now_s)

    def on_put(self, event: PutFinished, now_s: float) -> list[Action] | None:
        """Take in a write's result; None if it wasn't asked for here."""
        if not self.config.log.owns(event.op_id):
            return None
        return self._after(self.config.on_put(event), now_s)

    def on_read(self, event: ReadFinished, now_s: float) -> list[Action] | None:
        """Take in a listing's result; None if it wasn't asked for here."""
        if not self.config.log.owns(event.op_id):
            return None
        asked_s = self._asked_s
        step = self.config.on_read(event)
        if event.ok:
            # A read counts from when it was asked: the answer may have waited.
            self.freshness.confirm(asked_s)
            self._become_ready(asked_s)
        return self._after(step, now_s)

    def _become_ready(self, read_asked_s: float) -> None:
        """Take work once a read of the configuration began after the own registration stood."""
        registered_s = self._membership.registered_at_s
        if registered_s is not None and read_asked_s >= registered_s:
            self.ready = True

    def _after(self, step: ConfigStep, now_s: float) -> list[Action]:
        actions = list(step.actions)
        refusals = [action for action in actions if isinstance(action, ApplyEnded)]
        actions += [Log(LogEvent.CHANGE_REFUSED, (("state", item.state),)) for item in refusals]
        if any(isinstance(action, ListObjects) for action in actions):
            self._asked_s = now_s
        for request_id in step.written:
            self._acceptance.begin(request_id, self.config.revision, now_s)
            self._membership.list_now()
        if step.applied:
            actions += self._spread(step.applied, None, now_s)
        return [*actions, *self.settle(now_s)]

    def _spread(self, applied: tuple[int, ...], until: str | None, now_s: float) -> list[Action]:
        """Pass on revisions that are newly in force here, to the members up to ``until``."""
        own = self._membership.own
        self._acceptance.acknowledge(own.name, self.config.revision)
        first, records = self.config.records_after(applied[0] - 1)
        fields = (("revision", self.config.revision),)
        actions: list[Action] = [Log(LogEvent.REVISION_IN_FORCE, fields)]
        for branch in self._membership.branches(until, now_s):
            push = RevisionPush(own.name, first, records, own.address, branch.until)
            actions.append(SendPeer(branch.address, push))
        return actions

    def settle(self, now_s: float) -> list[Action]:
        """Return the answers to operators that are due."""
        registered = self._membership.registered()
        live = self._membership.live(now_s)
        listed_at_s = self._membership.listed_at_s
        actions: list[Action] = []
        for ended in self._acceptance.settle(now_s, live, registered, listed_at_s):
            accepted = ended.state == "accepted"
            event = LogEvent.CHANGE_ACCEPTED if accepted else LogEvent.CHANGE_STAGED
            actions += [ended, Log(event, (("revision", ended.revision),))]
        return actions

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> list[Action]:
        """Take in a peer's revision and what its echo proves; ask for what is missing here."""
        self.freshness.on_heartbeat(heartbeat, self.config.revision)
        self._acceptance.acknowledge(heartbeat.member, heartbeat.revision)
        actions = self.settle(now_s)
        if heartbeat.revision > self.config.revision:
            actions.append(self._ask(heartbeat.address))
        return actions

    def on_push(self, push: RevisionPush, now_s: float) -> list[Action]:
        """Bring pushed revisions into force, acknowledge them and pass them on."""
        applied = self.config.learn_encoded(push.first, push.records)
        name = self._membership.own.name
        acknowledgement = Acknowledgement(name, self.config.revision)
        actions: list[Action] = [SendPeer(push.acknowledge_to, acknowledgement)]
        if push.first > self.config.revision + 1:
            actions.append(self._ask(push.acknowledge_to))
        return [*actions, *self._spread(applied, push.until, now_s)] if applied else actions

    def _ask(self, address: str) -> SendPeer:
        own = self._membership.own
        return SendPeer(address, RevisionAsk(own.name, own.address, self.config.revision))

    def on_ask(self, ask: RevisionAsk) -> list[Action]:
        """Send a peer the revisions that it lacks, as far as they are kept here."""
        first, records = self.config.records_after(ask.after)
        own = self._membership.own
        if not records:
            return []
        push = RevisionPush(own.name, first, records, own.address, ask.member)
        return [SendPeer(ask.address, push)]

    def on_acknowledgement(self, message: Acknowledgement, now_s: float) -> list[Action]:
        """Note that a member has a revision in force."""
        self._acceptance.acknowledge(message.member, message.revision)
        return self.settle(now_s)

    def tick(self, now_s: float) -> list[Action]:
        """Read the platform's log where this member has to do so itself."""
        if now_s < self._next_poll_s:
            return []
        self._next_poll_s = now_s + POLL_S
        age_s = self.freshness.confirmed_age_s(now_s)
        relies_on_peers = self.ready and not self._membership.is_watcher(now_s)
        if relies_on_peers and 0 <= age_s <= OWN_READ_AFTER_S:
            return []
        asks = list(self.config.poll())
        if asks:
            self._asked_s = now_s
        return asks
