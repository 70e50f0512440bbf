"""Retries of entries that have no calls of their own, over all entries together."""

import pytest

from filbertstream.request.retry_budget import SharedRetryBudget

SLACK = 430
"""The operators' additional allowance on the largest deployment."""


@pytest.mark.parametrize("entries", [8, 195, 1_300])
def test_more_retries_than_the_slack_are_sent_while_each_entry_keeps_to_its_floor(
    entries: int,
) -> None:
    """Each entry retries a call to a service that has got no other calls."""
    fleet = [SharedRetryBudget(0.2, 10.0, 1) for _ in range(entries)]
    assert sum(budget.take("s", 0.0) for budget in fleet) <= SLACK
