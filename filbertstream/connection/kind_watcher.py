"""Lists and watches kinds of objects in the object store and emits what it observes to the core.

Each kind has a pykka actor that lists once and then watches.  A watch whose revision has expired
leads to another listing; a failed call is retried.  No calls are made for a kind whose updates
come from a relay.
"""

import math
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Final

import pykka
from result import Err, Ok

from filbertstream.connection.kind_rows import kind_observed
from filbertstream.connection.watched_kinds import EmitEvent, WatchedKind
from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.gateway_events import ObjectStoreResult, WatchExpired
from filbertstream.platform.objects import ObjectStore, ObjectStoreFailure
from filbertstream.process.read_backoff import ReadBackoff

PROBE_WAIT_S: Final = 5.0
"""A kind that waits for another kind's first response is tried again after this time anyway."""

IDLE_CHECK_S: Final = 5.0
"""How often a watcher without work checks whether it was stopped."""


class WatchGate:
    """Controls which kinds an entry's watchers read themselves, and wakes them when that changes.

    ``max_wait_s`` bounds the wait of all watches, for short intervals between confirmations.

    It also paces retries while the object store does not respond, see ``process.read_backoff``.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self._changed = threading.Condition()
        self._idle: frozenset[str] = frozenset()
        self._backoff = ReadBackoff(kinds)
        self._uses_relays = False
        self.serves_peers = False
        self.max_wait_s = math.inf

    def set(self, idle: frozenset[str], serves_peers: bool, uses_relays: bool) -> None:
        """Stop reading the ``idle`` kinds and read all others.

        ``serves_peers``: peers rely on this entry as a relay; ``uses_relays``: it gets its view
        from relays where it can.
        """
        self.serves_peers, self._uses_relays = serves_peers, uses_relays
        if idle != self._idle:
            with self._changed:
                self._idle = idle
                for kind in idle:
                    self._backoff.responded(kind)
                self._changed.notify_all()

    def wait(self, kind: str, timeout_s: float) -> bool:
        """Wait up to ``timeout_s`` until a kind is to be read; return whether it is."""
        with self._changed:
            return self._changed.wait_for(lambda: kind not in self._idle, timeout_s)

    def succeeded(self, kind: str) -> None:
        """Record that the object store responded to a call."""
        with self._changed:
            self._backoff.responded(kind)
            self._changed.notify_all()

    def failed(self, kind: str) -> None:
        """Record that a call failed, and wait until the next one is due."""
        with self._changed:
            self._backoff.failed(kind)
            pause_s = self._backoff.retry_s(kind, self._uses_relays)
        time.sleep(pause_s)
        with self._changed:
            self._changed.wait_for(lambda: not self._backoff.is_deferred(kind), PROBE_WAIT_S)


class _Step:
    """Message with which a watcher schedules its next call."""


class KindWatcher(pykka.ThreadingActor):
    """Lists and watches one kind."""

    use_daemon_thread = True

    def __init__(
        self,
        store: ObjectStore,
        watched: WatchedKind,
        emit: EmitEvent,
        on_fatal: Callable[[str], None],
        gate: WatchGate,
    ) -> None:
        super().__init__()
        self._gate = gate
        self._on_fatal = on_fatal
        self._object_store = store
        self._watched = watched
        self._emit = emit
        self._as_of: EpochNumber | None = None

    def on_start(self) -> None:
        """Schedule the first call."""
        self.actor_ref.tell(_Step())

    def on_failure(self, exception_type: Any, exception_value: Any, traceback: Any) -> None:
        """Report an unexpected error as fatal: without this watch the entry's view goes stale."""
        self._on_fatal(f"watch of {self._watched.kind}: {exception_value!r}")

    def on_receive(self, message: Any) -> None:
        """Make one call, unless relays supply this kind."""
        if not self._gate.wait(self._watched.kind, IDLE_CHECK_S):
            self._as_of = None
            self.actor_ref.tell(_Step())
            return
        failure = self._list() if self._as_of is None else self._watch(self._as_of)
        if failure is None or failure is ObjectStoreFailure.EXPIRED:
            self._gate.succeeded(self._watched.kind)
            if failure is ObjectStoreFailure.EXPIRED:
                self._emit(WatchExpired(self._watched.kind, self._as_of or NO_REVISION))
                self._as_of = None
        else:
            self._emit(ObjectStoreResult(self._watched.kind, False, failure.value))
            self._gate.failed(self._watched.kind)
        self.actor_ref.tell(_Step())

    def _list(self) -> ObjectStoreFailure | None:
        match self._object_store.list(self._watched.kind):
            case Err(failure):
                return failure
            case Ok(listing):
                self._emit(ObjectStoreResult(self._watched.kind, True, ""))
                self._emit(kind_observed(self._watched.kind, None, listing))
                self._as_of = listing.as_of
        return None

    def _watch(self, since: EpochNumber) -> ObjectStoreFailure | None:
        watched = self._watched
        wait_s, pause_s = watched.wait_s, watched.pause_s
        if self._gate.serves_peers:
            wait_s, pause_s = watched.relay_watch.wait_s, watched.relay_watch.pause_s
        wait_s = min(wait_s, self._gate.max_wait_s)
        match self._object_store.watch(self._watched.kind, since, wait_s):
            case Err(failure):
                return failure
            case Ok(changes):
                self._emit(ObjectStoreResult(self._watched.kind, True, ""))
                self._emit(kind_observed(watched.kind, since, changes))
                self._as_of = changes.as_of
        if pause_s:
            time.sleep(pause_s)
        return None
