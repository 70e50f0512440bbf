"""The weight store: hands out weights under a rate limit, shared by all that load at once.

GET /v1/weights/MODEL/VERSION   takes LOAD_S, longer while more than two load at once
"""

import threading
import time
from typing import Final

from standins.base import Environ, Faults, Start, parser, reply, serve

LOAD_S: Final = 0.5
AT_ONCE: Final = 2


class WeightStore:
    """Counts the loads under way."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._loading = 0
        self.counts = {"loads": 0, "most_at_once": 0}

    def __call__(self, environ: Environ, start: Start) -> list[bytes]:
        """Serve one load."""
        with self._lock:
            self._loading += 1
            self.counts["loads"] += 1
            self.counts["most_at_once"] = max(self.counts["most_at_once"], self._loading)
            wait_s = LOAD_S * max(1.0, self._loading / AT_ONCE)
        time.sleep(wait_s)
        with self._lock:
            self._loading -= 1
        return reply(start, 200, {"path": environ["PATH_INFO"], "seconds": wait_s})


def main() -> None:
    """Run the stand-in."""
    options = parser("stand-in for the weight store").parse_args()
    app = WeightStore()
    serve(options.listen, options.control, app, Faults(), lambda: app.counts)


if __name__ == "__main__":
    main()
