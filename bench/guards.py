"""Removes guards one at a time, on a copy of the tree, and reports whether their checks fail.

    python -m bench.guards [--write docs/GUARDS.md]

A guard whose check still passes is listed as unproved and makes the exit code 1.
"""

import argparse
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from bench.crash_guards import CRASH_GUARDS
from bench.departure_guards import DEPARTURE_GUARDS
from bench.evacuation_guards import EVACUATION_GUARDS
from bench.gateway_guards import GATEWAY_GUARDS
from bench.guard import Guard
from bench.isolation_guards import ISOLATION_GUARDS
from bench.key_guards import KEY_GUARDS
from bench.rate_guards import RATE_GUARDS
from bench.recovery_guards import RECOVERY_GUARDS
from bench.sharing_guards import SHARING_GUARDS
from bench.standby_guards import STANDBY_GUARDS

ROOT: Final = Path(__file__).resolve().parent.parent
COPIED: Final = ("filbertstream", "bench", "standins", "tests", "configs", "docs", "pyproject.toml")
MAX_WORKERS: Final = 4
CHECK_TIMEOUT_S: Final = 300


def check_fails(guard: Guard) -> bool:
    """Whether the guard's check fails on a copy of the tree without the guard."""
    with tempfile.TemporaryDirectory() as folder:
        for name in COPIED:
            source = ROOT / name
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, Path(folder) / name)
        guarded_file = Path(folder) / "filbertstream" / guard.file
        text = guarded_file.read_text()
        if guard.present not in text:
            raise LookupError(f"guard {guard.name!r}: its code was not found in {guard.file}")
        text = text.replace(guard.present, guard.without, 1)
        if guard.also_present:
            text = text.replace(guard.also_present, "if False:", 1)
        guarded_file.write_text(text)
        command = [sys.executable, "-m", "pytest", "-q", "-x", guard.check]
        environment = {"PYTHONPATH": folder, "PATH": "", "NO_SHRINK": "1"}
        completed = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            check=False,
            timeout=CHECK_TIMEOUT_S,
        )
    return completed.returncode == 1


def page(rows: list[tuple[Guard, bool]]) -> str:
    """Return docs/GUARDS.md."""
    head = [
        "# Guards",
        "",
        "Made by `python -m bench.guards --write docs/GUARDS.md`: each guard is taken out on a",
        "copy of the tree and its check is run. *red*: the check fails without the guard, so the",
        "guard matters.",
        "",
        "| guard | file | without it | check |",
        "|---|---|---|---|",
    ]
    lines = [
        f"| {guard.name} | `{guard.file}` | {'red' if red else '**green: unproved**'} "
        f"| `{guard.check.partition('::')[2]}` |"
        for guard, red in rows
    ]
    return "\n".join([*head, *lines, ""])


def main() -> int:
    """Check all guards and print a row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", type=Path)
    options = parser.parse_args()
    guards = (
        *KEY_GUARDS,
        *GATEWAY_GUARDS,
        *RATE_GUARDS,
        *RECOVERY_GUARDS,
        *CRASH_GUARDS,
        *ISOLATION_GUARDS,
        *EVACUATION_GUARDS,
        *SHARING_GUARDS,
        *DEPARTURE_GUARDS,
        *STANDBY_GUARDS,
    )
    with ThreadPoolExecutor(MAX_WORKERS) as pool:
        rows = list(zip(guards, pool.map(check_fails, guards), strict=True))
    for guard, red in rows:
        print(f"{'red' if red else 'GREEN'}  {guard.name}")
    if options.write is not None:
        options.write.write_text(page(rows))
    return 0 if all(red for _, red in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
