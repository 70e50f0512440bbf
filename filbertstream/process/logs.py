"""Structured logs by structlog: one JSON object per line, with its number from ``log_events``.

``BoundedStream`` keeps a slow reader of standard output from blocking the process: lines are queued
up to a limit and written by a thread, and lines beyond the limit are counted and dropped.
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
"""Maximum number of queued lines; further ones are dropped."""

FLUSH_S: Final = 0.1
"""Interval of writes; the lines of one interval are written together."""


class BoundedStream:
    """A text stream whose ``write`` never blocks."""

    def __init__(self, stream: TextIO = sys.stdout) -> None:
        self._stream = stream
        self._lines: deque[str] = deque()
        self._stop = threading.Event()
        self._has_lines = threading.Event()
        self._thread = threading.Thread(target=self._write_queued, name="log", daemon=True)
        self.dropped = 0

    def start(self) -> None:
        """Start the thread that writes the queued lines."""
        self._thread.start()

    def close(self) -> None:
        """Write the queued lines and stop the thread."""
        self._stop.set()
        self._has_lines.set()
        if self._thread.is_alive():
            self._thread.join(timeout=1.0)

    def write(self, text: str) -> int:
        """Queue text, or count it as dropped."""
        if len(self._lines) >= QUEUED_LINES:
            self.dropped += 1
        else:
            self._lines.append(text)
            self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the thread writes the lines."""

    def _write_queued(self) -> None:
        stopping = False
        while not stopping:
            self._has_lines.wait()
            stopping = self._stop.wait(FLUSH_S)
            self._has_lines.clear()
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            if lines:
                try:
                    self._stream.write("".join(lines))
                    self._stream.flush()
                except OSError:
                    # The disk is full, or nothing reads the pipe any more; it may pass.
                    self.dropped += len(lines)


class EventLog:
    """Writes the log events of one entry."""

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
        """Write one event with its fields."""
        self._logger.info(LogEvent(number).name.lower(), number=number, **dict(fields))
