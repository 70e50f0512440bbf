"""What an entry may still do after SIGTERM, before the platform kills it.

Load pattern handled: calls keep arriving on open connections, and on new ones until the load
balancer has noticed the stop.  A call that is cut when the process ends has perhaps run, and its
caller can't tell; one that is refused at once is retried at another entry.  So the time that a call
may take, its route's timeout or its deadline, decides whether it is admitted.
"""

import math
from typing import Final

NOTICED_S: Final = 2.8
"""Calls are admitted for this long whatever time they may take: the load balancer may not have
noticed the stop yet, and most calls end long before their limit."""

EXIT_MARGIN_S: Final = 0.4
"""The process exits this long before SIGKILL would follow SIGTERM."""

RESPONSE_MARGIN_S: Final = 0.2
"""The last responses are written this long before the process exits."""

UNLIMITED_S: Final = math.inf


class Stopping:
    """The schedule of a stop, if one has begun.

    >>> stopping = Stopping(grace_s=8.0)
    >>> stopping.begin(100.0)
    >>> stopping.admits(15.0, 102.0), stopping.admits(15.0, 103.0)
    (True, False)
    >>> stopping.admits(2.0, 105.3), stopping.admits(2.0, 105.5)
    (True, False)
    """

    def __init__(self, grace_s: float = UNLIMITED_S) -> None:
        self._grace_s = grace_s
        self.since_s: float | None = None

    def set_grace(self, grace_s: float) -> None:
        """Change the time from SIGTERM to SIGKILL, also during a stop."""
        self._grace_s = grace_s

    def begin(self, now_s: float) -> None:
        """Begin the stop, unless it has begun."""
        if self.since_s is None:
            self.since_s = now_s

    @property
    def begun(self) -> bool:
        """Whether the process is to end."""
        return self.since_s is not None

    def admits(self, limit_s: float, now_s: float) -> bool:
        """Whether a call that ends after ``limit_s`` at the latest may still be admitted."""
        if self.since_s is None or now_s < min(self.since_s + NOTICED_S, self.responses_end_s):
            return True
        return now_s + limit_s <= self.responses_end_s

    @property
    def responses_end_s(self) -> float:
        """The time at which calls that are still running get their final response."""
        return self.exits_at_s - RESPONSE_MARGIN_S

    @property
    def exits_at_s(self) -> float:
        """The time at which the process exits."""
        return math.inf if self.since_s is None else self.since_s + self._grace_s - EXIT_MARGIN_S
