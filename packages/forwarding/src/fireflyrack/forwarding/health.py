"""Health of one backend server as observed by this instance and its peers."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.availability import Load

from .attempts import (
    AttemptOutcome,
    Completed,
    Interrupted,
    NotConnected,
    Refused,
    TimedOut,
)
from .reports import (
    REPORT_TTL_S,
    PeerReport,
    ServerReport,
    corroborated,
)

# Weight of the newest latency in the moving average of a backend server.
LATENCY_WEIGHT = 0.3
# Time in which an average above 1 loses half of the excess, so that a backend server
# that is no longer selected is eventually tried again.
LATENCY_RATIO_HALF_LIFE_S = 3.0
MAX_LATENCY_RATIO = 30.0
# Weight of the newest outcome in the failure rate.
FAILURE_WEIGHT = 0.25
FAILURE_HALF_LIFE_S = 2.5
# Weight of the newest attempt in the late rate.
LATE_WEIGHT = 0.4
LATE_HALF_LIFE_S = 4.0
# Late attempts sent within this time count once: they have a common cause, such as a
# short pause of the backend server.
LATE_BURST_S = 0.2
# Weight of a failed connection in the failure rate.
UNREACHABLE_WEIGHT = 0.8
# Time for which a refusal because of a full queue counts.
FULL_QUEUE_TTL_S = 0.25
# Time for which a reported load is used.
LOAD_TTL_S = 0.3


@dataclass(frozen=True, slots=True)
class Outstanding:
    """Attempt in flight: its send time and the latency from which it is late."""

    sent_at: float
    late_s: float


@dataclass(slots=True)
class ServerHealth:
    """Observed health of one backend server; mutable."""

    incarnation: int = 0
    outstanding: dict[tuple[int, int], Outstanding] = field(default_factory=dict)
    # Moving average of the latency as a multiple of the typical latency of the route.
    latency_ratio: float = 1.0
    latency_ratio_at: float = -math.inf
    # Moving average of failures, 0 to 1.
    failure_rate: float = 0.0
    failure_rate_at: float = -math.inf
    # Moving average of late attempts, 0 to 1. A late attempt is cancelled when its
    # hedge wins, so only a lower bound of its latency is known.
    late_rate: float = 0.0
    late_rate_at: float = -math.inf
    last_late_sent_at: float = -math.inf
    full_until: float = -math.inf
    # Load reported by the last response, and the own attempts in flight at that time.
    load: Load | None = None
    load_at: float = -math.inf
    own_in_flight_at_load: int = 0
    cold_until: float = -math.inf
    last_response_at: float = -math.inf
    # Newest report of each peer.
    peer_reports: dict[str, PeerReport] = field(default_factory=dict)

    def start(self, attempt: tuple[int, int], at: float, late_s: float) -> None:
        """Count an attempt as in flight."""
        self.outstanding[attempt] = Outstanding(at, late_s)

    def end(self, attempt: tuple[int, int]) -> None:
        """Count an attempt as ended."""
        self.outstanding.pop(attempt, None)

    def current_latency_ratio(self, at: float) -> float:
        """Return the latency ratio, decayed since its last update."""
        return decayed_latency_ratio(self.latency_ratio, at - self.latency_ratio_at)

    def current_failure_rate(self, at: float) -> float:
        """Return the failure rate, decayed since its last update."""
        return decayed_rate(
            self.failure_rate, at - self.failure_rate_at, FAILURE_HALF_LIFE_S
        )

    def current_late_rate(self, at: float) -> float:
        """Return the late rate, decayed since its last update."""
        return decayed_rate(self.late_rate, at - self.late_rate_at, LATE_HALF_LIFE_S)

    def combine_with_peers(
        self, own: float, decayed: Callable[[PeerReport], float]
    ) -> float:
        """Return a value that enough instances corroborate, at least the own one."""
        if not self.peer_reports:
            return own
        return corroborated(
            own, [decayed(reported) for reported in self.peer_reports.values()]
        )

    def combined_latency_ratio(self, at: float) -> float:
        """Return the latency ratio from own observations and peer reports."""
        return self.combine_with_peers(
            self.current_latency_ratio(at),
            lambda peer_report: decayed_latency_ratio(
                peer_report.latency_ratio, at - peer_report.at
            ),
        )

    def combined_failure_rate(self, at: float) -> float:
        """Return the failure rate from own observations and peer reports."""
        return self.combine_with_peers(
            self.current_failure_rate(at),
            lambda peer_report: decayed_rate(
                peer_report.failure_rate, at - peer_report.at, FAILURE_HALF_LIFE_S
            ),
        )

    def combined_late_rate(self, at: float) -> float:
        """Return the late rate from own observations and peer reports."""
        return self.combine_with_peers(
            self.current_late_rate(at),
            lambda peer_report: decayed_rate(
                peer_report.late_rate, at - peer_report.at, LATE_HALF_LIFE_S
            ),
        )

    def record_peer_report(self, peer: str, report: ServerReport, at: float) -> None:
        """Store the report of a peer and drop expired ones."""
        self.peer_reports[peer] = PeerReport(
            report.latency_ratio, report.failure_rate, report.late_rate, at
        )
        for known, reported in tuple(self.peer_reports.items()):
            if at > reported.at + REPORT_TTL_S:
                del self.peer_reports[known]

    def current_load(self, at: float) -> int:
        """Return the estimated number of requests running or queued on the server."""
        own = len(self.outstanding)
        if self.load is None or at > self.load_at + LOAD_TTL_S:
            return own
        reported = self.load.running + self.load.waiting
        return own + max(0, reported - self.own_in_flight_at_load)

    def stalled(self, at: float) -> bool:
        """Return whether the oldest attempt is late and no response arrived since."""
        if not self.outstanding:
            return False
        oldest = next(iter(self.outstanding.values()))
        late = at - oldest.sent_at > oldest.late_s
        return late and self.last_response_at < at - oldest.late_s

    def record_latency_ratio(self, latency_ratio: float, at: float) -> None:
        """Add one latency, as a multiple of the typical latency, to the average."""
        previous = self.current_latency_ratio(at)
        self.latency_ratio = previous + LATENCY_WEIGHT * (
            min(latency_ratio, MAX_LATENCY_RATIO) - previous
        )
        self.latency_ratio_at = at

    def record_outcome(self, failed: bool, at: float, weight: float) -> None:
        """Add one success or failure to the failure rate."""
        previous = self.current_failure_rate(at)
        self.failure_rate = previous + weight * (failed - previous)
        self.failure_rate_at = at

    def record_lateness(self, late: bool, sent_at: float, at: float) -> None:
        """Add one attempt to the late rate; a burst of late attempts counts once."""
        if late and sent_at < self.last_late_sent_at + LATE_BURST_S:
            return
        previous = self.current_late_rate(at)
        self.late_rate = previous + LATE_WEIGHT * (late - previous)
        self.late_rate_at = at
        if late:
            self.last_late_sent_at = sent_at


def decayed_latency_ratio(latency_ratio: float, age_s: float) -> float:
    """Return a latency ratio whose excess over 1 has decayed with its age."""
    if latency_ratio <= 1 or age_s <= 0:
        return latency_ratio
    return 1 + (latency_ratio - 1) * 0.5 ** (age_s / LATENCY_RATIO_HALF_LIFE_S)


def decayed_rate(rate: float, age_s: float, half_life_s: float) -> float:
    """Return a failure rate or late rate that has decayed with its age."""
    if not rate or age_s <= 0:
        return rate
    return rate * 0.5 ** (age_s / half_life_s)


@dataclass(frozen=True, slots=True)
class Observation:
    """Latency of an ended attempt and the thresholds to rate it, in seconds."""

    at: float
    latency_s: float
    typical_s: float
    # Latency from which an attempt counts as late.
    late_s: float

    @property
    def late(self) -> bool:
        """Return whether the attempt was late."""
        return self.latency_s >= self.late_s

    @property
    def sent_at(self) -> float:
        """Return when the attempt was sent."""
        return self.at - self.latency_s


@singledispatch
def observe(
    outcome: AttemptOutcome, server: ServerHealth, observation: Observation
) -> None:
    """Update the health of a backend server with the outcome of an attempt."""
    raise TypeError(f"unsupported outcome type: {type(outcome).__name__}")


@observe.register
def _(outcome: Completed, server: ServerHealth, observation: Observation) -> None:
    at = observation.at
    server.last_response_at = at
    record_load(server, outcome.notice.load, at)
    server.record_outcome(not outcome.succeeded, at, FAILURE_WEIGHT)
    if outcome.succeeded:
        server.record_latency_ratio(observation.latency_s / observation.typical_s, at)
        server.record_lateness(observation.late, observation.sent_at, at)


@observe.register
def _(outcome: Refused, server: ServerHealth, observation: Observation) -> None:
    server.last_response_at = observation.at
    record_load(server, outcome.notice.load, observation.at)
    server.full_until = observation.at + FULL_QUEUE_TTL_S
    server.record_outcome(True, observation.at, FAILURE_WEIGHT / 2)


@observe.register
def _(outcome: NotConnected, server: ServerHealth, observation: Observation) -> None:
    server.record_outcome(True, observation.at, UNREACHABLE_WEIGHT)


@observe.register
def _(outcome: Interrupted, server: ServerHealth, observation: Observation) -> None:
    server.record_outcome(True, observation.at, FAILURE_WEIGHT)


@observe.register
def _(outcome: TimedOut, server: ServerHealth, observation: Observation) -> None:
    server.record_outcome(True, observation.at, FAILURE_WEIGHT)
    record_abandoned(server, observation)


def record_abandoned(server: ServerHealth, observation: Observation) -> None:
    """Use the time until an attempt was abandoned as a lower bound of the latency."""
    latency_ratio = observation.latency_s / observation.typical_s
    if latency_ratio > server.current_latency_ratio(observation.at):
        server.record_latency_ratio(latency_ratio, observation.at)
    if observation.late:
        server.record_lateness(True, observation.sent_at, observation.at)


def record_load(server: ServerHealth, load: Load | None, at: float) -> None:
    """Store the load reported by a response."""
    if load is not None:
        server.load = load
        server.load_at = at
        server.own_in_flight_at_load = len(server.outstanding) + 1
