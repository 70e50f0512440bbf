"""Relays server-sent events to a caller exactly once and in order, across the sends of one call.

A target may stop in the middle of an event, and a resumed stream may repeat events.  So bytes are
passed on only up to the end of an event, and events up to the last one that the caller received are
dropped.
"""

from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
DATA_FIELD: Final = b"data:"
EVENT_LIMIT_BYTES: Final = 1_000_000
"""An event holds a few tokens.  A stream with more bytes than this in one event is malformed."""


class EventRelay:
    """The event stream of one caller.

    >>> relay = EventRelay(None)
    >>> relay.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> relay = relay.resumed(); relay.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'
    >>> (relay.last_id, relay.complete)
    ('2', True)
    """

    def __init__(self, last_id: str | None) -> None:
        self.last_id = last_id
        self._buffer = bytearray()
        self.malformed = False
        self.useful_events = 0
        """Number of events passed on that have an id or data."""

    @property
    def complete(self) -> bool:
        """Whether the stream does not end inside an event."""
        return not self._buffer and not self.malformed

    @property
    def buffered_bytes(self) -> int:
        """The bytes of an event that has not ended yet."""
        return len(self._buffer)

    def resumed(self) -> "EventRelay":
        """Return a relay that continues after the last event with the response to another send."""
        relay = EventRelay(self.last_id)
        relay.useful_events = self.useful_events
        return relay

    def feed(self, data: bytes) -> bytes:
        """Add bytes of a response and return the complete new events among them."""
        if self.malformed:
            return b""
        # An event may arrive in single bytes: each is looked at once, and none is copied again.
        before = len(self._buffer)
        self._buffer += data
        end = self._buffer.rfind(EVENT_END, max(0, before - len(EVENT_END) + 1))
        if end < 0:
            if len(self._buffer) > EVENT_LIMIT_BYTES:
                self.malformed, self._buffer = True, bytearray()
            return b""
        end += len(EVENT_END)
        buffer = bytes(self._buffer[:end])
        del self._buffer[:end]
        passed = [event for event in buffer.split(EVENT_END)[:-1] if self._is_new(event)]
        self.useful_events += sum(1 for event in passed if _is_useful(event))
        return b"".join([event + EVENT_END for event in passed])

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
