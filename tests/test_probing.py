"""Calls to a store that does not answer.

Load pattern: 195 entries before a store that is down or turns them away for some seconds; each
follows five kinds of objects.
"""

import pytest

from filbertstream.connection.watched_kinds import CONFIG_MAX_AGE_FRACTION, watched_kinds
from filbertstream.process.read_backoff import ReadBackoff
from filbertstream.process.relayed_view import FRESH_FRACTION
from filbertstream.process.relays import POLL_INTERVAL_S
from tests.gateway_world import BOUNDS

KINDS = tuple(watched.kind for watched in watched_kinds(BOUNDS))
OUTAGE_S = 10.0


def calls_in_an_outage(relies: bool) -> tuple[int, dict[str, float]]:
    """Return the calls of an entry, and when each kind is asked about after the outage."""
    probing = ReadBackoff(KINDS)
    next_s = dict.fromkeys(KINDS, 0.0)
    back_s: dict[str, float] = {}
    calls, now_s = 0, 0.0
    while len(back_s) < len(KINDS):
        now_s += 0.01
        for kind in KINDS:
            if now_s < next_s[kind] or kind in back_s or probing.is_deferred(kind):
                continue
            calls += 1
            if now_s < OUTAGE_S:
                probing.failed(kind)
                next_s[kind] = now_s + probing.retry_s(kind, relies)
            else:
                probing.answered(kind)
                back_s[kind] = now_s
    return calls, back_s


@pytest.mark.parametrize(("relies", "most"), [(False, 32), (True, 24)])
def test_an_outage_costs_few_calls_and_all_kinds_are_read_soon_after(
    relies: bool, most: int
) -> None:
    calls, back_s = calls_in_an_outage(relies)
    assert calls <= most
    assert max(back_s.values()) <= OUTAGE_S + (2.1 if relies else 0.7)


def test_a_call_that_gets_lost_holds_up_no_other_kind() -> None:
    probing = ReadBackoff(KINDS)
    probing.failed(KINDS[1])
    probing.failed(KINDS[1])
    assert not any(probing.is_deferred(kind) for kind in KINDS)
    probing.failed(KINDS[0])
    assert [kind for kind in KINDS if probing.is_deferred(kind)] == [KINDS[1]]


@pytest.mark.parametrize("watched", watched_kinds(BOUNDS), ids=lambda item: item.kind)
def test_a_sound_relays_word_is_always_young_enough(watched: object) -> None:
    """What it knows grows as old as its pause, or twice as old as its wait, and the asking."""
    (found,) = [item for item in watched_kinds(BOUNDS) if item == watched]
    relay_watch = found.relay_watch
    oldest_s = 2 * relay_watch.wait_s + relay_watch.pause_s
    assert oldest_s + 0.1 < FRESH_FRACTION * relay_watch.max_age_s
    assert oldest_s + POLL_INTERVAL_S + 0.1 < relay_watch.max_age_s
    assert CONFIG_MAX_AGE_FRACTION < 0.5
