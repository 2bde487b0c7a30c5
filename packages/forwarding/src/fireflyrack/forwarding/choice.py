"""Load balancing: selection of the backend server for an attempt."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from fireflyrack.availability import AvailabilityTable
from fireflyrack.discovery import BackendServer

from .fleet import FleetHealth
from .health import ServerHealth

# Fraction of the connections of a backend server that the entry instances share. The
# rest covers closing connections and instances that are not known yet.
SHARED_CONNECTION_FRACTION = 0.85
# Applies to servers in another failure domain: latency is higher, traffic is billed.
CROSS_DOMAIN_FACTOR = 2.2
# Additional relative cost when all slots are busy and the queue is still empty.
BUSY_SLOT_COST = 0.15
# Applies while a backend server warms up after its start.
COLD_FACTOR = 1.6
# Applies while the oldest attempt is overdue and no response has arrived since.
STALLED_FACTOR = 3.0
# Applies for a short time after a refusal because of a full queue.
FULL_QUEUE_FACTOR = 4.0
# Weight of the failure rate: a rate of 1 multiplies the cost by 1 plus this factor.
FAILURE_RATE_FACTOR = 12.0
# Weight of the late rate: a rate of 1 multiplies the cost by 1 plus this factor. Rates
# up to the tolerated one cost nothing, since a short pause gives one late attempt.
LATE_RATE_FACTOR = 12.0
TOLERATED_LATE_RATE = 0.45
# Costs that differ by less than this fraction count as equal; the selection between
# them is random.
TIE_BREAK_FRACTION = 0.02


@dataclass(frozen=True, slots=True)
class Selection:
    """Selected backend server and the values that the selection is based on."""

    server: BackendServer
    cost: float
    in_flight: int
    latency_ratio: float
    failure_rate: float
    late_rate: float
    candidates: int


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """Failure domain of this instance and source of randomness for tie-breaking."""

    failure_domain: str
    rng: random.Random


def connection_limit(max_connections: int, instances: int) -> int:
    """Return how many connections one instance may open to a backend server.

    With a single connection, a slow attempt would block all others, so the second
    connection may use the reserve.
    """
    share = int(SHARED_CONNECTION_FRACTION * max_connections / instances)
    return max(1, share, min(2, max_connections // instances))


def select_server(
    selection_context: SelectionContext,
    servers: tuple[BackendServer, ...],
    fleet: FleetHealth,
    availability: AvailabilityTable,
    max_connections: int,
    excluded: frozenset[str],
    at: float,
) -> Selection | None:
    """Select the available backend server with the lowest expected cost, if any."""
    limit = connection_limit(max_connections, fleet.instances)
    best: Selection | None = None
    candidates = 0
    for server in servers:
        if server.id in excluded or availability.obstacle(server, at) is not None:
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
    """Return the expected relative latency of one more attempt.

    1 stands for a healthy idle backend server in the own failure domain.
    """
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
