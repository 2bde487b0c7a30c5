"""Reports on the health of backend servers that entry instances exchange.

An instance of a large fleet sends too few requests to each backend server to detect a
slow one in time; all instances of a failure domain together send enough.
"""

from __future__ import annotations

from dataclasses import dataclass

# Own observations from these values on are reported to peers. A single pause of a
# backend server stays below them.
MIN_REPORTED_LATENCY_RATIO = 1.8
MIN_REPORTED_FAILURE_RATE = 0.2
# Reached by two consecutive late attempts, but not by a single pause.
MIN_REPORTED_LATE_RATE = 0.5
# Instances, this one included, that must observe the same. A single instance may have
# a faulty network link of its own.
MIN_AGREEING_INSTANCES = 2
# Time after which reports are dropped; their weight has decayed long before.
REPORT_TTL_S = 15.0


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Health of a backend server as observed by one instance."""

    server: str
    incarnation: int
    # Latency as a multiple of the typical latency.
    latency_ratio: float
    # Fraction of attempts that failed, 0 to 1.
    failure_rate: float
    # Fraction of attempts that were late, 0 to 1.
    late_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Newest report of one peer on a backend server, with its arrival time."""

    latency_ratio: float
    failure_rate: float
    late_rate: float
    at: float


def corroborated(own: float, reported: list[float]) -> float:
    """Return the highest value that enough instances reached, at least the own one."""
    values = sorted((own, *reported), reverse=True)
    if len(values) < MIN_AGREEING_INSTANCES:
        return own
    return max(own, values[MIN_AGREEING_INSTANCES - 1])
