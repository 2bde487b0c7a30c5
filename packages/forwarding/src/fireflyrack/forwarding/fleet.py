"""What an instance has observed of all backend servers, services and routes."""

from __future__ import annotations

from dataclasses import dataclass, field

from fireflyrack.core import LatencyEstimate

from .budget import BudgetLimits, RetryBudget
from .health import ServerHealth
from .reports import (
    MIN_REPORTED_FAILURE_RATE,
    MIN_REPORTED_LATE_RATE,
    MIN_REPORTED_LATENCY_RATIO,
    ServerReport,
)

# Percentiles of the latency of attempts.
HEDGE_PERCENTILE = 0.9
HEDGE_FACTOR = 1.2
MIN_HEDGE_DELAY_S = 0.004
# No hedge is sent before this multiple of the median; most attempts end sooner.
MIN_HEDGE_MEDIAN_FACTOR = 1.5
# Part of the latency objective after which hedges are sent until latencies are known.
DEFAULT_HEDGE_FRACTION = 0.4
# Part of the latency objective that opening a connection may take from a caller.
MAX_CONNECT_FRACTION = 0.4
# Part of the latency objective that is the usual latency until it is known.
DEFAULT_TYPICAL_FRACTION = 0.2


@dataclass(slots=True)
class RouteHealth:
    """Hold the latencies of the attempts of one route."""

    objective_s: float
    estimate: LatencyEstimate = field(
        default_factory=lambda: LatencyEstimate(HEDGE_PERCENTILE)
    )
    # Longest time that a caller said it waits.
    caller_timeout_s: float = 0.0

    @property
    def typical_s(self) -> float:
        """Return the usual latency of an attempt in seconds."""
        return self.estimate.median or DEFAULT_TYPICAL_FRACTION * self.objective_s

    @property
    def hedge_delay_s(self) -> float:
        """Return after which time an attempt is hedged, in seconds."""
        high = self.estimate.high
        if high is None:
            return DEFAULT_HEDGE_FRACTION * self.objective_s
        return max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * high)

    def hedge_after_s(self, remaining_s: float) -> float:
        """Return after which time an attempt is hedged whose result is of use so long.

        A hedge that could hardly return in time is sent a little sooner instead.
        """
        high, median = self.estimate.high, self.estimate.median
        if high is None or median is None:
            return self.hedge_delay_s
        latest_s = max(MIN_HEDGE_MEDIAN_FACTOR * median, remaining_s - high)
        return max(MIN_HEDGE_DELAY_S, min(self.hedge_delay_s, latest_s))

    def elapsed_before_receipt_s(
        self, timeout_s: float, caller_timeout_s: float | None
    ) -> float:
        """Return the time that a caller had spent before its request was read.

        Callers tell what is left of a time that is the same for all requests of a
        route, most often its timeout. A great difference means another caller or an
        earlier attempt, which says nothing about the way here.
        """
        if caller_timeout_s is None:
            return 0.0
        self.caller_timeout_s = max(self.caller_timeout_s, caller_timeout_s)
        for total_s in (timeout_s, self.caller_timeout_s):
            if (
                0
                <= total_s - caller_timeout_s
                <= MAX_CONNECT_FRACTION * self.objective_s
            ):
                return total_s - caller_timeout_s
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
        self.unreported: set[str] = set()

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

    def mark_for_report(self, server_id: str, at: float) -> None:
        """Remember to tell peers of a backend server that is slow, late or fails."""
        health = self.server(server_id)
        reportable = (
            health.current_latency_ratio(at) >= MIN_REPORTED_LATENCY_RATIO
            or health.current_failure_rate(at) >= MIN_REPORTED_FAILURE_RATE
            or health.current_late_rate(at) >= MIN_REPORTED_LATE_RATE
        )
        if reportable:
            self.unreported.add(server_id)

    def drain_reports(self, at: float) -> tuple[ServerReport, ...]:
        """Return what peers were not told yet."""
        reportable, self.unreported = self.unreported, set()
        return tuple(
            ServerReport(
                server_id,
                health.incarnation,
                health.current_latency_ratio(at),
                health.current_failure_rate(at),
                health.current_late_rate(at),
            )
            for server_id in sorted(reportable)
            if (health := self.servers.get(server_id)) is not None
        )

    def apply_report(self, peer: str, report: ServerReport, at: float) -> None:
        """Follow what a peer observed of a backend server."""
        health = self.servers.get(report.server)
        if health is not None and health.incarnation == report.incarnation:
            health.record_peer_report(peer, report, at)

    def set_instance_count(self, instances: int) -> None:
        """Follow a change of the number of instances."""
        self.instances = instances
        for budget in self.budgets.values():
            budget.set_instance_count(instances)

    def record_incarnation(
        self, server_id: str, incarnation: int, cold_until: float
    ) -> None:
        """Forget what was observed of an earlier start of a backend server."""
        health = self.server(server_id)
        if health.incarnation != incarnation:
            outstanding = health.outstanding
            health = self.servers[server_id] = ServerHealth(incarnation, outstanding)
        health.cold_until = cold_until

    def remove_server(self, server_id: str) -> None:
        """Forget a backend server that is gone."""
        self.servers.pop(server_id, None)
