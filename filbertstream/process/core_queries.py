"""Runs queries of other threads against the core on the event loop's thread."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Future
from typing import Final, TypeVar

from filbertstream.gateway import Gateway
from filbertstream.process.clock import boot_time_s

T = TypeVar("T")

QUERY_TIMEOUT_S: Final = 5.0
"""The event loop is never busy for this long; a longer wait would block an operator thread."""


class CoreQueries:
    """Read-only queries of the core."""

    def __init__(self, core: Gateway) -> None:
        self._core = core
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run queries on this event loop from now on."""
        self._loop = loop

    def query(self, read: Callable[[Gateway, float], T]) -> T:
        """Return the result of ``read``; raise ``TimeoutError`` if the event loop has ended."""
        if self._loop is None:
            raise AssertionError("CoreQueries.query was called before start")
        done: Future[T] = Future()

        def run() -> None:
            try:
                done.set_result(read(self._core, boot_time_s()))
            except Exception as exc:
                # The exception is raised in the thread of the query.
                done.set_exception(exc)

        self._loop.call_soon_threadsafe(run)
        return done.result(QUERY_TIMEOUT_S)
