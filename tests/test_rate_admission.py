"""What an entry does with the rates that targets name: what it believes and what it sends."""

from typing import Any

import pytest

from filbertstream.fleet.scope import Scope
from filbertstream.gateway_events import (
    ConfigurationObserved,
    EntriesConfirmed,
    EntryObserved,
    PeerMessage,
    TargetObserved,
)
from filbertstream.log_events import LogEvent
from filbertstream.messages import EntryWork, FleetWork, RateRow
from filbertstream.platform.headers import decode_response
from filbertstream.process.counters import Counters
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.rate_shares import SETTLE_S
from filbertstream.process.request_rates import ENDED_KEPT_S, MAX_ROWS, RequestRates
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.call import RequestRate, TargetNotice
from filbertstream.request.call_events import (
    RespondLocally,
    ResponseComplete,
    ResponseStarted,
    SendCall,
    SendFailed,
)
from filbertstream.request.load_shedding import RETRY_MAX_S, RETRY_MIN_S
from filbertstream.version.rollout import OrderResponse, ReportReceived
from tests.gateway_world import (
    RUNNERS,
    World,
    configuration,
    entry,
    response_head,
    sends,
    statuses,
)
from tests.helpers import rev

START = TargetStart("t", 1)
NAMED, FREE = RequestRate(2.0), RequestRate()


def rates() -> RequestRates:
    return RequestRates(Counters())


class LimitedWorld(World):
    """An entry that is alone in its fleet and has a share of every target's rate."""

    def __init__(self) -> None:
        super().__init__()
        self.step(EntryObserved("e1", EntryRecord("tcp://e1", 1), rev(1)))
        self.now_s += SETTLE_S
        self.confirm()

    def confirm(self) -> None:
        super().confirm()
        self.step(EntriesConfirmed(self.now_s))

    def respond(self, send: SendCall, per_s: float | None = None, **changes: Any) -> list[Any]:
        rate = RequestRate(per_s)
        head = response_head(request_rate=rate, **changes)
        actions = self.step(ResponseStarted(send.call_id, send.number, head))
        if head.status == 200:
            actions += self.step(ResponseComplete(send.call_id, send.number, 1))
        return actions

    def limit(self, name: str, per_s: float) -> None:
        start = self.core.roster.targets[name].start
        row = RateRow(start.target_id, start.started_ms, per_s, 0.0)
        self.step(PeerMessage(EntryWork("e2", (), True, (row,))))

    def sent_to(self, name: str, calls: int, kind: str = "read") -> int:
        """Submit calls, each of which gets its response, and return how many a target got."""
        sent = [item for _ in range(calls) for item in sends(self.arrive(kind))]
        for item in sent:
            self.respond(item, self.core.request_rates.limit(self._start(item.target_id)))
        return sum(1 for item in sent if item.target_id == name)

    def _start(self, name: str) -> TargetStart:
        return self.core.roster.targets[name].start


@pytest.mark.parametrize(
    "value", [b"-1", b"nan", b"1e400", b"inf", b"two", b"", b"2, 3", b"9" * 400, b"\xff", b"0x2"]
)
def test_malformed_rate_changes_nothing_and_loses_nothing(value: bytes) -> None:
    """A target names a rate that is no decimal number, with and without a limit in force."""
    head = decode_response(200, [(b"server-limit", value), (b"request-id", b"q1")])
    assert head.request_rate == RequestRate(None, malformed=True)
    assert head.request_id == "q1"
    known = rates()
    known.on_response(START, NAMED, 1.0, 1.1)
    (log,) = known.on_response(START, head.request_rate, 2.0, 2.1)
    assert log.number == LogEvent.RATE_MALFORMED
    assert known.limit(START) == 2.0


def test_rate_that_is_named_twice_in_a_head_is_malformed() -> None:
    """Which of the values is meant can't be known."""
    head = decode_response(200, [(b"server-limit", b"2"), (b"server-limit", b"3")])
    assert head.request_rate.malformed
    assert decode_response(200, [(b"server-limit", b" 2.25 ")]).request_rate == RequestRate(2.25)
    assert decode_response(200, []).request_rate == RequestRate()


def test_response_that_was_overtaken_neither_ends_nor_raises_a_limit() -> None:
    """Responses on different connections arrive in another order than they were made."""
    known = rates()
    known.on_response(START, NAMED, 1.0, 2.0)
    known.on_response(START, FREE, 0.5, 2.1)
    known.on_response(START, RequestRate(9.0), 1.5, 2.2)
    assert known.limit(START) == 2.0
    known.on_response(START, RequestRate(9.0), 2.5, 2.6)
    assert known.limit(START) == 9.0
    known.on_response(START, FREE, 3.0, 3.1)
    assert known.limit(START) is None


def test_limit_holds_until_a_response_shows_otherwise() -> None:
    """No request goes to the target for minutes."""
    known = rates()
    known.on_response(START, NAMED, 1.0, 1.1)
    known.expire({START}, 900.0)
    assert known.limit(START) == 2.0
    known.expire(set(), 900.0)
    assert known.limit(START) is None


def test_another_start_of_a_target_has_no_limit_yet() -> None:
    """A target restarts under its id, and a late response of the earlier start arrives."""
    known = rates()
    known.on_response(START, NAMED, 1.0, 1.1)
    assert known.limit(START._replace(started_ms=2)) is None
    known.on_response(START._replace(started_ms=2), NAMED, 5.0, 5.1)
    known.on_response(START, FREE, 6.0, 6.1)
    assert known.limit(START._replace(started_ms=2)) == 2.0


def test_late_report_of_an_end_does_not_end_a_limit_that_was_named_since() -> None:
    """A peer's report of the end is delayed on its way."""
    known = rates()
    known.on_response(START, NAMED, 9.0, 10.0)
    known.on_report((RateRow("t", 1, None, 0.2),), Scope.GROUP, 10.9)
    assert known.limit(START) == 2.0
    known.on_report((RateRow("t", 1, None, 0.2),), Scope.GROUP, 12.0)
    assert known.limit(START) is None


def test_reports_hold_only_what_the_sender_has_seen_itself() -> None:
    """Otherwise two entries would tell each other for ever that a limit is in force."""
    first, second = rates(), rates()
    first.on_response(START, NAMED, 1.0, 1.1)
    second.on_report(first.report(Scope.LOCAL, 2.0), Scope.GROUP, 2.0)
    assert second.limit(START) == 2.0
    assert not second.report(Scope.LOCAL, 2.0)
    assert second.report(Scope.GROUP, 2.0) == (RateRow("t", 1, 2.0, 0.9),)
    first.on_response(START, FREE, 3.0, 3.1)
    second.on_report(first.report(Scope.LOCAL, 5.0), Scope.GROUP, 5.0)
    assert second.limit(START) is None
    first.expire({START}, 3.2 + ENDED_KEPT_S)
    assert not first.report(Scope.LOCAL, 40.0)


def test_many_limits_fit_into_one_report() -> None:
    """All of thousands of targets name a limit."""
    known = rates()
    for number in range(5_000):
        known.on_response(TargetStart(f"t{number}", 1), NAMED, 1.0, 1.0 + number / 1_000)
    rows = known.report(Scope.FLEET, 10.0)
    assert len(rows) <= MAX_ROWS
    assert rows[0].target == "t4999"


def test_response_of_a_target_at_a_reused_address_speaks_for_that_target() -> None:
    """The address of a target that left belongs to another one by now."""
    world = LimitedWorld()
    (send,) = sends(world.arrive("read"))
    other = entry("a2" if send.target_id == "a1" else "a1", "app", address=send.address)
    world.step(TargetObserved(other.target_id, other, False))
    world.respond(send, 2.0, status=421, not_run=True, target_id=other.target_id)
    limited = {start.target_id for start in world.core.request_rates.limited()}
    assert limited == {other.target_id}


# A target could limit, pause or retire any other one by naming it in its responses.
def test_response_that_names_a_target_at_another_address_says_nothing() -> None:
    world = LimitedWorld()
    (send,) = sends(world.arrive("read"))
    other = "a2" if send.target_id == "a1" else "a1"
    notice = TargetNotice(pause_s=99.0, leaving=True)
    world.respond(send, 2.0, status=503, not_run=True, target_id=other, notice=notice)
    assert not world.core.request_rates.limited()
    roster = world.core.roster
    assert roster.notices.admits(roster.targets[other].start, world.now_s)


@pytest.mark.parametrize("status", [200, 500, 503])
def test_every_response_that_names_a_limit_counts(status: int) -> None:
    """The target serves the request, fails, or rejects it."""
    world = LimitedWorld()
    (send,) = sends(world.arrive("read"))
    world.respond(send, 0.5, status=status, not_run=status == 503)
    start = world.core.roster.targets[send.target_id].start
    assert world.core.request_rates.limit(start) == 0.5


def test_only_a_response_of_the_service_ends_a_limit() -> None:
    """Rejections, unsigned responses, and responses to reports and orders name no limit."""
    world = LimitedWorld()
    for name in ("a1", "a2", "r1"):
        world.limit(name, 5.0)
    world.run(5.0)
    for changes in ({"status": 503, "not_run": True}, {"status": 502, "signed": False}):
        (send,) = sends(world.arrive("read"))
        world.respond(send, None, **changes)
    world.step(ReportReceived("r1", 0, False, {"m": 1}, world.now_s))
    world.step(OrderResponse("r1", 202, world.now_s))
    assert len(world.core.request_rates.limited()) == 3
    world.run(3.0)
    (send,) = sends(world.arrive("read"))
    world.now_s += 0.1
    world.respond(send, None)
    assert len(world.core.request_rates.limited()) == 2


def test_calls_beyond_the_rate_go_to_other_targets_at_once() -> None:
    """One of two targets names a limit; prompts share a prefix that only the limited one holds."""
    world = LimitedWorld()
    (send,) = sends(world.arrive("draft"))
    world.respond(send)
    first = send.target_id
    other = "r2" if first == "r1" else "r1"
    world.limit(first, 0.5)
    world.run(10.0)
    placed = [item for _ in range(10) for item in sends(world.arrive("draft"))]
    assert [item.target_id for item in placed].count(first) <= 1
    assert {item.target_id for item in placed[1:]} == {other}
    assert len(placed) == 10
    address = str(world.core.roster.targets[first].registration.address)
    assert any(address in item.cache.fetch for item in placed if item.cache is not None)


def test_call_that_no_rate_has_room_for_is_refused_at_once_as_not_run() -> None:
    """All targets of a service name a limit, and more calls come than they accept."""
    world = LimitedWorld()
    for name in ("a1", "a2"):
        world.limit(name, 1.0)
    world.run(5.0)
    waits = []
    for _ in range(30):
        for action in world.arrive("read"):
            if isinstance(action, RespondLocally):
                assert (action.status, action.code) == (503, "rate_limited")
                waits.append(action.retry_after_s or 0.0)
    assert 25 <= len(waits) < 30
    assert min(waits) >= RETRY_MIN_S
    assert max(waits) > 2.0 * min(waits)
    assert max(waits) <= 1.5 * RETRY_MAX_S
    assert not world.core.forwarding.calls.keys() - {1, 2, 3, 4, 5}


def test_every_send_counts_whatever_its_cause() -> None:
    """First sends, retries after failures, and sends that the target rejects."""
    world = LimitedWorld()
    for name in ("a1", "a2"):
        world.limit(name, 2.0)
    world.run(5.0)
    sent = 0
    for number in range(200):
        world.now_s += 0.02
        world.confirm()
        queue = sends(world.arrive("read"))
        while queue:
            send = queue.pop()
            sent += 1
            if number % 2:
                queue += sends(world.respond(send, 2.0, status=503, not_run=True))
            else:
                failed = SendFailed(send.call_id, send.number, "cut", True, False, None)
                queue += sends(world.step(failed))
    assert 14 <= sent <= 2 * (2.0 * 4.0 + 2.25)


def test_sends_before_a_limit_was_known_count_against_its_first_window() -> None:
    """A target names a limit while it gets far more requests than that."""
    world = LimitedWorld()
    assert world.sent_to("a1", 40) >= 10
    world.limit("a1", 2.0)
    first_s = world.now_s
    while not world.sent_to("a1", 3):
        world.run(0.1)
    assert world.now_s - first_s >= 3.0


def test_leader_calls_a_limited_runner_rarely() -> None:
    """Weights are named while a runner limits its rate; reports and orders count at the runner."""
    world = LimitedWorld()
    world.limit("r1", 1.0)
    admission = world.core.rate_admission
    target = world.core.roster.targets["r1"]
    made = sum(admission.may_call(target, world.now_s + number / 20) for number in range(80))
    assert made == 2
    assert admission.may_call(world.core.roster.targets["r2"], world.now_s)


def test_rates_in_responses_to_reports_and_orders_are_known() -> None:
    """A runner names its limit only in responses to the leader."""
    world = LimitedWorld()
    at_s = world.now_s
    world.step(ReportReceived("r1", 0, False, {"m": 1}, at_s, RequestRate(3.0)))
    world.step(OrderResponse("r2", 202, at_s, RequestRate(4.0)))
    limited = world.core.request_rates.limited()
    assert {start.target_id: rate for start, rate in limited.items()} == {"r1": 3.0, "r2": 4.0}


def test_urgent_calls_come_first_and_no_kind_gets_nothing() -> None:
    """Two kinds of calls at four times the permitted rate; one is more urgent."""
    world = LimitedWorld()
    for name in ("a1", "a2"):
        world.limit(name, 2.0)
    config = configuration(2)
    priority = {"read": 0, "open": 5}
    routes = tuple(item._replace(priority=priority.get(item.name, 1)) for item in config.routes)
    world.step(ConfigurationObserved(config._replace(routes=routes), world.now_s))
    world.run(5.0)
    served = {"read": 0, "open": 0}
    for number in range(600):
        world.now_s += 0.1
        world.confirm()
        for name in ("open", "read"):
            sent = sends(world.arrive(name)) if number % 2 else []
            served[name] += len(sent)
            for item in sent:
                world.respond(item, 2.0)
    total = sum(served.values())
    assert 0.85 * 4.0 * 60.0 <= total <= 4.0 * 60.0 + 5.0
    assert served["read"] > 1.5 * served["open"]
    assert served["open"] > 0.15 * total


def test_permitted_rate_is_used_while_other_targets_are_free() -> None:
    """The limited target stays in use."""
    world = LimitedWorld()
    world.limit("a1", 5.0)
    world.run(5.0)
    got = 0
    for _ in range(400):
        world.now_s += 0.05
        world.confirm()
        got += world.sent_to("a1", 1)
    assert 0.8 * 5.0 * 20.0 <= got <= 5.0 * 20.0 + 5.0


def test_limit_passed_on_by_a_relay_is_kept_and_its_end_ends_it() -> None:
    """A follower that never sends to the target itself."""
    world = LimitedWorld()
    row = RateRow("r1", RUNNERS[0].started_ms, 2.0, 0.4)
    world.step(PeerMessage(FleetWork("relay", (), True, (row,))))
    assert world.core.request_rates.limit(RUNNERS[0].start) == 2.0
    assert not world.core.request_rates.report(Scope.GROUP, world.now_s)
    world.run(3.0)
    world.step(PeerMessage(FleetWork("relay", (), True, (row._replace(per_s=None, age_s=0.5),))))
    assert world.core.request_rates.limit(RUNNERS[0].start) is None


def test_restarted_target_is_used_without_the_limit_of_its_earlier_start() -> None:
    """A target restarts under its id."""
    world = LimitedWorld()
    world.limit("a1", 0.0)
    world.run(1.0)
    assert world.sent_to("a1", 6) <= 1
    again = world.core.roster.targets["a1"].registration._replace(started_ms=2)
    world.step(TargetObserved("a1", again, False))
    assert world.sent_to("a1", 6) >= 2
    assert statuses(world.arrive("read")) == []


def test_entry_without_peers_never_sends_to_a_target_that_has_named_a_limit() -> None:
    """An entry has no peer port, and both targets of a service name a limit."""
    world = World(peer_address="")
    limits = {"a1": RequestRate(2.0), "a2": RequestRate(2.0)}
    arrivals = dict.fromkeys(limits, 0)
    for step in range(300):
        world.run(0.1)
        world.step(EntriesConfirmed(world.now_s))
        for send in sends(world.arrive("read")):
            head = response_head(request_rate=limits[send.target_id])
            world.step(ResponseStarted(send.call_id, send.number, head))
            world.step(ResponseComplete(send.call_id, send.number, 1))
            arrivals[send.target_id] += step >= 100
    # 20 s at 2 a second, with the burst of one window.
    assert all(20 <= count <= 40 + 5 for count in arrivals.values())
