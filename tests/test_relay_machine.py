"""Relay of an event stream over broken connections.

Failure guarded against: a caller gets a stream with a gap, a duplicate event or events in the wrong
order.  This comes about when a stream is cut anywhere and resumed on another target.
"""

import hypothesis.strategies as st
from hypothesis import given

from filbertstream.connection.event_relay import EventRelay

TEXTS = st.text(st.characters(exclude_characters="\r\n", codec="utf-8"), max_size=12)


@given(
    texts=st.lists(TEXTS, min_size=1, max_size=12),
    cuts=st.lists(st.tuples(st.integers(0, 400), st.integers(0, 3)), max_size=6),
    sizes=st.lists(st.integers(1, 60), min_size=1, max_size=8),
)
def test_events_of_a_resumed_stream_arrive_once_and_in_order(
    texts: list[str], cuts: list[tuple[int, int]], sizes: list[int]
) -> None:
    """A stream is cut several times, also inside events, and targets send some events again."""
    events = [f"id: {n}\ndata: {text}\n\n".encode() for n, text in enumerate(texts, 1)]
    relay = EventRelay(None)
    relayed_bytes = b""
    for cut, resent_events in [*cuts, (None, 0)]:
        # The next target resumes after the last event, or a few events earlier.
        first = max(0, int(relay.last_id or 0) - resent_events)
        data = b"".join(events[first:])
        data = data if cut is None else data[:cut]
        start = 0
        for number in range(len(data)):
            size = sizes[number % len(sizes)]
            if start >= len(data):
                break
            relayed_bytes += relay.feed(data[start : start + size])
            start += size
        if cut is not None:
            relay = relay.resumed()
    assert relayed_bytes == b"".join(events)
    assert relay.complete
