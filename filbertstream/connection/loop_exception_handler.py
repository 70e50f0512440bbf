"""Handles exceptions that nothing on the event loop caught.

An ``OSError`` of a connection (say, a failed TLS handshake) affects only that connection and is
counted.  Any other exception is a bug: a caller may wait for a response that will never be sent, so
the process is stopped and its supervisor starts a new one.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from filbertstream.process.counters import Counters


class LoopExceptionHandler:
    """The exception handler of an event loop."""

    def __init__(self, counters: Counters, on_fatal: Callable[[str], None]) -> None:
        self._counters = counters
        self._on_fatal = on_fatal

    def __call__(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Handle an exception; asyncio documents ``context`` at ``call_exception_handler``."""
        exc = context.get("exception")
        if isinstance(exc, OSError):
            self._counters.add("connection_errors", type(exc).__name__)
            return
        self._on_fatal(f"{context.get('message', '')}: {exc!r}")
