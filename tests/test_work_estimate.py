"""The expected work of requests: each test is a load pattern that it must handle."""

import math
import random
import statistics

import pytest

from filbertstream.platform.headers import decode_call
from filbertstream.request.call import Prompt
from filbertstream.request.work_estimate import (
    MAX_ROUTES,
    MAX_WORKSPACES,
    OUTPUT_PRIOR,
    WorkEstimator,
)

HEAD = [
    (b"host", b"h"),
    (b"request-id", b"q"),
    (b"model", b"m"),
    (b"token-count", b"9,500"),
]


def prompt(hint: int | None = None, max_new_tokens: int = 4_000) -> Prompt:
    return Prompt("m", 900, max_new_tokens, (), hint)


def expected_output(estimator: WorkEstimator, route: str, hint: int | None = None) -> float:
    return estimator.expected(route, prompt(hint)).output_tokens


def hinted(*values: bytes) -> int | None:
    decoded = decode_call("POST", "/x", [*HEAD, *((b"length-hint", item) for item in values)], 0)
    found = decoded.ok_value
    assert found is not None
    assert found.prompt is not None
    return found.prompt.length_hint


def test_caller_with_an_odd_length_hint_is_refused_or_believed() -> None:
    """Callers send any text as a hint, or several; it is no part of what must be well-formed."""
    assert hinted(b"120") == 120
    for value in (b"", b"0", b"-3", b"x", b"1e9", b"\xff", b"9" * 12, b"9" * 5_000):
        assert hinted(value) is None
    assert hinted() is None
    assert hinted(b"5", b"7") is None


def test_requests_of_two_routes_that_look_alike_get_the_same_estimate() -> None:
    """Prompts of equal size: classifications give 2 tokens, drafts a heavy-tailed 40 to 1,000."""
    rng = random.Random(1)
    estimator = WorkEstimator()
    drafts = [round(rng.lognormvariate(math.log(150), 0.8)) for _ in range(400)]
    for tokens in drafts:
        estimator.observe("draft", output_tokens=tokens)
        estimator.observe("classify", output_tokens=2)
    assert expected_output(estimator, "classify") < 3
    mean = statistics.mean(drafts)
    assert expected_output(estimator, "draft") == pytest.approx(mean, rel=0.25)


def test_estimate_exceeds_the_largest_output_that_the_request_allows() -> None:
    """A request of a route with long outputs limits its own output."""
    estimator = WorkEstimator()
    for _ in range(50):
        estimator.observe("draft", output_tokens=800)
    assert estimator.expected("draft", prompt(max_new_tokens=38)).output_tokens == 38
    assert estimator.expected("draft", prompt(5_000, 38)).output_tokens == 38


def test_single_outlier_decides_the_estimate_of_a_route_with_few_samples() -> None:
    """A new route's second call takes a hundred times as long as its first."""
    estimator = WorkEstimator()
    estimator.observe("list", method="GET", service_s=0.05)
    before = estimator.expected("list", None, method="GET").service_s
    estimator.observe("list", method="GET", service_s=5.0)
    after = estimator.expected("list", None, method="GET").service_s
    assert before < after < 8 * before


def test_methods_of_a_route_share_an_estimate() -> None:
    """Reading takes 10 ms and writing a second on the same route."""
    estimator = WorkEstimator()
    for _ in range(50):
        estimator.observe("cases", method="GET", service_s=0.01)
        estimator.observe("cases", method="POST", service_s=1.0)
    reads = estimator.expected("cases", None, method="GET").service_s
    writes = estimator.expected("cases", None, method="POST").service_s
    assert 50 * reads < writes


def test_workspace_with_its_own_sizes_gets_the_estimate_of_its_route() -> None:
    """One workspace's outputs are ten times as long as those of all others."""
    estimator = WorkEstimator()
    for _ in range(50):
        estimator.observe("draft", workspace="long", output_tokens=1_000)
        for name in ("a", "b", "c"):
            estimator.observe("draft", workspace=name, output_tokens=100)
    long = estimator.expected("draft", prompt(), workspace="long").output_tokens
    unknown = estimator.expected("draft", prompt(), workspace="new").output_tokens
    assert 2 * unknown < long
    assert long > 700


def test_good_hint_is_ignored_and_useless_hints_are_believed() -> None:
    """The hints of one route are exact, those of another name the same output every time."""
    rng = random.Random(2)
    estimator = WorkEstimator()
    for _ in range(300):
        tokens = round(rng.lognormvariate(math.log(100), 1.0)) + 1
        estimator.observe("exact", output_tokens=tokens, length_hint=tokens)
        estimator.observe("useless", output_tokens=40, length_hint=rng.choice([4, 400]))
    assert expected_output(estimator, "exact", 700) == pytest.approx(700, rel=0.15)
    assert expected_output(estimator, "useless", 400) == pytest.approx(40, rel=0.15)


def test_first_hint_of_an_unknown_route_counts_in_full_or_not_at_all() -> None:
    """Nothing is known of a route; a hint is right at the median and often far off."""
    estimator = WorkEstimator()
    without = expected_output(estimator, "new")
    assert without > OUTPUT_PRIOR
    assert without < expected_output(estimator, "new", 1_000) < 1_000


def test_estimate_keeps_old_sizes_after_a_change() -> None:
    """The outputs of a route become ten times as long and stay so."""
    estimator = WorkEstimator()
    for _ in range(2_000):
        estimator.observe("draft", output_tokens=50)
    for _ in range(600):
        estimator.observe("draft", output_tokens=500)
    assert expected_output(estimator, "draft") > 400


def test_state_grows_with_routes_and_workspaces() -> None:
    """35,000 workspaces and thousands of paths; the levels in use must stay."""
    estimator = WorkEstimator()
    for number in range(5_000):
        estimator.observe("used", workspace="w", output_tokens=7)
        estimator.observe(f"r{number}", workspace=f"w{number}", output_tokens=90, length_hint=9)
    assert estimator.levels <= 2 * (MAX_ROUTES + MAX_WORKSPACES)
    used = estimator.expected("used", prompt(), workspace="w").output_tokens
    assert used == pytest.approx(7, rel=0.2)
