"""Demo of a whole deployment: configuration, searches, crashes and shutdown."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

import yaml

from fireflyrack.operator.output import coverage_text

from .site import ServiceLayout, Site, SiteLayout

QUERIES = ("open a file for reading", "parse command line options", "event loop timer")
SEARCHES_DURING_SHUTDOWN = 40


def print_line(text: str) -> None:
    """Print a line and flush it, to keep the order with child processes."""
    print(text, flush=True)


async def run_operator_command(site: Site, *arguments: str) -> int:
    """Run the operator's command line in a process; return its exit code."""
    command = [sys.executable, "-m", "fireflyrack.operator.main"]
    for address in site.entry_addresses():
        command += ["--instance", address]
    print_line(f"$ fireflyrack {' '.join(arguments)}")
    process = await asyncio.create_subprocess_exec(*command, *arguments)
    return await process.wait()


async def search(site: Site, name: str, query: str) -> tuple[int, Any]:
    """Search at one entry instance; return the status and the reply."""
    path = f"/v1/services/{site.layout.services[0].name}/search"
    return await site.post(name, path, {"query": query, "k": 3})


async def print_search(site: Site, name: str, query: str) -> bool:
    """Search and print the reply; return whether the status was 200."""
    started_at = time.perf_counter()
    status, answer = await search(site, name, query)
    elapsed_ms = (time.perf_counter() - started_at) * 1000
    if status != 200:
        print_line(f"search at {name}: {query!r}: status {status}: {answer}")
        return False
    print_line(f"search at {name}: {query!r} in {elapsed_ms:.1f} ms")
    for hit in answer["results"]:
        print_line(f"    {hit['score']:8.4f}  {hit['document']}")
    print_line(
        f"    snapshot {answer['snapshot']}, {coverage_text(answer['coverage'])}"
    )
    return True


async def shut_down_under_load(site: Site) -> tuple[int, int]:
    """Stop an entry instance during searches; count the answered and the lost ones."""
    tasks = [
        asyncio.create_task(search(site, "e1", QUERIES[i % len(QUERIES)]))
        for i in range(SEARCHES_DURING_SHUTDOWN)
    ]
    await asyncio.sleep(0.02)
    code = await site.stop("e1", signal.SIGTERM)
    results = await asyncio.gather(*tasks, return_exceptions=True)
    answered = sum(isinstance(r, tuple) and r[0] == 200 for r in results)
    print_line(f"e1 exited with code {code}")
    return answered, len(results) - answered


async def run(layout: SiteLayout) -> int:
    """Run the demo; return the exit code."""
    ok = True
    async with Site(layout) as site:
        for process in site.processes.values():
            print_line(
                f"started {process.name:6} {process.module} on {process.address}"
            )
        folder = Path(site.folder.name)
        intent, plan = folder / "intent.yaml", folder / "plan.json"
        intent.write_text(yaml.safe_dump(site.intent()), encoding="utf-8")
        ok &= (
            await run_operator_command(site, "plan", str(intent), "--save", str(plan))
            == 0
        )
        status, answer = await search(site, "e0", QUERIES[0])
        print_line(f"before the confirmation: status {status}: {json.dumps(answer)}")
        ok &= status == 404
        ok &= await run_operator_command(site, "confirm", str(plan)) == 0
        await site.wait_ready()
        ok &= await run_operator_command(site, "status") == 0
        for number, query in enumerate(QUERIES):
            ok &= await print_search(site, f"e{number % layout.entry_instances}", query)
        print_line("killed b3")
        await site.stop("b3", signal.SIGKILL)
        ok &= await print_search(site, "e0", QUERIES[0])
        print_line("killed b4: shards with replicas only on b3 and b4 are unavailable")
        await site.stop("b4", signal.SIGKILL)
        ok &= await print_search(site, "e0", QUERIES[0])
        answered, lost = await shut_down_under_load(site)
        print_line(
            f"searches in flight during the shutdown: {answered} answered, {lost} lost"
        )
        ok &= lost == 0
    print_line("all processes have stopped")
    return 0 if ok else 1


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--backend-servers", type=int, default=12)
    parser.add_argument("--shards", type=int, default=240)
    options = parser.parse_args()
    service = ServiceLayout(
        backend_servers=options.backend_servers, shards=options.shards
    )
    layout = SiteLayout(services=(service,))
    return asyncio.run(run(layout))


if __name__ == "__main__":
    sys.exit(main())
