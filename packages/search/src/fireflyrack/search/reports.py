"""Newest reports of all backend servers that an instance knows of."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from fireflyrack.configuration import Service
from fireflyrack.core import EMPTY, ShardSet

from .observations import ReportReceived, ServiceState, observe
from .replicas import Candidate
from .snapshots import Report, ServingState, Snapshot, choose_snapshot

# Snapshots that are remembered after the last backend server dropped them, so that
# a page of one is refused as gone and not as unknown.
MAX_DROPPED_SNAPSHOTS = 8192


@dataclass(slots=True)
class ServiceView:
    """Hold what the reports say of a service until one of them changes."""

    service: Service
    snapshot: Snapshot | None
    candidates: dict[Snapshot, tuple[Candidate, ...]] = field(default_factory=dict)


@dataclass(slots=True)
class ReportTable:
    """Hold the newest report of each backend server.

    Call `put` for each report; `snapshot_for` and `candidates_for` read it. Each
    function in `listeners` is called with each report that differs.
    """

    reports: dict[str, Report] = field(default_factory=dict)
    listeners: list[Callable[[Report], None]] = field(default_factory=list)
    views: dict[str, ServiceView] = field(default_factory=dict)
    # Snapshots seen in reports, by backend server, oldest first.
    dropped_snapshots: dict[tuple[str, Snapshot], None] = field(default_factory=dict)

    def put(self, report: Report) -> bool:
        """Keep a report; return whether it differs from the one before."""
        if self.reports.get(report.backend_server) == report:
            return False
        old = self.reports.get(report.backend_server)
        if old:
            self.record_dropped(report.backend_server, old.snapshots, report.snapshots)
        self.reports[report.backend_server] = report
        # Reports rarely change compared with searches, so all views start again.
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
        """Remember the snapshots that a backend server has dropped."""
        for snapshot in old.keys() - new.keys():
            self.dropped_snapshots[backend_server, snapshot] = None
            if len(self.dropped_snapshots) > MAX_DROPPED_SNAPSHOTS:
                del self.dropped_snapshots[next(iter(self.dropped_snapshots))]

    def reports_for(self, service: Service) -> Iterable[Report]:
        """Return the reports of a service's backend servers."""
        known = (self.reports.get(name) for name in service.backend_servers)
        return [report for report in known if report]

    def view(self, service: Service) -> ServiceView:
        """Return what the reports say of a service."""
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
        """Return the backend servers that hold shards of a snapshot."""
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
    """Return what a backend server may search of a snapshot by its report."""
    serving = report.state is ServingState.SERVING
    shards = report.snapshots.get(snapshot, EMPTY) if serving else EMPTY
    return Candidate(report.backend_server, shards)


def observe_report(service: ServiceState, report: Report, at: float) -> None:
    """Update the observations of a service by a report."""
    draining = report.state is ServingState.DRAINING
    observe(
        ReportReceived(at, report.backend_server, draining, report.queue_full), service
    )
