#!/bin/sh
# Creates .venv in this checkout and installs the pinned packages into it.
# Does nothing if requirements and package metadata are unchanged since the last run.
set -eu
cd "$(dirname "$0")/.."
requirements=${1:-requirements.txt}
kind_stamp=.venv/.machine-kind
stamp=.venv/.installed-$(basename "$requirements")
kind=$(sh scripts/machine_kind.sh python3.11)
hash=$(cat constraints.txt requirements*.txt packages/*/pyproject.toml platform/pyproject.toml | sha256sum)
if [ "$(cat "$kind_stamp" 2>/dev/null)" != "$kind" ]; then
    # Compiled packages of another machine or interpreter do not load here.
    python3.11 -m venv --clear .venv
    echo "$kind" > "$kind_stamp"
fi
if [ "$(cat "$stamp" 2>/dev/null)" = "$hash" ]; then
    exit 0
fi
# The build backend is installed once at its pinned version, so the packages build
# without an isolated environment each.
.venv/bin/python -m pip install --quiet -c constraints.txt hatchling editables
.venv/bin/python -m pip install --quiet --no-build-isolation -r "$requirements"
echo "$hash" > "$stamp"
