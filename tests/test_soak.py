"""A short soak; ``bench.soak`` runs more and longer ones.  Results rest on counts and bytes."""

from bench.soak import play
from bench.soak_faults import CRASHING_NAME, RESTORED_NAME

SECONDS = 8.0
CRASHING_SECONDS = 14.0
SEED = 1
RESTORED_SEED = 900


def test_short_soak_violates_no_guarantee() -> None:
    """Faults and harmed links overlap under load."""
    soak = play(SEED, SECONDS)
    assert soak.violations == []
    assert soak.counts["prompt complete"] > 0
    assert soak.counts["bookings run"] > 0


def test_runners_keep_crashing_at_prompts_while_other_faults_overlap() -> None:
    """Callers send a block that crashes runners, which are back after some seconds."""
    soak = play(SEED, CRASHING_SECONDS, first=CRASHING_NAME)
    assert soak.violations == []
    assert soak.counts["runners crashed by prompts"] > 0


def test_soak_in_which_the_store_comes_back_from_a_copy() -> None:
    """Bookings are repeated at other entries while the store restores an older copy."""
    soak = play(RESTORED_SEED, CRASHING_SECONDS, first=RESTORED_NAME)
    assert soak.violations == []
    assert soak.counts["bookings run"] > 0
