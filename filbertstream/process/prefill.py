"""How long a prompt waits at a runner until it is read, from the prompts that are not read yet.

Every entry knows which of its own prompts have had no answer yet, and tells the others; the sum is
the queue in front of a new one.  Unlike a count of what was sent less what a known rate would have
read, it corrects itself: a prompt that was answered is out of it.

>>> queue = PrefillQueue()
>>> queue.sent(6_000); queue.sent(2_000); queue.queued_tokens
8000
>>> queue.answered(6_000, ahead=0, waited_s=0.2); queue.queued_tokens
2000
>>> queue.rate_per_s < INITIAL_RATE_PER_S
True
"""

from typing import Final

INITIAL_RATE_PER_S: Final = 40_000.0
"""Tokens a second that a runner is taken to read before any observation."""

RATE_MIN_PER_S: Final = 4_000.0
"""A runner is never taken to be slower: an observation may be of a wait for something else."""

LEARN_FROM_TOKENS: Final = 2_000
"""Less than this tells more of the latency around it than of the rate."""

RATE_WEIGHT: Final = 0.1
"""Weight of a new observation in the rate."""


class PrefillQueue:
    """The unread prompts of this entry at one runner, and the rate at which the runner reads."""

    def __init__(self) -> None:
        self.queued_tokens = 0
        self.rate_per_s = INITIAL_RATE_PER_S

    def sent(self, tokens: int) -> None:
        """Count a prompt in."""
        self.queued_tokens += tokens

    def dropped(self, tokens: int) -> None:
        """Count a prompt out that will not be read, or whose reading tells nothing."""
        self.queued_tokens -= tokens

    def answered(self, tokens: int, ahead: int, waited_s: float) -> None:
        """Count a prompt out whose first event came after ``ahead`` tokens and its own."""
        self.queued_tokens -= tokens
        read = tokens + ahead
        if read < LEARN_FROM_TOKENS or waited_s <= 0:
            return
        rate = max(RATE_MIN_PER_S, read / waited_s)
        self.rate_per_s += RATE_WEIGHT * (rate - self.rate_per_s)
