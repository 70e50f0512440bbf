"""Messages to and from the other entries: heartbeats, what they carry, and the catalogue's.

Each kind of message is handed to the machine that it concerns; this module only knows who gets
which.  ``connection.peer_link`` carries the messages.
"""

from typing import NamedTuple

from filbertstream.actions import Action, Log, SendPeer
from filbertstream.events import PeerMessage
from filbertstream.log_events import LogEvent
from filbertstream.messages import (
    Acknowledgement,
    CatalogueAnswer,
    CatalogueAsk,
    CatalogueDrop,
    CatalogueNote,
    Heartbeat,
    RevisionAsk,
    RevisionPush,
    WorkShare,
)
from filbertstream.process.directory import Directory
from filbertstream.process.duties import Duties
from filbertstream.process.membership import Membership
from filbertstream.process.polling import Polling
from filbertstream.process.sharing import Sharing
from filbertstream.request.serving import Serving
from filbertstream.version.catalogue import Catalogue
from filbertstream.version.governance import Governance


class GossipParts(NamedTuple):
    """The machines that messages concern."""

    membership: Membership
    governance: Governance
    directory: Directory
    polling: Polling
    duties: Duties
    catalogue: Catalogue
    sharing: Sharing
    serving: Serving


class Gossip:
    """What this entry tells its peers and hears from them."""

    def __init__(self, parts: GossipParts) -> None:
        self._parts = parts
        self.draining = False

    def on_message(self, event: PeerMessage, now_s: float) -> list[Action]:
        """Hand a message to the machine that it concerns."""
        parts = self._parts
        message = event.message
        match message:
            case Heartbeat():
                return self._on_heartbeat(message, now_s)
            case RevisionPush():
                return parts.governance.on_push(message, now_s)
            case RevisionAsk():
                return parts.governance.on_ask(message)
            case Acknowledgement():
                return parts.governance.on_acknowledgement(message, now_s)
            case WorkShare():
                self._on_work(message, now_s)
            case CatalogueNote():
                parts.catalogue.note(message.holder, message.names)
            case CatalogueDrop():
                parts.catalogue.forget(message.holder, message.names)
            case CatalogueAsk():
                return [SendPeer(message.address, self._find(message))]
            case CatalogueAnswer():
                return parts.serving.on_holdings(message, now_s)
        return []

    def _find(self, ask: CatalogueAsk) -> CatalogueAnswer:
        return CatalogueAnswer(ask.request_id, self._parts.catalogue.find(ask.names))

    def _on_work(self, share: WorkShare, now_s: float) -> None:
        for row in share.rows:
            target = self._parts.directory.targets.get(row.target)
            if target is not None:
                target.sent_by_peer(now_s, row.units)

    def _on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> list[Action]:
        parts = self._parts
        actions: list[Action] = []
        member = (("member", heartbeat.member),)
        known = parts.membership.peers.get(heartbeat.member)
        newcomer = parts.membership.on_heartbeat(heartbeat, now_s)
        if newcomer:
            actions.append(Log(LogEvent.MEMBER_JOINED, member))
        elif heartbeat.state == "left" and known is not None and known.state != "left":
            actions.append(Log(LogEvent.MEMBER_LEFT, member))
        if newcomer or parts.membership.owes_reply(heartbeat, now_s):
            reply = self._heartbeat(heartbeat.member, now_s, True)
            actions.append(SendPeer(heartbeat.address, reply))
        for load in heartbeat.loads:
            actions += parts.polling.take_load(load, now_s)
        for name in heartbeat.leaving:
            if parts.directory.mark_leaving(name, now_s):
                actions.append(Log(LogEvent.TARGET_LEAVING, (("target", name),)))
        parts.duties.on_peer_swaps(heartbeat.member, heartbeat.swapping, now_s)
        return [*actions, *parts.governance.on_heartbeat(heartbeat, now_s)]

    def _heartbeat(self, to: str, now_s: float, reply: bool) -> Heartbeat:
        parts = self._parts
        own = parts.membership.own
        peer = parts.membership.peers.get(to)
        state = parts.membership.state
        return Heartbeat(
            own.name,
            own.incarnation,
            own.data_center,
            own.address,
            "draining" if self.draining and state == "live" else state,
            now_s,
            0.0 if peer is None else peer.stamp_s,
            parts.governance.config.revision,
            parts.governance.freshness.confirmed_age_s(now_s),
            () if reply else parts.polling.loads(now_s),
            parts.directory.leaving(),
            parts.duties.rollout.swapping(),
            reply,
        )

    def share_work(self, now_s: float) -> list[Action]:
        """Tell the other entries what this one has sent, when that is due."""
        membership = self._parts.membership
        share = self._parts.sharing.due(now_s, len(membership.live(now_s)))
        return [] if share is None else list(membership.tell_all(share, now_s))

    def tick(self, now_s: float) -> list[Action]:
        """Send the heartbeats that are due."""
        actions = self.share_work(now_s)
        if not self._parts.membership.beat_due(now_s):
            return actions
        for address in self._parts.membership.seed_addresses():
            actions.append(SendPeer(address, self._heartbeat("", now_s, False)))
        return [*actions, *self.beat(now_s)]

    def beat(self, now_s: float) -> list[Action]:
        """Send a heartbeat to each peer that gets them."""
        return [
            SendPeer(
                peer.registration.address,
                self._heartbeat(peer.registration.name, now_s, False),
            )
            for peer in self._parts.membership.fan_out(now_s)
        ]
