"""Latencies by name: histograms for the metrics page, recent ones for send timeouts."""

from typing import Final

from hdrh.histogram import HdrHistogram

from filbertstream.process.latency_window import LatencyWindow

LOWEST_MS: Final = 1
HIGHEST_MS: Final = 60_000
DIGITS: Final = 2
MS: Final = 1000.0

MEAN_WEIGHT: Final = 0.05
"""Weight of a new sample in the moving average."""

QUANTILES: Final = (50.0, 95.0, 99.0)


class Latencies:
    """A histogram, a moving average and the recent samples for each name."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}
        self._means_s: dict[str, float] = {}
        self._windows: dict[str, LatencyWindow] = {}

    def note(self, name: str, seconds: float) -> None:
        """Record a sample."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
            self._means_s[name] = seconds
            self._windows[name] = LatencyWindow()
        histogram.record_value(max(LOWEST_MS, min(HIGHEST_MS, int(seconds * MS))))
        self._means_s[name] += MEAN_WEIGHT * (seconds - self._means_s[name])
        self._windows[name].note(seconds)

    def note_unfinished(self, name: str, seconds: float) -> None:
        """Record that something took longer than this; it counts among the recent samples only."""
        window = self._windows.get(name)
        if window is not None:
            window.note(seconds)

    def mean_s(self, name: str) -> float:
        """Return the moving average, 0 before any sample."""
        return self._means_s.get(name, 0.0)

    def high_s(self, name: str) -> float:
        """Return a high quantile of the recent samples, 0 before any sample."""
        window = self._windows.get(name)
        return 0.0 if window is None else window.high_s

    def quantiles(self) -> dict[str, tuple[int, dict[float, float]]]:
        """Return by name the number of samples and the ``QUANTILES`` in seconds."""
        return {
            name: (
                histogram.get_total_count(),
                {q: histogram.get_value_at_percentile(q) / MS for q in QUANTILES},
            )
            for name, histogram in self._histograms.items()
        }
