"""Replica selection for the shards of a search."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fireflyrack.core import ShardSet

from .observations import (
    ServiceState,
    cost,
    excess_latency,
    is_available,
    is_draining,
    is_shedding,
)
from .snapshots import Snapshot

# With few candidates a cover is cheap to compute, and the best of several random
# ones needs fewer sub-requests where replicas overlap partially.
COVER_TRIALS = 3
MAX_CANDIDATES_FOR_TRIALS = 16
# Excess latency as a multiple of the median. A hedge to a slower backend server would
# rarely reply first.
MAX_EXCESS_LATENCY_FOR_EXTRA = 2.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """Backend server that holds some shards of the snapshot."""

    backend_server: str
    shards: ShardSet
    # Expected cost of one more sub-request; lower is better.
    cost: float = 0.0


def choose_replicas(
    shards: ShardSet, candidates: Iterable[Candidate], rng: random.Random
) -> Mapping[str, ShardSet]:
    """Assign shards to backend servers; return the shards of each chosen one.

    Greedily picks the backend server with the most remaining shards per cost, which
    keeps the number of sub-requests low and the load even. Ties are broken randomly.
    """
    pool = list(candidates)
    trials = COVER_TRIALS if len(pool) <= MAX_CANDIDATES_FOR_TRIALS else 1
    covers = [greedy_cover(shards.bits, pool, rng) for _ in range(trials)]
    # All trials cover the same shards, so the total cost compares them.
    chosen = min(covers, key=lambda cover: sum(1 + pool[i].cost for i in cover))
    return {
        pool[i].backend_server: ShardSet(assigned) for i, assigned in chosen.items()
    }


def greedy_cover(
    remaining: int, pool: list[Candidate], rng: random.Random
) -> dict[int, int]:
    """Return the shards, as a bit mask, of each chosen candidate by its index."""
    heap = [
        (-(c.shards.bits & remaining).bit_count() / (1 + c.cost), rng.random(), i)
        for i, c in enumerate(pool)
    ]
    heapq.heapify(heap)
    chosen: dict[int, int] = {}
    while remaining and heap:
        score, tie_breaker, index = heap[0]
        candidate = pool[index]
        assigned = candidate.shards.bits & remaining
        current = -assigned.bit_count() / (1 + candidate.cost)
        if not assigned:
            heapq.heappop(heap)
        elif current > score:
            # Scores only get worse, so a top entry with a current score is the best.
            heapq.heapreplace(heap, (current, tie_breaker, index))
        else:
            heapq.heappop(heap)
            chosen[index] = assigned
            remaining &= ~assigned
    return chosen


def split_candidates(
    service: ServiceState,
    candidates: Iterable[Candidate],
    snapshot: Snapshot,
    at: float,
    rng: random.Random,
    extra: bool,
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the candidates for ordinary work and those of last resort.

    Last resorts are ejected or cold, or recently lacked the snapshot. `extra` marks
    hedges and retries: servers that shed load are excluded from them, and slow ones
    are a last resort. Draining servers are always excluded.
    """
    settings = service.settings
    ordinary: list[Candidate] = []
    last_resort: list[Candidate] = []
    for candidate in candidates:
        server = service.servers.get(candidate.backend_server)
        if server is None:
            ordinary.append(candidate)
            continue
        if is_draining(server, at) or (extra and is_shedding(server, at, settings)):
            continue
        weighted = Candidate(
            candidate.backend_server, candidate.shards, cost(service, server, at)
        )
        usable = is_available(server, snapshot, at, rng.random(), settings.ramp_s)
        if extra and excess_latency(service, server, at) > MAX_EXCESS_LATENCY_FOR_EXTRA:
            usable = False
        (ordinary if usable else last_resort).append(weighted)
    return ordinary, last_resort
