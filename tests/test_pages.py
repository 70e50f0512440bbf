"""Pages that are worked out from files: they must not drift apart from them."""

from bench.capacity import ROOT, page


def test_the_capacity_page_follows_from_the_measured_slopes() -> None:
    assert (ROOT / "docs/CAPACITY.md").read_text() == page()
