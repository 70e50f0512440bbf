"""The object store's side of the virtual-time driver: watches, and the writes of the cores.

The results of watches are decoded by the product's own ``connection.watched_kinds``.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok

from filbertstream.connection.document_store import DocumentStore, DocumentWatch, KnownDocuments
from filbertstream.connection.idempotency_key_store import read_response, write_response
from filbertstream.connection.kind_rows import kind_observed, publish_kind
from filbertstream.connection.watched_kinds import (
    ROLLOUT_LEASE_NAME,
    WatchedKind,
    emit_lease_record,
    product_kinds,
)
from filbertstream.epoch_number import EpochNumber
from filbertstream.fleet.quarantine import RemoveQuarantine, WriteQuarantine
from filbertstream.gateway import Gateway
from filbertstream.gateway_events import (
    LeaseWritten,
    ObjectStoreResult,
    PublishKind,
    RemoveEntry,
    StoreEpochObserved,
    WriteEntry,
)
from filbertstream.platform.documents import (
    ENTRIES_KIND,
    KEYS_KIND,
    LEASES_KIND,
    MS,
    QUARANTINE_KIND,
)
from filbertstream.platform.objects import ObjectStoreFailure
from filbertstream.process.document_recovery import DocumentsRewritten, RewriteDocuments
from filbertstream.process.rollout_lease import WriteLease
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.request.key_writes import KeyAction, KeyCall, KeyResponse
from filbertstream.version.routes import CallerLimits

if TYPE_CHECKING:
    from bench.world import World

LATENCY_S: Final = 0.003
WATCH_DELAY_S: Final = 0.25
"""A watch reports a change at most this long after it was written."""

RELAYED_RECHECK_S: Final = 0.1
"""Interval at which an entry with a relayed view checks whether it must read a kind itself."""

LOST_CALL_TIMEOUT_S: Final = 1.5
"""Time after which a call without a response fails."""


def registration(entry: TargetRegistration) -> dict[str, Any]:
    """Return a target's registration as stored in the object store."""
    return {
        "service": entry.service,
        "address": str(entry.address),
        "zone": entry.data_center,
        "version": "v1",
        "slots": entry.slots,
        "state": "draining" if entry.draining else "ready",
        "cold_left_ms": entry.warmup_left_s * MS,
        "seq": 1,
        "models": [{"name": name, "version": at} for name, at in entry.weights.items()],
        "born": entry.started_ms,
    }


class PlatformSide:
    """Carries out the object store calls of the cores."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self.latency_s = LATENCY_S
        self._watched: dict[str, dict[str, WatchedKind]] = {}
        self._known: dict[str, KnownDocuments] = {}
        kinds = product_kinds(world.bounds, DocumentWatch(CallerLimits()))
        self.followed = tuple(item.followed for item in kinds)

    def follow(self, core: Gateway) -> None:
        """Start all watches of an entry."""
        known = self._known[core.cfg.name] = KnownDocuments()
        documents = DocumentWatch(CallerLimits(), known)
        kinds = product_kinds(self._world.bounds, documents)
        self._watched[core.cfg.name] = {watched.kind: watched for watched in kinds}
        for item in self.followed:
            self._poll_kind(core, item.kind, None)

    def publish(self, core: Gateway, action: PublishKind) -> None:
        """Decode the changes of a kind and deliver the events to the entry."""
        watched = self._watched[core.cfg.name][action.taken.kind]
        publish_kind(watched, action.taken, lambda event: self._world.deliver(core.cfg.name, event))

    def _poll_kind(self, core: Gateway, kind: str, since: EpochNumber | None) -> None:
        """Make one call of a watch, and the next after it has ended."""
        world = self._world
        if world.cores.get(core.cfg.name) is not core:
            return
        if core.cfg.name in world.paused:
            world.after(WATCH_DELAY_S, lambda: self._poll_kind(core, kind, since))
            return
        if not core.relayed_view.reads_kind(kind, world.now_s):
            # A relay sends the updates; a later direct read begins with a listing.
            world.after(RELAYED_RECHECK_S, lambda: self._poll_kind(core, kind, None))
            return
        sent_at_s = world.now_s
        wait_s = WATCH_DELAY_S if since is not None else 0.0

        def carry_out() -> None:
            result: Any = Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
            if core.cfg.name not in world.store_cut:
                objects = world.objects
                result = (
                    objects.list(kind, sent_at_s)
                    if since is None
                    else objects.watch(kind, since, sent_at_s)
                )
            self._deliver_result(core, kind, since, result)

        world.after(wait_s + self.latency_s, carry_out)

    def _deliver_result(
        self, core: Gateway, kind: str, since: EpochNumber | None, result: Any
    ) -> None:
        world = self._world
        match result:
            case Err(ObjectStoreFailure.EXPIRED):
                events: list[Any] = []
                since = None
            case Err(fault):
                events = [ObjectStoreResult(kind, False, fault.value)]
            case Ok(found):
                epoch = StoreEpochObserved(found.as_of.epoch)
                observed = kind_observed(kind, since, found)
                events = [epoch, ObjectStoreResult(kind, True, ""), observed]
                since = found.as_of
        for event in events:
            world.deliver_later(core, self.latency_s, event)
        pause_s = WATCH_DELAY_S if isinstance(result, Err) else 0.0
        world.after(self.latency_s + pause_s, lambda: self._poll_kind(core, kind, since))

    def _call(
        self, core: Gateway, make: Callable[[], Any], on_result: Callable[[Any], object]
    ) -> None:
        """Make a call for an entry; ``on_result`` gets the result after the latency."""
        world = self._world

        def carry_out() -> None:
            cut_off = core.cfg.name in world.store_cut
            result = Err(ObjectStoreFailure.OUTCOME_UNKNOWN) if cut_off else make()
            lost = (
                isinstance(result, Err) and result.err_value is ObjectStoreFailure.OUTCOME_UNKNOWN
            )
            delay_s = LOST_CALL_TIMEOUT_S if lost else self.latency_s
            if isinstance(result, Ok):
                event = StoreEpochObserved(world.objects.epoch)
                world.deliver_later(core, delay_s, event)
            world.after(delay_s, lambda: on_result(result))

        world.after(self.latency_s, carry_out)

    def write_lease(self, core: Gateway, write: WriteLease) -> None:
        """Write the roll-out lease's record and deliver the outcome."""
        objects = self._world.objects

        def make() -> Any:
            return objects.put(LEASES_KIND, ROLLOUT_LEASE_NAME, write.record, write.revision)

        def on_result(result: Any) -> None:
            match result:
                case Ok(written):
                    if not written.done:
                        self._world.deliver_later(core, 0.0, LeaseWritten(True))
                    if written.present is not None:
                        emit_lease_record(
                            written.present,
                            lambda event: self._world.deliver_later(core, 0.0, event),
                        )
                case Err(fault):
                    event = LeaseWritten(fault is ObjectStoreFailure.REFUSED)
                    self._world.deliver_later(core, 0.0, event)

        self._call(core, make, on_result)

    def write_entry(self, core: Gateway, write: WriteEntry) -> None:
        """Register an entry."""
        objects = self._world.objects

        def make() -> Any:
            return objects.put(ENTRIES_KIND, write.name, write.record, write.revision)

        self._call(core, make, lambda result: None)

    def remove_entry(self, core: Gateway, remove: RemoveEntry) -> None:
        """Remove an entry's registration."""
        objects = self._world.objects
        self._call(
            core,
            lambda: objects.remove(ENTRIES_KIND, remove.name, remove.revision),
            lambda result: None,
        )

    def write_quarantine(self, core: Gateway, write: WriteQuarantine) -> None:
        """Write a quarantine record."""
        objects, record = self._world.objects, write.record

        def make() -> Any:
            return objects.put(QUARANTINE_KIND, record.name, record, write.revision)

        self._call(core, make, lambda result: None)

    def remove_quarantine(self, core: Gateway, remove: RemoveQuarantine) -> None:
        """Remove a quarantine record."""
        objects = self._world.objects
        self._call(core, lambda: objects.remove(QUARANTINE_KIND, remove.name), lambda result: None)

    def rewrite_documents(self, core: Gateway, rewrite: RewriteDocuments) -> None:
        """Write an entry's newest known documents again."""
        store: Any = self._world.objects
        documents = DocumentStore(store, self._known[core.cfg.name])

        def respond(result: Any) -> None:
            done = isinstance(result, Ok) and result.ok_value
            self._world.deliver_later(core, 0.0, DocumentsRewritten(rewrite.epoch, done))

        self._call(core, lambda: Ok(documents.rewrite()), respond)

    def key_call(
        self, core: Gateway, call: KeyCall, on_result: Callable[[KeyResponse], None]
    ) -> None:
        """Make one call for an idempotency key; a paused entry gets the response when resumed."""
        objects = self._world.objects

        def make() -> Any:
            if call.action is KeyAction.READ:
                return objects.read(KEYS_KIND, call.name)
            if call.action is KeyAction.CREATE:
                return objects.create(KEYS_KIND, call.name, call.record)
            return objects.replace(KEYS_KIND, call.name, call.record, call.revision)

        def respond(result: Any) -> None:
            name = core.cfg.name
            if self._world.cores.get(name) is not core:
                return
            if name in self._world.paused:
                self._world.after(WATCH_DELAY_S, lambda: respond(result))
                return
            to_response = read_response if call.action is KeyAction.READ else write_response
            on_result(to_response(result))

        self._call(core, make, respond)
