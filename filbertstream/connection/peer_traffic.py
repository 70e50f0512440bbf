"""Counts the bytes of messages to peers, which share the VM's link with requests and responses."""

from collections import Counter
from collections.abc import Callable
from typing import Final

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent
from filbertstream.messages import PeerPayload
from filbertstream.process.counters import Counters
from filbertstream.process.link_share import BYTES_PER_S_PER_MBPS

WINDOW_S: Final = 0.5
LOGGED_FRACTION: Final = 0.5
"""Windows in which messages took more of the link than this are logged."""


class PeerTraffic:
    """The bytes sent to peers, by type of message.

    ``link_mbps`` is the bandwidth of the VM's link, 0 if it is unknown.
    """

    def __init__(
        self, link_mbps: float, counters: Counters, write_log: Callable[[Log], None]
    ) -> None:
        self._bytes_per_s = link_mbps * BYTES_PER_S_PER_MBPS
        self._counters = counters
        self._write_log = write_log
        self._window: Counter[str] = Counter()
        self._window_from_s = float("-inf")

    def note(self, payload: PeerPayload, size: int, now_s: float) -> None:
        """Record a message, and log the window that has ended before it if its share was high."""
        if now_s - self._window_from_s >= WINDOW_S:
            self._end_window()
            self._window_from_s = now_s
        kind = type(payload).__name__
        self._window[kind] += size
        self._counters.add("peer_bytes", kind, size)

    def _end_window(self) -> None:
        total = self._window.total()
        if self._bytes_per_s and total > LOGGED_FRACTION * self._bytes_per_s * WINDOW_S:
            kinds = ",".join(f"{kind}={size}" for kind, size in self._window.most_common())
            fields = (("bytes", total), ("seconds", WINDOW_S), ("by_type", kinds))
            self._write_log(Log(LogEvent.PEER_TRAFFIC_HIGH, fields))
        self._window.clear()
