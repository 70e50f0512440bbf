"""Connects the link between entries with the event loop."""

from collections.abc import Callable
from typing import Any

from filbertstream.gateway_events import PeerMessage


class PeerHost:
    """Registers handlers of actions, and emits what arrives; both for ``connection.peer_link``."""

    def __init__(
        self,
        handlers: dict[type, Callable[[Any], object]],
        emit_soon: Callable[[PeerMessage], None],
    ) -> None:
        self._handlers = handlers
        self._emit_soon = emit_soon

    def register(self, kind: type, handler: Callable[[Any], object]) -> None:
        """Register the handler of an action type, which runs on the event loop's thread."""
        self._handlers[kind] = handler

    def emit(self, event: PeerMessage) -> None:
        """Emit an event to the core from any thread."""
        self._emit_soon(event)
