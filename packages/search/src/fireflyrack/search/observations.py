"""Load, latency and health of the backend servers of a service, as observed."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.core import LatencyEstimate

from .budgets import FailureAllowance, RetryBudget
from .errors import FailureKind
from .settings import SearchSettings
from .snapshots import Snapshot

# Weight of the newest latency in a backend server's average.
LATENCY_WEIGHT = 0.2
# Half-life of the excess of a slow average. It decays so that a backend server that
# is no longer chosen is eventually tried again.
LATENCY_HALF_LIFE_S = 10.0
# This many in-flight sub-requests cost as much as a doubled latency.
IN_FLIGHT_COST_UNIT = 2
# Cost added while a backend server sheds load or reports a full queue.
SHED_COST = 4.0
# A refusal by a draining backend server counts for this time without a report that
# confirms it, since a short drain may never be reported.
DRAIN_REFUSAL_TTL_S = 5.0
# After a backend server turned out not to hold a reported snapshot, it gets no
# ordinary work on it for this time.
MISSING_SNAPSHOT_TTL_S = 2.0
# Multiple of the hedge percentile after which a sub-request is late. A sub-request
# that is late at the deadline counts as a failure of its backend server.
LATE_FACTOR = 4
# First fraction of a ramp; with less, a cold backend server warms up too slowly.
MIN_RAMP_FRACTION = 0.1
# Weight of one outcome in the moving average of refusals: four refusals in a row
# count as overload at the default `overload_share`.
REFUSAL_WEIGHT = 1 / 32


@dataclass(slots=True)
class ServerHealth:
    """Observed health of one backend server; updated in place."""

    in_flight: int = 0
    latency_s: float = 0.0
    latency_at: float = -math.inf
    failures: int = 0
    shed_at: float = -math.inf
    queue_full: bool = False
    draining: bool = False
    drain_refusal_at: float = -math.inf
    missing_snapshot: Snapshot | None = None
    missing_snapshot_at: float = -math.inf
    # Ejections and failed probes since the last success; 0 if not ejected.
    ejections: int = 0
    probe_at: float = 0.0
    probing: bool = False
    ramp_started_at: float = -math.inf


@dataclass(slots=True)
class ServiceState:
    """Observed state of one service on this instance; updated in place."""

    settings: SearchSettings = field(default_factory=SearchSettings)
    budget: RetryBudget | None = None
    allowance: FailureAllowance | None = None
    latency: LatencyEstimate | None = None
    servers: dict[str, ServerHealth] = field(default_factory=dict)
    # Moving average of the share of refused sub-requests.
    refused_share: float = 0.0
    refused_at: float = -math.inf
    first_report_at: float | None = None
    ejected: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Create default budgets and latency estimates where none were passed."""
        self.budget = self.budget or RetryBudget(self.settings)
        self.allowance = self.allowance or FailureAllowance(self.settings)
        self.latency = self.latency or LatencyEstimate(
            self.settings.hedge_percentile, 1 - self.settings.budget_share
        )

    def server(self, name: str) -> ServerHealth:
        """Return the health of a backend server, creating it on first use."""
        state = self.servers.get(name)
        if state is None:
            state = self.servers[name] = ServerHealth()
        return state


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A sub-request was sent."""

    at: float
    backend_server: str


@dataclass(frozen=True, slots=True)
class ReplyReceived:
    """A usable reply arrived."""

    at: float
    backend_server: str
    latency_s: float


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """A sub-request was refused or failed without a fault of the server."""

    at: float
    backend_server: str
    kind: FailureKind


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A sub-request failed or its reply was unusable."""

    at: float
    backend_server: str


@dataclass(frozen=True, slots=True)
class SnapshotMissing:
    """A backend server replied from another snapshot than the requested one."""

    at: float
    backend_server: str
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """A reply is no longer awaited; its latency exceeds `waited_s`."""

    at: float
    backend_server: str
    waited_s: float
    timed_out: bool


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A backend server reported its own state."""

    at: float
    backend_server: str
    draining: bool
    queue_full: bool


@singledispatch
def observe(event: object, service: ServiceState) -> None:
    """Update the state of a service with one observation."""
    raise TypeError(f"unsupported observation type: {type(event).__name__}")


@observe.register
def _(event: RequestSent, service: ServiceState) -> None:
    server = service.server(event.backend_server)
    server.in_flight += 1
    if server.ejections:
        server.probing = True


@observe.register
def _(event: ReplyReceived, service: ServiceState) -> None:
    server = record_end(service, event.backend_server)
    record_latency(service, server, event.latency_s, event.at)
    server.failures = 0
    if server.ejections:
        service.ejected.discard(event.backend_server)
        server.ejections = 0
        server.ramp_started_at = event.at


@observe.register
def _(event: RequestRefused, service: ServiceState) -> None:
    server = record_end(service, event.backend_server)
    if event.kind is FailureKind.SHED:
        service.refused_share += REFUSAL_WEIGHT
        service.refused_at = event.at
        server.shed_at = event.at
    elif event.kind is FailureKind.DRAINING:
        server.drain_refusal_at = event.at


@observe.register
def _(event: RequestFailed, service: ServiceState) -> None:
    server = record_end(service, event.backend_server)
    record_failure(service, event.backend_server, server, event.at)


@observe.register
def _(event: SnapshotMissing, service: ServiceState) -> None:
    server = record_end(service, event.backend_server)
    server.missing_snapshot = event.snapshot
    server.missing_snapshot_at = event.at


@observe.register
def _(event: RequestAbandoned, service: ServiceState) -> None:
    server = record_end(service, event.backend_server)
    if event.waited_s > decayed_latency(service, server, event.at):
        # The wait is a lower bound of the latency. Without it, a slow server whose
        # replies lose to hedges would look fast.
        record_latency(service, server, event.waited_s, event.at)
    high = service.latency.high
    # A timeout caused by a caller's short deadline is no fault of the server.
    server_late = event.timed_out and high and event.waited_s > LATE_FACTOR * high
    if server_late and not overloaded(service, event.at):
        record_failure(service, event.backend_server, server, event.at)


@observe.register
def _(event: ReportReceived, service: ServiceState) -> None:
    if service.first_report_at is None:
        service.first_report_at = event.at
    known = event.backend_server in service.servers
    server = service.server(event.backend_server)
    # A starting process has seen no backend server before, so new ones are not cold.
    starting = event.at < service.first_report_at + service.settings.ramp_s
    drain_ended = server.draining and not event.draining
    if drain_ended or not (known or starting):
        server.ramp_started_at = event.at
    server.draining = event.draining
    server.queue_full = event.queue_full


def record_end(service: ServiceState, name: str) -> ServerHealth:
    """Record the end of a sub-request; return the health of its backend server."""
    server = service.server(name)
    server.in_flight = max(0, server.in_flight - 1)
    server.probing = False
    service.refused_share -= REFUSAL_WEIGHT * service.refused_share
    return server


def record_latency(
    service: ServiceState, server: ServerHealth, latency_s: float, at: float
) -> None:
    """Add a latency in seconds to the statistics of a server and its service."""
    service.latency.record(latency_s)
    if server.latency_at == -math.inf:
        server.latency_s = latency_s
    else:
        decayed_s = decayed_latency(service, server, at)
        server.latency_s = decayed_s + LATENCY_WEIGHT * (latency_s - decayed_s)
    server.latency_at = at


def record_failure(
    service: ServiceState, name: str, server: ServerHealth, at: float
) -> None:
    """Record a failure; eject the backend server after too many in a row."""
    settings = service.settings
    server.failures += 1
    if not server.ejections:
        limit = max(1, int(settings.max_ejected_share * len(service.servers)))
        below_limit = len(service.ejected) < limit < len(service.servers)
        if server.failures < settings.eject_failures or not below_limit:
            return
        service.ejected.add(name)
    elif at < server.probe_at:
        # The sub-request was sent before the ejection, so it is not a failed probe.
        return
    ejection_s = min(settings.eject_s * 2**server.ejections, settings.eject_max_s)
    server.ejections += 1
    server.probe_at = at + ejection_s


def overloaded(service: ServiceState, at: float) -> bool:
    """Return whether recent refusals forbid hedges and retries for a service."""
    settings = service.settings
    recent = at < service.refused_at + settings.shed_memory_s
    return recent and service.refused_share >= settings.overload_share


def is_shedding(server: ServerHealth, at: float, settings: SearchSettings) -> bool:
    """Return whether a server shed load recently or reports a full queue."""
    return server.queue_full or at < server.shed_at + settings.shed_memory_s


def is_draining(server: ServerHealth, at: float) -> bool:
    """Return whether a server drains according to its report or a refusal."""
    return server.draining or at < server.drain_refusal_at + DRAIN_REFUSAL_TTL_S


def is_available(
    server: ServerHealth, snapshot: Snapshot, at: float, sample: float, ramp_s: float
) -> bool:
    """Return whether a backend server may get ordinary work on a snapshot.

    An ejected server gets one probe at a time. A cold one gets a growing fraction of
    the work: `sample` is a random number from 0 to 1.
    """
    if (
        server.missing_snapshot == snapshot
        and at < server.missing_snapshot_at + MISSING_SNAPSHOT_TTL_S
    ):
        return False
    if server.ejections:
        return at >= server.probe_at and not server.probing
    ramp_progress = (at - server.ramp_started_at) / ramp_s
    return sample < max(MIN_RAMP_FRACTION, ramp_progress)


def excess_latency(service: ServiceState, server: ServerHealth, at: float) -> float:
    """Return the decayed excess latency of a server as a multiple of the median."""
    median = service.latency.median
    if not median or server.latency_s <= median:
        return 0.0
    age = at - server.latency_at
    excess = server.latency_s / median - 1
    return excess * 0.5 ** (age / LATENCY_HALF_LIFE_S)


def decayed_latency(service: ServiceState, server: ServerHealth, at: float) -> float:
    """Return the average latency in seconds with its decayed excess."""
    excess = excess_latency(service, server, at)
    return service.latency.median * (1 + excess) if excess else server.latency_s


def cost(service: ServiceState, server: ServerHealth, at: float) -> float:
    """Return the expected cost of one more sub-request relative to an idle server."""
    total = server.in_flight / IN_FLIGHT_COST_UNIT + excess_latency(service, server, at)
    if is_shedding(server, at, service.settings):
        total += SHED_COST
    return total
