"""Turns prompts away while the runners can't read them in time.

Load pattern answered: more prompts arrive than the runners can read, say while a third of them is
dark and no cache is warm.  If all were queued, the queue would grow until callers give up, and
every runner would read prompts that nobody waits for any more.  So the queue in front of a new
prompt is kept short enough that what is admitted is answered in time; the less urgent kinds are
turned away first, at once, and are told when to come back.  The size of a prompt does not count:
large ones would never be served.

The same holds for memory: prompts that wait for room on a runner are read no sooner for being sent,
and those that it preempts for them are read twice.  Load pattern answered: runs that last longer
under load fill the memory, which makes them last longer still.

A caller comes back once or twice at most, and is told when the queue will have shrunk.
"""

from typing import Final, NamedTuple

URGENT_SHARE: Final = 0.75
"""The queue in front of the most urgent prompts, as a share of their latency objective."""

STEP_SHARE: Final = 0.1
"""What each lower urgency takes off that share."""

LEAST_SHARE: Final = 0.4
"""The share for the least urgent prompts."""

LEAST_QUEUE_S: Final = 0.25
"""A queue this short turns nobody away, whatever the objective."""

RETRY_LEAST_S: Final = 0.3
RETRY_MOST_S: Final = 4.0
"""Callers wait for a third of the time that they have left at most, often about five seconds."""


MEMORY_URGENT: Final = 1.15
"""Most of a runner's memory that the most urgent prompts may fill, counted with their longest
answers, which few of them reach."""

MEMORY_STEP: Final = 0.05
MEMORY_LEAST: Final = 0.95

MEMORY_RETRY_S: Final = 0.8
"""Runs end and leave room within about this time."""


def queue_limit_s(objective_s: float, urgency: int) -> float:
    """Return the longest queue that a prompt of an urgency (0 is the highest) is put behind.

    >>> queue_limit_s(1.0, 0) > queue_limit_s(1.0, 2) > 0.25
    True
    """
    share = max(LEAST_SHARE, URGENT_SHARE - STEP_SHARE * urgency)
    return max(LEAST_QUEUE_S, share * objective_s)


def memory_limit(urgency: int) -> float:
    """Return the share of a runner's memory that prompts of an urgency may fill."""
    return max(MEMORY_LEAST, MEMORY_URGENT - MEMORY_STEP * urgency)


class Headroom(NamedTuple):
    """What a prompt may find at a runner and still be admitted."""

    queue_s: float
    memory_fraction: float


def headroom(objective_s: float, urgency: int) -> Headroom:
    """Return the bounds of a prompt of an objective and an urgency."""
    return Headroom(queue_limit_s(objective_s, urgency), memory_limit(urgency))


def retry_after_s(queue_s: float, memory_fraction: float, limits: Headroom) -> float | None:
    """Return when a prompt should come back, or None if it is admitted.

    >>> retry_after_s(0.2, 0.5, headroom(1.0, 2)) is None
    True
    >>> retry_after_s(3.0, 0.5, headroom(1.0, 0))
    2.625
    >>> retry_after_s(0.2, 1.3, headroom(1.0, 0))
    0.8
    """
    if queue_s > limits.queue_s:
        return min(RETRY_MOST_S, max(RETRY_LEAST_S, queue_s - limits.queue_s / 2))
    return MEMORY_RETRY_S if memory_fraction > limits.memory_fraction else None
