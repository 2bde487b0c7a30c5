"""Goodput of one backend server at 0.5, 1, 2 and 3 times its capacity.

`python packages/admission/benches/goodput.py [variant ...]` measures the capacity with
a closed loop, then sends Poisson arrivals (open loop) with a fixed seed. Variants
alternate over the rounds; medians are printed. A variant is a list of admission
settings such as `order=newest,deadline_share=0.9`.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from fireflyrack.admission import AdmissionSettings, OwnedServers, SearchWork
from fireflyrack.core import Failed, Ok, ShardSet
from fireflyrack.testbed.backend_process import BackendProcess

SEED = 20261204
SLOTS = 2
COORDINATORS = 4
DEADLINE_S = 0.3
DURATION_S = 4.0
CLOSED_LOOP_CALLERS = 64
REFUSED_PAUSE_S = 0.01
SERVICE = {"service_time_s": 0.01, "service_time_sigma": 0.5, "seed": 1}
LOADS = (0.5, 1.0, 2.0, 3.0)


@dataclass(slots=True)
class LoadResult:
    """Outcomes and latencies of one measurement."""

    seconds: float
    sent: int = 0
    in_time: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)

    def goodput(self) -> float:
        """Return the answers within the deadline per second."""
        return self.in_time / self.seconds

    def percentile_ms(self, share: float) -> float:
        """Return the latency of answers in ms at a share between 0 and 1."""
        ordered = sorted(self.latencies) or [0.0]
        return 1000 * ordered[int(share * (len(ordered) - 1))]


async def search(
    servers: OwnedServers, result: LoadResult, name: str, number: int
) -> bool:
    """Send one sub-request, count its outcome and return whether it was answered."""
    loop = asyncio.get_running_loop()
    arrived_at = loop.time()
    work = SearchWork(
        id=name,
        service="docs",
        snapshot="1.1",
        shards=ShardSet.span(0, 10),
        text="name",
        limit=3,
        deadline_at=arrived_at + DEADLINE_S,
        coordinator=f"e{number % COORDINATORS}",
    )
    result.sent += 1
    outcome = await servers.submit("b0", work)
    elapsed_s = loop.time() - arrived_at
    match outcome:
        case Ok():
            result.outcomes["answered"] += 1
            result.latencies.append(elapsed_s)
            result.in_time += elapsed_s <= DEADLINE_S
        case Failed(error):
            reason = getattr(error, "reason", None)
            result.outcomes[reason.value if reason else error.detail] += 1
    return isinstance(outcome, Ok)


async def closed_loop(servers: OwnedServers, label: str) -> LoadResult:
    """Keep a fixed number of sub-requests outstanding."""
    loop = asyncio.get_running_loop()
    result = LoadResult(DURATION_S)
    end_at = loop.time() + DURATION_S

    async def caller(number: int) -> None:
        count = 0
        while loop.time() < end_at:
            count += 1
            name = f"{label}-{number}-{count}"
            if not await search(servers, result, name, number):
                # A refusal returns at once, so without a pause this loop would spin.
                await asyncio.sleep(REFUSED_PAUSE_S)

    async with asyncio.TaskGroup() as group:
        for number in range(CLOSED_LOOP_CALLERS):
            group.create_task(caller(number))
    return result


async def open_loop(servers: OwnedServers, label: str, rate: float) -> LoadResult:
    """Send Poisson arrivals at a rate per second, independent of the answers."""
    loop = asyncio.get_running_loop()
    rng = random.Random(SEED)
    result = LoadResult(DURATION_S)
    started_at = loop.time()
    at = number = 0
    async with asyncio.TaskGroup() as group:
        while (at := at + rng.expovariate(rate)) < DURATION_S:
            if (wait_s := started_at + at - loop.time()) > 0:
                await asyncio.sleep(wait_s)
            number += 1
            group.create_task(search(servers, result, f"{label}-{number}", number))
    return result


async def new_owner(
    variant: str, backend: BackendProcess, slots: int = SLOTS
) -> OwnedServers:
    """Return an owner of the backend server with the settings of a variant."""
    changes = dict(part.split("=") for part in variant.split(",") if part)
    servers = OwnedServers(AdmissionSettings(**changes), lambda: True)
    await servers.own((backend.server(slots=slots),))
    return servers


async def main() -> None:
    """Measure the variants and print the medians for each variant and load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("variants", nargs="*", default=["order=oldest", "order=newest"])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--true-slots",
        type=int,
        default=SLOTS,
        help="slots of the backend server; the owner is configured with %(default)s",
    )
    options = parser.parse_args()
    runs: dict[tuple[str, float], list[LoadResult]] = {}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "backend.yaml"
        backend = BackendProcess(
            path, slots=options.true_slots, max_waiting=0, **SERVICE
        )
        await backend.start()
        try:
            servers = await new_owner("", backend, options.true_slots)
            capacity = (await closed_loop(servers, "closed")).goodput()
            await servers.close()
            print(f"capacity {capacity:.0f}/s (closed loop, {CLOSED_LOOP_CALLERS})")
            for round_number in range(options.rounds):
                for load in LOADS:
                    for variant in options.variants:
                        servers = await new_owner(variant, backend)
                        label = f"{round_number}-{load}-{variant}"
                        result = await open_loop(servers, label, load * capacity)
                        await servers.close()
                        runs.setdefault((variant, load), []).append(result)
            records = await backend.records()
        finally:
            await backend.stop()
    print_medians(runs)
    print({key: records[key] for key in ("over_limit", "sheds", "peak_connections")})


def print_medians(runs: dict[tuple[str, float], list[LoadResult]]) -> None:
    """Print one line for each variant and load."""
    for (variant, load), results in sorted(runs.items()):
        goodput = statistics.median(result.goodput() for result in results)
        p50 = statistics.median(result.percentile_ms(0.5) for result in results)
        p99 = statistics.median(result.percentile_ms(0.99) for result in results)
        sent = sum(result.sent for result in results)
        outcomes = sum((result.outcomes for result in results), Counter())
        print(
            f"{variant:30} load {load:.1f} goodput {goodput:6.1f}/s"
            f" p50 {p50:5.1f} ms p99 {p99:5.1f} ms sent {sent} {dict(outcomes)}"
        )


if __name__ == "__main__":
    asyncio.run(main())
