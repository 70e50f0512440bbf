"""Runs the core in a pykka actor: events in, actions out to the edges.

The actor is the only thread that touches the core.  Threads that serve a request ``open`` an
exchange, ``tell`` events and take the actions bound to their request from it.  All other actions go
to the handlers that ``compose`` registered.  A ticker thread tells the core that time passes.
"""

import queue
import threading
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeVar, cast

import pykka

from filbertstream.actions import Action
from filbertstream.core import Core
from filbertstream.events import Event, Tick

TICK_S: Final = 0.25
QUERY_WITHIN_S: Final = 5.0

T = TypeVar("T")
Handler = Callable[[Any], object]


class Query(NamedTuple):
    """A question that is answered on the actor's thread; it must not change the core."""

    ask: Callable[[Core, float], Any]


class Exchange:
    """The actions for one request, in the order in which the core decided them."""

    def __init__(self) -> None:
        self._actions: queue.SimpleQueue[Action] = queue.SimpleQueue()

    def put(self, action: Action) -> None:
        """Add an action; called by the actor."""
        self._actions.put(action)

    def take(self, within_s: float) -> Action | None:
        """Return the next action, or None if there is none within the time."""
        try:
            return self._actions.get(timeout=within_s)
        except queue.Empty:
            return None


class _CoreActor(pykka.ThreadingActor):
    """Steps the core with each event and hands its actions out."""

    def __init__(
        self,
        core: Core,
        carry_out: Callable[[Action], None],
        on_broken: Callable[[str], None],
    ) -> None:
        super().__init__()
        self._core = core
        self._carry_out = carry_out
        self._on_broken = on_broken

    def on_receive(self, message: Any) -> Any:
        """Answer a query or step the core."""
        now_s = time.monotonic()
        if isinstance(message, Query):
            return message.ask(self._core, now_s)
        for action in self._core.step(now_s, message):
            self._carry_out(action)
        return None

    def on_failure(self, exception_type: Any, exception_value: Any, traceback: Any) -> None:
        """Report a broken invariant: the state can't be trusted, so the process must end."""
        self._on_broken(f"{exception_type.__name__}: {exception_value}")


class Host:
    """The core's actor, its ticker and the exchanges of requests under way."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._handlers: dict[type, Handler] = {}
        self._exchanges: dict[str, Exchange] = {}
        self._stop = threading.Event()
        self._ticker = threading.Thread(target=self._tick, name="ticker", daemon=True)
        self._actor: pykka.ActorRef[_CoreActor] | None = None
        self.broken = ""

    def register(self, kind: type, handler: Handler) -> None:
        """Have a kind of action carried out by a handler, on the actor's thread."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Start the actor and the ticker."""
        self._actor = _CoreActor.start(self._core, self._carry_out, self._note_broken)
        self._ticker.start()

    def close(self) -> None:
        """Stop the ticker and the actor; events told afterwards are dropped."""
        self._stop.set()
        self._ticker.join()
        if self._actor is not None:
            self._actor.stop()

    def tell(self, event: Event) -> None:
        """Hand an event to the core, without waiting."""
        if self._actor is None or self._stop.is_set() or self.broken:
            return
        try:
            self._actor.tell(event)
        except pykka.ActorDeadError:
            self.broken = self.broken or "the actor ended"

    @property
    def left(self) -> bool:
        """Whether a planned stop has ended."""
        return self._core.membership.state == "left"

    def _note_broken(self, reason: str) -> None:
        self.broken = reason

    def query(self, ask: Callable[[Core, float], T]) -> T:
        """Return what ``ask`` finds on the actor's thread."""
        if self._actor is None:
            raise AssertionError("query before start")
        answer: Any = self._actor.ask(Query(ask), timeout=QUERY_WITHIN_S)
        return cast(T, answer)

    def open(self, request_id: str) -> Exchange:
        """Begin to collect the actions of a request."""
        exchange = Exchange()
        self._exchanges[request_id] = exchange
        return exchange

    def release(self, request_id: str) -> None:
        """Stop collecting the actions of a request."""
        self._exchanges.pop(request_id, None)

    def _carry_out(self, action: Action) -> None:
        handler = self._handlers.get(type(action))
        if handler is not None:
            handler(action)
            return
        exchange = self._exchanges.get(getattr(action, "request_id", ""))
        if exchange is not None:
            exchange.put(action)

    def _tick(self) -> None:
        while not self._stop.wait(TICK_S):
            self.tell(Tick())
