"""Load shedding: rejects prompts that the runners could not prefill in time.

Load pattern handled: more prompts arrive than the runners can prefill, for example while a third of
the runners is down and no cache is warm.  If all were queued, the queue would grow until callers
give up, and every runner would prefill prompts whose callers have disconnected.  The queue ahead of
a new prompt is therefore limited, so that admitted prompts get their responses in time.  Less
urgent prompts are rejected first, at once, with the time after which to retry.  The size of a
prompt does not count, since otherwise large prompts would never be served.

The same holds for memory.  A prompt that waits for free memory on a runner starts no sooner for
having been sent, and the runs that the runner preempts for it are prefilled twice.  Load pattern
handled: runs that last longer under load fill the memory, which makes them last even longer.

A caller retries once or twice at most, so the retry time is when the queue is expected to have
shrunk.
"""

from typing import Final, NamedTuple

URGENT_QUEUE_FRACTION: Final = 0.75
"""The longest queue ahead of the most urgent prompts, as a fraction of their latency objective."""

QUEUE_FRACTION_STEP: Final = 0.1
"""How much that fraction decreases with each step of lower urgency."""

MIN_QUEUE_FRACTION: Final = 0.4
"""The fraction for the least urgent prompts."""

ALWAYS_ADMITTED_QUEUE_S: Final = 0.25
"""A queue up to this length never causes a rejection, whatever the objective."""

RETRY_MIN_S: Final = 0.3
RETRY_MAX_S: Final = 4.0
"""Callers wait for at most a third of their remaining time, which is often about five seconds."""

URGENT_MEMORY_FRACTION: Final = 1.15
"""The fraction of a runner's memory that the most urgent prompts may fill.  It is above 1 because
each prompt counts with its longest possible response, and few responses get that long."""

MEMORY_FRACTION_STEP: Final = 0.05
MIN_MEMORY_FRACTION: Final = 0.95

MEMORY_RETRY_S: Final = 0.8
"""About the time within which runs end and free memory."""


def queue_limit_s(objective_s: float, urgency: int) -> float:
    """Return the longest queue at which a prompt of an urgency is admitted (0 is the most urgent).

    >>> queue_limit_s(1.0, 0) > queue_limit_s(1.0, 2) > 0.25
    True
    """
    fraction = max(MIN_QUEUE_FRACTION, URGENT_QUEUE_FRACTION - QUEUE_FRACTION_STEP * urgency)
    return max(ALWAYS_ADMITTED_QUEUE_S, fraction * objective_s)


def memory_limit(urgency: int) -> float:
    """Return the fraction of a runner's memory that prompts of an urgency may fill."""
    return max(MIN_MEMORY_FRACTION, URGENT_MEMORY_FRACTION - MEMORY_FRACTION_STEP * urgency)


class Headroom(NamedTuple):
    """The longest queue and the fullest memory of a runner at which a prompt is admitted."""

    queue_s: float
    memory_fraction: float


def headroom(objective_s: float, urgency: int) -> Headroom:
    """Return the bounds for a prompt of a latency objective and an urgency."""
    return Headroom(queue_limit_s(objective_s, urgency), memory_limit(urgency))


def retry_after_s(queue_s: float, memory_fraction: float, limits: Headroom) -> float | None:
    """Return the time after which to retry a rejected prompt, or None if it is admitted.

    >>> retry_after_s(0.2, 0.5, headroom(1.0, 2)) is None
    True
    >>> retry_after_s(3.0, 0.5, headroom(1.0, 0))
    2.625
    >>> retry_after_s(0.2, 1.3, headroom(1.0, 0))
    0.8
    """
    if queue_s > limits.queue_s:
        return min(RETRY_MAX_S, max(RETRY_MIN_S, queue_s - limits.queue_s / 2))
    return MEMORY_RETRY_S if memory_fraction > limits.memory_fraction else None
