"""Pages that are computed from data files must not differ from them."""

from bench.capacity import ROOT, page


def test_capacity_page_matches_the_measured_slopes() -> None:
    """The slopes are measured again and the page is not generated again."""
    assert (ROOT / "docs/CAPACITY.md").read_text() == page()
