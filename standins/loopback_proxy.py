"""A TCP proxy on loopback that injects connection faults, for the soak and the link tests.

Faults, set on its control port as those of all stand-ins:

    delay_s    bytes are delayed by this time
    silent     connections open when it is set drop all bytes from then on; new ones work
    cut_up     bytes towards the server are dropped while it is set
    cut_down   bytes towards the client are dropped while it is set
    reset      (counted) all connections are reset
    refuse     new connections are reset

``/counts`` returns how many connections were opened and how many were affected by a fault.
"""

import asyncio
import threading
from typing import Any, Final

from standins.base import Faults, control_server, parser

CHUNK_BYTES: Final = 65_536
FAULT_POLL_S: Final = 0.02
"""Interval at which the faults that act on all open connections are polled."""


class Link:
    """A client's connection and the proxy's connection to the server."""

    def __init__(self, up: asyncio.StreamWriter, down: asyncio.StreamWriter) -> None:
        self.up = up
        self.down = down
        self.stalled = False

    def abort(self) -> None:
        """Reset both ends."""
        for writer in (self.up, self.down):
            transport: Any = writer.transport
            transport.abort()


class LoopbackProxy:
    """All connections to one server."""

    def __init__(self, server: str, faults: Faults) -> None:
        self._host, _, port = server.rpartition(":")
        self._port = int(port)
        self._faults = faults
        self._links: set[Link] = set()
        self._was_stalled = False
        self.opened = 0
        self.harmed = 0

    def counts(self) -> object:
        """Return the numbers of connections."""
        return {"opened": self.opened, "harmed": self.harmed}

    async def serve(self, listen: str) -> None:
        """Accept connections until the process is ended."""
        host, _, port = listen.rpartition(":")
        server = await asyncio.start_server(self._accept, host, int(port), backlog=512)
        async with server:
            while True:
                await asyncio.sleep(FAULT_POLL_S)
                self._apply_faults()

    def _apply_faults(self) -> None:
        """Apply the faults that act on all open connections."""
        stalled = bool(self._faults.get("silent"))
        if stalled and not self._was_stalled:
            for link in self._links:
                link.stalled = True
            self.harmed += len(self._links)
        self._was_stalled = stalled
        if self._faults.take("reset"):
            self.harmed += len(self._links)
            for link in list(self._links):
                link.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        if self._faults.get("refuse"):
            self.harmed += 1
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            # Nothing listens on the server's port: the client sees the same as without a proxy.
            writer.transport.abort()
            return
        link = Link(server_writer, writer)
        self._links.add(link)
        try:
            async with asyncio.TaskGroup() as pumps:
                pumps.create_task(self._pump(link, reader, server_writer, "cut_up"))
                pumps.create_task(self._pump(link, server_reader, writer, "cut_down"))
        finally:
            self._links.discard(link)
            link.abort()

    async def _pump(
        self, link: Link, source: asyncio.StreamReader, sink: asyncio.StreamWriter, cut: str
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                delay_s = self._faults.get("delay_s")
                if delay_s:
                    await asyncio.sleep(delay_s)
                if not link.stalled and not self._faults.get(cut):
                    sink.write(data)
                    await sink.drain()
            if sink.can_write_eof() and not link.stalled:
                sink.write_eof()
        except OSError:
            # One end is closed, so the other is closed too.
            link.abort()


def main() -> None:
    """Run the proxy."""
    args_parser = parser("TCP proxy that injects connection faults")
    args_parser.add_argument(
        "--server", required=True, help="address of the proxied server, host:port"
    )
    options = args_parser.parse_args()
    faults = Faults()
    proxy = LoopbackProxy(options.server, faults)
    threading.Thread(
        target=control_server(options.control, faults, proxy.counts).serve, daemon=True
    ).start()
    asyncio.run(proxy.serve(options.listen))


if __name__ == "__main__":
    main()
