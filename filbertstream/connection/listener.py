"""A cheroot server for the operators' WSGI application, with limits on each connection."""

import threading
from typing import Any, Final

from cheroot import wsgi

from filbertstream.connection.tls import ReloadingAdapter
from filbertstream.connection.wsgi_messages import WsgiApp
from filbertstream.process.settings import Tls

SOCKET_TIMEOUT_S: Final = 10
"""A connection on which no bytes arrive for longer is closed."""

HEADER_LIMIT_BYTES: Final = 32_768
BACKLOG: Final = 512
SHUTDOWN_TIMEOUT_S: Final = 5


class _Server(wsgi.Server):
    """Raises the error of a bind as it is; cheroot's own has no ``errno``."""

    def prepare(self) -> None:
        self.bind_error: OSError | None = None
        try:
            super().prepare()
        except OSError as exc:
            raise self.bind_error or exc from None

    def bind(self, *args: Any) -> Any:
        try:
            return super().bind(*args)
        except OSError as exc:
            self.bind_error = exc
            raise


class Listener:
    """A listening socket with its worker threads."""

    def __init__(
        self,
        host: str,
        port: int,
        app: WsgiApp,
        threads: int,
        body_limit_bytes: int,
        tls: Tls | None,
    ) -> None:
        self.certificates = None if tls is None else ReloadingAdapter(tls)
        server: Any = _Server(
            (host, port),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
            server_name="filbertstream",
        )
        server.max_request_header_size = HEADER_LIMIT_BYTES
        server.max_request_body_size = body_limit_bytes
        server.error_log = _drop
        if self.certificates is not None:
            server.ssl_adapter = self.certificates.adapter
        self._server = server
        self._thread = threading.Thread(target=self._serve, name=f"listen-{port}", daemon=True)

    def start(self) -> None:
        """Bind, and serve in a thread; return once connections are accepted.

        Raises ``OSError`` if the address is in use; may then be called again.
        """
        self._server.prepare()
        self._thread.start()

    def close(self, within_s: float = SHUTDOWN_TIMEOUT_S) -> None:
        """Stop accepting, let running requests finish for ``within_s`` at most, and close."""
        if self._thread.ident is not None:
            self._server.shutdown_timeout = min(within_s, SHUTDOWN_TIMEOUT_S)
            self._server.stop()
            self._thread.join()

    def _serve(self) -> None:
        self._server.serve()


def _drop(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Drop cheroot's own log lines, since they may contain parts of requests."""
