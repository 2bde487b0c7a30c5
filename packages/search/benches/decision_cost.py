"""Measure the CPU cost of fan-out decisions per sub-request, without network.

Usage: python packages/search/benches/decision_cost.py
Sizes alternate in each round. Prints the medians over the rounds and the encoded size
of the decisions in the evidence.
"""

from __future__ import annotations

import random
import statistics
import time

from fireflyrack.configuration import Partition, Placement
from fireflyrack.core import ShardSet
from fireflyrack.search import (
    Candidate,
    Cause,
    FanoutState,
    Finish,
    Hit,
    Query,
    QueryStarted,
    ReplyArrived,
    ServiceState,
    Snapshot,
    SubRequest,
    SubRequestFailed,
    decide,
    decisions_model,
)

SNAPSHOT = Snapshot(1, 1)
SIZES = (10, 50, 200, 1200)
REPLICAS = 3
SHARDS_PER_SERVER = 4
HITS = 10
ROUNDS = 15
SUB_REQUESTS_PER_ROUND = 4000


class Benchmark:
    """Benchmark with groups of shards that are each held by three replicas."""

    def __init__(self, sub_requests: int) -> None:
        servers = sub_requests * REPLICAS
        self.sub_requests = sub_requests
        placement = tuple(
            Placement(
                ShardSet.span(n * SHARDS_PER_SERVER, (n + 1) * SHARDS_PER_SERVER),
                tuple(f"backend-{n:04d}-{r}" for r in range(REPLICAS)),
            )
            for n in range(sub_requests)
        )
        self.partition = Partition(1, sub_requests * SHARDS_PER_SERVER, placement)
        self.candidates = tuple(
            Candidate(name, group.shards)
            for group in placement
            for name in group.replicas
        )
        assert len(self.candidates) == servers
        self.service = ServiceState()
        self.rng = random.Random(7)
        self.at = 0.0

    def search(self, failed_share: float = 0.0) -> tuple[Query, Finish, float, float]:
        """Run a search; return it with the seconds spent on its start and replies."""
        self.at += 1
        query = Query(
            "q", "s", "t", HITS, SNAPSHOT, self.partition, deadline_at=self.at + 1
        )
        state = FanoutState(query, self.candidates, self.rng, self.service)
        begin = time.perf_counter()
        actions = list(decide(QueryStarted(self.at), state).actions)
        start_s = time.perf_counter() - begin
        reply_s = 0.0
        finish = None
        while actions:
            action = actions.pop(0)
            if isinstance(action, Finish):
                finish = action
            for sub_request in getattr(action, "sub_requests", ()):
                event = self.answer(sub_request, failed_share)
                begin = time.perf_counter()
                followed = decide(event, state).actions
                reply_s += time.perf_counter() - begin
                actions.extend(followed)
        return query, finish, start_s, reply_s

    def answer(
        self, sub_request: SubRequest, failed_share: float
    ) -> ReplyArrived | SubRequestFailed:
        """Return a reply, or a failure with probability `failed_share`."""
        at = self.at + 0.01
        if self.rng.random() < failed_share:
            return SubRequestFailed(at, sub_request.id, Cause.FAILED)
        shard = next(iter(sub_request.shards))
        hits = tuple(Hit(f"d{n}", n, shard) for n in range(HITS))
        return ReplyArrived(at, sub_request.id, SNAPSHOT, sub_request.shards, hits)


def main() -> None:
    """Print the results of all sizes."""
    benchmarks = [Benchmark(size) for size in SIZES]
    starts = {size: [] for size in SIZES}
    replies = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for benchmark in benchmarks:
            searches = max(1, SUB_REQUESTS_PER_ROUND // benchmark.sub_requests)
            times = [benchmark.search()[2:] for _ in range(searches)]
            count = searches * benchmark.sub_requests
            starts[benchmark.sub_requests].append(sum(t[0] for t in times) / count)
            replies[benchmark.sub_requests].append(sum(t[1] for t in times) / count)
    print("sub-requests  start us  reply us  both us  evidence B  with 2% failed B")
    for benchmark in benchmarks:
        size = benchmark.sub_requests
        start = statistics.median(starts[size]) * 1e6
        reply = statistics.median(replies[size]) * 1e6
        sizes = []
        for share in (0.0, 0.02):
            query, finish, _, _ = benchmark.search(share)
            sizes.append(len(decisions_model(query, finish).model_dump_json()))
        print(
            f"{size:12d}{start:10.1f}{reply:10.1f}{start + reply:9.1f}"
            f"{sizes[0]:12d}{sizes[1]:18d}"
        )


if __name__ == "__main__":
    main()
