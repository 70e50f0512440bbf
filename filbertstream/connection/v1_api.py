"""The product's own HTTP interface on the event loop: models, services, health and metrics.

Requests that run on targets are passed to the I/O layer (``connection.gateway_io``).  The others
are served here from the core's state.
"""

from collections.abc import Callable
from typing import Any, Final

import msgspec
from result import Err, Ok

from filbertstream.connection.caller_connection import CallerConnection
from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.connection.request_parser import RawRequest
from filbertstream.connection.v1_requests import (
    Rejection,
    RequestIdGenerator,
    bearer_token,
    read_call,
)
from filbertstream.connection.v1_responses import JSON, encode_head, encode_refusal
from filbertstream.gateway import Gateway
from filbertstream.process.clock import boot_time_s
from filbertstream.request.authorization import Refused
from filbertstream.statuses import OK, UNAUTHORIZED, UNAVAILABLE
from filbertstream.version.routes import CallerLimits, CallKind

METRICS_TYPE: Final = "text/plain; version=0.0.4"


class V1Api:
    """Serves the connections of callers."""

    def __init__(
        self,
        gateway_io: GatewayIO,
        core: Gateway,
        ids: RequestIdGenerator,
        limits: CallerLimits,
        metrics: Callable[[], bytes],
    ) -> None:
        self._gateway_io = gateway_io
        self._core = core
        self._ids = ids
        self._limits = limits
        self._metrics = metrics

    @property
    def limits(self) -> CallerLimits:
        """The limits of the settings."""
        return self._limits

    @property
    def closing(self) -> bool:
        """Whether responses should close their connections."""
        return self._gateway_io.closing

    def new_connection(self) -> CallerConnection:
        """Return the protocol of a caller's new connection."""
        conn = CallerConnection(
            self, self._gateway_io.connections.discard, self._gateway_io.buffers
        )
        self._gateway_io.connections.add(conn)
        return conn

    def on_disconnected(self, conn: CallerConnection) -> None:
        """The caller closed its connection."""
        self._gateway_io.on_disconnected(conn)

    def on_pause(self, conn: CallerConnection, paused: bool) -> None:
        """The write buffer to the caller is full (``paused``), or has drained again."""
        self._gateway_io.on_pause(conn, paused)

    def on_rejected(self, status: int, detail: str) -> None:
        """A request was rejected before it was read completely."""
        self._gateway_io.on_rejected(status, detail)

    def on_request(self, conn: CallerConnection, raw: RawRequest) -> None:
        """Serve a request that was read completely."""
        path = raw.path.partition("?")[0]
        if raw.method == "GET" and path == "/healthz":
            self._send_json(conn, OK, "", {"status": "alive"})
        elif raw.method == "GET" and path == "/readyz":
            ready = self._core.ready(boot_time_s())
            status = OK if ready else UNAVAILABLE
            self._send_json(conn, status, "", {"status": "ready" if ready else "not ready"})
        elif raw.method == "GET" and path == "/metrics":
            page = self._metrics()
            conn.send_response(encode_head(OK, "", METRICS_TYPE, len(page)), page)
        elif raw.method == "GET" and path == "/v1/models":
            self._list_models(conn, raw)
        else:
            self._start_call(conn, raw)

    def _start_call(self, conn: CallerConnection, raw: RawRequest) -> None:
        request_id = self._ids.take()
        match read_call(raw, request_id):
            case Err(rejection):
                self._reject(conn, request_id, rejection)
            case Ok(call):
                self._gateway_io.start_call(
                    conn, call.target_request, call.head, call.response_format
                )

    def _reject(self, conn: CallerConnection, request_id: str, rejection: Rejection) -> None:
        self.on_rejected(rejection.status, rejection.detail)
        conn.send_response(*encode_refusal(request_id, rejection))

    def _list_models(self, conn: CallerConnection, raw: RawRequest) -> None:
        """List the models that the caller's workspace may use."""
        request_id = self._ids.take()
        key = bearer_token(raw.headers)
        workspace = None
        if key is not None:
            found = self._core.authorizer.workspace_of(key, boot_time_s())
            if isinstance(found, Refused):
                rejection = Rejection(found.status, found.code, "", found.retry_after_s)
                self._reject(conn, request_id, rejection)
                return
            workspace = found
        config = self._core.authorizer.config
        if workspace is None or workspace.workspace_limits is None or config is None:
            self._reject(conn, request_id, Rejection(UNAUTHORIZED, "unauthorized", ""))
            return
        permitted = workspace.workspace_limits.services
        models = sorted(
            route.name
            for route in config.routes
            if route.kind is CallKind.STREAM and route.name in permitted
        )
        rows = [{"id": name, "object": "model"} for name in models]
        self._send_json(conn, OK, request_id, {"object": "list", "data": rows})

    def _send_json(self, conn: CallerConnection, status: int, request_id: str, value: Any) -> None:
        body = msgspec.json.encode(value)
        conn.send_response(encode_head(status, request_id, JSON, len(body)), body)
