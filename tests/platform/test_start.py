"""Guard against signals that end a gateway before it can handle them."""

from __future__ import annotations

import subprocess
import sys

# Stops where the imports begin, which take most of the start, and tells what SIGHUP
# would do then.
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


def test_a_reload_during_the_imports_does_not_end_the_process():
    """Guards against a change of the settings that ends a process which starts."""
    probe = subprocess.run(
        [sys.executable, "-c", PROBE], capture_output=True, text=True, timeout=30
    )
    assert (probe.stdout, probe.returncode) == ("alive\n", 0), probe.stderr
