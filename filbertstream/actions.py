"""Actions that any module of the core may return: plain data, carried out by the I/O layer."""

from typing import NamedTuple, TypeAlias

from filbertstream.messages import PeerPayload

LogFields: TypeAlias = tuple[tuple[str, str | int | float], ...]
"""Keys and values of a log line."""


class SendPeer(NamedTuple):
    """Send a message to a peer, without waiting for a response."""

    address: str
    payload: PeerPayload


class Log(NamedTuple):
    """Log a numbered event of ``log_events`` with ``fields``, its key and value pairs."""

    number: int
    fields: LogFields
