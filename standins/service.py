"""A plain service that takes bookings and counts how often each one ran.

    POST /bookings   {"reference": ...}; runs it, however often it was run before
    GET  /bookings   the references and how often each ran
    GET  /anything   echoes the path

Faults besides those of ``standins.base``: ``cut_after_run`` runs this many calls and cuts them off,
``run_s`` makes a run take longer, ``crossed`` answers with a stranger's request id.
"""

import threading
import time
from collections import Counter

from standins.base import Cut, Environ, Faults, Start, parser, read_json, reply, serve


class Service:
    """The bookings that ran."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._lock = threading.Lock()
        self.runs: Counter[str] = Counter()

    def __call__(self, environ: Environ, start: Start) -> list[bytes]:
        """Serve one call."""
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if self._faults.take("crossed"):
            request_id = "another"
        headers = {"X-Request-Id": request_id}
        if environ["REQUEST_METHOD"] == "POST":
            return self._book(environ, start, headers)
        if environ["PATH_INFO"] == "/bookings":
            with self._lock:
                return reply(start, 200, dict(self.runs), headers)
        return reply(start, 200, {"path": environ["PATH_INFO"]}, headers)

    def _book(self, environ: Environ, start: Start, headers: dict[str, str]) -> list[bytes]:
        reference = str((read_json(environ) or {}).get("reference", ""))
        time.sleep(self._faults.get("run_s"))
        with self._lock:
            self.runs[reference] += 1
            number = sum(self.runs.values())
        if self._faults.take("cut_after_run"):
            raise Cut
        return reply(start, 200, {"reference": reference, "confirmation": number}, headers)


def main() -> None:
    """Run the stand-in."""
    options = parser("stand-in for a plain service").parse_args()
    faults = Faults()
    app = Service(faults)
    serve(options.listen, options.control, app, faults, lambda: dict(app.runs))


if __name__ == "__main__":
    main()
