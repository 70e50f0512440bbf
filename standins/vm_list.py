"""The platform's list of live and leaving VMs, which lags behind what is true.

GET  /v1/vms    the list as it was LAG seconds ago
POST /v1/vms    replace the list (for tests and the demo)
POST /v1/state  {"vm": ..., "state": "live" | "leaving"}
"""

import threading
import time
from collections import deque
from pathlib import Path
from typing import Any

import msgspec

from standins.base import Environ, Faults, Start, parser, read_json, reply, serve


class VmList:
    """The true list and its history."""

    def __init__(self, rows: list[dict[str, Any]], lag_s: float) -> None:
        self._lock = threading.Lock()
        self._lag_s = lag_s
        self._history: deque[tuple[float, list[dict[str, Any]]]] = deque([(0.0, rows)])

    def __call__(self, environ: Environ, start: Start) -> list[bytes]:
        """Serve one call."""
        with self._lock:
            if environ["REQUEST_METHOD"] == "POST":
                self._change(environ)
            return reply(start, 200, self._lagging())

    def _change(self, environ: Environ) -> None:
        asked = read_json(environ)
        rows = self._history[-1][1]
        if environ["PATH_INFO"] == "/v1/state":
            rows = [
                row | {"state": asked["state"]} if row["vm"] == asked["vm"] else row for row in rows
            ]
        else:
            rows = asked
        self._history.append((time.monotonic(), rows))

    def _lagging(self) -> list[dict[str, Any]]:
        seen_s = time.monotonic() - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= seen_s:
            self._history.popleft()
        return self._history[0][1]


def main() -> None:
    """Run the stand-in."""
    found = parser("stand-in for the platform's list of VMs")
    found.add_argument("--vms", required=True, help="JSON file with the list")
    found.add_argument("--lag-s", type=float, default=1.0)
    options = found.parse_args()
    rows = msgspec.json.decode(Path(options.vms).read_bytes())
    app = VmList(rows, options.lag_s)
    serve(options.listen, options.control, app, Faults(), dict)


if __name__ == "__main__":
    main()
