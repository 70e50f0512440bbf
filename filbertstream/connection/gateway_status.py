"""The readiness endpoint for the load balancer and the metrics page of an entry on the platform."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Final, cast

import httptools
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from filbertstream.connection.address_wait import AddressWait
from filbertstream.connection.buffer_budget import Kind
from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.connection.unread_bytes import has_unread_bytes
from filbertstream.gateway import Gateway
from filbertstream.platform.objects import ObjectStore
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address

CONNECTION_TIMEOUT_S: Final = 5.0
REQUEST_LIMIT_BYTES: Final = 16_384
"""A connection that sends more for one request is closed; checks and scrapes send a few lines."""

UNREAD_LIMIT_BYTES: Final = 65_536
"""A connection that asks for another page while it has not read more of the last one is closed."""

MAX_CONNECTIONS: Final = 24
"""Connections for status beyond this close the oldest one: a check opens one and is answered."""

BACKLOG: Final = 16
"""Connections that are accepted at once."""

METRICS_PATH: Final = b"/metrics"
METRIC_PREFIX: Final = "filbertstream"


class StatusConnection(asyncio.Protocol):
    """Serves readiness checks and metrics; ``others`` holds all such connections of a process."""

    def __init__(
        self,
        ready: Callable[[], bool],
        metrics: Callable[[], bytes],
        others: dict["StatusConnection", None],
    ) -> None:
        self._others = others
        self._request_bytes = 0
        self._ready = ready
        self._metrics = metrics
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._others[self] = None
        if len(self._others) > MAX_CONNECTIONS:
            next(iter(self._others)).abort()
        self._set_timer()

    def abort(self) -> None:
        """Close the connection at once."""
        self._others.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

    def _set_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CONNECTION_TIMEOUT_S, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._transport is not None and has_unread_bytes(self._transport):
            self._set_timer()
        elif self._transport is not None and self._transport.get_write_buffer_size():
            # The other side reads nothing, so that a close would wait without end.
            self.abort()
        elif self._transport is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._others.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        self._request_bytes += len(data)
        if self._request_bytes > REQUEST_LIMIT_BYTES:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.close()

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self._url += url

    def on_message_complete(self) -> None:
        """Send the response."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > UNREAD_LIMIT_BYTES:
            self.abort()
            return
        if self._url.startswith(METRICS_PATH):
            status, body = b"200 OK", self._metrics()
        elif self._ready():
            status, body = b"200 OK", b"ready\n"
        else:
            status, body = b"503 Service Unavailable", b"not ready\n"
        self._url = b""
        self._request_bytes = 0
        head = b"HTTP/1.1 %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
        self._transport.write(head % (status, len(body)) + body)
        if not self._parser.should_keep_alive():
            self._transport.close()


class _GatewayCollector(Collector):
    """Yields the core's counters, latencies and a few gauges."""

    def __init__(
        self, core: Gateway, gateway_io: GatewayIO, store: ObjectStore, dropped_lines: int
    ) -> None:
        self._core = core
        self._gateway_io = gateway_io
        self._object_store = store
        self._dropped_lines = dropped_lines

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics of this process."""
        families: dict[str, CounterMetricFamily] = {}
        for (name, label), count in sorted(self._core.counters.snapshot().items()):
            family = families.get(name)
            if family is None:
                family = CounterMetricFamily(
                    f"{METRIC_PREFIX}_{name}", f"Count: {name}.", labels=["what"]
                )
                families[name] = family
            family.add_metric([label], count)
        yield from families.values()
        calls = CounterMetricFamily(
            f"{METRIC_PREFIX}_store_calls", "Count: store calls.", labels=["what"]
        )
        for what, count in sorted(self._object_store.calls().items()):
            calls.add_metric([what], count)
        yield calls
        yield from self._buffers()
        yield from self._latencies()
        yield from self._work_errors()
        for name, value in self._gauges().items():
            yield GaugeMetricFamily(f"{METRIC_PREFIX}_{name}", f"Now: {name}.", value=value)

    def _buffers(self) -> Iterator[Metric]:
        buffers = self._gateway_io.buffers
        held = GaugeMetricFamily(
            f"{METRIC_PREFIX}_buffered_bytes", "Bytes held by kind.", labels=["what"]
        )
        for kind in Kind:
            held.add_metric([kind], float(buffers.by_kind[kind]))
        yield held
        closed = CounterMetricFamily(
            f"{METRIC_PREFIX}_callers_closed",
            "Requests refused and connections closed to make room, by reason.",
            labels=["what"],
        )
        for reason, count in sorted(buffers.closed.items()):
            closed.add_metric([reason], count)
        yield closed

    def _latencies(self) -> Iterator[Metric]:
        summary = SummaryMetricFamily(
            f"{METRIC_PREFIX}_seconds", "Seconds by what.", labels=["what"]
        )
        quantiles = GaugeMetricFamily(
            f"{METRIC_PREFIX}_seconds_quantile",
            "Quantiles of seconds.",
            labels=["what", "quantile"],
        )
        for name, (count, values) in self._core.latencies.quantiles().items():
            summary.add_metric([name], count, 0.0)
            for quantile, seconds in values.items():
                quantiles.add_metric([name, str(quantile)], seconds)
        yield summary
        yield quantiles

    def _work_errors(self) -> Iterator[Metric]:
        histograms = self._core.work.errors.histograms()
        if histograms:
            family = HistogramMetricFamily(
                f"{METRIC_PREFIX}_work_error_ratio",
                "Actual work of a call divided by its estimate.",
                labels=["route"],
            )
            for route, (buckets, total) in sorted(histograms.items()):
                family.add_metric([route], buckets, total)
            yield family

    def _gauges(self) -> dict[str, float]:
        now_s = boot_time_s()
        config = self._core.authorizer.config
        limited = self._core.request_rates.limited()
        paused = float(self._core.roster.notices.paused(now_s))
        cold = float(self._core.cold_targets.cold(now_s))
        quarantined = float(len(self._core.crash_watch.quarantine.active))
        suspected = float(self._core.crash_watch.evidence.suspected_blocks)
        evacuations = self._core.evacuations
        evacuated = float(len(evacuations.data_centers))
        buffers = self._gateway_io.buffers
        given_up = float(buffers.given_up)
        fair = self._core.fair_admission
        over_share = 0.0 if fair is None else float(fair.workspaces_over_share(now_s))
        return {
            **(
                {"response_bytes_buffered": float(buffers.by_kind[Kind.RESPONSE])}
                if given_up
                else {}
            ),
            **({"responses_given_up": given_up} if given_up else {}),
            **({"targets_rate_limited": float(len(limited))} if limited else {}),
            **({"targets_paused": paused} if paused else {}),
            **({"data_centers_evacuated": evacuated} if evacuations.watched else {}),
            **({"targets_cold": cold} if cold else {}),
            **({"quarantined_blocks": quarantined} if quarantined else {}),
            **({"suspected_blocks": suspected} if suspected else {}),
            "buffer_limit_bytes": float(buffers.limit_bytes),
            "callers_waiting": float(buffers.waiting),
            **({"workspaces_over_share": over_share} if over_share else {}),
            "calls_running": float(self._gateway_io.calls_running),
            "caller_connections": float(len(self._gateway_io.connections)),
            "target_connections_opened": float(self._gateway_io.connections_opened),
            "targets_known": float(len(self._core.roster.targets)),
            "targets_out": float(len(self._core.roster.outliers.ejected(now_s))),
            "store_epoch": float(self._core.recovery.epoch),
            "store_restores": float(self._core.recovery.restores),
            "store_recovering": float(self._core.recovery.complete_epoch is None),
            "config_version": float(0 if config is None else config.version.number),
            "config_age_seconds": self._core.config_freshness.age_s(now_s),
            "ready": float(self._core.ready(now_s)),
            "log_lines_dropped": float(self._dropped_lines),
        }


async def listen_for_status(
    wait: AddressWait, address: Address, protocol: Callable[[], StatusConnection]
) -> asyncio.Server | None:
    """Serve status on an address; return None if the process stops before."""
    sock = await wait.listening_socket(address)
    if sock is None:
        return None
    loop = asyncio.get_running_loop()
    return await loop.create_server(protocol, sock=sock, backlog=BACKLOG)


def metrics_text(
    core: Gateway, gateway_io: GatewayIO, store: ObjectStore, dropped_lines: int
) -> bytes:
    """Return the metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_GatewayCollector(core, gateway_io, store, dropped_lines))
    return generate_latest(registry)
