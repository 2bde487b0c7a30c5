#!/bin/sh
# Builds the stand-ins of the cases 6 to 9: they are plain Python of the standard
# library, so this only checks that they compile with the interpreter of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").glob("lib-2/*.py")) + sorted(
    path for number in range(6, 10) for path in pathlib.Path(str(number)).glob("*.py")
):
    compile(path.read_text(), str(path), "exec")
    print(path, "ok")
PY
