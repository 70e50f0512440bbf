"""Structured logs by structlog: a JSON object a line, each with its number from ``log_events``.

``BoundedStream`` keeps a slow reader of standard output from holding up the process: lines wait in
a bounded queue that a thread writes out, and what finds no room is counted and left out.
"""

import logging
import sys
import threading
from collections import deque
from typing import Final, TextIO, cast

import structlog

from filbertstream.log_events import LogEvent

LEVELS: Final[dict[str, int]] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

QUEUED_LINES: Final = 4_000
"""Lines that wait to be written; further ones are left out."""

FLUSH_S: Final = 0.1
"""Lines of this much time are written out together."""


class BoundedStream:
    """A text stream whose ``write`` never blocks."""

    def __init__(self, stream: TextIO = sys.stdout) -> None:
        self._stream = stream
        self._lines: deque[str] = deque()
        self._stop = threading.Event()
        self._waiting = threading.Event()
        self._thread = threading.Thread(target=self._drain, name="log", daemon=True)
        self.dropped = 0

    def start(self) -> None:
        """Begin to write lines out."""
        self._thread.start()

    def close(self) -> None:
        """Write out what waits and stop."""
        self._stop.set()
        self._waiting.set()
        if self._thread.is_alive():
            self._thread.join(timeout=1.0)

    def write(self, text: str) -> int:
        """Queue text, or count it as dropped."""
        if len(self._lines) >= QUEUED_LINES:
            self.dropped += 1
        else:
            self._lines.append(text)
            self._waiting.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written by the thread."""

    def _drain(self) -> None:
        stopping = False
        while not stopping:
            self._waiting.wait()
            stopping = self._stop.wait(FLUSH_S)
            self._waiting.clear()
            waiting = "".join([self._lines.popleft() for _ in range(len(self._lines))])
            if waiting:
                self._stream.write(waiting)
                self._stream.flush()


class EventLog:
    """Writes numbered events of one entry."""

    def __init__(
        self,
        entry: str,
        level: str,
        stream: TextIO | BoundedStream = sys.stdout,
    ) -> None:
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(cast(TextIO, stream)),
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", key="time"),
                structlog.processors.JSONRenderer(),
            ],
            wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
            entry=entry,
        )

    def write(self, number: int, fields: tuple[tuple[str, str | int | float], ...] = ()) -> None:
        """Write one event."""
        self._logger.info(LogEvent(number).name.lower(), number=number, **dict(fields))
