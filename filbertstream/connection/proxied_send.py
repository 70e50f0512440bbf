"""One call at the edge and its current send: the sink of a target's answer.

Bytes of an answer become events for the core, which says what becomes of them; what it passes on
goes to the caller event by event, or whole.
"""

from typing import Any, Final, Protocol

from filbertstream.connection.caller_connection import CallerConnection, RawRequest
from filbertstream.connection.event_relay import EventRelay
from filbertstream.connection.response_format import ResponseFormat
from filbertstream.connection.target_connection import TargetConnection, TargetConnectionPool
from filbertstream.platform.headers import Headers, encode_target_head
from filbertstream.process.clock import boot_time_s
from filbertstream.request.call import BufferedResponse, CallHead, ResponseHead
from filbertstream.request.call_events import (
    FirstEvent,
    ResponseComplete,
    ResponseStarted,
    SendCall,
    SendFailed,
    SendStalled,
)

BUFFERED_BYTES: Final = 8_000_000
"""An answer that is passed on whole may be this large."""


class EdgeHost(Protocol):
    """What a send tells the edge."""

    def emit(self, event: Any) -> None:
        """Step the core and carry its actions out."""

    def forget_call(self, call_id: int) -> None:
        """Forget a call."""


class ProxiedCall:
    """One call at the edge: its caller, its request, its answer's form and its current send."""

    def __init__(
        self, conn: CallerConnection, raw: RawRequest, head: CallHead, form: ResponseFormat
    ) -> None:
        self.conn = conn
        self.raw = raw
        self.request_id = head.request_id
        self.keeps_answer = head.idempotency_key is not None
        self.form = form
        self.send: ProxiedSend | None = None
        self.events: EventRelay | None = None


class ProxiedSend:
    """One send of a call; the sink of its answer."""

    def __init__(self, gateway_io: EdgeHost, relayed: ProxiedCall, action: SendCall) -> None:
        self._gateway_io = gateway_io
        self._relayed = relayed
        self.action = action
        self.link: TargetConnection | None = None
        self.over = False
        self._streams = False
        self._relays = False
        self._answer: ResponseHead | None = None
        self._reason = ""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._first = False

    def on_head(self, answer: ResponseHead, reason: str, headers: Headers) -> None:
        """Ask the core what becomes of the answer."""
        self._answer, self._reason, self._headers = answer, reason, headers
        self._gateway_io.emit(ResponseStarted(self.action.call_id, self.action.number, answer))

    def relay(self, stream: bool) -> None:
        """Pass the answer on: event by event, or whole."""
        self._relays = True
        self._streams = stream
        if stream and self._answer is not None:
            self._relayed.events = EventRelay(self.action.last_event_id)
            if not self._relayed.form.collects:
                head = self._relayed.form.begin(self._answer.status, self._reason, self._headers)
                self._relayed.conn.begin(head)

    def resume(self) -> None:
        """Go on with the caller's stream."""
        self._relays = self._streams = True
        if self._relayed.events is not None:
            self._relayed.events.restart()

    def on_body(self, data: bytes) -> bool:
        """Pass bytes on, or keep them until the answer is whole.

        A stream has got on only by events that its caller can use: a runner that stalls may send a
        byte or a comment now and then.
        """
        if self.over or not self._relays:
            return False
        if not self._first:
            self._first = True
            self._gateway_io.emit(FirstEvent(self.action.call_id, self.action.number))
        if self._streams and self._relayed.events is not None:
            events = self._relayed.events
            before = events.useful_events
            passed = events.feed(data)
            if events.malformed:
                self._fail("too_large")
                return False
            data = self._relayed.form.events(passed) if passed else b""
            if data:
                self._relayed.conn.stream(data)
            return events.useful_events > before
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > BUFFERED_BYTES:
            self._fail("too_large")
        return True

    def on_complete(self) -> None:
        """End the caller's answer as whole, if it is."""
        if self.over or not self._relays or self._answer is None:
            return
        events = self._relayed.events
        if self._streams and (events is None or not events.complete):
            self._fail("cut")
            return
        self.over = True
        body = b"".join(self._body)
        self._finish(self._answer, body)
        self._gateway_io.forget_call(self.action.call_id)
        kept = self._kept(self._answer, body) if self._relayed.keeps_answer else None
        self._gateway_io.emit(
            ResponseComplete(self.action.call_id, self.action.number, self._body_bytes, kept)
        )

    def _finish(self, answer: ResponseHead, body: bytes) -> None:
        """End the caller's answer."""
        conn, form = self._relayed.conn, self._relayed.form
        if not self._streams or form.collects:
            conn.send_response(*form.complete(answer.status, self._reason, self._headers, body))
            return
        last = form.end()
        if last:
            conn.stream(last)
        conn.end()

    def _kept(self, answer: ResponseHead, body: bytes) -> BufferedResponse:
        content_type = dict(reversed(self._headers)).get(b"content-type", b"")
        return BufferedResponse(answer.status, content_type.decode("latin-1"), body)

    def on_failed(self, cause: str) -> None:
        """Tell the core that the answer is cut."""
        self._fail(cause)

    def on_stalled(self) -> None:
        """Ask the core whether the call goes on elsewhere; else the answer is waited for."""
        if self.over:
            return
        events = self._relayed.events
        last_id = None if events is None else events.last_id
        self._gateway_io.emit(
            SendStalled(self.action.call_id, self.action.number, events is not None, last_id)
        )

    def _fail(self, cause: str, sent: bool = True) -> None:
        if self.over:
            return
        self.over = True
        events = self._relayed.events
        last_id = None if events is None else events.last_id
        event = SendFailed(
            self.action.call_id, self.action.number, cause, sent, events is not None, last_id
        )
        self._gateway_io.emit(event)

    async def begin(self, pool: TargetConnectionPool) -> None:
        """Find a connection and write the request."""
        action = self.action
        link = pool.take(action.address, action.max_idle_s, boot_time_s())
        if link is None:
            link = await pool.open(action.address)
        if self.over:
            if link is not None:
                pool.give_back(link, boot_time_s())
            return
        if link is None or link.closed:
            self._fail("unreachable", sent=False)
            return
        self.link = link
        raw = self._relayed.raw
        head = encode_target_head(
            raw.method,
            raw.path,
            raw.headers,
            action.cache,
            action.target_id,
            action.workspace,
            action.deadline_s,
            action.priority,
            action.last_event_id,
            len(raw.body),
        )
        link.request(
            self._relayed.request_id,
            head + raw.body,
            self,
            action.progress_timeout_s,
            lambda idle: pool.give_back(idle, boot_time_s()),
        )

    def cancel(self) -> None:
        """Give the send up."""
        self.over = True
        if self.link is not None:
            self.link.abort()
