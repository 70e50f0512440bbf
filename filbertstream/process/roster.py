"""The registered targets, the state of each as observed by this entry, and which may be used.

A registration expires when its target can't reach the object store, also while the object store
itself is down.  A removal that is observed during an outage of the object store, or shortly after
it, is therefore held back for ``REREGISTRATION_S`` after the outage; a target that is still missing
then is dropped.  An unchanged registration says nothing about its target: the object store sends
only changes, and removes a registration that is not refreshed.
"""

from collections.abc import Callable, Iterable
from typing import Final

from filbertstream.fleet.evacuations import Evacuations
from filbertstream.fleet.target_work import OutstandingWork, TargetWork, TypicalWork
from filbertstream.process.outliers import OutlierDetector
from filbertstream.process.peer_work import WorkTotals
from filbertstream.process.prefill import PrefillQueue
from filbertstream.process.reported_slowness import ReportedSlowness
from filbertstream.process.target_notices import TargetNotices
from filbertstream.process.target_registration import TargetRegistration, TargetStart
from filbertstream.request.call import TargetLoad

REREGISTRATION_S: Final = 2.3
"""Expired registrations are back within about two seconds of the end of an outage."""

LOAD_FRESH_S: Final = 3.0
"""Age at which a reported load is ignored."""


PeerWorkAt = Callable[[str, float], WorkTotals]
"""Returns the work of the peers at a target."""


class RosterTarget:
    """One registered target, with its load and weights as observed by this entry."""

    def __init__(
        self,
        registration: TargetRegistration,
        now_s: float,
        peer_work_at: PeerWorkAt,
        typical_work: TypicalWork | None = None,
    ) -> None:
        self.registration = registration
        self.peer_work_at = peer_work_at
        self.missing_since_s: float | None = None
        self.outstanding = 0
        self.memory_tokens = 0
        self.load: TargetLoad | None = None
        self.load_at_s = 0.0
        self.weights = dict(registration.weights)
        self.prefill = PrefillQueue()
        self.reported_slowness = ReportedSlowness()
        self.work = TargetWork(TypicalWork() if typical_work is None else typical_work)
        self.latency_s = 0.0
        self.responded_at_s = float("-inf")
        self.backoff_until_s = 0.0

    @property
    def target_id(self) -> str:
        """The id under which the target is registered."""
        return self.registration.target_id

    @property
    def start(self) -> TargetStart:
        """The start of the target as registered."""
        return self.registration.start

    def running(self, now_s: float) -> float:
        """Return how many requests run or wait at the target.

        This is the number known from this entry and its peers, or the target's own if it is larger.
        """
        known = self.outstanding + self.peer_work_at(self.target_id, now_s).runs
        if self.load is None or now_s - self.load_at_s > LOAD_FRESH_S:
            return float(known)
        return float(max(known, self.load.running + self.load.waiting))

    def memory(self, now_s: float) -> int:
        """Return the maximum tokens of memory that known running requests fill."""
        return self.memory_tokens + self.peer_work_at(self.target_id, now_s).memory_tokens

    def queued_tokens(self, now_s: float) -> int:
        """Return the prompt tokens known to be sent to the target and not prefilled yet."""
        return self.prefill.queued_tokens + self.peer_work_at(self.target_id, now_s).queued_tokens

    def weighted_queued_tokens(self, now_s: float) -> int:
        """Return the queued prompt tokens by which runners are compared.

        Older reports of peers count less: otherwise entries with the same outdated reports would
        all choose the runner that was idle then.
        """
        return (
            self.prefill.queued_tokens
            + self.peer_work_at(self.target_id, now_s).weighted_queued_tokens
        )

    def slowness(self, now_s: float) -> float:
        """Return by which factor work takes longer now than in the observed times; usually 1."""
        return self.reported_slowness.at(now_s)

    def outstanding_work(self, is_runner: bool, slots: int, now_s: float) -> OutstandingWork:
        """Return the work that all entries have sent to the target and that is not done yet."""
        slowness = self.slowness(now_s)
        return self.work.outstanding(
            is_runner,
            self.queued_tokens(now_s) / self.prefill.rate_per_s * slowness,
            self.outstanding,
            self.peer_work_at(self.target_id, now_s),
            slots,
            None if self.load is None else now_s - self.load_at_s,
            slowness,
            now_s,
        )

    def note_load(self, load: TargetLoad, now_s: float) -> None:
        """Record the load that the target has reported."""
        self.load = load
        self.load_at_s = now_s
        self.work.note_load(load, self.outstanding)
        if load.reports_slowness:
            self.reported_slowness.note(load.slowness, now_s)

    def note_weights(self, model: str, version: int) -> bool:
        """Record a version from a response of the target; return whether it is newer."""
        known = self.weights.get(model)
        if known is not None and version <= known:
            return False
        self.weights[model] = version
        return True


class Roster:
    """All registered targets by id, with an index by service."""

    def __init__(self, evacuations: Evacuations | None = None) -> None:
        self.targets: dict[str, RosterTarget] = {}
        self.evacuations = evacuations or Evacuations()
        self.outliers = OutlierDetector()
        self.notices = TargetNotices()
        self._by_service: dict[str, list[str]] = {}
        self._names: dict[str, frozenset[str]] = {}
        self._typical_work: dict[str, TypicalWork] = {}
        self.removals_held_until_s = 0.0
        self.peer_work_at: PeerWorkAt = lambda target, now_s: WorkTotals(0, 0, 0, 0)
        self.drained: frozenset[str] = frozenset()

    def _peer_work_at(self, target: str, now_s: float) -> WorkTotals:
        return self.peer_work_at(target, now_s)

    def note_object_store_failure(self, now_s: float) -> None:
        """Record that the object store did not respond; removals are held back from now on."""
        self.hold_removals(now_s + REREGISTRATION_S)

    def hold_removals(self, until_s: float) -> None:
        """Hold back removals until a time, since expired registrations may be back by then."""
        self.removals_held_until_s = max(self.removals_held_until_s, until_s)

    def replace_all(
        self, registrations: Iterable[TargetRegistration], now_s: float
    ) -> tuple[str, ...]:
        """Apply a full listing; return the ids of known targets that are missing from it."""
        listed = {registration.target_id: registration for registration in registrations}
        missing = tuple(name for name in self.targets if name not in listed)
        for name in missing:
            self.remove(name, now_s)
        for registration in listed.values():
            self.put(registration, now_s)
        return missing

    def put(self, registration: TargetRegistration, now_s: float) -> RosterTarget:
        """Apply a registration; a target that has restarted gets a new state."""
        known = self.targets.get(registration.target_id)
        restarted = known is not None and known.registration.started_ms != registration.started_ms
        if known is None or restarted:
            typical = self._typical_work.setdefault(registration.service, TypicalWork())
            target = RosterTarget(registration, now_s, self._peer_work_at, typical)
            self.targets[registration.target_id] = target
            self.outliers.succeeded(registration.target_id)
            self._reindex()
            return target
        known.missing_since_s = None
        known.registration = registration
        for model, version in registration.weights.items():
            known.note_weights(model, version)
        return known

    def remove(self, name: str, now_s: float) -> None:
        """Apply the removal of a registration, or hold it back."""
        target = self.targets.get(name)
        if target is None:
            return
        if now_s >= self.removals_held_until_s:
            self._forget(name)
        elif target.missing_since_s is None:
            target.missing_since_s = now_s

    def tick(self, now_s: float) -> tuple[TargetStart, ...]:
        """Drop targets that are still missing when removals are no longer held back.

        Return their starts.
        """
        if now_s < self.removals_held_until_s:
            return ()
        gone = tuple(
            item.start for item in self.targets.values() if item.missing_since_s is not None
        )
        for start in gone:
            self._forget(start.target_id)
        return gone

    def _forget(self, name: str) -> None:
        del self.targets[name]
        self.outliers.succeeded(name)
        self._reindex()

    def _reindex(self) -> None:
        self._by_service = {}
        for name in sorted(self.targets):
            self._by_service.setdefault(self.targets[name].registration.service, []).append(name)
        self._names = {service: frozenset(names) for service, names in self._by_service.items()}
        for service in self._typical_work.keys() - self._by_service.keys():
            del self._typical_work[service]

    def names_of(self, service: str) -> frozenset[str]:
        """Return the names of all targets of a service; the same set object until they change."""
        return self._names.get(service, frozenset())

    def starts(self) -> set[TargetStart]:
        """Return the registered starts of all targets."""
        return {target.start for target in self.targets.values()}

    def of_service(self, service: str) -> list[RosterTarget]:
        """Return all targets of a service, usable or not, in a fixed order."""
        return [self.targets[name] for name in self._by_service.get(service, ())]

    def staying(self, service: str) -> list[RosterTarget]:
        """Return the targets of a service that don't leave."""
        return [target for target in self.of_service(service) if not self.is_leaving(target)]

    def is_leaving(self, target: RosterTarget) -> bool:
        """Whether a target leaves, as registered, as it says itself, or by an operator's order."""
        return (
            target.registration.draining
            or target.target_id in self.drained
            or self.notices.is_leaving(target.start)
        )

    def is_evacuated(self, target: RosterTarget) -> bool:
        """Whether the data center of a target is evacuated."""
        return self.evacuations.is_evacuated(target.registration.data_center)

    def is_healthy(self, target: RosterTarget, now_s: float) -> bool:
        """Whether a target is registered, and not ejected after failed sends."""
        ejected = self.outliers.is_ejected(target.target_id, now_s)
        return not ejected and target.missing_since_s is None
