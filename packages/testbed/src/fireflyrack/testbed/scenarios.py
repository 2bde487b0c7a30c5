"""Benchmark that alternates between fireflyrack and a naive baseline under faults."""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import random
import statistics
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .caller import Caller
from .corpus import read_corpus
from .faults import (
    BackendCrash,
    EntryCrash,
    FalseStatusReport,
    Fault,
    NoFault,
    RollingRestart,
    Straggler,
    inject,
    revert,
)
from .index import CollectionStatistics
from .load import LoadGenerator, LoadPlan, LoadResult, Request
from .plots import LatencyCurve, plot_percentiles
from .ports import free_address
from .site import ServiceLayout, Site, SiteLayout
from .sites import MODULES, bucharest, ljubljana

VARIANTS = ("naive", "fireflyrack")
SITES = {"ljubljana": ljubljana, "bucharest": bucharest}
# Fraction of a run before the fault is injected.
FAULT_START_FRACTION = 0.2
CALLERS = 8
CALLER_TIMEOUT_S = 10.0
# Load relative to the capacity of a service, except in the overload scenarios.
BASE_LOAD = 0.4
# Time to recover from a reverted fault before the next run.
SETTLE_S = 3.0
COUNTERS = ("sub_requests", "busy_s", "sheds", "over_limit", "refused_connections")


@dataclass(frozen=True, slots=True)
class Scenario:
    """Fault, and load relative to the capacity of the first service."""

    name: str
    fault: Fault
    load: float = BASE_LOAD


def scenarios_for(layout: SiteLayout) -> tuple[Scenario, ...]:
    """Return the scenarios; their faults affect the first service."""
    servers = layout.names(layout.services[0])
    return (
        Scenario("no fault", NoFault()),
        Scenario("straggler", Straggler(servers[0])),
        Scenario("backend lost", BackendCrash(servers[0])),
        Scenario("rolling restart", RollingRestart(tuple(servers))),
        Scenario("lying report", FalseStatusReport(servers[0])),
        Scenario("1 x capacity", NoFault(), load=1.0),
        Scenario("1.5 x capacity", NoFault(), load=1.5),
        Scenario("3 x capacity", NoFault(), load=3.0),
        Scenario("entry lost", EntryCrash("e3")),
    )


def capacity_per_s(service: ServiceLayout) -> float:
    """Return the searches per second that the slots of a service can run.

    A search covers each shard once, so it takes the slot time of all shards. The time
    of a sub-request is log-normal around its median.
    """
    sigma = service.backend.get("service_time_sigma", 0.0)
    mean_s = service.service_time_s * math.exp(sigma**2 / 2)
    shards_per_server = service.shards * service.replicas / service.backend_servers
    slot_s = mean_s * service.shards / shards_per_server
    return service.backend_servers * service.slots / slot_s


def search_services(layout: SiteLayout) -> list[ServiceLayout]:
    """Return the services that receive searches."""
    return [s for s in layout.services if not s.name.startswith(("desk", "stock"))]


def request_factory(
    layout: SiteLayout, scenario: Scenario, words: list[str]
) -> tuple[float, Request]:
    """Return the request rate per second and the request factory of a scenario."""
    services = search_services(layout)
    rates = [BASE_LOAD * capacity_per_s(service) for service in services]
    rates[0] = scenario.load * capacity_per_s(services[0])

    def create_request(rng: random.Random) -> tuple[str, Any]:
        (service,) = rng.choices(services, rates)
        query = " ".join(rng.sample(words, rng.randint(1, 3)))
        return f"/v1/services/{service.name}/search", {"query": query}

    return sum(rates), create_request


@dataclass(frozen=True, slots=True)
class ScenarioRun:
    """Measurements of one variant in one round of a scenario."""

    variant: str
    scenario: Scenario
    result: LoadResult
    counters: dict[str, float]

    def summary(self) -> dict[str, Any]:
        """Return the measured values for the report."""
        arrivals = self.result.outcomes.total()
        extra = self.result.decisions["hedges"] + self.result.decisions["retries"]
        initial = self.result.decisions["sub_requests"] - extra
        return {
            "scenario": self.scenario.name,
            "variant": self.variant,
            **self.result.summary(),
            "extra_share": round(extra / initial, 5) if initial > 0 else None,
            "sub_requests_per_search": round(
                self.counters["sub_requests"] / arrivals, 3
            ),
            "busy_ms_per_search": round(1000 * self.counters["busy_s"] / arrivals, 2),
            "sheds": int(self.counters["sheds"]),
            "over_limit": int(self.counters["over_limit"]),
            "refused_connections": int(self.counters["refused_connections"]),
        }


class Benchmark:
    """Benchmark of both variants on one running deployment."""

    def __init__(self, site: Site, seed: int, seconds: float) -> None:
        self.site = site
        self.seed = seed
        self.seconds = seconds
        corpus = read_corpus(MODULES)
        collection_statistics = CollectionStatistics.from_documents(corpus.documents)
        self.words = sorted(collection_statistics.document_frequency)
        self.naive: tuple[str, ...] = ()

    async def start_naive(self) -> None:
        """Start one process of the naive baseline per entry instance."""
        layout = self.site.layout
        services = [self.site.intent(s)["declaration"] for s in layout.services]
        names = [f"n{number}" for number in range(layout.entry_instances)]
        for name in names:
            settings = {"id": name, "services": services}
            self.site.add(name, "naive", free_address(), settings)
            await self.site.start(name)
        self.naive = tuple(self.site.processes[name].address for name in names)

    def seed_addresses(self, variant: str) -> tuple[str, ...]:
        """Return the addresses of the processes of a variant."""
        return self.naive if variant == "naive" else self.site.entry_addresses()

    async def run(
        self, variant: str, scenario: Scenario, round_number: int
    ) -> ScenarioRun:
        """Measure one variant in one round of a scenario."""
        rate, create_request = request_factory(self.site.layout, scenario, self.words)
        plan = LoadPlan(self.seed + round_number, rate, self.seconds)
        callers = self.callers(variant)
        for caller in callers:
            await caller.open()
        before = await self.read_counters()
        try:
            generator = LoadGenerator(plan, callers, create_request)
            result = await generator.run(self.inject_after_delay(scenario.fault))
        finally:
            for caller in callers:
                await caller.close()
        after = await self.read_counters()
        await revert(scenario.fault, self.site)
        await asyncio.sleep(SETTLE_S)
        counters = {name: after[name] - before[name] for name in COUNTERS}
        return ScenarioRun(variant, scenario, result, counters)

    def callers(self, variant: str) -> tuple[Caller, ...]:
        """Return callers that start at different instances and failure domains."""
        seed_addresses = self.seed_addresses(variant)
        layout = self.site.layout
        return tuple(
            Caller(
                f"caller-{number}",
                (seed_addresses[number % len(seed_addresses)], *seed_addresses),
                layout.domain(number),
                CALLER_TIMEOUT_S,
            )
            for number in range(CALLERS)
        )

    async def inject_after_delay(self, fault: Fault) -> None:
        """Inject a fault after FAULT_START_FRACTION of the run."""
        await asyncio.sleep(self.seconds * FAULT_START_FRACTION)
        await inject(fault, self.site)

    async def read_counters(self) -> dict[str, float]:
        """Return the sums of the counters of all running backend servers."""
        totals = dict.fromkeys(COUNTERS, 0.0)
        for name, entry in self.site.processes.items():
            running = entry.process and entry.process.returncode is None
            if name[0] == "b" and running:
                observed = await self.site.get(name, "/control")
                for counter in COUNTERS:
                    totals[counter] += observed.get(counter, 0)
        return totals


async def measure(options: argparse.Namespace) -> list[ScenarioRun]:
    """Run the selected scenarios, alternating between the variants."""
    layout = SITES[options.site](options.services, 0)
    runs = []
    async with Site(layout) as site:
        await site.declare()
        await site.wait_ready()
        benchmark = Benchmark(site, options.seed, options.seconds)
        await benchmark.start_naive()
        for scenario in scenarios_for(layout):
            if options.only and scenario.name not in options.only:
                continue
            for round_number in range(options.rounds):
                for variant in VARIANTS:
                    run = await benchmark.run(variant, scenario, round_number)
                    runs.append(run)
                    print_run(run, options.seconds)
    return runs


def print_run(run: ScenarioRun, seconds: float) -> None:
    """Print the measurements of a run on one line."""
    result, summary = run.result, run.summary()
    columns = [
        f"{run.scenario.name:16} {run.variant:12}",
        f"{result.outcomes.total() / seconds:6.0f}/s",
        *(f"p{p:g} {result.percentile_ms(p):8.1f} ms" for p in (50, 99, 99.9)),
        f"coverage {result.coverage():.4%}",
        f"complete {result.outcomes['complete'] / seconds:6.1f}/s",
        f"sub-requests {summary['sub_requests_per_search']:.2f}",
        f"busy {summary['busy_ms_per_search']:6.1f} ms",
        f"extra {summary['extra_share']}",
        f"over limit {summary['over_limit']}",
        f"lacking {summary['lacking']}",
    ]
    print("  ".join(columns), flush=True)


def medians(
    runs: Iterable[ScenarioRun], scenario: str, variant: str
) -> dict[str, float]:
    """Return the medians over the rounds of a scenario and variant."""
    matching = [r for r in runs if (r.scenario.name, r.variant) == (scenario, variant)]
    return {
        "p50_ms": statistics.median(r.result.percentile_ms(50) for r in matching),
        "p99_ms": statistics.median(r.result.percentile_ms(99) for r in matching),
        "coverage": statistics.median(r.result.coverage() for r in matching),
    }


def write_report(runs: list[ScenarioRun], options: argparse.Namespace) -> None:
    """Write the measurements as JSON and the latency percentiles as a plot."""
    folder = Path(options.out)
    folder.mkdir(parents=True, exist_ok=True)
    names = dict.fromkeys(run.scenario.name for run in runs)
    report = {
        "site": options.site,
        "seed": options.seed,
        "seconds": options.seconds,
        "runs": [run.summary() for run in runs],
        "medians": {
            name: {variant: medians(runs, name, variant) for variant in VARIANTS}
            for name in names
        },
    }
    text = json.dumps(report, indent=1)
    (folder / f"{options.site}.json").write_text(text, encoding="utf-8")
    curves = (
        LatencyCurve(run.scenario.name, run.variant, run.result.percentile_ms)
        for run in runs
    )
    plot_percentiles(curves, folder / f"{options.site}.png")


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="scenarios", description=__doc__)
    parser.add_argument("--site", choices=sorted(SITES), default="ljubljana")
    parser.add_argument(
        "--services", type=int, default=10, help="number of search services"
    )
    parser.add_argument("--seconds", type=float, default=15.0, help="duration of a run")
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--only", action="append", help="run only this scenario; repeatable"
    )
    parser.add_argument("--out", default="build/scenarios", help="output directory")
    options = parser.parse_args()
    runs = asyncio.run(measure(options))
    write_report(runs, options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
