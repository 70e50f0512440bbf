"""Random deployments drawn from seeds, under overlapping faults; ``bench.deployments`` has more."""

import pytest

from bench.deployments import LARGE_SEED, draw, play

SEEDS = (*range(5, 17), *range(LARGE_SEED, LARGE_SEED + 6))
FAILED_BEFORE = {
    4: "a leader that released and took the lease again forgot the gap after the previous leader",
    20752: "an entry that started between two roll-outs used runners two versions behind",
    21002: "a stale entry retried a call admitted before the bound (fault of the check)",
    424: "a target's drain counted before the store had accepted it (fault of the check)",
}
"""Seeds that failed in the past, with the cause of each failure."""


@pytest.mark.parametrize("seed", [*SEEDS, *FAILED_BEFORE])
def test_random_deployment_keeps_its_guarantees_under_faults(seed: int) -> None:
    """Faults of entries, targets, cache stores and the object store overlap."""
    assert play(seed) == []


def test_random_deployments_differ_in_every_size() -> None:
    """A draw that never varied a size would leave it untested."""
    drawn = [draw(seed) for seed in range(60)]
    for sizes in (
        {len(item.data_centers) for item in drawn},
        {len(item.entries) for item in drawn},
        {len(item.runner_rates) for item in drawn},
        {item.service_targets for item in drawn},
        {item.stores for item in drawn},
        {item.model.slots for item in drawn},
        {item.model.cache_tokens for item in drawn},
    ):
        assert len(sizes) > 2
