"""What an instance has observed of backend servers, services and routes."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.core import LatencyEstimate

from .attempts import (
    AttemptOutcome,
    Completed,
    Interrupted,
    Load,
    NotConnected,
    Refused,
    TimedOut,
)
from .budget import BudgetLimits, RetryBudget
from .reports import (
    NOTABLE_FAILING,
    NOTABLE_SLOWNESS,
    REPORT_MEMORY_S,
    ServerReport,
    Told,
    agreed,
)

# Weight of the newest latency in a backend server's average.
LATENCY_WEIGHT = 0.3
# An average above the usual loses half its excess in this time, so that a backend
# server that is no longer chosen is tried again.
SLOWNESS_HALF_LIFE_S = 3.0
MAX_SLOWNESS = 30.0
# Weight of one outcome in the share of failures.
FAILURE_WEIGHT = 0.25
FAILURE_HALF_LIFE_S = 2.5
# A backend server that cannot be reached counts like this many failures.
UNREACHABLE_WEIGHT = 0.8
# A refusal because of a full queue is remembered this long.
FULL_MEMORY_S = 0.25
# A load that a response told is used this long.
LOAD_MEMORY_S = 0.3
# Percentiles of the latency of attempts.
HEDGE_PERCENTILE = 0.9
HEDGE_FACTOR = 1.2
MIN_HEDGE_DELAY_S = 0.004
# No hedge is sent before this multiple of the median; most attempts end sooner.
EARLY_HEDGE_FACTOR = 1.5
# Part of the latency objective after which hedges are sent until latencies are known.
UNKNOWN_HEDGE_PART = 0.4
# Part of the latency objective that opening a connection may take from a caller.
MAX_SPENT_PART = 0.4
# Part of the latency objective that is the usual latency until it is known.
UNKNOWN_TYPICAL_PART = 0.2


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
    slowness: float = 1.0
    slowness_at: float = -math.inf
    # Moving share of failures.
    failing: float = 0.0
    failing_at: float = -math.inf
    full_until: float = -math.inf
    # Load told by the last response, and the own attempts in flight at that time.
    load: Load | None = None
    load_at: float = -math.inf
    own_at_load: int = 0
    cold_until: float = -math.inf
    answered_at: float = -math.inf
    # Newest report of each peer.
    told: dict[str, Told] = field(default_factory=dict)

    def start(self, attempt: tuple[int, int], at: float, late_s: float) -> None:
        """Count an attempt as in flight."""
        self.outstanding[attempt] = Outstanding(at, late_s)

    def end(self, attempt: tuple[int, int]) -> None:
        """Count an attempt as ended."""
        self.outstanding.pop(attempt, None)

    def slowness_now(self, at: float) -> float:
        """Return the slowness, its excess reduced by its age."""
        return aged_slowness(self.slowness, at - self.slowness_at)

    def failing_now(self, at: float) -> float:
        """Return the share of failures, reduced by its age."""
        return aged_failing(self.failing, at - self.failing_at)

    def believed_slowness(self, at: float) -> float:
        """Return the slowness from own observations and those of peers."""
        own = self.slowness_now(at)
        if not self.told:
            return own
        told = [aged_slowness(t.slowness, at - t.at) for t in self.told.values()]
        return agreed(own, told)

    def believed_failing(self, at: float) -> float:
        """Return the share of failures from own observations and those of peers."""
        own = self.failing_now(at)
        if not self.told:
            return own
        told = [aged_failing(t.failing, at - t.at) for t in self.told.values()]
        return agreed(own, told)

    def note_told(self, peer: str, report: ServerReport, at: float) -> None:
        """Keep the report of a peer and drop outdated ones."""
        self.told[peer] = Told(report.slowness, report.failing, at)
        for known, told in tuple(self.told.items()):
            if at > told.at + REPORT_MEMORY_S:
                del self.told[known]

    def load_now(self, at: float) -> int:
        """Return the requests that are believed to run or wait there."""
        own = len(self.outstanding)
        if self.load is None or at > self.load_at + LOAD_MEMORY_S:
            return own
        told = self.load.running + self.load.waiting
        return own + max(0, told - self.own_at_load)

    def stalled(self, at: float) -> bool:
        """Return whether the oldest attempt is late and nothing came since."""
        if not self.outstanding:
            return False
        oldest = next(iter(self.outstanding.values()))
        late = at - oldest.sent_at > oldest.late_s
        return late and self.answered_at < at - oldest.late_s

    def note_slowness(self, slowness: float, at: float) -> None:
        """Add one latency as a multiple of the usual one."""
        believed = self.slowness_now(at)
        self.slowness = believed + LATENCY_WEIGHT * (
            min(slowness, MAX_SLOWNESS) - believed
        )
        self.slowness_at = at

    def note_outcome(self, failed: bool, at: float, weight: float) -> None:
        """Add one success or failure to the share of failures."""
        believed = self.failing_now(at)
        self.failing = believed + weight * (failed - believed)
        self.failing_at = at


def aged_slowness(slowness: float, age_s: float) -> float:
    """Return a slowness, its excess reduced by its age."""
    if slowness <= 1 or age_s <= 0:
        return slowness
    return 1 + (slowness - 1) * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)


def aged_failing(failing: float, age_s: float) -> float:
    """Return a share of failures, reduced by its age."""
    if not failing or age_s <= 0:
        return failing
    return failing * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)


@dataclass(slots=True)
class RouteHealth:
    """Hold the latencies of the attempts of one route."""

    objective_s: float
    estimate: LatencyEstimate = field(
        default_factory=lambda: LatencyEstimate(HEDGE_PERCENTILE)
    )
    # Longest time that a caller said it waits.
    patience_s: float = 0.0

    @property
    def typical_s(self) -> float:
        """Return the usual latency of an attempt in seconds."""
        return self.estimate.median or UNKNOWN_TYPICAL_PART * self.objective_s

    @property
    def hedge_delay_s(self) -> float:
        """Return after which time an attempt is hedged, in seconds."""
        high = self.estimate.high
        if high is None:
            return UNKNOWN_HEDGE_PART * self.objective_s
        return max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * high)

    def hedge_after_s(self, useful_s: float) -> float:
        """Return after which time an attempt is hedged whose result is of use so long.

        A hedge that could hardly return in time is sent a little sooner instead.
        """
        high, median = self.estimate.high, self.estimate.median
        if high is None or median is None:
            return self.hedge_delay_s
        last_s = max(EARLY_HEDGE_FACTOR * median, useful_s - high)
        return max(MIN_HEDGE_DELAY_S, min(self.hedge_delay_s, last_s))

    def spent_s(self, timeout_s: float, patience_s: float | None) -> float:
        """Return the time that a caller had spent before its request was read.

        Callers tell what is left of a time that is the same for all requests of a
        route, most often its timeout. A great difference means another caller or an
        earlier attempt, which says nothing about the way here.
        """
        if patience_s is None:
            return 0.0
        self.patience_s = max(self.patience_s, patience_s)
        for whole_s in (timeout_s, self.patience_s):
            if 0 <= whole_s - patience_s <= MAX_SPENT_PART * self.objective_s:
                return whole_s - patience_s
        return 0.0


class FleetHealth:
    """Hold everything observed; one for each instance."""

    def __init__(self, limits: BudgetLimits) -> None:
        self.limits = limits
        self.instances = 1
        self.servers: dict[str, ServerHealth] = {}
        self.routes: dict[str, RouteHealth] = {}
        self.budgets: dict[str, RetryBudget] = {}
        # Backend servers with notable observations that peers were not told.
        self.notable: set[str] = set()

    def server(self, server_id: str) -> ServerHealth:
        """Return what was observed of a backend server."""
        health = self.servers.get(server_id)
        if health is None:
            health = self.servers[server_id] = ServerHealth()
        return health

    def route(self, name: str, objective_s: float) -> RouteHealth:
        """Return what was observed of a route."""
        health = self.routes.get(name)
        if health is None:
            health = self.routes[name] = RouteHealth(objective_s)
        return health

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.limits, self.instances)
            self.budgets[service] = budget
        return budget

    def note_observed(self, server_id: str, at: float) -> None:
        """Remember to tell peers of a backend server that is slow or fails."""
        health = self.server(server_id)
        slow = health.slowness_now(at) >= NOTABLE_SLOWNESS
        if slow or health.failing_now(at) >= NOTABLE_FAILING:
            self.notable.add(server_id)

    def take_reports(self, at: float) -> tuple[ServerReport, ...]:
        """Return what peers were not told yet."""
        notable, self.notable = self.notable, set()
        return tuple(
            ServerReport(
                server_id,
                health.incarnation,
                health.slowness_now(at),
                health.failing_now(at),
            )
            for server_id in sorted(notable)
            if (health := self.servers.get(server_id)) is not None
        )

    def take_report(self, peer: str, report: ServerReport, at: float) -> None:
        """Follow what a peer observed of a backend server."""
        health = self.servers.get(report.server)
        if health is not None and health.incarnation == report.incarnation:
            health.note_told(peer, report, at)

    def share_among(self, instances: int) -> None:
        """Follow a change of the number of instances."""
        self.instances = instances
        for budget in self.budgets.values():
            budget.share_among(instances)

    def note_start(self, server_id: str, incarnation: int, cold_until: float) -> None:
        """Forget what was observed of an earlier start of a backend server."""
        health = self.server(server_id)
        if health.incarnation != incarnation:
            outstanding = health.outstanding
            health = self.servers[server_id] = ServerHealth(incarnation, outstanding)
        health.cold_until = cold_until

    def forget_server(self, server_id: str) -> None:
        """Forget a backend server that is gone."""
        self.servers.pop(server_id, None)


@dataclass(frozen=True, slots=True)
class Observation:
    """Hold what an ended attempt tells of its backend server."""

    at: float
    latency_s: float
    typical_s: float


@singledispatch
def observe(
    outcome: AttemptOutcome, server: ServerHealth, observation: Observation
) -> None:
    """Update what is known of a backend server by the outcome of an attempt."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@observe.register
def _(outcome: Completed, server: ServerHealth, observation: Observation) -> None:
    at = observation.at
    server.answered_at = at
    note_load(server, outcome.load, at)
    server.note_outcome(not outcome.succeeded, at, FAILURE_WEIGHT)
    if outcome.succeeded:
        server.note_slowness(observation.latency_s / observation.typical_s, at)


@observe.register
def _(outcome: Refused, server: ServerHealth, observation: Observation) -> None:
    server.answered_at = observation.at
    note_load(server, outcome.load, observation.at)
    server.full_until = observation.at + FULL_MEMORY_S
    server.note_outcome(True, observation.at, FAILURE_WEIGHT / 2)


@observe.register
def _(outcome: NotConnected, server: ServerHealth, observation: Observation) -> None:
    server.note_outcome(True, observation.at, UNREACHABLE_WEIGHT)


@observe.register
def _(outcome: Interrupted, server: ServerHealth, observation: Observation) -> None:
    server.note_outcome(True, observation.at, FAILURE_WEIGHT)


@observe.register
def _(outcome: TimedOut, server: ServerHealth, observation: Observation) -> None:
    server.note_outcome(True, observation.at, FAILURE_WEIGHT)
    note_abandoned(server, observation)


def note_abandoned(server: ServerHealth, observation: Observation) -> None:
    """Take the time waited in vain as a lower bound of the latency."""
    slowness = observation.latency_s / observation.typical_s
    if slowness > server.slowness_now(observation.at):
        server.note_slowness(slowness, observation.at)


def note_load(server: ServerHealth, load: Load | None, at: float) -> None:
    """Keep the load that a response told."""
    if load is not None:
        server.load = load
        server.load_at = at
        server.own_at_load = len(server.outstanding) + 1
