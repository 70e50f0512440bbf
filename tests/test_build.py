"""The platform's build, run offline on a copy of ``deploy`` with a package of its own."""

import os
import re
import shutil
import subprocess
import sys
import tomllib
import zipfile
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
NATIVE = "native_probe/_core.py"


def _write_wheel(folder: Path, version: str) -> str:
    """Write a wheel whose package stands for one with a compiled module; return its name."""
    name = f"native_probe-{version}-py3-none-any.whl"
    info = f"native_probe-{version}.dist-info"
    with zipfile.ZipFile(folder / name, "w") as wheel:
        wheel.writestr("native_probe/__init__.py", "from native_probe._core import VERSION\n")
        wheel.writestr(NATIVE, f"VERSION = {version!r}\n")
        wheel.writestr(
            f"{info}/METADATA", f"Metadata-Version: 2.1\nName: native-probe\nVersion: {version}\n"
        )
        wheel.writestr(f"{info}/WHEEL", "Wheel-Version: 1.0\nTag: py3-none-any\n")
        wheel.writestr(f"{info}/RECORD", "")
    return name


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    (tmp_path / "filbertstream").mkdir()
    for name in ("cli", "__init__"):
        (tmp_path / "filbertstream" / f"{name}.py").write_text("")
    (tmp_path / "filbertstream" / "cli.py").write_text("import native_probe\n")
    _require(tmp_path, "1.0")
    return tmp_path


def _require(checkout: Path, version: str) -> None:
    name = _write_wheel(checkout, version)
    (checkout / "deploy" / "requirements.txt").write_text(f"./{name}\n")


def _build(checkout: Path) -> "subprocess.CompletedProcess[str]":
    command = tomllib.loads((checkout / "deploy" / "system.toml").read_text())["build"]
    env = {**os.environ, "PIP_NO_INDEX": "1"}
    return subprocess.run(
        command, shell=True, cwd=checkout, env=env, capture_output=True, text=True, check=False
    )


def _installed(checkout: Path) -> str:
    text = (checkout / "target" / "deps" / NATIVE).read_text()
    found = re.search(r"'(.*)'", text)
    return "" if found is None else found[1]


def _make_newest(deps: Path) -> None:
    os.utime(deps, (2**31, 2**31))


def test_build_installs_once_and_leaves_what_is_up_to_date(checkout: Path) -> None:
    assert _build(checkout).returncode == 0
    assert _installed(checkout) == "1.0"
    before = (checkout / "target" / "deps").stat().st_ino
    assert _build(checkout).returncode == 0
    assert (checkout / "target" / "deps").stat().st_ino == before


# The users' "didn't start": the build took packages of another kind of machine for its own.
@pytest.mark.parametrize("damage", ["another machine", "broken off", "nothing in it"])
def test_build_replaces_packages_that_the_program_cannot_import(
    checkout: Path, damage: str
) -> None:
    assert _build(checkout).returncode == 0
    deps = checkout / "target" / "deps"
    if damage == "another machine":
        (deps / NATIVE).rename(deps / "native_probe" / "_core.cpython-39-sparc64.so")
    elif damage == "broken off":
        shutil.rmtree(deps / "native_probe")
    else:
        shutil.rmtree(deps)
        deps.mkdir()
    _make_newest(deps)
    assert _build(checkout).returncode == 0
    assert _installed(checkout) == "1.0"


def test_build_follows_a_list_of_packages_that_went_back(checkout: Path) -> None:
    assert _build(checkout).returncode == 0
    _require(checkout, "0.9")
    _make_newest(checkout / "target" / "deps")
    assert _build(checkout).returncode == 0
    assert _installed(checkout) == "0.9"


def test_build_that_cannot_install_fails_and_keeps_what_was_there(checkout: Path) -> None:
    assert _build(checkout).returncode == 0
    (checkout / "deploy" / "requirements.txt").write_text("./missing-1.0-py3-none-any.whl\n")
    os.utime(checkout / "deploy" / "requirements.txt", (2**31, 2**31))
    done = _build(checkout)
    assert done.returncode != 0
    assert done.stderr.strip().splitlines()[-1].startswith("build failed:")
    assert _installed(checkout) == "1.0"


# A start without a package ended with a traceback that named neither the Python nor the machine.
def test_start_that_misses_a_package_says_so_in_one_line(tmp_path: Path) -> None:
    (tmp_path / "msgspec.py").write_text("raise ImportError(\"No module named 'msgspec._core'\")\n")
    env = {**os.environ, "PYTHONPATH": f"{tmp_path}{os.pathsep}{ROOT}"}
    command = [sys.executable, "-m", "filbertstream", "gateway"]
    done = subprocess.run(command, env=env, capture_output=True, text=True, check=False)
    assert done.returncode == 1
    assert re.fullmatch(r"filbertstream: cannot start: .*msgspec.*\n", done.stderr)
