"""The partition of the tests into shards, and what is reported of them."""

from pathlib import Path

import pytest

from bench.shards import MACHINE, Counts, Plan, run

VIRTUAL = "import pytest\n"
TESTS = "".join(f"def test_{name}(): pass\n" for name in "abcd")


@pytest.mark.parametrize(
    ("line", "waits"),
    [
        *(
            (f"import {name}", True)
            for name in ("asyncio", "http.server", "signal", "subprocess", "time")
        ),
        ("from socket import SOL_SOCKET", True),
        ("from standins.processes import free_port", True),
        ("from bench.soak import play", True),
        ("from bench.gateway_soak import play", True),
        ("from bench.world import World", False),
    ],
)
def test_imports_of_files_with_sockets_processes_or_the_clock(line: str, waits: bool) -> None:
    assert bool(MACHINE.search(f"{VIRTUAL}{line}\n")) == waits


def test_machine_with_few_processors_runs_one_clock_shard() -> None:
    assert [Plan.for_processors(count) for count in (1, 3, 8)] == [(1, 1), (3, 1), (8, 3)]


# CI would pass with a failure in a shard, or with a shard that ended before its tests.
@pytest.mark.parametrize(
    ("line", "counts"),
    [
        ("", Counts(8, 0, 0)),
        ("def test_x(): assert 0", Counts(8, 1, 0)),
        ("import time\ndef test_x(): assert 0", Counts(8, 1, 0)),
        ("def test_x(): pytest.skip()", Counts(8, 0, 1)),
        ("import os\ndef test_x(): os._exit(0)", Counts(6, 1, 0)),
        ("raise OSError", Counts(0, 4, 0)),
    ],
)
def test_each_test_counts_once_and_each_failure(tmp_path: Path, line: str, counts: Counts) -> None:
    (tmp_path / "test_virtual.py").write_text(TESTS)
    (tmp_path / "test_clock.py").write_text(f"import time\n{TESTS}")
    (tmp_path / "test_x.py").write_text(f"{VIRTUAL}{line}\n")
    assert run([str(tmp_path)], Plan(2, 2)) == counts


def test_file_that_needs_the_machine_runs_alone_after_the_others(tmp_path: Path) -> None:
    """Beside other tests, a file that loads the machine would make them fail, and they it."""
    (tmp_path / "test_virtual.py").write_text(TESTS)
    (tmp_path / "test_clock.py").write_text(f"import time\n{TESTS}")
    ended = tmp_path / "ended"
    note = f"def test_end(): open({str(ended)!r}, 'w').close()\n"
    (tmp_path / "test_later.py").write_text(f"import time\n{note}")
    check = f"def test_x(): assert __import__('os').path.exists({str(ended)!r})\n"
    (tmp_path / "test_alone.py").write_text(f"import time\nRUNS_ALONE = True\n{check}")
    assert run([str(tmp_path)], Plan(2, 2)) == Counts(10, 0, 0)


def test_closing_line() -> None:
    assert str(Counts(3, 0, 0) + Counts(1, 2, 0)) == "4 passed, 2 failed"
    assert str(Counts(3, 0, 1)) == "3 passed, 0 failed, 1 skipped"
