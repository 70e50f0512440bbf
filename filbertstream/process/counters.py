"""Counts of what this process did, by name and label; ``connection.metrics`` publishes them.

Labels are kinds, reasons and target names, never a workspace, so that a shared metrics page tells
no workspace anything of another.
"""

from collections import Counter


class Counters:
    """Counts that only grow."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, label: str, amount: int = 1) -> None:
        """Add to a count."""
        self._counts[name, label] += amount

    def get(self, name: str, label: str = "") -> int:
        """Return a count."""
        return self._counts[name, label]

    def snapshot(self) -> dict[tuple[str, str], int]:
        """Return all counts by name and label."""
        return dict(self._counts)
