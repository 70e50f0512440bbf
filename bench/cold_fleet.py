"""Counts the requests that the entries of a fleet send to cold targets in any second.

    python -m bench.cold_fleet

The entries decide as in production, in virtual time; the object store, the connections and the
targets are fakes.  Prints the table of docs/design/cold-targets.md.
"""

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple

from bench.world import BOUNDS
from filbertstream.connection.target_connection import IDLE_TIMEOUT_S
from filbertstream.fleet.cold_targets import ColdTargets
from filbertstream.process.counters import Counters
from filbertstream.process.deployment import Address
from filbertstream.process.peer_work import WorkTotals
from filbertstream.process.rate_shares import SETTLE_S, RateShares
from filbertstream.process.request_rates import RequestRates
from filbertstream.process.roster import RosterTarget
from filbertstream.process.target_registration import TargetRegistration, TargetStart
from filbertstream.request.rate_admission import RateAdmission
from filbertstream.version.routes import Service

COLD: Final = BOUNDS._replace(cold_over=1.5, cold_slack=5.0)
COLD_S: Final = 3.0
STEP_S: Final = 0.02
ENTRIES: Final = 65
RATES: Final = (10.0, 30.0, 60.0, 120.0, 300.0, 600.0)
"""Calls a second to all targets."""

SEEDS: Final = range(5)


def registration(name: str, left_s: float = COLD_S, **changes: Any) -> TargetRegistration:
    """Return a registration of a target that is cold for a time."""
    address = Address(f"10.0.0.{sum(name.encode()) % 250}", 80)
    base = TargetRegistration(name, "app", address, "dc1", 8, False, left_s, {}, 1)
    return base._replace(**changes)


class Entry:
    """The decisions of one entry; ``current`` is whether it is in contact with the store."""

    def __init__(self, name: str, per_s: float, peers_current: Callable[[float], bool]) -> None:
        service = Service("app", "/health", 100, None, None, COLD_S, per_s)
        self.cold = ColdTargets(COLD, lambda: {"app": service}, Counters())
        self.rates = RequestRates(Counters())
        self.shares = RateShares(name, peers_current)
        self.admission = RateAdmission(self.rates, self.shares, self.cold)
        self.targets: dict[str, RosterTarget] = {}
        self.used: dict[str, tuple[TargetStart, float]] = {}
        self.current = True

    def starts(self) -> set[TargetStart]:
        """Return the registered starts that the entry knows."""
        return {target.start for target in self.targets.values()}

    def see(self, found: TargetRegistration, now_s: float) -> None:
        """Take a registration from the store."""
        self.cold.note_registration(found, now_s)
        known = self.targets.get(found.target_id)
        if known is None or known.start != found.start:
            nothing = WorkTotals(0, 0, 0, 0)
            self.targets[found.target_id] = RosterTarget(found, now_s, lambda name, at_s: nothing)
        else:
            known.registration = found


@dataclass
class Fleet:
    """Entries, what the targets got, and calls that arrive at any entry."""

    per_s: float = 10.0
    size: int = ENTRIES
    now_s: float = 100.0
    running: dict[str, TargetStart] = field(default_factory=dict)
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    pending: list[tuple[float, Entry, TargetRegistration]] = field(default_factory=list)
    rejected: int = 0
    prefers: str | None = None
    cold_since_s: float = 0.0
    seed: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.per_s}-{self.size}-{self.seed}")
        names = [f"e{number}" for number in range(self.size)]
        self.entries = {name: Entry(name, self.per_s, self._peer_current) for name in names}
        for entry in self.entries.values():
            for name in names:
                entry.shares.registered(name, self.now_s - 2 * SETTLE_S)
            entry.shares.confirmed(self.now_s)

    def _peer_current(self, now_s: float) -> bool:
        return any(entry.current for entry in self.entries.values())

    @property
    def allowed(self) -> float:
        """The most requests that a cold target may get in a second."""
        return 1.5 * self.per_s + 5.0

    def register(self, found: TargetRegistration, delay_s: float = 0.0) -> None:
        """Start a target, or refresh its registration; entries see that within the delay."""
        self.running[found.target_id] = found.start
        for entry in self.entries.values():
            if entry.current:
                at_s = self.now_s + self.rng.uniform(0.0, delay_s)
                self.pending.append((at_s, entry, found))

    def run(self, seconds: float, calls_per_s: float) -> None:
        """Let calls arrive; each goes to the idlest target that has room for it."""
        end_s = self.now_s + seconds
        due = 0.0
        while self.now_s < end_s:
            self.now_s += STEP_S
            for _, entry, found in [item for item in self.pending if item[0] <= self.now_s]:
                entry.see(found, self.now_s)
            self.pending = [item for item in self.pending if item[0] > self.now_s]
            for entry in self.entries.values():
                if entry.current:
                    entry.shares.confirmed(self.now_s)
                entry.cold.tick(entry.starts, self.now_s)
                entry.admission.expire(list, self.now_s)
            due += calls_per_s * STEP_S
            while due >= 1.0:
                due -= 1.0
                self.call(self.rng.choice(list(self.entries.values())))

    def call(self, entry: Entry) -> None:
        """Send a call and, if it fails, send it again elsewhere."""
        left = list(entry.targets.values())
        while left:
            targets = entry.admission.with_room(left, 1, self.now_s)
            if not targets:
                break
            preferred = [item for item in targets if item.target_id == self.prefers]
            target = preferred[0] if preferred else self.rng.choice(targets)
            entry.admission.note_send(target, self.now_s)
            if self._deliver(entry, target):
                return
            left.remove(target)
        self.rejected += 1

    def _deliver(self, entry: Entry, target: RosterTarget) -> bool:
        name = target.target_id
        running = self.running.get(name)
        start, at_s = entry.used.pop(name, (None, 0.0))
        is_open = start is not None and self.now_s - at_s < IDLE_TIMEOUT_S
        if running is None or (is_open and start != running):
            entry.cold.note_failure(target.start, self.now_s, refused=running is None)
            return False
        entry.used[name] = running, self.now_s
        entry.cold.note_response(target.start, self.now_s, self.now_s)
        self.arrivals.setdefault(name, []).append(self.now_s)
        return True

    def crash(self, name: str) -> None:
        """End a target; entries with a recently used connection notice that."""
        del self.running[name]
        for entry in self.entries.values():
            start, at_s = entry.used.get(name, (None, 0.0))
            if start is not None and self.now_s - at_s < IDLE_TIMEOUT_S:
                del entry.used[name]
                entry.cold.note_failure(start, self.now_s)

    def most(self, name: str, from_s: float, until_s: float) -> int:
        """Return the most requests in any second that ends in a period."""
        times = [at_s for at_s in self.arrivals.get(name, []) if from_s <= at_s < until_s]
        return max((sum(at_s - 1.0 < item <= at_s for item in times) for at_s in times), default=0)

    def total(self, name: str, from_s: float, until_s: float) -> int:
        """Return how many requests a target got in a period."""
        return sum(from_s <= at_s < until_s for at_s in self.arrivals.get(name, []))

    def most_while_cold(self, name: str) -> int:
        """Return the most requests in any second of the cold time of a target."""
        return self.most(name, self.cold_since_s, self.cold_since_s + COLD_S)


class Case(NamedTuple):
    """A row of the table; with ``herd`` all calls begin to prefer a target when it restarts."""

    calls_per_s: float
    delay_s: float = 0.0
    down_s: float = 0.0
    store_is_down: bool = False
    herd: bool = False
    seed: int = 0


def restart(case: Case) -> Fleet:
    """Let one of a few targets restart under its id, and return the fleet after its cold time."""
    fleet = Fleet(seed=case.seed)
    names = [f"t{number}" for number in range(3 if case.herd else 4)]
    for name in names:
        fleet.register(registration(name, 0.0))
    fleet.prefers = "t1" if case.herd else None
    fleet.run(2.0, case.calls_per_s)
    for entry in fleet.entries.values():
        entry.current = not case.store_is_down
    fleet.run(8.0 if case.store_is_down else 2.0, case.calls_per_s)
    fleet.crash("t0")
    fleet.run(case.down_s, case.calls_per_s)
    fleet.cold_since_s = fleet.now_s
    fleet.register(registration("t0", started_ms=2), case.delay_s)
    fleet.prefers = "t0" if case.herd else None
    fleet.run(COLD_S, case.calls_per_s)
    return fleet


def new_target(size: int = ENTRIES, per_s: float = 10.0) -> Fleet:
    """Let all calls prefer a target that registers for the first time, for its cold time."""
    fleet = Fleet(per_s, size)
    fleet.register(registration("old", 0.0))
    fleet.run(1.0, 300.0)
    fleet.prefers = "t0"
    fleet.cold_since_s = fleet.now_s
    fleet.register(registration("t0"))
    fleet.run(COLD_S, max(300.0, 5.0 * size))
    return fleet


def worst(cases: Iterable[Case]) -> int:
    """Return the most requests to the restarted target in a second, over all cases and seeds."""
    return max(
        restart(case._replace(seed=seed)).most_while_cold("t0") for case in cases for seed in SEEDS
    )


def rows() -> Iterator[tuple[str, int]]:
    """Return the rows of the table: what happens, and the most requests in a second."""
    yield "new target that all calls prefer", new_target().most_while_cold("t0")
    usual = [Case(rate, 0.0, down_s) for rate in RATES for down_s in (0.2, 1.0, 4.0)]
    for delay_s in (0.1, 0.3, 0.6, 1.0):
        cases = [case._replace(delay_s=delay_s) for case in usual]
        yield f"restart, registrations {delay_s} s late", worst(cases)
    outage = [case._replace(store_is_down=True) for case in usual]
    yield "restart while the store is down", worst(outage)
    for delay_s in (0.1, 0.3, 0.6):
        case = Case(120.0, delay_s, 0.4, herd=True)
        yield f"all calls prefer it at its restart, registrations {delay_s} s late", worst([case])


if __name__ == "__main__":
    for what, most in rows():
        print(f"{most:4d}  {what}")
