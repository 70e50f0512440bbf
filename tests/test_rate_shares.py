"""Shares of a target's request rate among entries whose views of the fleet differ."""

import math
from collections.abc import Iterable

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bench.arrivals import allowed
from filbertstream.fleet.cold_targets import OLD_VIEW_FRACTION as COLD_OLD_VIEW_FRACTION
from filbertstream.fleet.cold_targets import ColdRate
from filbertstream.process.rate_shares import (
    MIN_PER_S,
    OLD_VIEW_FRACTION,
    SETTLE_S,
    VIEW_MAX_AGE_S,
    WINDOW_S,
    RateShares,
    Share,
    burst,
)

RATES = (0.0, 0.3, 1.0, 2.1, 7.5, 60.0)
SLACK = 1e-9


def settled(names: Iterable[str], local_name: str, now_s: float = 100.0) -> RateShares:
    """Return the shares of an entry that has known the same fleet for long."""
    shares = RateShares(local_name)
    for name in names:
        shares.registered(name, now_s - 2 * SETTLE_S)
    shares.confirmed(now_s)
    return shares


def names_of(size: int) -> list[str]:
    return [f"e{number}" for number in range(size)]


@pytest.mark.parametrize("size", [1, 6, 24, 195])
@pytest.mark.parametrize("per_s", RATES)
def test_shares_of_a_small_rate_are_held_by_few_entries_and_add_up_to_it(
    size: int, per_s: float
) -> None:
    """Load pattern: 195 entries and a target that accepts two requests a second."""
    names = names_of(size)
    shares = [settled(names, name).share("t", per_s, 100.0) for name in names]
    held = [share for share in shares if share.per_s]
    assert len(held) == shares[0].holders == min(size, max(1, int(burst(per_s))))
    assert math.isclose(sum(share.per_s for share in held), max(MIN_PER_S, per_s))
    assert all(share.burst >= 1.0 for share in held)


def test_entry_with_an_old_view_has_no_share_while_a_peer_is_current() -> None:
    """The object store responds to some entries only, and the fleet changes."""
    peer_is_current = True
    shares = RateShares("e0", lambda now_s: peer_is_current)
    shares.registered("e0", 0.0)
    shares.confirmed(SETTLE_S)
    assert shares.share("t", 2.0, SETTLE_S).per_s > 0.0
    old_s = SETTLE_S + VIEW_MAX_AGE_S + 0.1
    assert shares.share("t", 2.0, old_s).per_s == 0.0
    peer_is_current = False
    assert 0.0 < shares.share("t", 2.0, old_s).per_s <= OLD_VIEW_FRACTION * 2.0


def test_share_of_an_entry_that_left_is_taken_over_only_after_older_views_have_expired() -> None:
    """The registration of an entry that goes on with its view is removed."""
    names = names_of(6)
    entries = {name: settled(names, name) for name in names}
    holder = next(name for name in names if entries[name].share("t", 1.0, 100.0).per_s)
    for name, shares in entries.items():
        if name != holder:
            shares.unregistered(holder, 100.0)
            shares.confirmed(100.0 + SETTLE_S)
            assert shares.share("t", 1.0, 99.9 + SETTLE_S).per_s == 0.0
    rest = [shares for name, shares in entries.items() if name != holder]
    assert sum(shares.share("t", 1.0, 100.0 + SETTLE_S).per_s for shares in rest) == 1.0


def test_targets_have_different_holders() -> None:
    """Load pattern: all targets of a service limit their rate."""
    names = names_of(8)
    entries = {name: settled(names, name) for name in names}
    targets = [f"t{number}" for number in range(12)]
    holding = [
        name
        for name, shares in entries.items()
        if any(shares.share(target, 2.1, 100.0).per_s for target in targets)
    ]
    assert len(holding) >= 6


def test_entry_that_stops_or_has_just_started_has_no_share() -> None:
    """A restart, in the middle of which the earlier process may have used its share."""
    shares = RateShares("e0")
    shares.confirmed(0.0)
    assert shares.share("t", 2.0, 0.0).per_s == 0.0
    shares.registered("e0", 1.0)
    shares.confirmed(SETTLE_S)
    assert shares.share("t", 2.0, SETTLE_S).per_s == 0.0
    assert shares.share("t", 2.0, 1.0 + SETTLE_S).per_s > 0.0
    shares.stop()
    assert shares.share("t", 2.0, 1.0 + SETTLE_S).per_s == 0.0


class TruthAndViews(RuleBasedStateMachine):
    """Entries that join, leave, restart, and lose the object store or their registration.

    ``registered`` is what the object store holds; each entry's view is a copy of it from the time
    of its last confirmation.
    """

    @initialize(size=st.integers(1, 5), per_s=st.sampled_from(RATES))
    def start(self, size: int, per_s: float) -> None:
        self.now_s, self.per_s, self.last = 100.0, per_s, 0
        self.registered: set[str] = set()
        self.entries: dict[str, RateShares] = {}
        self.views: dict[str, set[str]] = {}
        self.cut: set[str] = set()
        for _ in range(size):
            self.join()
        self.wait(2 * SETTLE_S)

    @rule()
    def join(self) -> None:
        self.last += 1
        name = f"e{self.last}"
        self.registered.add(name)
        self.entries[name], self.views[name] = RateShares(name), set()
        self._confirm(name)

    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        if len(self.entries) > 1:
            name = data.draw(st.sampled_from(sorted(self.entries)))
            self.registered.discard(name)
            del self.entries[name]

    @rule(data=st.data())
    def lose_registration(self, data: st.DataObject) -> None:
        self.registered.discard(data.draw(st.sampled_from(sorted(self.entries))))

    @rule(data=st.data())
    def restart(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.entries)))
        self.entries[name], self.views[name] = RateShares(name), set()
        if name not in self.cut:
            self._confirm(name)

    @rule(data=st.data())
    def cut_or_heal(self, data: st.DataObject) -> None:
        self.cut ^= {data.draw(st.sampled_from(sorted(self.entries)))}

    @rule(seconds=st.sampled_from([0.5, VIEW_MAX_AGE_S / 2, SETTLE_S, 3 * SETTLE_S]))
    def wait(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.5
            for name in self.entries.keys() - self.cut:
                if (hash_of(name) + round(2 * self.now_s)) % 8 == 0:
                    self._confirm(name)

    def _confirm(self, name: str) -> None:
        shares, view = self.entries[name], self.views[name]
        for gone in view - self.registered:
            shares.unregistered(gone, self.now_s)
        for known in self.registered - view:
            shares.registered(known, self.now_s)
        shares.confirmed(self.now_s)
        self.views[name] = set(self.registered)
        self.registered.add(name)

    def shares(self, current: bool) -> list[Share]:
        return [
            entry.share("t", self.per_s, self.now_s)
            for entry in self.entries.values()
            if (entry.age_s(self.now_s) <= VIEW_MAX_AGE_S) == current
        ]

    @invariant()
    def current_views_never_exceed_the_rate(self) -> None:
        used = self.shares(current=True)
        assert sum(item.per_s for item in used) <= max(MIN_PER_S, self.per_s) + SLACK
        assert sum(item.burst for item in used) <= burst(max(MIN_PER_S, self.per_s)) + SLACK

    @invariant()
    def fleet_stays_within_the_bound_of_the_target(self) -> None:
        """Entries that no peer can reach, from more than one generation, are excused."""
        old = [item for item in self.shares(current=False) if item.per_s]
        per_s = max(MIN_PER_S, self.per_s)
        assert all(item.per_s <= OLD_VIEW_FRACTION * per_s + SLACK for item in old)
        if len(old) <= max(1, int(burst(per_s))):
            used = [*old, *self.shares(current=True)]
            sent = sum(item.burst + item.per_s * WINDOW_S for item in used if item.per_s)
            assert sent <= allowed(self.per_s)

    @invariant()
    def fleet_stays_within_the_bound_of_a_cold_target(self) -> None:
        """Holders differ in how many of them they know, and so in the size of their shares."""
        for limit in (ColdRate(10.0, 20.0), ColdRate(14.0, 26.0)):
            used = {True: 0, False: 0}
            for entry in self.entries.values():
                share = entry.share_of("t", limit, self.now_s)
                used[entry.age_s(self.now_s) <= VIEW_MAX_AGE_S] += int(share.burst + share.per_s)
            assert used[True] <= limit.allowed
            if used[False] <= COLD_OLD_VIEW_FRACTION * limit.allowed:
                assert sum(used.values()) <= limit.allowed


def hash_of(name: str) -> int:
    return sum(name.encode())


TestTruthAndViews = TruthAndViews.TestCase
