"""Follows kinds of objects in the platform's store and tells the core what it sees.

Each kind has a pykka actor that lists once and then watches; a watch that expired, was cut or was
refused leads to another listing or another try.  Kinds that other entries tell are not called for.
"""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Final

import pykka
from result import Err, Ok

from filbertstream.connection.watched_kinds import EmitEvent, WatchedKind, kind_observed
from filbertstream.gateway_events import ObjectStoreResult
from filbertstream.platform.objects import ObjectStore, ObjectStoreFailure
from filbertstream.process.read_backoff import ReadBackoff

PROBED_S: Final = 5.0
"""A kind that waits for another's answer is asked about after this time all the same."""

IDLE_S: Final = 5.0
"""How often a watcher that has nothing to do looks whether it was stopped."""


class WatchGate:
    """Tells the watchers of an entry which kinds it reads itself, and wakes them for it."""

    def __init__(self, kinds: Iterable[str]) -> None:
        self._changed = threading.Condition()
        self._idle: frozenset[str] = frozenset()
        self._probing = ReadBackoff(kinds)
        self._relies = False
        self.tells = False

    def set(self, idle: frozenset[str], tells: bool, relies: bool) -> None:
        """Have the ``idle`` kinds not read.

        ``tells``: other entries rely on this one; ``relies``: it relies on others where it can.
        """
        self.tells, self._relies = tells, relies
        if idle != self._idle:
            with self._changed:
                self._idle = idle
                for kind in idle:
                    self._probing.answered(kind)
                self._changed.notify_all()

    def wait(self, kind: str, longest_s: float) -> bool:
        """Wait until a kind is to be read, at most so long; whether it is."""
        with self._changed:
            return self._changed.wait_for(lambda: kind not in self._idle, longest_s)

    def answered(self, kind: str) -> None:
        """Take in that the store answered a call."""
        with self._changed:
            self._probing.answered(kind)
            self._changed.notify_all()

    def failed(self, kind: str) -> None:
        """Take in that the store did not answer, and wait until it should be asked again."""
        with self._changed:
            self._probing.failed(kind)
            pause_s = self._probing.retry_s(kind, self._relies)
        time.sleep(pause_s)
        with self._changed:
            self._changed.wait_for(lambda: not self._probing.is_deferred(kind), PROBED_S)


class _Step:
    """Message of a watcher to itself."""


class KindWatcher(pykka.ThreadingActor):
    """Follows one kind."""

    use_daemon_thread = True

    def __init__(
        self,
        store: ObjectStore,
        watched: WatchedKind,
        tell: EmitEvent,
        on_broken: Callable[[str], None],
        gate: WatchGate,
    ) -> None:
        super().__init__()
        self._gate = gate
        self._on_broken = on_broken
        self._store = store
        self._watched = watched
        self._tell = tell
        self._as_of: int | None = None

    def on_start(self) -> None:
        """Begin to follow."""
        self.actor_ref.tell(_Step())

    def on_failure(self, exception_type: Any, exception_value: Any, traceback: Any) -> None:
        """Report a broken invariant: without this watch the entry would only look alive."""
        self._on_broken(f"watch of {self._watched.kind}: {exception_value!r}")

    def on_receive(self, message: Any) -> None:
        """Make one call, unless other entries tell what it would."""
        if not self._gate.wait(self._watched.kind, IDLE_S):
            self._as_of = None
            self.actor_ref.tell(_Step())
            return
        fault = self._list() if self._as_of is None else self._watch(self._as_of)
        if fault is None or fault is ObjectStoreFailure.EXPIRED:
            self._gate.answered(self._watched.kind)
            self._as_of = None if fault is ObjectStoreFailure.EXPIRED else self._as_of
        else:
            self._tell(ObjectStoreResult(self._watched.kind, False, fault.value))
            self._gate.failed(self._watched.kind)
        self.actor_ref.tell(_Step())

    def _list(self) -> ObjectStoreFailure | None:
        match self._store.list(self._watched.kind):
            case Err(fault):
                return fault
            case Ok(listing):
                self._tell(ObjectStoreResult(self._watched.kind, True, ""))
                self._tell(kind_observed(self._watched.kind, None, listing))
                self._as_of = listing.as_of
        return None

    def _watch(self, since: int) -> ObjectStoreFailure | None:
        watched = self._watched
        wait_s, pause_s = watched.wait_s, watched.pause_s
        if self._gate.tells:
            wait_s, pause_s = watched.relay_watch.wait_s, watched.relay_watch.pause_s
        match self._store.watch(self._watched.kind, since, wait_s):
            case Err(fault):
                return fault
            case Ok(seen):
                self._tell(ObjectStoreResult(self._watched.kind, True, ""))
                self._tell(kind_observed(watched.kind, since, seen))
                self._as_of = seen.as_of
        if pause_s:
            time.sleep(pause_s)
        return None
