"""What becomes of an error that nothing on the event loop caught.

An error of a connection (a failed TLS handshake, say) concerns its peer alone and is counted.  Any
other one is a fault of this program: a caller may be left waiting for an answer that nobody makes
any more, so the process is told to end and another one starts in its place.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from filbertstream.process.counters import Counters


class LoopExceptionHandler:
    """The exception handler of an event loop."""

    def __init__(self, counters: Counters, on_broken: Callable[[str], None]) -> None:
        self._counters = counters
        self._on_broken = on_broken

    def __call__(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Take an error in; ``context`` is as asyncio describes it."""
        exc = context.get("exception")
        if isinstance(exc, OSError):
            self._counters.add("connection_errors", type(exc).__name__)
            return
        self._on_broken(f"{context.get('message', '')}: {exc!r}")
