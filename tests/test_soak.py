"""A short soak; ``bench.soak`` runs more and longer ones.  Results rest on counts and bytes."""

from bench.soak import play

SECONDS = 8.0
SEED = 1


def test_short_soak_violates_no_guarantee() -> None:
    """Faults and harmed links overlap under load."""
    soak = play(SEED, SECONDS)
    assert soak.violations == []
    assert soak.counts["prompt complete"] > 0
    assert soak.counts["bookings run"] > 0
