"""Lets other threads ask the core something: the question runs on the event loop's thread."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Future
from typing import Final, TypeVar

from filbertstream.gateway import Gateway
from filbertstream.process.clock import boot_time_s

T = TypeVar("T")

QUERY_WITHIN_S: Final = 5.0
"""The loop is never busy for this long; waiting longer would hold an operator's thread."""


class CoreQueries:
    """Questions that change nothing."""

    def __init__(self, core: Gateway) -> None:
        self._core = core
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Ask on this loop from now on."""
        self._loop = loop

    def query(self, ask: Callable[[Gateway, float], T]) -> T:
        """Return what ``ask`` finds; raises ``TimeoutError`` where the loop has ended."""
        if self._loop is None:
            raise AssertionError("query before start")
        done: Future[T] = Future()

        def run() -> None:
            try:
                done.set_result(ask(self._core, boot_time_s()))
            except Exception as exc:
                # It belongs to whoever asked.
                done.set_exception(exc)

        self._loop.call_soon_threadsafe(run)
        return done.result(QUERY_WITHIN_S)
