"""A seeded part of the fault matrix; ``bench.faults`` runs all of it."""

import pytest

from bench.faults import cells, run_cell

EVERY = 7


@pytest.mark.parametrize("cell", cells()[::EVERY], ids=lambda cell: f"{cell[0]}-{cell[1]}")
def test_a_cell_of_the_matrix_holds(cell: tuple[str, tuple[str, ...]]) -> None:
    result = run_cell(cell)
    assert result.state == "proved", result
