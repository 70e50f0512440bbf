"""The request for a target's load: its health path, which answers at once."""

from filbertstream.request.call_events import ProbeLoad


def encode_load_probe(probe: ProbeLoad) -> bytes:
    """Return the request of a load probe."""
    return (
        f"GET {probe.health_path or '/'} HTTP/1.1\r\n"
        f"Host: {probe.address}\r\nExpect-Instance: {probe.start.target_id}\r\n\r\n"
    ).encode()
