"""The targets that have registered: which may be used, and what is known of each.

Registrations lapse when the store can't be reached by a target, also while the store itself is
down.  A removal that is seen while the store is in trouble, or shortly after, is therefore held
back for ``RETURN_S`` after its return; a target that is still missing then is gone.  Nothing is
concluded from a registration that stands still: the store passes on only what changes in it, and
removes one that is not refreshed.
"""

from collections.abc import Callable, Iterable
from typing import Final

from filbertstream.process.outliers import Outliers
from filbertstream.process.peer_work import WorkTotals
from filbertstream.process.prefill import PrefillQueue
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.request.call import TargetLoad

RETURN_S: Final = 2.3
"""Lapsed registrations are back within about two seconds of the store's return."""

LOAD_FRESH_S: Final = 3.0
"""The age at which a load note tells nothing any more."""


Others = Callable[[str, float], WorkTotals]
"""Tells what other entries have under way at a target."""


class RosterTarget:
    """One registered target."""

    def __init__(self, entry: TargetRegistration, now_s: float, peer_work_at: Others) -> None:
        self.entry = entry
        self.peer_work_at = peer_work_at
        self.missing_since_s: float | None = None
        self.outstanding = 0
        self.memory_tokens = 0
        self.load: TargetLoad | None = None
        self.load_at_s = 0.0
        self.weights = dict(entry.weights)
        self.prefill = PrefillQueue()
        self.latency_s = 0.0
        self.backoff_until_s = 0.0

    @property
    def target_id(self) -> str:
        """The id of the incarnation."""
        return self.entry.target_id

    def running(self, now_s: float) -> float:
        """Return how many requests run or wait there, as far as is known."""
        known = self.outstanding + self.peer_work_at(self.target_id, now_s).runs
        if self.load is None or now_s - self.load_at_s > LOAD_FRESH_S:
            return float(known)
        return float(max(known, self.load.running + self.load.waiting))

    def memory(self, now_s: float) -> int:
        """Return the tokens that running requests fill at most, as far as is known."""
        return self.memory_tokens + self.peer_work_at(self.target_id, now_s).memory_tokens

    def queued_tokens(self, now_s: float) -> int:
        """Return the prompt tokens that were sent here and are not read yet, as far as known."""
        return self.prefill.queued_tokens + self.peer_work_at(self.target_id, now_s).queued_tokens

    def weighted_queued_tokens(self, now_s: float) -> int:
        """Return the unread prompt tokens by which runners are compared.

        What others told a while ago counts less: entries that trust the same old news all choose
        the runner that was idle then.
        """
        return (
            self.prefill.queued_tokens
            + self.peer_work_at(self.target_id, now_s).weighted_queued_tokens
        )

    def note_load(self, load: TargetLoad, now_s: float) -> None:
        """Take in what the target said of its load."""
        self.load = load
        self.load_at_s = now_s

    def note_weights(self, model: str, version: int) -> bool:
        """Take in a version that the target's own answer showed; whether it is a newer one."""
        known = self.weights.get(model)
        if known is not None and version <= known:
            return False
        self.weights[model] = version
        return True


class Roster:
    """All registered targets by id, with an index by service."""

    def __init__(self) -> None:
        self.targets: dict[str, RosterTarget] = {}
        self.outliers = Outliers()
        self._by_service: dict[str, list[str]] = {}
        self._names: dict[str, frozenset[str]] = {}
        self.removals_held_until_s = 0.0
        self.peer_work_at: Others = lambda target, now_s: WorkTotals(0, 0, 0, 0)
        self.drained: frozenset[str] = frozenset()

    def _others(self, target: str, now_s: float) -> WorkTotals:
        return self.peer_work_at(target, now_s)

    def note_object_store_failure(self, now_s: float) -> None:
        """Note that the store did not answer; lapses seen from now on are held back."""
        self.hold_removals(now_s + RETURN_S)

    def hold_removals(self, until_s: float) -> None:
        """Hold back lapses until a moment, since lapsed registrations may yet be back by then."""
        self.removals_held_until_s = max(self.removals_held_until_s, until_s)

    def replace_all(self, entries: Iterable[TargetRegistration], now_s: float) -> tuple[str, ...]:
        """Take in a full listing; return the ids of targets that are missing from it."""
        listed = {entry.target_id: entry for entry in entries}
        missing = tuple(name for name in self.targets if name not in listed)
        for name in missing:
            self.remove(name, now_s)
        for entry in listed.values():
            self.put(entry, now_s)
        return missing

    def put(self, entry: TargetRegistration, now_s: float) -> RosterTarget:
        """Take in a registration that was written."""
        known = self.targets.get(entry.target_id)
        restarted = known is not None and known.entry.started_ms != entry.started_ms
        if known is None or restarted:
            target = RosterTarget(entry, now_s, self._others)
            self.targets[entry.target_id] = target
            self.outliers.succeeded(entry.target_id)
            self._reindex()
            return target
        known.missing_since_s = None
        known.entry = entry
        for model, version in entry.weights.items():
            known.note_weights(model, version)
        return known

    def remove(self, name: str, now_s: float) -> None:
        """Take in that a registration is gone."""
        target = self.targets.get(name)
        if target is None:
            return
        if now_s >= self.removals_held_until_s:
            self._forget(name)
        elif target.missing_since_s is None:
            target.missing_since_s = now_s

    def tick(self, now_s: float) -> tuple[str, ...]:
        """Forget targets that are still missing after the store's return; return their ids."""
        if now_s < self.removals_held_until_s:
            return ()
        gone = tuple(
            name for name, item in self.targets.items() if item.missing_since_s is not None
        )
        for name in gone:
            self._forget(name)
        return gone

    def _forget(self, name: str) -> None:
        del self.targets[name]
        self.outliers.succeeded(name)
        self._reindex()

    def _reindex(self) -> None:
        self._by_service = {}
        for name in sorted(self.targets):
            self._by_service.setdefault(self.targets[name].entry.service, []).append(name)
        self._names = {service: frozenset(names) for service, names in self._by_service.items()}

    def names_of(self, service: str) -> frozenset[str]:
        """Return the names of all targets of a service; the same set while they stay."""
        return self._names.get(service, frozenset())

    def of_service(self, service: str) -> list[RosterTarget]:
        """Return all targets of a service, usable or not, in a fixed order."""
        return [self.targets[name] for name in self._by_service.get(service, ())]

    def usable(self, service: str, now_s: float) -> list[RosterTarget]:
        """Return the targets of a service that may get work, those that look healthy if any do."""
        admitted = [
            target
            for target in self.of_service(service)
            if not target.entry.draining
            and target.target_id not in self.drained
            and now_s >= target.backoff_until_s
        ]
        healthy = [target for target in admitted if self._looks_healthy(target, now_s)]
        return healthy or admitted

    def _looks_healthy(self, target: RosterTarget, now_s: float) -> bool:
        out = self.outliers.is_ejected(target.target_id, now_s)
        return not out and target.missing_since_s is None
