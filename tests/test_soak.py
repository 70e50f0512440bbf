"""A short soak; ``bench.soak`` plays more and longer. Verdicts rest on counts and bytes."""

from bench.soak import play

SECONDS = 8.0
SEED = 1


def test_a_short_soak_breaks_no_promise() -> None:
    soak = play(SEED, SECONDS)
    assert soak.violations == []
    assert soak.counts["prompt complete"] > 0
    assert soak.counts["bookings run"] > 0
