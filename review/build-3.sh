#!/bin/sh
# Compiles the stand-ins of the cases 11 to 15. They need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib-3/*.py
