"""A stream that breaks anywhere and goes on elsewhere reaches its caller once and whole."""

import hypothesis.strategies as st
from hypothesis import given

from filbertstream.connection.event_relay import EventRelay

TEXTS = st.text(st.characters(exclude_characters="\r\n", codec="utf-8"), max_size=12)


@given(
    texts=st.lists(TEXTS, min_size=1, max_size=12),
    breaks=st.lists(st.tuples(st.integers(0, 400), st.integers(0, 3)), max_size=6),
    sizes=st.lists(st.integers(1, 60), min_size=1, max_size=8),
)
def test_events_arrive_once_and_in_order_over_any_breaks(
    texts: list[str], breaks: list[tuple[int, int]], sizes: list[int]
) -> None:
    events = [f"id: {n}\ndata: {text}\n\n".encode() for n, text in enumerate(texts, 1)]
    relay = EventRelay(None)
    passed = b""
    for cut, repeated in [*breaks, (None, 0)]:
        # The next target goes on after the last event, or repeats a few before it.
        first = max(0, int(relay.last_id or 0) - repeated)
        data = b"".join(events[first:])
        data = data if cut is None else data[:cut]
        start = 0
        for number in range(len(data)):
            size = sizes[number % len(sizes)]
            if start >= len(data):
                break
            passed += relay.feed(data[start : start + size])
            start += size
        if cut is not None:
            relay.restart()
    assert passed == b"".join(events)
    assert relay.complete
