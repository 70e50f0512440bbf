"""Cuts a byte stream into server-sent events and checks that they belong to one attempt.

The runner numbers its events ``id: <attempt>:<number>``.  An event with another attempt's id is
never passed on; a number that was passed on before is dropped; a gap is taken for a cut.  The
check looks at the first line only, so that a token costs no JSON decoding.  The end mark carries no
number, so it counts only after an event that gives a finish reason: without that check a stream
whose last events got lost would pass for a short success.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

import msgspec

END_OF_EVENT: Final = b"\n\n"
DONE: Final = b"data: [DONE]\n\n"
DATA: Final = b"data: "
EVENT_LIMIT_BYTES: Final = 1_000_000
LATEST_EVENTS: Final = 3
"""The finish reason is in one of this many last events; token counts may follow it."""


class StreamFault(Exception):  # noqa: N818 - it is a state of the stream, caught at its edge
    """The stream can't be passed on; ``cause`` is that of ``events.AttemptFailed``."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class StreamPart(NamedTuple):
    """Bytes to pass on together, the number of events among them, and whether they are the end.

    ``fault`` is why the stream can't go on after these bytes, or an empty text.
    """

    data: bytes
    events: int
    done: bool
    fault: str = ""


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice]


class EventCutter:
    """Turns the chunks of an attempt's connections, one after another, into parts."""

    def __init__(self, attempt_id: str) -> None:
        self._prefix = f"id: {attempt_id}:".encode()
        self._buffer = b""
        self._latest: deque[bytes] = deque(maxlen=LATEST_EVENTS)
        self.passed_on = 0
        self._next_head = self._prefix + b"0\n"

    @property
    def last_event(self) -> bytes:
        """The last event that was passed on, or nothing."""
        return self._latest[-1] if self._latest else b""

    def parts(self, chunks: Iterable[bytes]) -> Iterator[StreamPart]:
        """Yield a part for each chunk of one connection that completes events.

        All events of a chunk go on together: when this process lags, tokens pile up in one chunk
        and cost one wake-up and one write.
        """
        self._buffer = b""
        for chunk in chunks:
            if not self._buffer and self._is_next_alone(chunk):
                yield StreamPart(chunk, 1, False)
                continue
            self._buffer += chunk
            if len(self._buffer) > EVENT_LIMIT_BYTES:
                raise StreamFault("malformed")
            part = self._cut()
            if part is None:
                continue
            if part.data:
                yield part
            if part.fault:
                raise StreamFault(part.fault)
            if part.done:
                return
        raise StreamFault("cut")

    def _is_next_alone(self, chunk: bytes) -> bool:
        """Take a chunk that is exactly the next event, which is what a token usually comes as."""
        if not chunk.startswith(self._next_head):
            return False
        if chunk.find(END_OF_EVENT) != len(chunk) - len(END_OF_EVENT):
            return False
        self._take(chunk[: -len(END_OF_EVENT)])
        return True

    def _take(self, event: bytes) -> None:
        self.passed_on += 1
        self._next_head = b"%b%d\n" % (self._prefix, self.passed_on)
        self._latest.append(event)

    def _cut(self) -> StreamPart | None:
        end = self._buffer.rfind(END_OF_EVENT)
        if end < 0:
            return None
        whole, self._buffer = self._buffer[: end + 2], self._buffer[end + 2 :]
        kept: list[bytes] = []
        count = 0
        for event in whole.split(END_OF_EVENT)[:-1]:
            if event == DONE[:-2]:
                if not self._is_finished():
                    return StreamPart(b"".join(kept), count, False, "cut")
                kept.append(DONE)
                return StreamPart(b"".join(kept), count, True)
            number = self._number_of(event)
            if isinstance(number, str):
                return StreamPart(b"".join(kept), count, False, number)
            if number > self.passed_on:
                return StreamPart(b"".join(kept), count, False, "cut")
            if number == self.passed_on:
                self._take(event)
                kept.append(event + END_OF_EVENT)
                count += 1
        return StreamPart(b"".join(kept), count, False)

    def _number_of(self, event: bytes) -> int | str:
        """Return an event's number, or the fault of one that isn't this attempt's."""
        if not event.startswith(self._prefix):
            return "crossed"
        digits = event[len(self._prefix) : event.find(b"\n")]
        return int(digits) if digits.isdigit() else "malformed"

    def _is_finished(self) -> bool:
        """Whether one of the latest events gives a finish reason."""
        for event in self._latest:
            try:
                chunk = msgspec.json.decode(event.partition(DATA)[2], type=_Chunk)
            except msgspec.DecodeError:
                continue
            if any(choice.finish_reason for choice in chunk.choices):
                return True
        return False
