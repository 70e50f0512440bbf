"""The record of what arrived at a target: a file of JSON lines that outlasts the process.

A request gets a line on its arrival, when its run begins, when its answer begins, and when that
ends or the connection is dropped.  Times are of ``time.monotonic``, the same in all processes.
"""

import itertools
import os
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from standins.base import App, Environ, Start

MARK_RUN: Final = "standin.mark_run"
"""Key of the WSGI environment for the callable that marks the begin of a run."""

MARK_USED: Final = "standin.mark_used"
"""The same for the callable that records the use of cached blocks."""


class Arrival(NamedTuple):
    """A request at a target; ``start`` numbers the processes of targets.

    ``deadline_ms`` is absent if the request bore none.  ``status`` is absent if no answer began,
    ``ended_s`` if the process ended before the answer did.  ``cut`` says that the answer broke off,
    by the target or by the connection's close.  ``used`` are the cached blocks that a request of
    another tenant had made, each with that tenant.
    """

    request_id: str
    target: str
    start: int
    at_s: float
    path: str = ""
    deadline_ms: int | None = None
    blocks: str = ""
    ran_s: float | None = None
    status: int | None = None
    pause_s: float | None = None
    leaving: bool = False
    ended_s: float | None = None
    cut: bool = False
    tenant: str | None = None
    used: tuple[tuple[str, str | None], ...] = ()


class ArrivalRecord:
    """Appends the arrivals at one target to a file."""

    def __init__(self, file: Path, target: str) -> None:
        self._file = os.open(file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self._target = target
        self._numbers = itertools.count(1)

    def _write(self, number: int, fields: dict[str, Any]) -> None:
        line = {"start": os.getpid(), "number": number, **fields}
        os.write(self._file, msgspec.json.encode(line) + b"\n")

    def around(self, app: App) -> App:
        """Wrap an application so that its requests are recorded."""

        def serve(environ: Environ, start: Start) -> Iterable[bytes]:
            if "HTTP_REQUEST_ID" not in environ:
                return app(environ, start)
            number = next(self._numbers)
            self._write(number, _arrived(environ, self._target))
            environ[MARK_RUN] = lambda: self._write(number, {"ran_s": time.monotonic()})
            environ[MARK_USED] = lambda fields: self._write(number, fields)

            def start_recorded(status: str, headers: list[tuple[str, str]]) -> Any:
                self._write(number, _answered(status, dict(headers)))
                return start(status, headers)

            try:
                body = app(environ, start_recorded)
            except BaseException:
                self._write(number, {"ended_s": time.monotonic(), "cut": True})
                raise
            return self._body(number, body)

        return serve

    def _body(self, number: int, body: Iterable[bytes]) -> Iterator[bytes]:
        cut = True
        try:
            yield from body
            cut = False
        finally:
            self._write(number, {"ended_s": time.monotonic(), "cut": cut})


def _arrived(environ: Environ, target: str) -> dict[str, Any]:
    deadline = environ.get("HTTP_DEADLINE_MS")
    return {
        "request_id": environ["HTTP_REQUEST_ID"],
        "target": target,
        "at_s": time.monotonic(),
        "path": environ["PATH_INFO"],
        "deadline_ms": None if deadline is None else int(deadline),
        "blocks": environ.get("HTTP_PREFIX_HASH", ""),
    }


def _answered(status: str, headers: dict[str, str]) -> dict[str, Any]:
    pause = headers.get("Retry-After")
    return {
        "status": int(status.partition(" ")[0]),
        "pause_s": None if pause is None else float(pause),
        "leaving": headers.get("Server-Leaving") == "1",
    }


def mark_run(environ: Environ) -> None:
    """Record that the run of a request begins, if its target keeps a record."""
    mark: Callable[[], None] | None = environ.get(MARK_RUN)
    if mark is not None:
        mark()


def mark_used(environ: Environ, tenant: str | None, used: Sequence[tuple[str, str | None]]) -> None:
    """Record the blocks that a request uses and another tenant's request has made."""
    mark: Callable[[dict[str, Any]], None] | None = environ.get(MARK_USED)
    if mark is not None:
        mark({"tenant": tenant, "used": used})


def read_arrivals(file: Path) -> list[Arrival]:
    """Return the arrivals that a file records, in order of time."""
    found: dict[tuple[int, int], dict[str, Any]] = {}
    for line in file.read_bytes().splitlines() if file.exists() else []:
        fields = msgspec.json.decode(line)
        found.setdefault((fields["start"], fields.pop("number")), {}).update(fields)
    return sorted((Arrival(**fields) for fields in found.values()), key=lambda item: item.at_s)
