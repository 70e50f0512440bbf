"""Calls to targets on the system's own behalf, with a limit on time and size."""

import asyncio
from collections.abc import Callable

from filbertstream.connection.buffer_budget import BufferBudget
from filbertstream.connection.response_budget import HEAD_LIMIT_BYTES
from filbertstream.connection.target_connection import IDLE_TIMEOUT_S
from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.platform.headers import Headers
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address
from filbertstream.request.call import ResponseHead


class _BufferedSink:
    """Buffers the response to a call that the system makes itself."""

    def __init__(
        self,
        done: asyncio.Future[tuple[int, bytes] | None],
        buffers: BufferBudget,
        limit_bytes: int,
        on_head: Callable[[ResponseHead], None] | None,
    ) -> None:
        self._done = done
        self._buffers = buffers
        self._limit_bytes = limit_bytes
        self._status = 0
        self._on_head = on_head
        self._body: list[bytes] = []
        self._size = 0

    def on_head(self, response: ResponseHead, reason: str, headers: Headers) -> None:
        """Keep the status, and pass the head on."""
        self._status = response.status
        if self._on_head is not None:
            self._on_head(response)

    def on_body(self, data: bytes) -> bool:
        """Buffer a part of the body; fail if the body exceeds the limit."""
        self._size += len(data)
        if self._size > self._limit_bytes:
            self._give_up()
        if self._done.done():
            return False
        self._body.append(data)
        self._buffers.set(self, self._size, self._give_up)
        return True

    def _give_up(self) -> None:
        self._body.clear()
        self.on_failed("too_large")

    def on_complete(self) -> None:
        """Set the result: status and body."""
        if not self._done.done():
            self._done.set_result((self._status, b"".join(self._body)))

    def on_connection_end(self) -> None:
        """Set the result: the receiver checks whether the body is whole."""
        self.on_complete()

    def on_stalled(self) -> None:
        """Do nothing: such calls have a time limit of their own."""

    def on_failed(self, cause: str) -> None:
        """Set the result to None: there is no valid response."""
        if not self._done.done():
            self._done.set_result(None)


async def call_target(
    pool: TargetConnectionPool,
    address: Address,
    data: bytes,
    timeout_s: float,
    now_s: float,
    limit_bytes: int = HEAD_LIMIT_BYTES,
    on_head: Callable[[ResponseHead], None] | None = None,
) -> tuple[int, bytes] | None:
    """Make a call on the system's own behalf; return status and body, or None without a response.

    A body of more than ``limit_bytes`` counts as no response; its connection is closed.
    """
    conn = pool.take(address, IDLE_TIMEOUT_S, now_s) or await pool.open(address)
    if conn is None or conn.closed:
        return None
    done: asyncio.Future[tuple[int, bytes] | None] = asyncio.get_running_loop().create_future()
    sink = _BufferedSink(done, pool.buffers, limit_bytes, on_head)
    conn.request("", data, sink, 0.0, lambda idle: pool.release(idle, boot_time_s()))
    try:
        response = await asyncio.wait_for(done, timeout_s)
    except TimeoutError:
        response = None
    finally:
        pool.buffers.release(sink)
    if response is None:
        conn.abort()
    return response
