"""The faults of the soak, injected from outside the processes; each returns how to end it."""

import contextlib
import random
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import urllib3

from standins.fleet import Fleet

End = Callable[[], None]
Fault = Callable[[Fleet, random.Random], End]

FAULTS: Final[dict[str, Fault]] = {}

RUNNER_PREFIX: Final = "runner-"

LIMITS_PER_S: Final = (1.0, 2.1, 6.0)
MIN_LIMITED_S: Final = 9.0

MIN_DURATIONS_S: Final[dict[str, float]] = {}
"""Durations of faults that are checked only some time after they began."""

MIN_CRASHING_S: Final = 9.0

CRASHING: Final[set[str]] = set()
"""Active faults in which callers send prompts that crash runners."""

SLOW_S: Final = 0.4
SLOW_RUNS_S: Final = (0.5, 1.6, 4.0)
MISSING_SHARE: Final = 0.5
ODD_REGISTRATION: Final[dict[str, Any]] = {
    "service": "bookings",
    "address": "127.0.0..7:8080",
    "zone": "dc1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}
ODD_VALUES: Final[tuple[Any, ...]] = (None, "", -1, 2**70, 1e300, "a..b:80", "\u00fc:1", ["x"], {})
DELAY_S: Final = 0.3


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault; its function returns a callable that ends it."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


FAULTY_TARGETS: Final[set[str]] = set()
"""Targets with an active fault; only one each, since a suspended one accepts no further faults."""


def _inject_into_target(
    fleet: Fleet, rng: random.Random, kind: str, inject: Callable[[str], End]
) -> End:
    """Inject a fault into a target of a kind without an active fault, if there is one."""
    without_fault = [
        name for name in targets_of(fleet) if name.startswith(kind) and name not in FAULTY_TARGETS
    ]
    if not without_fault:
        return _do_nothing
    name = rng.choice(without_fault)
    FAULTY_TARGETS.add(name)
    end_fault = inject(name)

    def end() -> None:
        end_fault()
        FAULTY_TARGETS.discard(name)

    return end


def _do_nothing() -> None:
    """End a fault that needs no end."""


def _running_entry(fleet: Fleet, rng: random.Random) -> int:
    """Return the number of an entry that runs, or 0 if fewer than two do."""
    alive = [
        number
        for number in range(1, fleet.options.entries + 1)
        if fleet.running[f"entry-{number}"].process.poll() is None
    ]
    return rng.choice(alive) if len(alive) > 1 else 0


def _end_entry(fleet: Fleet, rng: random.Random, signal_number: int) -> End:
    number = _running_entry(fleet, rng)
    if not number:
        return _do_nothing
    name = f"entry-{number}"
    process = fleet.running[name].process
    process.send_signal(signal_number)

    def restart() -> None:
        # It may be suspended too, by a fault whose end comes after this one.
        process.send_signal(signal.SIGCONT)
        process.wait()
        # Another fault of the same entry may have restarted it by now.
        if fleet.running[name].process is process:
            fleet.start_entry(number)

    return restart


@fault("entry killed")
def _killed(fleet: Fleet, rng: random.Random) -> End:
    return _end_entry(fleet, rng, signal.SIGKILL)


@fault("entry stopped")
def _stopped(fleet: Fleet, rng: random.Random) -> End:
    return _end_entry(fleet, rng, signal.SIGTERM)


@fault("entry suspended")
def _suspended(fleet: Fleet, rng: random.Random) -> End:
    return _suspend(fleet, f"entry-{rng.randint(1, fleet.options.entries)}")


@fault("target suspended")
def _target_suspended(fleet: Fleet, rng: random.Random) -> End:
    return _inject_into_target(fleet, rng, "", lambda name: _suspend(fleet, name))


def _suspend(fleet: Fleet, name: str) -> End:
    process = fleet.running[name].process
    process.send_signal(signal.SIGSTOP)
    return lambda: process.send_signal(signal.SIGCONT)


@fault("settings reloaded")
def _reloaded(fleet: Fleet, rng: random.Random) -> End:
    number = _running_entry(fleet, rng)
    if number:
        fleet.signal(f"entry-{number}", signal.SIGHUP)
    return _do_nothing


@fault("runner killed")
def _runner_killed(fleet: Fleet, rng: random.Random) -> End:
    def kill(name: str) -> End:
        if fleet.running[name].process.poll() is not None:
            return _do_nothing
        fleet.kill(name)

        def restart() -> None:
            fleet.start_runner(int(name.rpartition("-")[2]))
            # The next fault of this runner is set on its control port.
            fleet.wait(lambda: fleet.counts(name) is not None, what=f"{name} accepts faults")

        return restart

    return _inject_into_target(fleet, rng, RUNNER_PREFIX, kill)


@fault("configurations in a row")
def _configured(fleet: Fleet, rng: random.Random) -> End:
    # Races and outages may refuse any of them; an accepted one must take effect.
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "change.yaml"
        for _ in range(3):
            file.write_text(f"kind: model\nname: soak-{rng.randint(0, 10**6)}\nversion: 1\n")
            try:
                fleet.apply_documents(file)
            except (urllib3.exceptions.HTTPError, ValueError):
                return _do_nothing
    return _do_nothing


def targets_of(fleet: Fleet) -> list[str]:
    """Return the names of all runners and service targets."""
    return [
        name
        for name in fleet.running
        if name.startswith((RUNNER_PREFIX, fleet.service)) and " proxy " not in name
    ]


def _set_faults(fleet: Fleet, name: str, **values: float) -> End:
    _set(fleet, name, values)
    return lambda: _set(fleet, name, dict.fromkeys(values, 0.0))


def _set(fleet: Fleet, name: str, values: dict[str, float]) -> None:
    # A target that a prompt has crashed is back later, without faults.
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        fleet.fault(name, **values)


def _register_link_fault(name: str, value: float, store: bool) -> None:
    """Register a fault of the links to a target, or to the object store."""
    label = f"links {'of an entry to the store' if store else 'to a target'}: {name}"

    @fault(label)
    def inject(fleet: Fleet, rng: random.Random) -> End:
        if store:
            entry = f"entry-{rng.randint(1, fleet.options.entries)}"
            return _set_faults(fleet, fleet.proxy("objects", entry), **{name: value})
        return _set_faults(fleet, fleet.proxy(rng.choice(targets_of(fleet))), **{name: value})


for _name, _value in (
    ("delay_s", DELAY_S),
    ("silent", 1.0),
    ("cut_up", 1.0),
    ("cut_down", 1.0),
    ("reset", 1.0),
    ("refuse", 1.0),
):
    _register_link_fault(_name, _value, store=True)
    _register_link_fault(_name, _value, store=False)


@fault("store slow")
def _store_slow(fleet: Fleet, rng: random.Random) -> End:
    return _set_faults(fleet, "objects", slow_s=SLOW_S)


@fault("answers of the store lost")
def _store_lost(fleet: Fleet, rng: random.Random) -> End:
    return _set_faults(fleet, "objects", drop_answers=5.0)


RESTORED_NAME: Final = "store restored from a copy"
MAX_COPY_AGE_S: Final = 9.0
MAX_AWAY_S: Final = 1.5


@fault(RESTORED_NAME)
def _store_restored(fleet: Fleet, rng: random.Random) -> End:
    away_s, age_s = rng.uniform(0.0, MAX_AWAY_S), rng.uniform(0.2, MAX_COPY_AGE_S)
    keep_history = float(rng.random() < 0.5)
    fleet.fault("objects", keep_history=keep_history, restore_away_s=away_s, restore=age_s)
    return _do_nothing


@fault("streams cut")
def _streams_cut(fleet: Fleet, rng: random.Random) -> End:
    return _inject_into_target(
        fleet, rng, RUNNER_PREFIX, lambda name: _set_faults(fleet, name, cut_stream=3.0)
    )


@fault("streams without end")
def _streams_endless(fleet: Fleet, rng: random.Random) -> End:
    return _inject_into_target(
        fleet, rng, RUNNER_PREFIX, lambda name: _set_faults(fleet, name, endless=2.0)
    )


@fault("service slow")
def _service_slow(fleet: Fleet, rng: random.Random) -> End:
    """Calls that take longer than usual are in progress when entries are stopped."""
    seconds = rng.choice(SLOW_RUNS_S)
    return _inject_into_target(
        fleet, rng, fleet.service, lambda name: _set_faults(fleet, name, run_s=seconds)
    )


@fault("odd registration")
def _odd_registration(fleet: Fleet, rng: random.Random) -> End:
    """Another writer registers something that is no target."""
    name = f"odd-{rng.randint(0, 10**6)}"
    fields = dict(ODD_REGISTRATION)
    for field in rng.sample(sorted(fields), rng.randint(1, 3)):
        if rng.random() < MISSING_SHARE:
            del fields[field]
        else:
            fields[field] = rng.choice(ODD_VALUES)
    # The store may be away or lose the response meanwhile.
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        fleet.put_object("servers", name, fields)

    def end() -> None:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            fleet.remove_object("servers", name)

    return end


@fault("answers crossed")
def _crossed(fleet: Fleet, rng: random.Random) -> End:
    return _inject_into_target(
        fleet, rng, RUNNER_PREFIX, lambda name: _set_faults(fleet, name, crossed=2.0)
    )


@fault("answers of a service lost")
def _service_lost(fleet: Fleet, rng: random.Random) -> End:
    return _inject_into_target(
        fleet, rng, fleet.service, lambda name: _set_faults(fleet, name, lose=3.0)
    )


def _register_rate_limit(per_s: float, runner: bool) -> None:
    label = f"{'runner' if runner else 'service target'} limits its request rate: {per_s}"
    MIN_DURATIONS_S[label] = MIN_LIMITED_S

    @fault(label)
    def inject(fleet: Fleet, rng: random.Random) -> End:
        kind = RUNNER_PREFIX if runner else fleet.service
        return _inject_into_target(
            fleet, rng, kind, lambda name: _set_faults(fleet, name, limit_per_s=per_s)
        )


for _per_s in LIMITS_PER_S:
    _register_rate_limit(_per_s, runner=True)
    _register_rate_limit(_per_s, runner=False)


@fault("cache store dead")
def _cache_dead(fleet: Fleet, rng: random.Random) -> End:
    return _set_faults(fleet, "store-1", down=1.0)


CRASHING_NAME: Final = "prompts that crash runners"
MIN_DURATIONS_S[CRASHING_NAME] = MIN_CRASHING_S


@fault(CRASHING_NAME)
def _crashing_prompts(fleet: Fleet, rng: random.Random) -> End:
    number = str(rng.random())
    CRASHING.add(number)
    return lambda: CRASHING.discard(number)
