"""The outstanding work of a target: each test is a load pattern or a fault of its sources."""

import pytest

from filbertstream.fleet.target_work import INITIAL_TOKEN_S, OutstandingWork
from filbertstream.messages import EntryWork, GroupWork, WorkRow
from filbertstream.process.peer_work import PeerWork
from filbertstream.process.roster import Roster, RosterTarget
from filbertstream.request.call import TargetLoad
from filbertstream.request.work_estimate import WorkEstimate
from tests.test_placement import Runners

SLOTS = 16
LARGE = WorkEstimate(1_000, 400.0, 0.0)
SMALL = WorkEstimate(1_000, 4.0, 0.0)
CALL = WorkEstimate(0, 0.0, 0.1)


class Entry:
    """An entry's state about one target, with reports of peers."""

    def __init__(self) -> None:
        self.peers = PeerWork("e1")
        self.roster = Roster()
        self.roster.peer_work_at = self.peers.peer_work_at
        self.calls = 0
        self.target = self.start(1)

    def start(self, started_ms: int) -> RosterTarget:
        registration = Runners(1).targets[0].registration._replace(started_ms=started_ms)
        return self.roster.put(registration, 0.0)

    def send(self, estimate: WorkEstimate, now_s: float, count: int = 1) -> None:
        for _ in range(count):
            self.calls += 1
            self.target.outstanding += 1
            self.target.work.sent(self.calls, estimate, now_s)

    def work(self, now_s: float, is_runner: bool = True) -> OutstandingWork:
        return self.target.outstanding_work(is_runner, SLOTS, now_s)


def row(runs: int) -> WorkRow:
    return WorkRow("r0", runs, 0, 0)


def test_large_requests_count_like_small_ones() -> None:
    """Two targets run one request each; one gives 4 tokens and the other 400."""
    large, small = Entry(), Entry()
    large.send(LARGE, 1.0)
    small.send(SMALL, 1.0)
    assert large.work(1.0).slot_s == pytest.approx(400 * INITIAL_TOKEN_S / SLOTS)
    assert large.work(1.0).slot_s == pytest.approx(100 * small.work(1.0).slot_s)


def test_decoded_tokens_still_count_and_outlasted_estimates_count_nothing() -> None:
    """A run decodes for most of its expected time, and then four times as long as expected."""
    entry = Entry()
    entry.send(LARGE, 1.0)
    entry.target.work.began(1, 2.0)
    begun_s = entry.work(2.0).slot_s
    assert entry.work(6.0).slot_s == pytest.approx(0.6 * begun_s)
    assert entry.work(42.0).slot_s == pytest.approx(0.25 * begun_s)
    entry.target.work.ended(1)
    entry.target.outstanding -= 1
    assert entry.work(42.0).slot_s == 0.0


def test_same_requests_reported_by_peers_and_the_target_count_twice() -> None:
    """Peers report 6 requests, a relay the same group's sum, and the target 8 with two of ours."""
    entry = Entry()
    entry.send(SMALL, 1.0, 2)
    entry.peers.on_work(EntryWork("e2", (row(2),)), 1.0)
    entry.peers.on_group(GroupWork("e3", (row(4),), True), 1.0)
    assert entry.work(1.0).runs == 8
    entry.target.note_load(TargetLoad(6, 2, SLOTS, 1.0, True), 1.0)
    assert entry.work(1.0).runs == 8


def test_outdated_report_of_the_target_hides_what_peers_have_sent_since() -> None:
    """The target was idle when it reported; peers have sent it ten requests since, or none."""
    entry = Entry()
    entry.target.note_load(TargetLoad(0, 0, SLOTS, 1.0, True), 1.0)
    entry.peers.on_work(EntryWork("e2", (row(10),)), 5.0)
    assert entry.work(1.0).runs < 1
    assert entry.work(5.5).runs > 7


def test_requests_of_silent_peers_count_for_ever() -> None:
    """All peers die. Their last report expires, the target's loses its weight, own work stays."""
    entry = Entry()
    entry.send(SMALL, 1.0, 3)
    entry.peers.on_work(EntryWork("e2", (row(10),)), 1.0)
    entry.target.note_load(TargetLoad(13, 0, SLOTS, 1.0, True), 1.0)
    assert entry.work(1.0).runs == 13
    assert entry.work(60.0).runs == pytest.approx(3, abs=0.2)


def test_requests_sent_before_the_target_reported_its_slowness_are_missing() -> None:
    """A request is under way without an estimate when a target first reports a fourth figure."""
    entry = Entry()
    entry.target.outstanding = 2
    assert entry.work(1.0).runs == 2
    assert entry.work(1.0).slot_s > 0.0


def test_restarted_target_keeps_the_work_of_its_old_start() -> None:
    """A target restarts under the same id; its requests have failed."""
    entry = Entry()
    entry.send(LARGE, 1.0, 5)
    entry.target.note_load(TargetLoad(5, 5, SLOTS, 4.0, True), 1.0)
    entry.target = entry.start(2)
    assert entry.work(1.0) == entry.work(1.0)._replace(prefill_s=0.0, slot_s=0.0, runs=0.0)


def test_slow_vm_has_the_outstanding_work_of_a_usual_one() -> None:
    """The same requests at a VM that works three times slower take three times as long."""
    entry = Entry()
    entry.send(LARGE, 1.0)
    entry.target.prefill.sent(1_000)
    usual = entry.work(1.0)
    entry.target.note_load(TargetLoad(1, 0, SLOTS, 3.0, True), 1.0)
    assert entry.work(1.0).slot_s == pytest.approx(3 * usual.slot_s)
    assert entry.work(1.0).prefill_s == pytest.approx(3 * usual.prefill_s)
    assert entry.work(1.0).full_s == usual.full_s


def test_target_that_is_slow_without_saying_so_counts_as_usual() -> None:
    """Calls take four times their estimate at one target, which reports no slowness."""
    entry = Entry()
    for _ in range(60):
        entry.target.work.note_duration(0.4, 0.1, 1.0)
    entry.send(CALL, 1.0)
    assert entry.work(1.0, False).slot_s == pytest.approx(0.4 / SLOTS, rel=0.02)


@pytest.mark.parametrize(("runs", "waits"), [(SLOTS - 1, False), (SLOTS, True), (3 * SLOTS, True)])
def test_full_target_is_expected_to_start_a_request_at_once(runs: int, waits: bool) -> None:
    """Calls arrive at a target with a free slot, with none, and with a queue of two each."""
    entry = Entry()
    entry.send(CALL, 1.0, runs)
    wait_s = entry.work(1.0, False).slot_wait_s
    assert wait_s == pytest.approx((runs - SLOTS + 1) * 0.1 / SLOTS if waits else 0.0)
