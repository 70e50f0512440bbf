"""Every seventh cell of the fault matrix; ``bench.faults`` runs all of them."""

import pytest

from bench.faults import cells, run_cell

EVERY = 7


@pytest.mark.parametrize("cell", cells()[::EVERY], ids=lambda cell: f"{cell[0]}-{cell[1]}")
def test_guarantee_holds_in_a_cell_of_the_fault_matrix(cell: tuple[str, tuple[str, ...]]) -> None:
    """One fault of the matrix occurs during one kind of work."""
    result = run_cell(cell)
    assert result.state == "proved", result
