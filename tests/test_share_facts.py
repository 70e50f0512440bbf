"""What entries tell one another of workspaces above their fair share.

Failures guarded against: a workspace whose calls all reach one entry counts as small or as large
because of that; work that is counted twice after a change of relay, or for ever; messages that grow
with the workspaces or the fleet; a peer's nonsense that decides who is held back.
"""

import math

import pytest

from filbertstream.fleet.facts import FactExchange, encode_rows
from filbertstream.fleet.scope import Scope
from filbertstream.fleet.share_facts import (
    MAX_REPORTS,
    REPORT_MAX_AGE_S,
    ServiceShares,
    ShareFacts,
    ShareRow,
)
from filbertstream.process.counters import Counters
from filbertstream.request.recent_demand import Asked, CapacityShares, ShareEstimate


def entry(name: str, share: float = 0.0, total: float = 0.0, **work: float) -> ShareFacts:
    """Return an entry that has seen calls itself."""
    local = {"s": ServiceShares(share, total, work)} if total else {}
    return ShareFacts(name, lambda now_s: local)


def tell(sender: ShareFacts, receiver: ShareFacts, scope: Scope, now_s: float = 0.0) -> None:
    received = Scope.GROUP if scope is Scope.LOCAL else Scope.FLEET
    receiver.take(sender.rows(scope, now_s), received, now_s)


def test_relays_sum_the_reports_of_all_entries_once() -> None:
    """Two groups of followers; a report that comes twice must not count twice."""
    relays = [entry("r1"), entry("r2")]
    followers = [entry(f"e{number}", 10.0, 50.0, big=30.0) for number in range(6)]
    for _ in range(2):
        for number, follower in enumerate(followers):
            tell(follower, relays[number % 2], Scope.LOCAL)
        tell(relays[0], relays[1], Scope.GROUP)
        tell(relays[1], relays[0], Scope.GROUP)
        tell(relays[0], followers[0], Scope.FLEET)
    expected = ServiceShares(60.0, 300.0, {"big": 180.0})
    assert relays[1].fleet("s", 0.0) == expected
    assert followers[0].fleet("s", 0.0) == expected


def test_reports_of_lost_entries_expire_and_none_goes_in_a_circle() -> None:
    """Two entries take each other for a relay, and their only reporter is lost."""
    first, second, reporter = entry("e1"), entry("e2"), entry("e3", 10.0, 50.0, big=30.0)
    tell(reporter, first, Scope.LOCAL)
    now_s = 0.0
    while now_s < 2 * REPORT_MAX_AGE_S + 1.0:
        tell(first, second, Scope.FLEET, now_s)
        tell(second, first, Scope.FLEET, now_s)
        now_s += 0.5
    assert first.fleet("s", now_s) is None
    assert second.fleet("s", now_s) is None


def test_an_entry_that_is_counted_by_two_relays_gets_no_further_share() -> None:
    """A follower changes its relay, and the previous one still has its report."""
    relays, moved = [entry("r1"), entry("r2")], entry("e1", 10.0, 50.0, big=30.0)
    before = entry("e2", 10.0, 50.0, big=30.0)
    tell(before, relays[0], Scope.LOCAL)
    for relay in relays:
        tell(moved, relay, Scope.LOCAL)
    tell(relays[1], relays[0], Scope.GROUP)
    known = relays[0].fleet("s", 0.0)
    assert known is not None
    assert known.work["big"] / known.share == 3.0


def test_reports_stay_below_two_kilobytes_and_their_number_is_bounded() -> None:
    """Load pattern: 35,000 workspaces with long names, ten services, more entries than allowed."""
    work = {f"{number:040}": 1.0 + number for number in range(35_000)}
    local = {f"service{number:033}": ServiceShares(1.0, 1e9, work) for number in range(10)}
    sender = ShareFacts("e" * 40, lambda now_s: local)
    assert len(encode_rows(sender.rows(Scope.LOCAL, 0.0))) < 2_000
    receiver = entry("e1")
    for number in range(2 * MAX_REPORTS):
        tell(entry(f"x{number}", 1.0, 1.0, w=1.0), receiver, Scope.LOCAL)
    known = receiver.fleet("s", 0.0)
    assert known is not None
    assert known.total <= MAX_REPORTS


@pytest.mark.parametrize(
    "row",
    [
        ShareRow("e2", 0, "s", "w", math.nan, 1.0),
        ShareRow("e2", 0, "s", "w", -5.0, 1.0),
        ShareRow("e2", 0, "s", "w", 1.0, math.inf),
        ShareRow("e2", 9, "s", "w", 1.0, 1.0),
        ShareRow("e2", 0, "s", "w" * 10_000, 1.0, 1.0),
        ShareRow("e1", 0, "s", "w", 1.0, 1.0),
    ],
)
def test_rows_that_make_no_sense_are_ignored(row: ShareRow) -> None:
    """A peer is broken, or an own message comes back."""
    receiver = entry("e1")
    receiver.take([row], Scope.GROUP, 0.0)
    assert receiver.fleet("s", 0.0) is None


def test_builds_without_the_kind_ignore_it() -> None:
    """During an upgrade an old build, or an entry without the setting, gets reports."""
    rows = encode_rows(entry("e2", 10.0, 50.0, big=30.0).rows(Scope.LOCAL, 0.0))
    counters = Counters()
    assert FactExchange({}, counters).take({"shares": rows}, Scope.GROUP, 0.0) == []
    assert counters.snapshot() == {}


def test_shares_follow_from_the_fleet_and_without_peers_from_what_the_entry_sees() -> None:
    """All calls of a small workspace reach one entry, where it seems to be far above its share."""
    reported: list[ShareEstimate] = []
    shares = CapacityShares(lambda workspace, now_s: reported[0] if reported else None)
    for number in range(100):
        asked = Asked("other" if number % 10 == 0 else "sticky", "k", 0, 100, 100.0)
        shares.note_arrival(asked, 1.0)
        if number % 2 == 0:
            shares.note_served(asked, 1.0)
    assert shares.over_share("sticky", 1.0) > 2.0
    reported.append(ShareEstimate(0.0, 20_000.0, 900_000.0))
    assert shares.over_share("sticky", 1.0) < 0.5
