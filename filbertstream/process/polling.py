"""Which targets this member asks for their reports, and what it makes of the answers.

Each runner is asked by one member, which tells the others by heartbeat (``process.gossip``); stores
are listed by all, each of which keeps the rows of the chains that it is a keeper of.
"""

from typing import Final

from filbertstream.actions import Action, Log, PollTarget, SendPeer
from filbertstream.events import LoadReported, StoreListed, TargetSilent, TargetsListed
from filbertstream.log_events import LogEvent
from filbertstream.messages import CatalogueDrop, TargetLoad
from filbertstream.process.directory import Directory
from filbertstream.process.membership import Membership
from filbertstream.version.catalogue import Catalogue

POLL_S: Final = 1.0
POLL_STORE_S: Final = 5.0
LOADS_PER_HEARTBEAT: Final = 8


class Polling:
    """Reports and listings of targets."""

    def __init__(self, directory: Directory, membership: Membership, catalogue: Catalogue) -> None:
        self._directory = directory
        self._membership = membership
        self._catalogue = catalogue
        self._next_poll_s = 0.0
        self._next_store_s = 0.0

    def on_targets(self, event: TargetsListed, now_s: float) -> list[Action]:
        """Take in the platform's list of VMs."""
        changed = self._directory.on_list(event.targets, now_s)
        return [Log(LogEvent.TARGET_LEAVING, (("target", name),)) for name in changed]

    def on_load(self, event: LoadReported, now_s: float) -> list[Action]:
        """Take in a report that this member asked for."""
        load = TargetLoad(
            event.target,
            event.running,
            event.queued,
            event.queued_tokens,
            event.weight_version,
            event.age_s,
        )
        return [*self._drop_evicted(event, now_s), *self.take_load(load, now_s)]

    def _drop_evicted(self, event: LoadReported, now_s: float) -> list[Action]:
        """Tell the keepers of their chains which pieces a runner has evicted."""
        by_keeper: dict[str, list[str]] = {}
        for piece in event.evicted:
            for keeper in self._membership.owners(piece.root, now_s):
                by_keeper.setdefault(keeper, []).append(piece.name)
        actions: list[Action] = []
        for keeper, names in by_keeper.items():
            address = self._membership.address_of(keeper)
            if address is None:
                self._catalogue.forget(event.target, names)
            else:
                actions.append(SendPeer(address, CatalogueDrop(event.target, tuple(names))))
        return actions

    def take_load(self, load: TargetLoad, now_s: float) -> list[Action]:
        """Take in a report, asked for here or told by a peer."""
        before = self._directory.on_load(load, now_s)
        if before is None:
            return []
        fields = (("target", load.target), ("weight_version", load.weight_version))
        actions: list[Action] = [Log(LogEvent.TARGET_VERSION, fields)]
        if before:
            # Names contain the version, so the rows of the old one would never be asked for.
            self._catalogue.forget_holder(load.target)
            actions.append(Log(LogEvent.PIECES_LOST, (("holder", load.target),)))
        return actions

    def on_silent(self, event: TargetSilent, now_s: float) -> list[Action]:
        """Count a target as failing that did not answer."""
        known = len(self._directory.targets)
        if not self._directory.outliers.failed(event.target, known, now_s):
            return []
        return [Log(LogEvent.TARGET_EJECTED, (("target", event.target),))]

    def on_store(self, event: StoreListed, now_s: float) -> list[Action]:
        """Keep the rows of a store's listing that belong here."""
        store = self._directory.targets.get(event.store)
        if store is not None:
            store.full = event.full
        for piece in event.pieces:
            if self._membership.own.name in self._membership.owners(piece.root, now_s):
                self._catalogue.note(event.store, (piece.name,))
        return []

    def loads(self, now_s: float) -> tuple[TargetLoad, ...]:
        """Return the latest reports of the targets that this member asks."""
        loads = []
        for name in self._polled(now_s)[:LOADS_PER_HEARTBEAT]:
            target = self._directory.targets[name]
            if target.reported_at_s is None:
                continue
            age_s = now_s - target.reported_at_s
            tokens = target.queued_tokens
            version = target.weight_version
            loads.append(TargetLoad(name, target.running, 0, tokens, version, age_s))
        return tuple(loads)

    def _polled(self, now_s: float) -> list[str]:
        """Return the runners whose reports this member fetches for all."""
        own = self._membership.own.name
        return [
            name
            for name, target in self._directory.targets.items()
            if target.listed.kind == "runner" and self._membership.owner(name, now_s) == own
        ]

    def tick(self, now_s: float) -> list[Action]:
        """Return the polls that are due."""
        if now_s < self._next_poll_s:
            return []
        self._next_poll_s = now_s + POLL_S
        names = self._polled(now_s)
        if now_s >= self._next_store_s:
            self._next_store_s = now_s + POLL_STORE_S
            names += self._directory.stores()
        listed = [self._directory.targets[name].listed for name in names]
        return [PollTarget(row.name, row.address, row.kind) for row in listed]
