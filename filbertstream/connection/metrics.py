"""The /metrics page in Prometheus' text format, from the core's counters."""

import re
from collections.abc import Iterator
from typing import Final

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from filbertstream.core import Core
from filbertstream.process.host import Host

PREFIX: Final = "filbertstream"
UNSAFE: Final = re.compile(r"[^a-z0-9_]")


class _CoreCollector(Collector):
    """Yields the core's counters and a few gauges."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics of this process."""
        counts, gauges = self._host.query(_read)
        families: dict[str, CounterMetricFamily] = {}
        for (name, label), count in sorted(counts.items()):
            family = families.get(name)
            if family is None:
                safe = UNSAFE.sub("_", name)
                family = CounterMetricFamily(f"{PREFIX}_{safe}", f"Count: {name}.", labels=["what"])
                families[name] = family
            family.add_metric([label], count)
        yield from families.values()
        for name, value in gauges.items():
            yield GaugeMetricFamily(f"{PREFIX}_{name}", f"Now: {name}.", value=value)


def _read(core: Core, now_s: float) -> tuple[dict[tuple[str, str], int], dict[str, float]]:
    gauges = {
        "revision": float(core.config.revision),
        "members_live": float(len(core.membership.live(now_s))),
        "requests_running": float(len(core.serving.endings.runs)),
        "targets_known": float(len(core.directory.targets)),
        "targets_out": float(len(core.directory.outliers.out(now_s))),
        "catalogue_pieces": float(len(core.catalogue)),
        "ready": float(core.blocked(now_s) is None),
    }
    return core.counters.snapshot(), gauges


def metrics_page(host: Host) -> tuple[bytes, str]:
    """Return the page and its content type."""
    registry = CollectorRegistry()
    registry.register(_CoreCollector(host))
    return generate_latest(registry), CONTENT_TYPE_LATEST
