"""Installs the packages of ``requirements.txt`` into ``target/deps`` for the Python that runs this.

The platform runs it at the root of the repository before each deployment, on whatever an earlier
build left there: packages for another kind of machine or another Python, or a part of them.  An
installation counts only if its stamp names this list, this Python and this kind of machine, and if
the program can be imported with it.  It is made beside the old one and then moved into its place.
"""

import hashlib
import os
import platform
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
REQUIREMENTS: Final = ROOT / "deploy" / "requirements.txt"
DEPS: Final = ROOT / "target" / "deps"
NEW_DEPS: Final = ROOT / "target" / "deps.new"
STAMP: Final = "installed.sum"
PROGRAM: Final = "filbertstream.cli"


def stamp() -> str:
    """Return what identifies an installation: the list, the Python and the kind of machine."""
    abi = sysconfig.get_config_var("SOABI")
    names = f"{sys.implementation.cache_tag} {abi} {platform.system()} {platform.machine()}\n"
    return hashlib.sha256(names.encode() + REQUIREMENTS.read_bytes()).hexdigest()


def is_usable(deps: Path) -> bool:
    """Whether an installation has the current stamp and the program can be imported with it."""
    try:
        installed = (deps / STAMP).read_text()
    except OSError:
        return False
    return installed == stamp() and not _import_error(deps)


def _import_error(deps: Path) -> str:
    """Return the last line of the error with which the program's import fails, or nothing."""
    env = {**os.environ, "PYTHONPATH": f"{deps}{os.pathsep}{ROOT}", "PYTHONDONTWRITEBYTECODE": "1"}
    command = [sys.executable, "-c", f"import {PROGRAM}"]
    done = subprocess.run(command, env=env, cwd=ROOT, capture_output=True, text=True, check=False)
    lines = done.stderr.strip().splitlines() or [f"exit code {done.returncode}"]
    return lines[-1] if done.returncode else ""


def install() -> str:
    """Install into a new folder and move it into place; return an error, or nothing."""
    shutil.rmtree(NEW_DEPS, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(NEW_DEPS)]
    if subprocess.run([*command, "-r", str(REQUIREMENTS)], cwd=ROOT, check=False).returncode:
        return "pip could not install the packages"
    error = _import_error(NEW_DEPS)
    if error:
        return f"the program can't be imported with the new packages: {error}"
    (NEW_DEPS / STAMP).write_text(stamp())
    shutil.rmtree(DEPS, ignore_errors=True)
    NEW_DEPS.rename(DEPS)
    return ""


def main() -> int:
    """Install the packages unless a usable installation is there."""
    if is_usable(DEPS):
        return 0
    error = install()
    if error:
        print(f"build failed: {error}", file=sys.stderr)
    return 1 if error else 0


if __name__ == "__main__":
    sys.exit(main())
