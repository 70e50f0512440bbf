"""A soak of the gateway over real processes with overlapping random faults; see the exit code.

    python -m bench.gateway_soak [--seconds 15] [--seed 1] [--seeds 1] [--entries 8]
                                 [--first FAULT] [--product CHECKOUT] [--logs FOLDER]

Callers hold their connections until the process is gone; targets record what arrives, in a file
that outlasts them.  The rules (``bench.gateway_rules``) are checked against both at the end.
"""

import argparse
import asyncio
import contextlib
import functools
import os
import random
import shutil
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from time import monotonic
from typing import Any, Final, NamedTuple

import bench.gateway_crash_rules  # noqa: F401  (registers its rule)
from bench.gateway_callers import Callers
from bench.gateway_departure_rules import runs_of_departed
from bench.gateway_records import Exit, Observed, Route, Sample
from bench.gateway_rules import RULES, broken
from bench.gateway_soak_faults import DRAWN, FAULTS, World, restart_target
from standins.arrivals import read_arrivals
from standins.platform_fleet import BOUNDS, MAX_FDS, ROUTES, PlatformFleet
from standins.processes import ROOT, CrashBlock
from standins.restarts import Restarts

ENTRIES: Final = 8
RUNNERS: Final = 3
APPS: Final = 3
CALLERS: Final = 24
MEMORY_MB: Final = 150
CALM_S: Final = 1.5
MAX_FAULTS: Final = 5
SAMPLE_S: Final = 0.25
CRASH_BLOCK: Final = "dead"
SHOWN: Final = 8


class Soak(NamedTuple):
    """The result of a seed."""

    counts: Counter[str]
    violations: dict[str, list[str]]
    seen: Observed


class _Run:
    """One run on a fleet that was started."""

    def __init__(self, fleet: PlatformFleet, seed: int, first: str) -> None:
        self._fleet = fleet
        self._first = first
        self._plan = random.Random(seed)
        addresses = {name: fleet.running[name].address for name in fleet.running if name[0] == "e"}
        self.callers = Callers(addresses, seed, CRASH_BLOCK)
        self.world = World(fleet, self.callers, random.Random(self._plan.random()))
        self.samples: list[Sample] = []
        self.counts: Counter[str] = Counter()

    async def play(self, seconds: float) -> None:
        """Run callers and faults; faults that have begun come to their end."""
        callers = [asyncio.create_task(self.callers.run(number)) for number in range(CALLERS)]
        sampling = asyncio.create_task(self._sample())
        await asyncio.sleep(CALM_S)
        end_s, active = monotonic() + seconds - CALM_S, set[asyncio.Task[None]]()
        while monotonic() < end_s:
            if len(active) < MAX_FAULTS:
                name = self._first or self._plan.choice(DRAWN)
                self._first = ""
                self.counts[f"fault: {name}"] += 1
                drawing = self.world.drawing_from(random.Random(self._plan.random()))
                active.add(asyncio.create_task(_awaited(FAULTS[name](drawing))))
            await self.world.pause(0.1, 0.9)
            for done in [task for task in active if task.done()]:
                active.remove(done)
                done.result()
        await asyncio.gather(*active)
        await asyncio.sleep(CALM_S)
        self.callers.stopped = True
        await asyncio.gather(*callers)
        sampling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampling

    async def _sample(self) -> None:
        """Sample what processes hold, and start those again that ended by themselves."""
        while True:
            for entry in self.world.names("e"):
                process = self._fleet.running[entry].process
                signals = self.world.signals[process.pid]
                if process.poll() is None:
                    with contextlib.suppress(OSError):
                        self.samples.append(_sample_of(entry, process.pid))
                elif entry not in self.world.in_use:
                    self.world.exits.append(Exit(entry, process.returncode, tuple(signals)))
                    await self.world.start(entry)
            await asyncio.sleep(SAMPLE_S)

    def observed(self) -> Observed:
        """Return what callers and targets saw."""
        routes = {
            str(item["name"]): Route(
                str(item["service"]),
                item["type"] == "idempotent" or bool(item["resumable"]),
                int(item["attempts"]),
                item["timeout_ms"] / 1000,
            )
            for item in ROUTES
        }
        return Observed(
            routes,
            self.callers.requests,
            read_arrivals(self._fleet.arrival_record),
            self.world.spans,
            self.world.exits,
            self.world.late_starts,
            self.samples,
            self._fleet.crash_times("crashed"),
            CRASH_BLOCK,
            float(BOUNDS["budget_ratio"]),
            float(BOUNDS["retry_slack"]),
            MEMORY_MB,
            MAX_FDS,
            self.world.dedications,
            float(BOUNDS["revoke_ms"]) / 1000,
        )


async def _awaited(running: Any) -> None:
    await running


def _sample_of(entry: str, pid: int) -> Sample:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.partition(":")[::2] for line in lines)
    rss_mb = int(fields.get("VmRSS", "0 kB").split()[0]) * 1024 / 1e6
    fds = len(os.listdir(f"/proc/{pid}/fd"))
    return Sample(entry, pid, monotonic(), rss_mb, fds, int(fields["Threads"]))


def play(
    seed: int,
    seconds: float,
    entries: int = ENTRIES,
    first: str = "",
    product: Path = ROOT,
    logs: Path | None = None,
) -> Soak:
    """Run a seed on a new fleet and check the rules at the end.

    ``first`` is the first fault, the others are drawn.  ``product`` is the checkout whose entries
    run; ``logs`` gets the logs and records of a run that breaks a rule.
    """
    crash = CrashBlock(CRASH_BLOCK, after_head=seed % 2 == 0)
    with tempfile.TemporaryDirectory() as folder:
        fleet = PlatformFleet(
            Path(folder), entries, RUNNERS, APPS, crash, MEMORY_MB, product, cuttable=True
        )
        try:
            fleet.start()
            run = _Run(fleet, seed, first)
            runners = run.world.names("r")
            restarts = Restarts(fleet, runners, functools.partial(restart_target, fleet))
            restarts.start()
            try:
                asyncio.run(run.play(seconds))
            finally:
                restarts.close()
            seen = run.observed()
        finally:
            fleet.close()
        violations = broken(seen)
        if violations and logs is not None:
            kept = logs / f"seed-{seed}"
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            lines = [repr(item) for item in [*seen.spans, *seen.exits, *seen.requests.values()]]
            (kept / "seen.txt").write_text("\n".join(lines))
    return Soak(run.counts + _counted(seen), violations, seen)


def _counted(seen: Observed) -> Counter[str]:
    """Return how many requests ended how, and the cases of each rule, those allowed too."""
    counts: Counter[str] = Counter()
    for request in seen.requests.values():
        end = "left" if request.left else "cut" if not request.whole else "answered"
        counts[f"{request.route} {end} {request.status or ''}"] += 1
    counts["arrivals"] = len(seen.arrivals)
    counts["repeats"] = sum(len(sends) - 1 for sends in seen.sends().values())
    counts["runs when their callers left"] = len(runs_of_departed(seen))
    counts["crashes"] = len(seen.crashes_s)
    counts["changes of dedicated workspaces"] = len(seen.dedications) - 1
    used = [arrival.used for arrival in seen.arrivals]
    counts["blocks of other workspaces used"] = sum(map(len, used))
    counts["requests while one is dedicated"] = sum(
        request.status == 200 and bool(seen.dedicated(request.begun_s, request.ended_s))
        for request in seen.requests.values()
    )
    counts["ends of entries"] = len(seen.exits)
    counts["largest MB"] = round(max((sample.rss_mb for sample in seen.samples), default=0))
    counts["most threads"] = max((sample.threads for sample in seen.samples), default=0)
    for name, entry in RULES.items():
        counts[f"cases: {name}"] = len(list(entry.check(seen)))
    return counts


def main() -> int:
    """Run the soak and print a summary of each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, one after another")
    parser.add_argument("--entries", type=int, default=ENTRIES)
    parser.add_argument("--first", default="", choices=["", *FAULTS], help="the first fault")
    parser.add_argument("--product", type=Path, default=ROOT, help="checkout of the entries")
    parser.add_argument("--logs", type=Path, help="folder for the logs of runs that break a rule")
    options = parser.parse_args()
    # Exits normally on SIGTERM, so that all processes that were started here are ended.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = play(
            seed, options.seconds, options.entries, options.first, options.product, options.logs
        )
        failed += bool(soak.violations)
        print(f"seed={seed} seconds={options.seconds:.0f}")
        print(*(f"  {what}: {count}" for what, count in sorted(soak.counts.items())), sep="\n")
        for name, cases in soak.violations.items():
            print(f"  VIOLATION: {name}: {len(cases)} cases")
            print(*(f"    {text}" for text in cases[:SHOWN]), sep="\n", flush=True)
    print(f"{options.seeds} seeds, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
