"""The components that only an entry with the product's ``/v1`` API has.

These are the callers' API, the operators' API with its documents, and the TLS certificates of both.
``gateway_process`` starts and closes them.
"""

import asyncio
import ssl
from collections.abc import Callable
from pathlib import Path

from result import Result

from filbertstream.checks import Mistake
from filbertstream.connection.document_store import (
    DocumentStore,
    DocumentWatch,
    KnownDocuments,
)
from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.connection.listener import Listener
from filbertstream.connection.operator_api import BODY_LIMIT_BYTES, OperatorApi
from filbertstream.connection.tls import ReloadingAdapter, ReloadingAuthority
from filbertstream.connection.v1_api import V1Api
from filbertstream.connection.v1_requests import RequestIdGenerator
from filbertstream.connection.watched_kinds import WatchedKind, product_kinds
from filbertstream.gateway import Gateway
from filbertstream.platform.objects import ObjectStore
from filbertstream.process.core_queries import CoreQueries
from filbertstream.process.deployment import Address, Bounds, Deployment
from filbertstream.process.recent_calls import RecentCalls
from filbertstream.process.settings import (
    OPERATOR_THREADS,
    Settings,
    deployment_of,
    read_settings,
)
from filbertstream.version.routes import CallerLimits


class ProductSetup:
    """Provides what an entry process needs from the settings of the ``/v1`` API."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.log_level = settings.log_level
        self.store_ca = _path_text(settings.platform.ca_file)
        self.targets_ca = _path_text(settings.targets.ca_file)
        self._limits = CallerLimits(body_bytes=settings.callers.body_limit_bytes)
        self._known = KnownDocuments()

    def kinds(self, bounds: Bounds) -> tuple[WatchedKind, ...]:
        """Return the kinds of objects to watch."""
        return product_kinds(bounds, DocumentWatch(self._limits, self._known))

    def read(self, file: Path) -> Result[Deployment, list[Mistake]]:
        """Read the settings file and return the deployment that it describes, or its errors."""
        return read_settings(file).map(deployment_of)

    def build(
        self, core: Gateway, gateway_io: GatewayIO, store: ObjectStore, metrics: Callable[[], bytes]
    ) -> "Product":
        """Create the components of the ``/v1`` API."""
        documents = DocumentStore(store, self._known, lambda: core.recovery.complete_epoch)
        return Product(self._settings, self._limits, core, gateway_io, documents, metrics)


def _path_text(path: Path | None) -> str | None:
    return None if path is None else str(path)


class Product:
    """The components of the ``/v1`` API."""

    def __init__(
        self,
        settings: Settings,
        limits: CallerLimits,
        core: Gateway,
        gateway_io: GatewayIO,
        documents: DocumentStore,
        metrics: Callable[[], bytes],
    ) -> None:
        self.settings = settings
        self.documents = documents
        self.recent = RecentCalls()
        ids = RequestIdGenerator(settings.name, core.cfg.incarnation)
        self.callers = V1Api(gateway_io, core, ids, limits, metrics)
        self._gateway_io = gateway_io
        self._queries = CoreQueries(core)
        tls = settings.callers.tls
        self._callers_tls = None if tls is None else ReloadingAdapter(tls)
        ca_file = settings.targets.ca_file
        self._authority = None if ca_file is None else ReloadingAuthority(ca_file)
        operators = settings.operators
        api = OperatorApi(settings.name, operators.keys, self._queries, documents, self.recent)
        self._operators = Listener(
            str(operators.host),
            operators.port,
            api,
            OPERATOR_THREADS,
            BODY_LIMIT_BYTES,
            operators.tls,
        )

    @property
    def callers_tls(self) -> ssl.SSLContext | None:
        """The TLS context of callers' connections, or None without TLS."""
        if self._callers_tls is None:
            return None
        context: ssl.SSLContext = self._callers_tls.adapter.context
        return context

    @property
    def peer_key_file(self) -> Path | None:
        """The file with the key that encrypts the links between entries."""
        return self.settings.peers.key_file

    @property
    def operators(self) -> Address:
        """The address on which operators are served."""
        return Address(str(self.settings.operators.host), self.settings.operators.port)

    def start(self) -> None:
        """Listen for operators; raise ``OSError`` if the address is in use, to be called again."""
        self._queries.start(asyncio.get_running_loop())
        self._apply_authority()
        self._operators.start()

    def close(self, within_s: float) -> None:
        """Stop listening for operators; their requests end within ``within_s``."""
        self._operators.close(within_s)

    def _apply_authority(self) -> None:
        self._gateway_io.pool.tls = None if self._authority is None else self._authority.context

    def reload(self) -> list[bool]:
        """Reload changed certificate files; return for each one whether it was accepted."""
        outcomes = [
            certificate.reload()
            for certificate in (self._callers_tls, self._operators.certificates, self._authority)
            if certificate is not None
        ]
        self._apply_authority()
        return [outcome for outcome in outcomes if outcome is not None]
