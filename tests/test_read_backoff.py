"""Requests to an object store that does not respond.

Load pattern: 195 entries use an object store that is unavailable or rejects their requests for some
seconds; each entry follows six kinds of objects.
"""

import pytest

from filbertstream.connection.watched_kinds import CONFIG_MAX_AGE_FRACTION, watched_kinds
from filbertstream.fleet.evacuations import MARGIN_FRACTION
from filbertstream.gateway_process import IDLE_TICK_S, TICK_S
from filbertstream.platform.documents import EVACUATIONS_KIND
from filbertstream.platform.objects import RESPONSE_TIMEOUT_S
from filbertstream.process.read_backoff import ReadBackoff
from filbertstream.process.relayed_view import FRESH_FRACTION
from filbertstream.process.relays import POLL_INTERVAL_S
from filbertstream.version.config_freshness import ConfigFreshness
from tests.gateway_world import BOUNDS

KINDS = tuple(watched.kind for watched in watched_kinds(BOUNDS))
OUTAGE_S = 10.0


def requests_in_an_outage(has_relay: bool) -> tuple[int, dict[str, float]]:
    """Return the requests of an entry, and when each kind is read after the outage."""
    probing = ReadBackoff(KINDS)
    next_s = dict.fromkeys(KINDS, 0.0)
    back_s: dict[str, float] = {}
    requests, now_s = 0, 0.0
    while len(back_s) < len(KINDS):
        now_s += 0.01
        for kind in KINDS:
            if now_s < next_s[kind] or kind in back_s or probing.is_deferred(kind):
                continue
            requests += 1
            if now_s < OUTAGE_S:
                probing.failed(kind)
                next_s[kind] = now_s + probing.retry_s(kind, has_relay)
            else:
                probing.responded(kind)
                back_s[kind] = now_s
    return requests, back_s


@pytest.mark.parametrize(("has_relay", "most_requests"), [(False, 32), (True, 24)])
def test_outage_causes_few_requests_and_all_kinds_are_read_soon_after_it(
    has_relay: bool, most_requests: int
) -> None:
    """Entries that retried each kind by itself would overload the object store on its return."""
    requests, back_s = requests_in_an_outage(has_relay)
    assert requests <= most_requests
    assert max(back_s.values()) <= OUTAGE_S + (2.1 if has_relay else 0.7)


def test_lost_request_does_not_delay_other_kinds() -> None:
    """Requests for one kind fail, and then those for another kind."""
    probing = ReadBackoff(KINDS)
    probing.failed(KINDS[1])
    probing.failed(KINDS[1])
    assert not any(probing.is_deferred(kind) for kind in KINDS)
    probing.failed(KINDS[0])
    assert [kind for kind in KINDS if probing.is_deferred(kind)] == [KINDS[1]]


EVACUATIONS = BOUNDS._replace(evac_s=5.0)


@pytest.mark.parametrize("watched", watched_kinds(EVACUATIONS), ids=lambda item: item.kind)
def test_age_of_a_healthy_relays_state_stays_within_the_limit(watched: object) -> None:
    """A relay's state grows as old as its pause or twice its wait, plus the time of a request."""
    (watched_kind,) = [item for item in watched_kinds(EVACUATIONS) if item == watched]
    relay_watch = watched_kind.relay_watch
    oldest_s = 2 * relay_watch.wait_s + relay_watch.pause_s
    assert oldest_s + 0.1 < FRESH_FRACTION * relay_watch.max_age_s
    assert oldest_s + POLL_INTERVAL_S + 0.1 < relay_watch.max_age_s
    assert CONFIG_MAX_AGE_FRACTION < 0.5


def test_evacuation_is_detected_within_two_thirds_of_its_bound() -> None:
    """A connection to the object store stalls, or a relay dies and no other one responds."""
    (watched,) = [item for item in watched_kinds(EVACUATIONS) if item.kind == EVACUATIONS_KIND]
    detected_s = (1.0 - MARGIN_FRACTION) * 5.0
    listing_s = 0.3
    assert watched.wait_s + RESPONSE_TIMEOUT_S + listing_s < detected_s
    assert watched.relay_watch.max_age_s + IDLE_TICK_S + TICK_S + listing_s < detected_s


@pytest.mark.parametrize("revoke_s", [1.0, 2.5, 5.0, 60.0])
def test_entry_is_unready_between_two_responses_of_a_healthy_object_store(revoke_s: float) -> None:
    """The bound for removed keys is short; a watch waits for most of the bound on changes."""
    bounds = BOUNDS._replace(revoke_s=revoke_s)
    config_kind = watched_kinds(bounds)[0]
    freshness = ConfigFreshness(revoke_s, True)
    freshness.confirm(10.0)
    assert freshness.keeps_ready(10.0 + 2 * config_kind.wait_s + 0.05 * revoke_s)
