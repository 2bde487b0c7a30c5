"""Measure how soon each entry instance of a starting site gives complete answers.

Run `python -m fireflyrack.testbed.start_bench --starts 10`. Each instance is searched
from its first moment on.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from dataclasses import dataclass

import aiohttp

from .site import ServiceLayout, Site, SiteLayout

LAYOUT = SiteLayout(services=(ServiceLayout(backend_servers=6, shards=60),))
SEARCH_INTERVAL_S = 0.02
MEMBERS_INTERVAL_S = 0.1
# From the moment at which the services are declared.
GIVE_UP_S = 40.0


@dataclass(frozen=True, slots=True)
class Start:
    """Result of one start, in seconds since the services were declared."""

    # When the last instance listed all others.
    joined_s: float
    # When the last instance answered completely.
    complete_s: float
    last: str
    answer: str

    @property
    def delay_s(self) -> float:
        """Return the time from the last join to complete answers."""
        return self.complete_s - self.joined_s


class SearchedSite(Site):
    """Site whose entry instances are searched from their start on."""

    def __init__(self) -> None:
        super().__init__(LAYOUT)
        self.searches: dict[str, asyncio.Task[float]] = {}

    async def start(self, name: str) -> None:
        """Start a process, and the searches at an entry instance."""
        if name[0] == "e":
            self.searches[name] = asyncio.create_task(self.wait_complete(name))
        await super().start(name)

    async def wait_complete(self, name: str) -> float:
        """Return when an instance answers a search completely."""
        path = f"/v1/services/{LAYOUT.services[0].name}/search"
        while True:
            try:
                if await self.searches_all(name, path):
                    return time.monotonic()
            except aiohttp.ClientError:
                # The process does not accept connections yet.
                pass
            await asyncio.sleep(SEARCH_INTERVAL_S)

    async def wait_joined(self) -> float:
        """Return when each instance lists all others."""
        while True:
            statuses = [await self.get(name, "/v1/status") for name in self.searches]
            if all(len(s["members"]) == len(statuses) for s in statuses):
                return time.monotonic()
            await asyncio.sleep(MEMBERS_INTERVAL_S)


async def measure_start() -> Start:
    """Start a site and wait until all its instances give complete answers."""
    async with SearchedSite() as site:
        await site.declare()
        declared_at = time.monotonic()
        joined = asyncio.create_task(site.wait_joined())
        tasks = (joined, *site.searches.values())
        await asyncio.wait(tasks, timeout=GIVE_UP_S)
        gave_up_at = time.monotonic()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        ends = {
            name: gave_up_at if task.cancelled() else task.result()
            for name, task in site.searches.items()
        }
        joined_at = gave_up_at if joined.cancelled() else joined.result()
        last = max(ends, key=ends.__getitem__)
        return Start(
            joined_at - declared_at,
            ends[last] - declared_at,
            last,
            site.last_answers.get(last, ""),
        )


async def measure_starts(count: int, at_once: int) -> list[Start]:
    """Measure starts, a number of them at once; print each as it ends."""
    limit = asyncio.Semaphore(at_once)

    async def measure() -> Start:
        async with limit:
            start = await measure_start()
        print(
            f"joined {start.joined_s:.2f} s, complete {start.complete_s:.2f} s, "
            f"last {start.last}",
            flush=True,
        )
        return start

    return await asyncio.gather(*(measure() for _ in range(count)))


def main() -> int:
    """Run the benchmark; return 1 if a start was later than the limit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=10)
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument(
        "--limit", type=float, default=5.0, help="seconds from the last join"
    )
    options = parser.parse_args()
    starts = asyncio.run(measure_starts(options.starts, options.at_once))
    delays = sorted(start.delay_s for start in starts)
    late = [start for start in starts if start.delay_s > options.limit]
    print(
        f"{len(starts)} starts: median {delays[len(delays) // 2]:.2f} s, "
        f"longest {delays[-1]:.2f} s after the last join, "
        f"{len(late)} above {options.limit} s"
    )
    for start in late:
        print(f"late: {start}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
