"""Cuts a byte stream into server-sent events and checks that they belong to one attempt.

The runner numbers its events ``id: <attempt>:<number>``.  An event with another attempt's id is
never passed on; a number that was passed on before is dropped; a gap is taken for a cut.  The
check looks at the first line only, so that a token costs no JSON decoding.
"""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

END_OF_EVENT: Final = b"\n\n"
DONE: Final = b"data: [DONE]\n\n"
EVENT_LIMIT_BYTES: Final = 1_000_000


class StreamFault(Exception):  # noqa: N818 - it is a state of the stream, caught at its edge
    """The stream can't be passed on; ``cause`` is that of ``events.AttemptFailed``."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class StreamPart(NamedTuple):
    """Bytes to pass on together, the number of events among them, and whether they are the end."""

    data: bytes
    events: int
    done: bool


class EventCutter:
    """Turns chunks of one connection into parts; made anew for each connection of an attempt."""

    def __init__(self, attempt_id: str, passed_on: int) -> None:
        self._prefix = f"id: {attempt_id}:".encode()
        self._next = passed_on
        self._buffer = b""
        self.last_event = b""

    def parts(self, chunks: Iterable[bytes]) -> Iterator[StreamPart]:
        """Yield a part for each chunk that completes events.

        All events of a chunk go on together: when this process lags, tokens pile up in one chunk
        and cost one wake-up and one write.
        """
        for chunk in chunks:
            self._buffer += chunk
            if len(self._buffer) > EVENT_LIMIT_BYTES:
                raise StreamFault("malformed")
            part = self._cut()
            if part is not None:
                yield part
                if part.done:
                    return
        raise StreamFault("cut")

    def _cut(self) -> StreamPart | None:
        end = self._buffer.rfind(END_OF_EVENT)
        if end < 0:
            return None
        whole, self._buffer = self._buffer[: end + 2], self._buffer[end + 2 :]
        kept: list[bytes] = []
        count = 0
        for event in whole.split(END_OF_EVENT)[:-1]:
            if event == DONE[:-2]:
                kept.append(DONE)
                return StreamPart(b"".join(kept), count, True)
            if self._take(event):
                kept.append(event + END_OF_EVENT)
                count += 1
        return StreamPart(b"".join(kept), count, False)

    def _take(self, event: bytes) -> bool:
        """Whether an event is the next; raises ``StreamFault`` for a stranger's or a gap."""
        if not event.startswith(self._prefix):
            raise StreamFault("crossed")
        line_end = event.find(b"\n")
        digits = event[len(self._prefix) : line_end]
        if not digits.isdigit():
            raise StreamFault("malformed")
        number = int(digits)
        if number < self._next:
            return False
        if number > self._next:
            raise StreamFault("cut")
        self._next = number + 1
        self.last_event = event
        return True
