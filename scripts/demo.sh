#!/bin/sh
# Installs fireflyrack into .venv and runs the demo on a local test cluster.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install.sh requirements.txt
exec .venv/bin/python -m fireflyrack.testbed.demo "$@"
