"""Command line of the request simulation under faults.

Run it as `python -m fireflyrack.testbed.request_figures --bookings N --seed S`.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter

from .request_simulation import Simulation
from .simulated_process import Faults


def main(arguments: list[str] | None = None) -> int:
    """Print the outcomes of simulated bookings; return 1 on a violated guarantee."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bookings", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    started_at = time.perf_counter()
    simulation = Simulation(options.seed, options.bookings, Faults())
    report = simulation.run()
    seconds = time.perf_counter() - started_at
    print(f"seed {options.seed}: {report.tickets} tickets, {seconds:.1f} s")
    print(f"faults: {dict(simulation.faults_seen)}")
    print(f"executions: {report.executions}, outcomes: {report.outcomes}")
    print(f"unknown by cause: {report.unknown_causes}")
    print(f"violations: {dict(Counter(v.kind for v in report.violations))}")
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
