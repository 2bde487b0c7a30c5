"""What an instance has observed of one backend server."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

from .attempts import (
    AttemptOutcome,
    Completed,
    Interrupted,
    Load,
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

# Weight of the newest latency in a backend server's average.
LATENCY_WEIGHT = 0.3
# An average above the usual loses half its excess in this time, so that a backend
# server that is no longer chosen is tried again.
LATENCY_RATIO_HALF_LIFE_S = 3.0
MAX_LATENCY_RATIO = 30.0
# Weight of one outcome in the share of failures.
FAILURE_WEIGHT = 0.25
FAILURE_HALF_LIFE_S = 2.5
# Weight of one attempt in the share of late ones.
LATE_WEIGHT = 0.4
LATE_HALF_LIFE_S = 4.0
# Late attempts sent within this time have one cause, such as a short pause.
LATE_BURST_S = 0.2
# A backend server that cannot be reached counts like this many failures.
UNREACHABLE_WEIGHT = 0.8
# A refusal because of a full queue is remembered this long.
FULL_QUEUE_TTL_S = 0.25
# A load that a response told is used this long.
LOAD_TTL_S = 0.3


@dataclass(frozen=True, slots=True)
class Outstanding:
    """Hold when an attempt was sent and after which time it is late."""

    sent_at: float
    late_s: float


@dataclass(slots=True)
class ServerHealth:
    """Hold what was observed of one backend server; updated in place."""

    incarnation: int = 0
    outstanding: dict[tuple[int, int], Outstanding] = field(default_factory=dict)
    # Average latency as a multiple of the usual latency of the routes.
    latency_ratio: float = 1.0
    latency_ratio_at: float = -math.inf
    # Moving share of failures.
    failure_rate: float = 0.0
    failure_rate_at: float = -math.inf
    # Moving share of attempts that were late. A late attempt is cancelled when its
    # hedge wins, so its latency is only known to be longer than that.
    late_rate: float = 0.0
    late_rate_at: float = -math.inf
    last_late_sent_at: float = -math.inf
    full_until: float = -math.inf
    # Load told by the last response, and the own attempts in flight at that time.
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
        """Return the slowness, its excess reduced by its age."""
        return decayed_latency_ratio(self.latency_ratio, at - self.latency_ratio_at)

    def current_failure_rate(self, at: float) -> float:
        """Return the share of failures, reduced by its age."""
        return decayed_rate(
            self.failure_rate, at - self.failure_rate_at, FAILURE_HALF_LIFE_S
        )

    def current_late_rate(self, at: float) -> float:
        """Return the share of late attempts, reduced by its age."""
        return decayed_rate(self.late_rate, at - self.late_rate_at, LATE_HALF_LIFE_S)

    def combine_with_peers(
        self, own: float, decayed: Callable[[PeerReport], float]
    ) -> float:
        """Return what own observations and those of peers agree on."""
        if not self.peer_reports:
            return own
        return corroborated(
            own, [decayed(reported) for reported in self.peer_reports.values()]
        )

    def combined_latency_ratio(self, at: float) -> float:
        """Return the slowness, own and told one."""
        return self.combine_with_peers(
            self.current_latency_ratio(at),
            lambda t: decayed_latency_ratio(t.latency_ratio, at - t.at),
        )

    def combined_failure_rate(self, at: float) -> float:
        """Return the share of failures, own and told ones."""
        return self.combine_with_peers(
            self.current_failure_rate(at),
            lambda t: decayed_rate(t.failure_rate, at - t.at, FAILURE_HALF_LIFE_S),
        )

    def combined_late_rate(self, at: float) -> float:
        """Return the share of late attempts, own and told ones."""
        return self.combine_with_peers(
            self.current_late_rate(at),
            lambda t: decayed_rate(t.late_rate, at - t.at, LATE_HALF_LIFE_S),
        )

    def record_peer_report(self, peer: str, report: ServerReport, at: float) -> None:
        """Keep the report of a peer and drop outdated ones."""
        self.peer_reports[peer] = PeerReport(
            report.latency_ratio, report.failure_rate, report.late_rate, at
        )
        for known, reported in tuple(self.peer_reports.items()):
            if at > reported.at + REPORT_TTL_S:
                del self.peer_reports[known]

    def current_load(self, at: float) -> int:
        """Return the requests that are believed to run or wait there."""
        own = len(self.outstanding)
        if self.load is None or at > self.load_at + LOAD_TTL_S:
            return own
        reported = self.load.running + self.load.waiting
        return own + max(0, reported - self.own_in_flight_at_load)

    def stalled(self, at: float) -> bool:
        """Return whether the oldest attempt is late and nothing came since."""
        if not self.outstanding:
            return False
        oldest = next(iter(self.outstanding.values()))
        late = at - oldest.sent_at > oldest.late_s
        return late and self.last_response_at < at - oldest.late_s

    def record_latency_ratio(self, latency_ratio: float, at: float) -> None:
        """Add one latency as a multiple of the usual one."""
        previous = self.current_latency_ratio(at)
        self.latency_ratio = previous + LATENCY_WEIGHT * (
            min(latency_ratio, MAX_LATENCY_RATIO) - previous
        )
        self.latency_ratio_at = at

    def record_outcome(self, failed: bool, at: float, weight: float) -> None:
        """Add one success or failure to the share of failures."""
        previous = self.current_failure_rate(at)
        self.failure_rate = previous + weight * (failed - previous)
        self.failure_rate_at = at

    def record_lateness(self, late: bool, sent_at: float, at: float) -> None:
        """Add one attempt to the share of late ones."""
        if late and sent_at < self.last_late_sent_at + LATE_BURST_S:
            return
        previous = self.current_late_rate(at)
        self.late_rate = previous + LATE_WEIGHT * (late - previous)
        self.late_rate_at = at
        if late:
            self.last_late_sent_at = sent_at


def decayed_latency_ratio(latency_ratio: float, age_s: float) -> float:
    """Return a slowness, its excess reduced by its age."""
    if latency_ratio <= 1 or age_s <= 0:
        return latency_ratio
    return 1 + (latency_ratio - 1) * 0.5 ** (age_s / LATENCY_RATIO_HALF_LIFE_S)


def decayed_rate(rate: float, age_s: float, half_life_s: float) -> float:
    """Return a share of failures or late attempts, reduced by its age."""
    if not rate or age_s <= 0:
        return rate
    return rate * 0.5 ** (age_s / half_life_s)


@dataclass(frozen=True, slots=True)
class Observation:
    """Hold what an ended attempt tells of its backend server."""

    at: float
    latency_s: float
    typical_s: float
    # Latency from which the attempt counts as late.
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
    """Update what is known of a backend server by the outcome of an attempt."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@observe.register
def _(outcome: Completed, server: ServerHealth, observation: Observation) -> None:
    at = observation.at
    server.last_response_at = at
    record_load(server, outcome.load, at)
    server.record_outcome(not outcome.succeeded, at, FAILURE_WEIGHT)
    if outcome.succeeded:
        server.record_latency_ratio(observation.latency_s / observation.typical_s, at)
        server.record_lateness(observation.late, observation.sent_at, at)


@observe.register
def _(outcome: Refused, server: ServerHealth, observation: Observation) -> None:
    server.last_response_at = observation.at
    record_load(server, outcome.load, observation.at)
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
    """Take the time waited in vain as a lower bound of the latency."""
    latency_ratio = observation.latency_s / observation.typical_s
    if latency_ratio > server.current_latency_ratio(observation.at):
        server.record_latency_ratio(latency_ratio, observation.at)
    if observation.late:
        server.record_lateness(True, observation.sent_at, observation.at)


def record_load(server: ServerHealth, load: Load | None, at: float) -> None:
    """Keep the load that a response told."""
    if load is not None:
        server.load = load
        server.load_at = at
        server.own_in_flight_at_load = len(server.outstanding) + 1
