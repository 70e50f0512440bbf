"""Pauses the reading of a caller's connection, and looks for its end meanwhile.

Load pattern handled: callers that write more than there is room for, and leave.  The event loop
doesn't report the end of a connection that isn't read, so targets would go on working for them.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from filbertstream.connection.unread_bytes import has_ended

CHECK_S: Final = 0.1
"""Interval of looking for the end of a connection that isn't read."""


class ReadPauses:
    """The reasons for which a connection is not read; it is read again once there is none.

    ``start`` is called when the connection is open, ``close`` when it has ended.  An end behind
    more bytes than the kernel holds can't be seen.
    """

    def __init__(self) -> None:
        self._on_ended: Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._reasons: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.Transport, on_ended: Callable[[], None]) -> None:
        """Begin with a connection that is read.

        ``on_ended`` is called if the other side has closed the connection during a pause.
        """
        self._transport, self._on_ended = transport, on_ended

    def pause(self, reason: str) -> None:
        """Stop to read, if nothing else has stopped it."""
        if not self._reasons and self._transport is not None:
            self._transport.pause_reading()
            self._set_timer()
        self._reasons.add(reason)

    def resume(self, reason: str) -> None:
        """Read again, unless there is another reason not to."""
        self._reasons.discard(reason)
        if not self._reasons and self._transport is not None:
            self._transport.resume_reading()
            self._stop_timer()

    def close(self) -> None:
        """Forget the connection, so that no cycle of references keeps it."""
        self._transport = self._on_ended = None
        self._stop_timer()

    def _set_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_S, self._check)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        if self._transport is None or self._on_ended is None:
            return
        if has_ended(self._transport):
            self._on_ended()
        else:
            self._set_timer()
