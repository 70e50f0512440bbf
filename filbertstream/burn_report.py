"""The service-level burn report as a table, as rows for JSON, and as a picture."""

from pathlib import Path
from typing import Any

from filbertstream.process.burn import WINDOWS_S, BurnRow


def as_rows(rows: list[BurnRow]) -> list[dict[str, Any]]:
    """Return the report as plain data."""
    return [row._asdict() for row in rows]


def table(rows: list[BurnRow]) -> str:
    """Return the report as a table; a burn above 1 uses the allowance up too fast."""
    windows = "".join(f"{'burn ' + name:>10}" for name in WINDOWS_S)
    head = f"{'workspace':<24}{'requests':>9}{'missed':>8}{'p50 s':>8}{'p95 s':>8}{windows}"
    lines = [head]
    for row in rows:
        burns = "".join(f"{row.burn[name]:>10.2f}" for name in WINDOWS_S)
        lines.append(
            f"{row.workspace:<24}{row.requests:>9}{row.missed:>8}"
            f"{row.p50_s:>8.3f}{row.p95_s:>8.3f}{burns}"
        )
    return "\n".join(lines)


def draw(rows: list[BurnRow], path: Path) -> None:
    """Write a picture with a group of bars for each workspace."""
    # Imported here: drawing needs the dev extra, printing must not.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    width = 0.8 / len(WINDOWS_S)
    for index, name in enumerate(WINDOWS_S):
        places = [place + index * width for place in range(len(rows))]
        axes.bar(places, [row.burn[name] for row in rows], width, label=name)
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.set_xticks(range(len(rows)), [row.workspace for row in rows], rotation=20, ha="right")
    axes.set_ylabel("burn rate")
    axes.legend(title="window")
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
