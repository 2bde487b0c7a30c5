"""Guard against signals that end a gateway before it installs its handlers."""

from __future__ import annotations

import subprocess
import sys

# Sends SIGHUP when the imports begin, which take most of the start-up time, and
# reports whether the process survives.
PROBE = """
import importlib.abc, os, runpy, signal, sys

class Probe(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "fireflyrack.platform.main":
            os.kill(os.getpid(), signal.SIGHUP)
            print("alive", flush=True)
            raise SystemExit(0)

sys.meta_path.insert(0, Probe())
runpy.run_module("fireflyrack.platform", run_name="__main__")
"""


def test_sighup_during_imports_does_not_end_the_process():
    """Guards against a settings reload that ends a starting process."""
    probe = subprocess.run(
        [sys.executable, "-c", PROBE], capture_output=True, text=True, timeout=30
    )
    assert (probe.stdout, probe.returncode) == ("alive\n", 0), probe.stderr
