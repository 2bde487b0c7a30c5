"""Table of the newest reports of backend servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from fireflyrack.configuration import Service
from fireflyrack.core import EMPTY, ShardSet

from .observations import ReportReceived, ServiceState, observe
from .replicas import Candidate
from .snapshots import Report, ServingState, Snapshot, choose_snapshot

# Dropped snapshots that are kept, so that a request for a page of one is rejected as
# gone and not as unknown.
MAX_DROPPED_SNAPSHOTS = 8192


@dataclass(slots=True)
class ServiceView:
    """Values derived from the reports on a service, cached until one changes."""

    service: Service
    snapshot: Snapshot | None
    candidates: dict[Snapshot, tuple[Candidate, ...]] = field(default_factory=dict)


@dataclass(slots=True)
class ReportTable:
    """Newest report of each backend server.

    `put` stores a report; `snapshot_for` and `candidates_for` query the table. All
    `listeners` are called with each report that differs from the previous one.
    """

    reports: dict[str, Report] = field(default_factory=dict)
    listeners: list[Callable[[Report], None]] = field(default_factory=list)
    views: dict[str, ServiceView] = field(default_factory=dict)
    # Backend servers and the snapshots that they dropped, oldest first.
    dropped_snapshots: dict[tuple[str, Snapshot], None] = field(default_factory=dict)

    def put(self, report: Report) -> bool:
        """Store a report; return whether it differs from the previous one."""
        if self.reports.get(report.backend_server) == report:
            return False
        old = self.reports.get(report.backend_server)
        if old:
            self.record_dropped(report.backend_server, old.snapshots, report.snapshots)
        self.reports[report.backend_server] = report
        # Changed reports are rare compared with searches, so clear all cached views.
        self.views.clear()
        for listener in self.listeners:
            listener(report)
        return True

    def record_dropped(
        self,
        backend_server: str,
        old: Mapping[Snapshot, ShardSet],
        new: Mapping[Snapshot, ShardSet],
    ) -> None:
        """Record the snapshots that a backend server no longer holds."""
        for snapshot in old.keys() - new.keys():
            self.dropped_snapshots[backend_server, snapshot] = None
            if len(self.dropped_snapshots) > MAX_DROPPED_SNAPSHOTS:
                del self.dropped_snapshots[next(iter(self.dropped_snapshots))]

    def reports_for(self, service: Service) -> Iterable[Report]:
        """Return the reports of the backend servers of a service."""
        known = (self.reports.get(name) for name in service.backend_servers)
        return [report for report in known if report]

    def view(self, service: Service) -> ServiceView:
        """Return the cached view of a service, rebuilt after a change."""
        view = self.views.get(service.name)
        if view is None or view.service is not service:
            shards_of = {p.generation: p.shards for p in service.partitions}
            snapshot = choose_snapshot(self.reports_for(service), shards_of)
            view = self.views[service.name] = ServiceView(service, snapshot)
        return view

    def snapshot_for(self, service: Service) -> Snapshot | None:
        """Return the snapshot that a new search of a service should use."""
        return self.view(service).snapshot

    def candidates_for(
        self, service: Service, snapshot: Snapshot
    ) -> tuple[Candidate, ...]:
        """Return the serving backend servers that hold shards of a snapshot."""
        view = self.view(service)
        found = view.candidates.get(snapshot)
        if found is None:
            found = tuple(
                candidate_of(report, snapshot)
                for report in self.reports_for(service)
                if snapshot in report.snapshots and report.state is ServingState.SERVING
            )
            if found:
                view.candidates[snapshot] = found
        return found

    def was_ever_reported(self, service: Service, snapshot: Snapshot) -> bool:
        """Return whether a backend server of a service holds or held a snapshot."""
        return any(
            (name, snapshot) in self.dropped_snapshots
            for name in service.backend_servers
        ) or any(snapshot in report.snapshots for report in self.reports_for(service))


def candidate_of(report: Report, snapshot: Snapshot) -> Candidate:
    """Return the shards of a snapshot that a reporting server can search."""
    serving = report.state is ServingState.SERVING
    shards = report.snapshots.get(snapshot, EMPTY) if serving else EMPTY
    return Candidate(report.backend_server, shards)


def observe_report(service: ServiceState, report: Report, at: float) -> None:
    """Update the observed state of a service with a report."""
    draining = report.state is ServingState.DRAINING
    observe(
        ReportReceived(at, report.backend_server, draining, report.queue_full), service
    )
