"""What 65 entries send to targets that have just started or come back, in any second."""

import hashlib
import random
from typing import Any

import msgspec
import pytest

from bench.cold_fleet import COLD, COLD_S, Case, Fleet, new_target, registration, restart
from filbertstream.connection.target_connection import TargetConnection
from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.fleet.cold_targets import (
    LATE_REGISTRATION_S,
    ColdRate,
    ColdTargets,
    IdleConnectionLost,
    RampRate,
)
from filbertstream.fleet.evacuations import EvacuationObserved
from filbertstream.gateway_events import BoundsChanged, ConfigurationObserved, TargetObserved, Tick
from filbertstream.log_events import LogEvent
from filbertstream.platform.documents import decode_configuration, decode_target
from filbertstream.platform.headers import decode_response
from filbertstream.process.clock import boot_time_s
from filbertstream.process.counters import Counters
from filbertstream.process.deployment import Address
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.call import RequestRate
from filbertstream.request.call_events import RespondLocally, SendCall, SendFailed
from filbertstream.version.routes import Service
from tests.gateway_world import BOUNDS, configuration, entry, sends
from tests.test_rate_admission import LimitedWorld


@pytest.mark.parametrize("per_s", [10.0, 14.0])
@pytest.mark.parametrize("size", [1, 6, 24, 65, 195])
def test_new_target_gets_what_it_tolerates_and_no_more(size: int, per_s: float) -> None:
    """A target registers for the first time, and all entries see an idle target at once."""
    fleet = new_target(size, per_s)
    start_s = fleet.cold_since_s
    assert fleet.most_while_cold("t0") <= fleet.allowed
    assert fleet.total("t0", start_s, start_s + COLD_S) >= 0.6 * per_s * COLD_S
    assert fleet.rejected == 0


@pytest.mark.parametrize("down_s", [0.2, 4.0])
@pytest.mark.parametrize(("calls_per_s", "delay_s"), [(120.0, 1.0), (300.0, 0.6), (600.0, 0.1)])
def test_target_that_restarts_under_its_id_is_not_flooded_before_all_know_it(
    calls_per_s: float, delay_s: float, down_s: float
) -> None:
    """The registration gets to the entries late, and those without a connection have no sign."""
    fleet = restart(Case(calls_per_s, delay_s, down_s))
    assert 3 <= fleet.most_while_cold("t0") <= fleet.allowed
    assert fleet.rejected == 0


def test_target_that_restarts_while_the_store_is_down_is_found_by_its_connections() -> None:
    """No entry is in contact with the store, so no registration tells of the restart."""
    fleet = Fleet()
    for name in ("t0", "t1", "t2"):
        fleet.register(registration(name, 0.0))
    fleet.prefers = "t0"
    fleet.run(1.0, 200.0)
    for member in fleet.entries.values():
        member.current = False
    fleet.run(8.0, 200.0)
    fleet.crash("t0")
    fleet.run(0.2, 200.0)
    fleet.running["t0"] = TargetStart("t0", 2)
    start_s = fleet.now_s
    fleet.run(COLD_S - 0.2, 200.0)
    assert 5 <= fleet.most("t0", start_s, start_s + COLD_S) <= fleet.allowed
    fleet.run(5 * COLD_S, 200.0)
    assert fleet.most("t0", fleet.now_s - 1.0, fleet.now_s) > 100
    assert fleet.rejected == 0


def test_all_targets_of_a_data_center_come_back_at_once_and_share_the_calls() -> None:
    """An evacuation ends; entries learn of it at different times, and cut-off ones never do."""
    fleet = Fleet(14.0)
    names = [f"t{number}" for number in range(8)]
    for name in names:
        fleet.register(registration(name, 0.0))
    fleet.run(1.0, 10.0)
    start_s = fleet.now_s
    for number, member in enumerate(fleet.entries.values()):
        if number % 5:
            member.cold.note_evacuation_ended("dc1", start_s)
            member.cold.note_evacuation_ended("dc2", start_s)
        else:
            # Such an entry keeps the evacuation, so it sends nothing there.
            member.targets.clear()
    fleet.run(COLD_S - 0.1, 600.0)
    for name in names:
        assert fleet.most(name, start_s, fleet.now_s) <= fleet.allowed
    assert sum(fleet.total(name, start_s, fleet.now_s) for name in names) >= 8 * 14.0 * 1.5
    assert fleet.rejected > 0


def test_share_of_the_calls_rises_gradually_after_the_cold_time() -> None:
    """65 entries see at the same moment that the cold time of the least loaded target ends."""
    fleet = Fleet()
    fleet.register(registration("old", 0.0))
    fleet.register(registration("new"))
    fleet.prefers = "new"
    start_s = fleet.now_s
    fleet.run(COLD_S + 3.5, 600.0)
    in_steps = [
        fleet.total("new", at_s, at_s + 0.5) for at_s in (start_s + 3.0 + n / 2 for n in range(7))
    ]
    assert max(in_steps[:3]) <= 20
    assert in_steps[6] >= 250
    assert fleet.rejected == 0


def test_entries_that_start_lose_the_store_or_restart_keep_the_bound() -> None:
    """A third of the entries is new and unsettled, and a third has an old view of the fleet."""
    fleet = Fleet()
    fleet.register(registration("old", 0.0))
    for number, member in enumerate(fleet.entries.values()):
        if number % 3 == 0:
            member.shares.unregistered(f"e{number}", fleet.now_s)
            member.shares.registered(f"e{number}", fleet.now_s)
        elif number % 3 == 1:
            member.current = False
            # It hears of no peer, and so uses a share of its own.
            member.shares._peer_is_current = lambda now_s: False
    fleet.run(6.4, 50.0)
    fleet.prefers = "new"
    start_s = fleet.now_s
    for member in fleet.entries.values():
        member.see(registration("new"), fleet.now_s)
    fleet.running["new"] = TargetStart("new", 1)
    fleet.run(COLD_S, 600.0)
    assert 1 <= fleet.most("new", start_s, start_s + COLD_S) <= fleet.allowed
    assert fleet.rejected == 0


def cold_targets(now_s: float = 10.0, **changes: Any) -> ColdTargets:
    service = Service("app", "/health", 100, None, None, COLD_S, 10.0)
    cold = ColdTargets(COLD, lambda: {"app": service}, Counters())
    cold.note_registration(registration("t", 0.0, **changes), now_s)
    return cold


START = TargetStart("t", 1)


def test_nothing_is_cold_without_the_settings_or_for_services_without_a_limit() -> None:
    """A deployment that doesn't name the bound, and a service that is never cold."""
    service = Service("app", "/health", 100)
    for bounds in (BOUNDS, COLD):
        cold = ColdTargets(bounds, lambda: {"app": service}, Counters())
        assert cold.note_registration(registration("t"), 1.0) == []
        assert cold.note_failure(START, 1.1) == cold.note_evacuation_ended("dc1", 1.1) == []
        assert cold.limit(START, 1.2) is None
        assert cold.cold(1.2) == 0


def test_registration_that_was_refreshed_well_after_a_broken_connection_refutes_it() -> None:
    """A response breaks off, and the target has not restarted."""
    cold = cold_targets()
    (began,) = cold.note_failure(START, 11.0)
    assert (began.number, dict(began.fields)["reason"]) == (LogEvent.TARGET_COLD, "broken")
    cold.note_registration(registration("t", 0.0, refreshes=1), 11.5)
    assert cold.limit(START, 11.6) == 10.0
    repeated = registration("t", 0.0, refreshes=1)
    cold.note_registration(repeated, 11.1 + LATE_REGISTRATION_S)
    assert cold.limit(START, 13.2) == 10.0
    (ended,) = cold.note_registration(registration("t", 0.0, refreshes=2), 13.3)
    assert ended.number == LogEvent.TARGET_WARM
    assert cold.limit(START, 13.4) is None


def test_refused_connection_extends_the_cold_time_and_a_further_broken_one_does_not() -> None:
    """Several calls break at once, and the target is down for longer."""
    cold = cold_targets()
    cold.note_failure(START, 11.0)
    cold.note_failure(START, 12.0)
    assert isinstance(cold.rule(START, 14.1), RampRate)
    cold.note_failure(START, 14.6, refused=True)
    cold.note_failure(START, 16.6, refused=True)
    assert isinstance(cold.rule(START, 19.5), ColdRate)


def test_slow_start_of_a_target_that_was_down_begins_after_it_has_responded() -> None:
    """A target is down for longer than its cold time, and the store is down too."""
    cold = cold_targets()
    cold.note_failure(START, 11.0, refused=True)
    cold.note_response(START, 10.9, 30.0)
    assert cold.limit(START, 33.9) == 10.0
    cold.note_response(START, 34.0, 34.1)
    assert [cold.limit(START, at_s) for at_s in (37.0, 38.6, 40.2)] == [10.0, 20.0, None]


def test_response_to_a_request_from_before_a_broken_connection_refutes_it() -> None:
    """A single response breaks off, and other calls go on; that shows nothing after a refusal."""
    cold = cold_targets()
    cold.note_failure(START, 11.0)
    assert cold.note_response(START, 10.9, 11.1) == []
    assert isinstance(cold.rule(START, 11.1), ColdRate)
    (log,) = cold.note_response(START, 10.9, 11.2)
    assert (log.number, cold.limit(START, 11.3)) == (LogEvent.TARGET_WARM, None)
    cold.note_failure(START, 12.0, refused=True)
    cold.note_response(START, 11.9, 12.5)
    assert isinstance(cold.rule(START, 12.6), ColdRate)
    cold.note_registration(registration("t", 2.5, refreshes=1, started_ms=2), 20.0)
    later = START._replace(started_ms=2)
    cold.note_failure(later, 20.1)
    cold.note_response(later, 20.05, 20.5)
    assert isinstance(cold.rule(later, 20.6), ColdRate)


def test_late_sign_of_an_earlier_start_changes_nothing() -> None:
    """A connection to the earlier start breaks after the later one has registered."""
    cold = cold_targets(started_ms=2)
    assert cold.note_failure(START, 11.0) == []
    assert cold.limit(TargetStart("t", 2), 11.0) is None


def test_cold_time_that_is_too_long_or_negative_is_bounded() -> None:
    """A target names a cold time of a day, in its registration and in a response."""
    cold = cold_targets()
    cold.note_registration(registration("t", 86_400.0, refreshes=1), 11.0)
    assert cold.limit(START, 13.9) == 10.0
    cold.note_cold(START, 86_400.0, 14.5)
    cold.note_cold(START, -1.0, 14.6)
    assert cold.limit(START, 18.0) is None


def test_cold_limit_and_named_rate_both_apply() -> None:
    """A cold target names a rate below what a cold one tolerates, then one above it."""
    fleet = Fleet(size=1)
    fleet.register(registration("new"))
    (member,) = fleet.entries.values()
    fleet.run(0.1, 0.0)
    start = member.targets["new"].start
    member.rates.on_response(start, RequestRate(2.0), fleet.now_s, fleet.now_s)
    assert member.admission.limit(start, fleet.now_s) == 2.0
    fleet.run(2.5, 50.0)
    assert fleet.total("new", 0.0, fleet.now_s) <= 8
    left, *_ = member.targets.values()
    assert member.admission.reject([left], 1, fleet.now_s) is not None


class ColdWorld(LimitedWorld):
    """An entry that is alone in its fleet; its services have cold targets."""

    def __init__(self) -> None:
        super().__init__()
        self.step(BoundsChanged(COLD))
        config = configuration(2)
        services = {
            name: item._replace(cold_start_s=COLD_S, cold_per_s=10.0)
            for name, item in config.services.items()
        }
        self.step(ConfigurationObserved(config._replace(services=services), self.now_s))

    def register(self, left_s: float, started_ms: int) -> None:
        for name in ("a1", "a2"):
            found = entry(name, "app", warmup_left_s=left_s, started_ms=started_ms)
            self.step(TargetObserved(name, found, False))


def test_calls_go_to_other_targets_after_a_broken_connection_and_none_is_rejected() -> None:
    """The connections to a target break while many calls run there."""
    world = ColdWorld()
    world.register(0.0, 2)
    first = [item for _ in range(4) for item in sends(world.arrive("read"))]
    broken = first[0].target_id
    actions = []
    for item in first:
        if item.target_id == broken:
            actions += world.step(SendFailed(item.call_id, item.number, "cut", True, False, None))
        else:
            world.respond(item)
    again = sends(actions)
    later = [item for _ in range(40) for item in sends(world.arrive("read"))]
    # Two failures in a row don't eject the target.
    assert [item.target_id != broken for item in again] == [True, True]
    assert len(later) == 40
    assert sum(item.target_id == broken for item in [*again, *later]) <= 5
    assert world.core.counters.get("calls_diverted", "cold") >= 30
    assert world.core.cold_targets.cold(world.now_s) == 1


def test_calls_that_no_cold_target_can_take_are_rejected_with_spread_retry_times() -> None:
    """All targets of a service have just restarted."""
    world = ColdWorld()
    world.register(COLD_S, 2)
    world.step(BoundsChanged(COLD))
    actions = [action for _ in range(60) for action in world.arrive("read")]
    refused = [item for item in actions if isinstance(item, RespondLocally)]
    assert len(sends(actions)) <= 4
    assert {(item.status, item.code) for item in refused} == {(503, "targets_cold")}
    assert len({item.retry_after_s for item in refused}) > 40


def test_targets_of_a_data_center_count_as_cold_when_its_evacuation_ends() -> None:
    """Nothing ran there during the evacuation; all entries go back to it at the same moment."""
    world = ColdWorld()
    world.register(0.0, 2)
    assert world.core.cold_targets.cold(world.now_s) == 0
    for removed in (False, True):
        world.step(EvacuationObserved("dc1", removed))
    assert world.core.cold_targets.cold(world.now_s) == 2


def test_end_of_the_last_idle_connection_right_after_use_is_reported() -> None:
    """A target ends while no call runs; one with too many connections closes one of several."""
    lost: list[Address] = []
    pool = TargetConnectionPool()
    pool.on_lost = lost.append
    conns = [TargetConnection(Address("10.0.0.1", 80)) for _ in range(3)]
    for conn, idle_s in zip(conns, (4.0, 0.1, 0.1), strict=True):
        pool.release(conn, boot_time_s() - idle_s)
    conns[2].connection_lost(None)
    assert lost == []
    conns[0].usable = False
    conns[0].connection_lost(None)
    conns[1].connection_lost(None)
    assert lost == [Address("10.0.0.1", 80)]
    cold = cold_targets(address=lost[0])
    cold.on_connection_lost(IdleConnectionLost(lost[0]), 11.0)
    assert cold.limit(START, 11.1) == 10.0
    # A registration shows that the target only closes idle connections early.
    cold.note_registration(registration("t", 0.0, refreshes=1, address=lost[0]), 13.1)
    assert cold.on_connection_lost(IdleConnectionLost(lost[0]), 14.0) == []


def test_settings_and_fields_of_the_platform_are_decoded() -> None:
    """The names of the wire format change."""
    service = b'{"name":"s","cold_start_s":3.0,"cold_per_s":14}'
    limits = b'"limits":null,"tenants":null'
    raw = b'{"version":1,"routes":[],"services":[' + service + b"]," + limits + b"}"
    config = decode_configuration(msgspec.Raw(raw)).unwrap()
    found_service = config.services["s"]
    assert (found_service.cold_start_s, found_service.cold_per_s) == (3.0, 14.0)
    spec = b'{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","slots":1,'
    spec += b'"state":"ready","cold_left_ms":1500,"seq":7}'
    found = decode_target("t", msgspec.Raw(spec)).unwrap()
    assert (found.warmup_left_s, found.refreshes) == (1.5, 7)
    assert decode_response(200, [(b"cold-ms", b"1200")]).cold_left_s == 1.2
    assert decode_response(200, [(b"cold-ms", b"soon")]).cold_left_s is None


def test_decisions_without_the_settings_are_those_recorded_before_there_were_any() -> None:
    """Cold registrations, broken connections and named rates, as played by the code before."""
    world, rng = LimitedWorld(), random.Random(7)
    world.limit("a1", 3.0)
    digest = hashlib.sha256()
    for number in range(400):
        world.now_s += rng.uniform(0.0, 0.1)
        if number % 200 < 120:
            world.confirm()
        name = rng.choice(("a1", "a2", "r1", "r2"))
        found = world.core.roster.targets[name].registration
        left_s, started_ms = rng.choice(((0.0, 1), (2.0, 1), (3.0, number)))
        found = found._replace(warmup_left_s=left_s, started_ms=started_ms)
        actions = world.step(TargetObserved(name, found, False)) if number % 50 == 0 else []
        actions += world.arrive(rng.choice(("read", "draft")))
        for item in sends(actions):
            cause, sent = rng.choice((("", True), ("cut", True), ("unreachable", False)))
            failed = SendFailed(item.call_id, item.number, cause, sent, False, None)
            actions += world.step(failed) if cause else world.respond(item, 3.0)
        actions += world.step(Tick())
        kept = [item[:5] for item in actions if isinstance(item, SendCall | RespondLocally)]
        digest.update(repr(kept).encode())
    assert digest.hexdigest()[:16] == "cdf6448d381f55a0"
