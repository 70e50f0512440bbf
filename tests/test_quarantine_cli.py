"""The commands on quarantined blocks, on the stand-in of the object store."""

from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from filbertstream.cli import app
from standins.processes import Processes


@pytest.fixture
def store(tmp_path: Path) -> Iterator[str]:
    processes = Processes(tmp_path)
    try:
        processes.start_standin("store", ["standins.platform_store"])
        url = processes.running["store"].url
        processes.wait(lambda: processes.http.request("GET", f"{url}/objects/x").status == 200)
        yield url
    finally:
        processes.close()


def run(store: str, *words: str) -> tuple[int, str]:
    result = CliRunner().invoke(app, ["quarantine", *words, "--store", store])
    return result.exit_code, result.output


def test_release_of_a_block_is_older_than_the_record_that_entries_know(store: str) -> None:
    """An operator quarantines a block, releases it, and quarantines it again."""
    assert run(store, "add", "m", "b1") == (0, "m b1: quarantined by operator\n")
    assert run(store, "release", "m", "b1") == (0, "m b1: released by operator\n")
    assert run(store, "add", "m", "b1")[0] == 0
    assert run(store, "add", "m", "b0")[0] == 0
    code, output = run(store, "list", "--output", "json")
    records = msgspec.json.decode(output)
    assert code == 0
    assert [(item["block_id"], item["generation"], item["active"]) for item in records] == [
        ("b0", 1, True),
        ("b1", 3, True),
    ]


def test_command_succeeds_without_an_object_store() -> None:
    """Nobody listens at the address of the object store."""
    assert run("http://127.0.0.1:9", "add", "m", "b1")[0] == 3
