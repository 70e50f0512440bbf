"""How late the event loop runs what is due.

Bytes that arrive and connections that close are noticed as late as timers are, so a line of this
explains a late response, or work that went on after its caller had left.
"""

import time
from collections.abc import Callable
from typing import Final

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent
from filbertstream.process.latencies import Latencies

LOGGED_S: Final = 0.1
"""Smaller delays are only counted."""


class LoopLateness:
    """Measures the delay of a timer that is set again and again.

    ``begin(0.025)`` before the wait and ``end()`` after it; time in suspend does not count.
    """

    def __init__(self, latencies: Latencies, write_log: Callable[[Log], None]) -> None:
        self._latencies = latencies
        self._write_log = write_log
        self._due_s = 0.0

    def begin(self, wait_s: float) -> None:
        """Note that the timer is due after ``wait_s`` seconds."""
        self._due_s = time.monotonic() + wait_s

    def end(self) -> None:
        """Record how late the timer has run."""
        late_s = max(0.0, time.monotonic() - self._due_s)
        self._latencies.note("event loop lateness", late_s)
        if late_s >= LOGGED_S:
            self._write_log(Log(LogEvent.LOOP_LATE, (("late_s", round(late_s, 3)),)))
