"""Joins callers, targets and the core of an entry on the platform; decides nothing.

Bytes become events for ``gateway.Gateway`` and its actions become bytes.  All of it runs on one
event loop: a call's streams need no threads, and a caller that leaves is noticed while nothing
flows.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from result import Err, Ok

from filbertstream.actions import Log
from filbertstream.connection.caller_connection import CallerConnection, RawRequest
from filbertstream.connection.proxied_send import ProxiedCall, ProxiedSend
from filbertstream.connection.response_format import PassThroughFormat, ResponseFormat
from filbertstream.connection.target_connection import TargetConnectionPool, call_target
from filbertstream.gateway import Gateway
from filbertstream.gateway_events import GatewayAction
from filbertstream.platform.cache_calls import (
    decode_events,
    decode_list,
    encode_follow,
    encode_free,
    encode_list,
)
from filbertstream.platform.headers import (
    decode_call,
)
from filbertstream.platform.settings_file import parse_address
from filbertstream.process.cache_stores import (
    BlocksFreed,
    CacheEventsFailed,
    FreeBlocks,
    ListCacheBlocks,
    PollCacheEvents,
)
from filbertstream.process.clock import boot_time_s
from filbertstream.request.call import CallHead
from filbertstream.request.call_events import (
    AbortResponse,
    CallArrived,
    CallerDisconnected,
    CancelSend,
    ContinueResponse,
    RelayResponse,
    ReplayResponse,
    RespondLocally,
    SendCall,
)
from filbertstream.statuses import BAD_GATEWAY, BAD_REQUEST
from filbertstream.version.routes import CallerLimits

FREED: Final = (200, 202, 204)

CACHE_ANSWER_S: Final = 0.5
"""Beyond the time that a holder is asked to wait, its answer must come within this."""

EVENTS_LIMIT_BYTES: Final = 4_000_000
"""An answer to an event call: tens of thousands of events."""

LIST_LIMIT_BYTES: Final = 16_000_000
"""A list of all parts that a holder keeps: a few hundred thousand."""

RELAY_FORM: Final = PassThroughFormat()
"""It keeps nothing of a call, so that all calls share it."""


class GatewayIO:
    """The event loop's side of an entry."""

    def __init__(
        self, core: Gateway, write_log: Callable[[Log], None], on_broken: Callable[[str], None]
    ) -> None:
        self._core = core
        self._on_broken = on_broken
        self._write_log = write_log
        self.pool = TargetConnectionPool()
        self._calls: dict[int, ProxiedCall] = {}
        self._last_call = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections: set[CallerConnection] = set()
        self.stopping = False
        self.call_started = asyncio.Event()
        self.handlers: dict[type, Callable[[Any], object]] = {
            Log: write_log,
            SendCall: self._send,
            RelayResponse: self._relay,
            ContinueResponse: self._continue,
            CancelSend: self._cancel,
            RespondLocally: self._answer,
            ReplayResponse: self._answer_kept,
            AbortResponse: self._break,
            PollCacheEvents: lambda follow: self._spawn(self._follow(follow)),
            ListCacheBlocks: lambda ask: self._spawn(self._list(ask)),
            FreeBlocks: lambda free: self._spawn(self._free(free)),
        }

    @property
    def limits(self) -> CallerLimits:
        """The limits of the configuration in force."""
        config = self._core.authorizer.config
        return CallerLimits() if config is None else config.limits

    @property
    def closing(self) -> bool:
        """Whether answers should end their connections."""
        return self.stopping or self._core.should_close_connections(boot_time_s())

    @property
    def calls_running(self) -> int:
        """The number of calls under way."""
        return len(self._calls)

    @property
    def connections_opened(self) -> int:
        """The number of connections that were opened to targets."""
        return self.pool.opened

    def new_connection(self) -> CallerConnection:
        """Return the protocol of a caller's new connection."""
        conn = CallerConnection(self, self.connections.discard)
        self.connections.add(conn)
        return conn

    def emit(self, event: Any) -> None:
        """Step the core and carry its actions out."""
        for action in self._core.step(boot_time_s(), event):
            self.carry_out(action)

    def carry_out(self, action: GatewayAction) -> None:
        """Hand an action to its handler."""
        self.handlers[type(action)](action)

    def on_request(self, conn: CallerConnection, raw: RawRequest) -> None:
        """Tell the core of a request, or refuse one that is malformed."""
        match decode_call(raw.method, raw.path, raw.headers, len(raw.body)):
            case Err(detail):
                self.on_rejected(BAD_REQUEST, detail)
                refusal = RespondLocally(0, BAD_REQUEST, "malformed", detail, None)
                conn.send_response(*RELAY_FORM.refusal("", refusal))
                conn.close()
            case Ok(head):
                self.begin(conn, raw, head, RELAY_FORM)

    def begin(
        self, conn: CallerConnection, raw: RawRequest, head: CallHead, form: ResponseFormat
    ) -> None:
        """Tell the core of a call; ``raw`` is what a target gets of it."""
        self._last_call += 1
        conn.call_id = self._last_call
        self._calls[self._last_call] = ProxiedCall(conn, raw, head, form)
        self.call_started.set()
        self.emit(CallArrived(self._last_call, head))

    def on_rejected(self, status: int, detail: str) -> None:
        """Count a request that could not be read."""
        self._core.counters.add("calls_rejected", str(status))

    def on_disconnected(self, conn: CallerConnection) -> None:
        """Tell the core that a caller left."""
        call_id, conn.call_id = conn.call_id, None
        if call_id is not None and call_id in self._calls:
            self.emit(CallerDisconnected(call_id))
            self.forget_call(call_id)

    def on_pause(self, conn: CallerConnection, paused: bool) -> None:
        """Read a target no faster than its caller does."""
        relayed = self._calls.get(conn.call_id or 0)
        if relayed is not None and relayed.send is not None and relayed.send.link is not None:
            relayed.send.link.pause(paused)

    def forget_call(self, call_id: int) -> None:
        """Forget a call."""
        self._calls.pop(call_id, None)

    def _send(self, action: SendCall) -> None:
        relayed = self._calls.get(action.call_id)
        if relayed is None:
            return
        send = relayed.send = ProxiedSend(self, relayed, action)
        self._spawn(send.begin(self.pool))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._on_broken(f"call to a target: {exc!r}")

    async def _follow(self, follow: PollCacheEvents) -> None:
        """Make an event call and tell the core what came of it."""
        sent_at_s = boot_time_s()
        within_s = follow.wait_s + CACHE_ANSWER_S
        data = encode_follow(follow)
        answer = await call_target(
            self.pool,
            parse_address(follow.address),
            data,
            within_s,
            sent_at_s,
            EVENTS_LIMIT_BYTES,
        )
        if answer is None:
            self.emit(CacheEventsFailed(follow.holder))
        else:
            self.emit(decode_events(follow, *answer, sent_at_s, boot_time_s()))

    async def _list(self, ask: ListCacheBlocks) -> None:
        """Ask for all that a holder keeps; without an answer it is asked again later."""
        sent_at_s = boot_time_s()
        address = parse_address(ask.address)
        answer = await call_target(
            self.pool, address, encode_list(ask), CACHE_ANSWER_S, sent_at_s, LIST_LIMIT_BYTES
        )
        listed = None if answer is None else decode_list(ask, *answer, sent_at_s)
        if listed is None:
            self._core.counters.add("cache_lists_missed", "")
        else:
            self.emit(listed)

    async def _free(self, free: FreeBlocks) -> None:
        """Free parts and tell the core if they are."""
        data = encode_free(free)
        address = parse_address(free.address)
        answer = await call_target(self.pool, address, data, CACHE_ANSWER_S, boot_time_s())
        if answer is not None and answer[0] in FREED:
            self.emit(BlocksFreed(free.holder, free.keys))

    def _current(self, call_id: int, number: int) -> ProxiedSend | None:
        relayed = self._calls.get(call_id)
        send = None if relayed is None else relayed.send
        return send if send is not None and send.action.number == number else None

    def _relay(self, action: RelayResponse) -> None:
        send = self._current(action.call_id, action.number)
        if send is not None:
            send.relay(action.stream)

    def _continue(self, action: ContinueResponse) -> None:
        send = self._current(action.call_id, action.number)
        if send is not None:
            send.resume()

    def _cancel(self, action: CancelSend) -> None:
        send = self._current(action.call_id, action.number)
        if send is not None:
            send.cancel()

    def _answer(self, action: RespondLocally) -> None:
        relayed = self._calls.pop(action.call_id, None)
        if relayed is not None:
            relayed.conn.send_response(*relayed.form.refusal(relayed.request_id, action))

    def _answer_kept(self, action: ReplayResponse) -> None:
        relayed = self._calls.pop(action.call_id, None)
        if relayed is not None:
            relayed.conn.send_response(*relayed.form.kept(action.response))

    def _break(self, action: AbortResponse) -> None:
        relayed = self._calls.pop(action.call_id, None)
        if relayed is None:
            return
        conn, last = relayed.conn, relayed.form.broken()
        if relayed.form.collects:
            refusal = RespondLocally(action.call_id, BAD_GATEWAY, "target_failed", "", None)
            conn.send_response(*relayed.form.refusal(relayed.request_id, refusal))
        elif last is not None:
            conn.stream(last)
            conn.end()
        else:
            conn.call_id = None
            conn.abort()

    def sweep(self) -> None:
        """Close idle connections to targets."""
        self.pool.sweep(boot_time_s())

    def close_idle(self) -> None:
        """Close the callers' connections on which nothing is under way."""
        for conn in list(self.connections):
            if conn.idle:
                conn.close()

    def close(self) -> None:
        """Close all connections."""
        for conn in list(self.connections):
            conn.abort()
        self.pool.close()
