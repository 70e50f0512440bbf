"""The queue of prompts at a runner that are not prefilled yet, and the runner's prefill rate.

Every entry tracks which of its prompts have had no response yet, and reports them to its peers;
the sum is the queue ahead of a new prompt.  This corrects itself, unlike an estimate from the
tokens sent and a known rate: a prompt leaves the queue when its response begins.

>>> queue = PrefillQueue()
>>> queue.sent(6_000); queue.sent(2_000); queue.queued_tokens
8000
>>> queue.responded(6_000, ahead=0, waited_s=0.2), queue.queued_tokens
(True, 2000)
>>> queue.rate_per_s < INITIAL_RATE_PER_S
True
"""

from typing import Final

INITIAL_RATE_PER_S: Final = 40_000.0
"""Prefill rate in tokens per second that is assumed before any observation."""

RATE_MIN_PER_S: Final = 4_000.0
"""Lower bound of the observed rate: a long wait may have another cause than prefill."""

MIN_SAMPLE_TOKENS: Final = 2_000
"""Smaller samples measure the latency around the prefill rather than its rate."""

RATE_WEIGHT: Final = 0.1
"""Weight of a new sample in the moving average of the rate."""


class PrefillQueue:
    """This entry's queued prompt tokens at one runner, and the runner's prefill rate."""

    def __init__(self) -> None:
        self.queued_tokens = 0
        self.rate_per_s = INITIAL_RATE_PER_S

    def sent(self, tokens: int) -> None:
        """Add a prompt to the queue."""
        self.queued_tokens += tokens

    def dropped(self, tokens: int) -> None:
        """Remove a prompt that will not be prefilled, or whose prefill time is no sample."""
        self.queued_tokens -= tokens

    def responded(self, tokens: int, ahead: int, waited_s: float) -> bool:
        """Remove a prompt whose response has begun, and update the rate; return whether it was.

        ``ahead`` is the number of tokens that were queued ahead of it, ``waited_s`` the time from
        its send to its first event.
        """
        self.queued_tokens -= tokens
        prefilled = tokens + ahead
        if prefilled < MIN_SAMPLE_TOKENS or waited_s <= 0:
            return False
        rate = max(RATE_MIN_PER_S, prefilled / waited_s)
        self.rate_per_s += RATE_WEIGHT * (rate - self.rate_per_s)
        return True
