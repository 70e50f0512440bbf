"""The I/O layer of an entry: connects callers and targets with the core; makes no decisions.

Bytes that arrive become events for ``gateway.Gateway``, and the actions that it returns become
bytes.  Everything runs on one event loop: streams need no threads, and a caller's disconnect is
noticed even while no data flows.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from result import Err, Ok

from filbertstream.actions import Log
from filbertstream.connection.buffer_budget import DEFAULT_BUFFER_BYTES
from filbertstream.connection.caller_connection import CallerConnection
from filbertstream.connection.connection_limit import longest_idle
from filbertstream.connection.isolated_tasks import IsolatedTasks
from filbertstream.connection.proxied_send import ProxiedCall, ProxiedSend
from filbertstream.connection.request_parser import RawRequest
from filbertstream.connection.response_format import PassThroughFormat, ResponseFormat
from filbertstream.connection.target_call import call_target
from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.connection.target_probe import ask_load, probe
from filbertstream.fleet.cold_targets import IdleConnectionLost
from filbertstream.fleet.crash_detector import ProbeOutcome, ProbeTarget, TargetProbed
from filbertstream.gateway import Gateway
from filbertstream.gateway_events import GatewayAction
from filbertstream.log_events import LogEvent
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
from filbertstream.process.deployment import Address
from filbertstream.request.call import CallHead
from filbertstream.request.call_events import (
    AbortResponse,
    CallArrived,
    CallerDisconnected,
    CancelSend,
    ContinueResponse,
    LoadProbed,
    ProbeLoad,
    RelayResponse,
    ReplayResponse,
    RespondLocally,
    SendCall,
)
from filbertstream.statuses import BAD_GATEWAY, BAD_REQUEST
from filbertstream.version.routes import CallerLimits

FREED_STATUSES: Final = (200, 202, 204)

CACHE_RESPONSE_TIMEOUT_S: Final = 0.5
"""Time limit of a cache call, in addition to the wait that the call requests."""

CACHE_EVENTS_LIMIT_BYTES: Final = 4_000_000
"""Largest response to a call for cache events: tens of thousands of events."""

CACHE_LIST_LIMIT_BYTES: Final = 16_000_000
"""Largest list of all cache blocks of a holder: a few hundred thousand blocks."""

CLOSED_AT_ONCE: Final = 8
"""Idle connections that are closed together when new ones wait."""

PASS_THROUGH: Final = PassThroughFormat()
"""Stateless, so all calls share it."""


class GatewayIO:
    """Runs an entry's core on the event loop and does its I/O.

    ``handlers`` maps each type of action to the function that executes it.
    """

    def __init__(
        self,
        core: Gateway,
        write_log: Callable[[Log], None],
        on_fatal: Callable[[str], None],
        buffer_bytes: int = DEFAULT_BUFFER_BYTES,
    ) -> None:
        self._core = core
        self._on_fatal = on_fatal
        self._write_log = write_log
        self.pool = TargetConnectionPool(buffer_bytes=buffer_bytes)
        self.pool.on_lost = lambda address: self.emit(IdleConnectionLost(address))
        self.buffers = self.pool.buffers
        self._calls: dict[int, ProxiedCall] = {}
        self._last_call_id = 0
        self._tasks = IsolatedTasks(core.counters, write_log)
        self.connections: set[CallerConnection] = set()
        self.stopping = False
        self.call_started = asyncio.Event()
        self.handlers: dict[type, Callable[[Any], object]] = {
            Log: write_log,
            SendCall: self._send,
            RelayResponse: self._relay,
            ContinueResponse: self._continue,
            CancelSend: self._cancel,
            RespondLocally: self._respond,
            ReplayResponse: self._replay_response,
            AbortResponse: self._abort,
            PollCacheEvents: self._start_poll,
            ListCacheBlocks: lambda action: self._tasks.start(
                self._list_cache(action), "cache_list"
            ),
            ProbeTarget: self._probe_target,
            ProbeLoad: self._probe_load,
            FreeBlocks: lambda free: self._tasks.start(self._free_blocks(free), "cache_free"),
        }

    @property
    def limits(self) -> CallerLimits:
        """The limits of the configuration in force."""
        config = self._core.authorizer.config
        return CallerLimits() if config is None else config.limits

    @property
    def closing(self) -> bool:
        """Whether responses should close their connections."""
        return self.stopping or self._core.should_close_connections(boot_time_s())

    @property
    def calls_running(self) -> int:
        """The number of calls in progress."""
        return len(self._calls)

    @property
    def connections_opened(self) -> int:
        """The number of connections that were opened to targets."""
        return self.pool.opened

    def new_connection(self) -> CallerConnection:
        """Return the protocol of a caller's new connection."""
        conn = CallerConnection(self, self.connections.discard, self.buffers)
        self.connections.add(conn)
        return conn

    def emit(self, event: Any) -> None:
        """Pass an event to the core and execute the actions that it returns.

        An exception means that the core's state may be corrupt, so the process must end, whoever
        else handles the exception.
        """
        try:
            for action in self._core.step(boot_time_s(), event):
                self.execute(action)
        except Exception as exc:
            self._on_fatal(f"{type(event).__name__}: {exc!r}")
            raise

    def execute(self, action: GatewayAction) -> None:
        """Pass an action to its handler."""
        self.handlers[type(action)](action)

    def on_request(self, conn: CallerConnection, raw: RawRequest) -> None:
        """Start a call for a request, or reject the request if its head is malformed."""
        match decode_call(raw.method, raw.path, raw.headers, len(raw.body)):
            case Err(detail):
                self.on_rejected(BAD_REQUEST, detail)
                refusal = RespondLocally(0, BAD_REQUEST, "malformed", detail, None)
                conn.send_response(*PASS_THROUGH.refusal("", refusal))
            case Ok(head):
                self.start_call(conn, raw, head, PASS_THROUGH)

    def start_call(
        self,
        conn: CallerConnection,
        raw: RawRequest,
        head: CallHead,
        response_format: ResponseFormat,
    ) -> None:
        """Start a call in the core; ``raw`` is the request that a target receives.

        The caller waits since the request began to arrive, so its body and the requests ahead of it
        on the connection have used some of its time.
        """
        if head.deadline_s is not None:
            left_s = head.deadline_s - (boot_time_s() - conn.began_s)
            head = head._replace(deadline_s=max(0.0, left_s))
        self._last_call_id += 1
        conn.call_id = self._last_call_id
        self._calls[self._last_call_id] = ProxiedCall(conn, raw, head, response_format)
        self.call_started.set()
        self.emit(CallArrived(self._last_call_id, head))

    def on_rejected(self, status: int, detail: str) -> None:
        """Count a request that was rejected before it became a call."""
        self._core.counters.add("calls_rejected", str(status))

    def on_disconnected(self, conn: CallerConnection) -> None:
        """Report to the core that a caller disconnected."""
        call_id, conn.call_id = conn.call_id, None
        if call_id is not None and call_id in self._calls:
            for send in self._calls[call_id].sends:
                self._write_log(send.cancelled_line())
            self.emit(CallerDisconnected(call_id))
            self.forget_call(call_id)

    def on_pause(self, conn: CallerConnection, paused: bool) -> None:
        """Apply the caller's backpressure to the target's connection."""
        call = self._calls.get(conn.call_id or 0)
        for send in [] if call is None else call.sends:
            if send.target_conn is not None:
                send.target_conn.pause(paused)

    def forget_call(self, call_id: int) -> None:
        """Drop the state of a call."""
        self._calls.pop(call_id, None)

    def _send(self, action: SendCall) -> None:
        call = self._calls.get(action.call_id)
        if call is None:
            return
        send = ProxiedSend(self, call, action, self._may_reach)
        call.begin_send(send)
        self._tasks.start(send.begin(self.pool), "send", send.on_error)

    def _may_reach(self, target_id: str) -> bool:
        """Whether a request may be written to a target that was chosen a moment ago."""
        roster = self._core.roster
        if roster.evacuations.is_unknown(boot_time_s()):
            return False
        target = roster.targets.get(target_id)
        return target is None or not roster.is_evacuated(target)

    def _start_poll(self, poll: PollCacheEvents) -> None:
        def on_error() -> None:
            self.emit(CacheEventsFailed(poll.holder))

        self._tasks.start(self._poll_cache_events(poll), "cache_events", on_error)

    async def _poll_cache_events(self, poll: PollCacheEvents) -> None:
        """Poll a holder's cache events and emit the outcome."""
        sent_at_s = boot_time_s()
        timeout_s = poll.wait_s + CACHE_RESPONSE_TIMEOUT_S
        data = encode_follow(poll)
        response = await call_target(
            self.pool,
            parse_address(poll.address),
            data,
            timeout_s,
            sent_at_s,
            CACHE_EVENTS_LIMIT_BYTES,
        )
        if response is None:
            self.emit(CacheEventsFailed(poll.holder))
        else:
            self.emit(decode_events(poll, *response, sent_at_s, boot_time_s()))

    async def _list_cache(self, action: ListCacheBlocks) -> None:
        """Request the full list of a holder's blocks; without a response the core retries later."""
        sent_at_s = boot_time_s()
        address = parse_address(action.address)
        response = await call_target(
            self.pool,
            address,
            encode_list(action),
            CACHE_RESPONSE_TIMEOUT_S,
            sent_at_s,
            CACHE_LIST_LIMIT_BYTES,
        )
        listed = None if response is None else decode_list(action, *response, sent_at_s)
        if listed is None:
            self._core.counters.add("cache_lists_missed", "")
        else:
            self.emit(listed)

    async def _free_blocks(self, free: FreeBlocks) -> None:
        """Free cache blocks, and report to the core if the holder accepted."""
        data = encode_free(free)
        address = parse_address(free.address)
        response = await call_target(
            self.pool, address, data, CACHE_RESPONSE_TIMEOUT_S, boot_time_s()
        )
        if response is not None and response[0] in FREED_STATUSES:
            self.emit(BlocksFreed(free.holder, free.keys))

    def _probe_target(self, action: ProbeTarget) -> None:
        self.probe(action.address, lambda outcome: self.emit(TargetProbed(action.start, outcome)))

    def _probe_load(self, action: ProbeLoad) -> None:
        async def ask() -> None:
            self.emit(await ask_load(self.pool, action))

        unanswered = LoadProbed(action.call_id, action.start, boot_time_s(), None)
        self._tasks.start(ask(), "load_probe", lambda: self.emit(unanswered))

    def probe(self, address: Address, on_outcome: Callable[[ProbeOutcome], None]) -> None:
        """Probe whether a target still listens."""

        async def report() -> None:
            on_outcome(await probe(address))

        self._tasks.start(report(), "probe", lambda: on_outcome(ProbeOutcome.NO_RESPONSE))

    def _find_send(self, call_id: int, number: int) -> ProxiedSend | None:
        call = self._calls.get(call_id)
        sends = [] if call is None else call.sends
        return next((send for send in sends if send.action.number == number), None)

    def _relay(self, action: RelayResponse) -> None:
        send = self._find_send(action.call_id, action.number)
        if send is not None:
            send.relay(action.stream)

    def _continue(self, action: ContinueResponse) -> None:
        send = self._find_send(action.call_id, action.number)
        if send is not None:
            send.resume()

    def _cancel(self, action: CancelSend) -> None:
        call = self._calls.get(action.call_id)
        if call is not None:
            call.cancel_send(action.number)

    def _respond(self, action: RespondLocally) -> None:
        call = self._calls.pop(action.call_id, None)
        if call is not None:
            call.conn.send_response(*call.response_format.refusal(call.request_id, action))

    def _replay_response(self, action: ReplayResponse) -> None:
        call = self._calls.pop(action.call_id, None)
        if call is not None:
            call.conn.send_response(*call.response_format.stored(action.response))

    def _abort(self, action: AbortResponse) -> None:
        call = self._calls.pop(action.call_id, None)
        if call is None:
            return
        conn, last = call.conn, call.response_format.broken()
        if call.response_format.collects:
            refusal = RespondLocally(action.call_id, BAD_GATEWAY, "target_failed", "", None)
            conn.send_response(*call.response_format.refusal(call.request_id, refusal))
        elif last is not None:
            conn.stream(last)
            conn.end()
        else:
            conn.call_id = None
            conn.abort()

    def relieve(self) -> None:
        """Let callers go on that waited for memory, or refuse some."""
        self.buffers.relieve(boot_time_s())

    def sweep(self) -> None:
        """Close idle connections to targets, and those of callers that read no response."""
        now_s = boot_time_s()
        self.pool.sweep(now_s)
        for conn in list(self.connections):
            conn.count_unsent(now_s)
        for reason, count in self.buffers.unreported():
            held = ("held_bytes", self.buffers.total_bytes)
            limit = ("limit_bytes", self.buffers.limit_bytes)
            fields = (("reason", reason), ("count", count), held, limit)
            self._write_log(Log(LogEvent.CALLERS_CLOSED, fields))

    def make_room(self) -> None:
        """Close idle connections, or refuse a request that does not arrive, for new connections."""
        now_s = boot_time_s()
        idle = [(conn, conn.idle_since_s) for conn in self.connections if conn.idle]
        chosen = longest_idle(idle, now_s, CLOSED_AT_ONCE)
        closed = sum(conn.close_if_idle() for conn in chosen)
        if closed:
            self.buffers.closed["idle"] += closed
        else:
            self.buffers.refuse_stalled(now_s)

    def close_idle(self) -> None:
        """Close the callers' connections that have no request in progress."""
        for conn in list(self.connections):
            conn.close_if_idle()

    def close(self) -> None:
        """Close all connections."""
        for conn in list(self.connections):
            conn.abort()
        self.pool.close()
