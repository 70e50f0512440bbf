"""Timeouts of a send: for its response, for progress of the response, and for idle connections.

Load patterns and faults handled: targets that stop responding without closing the connection (a
retryable call is sent to another target), routes whose work varies (a call is not overdue before
the time that such calls have needed lately), long prompts behind a queue (they are not overdue
during their prefill), and connections whose state a device on the network path has dropped (a call
that must not be retried uses no connection that has been idle for long).
"""

from typing import Final

from filbertstream.request.call_state import Call
from filbertstream.version.routes import CallKind

PROGRESS_TIMEOUT_GAPS: Final = 4.0
"""A resumable stream without an event for this many gap objectives is resumed on another target."""

PROGRESS_TIMEOUT_MIN_S: Final = 0.8
"""The minimum of that time.  A runner that prefills a long prompt between two events takes half of
it."""

PROGRESS_TIMEOUT_UNARY_S: Final = 2.0
"""The same timeout for the body of a response that is no stream; the call's own time limit is
usually reached first."""

RESPONSE_TIMEOUT_LATENCIES: Final = 6.0
"""A retryable call without a response for this many mean latencies is sent to another target."""

RESPONSE_TIMEOUT_MIN_S: Final = 0.15
"""The minimum of that time, several times the latency of an idle service."""

HIGH_LATENCY_FACTOR: Final = 1.25
"""A call is overdue only after this many times a high quantile of the recent latencies."""

HIGH_LATENCY_LIMIT: Final = 3.0
"""The most that these latencies raise the time, as a multiple of what it is without them: where
targets lose single requests, each loss looks like a long call."""

MAX_IDLE_S: Final = 3.0
"""A device on the network path may have dropped the state of a connection that has been idle for
longer."""

MAX_IDLE_NOT_RETRYABLE_S: Final = 0.5
"""The same limit for a call that must not be retried.  After a failed send only a new connection is
used, because other idle connections may have failed together with the one of that send."""

PREFILL_TIMEOUT_FACTOR: Final = 2.0
"""A prompt is overdue only after this many times the expected prefill time of the prompt and of the
queue ahead of it.  If it were sent to another runner sooner, a long prompt would be prefilled
twice."""

WAIT_TIMEOUT_FRACTION: Final = 0.1
"""A call whose workspace accepts a wait is overdue only after this fraction of that wait, because a
retry adds to the load that causes the wait."""


PATIENCE_MIN_S: Final = 2.0
PATIENCE_OBJECTIVES: Final = 4.0
PATIENCE_GAPS: Final = 8.0
"""A caller waits for the next part of its response for this many latency or gap objectives, and at
least for ``PATIENCE_MIN_S``."""


def patience_s(call: Call) -> float:
    """Return how long the caller waits for the next part of its response before it leaves."""
    gap_s = call.route.gap_objective_s or 0.0
    objective_s = call.route.objective_s
    return max(PATIENCE_MIN_S, PATIENCE_OBJECTIVES * objective_s, PATIENCE_GAPS * gap_s)


def max_idle_s(call: Call) -> float:
    """Return how long a connection may have been idle before it is used for a call."""
    if call.failed_sends:
        return 0.0
    return MAX_IDLE_S if call.route.retryable else MAX_IDLE_NOT_RETRYABLE_S


def progress_timeout_s(call: Call) -> float:
    """Return how long a response that has started may bring no byte before it counts as stalled."""
    if call.route.kind is not CallKind.STREAM:
        return PROGRESS_TIMEOUT_UNARY_S
    gap_s = call.route.gap_objective_s or PROGRESS_TIMEOUT_MIN_S
    return max(PROGRESS_TIMEOUT_MIN_S, PROGRESS_TIMEOUT_GAPS * gap_s)


def response_timeout_s(call: Call, mean_s: float, high_s: float, rate_per_s: float) -> float:
    """Return how long a retryable call waits for the head of its response.

    ``mean_s`` is the route's mean latency, ``high_s`` a high quantile of its recent latencies, and
    ``rate_per_s`` the target's prefill rate in tokens per second.
    """
    tokens = call.prefill_tokens + call.ahead_tokens
    prefill_s = PREFILL_TIMEOUT_FACTOR * tokens / rate_per_s
    wait_s = WAIT_TIMEOUT_FRACTION * (call.route.wait_s or 0.0)
    latency_s = RESPONSE_TIMEOUT_LATENCIES * mean_s
    usual_s = max(RESPONSE_TIMEOUT_MIN_S, call.route.objective_s, latency_s, prefill_s, wait_s)
    return max(usual_s, min(HIGH_LATENCY_FACTOR * high_s, HIGH_LATENCY_LIMIT * usual_s))
