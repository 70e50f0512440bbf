"""Passes whole server-sent events on, each once and in order, over the sends of one call.

A target may stop in the middle of an event, and a resumed stream may repeat some.  Bytes are passed
on only up to the end of an event; events up to the last one that the caller has are dropped.
"""

from typing import Final

END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
DATA_FIELD: Final = b"data:"
EVENT_LIMIT_BYTES: Final = 1_000_000
"""Events hold a few tokens; bytes without an end of an event are none."""


class EventRelay:
    """The stream of one caller.

    >>> relay = EventRelay(None)
    >>> relay.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> relay.restart(); relay.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'
    >>> (relay.last_id, relay.complete)
    ('2', True)
    """

    def __init__(self, last_id: str | None) -> None:
        self.last_id = last_id
        self._buffer = b""
        self.malformed = False
        self.useful_events = 0
        """Events passed on that bear an id or data."""

    @property
    def complete(self) -> bool:
        """Whether no event is cut off in the middle."""
        return not self._buffer and not self.malformed

    def restart(self) -> None:
        """Go on with the answer of a further send."""
        self._buffer = b""
        self.malformed = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes of an answer and return what is to be passed on."""
        if self.malformed:
            return b""
        buffer = self._buffer + data if self._buffer else data
        end = buffer.rfind(END)
        if end < 0:
            self._buffer = buffer
            if len(buffer) > EVENT_LIMIT_BYTES:
                self.malformed, self._buffer = True, b""
            return b""
        end += len(END)
        self._buffer = buffer[end:]
        passed = [event for event in buffer[:end].split(END)[:-1] if self._is_new(event)]
        self.useful_events += sum(1 for event in passed if _is_useful(event))
        return b"".join([event + END for event in passed])

    def _is_new(self, event: bytes) -> bool:
        number = _event_id(event)
        if number is None:
            return True
        last = self.last_id
        if last is not None and last.isdigit() and number.isdigit() and int(number) <= int(last):
            return False
        self.last_id = number
        return True


def _is_useful(event: bytes) -> bool:
    return any(line.startswith((ID_FIELD, DATA_FIELD)) for line in event.split(b"\n"))


def _event_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
