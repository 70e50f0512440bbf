"""The log lines of the latest calls, for operators who look into the outcome of a call.

They are kept in memory, and the oldest calls are dropped first; ``log_explain`` finds the same
lines in log files.  They contain no prompt, response or key.
"""

from collections import OrderedDict
from typing import Final

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent

CALLS_LIMIT: Final = 2_000
LINES_LIMIT: Final = 40
"""Maximum number of lines per call; further ones are dropped."""

Line = dict[str, str | int | float]


class RecentCalls:
    """Log lines by request id."""

    def __init__(self) -> None:
        self._lines: OrderedDict[str, list[Line]] = OrderedDict()

    def note(self, log: Log) -> None:
        """Keep a log line that has a request id."""
        fields = dict(log.fields)
        request_id = fields.pop("request_id", "")
        if not isinstance(request_id, str) or not request_id:
            return
        lines = self._lines.setdefault(request_id, [])
        if len(lines) < LINES_LIMIT:
            lines.append({"event": LogEvent(log.number).name.lower(), **fields})
        while len(self._lines) > CALLS_LIMIT:
            self._lines.popitem(last=False)

    def find(self, request_id: str) -> list[Line] | None:
        """Return the log lines of a request, or None if there are none."""
        return self._lines.get(request_id)
