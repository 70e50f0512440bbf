"""Aims of the routing bench as bounds, in virtual time; docs/MEASUREMENTS-routing.md has all cells.

A bound is the users' aim, never a measured figure; an aim that is missed is in KNOWN-RED.txt.
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
def test_first_token_p95_at_four_fifths_of_capacity(deployment: str) -> None:
    assert row(deployment, 0.8, "calm", "cost").p95_s <= 0.36


@pytest.mark.parametrize("deployment", sorted(DEPLOYMENTS))
def test_recomputed_share_is_near_the_oracles(deployment: str) -> None:
    oracle = row(deployment, 0.8, "calm", "oracle").recomputed_share
    assert row(deployment, 0.8, "calm", "cost").recomputed_share <= 1.15 * oracle


@pytest.mark.parametrize(
    ("deployment", "fault"),
    [("cwmdu", "calm"), ("cwmdu", "store dead"), ("alfombras-limpias", "calm")],
)
def test_never_behind_the_best_baseline(deployment: str, fault: str) -> None:
    measure = DEPLOYMENTS[deployment].first_measure
    field = "p95_s" if measure == "first_token" else "recomputed_share"
    best = min(getattr(row(deployment, 0.8, fault, name), field) for name in BASELINES)
    assert getattr(row(deployment, 0.8, fault, "cost"), field) <= best
