"""What entry instances tell each other of backend servers.

An instance of a large fleet meets each backend server too rarely to learn in time
that it is slow; together the instances of a failure domain see enough.
"""

from __future__ import annotations

from dataclasses import dataclass

# Own observations from these on are told to peers. A single pause stays below.
NOTABLE_SLOWNESS = 1.8
NOTABLE_FAILING = 0.2
# Two late attempts after one another reach this, a single pause does not.
NOTABLE_LATE = 0.5
# So many instances have to agree, this one included: one may see a backend server
# through its own broken link.
AGREEING_INSTANCES = 2
# Reports are dropped after this time; their weight has decayed long before.
REPORT_MEMORY_S = 15.0


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Tell what one instance observed of a backend server."""

    server: str
    incarnation: int
    # Latency as a multiple of the usual one.
    latency_ratio: float
    # Share of failures.
    failure_rate: float
    # Share of late attempts.
    late_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Told:
    """Hold the newest report of a peer and when it came."""

    slowness: float
    failing: float
    late: float
    at: float


def agreed(own: float, told: list[float]) -> float:
    """Return the value that enough instances observed at least."""
    values = sorted((own, *told), reverse=True)
    if len(values) < AGREEING_INSTANCES:
        return own
    return max(own, values[AGREEING_INSTANCES - 1])
