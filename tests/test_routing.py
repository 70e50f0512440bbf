"""Targets of the routing bench, checked in virtual time.

A bound is a target set by the users, never a measured figure; docs/MEASUREMENTS-routing.md lists
all cells.  Targets that are missed are in KNOWN-RED.txt.
"""

from functools import cache

import pytest

from bench.routing import Cell, Row, run_cell
from bench.workload import DEPLOYMENTS

REQUESTS = 1_500
SEED = 7
BASELINES = ("round_robin", "least_load", "prefix_affinity")


@cache
def row(deployment: str, load: float, fault: str, policy: str) -> Row:
    return run_cell(Cell(deployment, load, fault, policy, REQUESTS, SEED))


@pytest.mark.parametrize("deployment", sorted(DEPLOYMENTS))
def test_first_token_p95_stays_within_its_target_at_four_fifths_of_capacity(
    deployment: str,
) -> None:
    """Poor placement lets queues grow at a load of 0.8."""
    assert row(deployment, 0.8, "calm", "cost").p95_s <= 0.36


@pytest.mark.parametrize("deployment", sorted(DEPLOYMENTS))
def test_recomputed_fraction_is_near_that_of_the_oracle(deployment: str) -> None:
    """Prompts are placed on runners that don't have their prefixes."""
    oracle = row(deployment, 0.8, "calm", "oracle").recomputed_share
    assert row(deployment, 0.8, "calm", "cost").recomputed_share <= 1.15 * oracle


@pytest.mark.parametrize(
    ("deployment", "fault"),
    [("cwmdu", "calm"), ("cwmdu", "store dead"), ("alfombras-limpias", "calm")],
)
def test_routing_is_never_worse_than_the_best_baseline(deployment: str, fault: str) -> None:
    """A cost model that misjudges a load can be worse than a simple policy."""
    measure = DEPLOYMENTS[deployment].first_measure
    field = "p95_s" if measure == "first_token" else "recomputed_share"
    best = min(getattr(row(deployment, 0.8, fault, name), field) for name in BASELINES)
    assert getattr(row(deployment, 0.8, fault, "cost"), field) <= best
