"""The limits of a workspace hold over all entries together."""

import pytest

from filbertstream.request.admission import Admission
from filbertstream.version.routes import WorkspaceLimits


@pytest.mark.parametrize(("entries", "concurrent"), [(3, 6), (3, 2), (195, 10)])
def test_more_calls_of_a_workspace_run_than_its_limit_while_each_entry_keeps_to_its_share(
    entries: int, concurrent: int
) -> None:
    """A workspace sends more calls to each entry than it may run in all."""
    limits = WorkspaceLimits(frozenset(), concurrent, 1e6, 10**6, 1.0, 1.0, 10.0, 0.99)
    fleet = [Admission(lambda: 1.0 / entries) for _ in range(entries)]
    for entry in fleet:
        for _ in range(concurrent + 1):
            entry.begin("w", limits, 0.0)
    assert sum(entry.running("w") for entry in fleet) <= concurrent
