"""The load that targets report in ``Server-Load``, and how long work takes there as reported."""

import pytest

from filbertstream.fleet.facts import decode_rows, encode_rows
from filbertstream.fleet.scope import Scope
from filbertstream.fleet.slowness_facts import SlownessFacts
from filbertstream.platform.headers import decode_response
from filbertstream.process.prefill import INITIAL_RATE_PER_S, RATE_WEIGHT
from filbertstream.process.roster import Roster
from filbertstream.request.call import TargetLoad
from filbertstream.request.placement import estimate
from filbertstream.request.service_placement import place_service_call
from tests.test_placement import Runners


def decoded(value: bytes) -> TargetLoad | None:
    return decode_response(200, [(b"server-load", value)]).load


@pytest.mark.parametrize(
    ("value", "slowness"),
    [(b"5,2,16,250", 2.5), (b"5, 2, 16, 100", 1.0), (b"5,2,16,62.5", 0.625), (b"5,2,16,80,7", 0.8)],
)
def test_load_with_a_fourth_figure_is_read(value: bytes, slowness: float) -> None:
    """A deployment reports the slowness of a VM; the whole report was discarded."""
    assert decoded(value) == TargetLoad(5, 2, 16, slowness, True)


@pytest.mark.parametrize(
    "fourth", [b"", b"x", b"-5", b"0", b"0.0", b"nan", b"inf", b"1e3", b"\xff", b"9" * 400, b"x,9"]
)
def test_odd_fourth_figure_discards_the_first_three(fourth: bytes) -> None:
    """A target reports a slowness that is no positive number; its counts still hold."""
    assert decoded(b"5,2,16," + fourth) == TargetLoad(5, 2, 16)


@pytest.mark.parametrize("value", [b"", b"5,2", b"5,x,16,250", b"-1,2,16,250", b"5,2,4294967296,9"])
def test_odd_counts_are_taken_for_a_load(value: bytes) -> None:
    """The first three figures are not counts; what follows them doesn't make them usable."""
    assert decoded(value) is None


def test_load_of_three_figures_counts_as_a_report_of_the_slowness() -> None:
    """Most targets report three figures; nothing may change for them."""
    assert decoded(b"5,2,16") == TargetLoad(5, 2, 16, 1.0, False)


def test_slow_runner_gets_as_many_prompts_as_the_others() -> None:
    """One VM among six becomes three times slower, with the same short queue as the others."""
    runners = Runners(6)
    for target in runners.targets:
        runners.queue(target, 4_000)
    slow = runners.targets[0]
    assert {runners.place((), turn) for turn in range(6)} >= {slow.target_id}
    slow.note_load(TargetLoad(1, 0, 64, 3.0, True), 1.0)
    assert slow.target_id not in {runners.place((), turn) for turn in range(6)}
    placement = estimate(runners.request(()), slow, runners.cache_view, False, 1.0)
    assert placement.queue_s == pytest.approx(3.0 * 4_000 / INITIAL_RATE_PER_S)
    assert placement.first_event_s == pytest.approx(3.0 * 4_500 / INITIAL_RATE_PER_S)


def test_slow_service_target_gets_as_many_calls_as_the_others() -> None:
    """Two equally loaded targets, one of which reports a slow VM."""
    targets = Runners(2).targets
    for target in targets:
        target.latency_s = 0.2
    targets[0].note_load(TargetLoad(0, 0, 64, 2.0, True), 1.0)
    assert place_service_call(targets, "dc1", 1.0, 1.0) is targets[1]


def test_report_of_a_second_ago_still_diverts_work() -> None:
    """A VM was slow for a moment and has had no request since, so there is no newer report."""
    target = Runners(1).targets[0]
    target.note_load(TargetLoad(1, 0, 64, 4.0, True), 1.0)
    assert target.slowness(1.0) == 4.0
    assert 1.0 <= target.slowness(2.0) < 1.06


def test_single_odd_report_diverts_all_work() -> None:
    """Reports change many times a second and are noisy: one of them names a wrong value."""
    target = Runners(1).targets[0]
    for step in range(20):
        target.note_load(TargetLoad(1, 0, 64, 1.0, True), 1.0 + 0.01 * step)
    target.note_load(TargetLoad(1, 0, 64, 1e9, True), 1.2)
    assert 1.0 < target.slowness(1.2) < 2.0


@pytest.mark.parametrize(("value", "bound"), [(1e9, 8.0), (1e-9, 0.25)])
def test_wrong_report_counts_in_full(value: float, bound: float) -> None:
    """A target always reports a value that no VM can have."""
    target = Runners(1).targets[0]
    target.note_load(TargetLoad(1, 0, 64, value, True), 1.0)
    assert target.slowness(1.0) == pytest.approx(bound)


def test_lasting_slowness_counts_twice() -> None:
    """A VM is slow for minutes: the observed prefill rate shows it as well as the reports."""
    target = Runners(1).targets[0]
    for step in range(100):
        now_s = 1.0 + step
        target.note_load(TargetLoad(1, 0, 64, 2.5, True), now_s)
        target.prefill.sent(10_000)
        if target.prefill.responded(10_000, 0, 2.5 * 10_000 / INITIAL_RATE_PER_S):
            target.reported_slowness.note_observed(RATE_WEIGHT)
    expected_s = 10_000 / target.prefill.rate_per_s * target.slowness(100.0)
    assert expected_s == pytest.approx(2.5 * 10_000 / INITIAL_RATE_PER_S, rel=0.01)


def test_restarted_target_keeps_its_slowness() -> None:
    """A target restarts on another VM under the same id; its old reports say nothing."""
    roster = Roster()
    registration = Runners(1).targets[0].registration
    roster.put(registration, 1.0).note_load(TargetLoad(1, 0, 64, 4.0, True), 1.0)
    assert roster.put(registration._replace(started_ms=2), 1.0).slowness(1.0) == 1.0


def exchange(rosters: dict[str, Roster], now_s: float, passed: Scope = Scope.LOCAL) -> int:
    """Pass the first entry's reports on to the second; return the size of the message."""
    sender, receiver = (SlownessFacts(roster) for roster in rosters.values())
    data = encode_rows(sender.rows(passed, now_s))
    receiver.take(decode_rows("slowness", data), Scope(passed + 1), now_s)
    return len(bytes(data))


def two_rosters(targets: int) -> dict[str, Roster]:
    rosters = {"e1": Roster(), "e2": Roster()}
    for roster in rosters.values():
        for target in Runners(targets).targets:
            roster.put(target.registration, 0.0)
    return rosters


def test_entry_without_responses_of_a_slow_target_takes_it_for_a_usual_one() -> None:
    """65 entries: a peer has just got a report, this entry got none for many seconds."""
    rosters = two_rosters(2)
    known, unknown = (roster.targets["r0"] for roster in rosters.values())
    known.note_load(TargetLoad(1, 0, 64, 4.0, True), 1.0)
    exchange(rosters, 1.1)
    assert unknown.slowness(1.1) == pytest.approx(known.slowness(1.1), rel=0.01)
    assert unknown.slowness(2.2) < 1.05


def test_passed_on_reports_become_newer_or_replace_newer_ones() -> None:
    """A report arrives late and by several ways, and reports of a restarted target arrive."""
    rosters = two_rosters(1)
    sender, receiver = (roster.targets["r0"] for roster in rosters.values())
    sender.note_load(TargetLoad(1, 0, 64, 4.0, True), 1.0)
    exchange(rosters, 1.2)
    first = receiver.slowness(1.2)
    exchange(rosters, 1.2)
    assert receiver.slowness(1.2) == first
    receiver.note_load(TargetLoad(1, 0, 64, 1.0, True), 1.3)
    own = receiver.slowness(1.3)
    exchange(rosters, 1.3)
    assert receiver.slowness(1.3) == own
    restarted = rosters["e2"].put(receiver.registration._replace(started_ms=2), 1.3)
    exchange(rosters, 1.3)
    assert restarted.slowness(1.3) == 1.0


def test_reports_of_peers_are_passed_back_as_own_ones() -> None:
    """A follower would tell its relay what the relay has told it, for ever."""
    rosters = two_rosters(1)
    rosters["e1"].targets["r0"].note_load(TargetLoad(1, 0, 64, 4.0, True), 1.0)
    exchange(rosters, 1.0)
    facts = SlownessFacts(rosters["e2"])
    assert [facts.rows(scope, 1.1) != [] for scope in Scope] == [False, True, True]
    assert SlownessFacts(rosters["e1"]).rows(Scope.FLEET, 2.0) == []


def test_message_grows_with_the_fleet_and_usual_targets_are_reported() -> None:
    """740 slow targets, and one that works as usual; 400 bytes five times a second are 2 KB."""
    rosters = two_rosters(740)
    for target in rosters["e1"].targets.values():
        target.note_load(TargetLoad(1, 0, 64, 4.0, True), 1.0)
    assert exchange(rosters, 1.0) < 400
    usual = two_rosters(1)
    usual["e1"].targets["r0"].note_load(TargetLoad(1, 0, 64, 1.1, True), 1.0)
    assert SlownessFacts(usual["e1"]).rows(Scope.LOCAL, 1.0) == []
    assert SlownessFacts(usual["e1"]).changes == 0


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, 0.0, 1e300])
def test_odd_report_of_a_peer_ends_the_entry(value: float) -> None:
    """A peer passes on a value that no VM can have."""
    target = Runners(1).targets[0]
    target.reported_slowness.note_peer(value, 0.0, Scope.FLEET, 1.0)
    assert 0.25 <= target.slowness(1.0) <= 8.0
