"""Counters by name and label; ``connection.gateway_status`` publishes them.

Labels are kinds, reasons and target names, never a workspace, so that a shared metrics page reveals
nothing about one workspace to another.
"""

from collections import Counter


class Counters:
    """Counters that only increase."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, label: str, amount: int = 1) -> None:
        """Increase a counter."""
        self._counts[name, label] += amount

    def get(self, name: str, label: str = "") -> int:
        """Return a counter, 0 if nothing was counted."""
        return self._counts[name, label]

    def snapshot(self) -> dict[tuple[str, str], int]:
        """Return all counters by name and label."""
        return dict(self._counts)
