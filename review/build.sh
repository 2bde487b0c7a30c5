#!/bin/sh
# Checks the stand-ins of the cases. They are Python sources of the standard library
# only and use none of the project's own stand-ins, so nothing has to be built.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py [1-5]/case.py <<'END'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
END
