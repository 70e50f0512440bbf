"""The handlers of the events of calls, by the type of event."""

from collections.abc import Callable
from typing import Any

from filbertstream.request.call_events import (
    CallArrived,
    CallerDisconnected,
    FirstEvent,
    LoadProbed,
    ResponseComplete,
    ResponseStarted,
    SendFailed,
    SendProgressed,
    SendStalled,
)
from filbertstream.request.forwarding import Forwarding
from filbertstream.request.idempotency_keys import KeyClaimed


def call_handlers(forwarding: Forwarding) -> dict[type, Callable[[Any, float], list[Any]]]:
    """Return the handler of each event."""
    return {
        CallArrived: forwarding.on_arrived,
        ResponseStarted: forwarding.on_started,
        FirstEvent: forwarding.on_first_event,
        ResponseComplete: forwarding.on_complete,
        SendFailed: forwarding.on_failed,
        SendStalled: forwarding.on_stalled,
        SendProgressed: forwarding.on_progressed,
        CallerDisconnected: forwarding.on_caller_disconnected,
        LoadProbed: forwarding.on_load_probed,
        KeyClaimed: forwarding.on_claimed,
    }
