"""How long a send may take before its call goes elsewhere, and which connections it may use.

Load patterns and faults answered: targets that are silent without closing (a repeatable call goes
to another one), long prompts behind a queue (they are not late while they are read), connections
that something on their way has forgotten (a call that must not be repeated takes none that was idle
for long).
"""

from typing import Final

from filbertstream.request.call_state import Call
from filbertstream.version.routes import CallKind

SILENCE_FACTOR: Final = 4.0
"""A resumable stream without an event for this many gap objectives goes on elsewhere."""

SILENCE_MIN_S: Final = 0.8
"""The least of that time: runners that read a long prompt between two events take half of it."""

SILENCE_PLAIN_S: Final = 2.0
"""The same for the body of a plain answer, whose time limit usually comes first."""

PATIENCE_FACTOR: Final = 6.0
"""A repeatable call without an answer for this many usual latencies goes to another target."""

PATIENCE_MIN_S: Final = 0.15
"""The least of that time: several times a plain answer of an idle service."""

KEPT_IDLE_S: Final = 3.0
"""A connection that was idle for longer may have been forgotten by something on its way."""

FRESH_IDLE_S: Final = 0.5
"""The same for a call that must not be repeated.  After a failed send, other connections that were
idle may have gone silent together with the one that failed, and only a new one is used."""

READING_FACTOR: Final = 2.0
"""A prompt is not late before this many times the reading of it and of the queue before it: sent
elsewhere sooner, a long one would be read twice."""

WAIT_PATIENCE_SHARE: Final = 0.1
"""Callers that would rather wait are not late before this share of their wait: a repeat adds to the
load that made them wait."""


def max_idle_s(call: Call) -> float:
    """Return how long a connection that is taken for a call may have been idle."""
    if call.failed_sends:
        return 0.0
    return KEPT_IDLE_S if call.route.retryable else FRESH_IDLE_S


def progress_timeout_s(call: Call) -> float:
    """Return how long an answer that has begun may be silent before it might go on elsewhere."""
    if call.route.kind is not CallKind.STREAM:
        return SILENCE_PLAIN_S
    gap_s = call.route.gap_objective_s or SILENCE_MIN_S
    return max(SILENCE_MIN_S, SILENCE_FACTOR * gap_s)


def patience_s(call: Call, usual_s: float, rate_per_s: float) -> float:
    """Return how long a repeatable call waits for the head of its answer.

    ``usual_s`` is the route's mean latency, ``rate_per_s`` the tokens that the target reads.
    """
    tokens = call.queued_tokens + call.ahead_tokens
    reading_s = READING_FACTOR * tokens / rate_per_s
    wait_s = WAIT_PATIENCE_SHARE * (call.route.wait_s or 0.0)
    longest_s = PATIENCE_FACTOR * usual_s
    return max(PATIENCE_MIN_S, call.route.objective_s, longest_s, reading_s, wait_s)
