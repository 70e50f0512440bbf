"""The load that targets report in ``Server-Load``, and how long work takes there as reported."""

import pytest

from filbertstream.platform.headers import decode_response
from filbertstream.request.call import TargetLoad


def decoded(value: bytes) -> TargetLoad | None:
    return decode_response(200, [(b"server-load", value)]).load


@pytest.mark.parametrize(
    ("value", "slowness"),
    [(b"5,2,16,250", 2.5), (b"5, 2, 16, 100", 1.0), (b"5,2,16,62.5", 0.625), (b"5,2,16,80,7", 0.8)],
)
def test_load_with_a_fourth_figure_is_read(value: bytes, slowness: float) -> None:
    """A deployment reports the slowness of a VM; the whole report was discarded."""
    assert decoded(value) == TargetLoad(5, 2, 16, slowness, True)


@pytest.mark.parametrize(
    "fourth", [b"", b"x", b"-5", b"0", b"0.0", b"nan", b"inf", b"1e3", b"\xff", b"9" * 400, b"x,9"]
)
def test_odd_fourth_figure_discards_the_first_three(fourth: bytes) -> None:
    """A target reports a slowness that is no positive number; its counts still hold."""
    assert decoded(b"5,2,16," + fourth) == TargetLoad(5, 2, 16)


@pytest.mark.parametrize("value", [b"", b"5,2", b"5,x,16,250", b"-1,2,16,250", b"5,2,4294967296,9"])
def test_odd_counts_are_taken_for_a_load(value: bytes) -> None:
    """The first three figures are not counts; what follows them doesn't make them usable."""
    assert decoded(value) is None


def test_load_of_three_figures_counts_as_a_report_of_the_slowness() -> None:
    """Most targets report three figures; nothing may change for them."""
    assert decoded(b"5,2,16") == TargetLoad(5, 2, 16, 1.0, False)
