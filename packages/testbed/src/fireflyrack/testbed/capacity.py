"""Linear models of CPU time and memory over size, fitted to measurements.

Run `python -m fireflyrack.testbed.capacity --out docs/capacity`. Each fit uses at
least four sizes, which alternate over several rounds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import numpy

from fireflyrack.admission import (
    AdmissionSettings,
    RepliesModel,
    ReplyModel,
    SearchBatchModel,
    SearchWork,
    SearchWorkModel,
    SubRequestModel,
    TargetModel,
)
from fireflyrack.admission.events import BatchEnded, StartBatch, WorkSubmitted
from fireflyrack.admission.queues import QueueState, decide as decide_queue
from fireflyrack.configuration import Partition, Placement
from fireflyrack.core import ShardSet
from fireflyrack.links import LinkPool, LinkServer, LinkSettings
from fireflyrack.membership import (
    Member,
    Roster,
    RosterEntry,
    RosterModel,
    choose_voters,
    roster_model,
)
from fireflyrack.search import (
    Candidate,
    FanoutState,
    Finish,
    Hit,
    Query,
    QueryStarted,
    ReplyArrived,
    Report,
    ReportTable,
    ServiceState,
    ServingState,
    Snapshot,
    best_hits,
    decide as decide_fanout,
)

from .fits import LinearFit
from .plots import plot_fits
from .ports import free_address

SNAPSHOT = Snapshot(1, 1)
REPLICAS = 2
HITS = 10
ROUNDS = 7
REQUEST_TIMEOUT_S = 30.0


def fit_costs(name: str, unit: str, costs: dict[int, list[float]]) -> LinearFit:
    """Return the weighted least-squares fit of the medians."""
    sizes = tuple(costs)
    medians = tuple(statistics.median(costs[size]) for size in sizes)
    # Weights for relative errors, since the largest size would dominate the fit.
    weights = [1 / max(abs(m), 1e-12) for m in medians]
    per_unit, fixed = numpy.polyfit(sizes, medians, 1, w=weights)
    deviations = (
        abs(fixed + per_unit * size - median) / median
        for size, median in zip(sizes, medians, strict=True)
    )
    return LinearFit(
        name, unit, sizes, medians, float(fixed), float(per_unit), max(deviations)
    )


def measure(
    name: str, unit: str, sizes: tuple[int, ...], cost: Callable[[int], float]
) -> LinearFit:
    """Measure a cost, alternating between the sizes in each round."""
    costs: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(ROUNDS):
        for size in sizes:
            costs[size].append(cost(size))
    return fit_costs(name, unit, costs)


async def measure_async(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    cost: Callable[[int], Awaitable[float]],
) -> LinearFit:
    """Measure an asynchronous cost, alternating between the sizes in each round."""
    costs: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(ROUNDS):
        for size in sizes:
            costs[size].append(await cost(size))
    return fit_costs(name, unit, costs)


def cpu_us(call: Callable[[], Any], repeat: int) -> float:
    """Return the mean CPU time of a call in microseconds."""
    started_at = time.process_time()
    for _ in range(repeat):
        call()
    return (time.process_time() - started_at) / repeat * 1e6


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the memory in bytes of the object that `build` creates."""
    tracemalloc.start()
    built = build()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(used)


def partition_of(servers: int, shards_each: int = 4) -> Partition:
    """Return a partition with REPLICAS backend servers for each group of shards."""
    placement = tuple(
        Placement(
            ShardSet.span(n * shards_each, (n + 1) * shards_each),
            tuple(f"b{(n + r) % servers}" for r in range(REPLICAS)),
        )
        for n in range(servers)
    )
    return Partition(1, servers * shards_each, placement)


def candidates_of(partition: Partition) -> tuple[Candidate, ...]:
    """Return the backend servers of a partition as fan-out candidates."""
    held: dict[str, ShardSet] = {}
    for placement in partition.placement:
        for name in placement.replicas:
            held[name] = held.get(name, ShardSet()) | placement.shards
    return tuple(Candidate(name, shards) for name, shards in held.items())


def start_search(partition: Partition) -> tuple[FanoutState, list[Any]]:
    """Start a search; return its state and its first actions."""
    query = Query("q" * 32, "docs", "text", HITS, SNAPSHOT, partition, 1.0)
    state = FanoutState(
        query, candidates_of(partition), random.Random(1), ServiceState()
    )
    return state, list(decide_fanout(QueryStarted(0.0), state).actions)


def search_decisions_us(servers: int) -> float:
    """Return the CPU time of all decisions of one search in microseconds."""
    partition = partition_of(servers)

    def search() -> None:
        state, actions = start_search(partition)
        while actions:
            action = actions.pop(0)
            for sub_request in getattr(action, "sub_requests", ()):
                shard = next(iter(sub_request.shards))
                hits = tuple(Hit(f"d{n}", float(n), shard) for n in range(HITS))
                event = ReplyArrived(
                    0.01, sub_request.id, SNAPSHOT, sub_request.shards, hits
                )
                actions.extend(decide_fanout(event, state).actions)
            if isinstance(action, Finish):
                return

    return cpu_us(search, max(1, 400 // servers))


def merge_us(hits: int) -> float:
    """Return the CPU time of one merge of hits in microseconds."""
    rng = random.Random(1)
    found = [Hit(f"d{n}", rng.random(), n) for n in range(hits)]
    return cpu_us(lambda: best_hits(found, HITS), max(1, 20_000 // hits))


def work_message(targets: int) -> bytes:
    """Return the encoded sub-requests of a search to one owner."""
    model = SearchWorkModel(
        service="docs",
        snapshot="1.1",
        query="some words",
        k=HITS,
        deadline_ms=300,
        targets=tuple(
            TargetModel(id=f"{'q' * 32}/{n}", backend_server=f"b{n}", shards="0-3")
            for n in range(targets)
        ),
    )
    return model.model_dump_json().encode()


def work_codec_us(targets: int) -> float:
    """Return the CPU time of encoding and decoding one message of sub-requests."""

    def encode_and_decode() -> None:
        SearchWorkModel.model_validate_json(work_message(targets))

    return cpu_us(encode_and_decode, max(1, 2000 // targets))


def replies_codec_us(replies: int) -> float:
    """Return the CPU time of encoding and decoding replies with HITS hits each."""
    reply = {
        "id": "q" * 34,
        "snapshot": "1.1",
        "searched": "0-3",
        "hits": tuple((f"document-{n}", 1.0, n) for n in range(HITS)),
    }

    def encode_and_decode() -> None:
        models = tuple(ReplyModel(**reply) for _ in range(replies))
        body = RepliesModel(replies=models).model_dump_json()
        RepliesModel.model_validate_json(body)

    return cpu_us(encode_and_decode, max(1, 2000 // replies))


def batch_codec_us(sub_requests: int) -> float:
    """Return the CPU time of encoding one batch to a backend server."""

    def encode() -> None:
        models = tuple(
            SubRequestModel(
                id=f"{'q' * 32}/{n}",
                service="docs",
                snapshot="1.1",
                shards="0-3",
                query="some words",
                k=HITS,
                deadline_ms=300,
            )
            for n in range(sub_requests)
        )
        SearchBatchModel(sub_requests=models).model_dump_json()

    return cpu_us(encode, max(1, 2000 // sub_requests))


def queue_us(waiting: int) -> float:
    """Return the CPU time of queueing sub-requests and starting their batches."""

    def run() -> None:
        state = QueueState(2, AdmissionSettings())
        batches: list[int] = []
        for number in range(waiting):
            work = SearchWork(
                id=f"w{number}",
                service="docs",
                snapshot="1.1",
                shards=ShardSet(15),
                text="some words",
                limit=HITS,
                deadline_at=100.0,
            )
            collect_batches(
                batches, decide_queue(WorkSubmitted(0.0, work), state).actions
            )
        at = 0.0
        while batches:
            at += 0.01
            event = BatchEnded(at, batches.pop(0))
            collect_batches(batches, decide_queue(event, state).actions)

    def collect_batches(batches: list[int], actions: tuple[Any, ...]) -> None:
        batches.extend(a.batch for a in actions if isinstance(a, StartBatch))

    return cpu_us(run, max(1, 500 // waiting))


async def link_us(messages: int) -> float:
    """Return the CPU time at both ends of small requests that share frames."""
    server = LinkServer(LinkSettings(), "server")

    async def echo(message: Any, respond: Any) -> bytes:
        return message.body

    server.register("echo", echo)
    address = free_address()
    await server.start(address)
    pool = LinkPool(LinkSettings(), "client")
    await pool.request(address, "echo", b"x", REQUEST_TIMEOUT_S)
    repeat = max(1, 600 // messages)
    started_at = time.process_time()
    for _ in range(repeat):
        requests = (
            pool.request(address, "echo", b"x" * 100, REQUEST_TIMEOUT_S)
            for _ in range(messages)
        )
        await asyncio.gather(*requests)
    used = (time.process_time() - started_at) / repeat * 1e6
    await pool.close()
    await server.close()
    return used


async def link_bytes(links: int) -> float:
    """Return the memory in bytes of open links, both ends included."""
    server = LinkServer(LinkSettings(), "server")

    async def echo(message: Any, respond: Any) -> bytes:
        return message.body

    server.register("echo", echo)
    address = free_address()
    await server.start(address)
    tracemalloc.start()
    pools = [LinkPool(LinkSettings(), f"client-{n}") for n in range(links)]
    for pool in pools:
        await pool.request(address, "echo", b"x", REQUEST_TIMEOUT_S)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for pool in pools:
        await pool.close()
    await server.close()
    return float(used)


def report_table_bytes(servers: int) -> float:
    """Return the memory in bytes of the reports of backend servers."""

    def build() -> ReportTable:
        table = ReportTable()
        for n in range(servers):
            held = {SNAPSHOT: ShardSet.span(4 * n, 4 * n + 8)}
            table.put(Report(f"b{n}", ServingState.SERVING, held))
        return table

    return memory_bytes(build)


def roster_bytes(members: int) -> float:
    """Return the memory in bytes of a decoded roster."""
    entries: dict[str, RosterEntry] = {}
    for n in range(members):
        name = f"e{n}"
        address = f"10.0.{n // 250}.{n % 250}"
        member = Member(name, f"{n:016x}", "d0", f"{address}:80", f"{address}:81")
        entries[name] = RosterEntry(member, 1, 1, 1, {})
    roster = Roster(1, entries)
    for name in entries:
        voters = choose_voters(roster, name, 1)
        entries[name] = RosterEntry(entries[name].member, 1, 1, 1, voters)
    body = roster_model(roster).model_dump_json()
    return memory_bytes(lambda: RosterModel.model_validate_json(body).to_roster())


def searches_bytes(servers: int) -> float:
    """Return the memory in bytes of one active search, without its partition."""
    partition = partition_of(servers)
    return memory_bytes(lambda: start_search(partition))


def shards_bytes(shards: int) -> float:
    """Return the memory in bytes of a partition with one placement per 4 shards."""
    return memory_bytes(lambda: partition_of(shards // 4))


async def measure_all() -> list[LinearFit]:
    """Measure and fit all costs."""
    fanout = (10, 50, 200, 1200)
    batch = (1, 10, 50, 200)
    links = (4, 8, 16, 32)
    servers = (50, 400, 1200, 4300)
    return [
        measure("decisions of a search", "us/sub-request", fanout, search_decisions_us),
        measure("merge", "us/hit", (100, 1000, 4000, 12000), merge_us),
        measure("sub-requests to an owner", "us/sub-request", batch, work_codec_us),
        measure("replies of an owner", "us/reply", batch, replies_codec_us),
        measure("batch to a backend server", "us/sub-request", batch, batch_codec_us),
        measure("owner's queue", "us/sub-request", batch, queue_us),
        await measure_async("link, both ends", "us/message", batch, link_us),
        await measure_async("open link, both ends", "B/link", links, link_bytes),
        measure("known backend server", "B", servers, report_table_bytes),
        measure("member of the roster", "B", (4, 50, 200, 830), roster_bytes),
        measure("search in flight", "B/backend server", fanout, searches_bytes),
        measure("placement", "B/shard", (40, 240, 1200, 4800), shards_bytes),
    ]


def markdown_table(fits: list[LinearFit]) -> str:
    """Return the fits as a Markdown table."""
    lines = [
        "| cost | unit | sizes | fixed | per unit | max relative deviation |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for fit in fits:
        sizes = ", ".join(str(size) for size in fit.sizes)
        lines.append(
            f"| {fit.name} | {fit.unit} | {sizes} | {fit.fixed:.1f} | "
            f"{fit.per_unit:.2f} | {fit.max_deviation:.0%} |"
        )
    return "\n".join(lines)


def main() -> int:
    """Measure the costs, print the table, write the fits as JSON and the plots."""
    parser = argparse.ArgumentParser(prog="capacity", description=__doc__)
    parser.add_argument("--out", default="build/capacity", help="output directory")
    options = parser.parse_args()
    fits = asyncio.run(measure_all())
    folder = Path(options.out)
    folder.mkdir(parents=True, exist_ok=True)
    print(markdown_table(fits))
    figures = [
        {
            "name": s.name,
            "unit": s.unit,
            "costs": dict(zip(s.sizes, s.costs, strict=True)),
            "fixed": s.fixed,
            "each": s.per_unit,
            "spread": s.max_deviation,
        }
        for s in fits
    ]
    text = json.dumps(figures, indent=1)
    (folder / "slopes.json").write_text(text + "\n", encoding="utf-8")
    plot_fits(fits, folder / "slopes.png")
    return 0


if __name__ == "__main__":
    sys.exit(main())
