"""Health of all backend servers, latencies of routes and budgets of services."""

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

# An attempt is hedged after HEDGE_FACTOR times this percentile of the latency.
HEDGE_PERCENTILE = 0.9
HEDGE_FACTOR = 1.2
MIN_HEDGE_DELAY_S = 0.004
# Multiple of the median latency before which no hedge is sent, since most attempts
# end sooner.
MIN_HEDGE_MEDIAN_FACTOR = 1.5
# Hedge delay as a fraction of the latency objective, until latencies are known.
DEFAULT_HEDGE_FRACTION = 0.4
# Maximum time that a caller may spend on opening a connection, as a fraction of the
# latency objective.
MAX_CONNECT_FRACTION = 0.4
# Typical latency as a fraction of the latency objective, until latencies are known.
DEFAULT_TYPICAL_FRACTION = 0.2


@dataclass(slots=True)
class RouteHealth:
    """Observed latencies of the attempts on one route."""

    objective_s: float
    estimate: LatencyEstimate = field(
        default_factory=lambda: LatencyEstimate(HEDGE_PERCENTILE)
    )
    # Longest remaining time that a caller has sent.
    caller_timeout_s: float = 0.0

    @property
    def typical_s(self) -> float:
        """Return the typical latency of an attempt in seconds."""
        return self.estimate.median or DEFAULT_TYPICAL_FRACTION * self.objective_s

    @property
    def hedge_delay_s(self) -> float:
        """Return the delay in seconds after which an attempt is hedged."""
        high = self.estimate.high
        if high is None:
            return DEFAULT_HEDGE_FRACTION * self.objective_s
        return max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * high)

    def hedge_after_s(self, remaining_s: float) -> float:
        """Return the hedge delay when the result must arrive within `remaining_s`.

        A hedge that would probably return too late is sent somewhat earlier.
        """
        high, median = self.estimate.high, self.estimate.median
        if high is None or median is None:
            return self.hedge_delay_s
        latest_s = max(MIN_HEDGE_MEDIAN_FACTOR * median, remaining_s - high)
        return max(MIN_HEDGE_DELAY_S, min(self.hedge_delay_s, latest_s))

    def elapsed_before_receipt_s(
        self, timeout_s: float, caller_timeout_s: float | None
    ) -> float:
        """Estimate the seconds between the caller's start and the receipt of a request.

        Callers send the remaining part of a timeout that is the same for all requests
        of a route, usually the timeout of the route. A large difference indicates a
        caller with another timeout, or a retry, and is ignored.
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
    """All observations of this instance on backend servers, routes and services."""

    def __init__(self, limits: BudgetLimits) -> None:
        self.limits = limits
        self.instances = 1
        self.servers: dict[str, ServerHealth] = {}
        self.routes: dict[str, RouteHealth] = {}
        self.budgets: dict[str, RetryBudget] = {}
        # Backend servers with observations to report to peers.
        self.unreported: set[str] = set()

    def server(self, server_id: str) -> ServerHealth:
        """Return the health of a backend server."""
        health = self.servers.get(server_id)
        if health is None:
            health = self.servers[server_id] = ServerHealth()
        return health

    def route(self, name: str, objective_s: float) -> RouteHealth:
        """Return the latencies of a route."""
        health = self.routes.get(name)
        if health is None:
            health = self.routes[name] = RouteHealth(objective_s)
        return health

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.limits, self.instances)
            self.budgets[service] = budget
        return budget

    def mark_for_report(self, server_id: str, at: float) -> None:
        """Mark a backend server for the next report if it is slow, late or failing."""
        health = self.server(server_id)
        reportable = (
            health.current_latency_ratio(at) >= MIN_REPORTED_LATENCY_RATIO
            or health.current_failure_rate(at) >= MIN_REPORTED_FAILURE_RATE
            or health.current_late_rate(at) >= MIN_REPORTED_LATE_RATE
        )
        if reportable:
            self.unreported.add(server_id)

    def drain_reports(self, at: float) -> tuple[ServerReport, ...]:
        """Return and clear the reports that are due to be sent to peers."""
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
        """Store a report of a peer; reports on another incarnation are ignored."""
        health = self.servers.get(report.server)
        if health is not None and health.incarnation == report.incarnation:
            health.record_peer_report(peer, report, at)

    def set_instance_count(self, instances: int) -> None:
        """Divide the limits among a changed number of instances."""
        self.instances = instances
        for budget in self.budgets.values():
            budget.set_instance_count(instances)

    def record_incarnation(
        self, server_id: str, incarnation: int, cold_until: float
    ) -> None:
        """Reset the health of a backend server that has a new incarnation."""
        health = self.server(server_id)
        if health.incarnation != incarnation:
            outstanding = health.outstanding
            health = self.servers[server_id] = ServerHealth(incarnation, outstanding)
        health.cold_until = cold_until

    def remove_server(self, server_id: str) -> None:
        """Remove a backend server that no longer exists."""
        self.servers.pop(server_id, None)
