"""Code shared by all stand-ins: a cheroot server, JSON in and out, and faults on a control port.

``POST /faults`` on the control port sets faults by name, ``GET /faults`` returns them, and
``POST /die`` ends the process at once.  Faults that every stand-in supports:

    slow_s        delay the response to each call by this time
    down          send no response: connections are accepted and closed
    silent        read the request and send no response, on connections open when the fault is set
    drop_answers  carry out this many calls and close the connection instead of responding
"""

import argparse
import itertools
import os
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Final

import msgspec
from cheroot import wsgi
from cheroot.errors import FatalSSLAlert

Environ = dict[str, Any]
Start = Callable[[str, list[tuple[str, str]]], Any]
App = Callable[[Environ, Start], Iterable[bytes]]

THREADS: Final = 256

IDLE_CONNECTIONS: Final = 512
"""Idle connections kept open between requests; cheroot's default of 10 would close most."""

CONNECTION: Final = "standin.connection"
"""Key of the WSGI environment for the connection's number; ports are reused by the system."""
SILENCE_S: Final = 30.0
DIED: Final = 9


class DropConnection(FatalSSLAlert):
    """Closes the connection without a response: cheroot does so for this error and logs nothing."""


class Faults:
    """The faults that are set; values are numbers, 0 means off."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values: dict[str, float] = {}
        self._newest_connection = 0
        self._stalled_up_to = 0

    def get(self, name: str) -> float:
        """Return a fault's value."""
        return self._values.get(name, 0.0)

    def put(self, values: dict[str, float]) -> None:
        """Set faults."""
        with self._lock:
            self._values.update(values)
            if "silent" in values:
                self._stalled_up_to = self._newest_connection if values["silent"] else 0

    def is_stalled(self, connection: int) -> bool:
        """Whether a connection is stalled; those opened after the fault was set work."""
        with self._lock:
            self._newest_connection = max(self._newest_connection, connection)
        return connection <= self._stalled_up_to

    def take(self, name: str) -> bool:
        """Decrement a counted fault; return whether it was set."""
        with self._lock:
            left = self._values.get(name, 0.0)
            self._values[name] = max(0.0, left - 1)
            return left >= 1

    def all(self) -> dict[str, float]:
        """Return all values."""
        return dict(self._values)


class NumberingGateway(wsgi.Gateway_10):
    """Numbers connections in the order of their first requests, from 1."""

    _numbers = itertools.count(1)

    def get_environ(self) -> Environ:  # type: ignore[override]  # typed as None
        """Return cheroot's environment and the connection's number."""
        conn = self.req.conn
        if not hasattr(conn, "standin_number"):
            conn.standin_number = next(self._numbers)
        environ: Environ = super().get_environ()  # type: ignore[no-untyped-call]
        return {**environ, CONNECTION: conn.standin_number}


def with_faults(app: App, faults: Faults) -> App:
    """Wrap ``app`` in an application that applies the common faults."""

    def serve(environ: Environ, start: Start) -> Iterable[bytes]:
        if faults.get("down"):
            raise DropConnection
        if faults.is_stalled(environ[CONNECTION]):
            time.sleep(SILENCE_S)
            raise DropConnection
        time.sleep(faults.get("slow_s"))
        body = app(environ, start)
        if environ["REQUEST_METHOD"] != "GET" and faults.take("drop_answers"):
            for _ in body:
                pass
            raise DropConnection
        return body

    return serve


def reply(
    start: Start, status: int, value: object, headers: dict[str, str] | None = None
) -> list[bytes]:
    """Send a JSON response."""
    body = msgspec.json.encode(value)
    fields = {"Content-Type": "application/json", "Content-Length": str(len(body))}
    start(f"{status} Status", list((fields | (headers or {})).items()))
    return [body]


def read(environ: Environ) -> bytes:
    """Return the complete body of a request."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    data: bytes = environ["wsgi.input"].read(length) if length else b""
    return data


def read_json(environ: Environ) -> Any:
    """Return the JSON body of a request."""
    return msgspec.json.decode(read(environ) or b"null")


def query(environ: Environ) -> dict[str, str]:
    """Return the query parameters; percent-escapes are not decoded."""
    pairs = [item.partition("=") for item in environ.get("QUERY_STRING", "").split("&") if item]
    return {name: value for name, _, value in pairs}


def _control(faults: Faults, counts: Callable[[], object]) -> App:
    def serve(environ: Environ, start: Start) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/die":
            os._exit(DIED)
        if path == "/counts":
            return reply(start, 200, counts())
        if environ["REQUEST_METHOD"] == "POST":
            faults.put(read_json(environ))
        return reply(start, 200, faults.all())

    return serve


def _server(address: str, app: App, threads: int) -> Any:
    host, _, port = address.rpartition(":")
    server: Any = wsgi.Server(
        (host, int(port)), app, numthreads=threads, max=threads, request_queue_size=512
    )
    server.gateway = NumberingGateway
    server.keep_alive_conn_limit = IDLE_CONNECTIONS
    server.error_log = lambda *args, **kwargs: None
    return server


def control_server(control: str, faults: Faults, counts: Callable[[], object]) -> Any:
    """Return the server of a control port; its ``serve`` runs until the process is ended."""
    server = _server(control, _control(faults, counts), 2)
    server.prepare()
    return server


def serve(
    address: str,
    control: str,
    app: App,
    faults: Faults,
    counts: Callable[[], object],
    around: Callable[[App], App] = lambda app: app,
) -> None:
    """Serve the application and its control port until the process is ended.

    ``around`` wraps the application and its faults.
    """
    threading.Thread(target=control_server(control, faults, counts).serve, daemon=True).start()
    server = _server(address, around(with_faults(app, faults)), THREADS)
    try:
        server.start()
    except KeyboardInterrupt:
        server.stop()


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options shared by all stand-ins."""
    found = argparse.ArgumentParser(description=description)
    found.add_argument("--listen", required=True, help="address, host:port")
    found.add_argument("--control", required=True, help="control address, host:port")
    return found
