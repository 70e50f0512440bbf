"""The store's side of the virtual-time driver: watches, and the writes that cores ask for.

What a watch tells a core is worked out by the product's own ``connection.kind_watcher``.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok

from filbertstream.connection.document_store import DocumentWatch
from filbertstream.connection.idempotency_key_store import read_reply, write_reply
from filbertstream.connection.watched_kinds import (
    ROLLOUT_LEASE_NAME,
    WatchedKind,
    emit_lease_record,
    kind_observed,
    product_kinds,
    publish_kind,
)
from filbertstream.gateway import Gateway
from filbertstream.gateway_events import (
    LeaseWritten,
    ObjectStoreResult,
    PublishKind,
    RemoveEntry,
    WriteEntry,
)
from filbertstream.platform.documents import ENTRIES_KIND, KEYS_KIND, LEASES_KIND, MS
from filbertstream.platform.objects import ObjectStoreFailure
from filbertstream.process.rollout_lease import WriteLease
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.request.key_writes import KeyAction, KeyCall, KeyReply
from filbertstream.version.routes import CallerLimits

if TYPE_CHECKING:
    from bench.world import World

LATENCY_S: Final = 0.003
WATCH_S: Final = 0.25
"""A change is seen by a watch that long after it was written, at most."""

GATE_S: Final = 0.1
"""How soon an entry begins to read what others don't tell it any more."""

UNANSWERED_S: Final = 1.5
"""How long a call without an answer is waited for."""


def registration(entry: TargetRegistration) -> dict[str, Any]:
    """Return a target's registration as the store holds it."""
    return {
        "service": entry.service,
        "address": str(entry.address),
        "zone": entry.data_center,
        "slots": entry.slots,
        "state": "draining" if entry.draining else "ready",
        "cold_left_ms": entry.warmup_left_s * MS,
        "models": [{"name": name, "version": at} for name, at in entry.weights.items()],
        "born": entry.started_ms,
    }


class PlatformSide:
    """Carries out what cores ask of the platform's store."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self.latency_s = LATENCY_S
        self._watched: dict[str, dict[str, WatchedKind]] = {}
        kinds = product_kinds(world.bounds, DocumentWatch(CallerLimits()))
        self.followed = tuple(item.followed for item in kinds)

    def follow(self, core: Gateway) -> None:
        """Begin all watches of an entry."""
        documents = DocumentWatch(CallerLimits())
        kinds = product_kinds(self._world.bounds, documents)
        self._watched[core.cfg.name] = {watched.kind: watched for watched in kinds}
        for item in self.followed:
            self._ask(core, item.kind, None)

    def show(self, core: Gateway, action: PublishKind) -> None:
        """Decode what is new of a kind and tell it."""
        watched = self._watched[core.cfg.name][action.taken.kind]
        publish_kind(watched, action.taken, lambda event: self._world.give(core.cfg.name, event))

    def _ask(self, core: Gateway, kind: str, since: int | None) -> None:
        """Make one call of a watch, and the next once it has ended."""
        world = self._world
        if world.cores.get(core.cfg.name) is not core:
            return
        if core.cfg.name in world.paused:
            world.after(WATCH_S, lambda: self._ask(core, kind, since))
            return
        if not core.relayed_view.reads_kind(kind, world.now_s):
            # Others tell it; what the watch has missed is listed when it is needed again.
            world.after(GATE_S, lambda: self._ask(core, kind, None))
            return
        sent_at_s = world.now_s
        wait_s = WATCH_S if since is not None else 0.0

        def carry_out() -> None:
            result: Any = Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
            if core.cfg.name not in world.store_cut:
                objects = world.objects
                result = (
                    objects.list(kind, sent_at_s)
                    if since is None
                    else objects.watch(kind, since, sent_at_s)
                )
            self._tell(core, kind, since, result)

        world.after(wait_s + self.latency_s, carry_out)

    def _tell(self, core: Gateway, kind: str, since: int | None, result: Any) -> None:
        world = self._world
        match result:
            case Err(fault):
                events: list[Any] = [ObjectStoreResult(kind, False, fault.value)]
            case Ok(found):
                events = [ObjectStoreResult(kind, True, ""), kind_observed(kind, since, found)]
                since = found.as_of
        for event in events:
            world.later(core, self.latency_s, event)
        again_s = WATCH_S if isinstance(result, Err) else 0.0
        world.after(self.latency_s + again_s, lambda: self._ask(core, kind, since))

    def _call(self, core: Gateway, make: Callable[[], Any], then: Callable[[Any], object]) -> None:
        """Make a call of an entry; ``then`` gets its result when the entry does."""
        world = self._world

        def carry_out() -> None:
            cut = core.cfg.name in world.store_cut
            result = Err(ObjectStoreFailure.OUTCOME_UNKNOWN) if cut else make()
            unanswered = (
                isinstance(result, Err) and result.err_value is ObjectStoreFailure.OUTCOME_UNKNOWN
            )
            delay_s = UNANSWERED_S if unanswered else self.latency_s
            world.after(delay_s, lambda: then(result))

        world.after(self.latency_s, carry_out)

    def write_duty(self, core: Gateway, write: WriteLease) -> None:
        """Write the duty's record and tell how that went."""
        objects = self._world.objects

        def make() -> Any:
            if write.revision == 0:
                return objects.create(LEASES_KIND, ROLLOUT_LEASE_NAME, write.record)
            return objects.replace(LEASES_KIND, ROLLOUT_LEASE_NAME, write.record, write.revision)

        def then(result: Any) -> None:
            match result:
                case Ok(written):
                    if not written.done:
                        self._world.later(core, 0.0, LeaseWritten(True))
                    if written.present is not None:
                        emit_lease_record(
                            written.present, lambda event: self._world.later(core, 0.0, event)
                        )
                case Err(fault):
                    event = LeaseWritten(fault is ObjectStoreFailure.REFUSED)
                    self._world.later(core, 0.0, event)

        self._call(core, make, then)

    def write_entry(self, core: Gateway, write: WriteEntry) -> None:
        """Register an entry."""
        objects = self._world.objects

        def make() -> Any:
            if write.revision == 0:
                return objects.create(ENTRIES_KIND, write.name, write.record)
            return objects.replace(ENTRIES_KIND, write.name, write.record, write.revision)

        self._call(core, make, lambda result: None)

    def remove_entry(self, core: Gateway, remove: RemoveEntry) -> None:
        """Remove an entry's registration."""
        objects = self._world.objects
        self._call(core, lambda: objects.remove(ENTRIES_KIND, remove.name), lambda result: None)

    def key_call(self, core: Gateway, call: KeyCall, then: Callable[[KeyReply], None]) -> None:
        """Make one call about an idempotency key; a paused entry goes on when it is resumed."""
        objects = self._world.objects

        def make() -> Any:
            if call.action is KeyAction.READ:
                return objects.read(KEYS_KIND, call.name)
            if call.action is KeyAction.CREATE:
                return objects.create(KEYS_KIND, call.name, call.record)
            return objects.replace(KEYS_KIND, call.name, call.record, call.revision)

        def reply(result: Any) -> None:
            name = core.cfg.name
            if self._world.cores.get(name) is not core:
                return
            if name in self._world.paused:
                self._world.after(WATCH_S, lambda: reply(result))
                return
            shown = read_reply if call.action is KeyAction.READ else write_reply
            then(shown(result))

        self._call(core, make, reply)
