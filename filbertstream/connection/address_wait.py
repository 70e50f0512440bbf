"""Waits for addresses that are in use when an entry starts.

Faults handled: the predecessor of an entry is still ending, and the system has given a port to an
outgoing connection, which holds it for a minute after its end (TIME_WAIT).  Both pass; an address
that stays taken ends the start.
"""

import asyncio
import errno
import socket
import time
from collections.abc import Callable
from typing import Final

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent
from filbertstream.process.deployment import Address

BACKLOG: Final = 512
RETRY_S: Final = 0.05

ADDRESS_WAIT_S: Final = 65.0
"""Longer than the 60 s of TIME_WAIT and than the usual grace period of a predecessor."""


class AddressWait:
    """One bounded wait for all addresses of an entry; ``stopped`` ends it early."""

    def __init__(
        self, within_s: float, stopped: Callable[[], bool], write_log: Callable[[Log], None]
    ) -> None:
        self._within_s = within_s
        self._ends_at_s = time.monotonic() + within_s
        self._stopped = stopped
        self._write_log = write_log

    async def listen(self, address: Address, listen: Callable[[], object]) -> bool:
        """Call ``listen`` until the address is free; return False if the process stops before.

        Raises ``OSError`` if the address is still in use at the end, or can't be listened on.
        """
        logged = False
        while not self._stopped():
            try:
                listen()
                return True
            except OSError as exc:
                if exc.errno != errno.EADDRINUSE or time.monotonic() >= self._ends_at_s:
                    raise
            if not logged:
                logged = True
                fields = (("address", str(address)), ("within_s", self._within_s))
                self._write_log(Log(LogEvent.ADDRESS_IN_USE, fields))
            await asyncio.sleep(RETRY_S)
        return False

    async def listening_socket(self, address: Address) -> socket.socket | None:
        """Return a socket that listens, or None if the process stops before; raises as above."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sockets: list[socket.socket] = []
        await self.listen(
            address,
            lambda: sockets.append(socket.create_server(address, family=family, backlog=BACKLOG)),
        )
        return sockets[0] if sockets else None
