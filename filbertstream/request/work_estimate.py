"""Estimates how much work a request is for its target, from the requests of its route before it.

Load patterns handled:

- Requests that look alike differ by a factor of a hundred in their output or duration.  Averages
  are those of logarithms, and the spread is learned too, so the expected value includes the tail.
- A route, a method or a workspace has few samples, or none.  Its average is drawn towards that of
  the level above as if that were worth ``PRIOR_SAMPLES`` samples.  This is the update of a normal
  distribution with unknown mean and variance and a conjugate prior (Gelman et al., Bayesian Data
  Analysis, 3rd edition, section 3.3), applied level by level.
- Callers name the expected output (``Length-Hint``), right at the median and often far off.  The
  learned output and the hint are combined by their precisions (section 2.5 there); the error of
  the hints is learned by route, so a route with useless hints soon ignores them.
- Many routes and workspaces.  The least recently observed ones are dropped.

>>> estimator = WorkEstimator()
>>> for _ in range(200):
...     estimator.observe("classify", output_tokens=2)
>>> round(estimator.expected("classify", Prompt("m", 900, 512, ())).output_tokens, 1)
2.2
"""

import math
from collections import OrderedDict
from typing import Final, NamedTuple

from filbertstream.request.call import Prompt

PRIOR_SAMPLES: Final = 2.0
"""Samples that the average of the level above is worth."""

MEMORY_SAMPLES: Final = 200.0
"""A level forgets older samples as if it had at most this many, so that it follows changes."""

MAX_VARIANCE: Final = 2.25
"""Largest variance of a logarithm: a mean of three times the median.  With few samples a larger one
would make the estimate depend on a single outlier."""

MAX_ROUTES: Final = 256
"""Pairs of a route and a method that are kept; a configuration has a few dozen."""

MAX_WORKSPACES: Final = 512
"""Workspaces, by route and method, that are kept; all others count with their route."""

OUTPUT_PRIOR: Final = 64.0
"""Output tokens that are assumed before any sample."""

SERVICE_PRIOR_S: Final = 0.05
"""Duration of a service call that is assumed before any sample."""

PRIOR_VARIANCE: Final = 1.0
"""Variance of the logarithm that is assumed before any sample: mostly within a factor of 2.7."""

HINT_VARIANCE: Final = 1.0
"""Variance of the logarithm of a hint's error that is assumed before any sample."""

SMALLEST: Final = 1e-4
"""Smallest sample; the logarithm of 0 does not exist."""


class WorkEstimate(NamedTuple):
    """The expected work of a request.

    ``prefill_tokens`` is an upper bound: a target that holds a prefix has less to prefill.
    ``service_s`` is the duration of a call that is no prompt, 0 for prompts.
    """

    prefill_tokens: int
    output_tokens: float
    service_s: float


class Spread(NamedTuple):
    """Mean and variance of logarithms."""

    mean: float
    variance: float

    @property
    def expected(self) -> float:
        """The mean of the values themselves, as of a log-normal distribution."""
        return math.exp(self.mean + self.variance / 2)


class _Samples:
    """Mean and variance of the recent logarithms of one level."""

    def __init__(self) -> None:
        self.count = 0.0
        self.mean = 0.0
        self.variance = 0.0

    def add(self, log: float) -> None:
        self.count = min(self.count + 1.0, MEMORY_SAMPLES)
        weight = 1.0 / self.count
        deviation = log - self.mean
        self.mean += weight * deviation
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation)

    def with_prior(self, prior: Spread) -> Spread:
        """Return the estimate from the samples and the level above."""
        total = self.count + PRIOR_SAMPLES
        distance = self.mean - prior.mean
        between = self.count * PRIOR_SAMPLES / total * distance * distance
        within = self.count * self.variance + PRIOR_SAMPLES * prior.variance
        mean = (self.count * self.mean + PRIOR_SAMPLES * prior.mean) / total
        return Spread(mean, min(MAX_VARIANCE, (within + between) / total))


Level = tuple[str, ...]


class LearnedValues:
    """Values learned by route and method, and within these by workspace."""

    def __init__(self, prior: Spread) -> None:
        self._prior = prior
        self._routes: OrderedDict[Level, _Samples] = OrderedDict()
        self._workspaces: OrderedDict[Level, _Samples] = OrderedDict()

    @property
    def levels(self) -> int:
        """The number of levels that are kept."""
        return len(self._routes) + len(self._workspaces)

    def observe(self, route: str, method: str, workspace: str | None, value: float) -> None:
        """Record a sample."""
        log = math.log(max(SMALLEST, value))
        _recent(self._routes, (route, method), MAX_ROUTES).add(log)
        if workspace is not None:
            _recent(self._workspaces, (route, method, workspace), MAX_WORKSPACES).add(log)

    def expected(self, route: str, method: str, workspace: str | None) -> Spread:
        """Return the estimate for the next value."""
        estimate = self._prior
        of_route = self._routes.get((route, method))
        if of_route is not None:
            estimate = of_route.with_prior(estimate)
        of_workspace = None
        if workspace is not None:
            of_workspace = self._workspaces.get((route, method, workspace))
        return estimate if of_workspace is None else of_workspace.with_prior(estimate)


def _recent(levels: OrderedDict[Level, _Samples], level: Level, limit: int) -> _Samples:
    """Return the samples of a level as the most recent one, and drop the oldest over the limit."""
    samples = levels.get(level)
    if samples is None:
        samples = levels[level] = _Samples()
        if len(levels) > limit:
            levels.popitem(last=False)
    else:
        levels.move_to_end(level)
    return samples


class WorkEstimator:
    """The work of requests, learned by route and method."""

    def __init__(self) -> None:
        self._outputs = LearnedValues(Spread(math.log(OUTPUT_PRIOR), PRIOR_VARIANCE))
        self._hint_errors = LearnedValues(Spread(0.0, HINT_VARIANCE))
        self._durations = LearnedValues(Spread(math.log(SERVICE_PRIOR_S), PRIOR_VARIANCE))

    @property
    def levels(self) -> int:
        """The number of routes, methods and workspaces that are kept."""
        return self._outputs.levels + self._hint_errors.levels + self._durations.levels

    def observe(
        self,
        route: str,
        *,
        method: str = "",
        workspace: str | None = None,
        output_tokens: int | None = None,
        length_hint: int | None = None,
        service_s: float | None = None,
    ) -> None:
        """Record the output of a prompt, or the duration of a call that is no prompt.

        A duration is given as at the usual speed of the target.
        """
        if output_tokens is not None:
            self._outputs.observe(route, method, workspace, output_tokens)
            if length_hint is not None:
                error = output_tokens / length_hint
                self._hint_errors.observe(route, method, workspace, error)
        if service_s is not None:
            self._durations.observe(route, method, workspace, service_s)

    def expected(
        self,
        route: str,
        prompt: Prompt | None,
        *,
        method: str = "",
        workspace: str | None = None,
    ) -> WorkEstimate:
        """Return the expected work of a prompt, or of a call that is none."""
        if prompt is None:
            return WorkEstimate(0, 0.0, self._durations.expected(route, method, workspace).expected)
        output = self._outputs.expected(route, method, workspace)
        if prompt.length_hint is not None:
            error = self._hint_errors.expected(route, method, workspace)
            hinted = Spread(math.log(prompt.length_hint) + error.mean, error.variance)
            output = _combined(output, hinted)
        tokens = max(1.0, output.expected)
        if prompt.max_new_tokens > 0:
            tokens = min(tokens, float(prompt.max_new_tokens))
        return WorkEstimate(prompt.tokens, tokens, 0.0)


MIN_VARIANCE: Final = 1e-4
"""Smallest variance when two estimates are combined; equal samples have none."""


def _combined(a: Spread, b: Spread) -> Spread:
    """Return the estimate from two independent ones, each weighted by its precision."""
    precision_a = 1.0 / max(MIN_VARIANCE, a.variance)
    precision_b = 1.0 / max(MIN_VARIANCE, b.variance)
    total = precision_a + precision_b
    return Spread((precision_a * a.mean + precision_b * b.mean) / total, 1.0 / total)
