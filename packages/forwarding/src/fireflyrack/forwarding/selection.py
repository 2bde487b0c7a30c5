"""Choice of the backend server of an attempt."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from fireflyrack.discovery import BackendServer, ServerState

from .fleet import FleetHealth
from .health import ServerHealth

# Part of a backend server's connections that the instances share; the rest covers
# connections that are closing and instances that are not known yet.
SHARED_CONNECTION_FRACTION = 0.85
# A backend server in another failure domain is farther away, and bytes between
# failure domains cost money.
CROSS_DOMAIN_FACTOR = 2.2
# Cost of a busy slot beside an idle one, before there is a queue.
BUSY_SLOT_COST = 0.15
COLD_FACTOR = 1.6
STALLED_FACTOR = 3.0
FULL_QUEUE_FACTOR = 4.0
# A backend server that always fails costs this many times one that never does.
FAILURE_RATE_FACTOR = 12.0
# A backend server that is always late costs this many times one that never is. Up to
# the share that one late attempt gives, as in a short pause, it costs nothing.
LATE_RATE_FACTOR = 12.0
TOLERATED_LATE_RATE = 0.45
# Costs closer than this are equal, and chance decides.
TIE_BREAK_FRACTION = 0.02


@dataclass(frozen=True, slots=True)
class Selection:
    """Hold a chosen backend server and what decided."""

    server: BackendServer
    cost: float
    in_flight: int
    latency_ratio: float
    failure_rate: float
    late_rate: float
    candidates: int


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """Hold what a choice depends on besides the observations."""

    failure_domain: str
    rng: random.Random


def connection_limit(max_connections: int, instances: int) -> int:
    """Return the connections that one instance may hold to a backend server.

    Without a second one, a slow attempt would keep all others away, so the reserve is
    given up for it.
    """
    share = int(SHARED_CONNECTION_FRACTION * max_connections / instances)
    return max(1, share, min(2, max_connections // instances))


def select_server(
    selection_context: SelectionContext,
    servers: tuple[BackendServer, ...],
    fleet: FleetHealth,
    max_connections: int,
    excluded: frozenset[str],
    at: float,
) -> Selection | None:
    """Return the backend server with the least expected cost, None if there is none."""
    limit = connection_limit(max_connections, fleet.instances)
    best: Selection | None = None
    candidates = 0
    for server in servers:
        if server.state is not ServerState.READY or server.id in excluded:
            continue
        health = fleet.server(server.id)
        if len(health.outstanding) >= limit:
            continue
        candidates += 1
        cost = expected_cost(server, health, selection_context.failure_domain, at)
        cost *= 1 + TIE_BREAK_FRACTION * selection_context.rng.random()
        if best is None or cost < best.cost:
            best = Selection(
                server,
                cost,
                len(health.outstanding),
                health.combined_latency_ratio(at),
                health.combined_failure_rate(at),
                health.combined_late_rate(at),
                0,
            )
    if best is None:
        return None
    return replace(best, candidates=candidates)


def expected_cost(
    server: BackendServer, health: ServerHealth, failure_domain: str, at: float
) -> float:
    """Return the expected latency of one more attempt, 1 for a usual idle server."""
    slots = max(1, server.slots)
    load = health.current_load(at)
    queue = max(0, load + 1 - slots) / slots
    cost = health.combined_latency_ratio(at) * (
        1 + queue + BUSY_SLOT_COST * load / slots
    )
    cost *= 1 + FAILURE_RATE_FACTOR * health.combined_failure_rate(at)
    excess_late_rate = max(0.0, health.combined_late_rate(at) - TOLERATED_LATE_RATE)
    cost *= 1 + LATE_RATE_FACTOR * excess_late_rate / (1 - TOLERATED_LATE_RATE)
    if server.failure_domain != failure_domain:
        cost *= CROSS_DOMAIN_FACTOR
    if at < health.cold_until:
        cost *= COLD_FACTOR
    if at < health.full_until:
        cost *= FULL_QUEUE_FACTOR
    if health.stalled(at):
        cost *= STALLED_FACTOR
    return cost
