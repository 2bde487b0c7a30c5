"""Tests of the install and build scripts with stand-ins of Python, pip and uname.

They guard against installed packages of one kind of machine or interpreter being used
on another kind.
"""

from __future__ import annotations

import os
import shutil
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Packages that the build script copies.
PACKAGES = (
    "core",
    "http_client",
    "telemetry",
    "routing",
    "discovery",
    "availability",
    "links",
    "forwarding",
    "peers",
    "gateway",
)

# Prints the interpreter that a test sets, logs each call of pip, and creates an
# environment that has this interpreter.
PYTHON = """#!/bin/sh
case "$1 $2" in
    "-c "*) echo "$TEST_INTERPRETER" ;;
    "-m venv")
        rm -rf .venv
        mkdir -p .venv/bin
        cp "$0" .venv/bin/python
        echo venv >> calls
        ;;
    "-m pip") echo pip >> calls; mkdir -p target/deps ;;
esac
"""
UNAME = """#!/bin/sh
echo "$TEST_MACHINE"
"""


class Checkout:
    """Copy of the scripts in which Python and uname are stand-ins."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.programs = folder / "programs"
        self.programs.mkdir()
        for name, text in (
            ("python3", PYTHON),
            ("python3.11", PYTHON),
            ("uname", UNAME),
        ):
            program = self.programs / name
            program.write_text(text)
            program.chmod(0o755)
        for name in ("scripts", "deploy", "platform"):
            shutil.copytree(
                ROOT / name,
                folder / name,
                ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
            )
        for name in PACKAGES:
            self.add_package(name)
        for name in ("constraints.txt", "requirements.txt", "requirements-dev.txt"):
            shutil.copy(ROOT / name, folder / name)

    def add_package(self, name: str) -> None:
        """Add a package without modules."""
        sources = self.folder / "packages" / name / "src" / "fireflyrack" / name
        sources.mkdir(parents=True)
        project = self.folder / "packages" / name / "pyproject.toml"
        project.write_text(f'name = "{name}"\n')

    def run(self, script: str, machine: str, interpreter: str) -> list[str]:
        """Run a script on a kind of machine; return the calls of pip and venv."""
        calls = self.folder / "calls"
        calls.unlink(missing_ok=True)
        environment = {
            "PATH": f"{self.programs}:{os.environ['PATH']}",
            "TEST_MACHINE": machine,
            "TEST_INTERPRETER": interpreter,
        }
        subprocess.run(["sh", script], cwd=self.folder, env=environment, check=True)
        return calls.read_text().split() if calls.exists() else []


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    """Return a fresh copy of the scripts."""
    return Checkout(tmp_path)


@pytest.mark.parametrize(
    ("script", "calls"),
    [("scripts/install.sh", ["venv", "pip", "pip"]), ("deploy/build.sh", ["pip"])],
)
def test_packages_are_installed_anew_on_another_kind_of_machine(
    checkout: Checkout, script: str, calls: list[str]
) -> None:
    assert checkout.run(script, "x86_64", "cpython-311") == calls
    assert checkout.run(script, "x86_64", "cpython-311") == []
    assert checkout.run(script, "aarch64", "cpython-311") == calls
    assert checkout.run(script, "aarch64", "cpython-312") == calls
    assert checkout.run(script, "aarch64", "cpython-312") == []


def test_build_removes_libraries_of_another_kind_of_machine(checkout: Checkout) -> None:
    checkout.run("deploy/build.sh", "x86_64", "cpython-311")
    library = checkout.folder / "target/deps/parser.cpython-311-x86_64-linux-gnu.so"
    library.touch()
    checkout.run("deploy/build.sh", "aarch64", "cpython-311")
    assert not library.exists()


def test_changed_constraint_installs_without_new_environment(
    checkout: Checkout,
) -> None:
    checkout.run("scripts/install.sh", "x86_64", "cpython-311")
    with (checkout.folder / "constraints.txt").open("a") as constraints:
        constraints.write("zipp==3.23.0\n")
    calls = checkout.run("scripts/install.sh", "x86_64", "cpython-311")
    assert calls == ["pip", "pip"]
