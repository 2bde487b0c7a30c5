"""Soak test for manual runs: `python tests/soak/soak.py --seeds 1-50 --seconds 20`."""

from __future__ import annotations

import argparse
import asyncio
import secrets
import sys
import tempfile
from pathlib import Path

import conftest  # noqa: F401
from checks import violations
from plan import make_plan
from soak_cluster import SoakCluster


async def soak(
    seed: int, duration_s: float, folder: Path, extended: bool = True
) -> list[str]:
    """Run the plan of a seed; return all violations of the guarantees."""
    plan = make_plan(seed, duration_s, extended)
    async with SoakCluster(folder, plan) as soak_cluster:
        records = await soak_cluster.run()
    counts = f"{len(records.results)} requests, {len(records.runs)} runs"
    served = sum(result.status == 200 for result in records.results)
    print(f"seed {seed}: {counts}, {served} served", flush=True)
    return violations(records)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a range, or a number of random ones for `fresh:COUNT`."""
    if text.startswith("fresh:"):
        number = int(text.removeprefix("fresh:"))
        return [secrets.randbelow(10**6) for _ in range(number)]
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def main() -> int:
    """Run the seeds of the command line in turn; return the exit code."""
    parser = argparse.ArgumentParser(
        description="Run the soak test with fault injection."
    )
    parser.add_argument("--seeds", default="fresh:5", help="A-B, A, or fresh:COUNT")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="seconds of faults per seed"
    )
    parser.add_argument("--keep", type=Path, help="folder for the logs")
    options = parser.parse_args()
    failed = []
    for seed in parse_seeds(options.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.keep))
        found = await soak(seed, options.seconds, folder)
        for violation in found[:10]:
            print(f"seed {seed}: {violation}", flush=True)
        if found:
            failed.append(seed)
            print(f"seed {seed}: {len(found)} violations, logs in {folder}", flush=True)
    print(f"failed seeds: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
