"""Serves one request on its thread: carries out the actions that the core binds to it.

``Work`` sends attempts through ``target_client``, reports to the core what became of them, and
passes the answer on: streamed, collected from a stream into a whole, or whole as it came.  Whether
to resume, retry or refuse is the core's decision (``request.serving``).
"""

import enum
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok
from urllib3.exceptions import HTTPError

from filbertstream.actions import (
    Action,
    AnswerKept,
    AwaitDecision,
    Refuse,
    ResumeAttempt,
    SendAttempt,
)
from filbertstream.connection.collecting import Usage, collect, usage_of, usage_of_event
from filbertstream.connection.sse import EventCutter, StreamFault, StreamPart
from filbertstream.connection.target_client import Answer, Failure, TargetClient, failure_of
from filbertstream.connection.wire import (
    Environ,
    StartResponse,
    problem_body,
    send_bytes,
    send_problem,
    status_line,
)
from filbertstream.events import (
    AttemptFailed,
    AttemptFinished,
    AttemptStarted,
    CallerLeft,
    CallerRequest,
    DecisionOverdue,
)
from filbertstream.process.host import Exchange, Host

DECISION_WITHIN_S: Final = 10.0
"""The core always decides; this bound only guards against a broken invariant."""

OK: Final = 200
SERVER_ERROR: Final = 500


class AnswerMode(enum.Enum):
    """How an answer is passed on."""

    STREAM = "stream"
    COLLECT = "collect"
    WHOLE = "whole"


class GivenUp(Exception):  # noqa: N818 - the end of a stream, caught by who passes it on
    """The core refused to go on with a stream that had begun."""

    def __init__(self, refusal: Refuse) -> None:
        super().__init__(refusal.code)
        self.refusal = refusal


class _Open(NamedTuple):
    """An attempt and its open answer."""

    send: SendAttempt
    answer: Answer


class Work:
    """One request from the first decision to its final answer."""

    def __init__(
        self,
        host: Host,
        client: TargetClient,
        req: CallerRequest,
        body: bytes,
        environ: Environ,
    ) -> None:
        self._host = host
        self._client = client
        self._req = req
        self._body = body
        self._mode = AnswerMode.WHOLE
        self._content_type = environ.get("CONTENT_TYPE") or "application/json"
        self._exchange: Exchange = host.open(req.request_id)

    def run(self, start: StartResponse, mode: AnswerMode) -> "list[bytes] | Iterator[bytes]":
        """Serve the request; the returned body belongs to the answer that was started."""
        self._mode = mode
        self._host.tell(self._req)
        streaming = False
        try:
            while True:
                action = self._next()
                if not isinstance(action, SendAttempt):
                    return self._answer_final(start, action)
                answer = self._send(action)
                if answer is None:
                    continue
                if answer.status == OK and mode is AnswerMode.STREAM:
                    streaming = True
                    return self._pass_stream(start, _Open(action, answer))
                if answer.status == OK and mode is AnswerMode.COLLECT:
                    return self._pass_collected(start, _Open(action, answer))
                whole = self._pass_whole(start, _Open(action, answer))
                if whole is not None:
                    return whole
        finally:
            if not streaming:
                self._host.release(self._req.request_id)

    def _next(self) -> Action:
        """Return the next action for this request, reporting waits that were too long."""
        within_s = DECISION_WITHIN_S
        overdue = False
        while True:
            action = self._exchange.take(within_s)
            if isinstance(action, AwaitDecision):
                within_s = action.within_s
            elif action is not None:
                return action
            elif overdue:
                return Refuse(self._req.request_id, "starting", "", "may_have_run", 1.0)
            else:
                self._host.tell(DecisionOverdue(self._req.request_id))
                within_s = DECISION_WITHIN_S
            overdue = action is None

    def _answer_final(self, start: StartResponse, action: Action) -> list[bytes]:
        request_id = self._req.request_id
        if isinstance(action, AnswerKept):
            headers = [
                ("Content-Type", "application/json"),
                ("X-Request-Id", request_id),
                ("Idempotency-Replayed", "true"),
            ]
            return send_bytes(start, action.status, headers, action.body)
        if isinstance(action, Refuse):
            return self._send_refusal(start, action)
        raise AssertionError(f"an unexpected action for a request: {type(action).__name__}")

    def _send_refusal(self, start: StartResponse, refusal: Refuse) -> list[bytes]:
        body = problem_body(
            refusal.code, refusal.detail, refusal.run, refusal.request_id, refusal.retry_after_s
        )
        return send_problem(start, body)

    def _send(self, send: SendAttempt) -> Answer | None:
        """Send an attempt; None where it failed, which the core has been told."""
        body = self._body
        if send.kind == "runner":
            body = _for_runner(body, send, self._mode)
        headers = {"Content-Type": self._content_type}
        match self._client.send(send, self._req.method, self._req.path, body, headers):
            case Ok(answer):
                return answer
            case Err(failure):
                self._fail(send.attempt_id, failure, 0)
        return None

    def _fail(self, attempt_id: str, failure: Failure, passed_on: int) -> None:
        request_id = self._req.request_id
        self._host.tell(
            AttemptFailed(request_id, attempt_id, failure.cause, failure.sent, passed_on)
        )

    def _started(self, opened: _Open) -> None:
        request_id = self._req.request_id
        first_byte_s = opened.answer.first_byte_s
        self._host.tell(AttemptStarted(request_id, opened.send.attempt_id, first_byte_s))

    def _finish(self, opened: _Open, usage: Usage, body: bytes) -> None:
        self._host.tell(
            AttemptFinished(
                self._req.request_id,
                opened.send.attempt_id,
                opened.answer.status,
                usage.prompt_tokens,
                usage.cached_tokens,
                usage.imported_tokens,
                opened.answer.first_byte_s,
                body,
            )
        )

    def _pass_whole(self, start: StartResponse, opened: _Open) -> list[bytes] | None:
        """Read the whole answer, then pass it on; None where it broke off."""
        send, answer = opened
        self._started(opened)
        match answer.whole():
            case Err(failure):
                self._fail(send.attempt_id, failure, 0)
                return None
            case Ok(body):
                pass
        if answer.status >= SERVER_ERROR and send.kind == "runner":
            # A runner's own failure gave the caller nothing: the core may try another.
            self._fail(send.attempt_id, Failure("runner_error", True), 0)
            return None
        usage = usage_of(body) if send.kind == "runner" else Usage()
        self._finish(opened, usage, body if send.fresh else b"")
        headers = [
            ("Content-Type", answer.content_type),
            ("X-Request-Id", self._req.request_id),
        ]
        return send_bytes(start, answer.status, headers, body)

    def _pass_collected(self, start: StartResponse, opened: _Open) -> list[bytes]:
        """Collect a stream into a whole answer, then pass it on."""
        data: list[bytes] = []
        try:
            for part in self._parts(opened):
                if part is None:
                    data.clear()
                else:
                    data.append(part.data)
        except GivenUp as exc:
            return self._send_refusal(start, exc.refusal)
        headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", self._req.request_id),
        ]
        return send_bytes(start, OK, headers, collect(b"".join(data)))

    def _pass_stream(self, start: StartResponse, opened: _Open) -> Iterator[bytes]:
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("X-Request-Id", self._req.request_id),
        ]
        start(status_line(OK), headers)
        return self._stream(opened)

    def _stream(self, opened: _Open) -> Iterator[bytes]:
        """Yield a stream's bytes; a caller that leaves closes this generator."""
        ended = False
        try:
            for part in self._parts(opened):
                if part is not None:
                    ended = part.done
                    yield part.data
        except GivenUp as exc:
            ended = True
            yield _error_event(exc.refusal)
        finally:
            if not ended:
                self._host.tell(CallerLeft(self._req.request_id))
            self._host.release(self._req.request_id)

    def _parts(self, opened: _Open) -> Iterator[StreamPart | None]:
        """Yield a stream's parts over as many connections as the core allows.

        None says that another attempt begins from the start; that only happens while nothing was
        passed on.  Raises ``GivenUp`` where the core refuses to go on.
        """
        current = opened
        cutter = EventCutter(current.send.attempt_id)
        while True:
            try:
                for part in cutter.parts(current.answer.chunks()):
                    first = cutter.passed_on == part.events > 0
                    if not part.done:
                        # The caller's bytes go first; telling the core can wait for them.
                        yield part
                    if first:
                        self._started(current)
                        current.answer.limit_silence(current.send.progress_s)
                    if part.done:
                        current.answer.finish()
                        self._finish(current, usage_of_event(cutter.last_event), b"")
                        yield part
                return
            except StreamFault as fault:
                failure = Failure(fault.cause, True)
            except HTTPError as exc:
                failure = failure_of(exc)
            except GeneratorExit:
                current.answer.abort()
                raise
            current.answer.abort()
            following = self._go_on(current, failure, cutter.passed_on)
            if following.send.attempt_id != current.send.attempt_id:
                cutter = EventCutter(following.send.attempt_id)
                yield None
            current = following

    def _go_on(self, opened: _Open, failure: Failure, passed_on: int) -> _Open:
        """Return the connection that goes on with a stream, or raise ``GivenUp``."""
        self._fail(opened.send.attempt_id, failure, passed_on)
        while True:
            action = self._next()
            if isinstance(action, ResumeAttempt):
                match self._client.resume(action):
                    case Ok(answer):
                        return opened._replace(answer=answer)
                    case Err(again):
                        self._fail(action.attempt_id, again, passed_on)
            elif isinstance(action, SendAttempt):
                fresh = self._send(action)
                if fresh is not None and fresh.status == OK:
                    return _Open(action, fresh)
                if fresh is not None:
                    fresh.abort()
                    self._fail(action.attempt_id, Failure("runner_error", True), 0)
            elif isinstance(action, Refuse):
                raise GivenUp(action)


def _for_runner(body: bytes, send: SendAttempt, mode: AnswerMode) -> bytes:
    """Return the body for a runner: with the names of its cache pieces and where to import them."""
    if not send.piece_names and mode is not AnswerMode.COLLECT:
        return body
    fields: dict[str, Any] = msgspec.json.decode(body)
    if mode is AnswerMode.COLLECT:
        fields["stream"] = True
    if send.piece_names:
        fields["kv_pieces"] = send.piece_names
        fields["kv_imports"] = [
            {"piece": hint.piece, "from": hint.address} for hint in send.imports
        ]
    return msgspec.json.encode(fields)


def _error_event(refusal: Refuse) -> bytes:
    """Return the event that ends a stream which could not be made whole."""
    body = problem_body(
        refusal.code, refusal.detail, refusal.run, refusal.request_id, refusal.retry_after_s
    )
    return b"event: error\ndata: " + msgspec.json.encode({"error": body}) + b"\n\n"
