"""Formats the error-budget burn report as a table, as rows for JSON, and as a chart."""

from pathlib import Path
from typing import Any

from filbertstream.process.burn import WINDOWS_S, BurnRow


def as_rows(rows: list[BurnRow]) -> list[dict[str, Any]]:
    """Return the report as plain data."""
    return [row._asdict() for row in rows]


def table(rows: list[BurnRow]) -> str:
    """Return the report as a text table; a burn rate above 1 exhausts the error budget early."""
    windows = "".join(f"{'burn ' + name:>10}" for name in WINDOWS_S)
    header = f"{'workspace':<24}{'requests':>9}{'missed':>8}{'p50 s':>8}{'p95 s':>8}{windows}"
    lines = [header]
    for row in rows:
        burns = "".join(f"{row.burn[name]:>10.2f}" for name in WINDOWS_S)
        lines.append(
            f"{row.workspace:<24}{row.requests:>9}{row.missed:>8}"
            f"{row.p50_s:>8.3f}{row.p95_s:>8.3f}{burns}"
        )
    return "\n".join(lines)


def draw(rows: list[BurnRow], path: Path) -> None:
    """Write a bar chart with one group of bars for each workspace."""
    # Imported here because only charts need the dev extra, and tables must work without it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    width = 0.8 / len(WINDOWS_S)
    for index, name in enumerate(WINDOWS_S):
        positions = [position + index * width for position in range(len(rows))]
        axes.bar(positions, [row.burn[name] for row in rows], width, label=name)
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.set_xticks(range(len(rows)), [row.workspace for row in rows], rotation=20, ha="right")
    axes.set_ylabel("burn rate")
    axes.legend(title="window")
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
