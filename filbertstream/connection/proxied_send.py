"""A call in the I/O layer and its current send, which receives the target's response.

A response becomes events for the core, which decides what to do with it.  A response that is passed
on goes to the caller event by event, or buffered as a complete body.
"""

from collections.abc import Callable
from typing import Any, Final, Protocol

from filbertstream.actions import Log
from filbertstream.connection.buffer_budget import BufferBudget
from filbertstream.connection.caller_connection import CallerConnection
from filbertstream.connection.event_relay import EventRelay
from filbertstream.connection.request_parser import RawRequest
from filbertstream.connection.response_format import ResponseFormat
from filbertstream.connection.target_connection import TargetConnection
from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.fleet.crash_detector import ProbeOutcome
from filbertstream.log_events import LogEvent
from filbertstream.platform.headers import Headers, encode_target_head
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address
from filbertstream.request.call import BufferedResponse, CallHead, ResponseHead
from filbertstream.request.call_events import (
    WITHHELD,
    FirstEvent,
    ResponseComplete,
    ResponseStarted,
    SendCall,
    SendFailed,
    SendProgressed,
    SendStalled,
)

BUFFERED_BYTES: Final = 8_000_000
"""Largest response body that is buffered until it is complete."""


class SendHost(Protocol):
    """What a send needs of the I/O layer."""

    def emit(self, event: Any) -> None:
        """Pass an event to the core and execute the actions that it returns."""

    def forget_call(self, call_id: int) -> None:
        """Drop the state of a call."""

    def probe(self, address: Address, on_outcome: Callable[[ProbeOutcome], None]) -> None:
        """Probe whether a target still listens."""


class ProxiedCall:
    """A call in the I/O layer: its caller, request, response format and current send."""

    def __init__(
        self,
        conn: CallerConnection,
        raw: RawRequest,
        head: CallHead,
        response_format: ResponseFormat,
    ) -> None:
        self.conn = conn
        self.raw = raw
        self.request_id = head.request_id
        self.stores_response = head.idempotency_key is not None
        self.response_format = response_format
        self.send: ProxiedSend | None = None
        self.standby: ProxiedSend | None = None
        self.events: EventRelay | None = None

    @property
    def sends(self) -> "list[ProxiedSend]":
        """The sends that are not over: the current one, and a silent one that it may replace."""
        return [send for send in (self.send, self.standby) if send is not None and not send.over]

    def begin_send(self, send: "ProxiedSend") -> None:
        """Make a further send the current one; the one before goes on unless it is over."""
        self.standby = next(iter(self.sends), None)
        self.send = send

    def cancel_send(self, number: int) -> None:
        """Cancel a send; another one that is not over becomes the current one."""
        for send in (self.send, self.standby):
            if send is not None and send.action.number == number:
                send.cancel()
        if self.sends:
            self.send, self.standby = self.sends[0], None

    def cancel_others(self, kept: "ProxiedSend") -> None:
        """Cancel the sends beside one."""
        for send in self.sends:
            if send is not kept:
                send.cancel()


class ProxiedSend:
    """One send of a call; receives the target's response."""

    def __init__(
        self,
        host: SendHost,
        call: ProxiedCall,
        action: SendCall,
        may_reach: Callable[[str], bool] = lambda target_id: True,
    ) -> None:
        self._host = host
        self._may_reach = may_reach
        self._call = call
        self.action = action
        self._chosen_at_s = boot_time_s()
        self.target_conn: TargetConnection | None = None
        self.over = False
        self._streams = False
        self._relays = False
        self._response: ResponseHead | None = None
        self._reason = ""
        self._headers: Headers = []
        self._body = bytearray()
        self._body_bytes = 0
        self._begun = False
        self._own_events: EventRelay | None = None
        self._buffers: BufferBudget | None = None
        self._is_counted = False

    def on_head(self, response: ResponseHead, reason: str, headers: Headers) -> None:
        """Report the response to the core, which decides whether it is passed on."""
        self._response, self._reason, self._headers = response, reason, headers
        self._host.emit(ResponseStarted(self.action.call_id, self.action.number, response))

    def relay(self, stream: bool) -> None:
        """Pass the response on: event by event, or as a complete body."""
        self._relays = True
        self._streams = stream
        if stream and self._response is not None:
            self._call.events = EventRelay(self.action.last_event_id)
            if not self._call.response_format.collects:
                head = self._call.response_format.begin(
                    self._response.status, self._reason, self._headers
                )
                self._call.conn.begin(head)

    def resume(self) -> None:
        """Continue the caller's stream with the response to this send.

        While a silent send may still continue it, this one takes over with its first event.
        """
        self._relays = self._streams = True
        if self._call.events is not None:
            self._own_events = self._call.events.resumed()
            if len(self._call.sends) <= 1:
                self._take_over()

    def _take_over(self) -> None:
        if self._own_events is not None:
            self._call.events, self._own_events = self._own_events, None

    @property
    def _events(self) -> EventRelay | None:
        return self._call.events if self._own_events is None else self._own_events

    def on_body(self, data: bytes) -> bool:
        """Pass bytes on, or buffer them; return whether they count as progress.

        Only events with an id or data count as progress of a stream: a stalled runner may still
        send single bytes or comments.
        """
        if self.over or not self._relays:
            return False
        events = self._events
        if self._streams and events is not None:
            before = events.useful_events
            passed = events.feed(data)
            if events.useful_events > before:
                self._report_progress()
                self._take_over()
            if events.malformed:
                self._fail("too_large")
                return False
            if events.buffered_bytes or self._is_counted:
                self._count(events.buffered_bytes)
            relays = passed and self._own_events is None
            data = self._call.response_format.events(passed) if relays else b""
            if data:
                self._call.conn.stream(data)
            return events.useful_events > before
        self._report_progress()
        self._body += data
        self._body_bytes += len(data)
        if self._body_bytes > BUFFERED_BYTES:
            self._fail("too_large")
        else:
            self._count(self._body_bytes)
        return True

    def _count(self, size: int) -> None:
        self._is_counted = size > 0
        if self._buffers is not None:
            self._buffers.set(self, size, lambda: self._fail("too_large"))

    def _drop_buffered(self) -> None:
        self._body.clear()
        if self._buffers is not None:
            self._buffers.release(self)

    def _report_progress(self) -> None:
        """Report the first progress, and any progress while this send may be replaced."""
        if self._call.standby is self:
            self._host.emit(SendProgressed(self.action.call_id, self.action.number))
        if not self._begun:
            self._begun = True
            self._host.emit(FirstEvent(self.action.call_id, self.action.number))

    def on_complete(self) -> None:
        """Finish the caller's response; a stream that ends inside an event has failed."""
        if self.over or not self._relays or self._response is None:
            return
        events = self._events
        if self._streams and (events is None or not events.complete):
            self._fail("cut")
            return
        self._take_over()
        self._call.cancel_others(self)
        self.over = True
        body = bytes(self._body)
        self._drop_buffered()
        self._finish(self._response, body)
        self._host.forget_call(self.action.call_id)
        stored = self._stored_response(self._response, body) if self._call.stores_response else None
        count = 0 if events is None else events.useful_events
        self._host.emit(
            ResponseComplete(
                self.action.call_id, self.action.number, self._body_bytes, stored, count
            )
        )

    def _finish(self, response: ResponseHead, body: bytes) -> None:
        """Write the rest of the caller's response."""
        conn, response_format = self._call.conn, self._call.response_format
        if not self._streams or response_format.collects:
            conn.send_response(
                *response_format.complete(response.status, self._reason, self._headers, body)
            )
            return
        last = response_format.end()
        if last:
            conn.stream(last)
        conn.end()

    def _stored_response(self, response: ResponseHead, body: bytes) -> BufferedResponse:
        content_type = dict(reversed(self._headers)).get(b"content-type", b"")
        return BufferedResponse(response.status, content_type.decode("latin-1"), body)

    def on_connection_end(self) -> None:
        """Finish the response if its target still runs: a crash ends the connection too.

        A stream of which nothing has arrived can't be whole.
        """
        if self.over or not self._relays:
            return
        events = self._events
        if self._streams and (events is None or (events.last_id is None and not self._begun)):
            self._fail("cut")
            return
        self._host.probe(self.action.address, self._on_probed)

    def _on_probed(self, outcome: ProbeOutcome) -> None:
        if outcome is ProbeOutcome.REFUSED:
            self._fail("cut")
        else:
            self.on_complete()

    def on_failed(self, cause: str) -> None:
        """Report to the core that the response broke off."""
        self._fail(cause)

    def on_stalled(self) -> None:
        """Report the stall to the core, which may retry the call on another target.

        Otherwise this send keeps waiting.
        """
        if self.over:
            return
        events = self._call.events
        last_id = None if events is None else events.last_id
        self._host.emit(
            SendStalled(self.action.call_id, self.action.number, events is not None, last_id)
        )

    def _fail(self, cause: str, sent: bool = True) -> None:
        if self.over:
            return
        self.over = True
        self._drop_buffered()
        events = self._call.events
        last_id = None if events is None else events.last_id
        event = SendFailed(
            self.action.call_id, self.action.number, cause, sent, events is not None, last_id
        )
        self._host.emit(event)

    def on_error(self) -> None:
        """Fail a send that could not be carried out; it is retried if nothing was written."""
        self._fail("internal", sent=self.target_conn is not None)

    async def begin(self, pool: TargetConnectionPool) -> None:
        """Take or open a connection and write the request.

        A connection may open late, as on a busy machine or after a suspension, so the target gets
        the time left by then, and nothing if its data center has been evacuated since the choice.
        """
        action = self.action
        self._buffers = pool.buffers
        target_conn = pool.take(
            action.address, action.max_idle_s, boot_time_s(), self._call.request_id
        )
        if target_conn is None:
            target_conn = await pool.open(action.address)
        if self.over:
            if target_conn is not None:
                pool.release(target_conn, boot_time_s())
            return
        if target_conn is None or target_conn.closed:
            self._fail("unreachable", sent=False)
            return
        if not self._may_reach(action.target_id):
            pool.release(target_conn, boot_time_s())
            self._fail(WITHHELD, sent=False)
            return
        self.target_conn = target_conn
        raw = self._call.raw
        head = encode_target_head(
            raw.method,
            raw.path,
            raw.headers,
            action.cache,
            action.target_id,
            action.workspace,
            action.deadline_s - (boot_time_s() - self._chosen_at_s),
            action.priority,
            action.last_event_id,
            len(raw.body),
        )
        target_conn.request(
            self._call.request_id,
            head,
            self,
            action.progress_timeout_s,
            lambda idle: pool.release(idle, boot_time_s()),
            raw.body,
        )

    def cancelled_line(self) -> Log:
        """Return the line of a send that is about to be cancelled since its caller has left."""
        conn = self.target_conn
        fields = (
            ("request_id", self._call.request_id),
            ("target", self.action.target_id),
            ("send", self.action.number),
            ("age_s", round(boot_time_s() - self._chosen_at_s, 3)),
            ("written", conn is not None),
            ("unsent_bytes", 0 if conn is None else conn.unsent_bytes),
        )
        return Log(LogEvent.SEND_CANCELLED, fields)

    def cancel(self) -> None:
        """Abandon the send by closing its connection."""
        self.over = True
        self._drop_buffered()
        if self.target_conn is not None:
            self.target_conn.abort()
