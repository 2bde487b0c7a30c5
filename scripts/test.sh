#!/bin/sh
# Installs fireflyrack and its test dependencies into .venv and runs the tests.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install.sh requirements-dev.txt
exec .venv/bin/python -m pytest "$@"
