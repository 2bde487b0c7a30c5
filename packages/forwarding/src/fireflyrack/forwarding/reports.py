"""What entry instances tell each other of backend servers.

An instance of a large fleet meets each backend server too rarely to learn in time
that it is slow; together the instances of a failure domain see enough.
"""

from __future__ import annotations

from dataclasses import dataclass

# Own observations from these on are reported to peers. A single pause stays below.
MIN_REPORTED_LATENCY_RATIO = 1.8
MIN_REPORTED_FAILURE_RATE = 0.2
# Two late attempts after one another reach this, a single pause does not.
MIN_REPORTED_LATE_RATE = 0.5
# So many instances have to agree, this one included: one may see a backend server
# through its own broken link.
MIN_AGREEING_INSTANCES = 2
# Reports are dropped after this time; their weight has decayed long before.
REPORT_TTL_S = 15.0


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
class PeerReport:
    """Hold the newest report of a peer and when it came."""

    latency_ratio: float
    failure_rate: float
    late_rate: float
    at: float


def corroborated(own: float, reported: list[float]) -> float:
    """Return the value that enough instances observed at least."""
    values = sorted((own, *reported), reverse=True)
    if len(values) < MIN_AGREEING_INSTANCES:
        return own
    return max(own, values[MIN_AGREEING_INSTANCES - 1])
