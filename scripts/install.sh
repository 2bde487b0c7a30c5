#!/bin/sh
# Creates .venv in this checkout and installs the pinned packages into it.
# Does nothing if requirements and package metadata are unchanged since the last run.
set -eu
cd "$(dirname "$0")/.."
requirements=${1:-requirements.txt}
stamp=.venv/.installed-$(basename "$requirements")
hash=$(cat constraints.txt requirements*.txt packages/*/pyproject.toml | sha256sum)
if [ -x .venv/bin/python ] && [ "$(cat "$stamp" 2>/dev/null)" = "$hash" ]; then
    exit 0
fi
[ -x .venv/bin/python ] || python3.11 -m venv .venv
# The build backend is installed once at its pinned version, so the packages build
# without an isolated environment each.
.venv/bin/python -m pip install --quiet -c constraints.txt hatchling editables
.venv/bin/python -m pip install --quiet --no-build-isolation -r "$requirements"
echo "$hash" > "$stamp"
