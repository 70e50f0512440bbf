"""Structured logs by structlog: a JSON object a line, each with its number from ``log_events``."""

import logging
import sys
from typing import Final, TextIO

import structlog

from filbertstream.log_events import LogEvent

LEVELS: Final[dict[str, int]] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

QUIET_EVENTS: Final = frozenset({LogEvent.REQUEST_FINISHED, LogEvent.CLAIM_SETTLED})
"""Events that every request causes; they are written at the debug level."""


class EventLog:
    """Writes numbered events of one entry."""

    def __init__(self, entry: str, level: str, stream: TextIO = sys.stdout) -> None:
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(stream),
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
        event = LogEvent(number)
        name = event.name.lower()
        if event in QUIET_EVENTS:
            self._logger.debug(name, number=number, **dict(fields))
        else:
            self._logger.info(name, number=number, **dict(fields))
