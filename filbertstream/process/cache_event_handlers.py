"""Handles the events of cache stores: applies them, and passes them on to peers."""

from collections.abc import Callable
from typing import Any

from filbertstream.actions import Log, SendPeer
from filbertstream.log_events import LogEvent
from filbertstream.process.cache_stores import (
    BlocksFreed,
    CacheBlocksListed,
    CacheEventsFailed,
    CacheEventsReceived,
    CacheStores,
)
from filbertstream.process.cache_updates import CacheUpdateExchange
from filbertstream.process.counters import Counters


class CacheEventHandlers:
    """The handlers of the core for events of cache stores."""

    def __init__(
        self, stores: CacheStores, updates: CacheUpdateExchange, counters: Counters
    ) -> None:
        self._stores = stores
        self._updates = updates
        self._counters = counters

    def handlers(self) -> dict[type, Callable[[Any, float], list[Any]]]:
        """Return the handlers by the type of event."""
        return {
            CacheEventsReceived: self.on_read,
            CacheEventsFailed: self.on_failed,
            CacheBlocksListed: self.on_listed,
            BlocksFreed: self.on_freed,
        }

    def on_read(self, event: CacheEventsReceived, now_s: float) -> list[Log | SendPeer]:
        """Apply events, and log a restart of the cache store."""
        actions: list[Log | SendPeer] = [*self._updates.on_read(event, now_s)]
        if self._stores.on_events(event):
            fields = (("holder", event.holder), ("boot", event.start_id))
            actions.append(Log(LogEvent.PIECES_LOST, fields))
        return actions

    def on_listed(self, event: CacheBlocksListed, now_s: float) -> list[Log | SendPeer]:
        """Apply a full listing."""
        self._stores.on_listed(event, now_s)
        return []

    def on_freed(self, event: BlocksFreed, now_s: float) -> list[Log | SendPeer]:
        """Apply the response to a request to free blocks."""
        self._stores.on_freed(event)
        return []

    def on_failed(self, event: CacheEventsFailed, now_s: float) -> list[Log | SendPeer]:
        """Count a request without a usable response."""
        self._stores.on_events_failed(event, now_s)
        self._counters.add("cache_events_missed", "")
        return []
