"""The tests in several processes: ``python -m bench.shards``, as ``scripts/test`` runs them.

Tests in virtual time need only a processor, so they run side by side, a shard on each.  Tests with
sockets, processes or the clock of the machine mostly wait.  They run after the others, in a few
shards that leave most processors idle.  Files that set ``RUNS_ALONE`` load the machine themselves,
so one more shard runs them at the end, beside no other.
"""

import os
import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ET
from pathlib import Path
from typing import Final, NamedTuple

import pytest

MOST_SHARDS: Final = 8
"""Shards in virtual time; with more, collecting the tests takes longer than running them."""

PROCESSORS_OF_A_CLOCK_SHARD: Final = 2
"""A shard with the clock of the machine uses half of one on average, and more as a fleet starts."""

MOST_CLOCK_SHARDS: Final = 3
"""Shards with the clock of the machine."""

MACHINE: Final = re.compile(
    r"^(?:from|import) "
    r"(?:asyncio|http|signal|socket|standins|subprocess|threading|time|bench\.(?:gateway_)?soak)\b",
    re.MULTILINE,
)
"""Imports of a test file that works with sockets, processes or the clock of the machine."""

ALONE: Final = re.compile(r"^RUNS_ALONE\b", re.MULTILINE)
"""What a test file sets whose tests need the machine for themselves."""


class Counts(NamedTuple):
    """Tests of a shard, or of all."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0

    def __add__(self, other: object) -> "Counts":
        """Return the sums."""
        if not isinstance(other, Counts):
            return NotImplemented
        return Counts(*(mine + more for mine, more in zip(self, other, strict=True)))

    def __str__(self) -> str:
        skipped = f", {self.skipped} skipped" if self.skipped else ""
        return f"{self.passed} passed, {self.failed} failed{skipped}"


class Plan(NamedTuple):
    """The numbers of shards: in virtual time, and after them with the clock of the machine."""

    virtual: int
    clock: int

    @classmethod
    def for_processors(cls, count: int) -> "Plan":
        """Return the plan for a machine."""
        clock = count // PROCESSORS_OF_A_CLOCK_SHARD
        return cls(min(count, MOST_SHARDS), max(1, min(clock, MOST_CLOCK_SHARDS)))


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the options of one shard: its number, the numbers of both kinds, and a folder."""
    parser.addoption("--shard", nargs=3, type=int)
    parser.addoption("--claims", type=Path)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Keep the tests in virtual time of this shard, or all with the clock of the machine.

    In virtual time, neighbours get different shards: the slow cases of a test are neighbours.
    """
    number, *numbers = config.getoption("--shard")
    plan = Plan(*numbers)
    # What a module imports says nothing of its doctests, and none of them waits.
    files = {item.path for item in items if item.path.name.startswith("test_")}
    alone = {path for path in files if ALONE.search(path.read_text())}
    clock = {path for path in files - alone if MACHINE.search(path.read_text())}
    if number >= sum(plan):
        items[:] = [item for item in items if item.path in alone]
    elif number < plan.virtual:
        virtual = [item for item in items if item.path not in clock | alone]
        items[:] = virtual[number :: plan.virtual]
    else:
        items[:] = [item for item in items if item.path in clock]
        config.pluginmanager.register(Claims(config.getoption("--claims")))


class Claims:
    """The files that this process has claimed, each whole, because its tests may share a fleet."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._claimed: dict[Path, bool] = {}

    @pytest.hookimpl(tryfirst=True)
    def pytest_runtest_protocol(self, item: pytest.Item) -> bool | None:
        """Pass over a test whose file another process has claimed."""
        if item.path not in self._claimed:
            try:
                (self._folder / "-".join(item.path.parts[1:])).touch(exist_ok=False)
                self._claimed[item.path] = True
            except FileExistsError:
                self._claimed[item.path] = False
        return None if self._claimed[item.path] else True


class Shard(NamedTuple):
    """A running shard, and where its output and its counts go."""

    number: int
    process: "subprocess.Popen[bytes]"
    output: Path
    report: Path

    def finish(self) -> Counts:
        """Wait for its end and print its output; a shard without a report counts as a failure."""
        code = self.process.wait()
        print(
            f"shard {self.number}:", self.output.read_text(errors="replace"), sep="\n", flush=True
        )
        if not self.report.exists():
            return Counts(failed=1)
        suite = next(ET.parse(self.report).iter("testsuite"))
        total, failures, errors, skipped = (
            int(suite.attrib[name]) for name in ("tests", "failures", "errors", "skipped")
        )
        failed = failures + errors
        # What fails outside of tests, such as an import, isn't always in the report.
        return Counts(total - failed - skipped, max(failed, int(code != 0)), skipped)


def start(number: int, plan: Plan, folder: Path, args: list[str]) -> Shard:
    """Start pytest with the tests of one shard."""
    output, report = folder / f"{number}.txt", folder / f"{number}.xml"
    command = [sys.executable, "-m", "pytest", "-p", "bench.shards"]
    command += [
        "--shard",
        *map(str, (number, *plan)),
        f"--claims={folder}",
        f"--junitxml={report}",
        *args,
    ]
    with output.open("wb") as sink:
        process = subprocess.Popen(command, stdout=sink, stderr=subprocess.STDOUT)
    return Shard(number, process, output, report)


def has_alone(args: list[str]) -> bool:
    """Whether a test file in one of the named folders needs the machine for itself."""
    folders = [Path(arg) for arg in args if Path(arg).is_dir()]
    files = [file for folder in folders for file in folder.rglob("test_*.py")]
    return any(ALONE.search(file.read_text()) for file in files)


def run(args: list[str], plan: Plan) -> Counts:
    """Run all tests with pytest's arguments."""
    counts = Counts()
    numbers = range(sum(plan) + has_alone(args))
    with tempfile.TemporaryDirectory() as folder:
        parts = (
            numbers[: plan.virtual],
            numbers[plan.virtual : sum(plan)],
            numbers[sum(plan) :],
        )
        for part in parts:
            shards = [start(number, plan, Path(folder), args) for number in part]
            counts = sum((shard.finish() for shard in shards), counts)
    return counts


if __name__ == "__main__":
    counts = run(sys.argv[1:], Plan.for_processors(os.cpu_count() or 1))
    print(counts)
    sys.exit(int(counts.failed > 0))
