"""Writes the results of the routing bench as a page and as plots."""

from pathlib import Path
from typing import Final

from bench.routing import LOADS, POLICY_NAMES, Row
from bench.workload import DEPLOYMENTS

BASELINES: Final = ("round_robin", "least_load", "prefix_affinity")


def table(rows: list[Row], requests: int, seed: int) -> str:
    """Return the page docs/MEASUREMENTS-routing.md."""
    lines = [
        "# Routing in virtual time",
        "",
        f"Made by `python -m bench.routing --requests {requests} --seed {seed}`. Each cell replays",
        "the same requests; the last 70 in 100 are counted. Recomputed: prompt tokens computed",
        "beyond those that were new, as a share of all prompt tokens. Link: seconds in which the",
        "stores' links were busy. The oracle sees the true state of everything at once. All",
        "policies are told of the same stores; they differ in the choice of the runner.",
        "",
        "| deployment | load | fault | policy | answered | refused | p50 s | p95 s | recomputed "
        "| link s | retries |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        lines.append(
            f"| {row.deployment} | {row.load} | {row.fault} | {row.policy} | {row.answered} "
            f"| {row.refused} | {row.p50_s:.3f} | {row.p95_s:.3f} | {row.recomputed_share:.3f} "
            f"| {row.link_busy_s:.1f} | {row.retries} |"
        )
    return "\n".join([*lines, "", *verdicts(rows), ""])


def verdicts(rows: list[Row]) -> list[str]:
    """Return the aims with the measured values."""
    lines = ["## Aims", ""]
    cells = {(row.deployment, row.load, row.fault, row.policy): row for row in rows}
    for row in rows:
        if row.policy != "cost":
            continue
        label = f"{row.deployment}, load {row.load}, {row.fault}"
        baselines = [cells[row.deployment, row.load, row.fault, name] for name in BASELINES]
        oracle = cells[row.deployment, row.load, row.fault, "oracle"]
        if row.load == 0.8 and row.fault == "calm":
            lines.append(_verdict(row.p95_s <= 0.36, f"{label}: p95 {row.p95_s:.3f} s, aim 0.36"))
        lines.append(_first_measure(row, baselines, label))
        limit = 1.15 if row.fault == "calm" else 1.5
        ratio = row.recomputed_share / max(1e-9, oracle.recomputed_share)
        lines.append(_verdict(ratio <= limit, f"{label}: recomputed {ratio:.2f} x oracle, {limit}"))
    for name in DEPLOYMENTS:
        overload = cells[name, 1.5, "calm", "cost"]
        full_load = cells[name, 1.0, "calm", "cost"]
        fraction = overload.in_time / max(1, full_load.in_time)
        lines.append(
            _verdict(fraction >= 0.95, f"{name}: in time at 1.5 is {fraction:.2f} of 1.0, 0.95")
        )
        retry_fraction = overload.retries / overload.requests
        lines.append(
            _verdict(
                retry_fraction <= 0.1, f"{name}: retries at 1.5 add {retry_fraction:.3f}, aim 0.1"
            )
        )
    return lines


def _first_measure(row: Row, baselines: list[Row], label: str) -> str:
    """Compare with the best baseline by the deployment's first measure."""
    if DEPLOYMENTS[row.deployment].first_measure == "first_token":
        best = min(other.p95_s for other in baselines)
        text = f"{label}: p95 {row.p95_s:.3f} s, best baseline {best:.3f}"
        return _verdict(row.p95_s <= best, text)
    best = min(other.recomputed_share for other in baselines)
    text = f"{label}: recomputed {row.recomputed_share:.4f}, best baseline {best:.4f}"
    return _verdict(row.recomputed_share <= best, text)


def _verdict(holds: bool, text: str) -> str:
    return f"- {'met' if holds else '**missed**'}: {text}"


def plot(rows: list[Row], folder: Path) -> None:
    """Write a plot for each deployment: p95 and recomputed fraction by load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for name in DEPLOYMENTS:
        figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.6))
        for policy in POLICY_NAMES:
            calm = [r for r in rows if (r.deployment, r.fault, r.policy) == (name, "calm", policy)]
            calm.sort(key=lambda row: row.load)
            left.plot(LOADS, [row.p95_s for row in calm], marker="o", label=policy)
            right.plot(LOADS, [row.recomputed_share for row in calm], marker="o")
        left.set_yscale("log")
        left.set_ylabel("time to first token, p95, s")
        right.set_ylabel("recomputed share")
        for axes in (left, right):
            axes.set_xlabel("load")
        left.legend(fontsize=7)
        figure.suptitle(name)
        figure.tight_layout()
        figure.savefig(folder / f"routing-{name}.png", dpi=110)
        pyplot.close(figure)
