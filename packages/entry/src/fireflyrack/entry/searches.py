"""Searches of callers, from a validated request to a signed answer."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from dataclasses import asdict, replace

from fireflyrack.configuration import Service, compute_signature
from fireflyrack.core import Failed, Ok, Outcome
from fireflyrack.requests import Allowed, Isolated, search_fingerprint
from fireflyrack.search import (
    Candidate,
    CandidateChanged,
    CompletedSearches,
    EvidenceModel,
    Finish,
    Query,
    Report,
    ReportTable,
    RetryBudget,
    SearchAnswerModel,
    SearchRequestModel,
    SearchRunner,
    ServiceState,
    Snapshot,
    canaries_for,
    candidate_of,
    coverage_model,
    decisions_model,
    hit_model,
    observe_report,
)

from .dispatch import SubRequestDispatcher
from .errors import ApiError, not_ready, unknown_service
from .metrics import Metrics
from .quarantine import Quarantine
from .replica import ConfigurationReplica
from .search_guard import search_refusal, trial_candidates
from .settings import AuditKeySettings, EntrySettings


class SearchService:
    """Run the searches of callers; call `search` for each."""

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        replica: ConfigurationReplica,
        reports: ReportTable,
        dispatcher: SubRequestDispatcher,
        quarantine: Quarantine,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.replica = replica
        self.reports = reports
        self.dispatcher = dispatcher
        self.quarantine = quarantine
        self.metrics = metrics
        self.rng = random.Random(secrets.randbits(64))
        # One budget for all services, since the limit applies to the whole fleet.
        self.budget = RetryBudget(settings.search)
        self.services: dict[str, ServiceState] = {}
        self.running: dict[str, SearchRunner] = {}
        self.completed_searches = CompletedSearches()
        reports.listeners.append(self.handle_report)

    async def search(
        self, name: str, request: SearchRequestModel
    ) -> Outcome[SearchAnswerModel, ApiError]:
        """Run a search and return its results with signed evidence."""
        state = self.replica.machine.state
        if not state.confirmed:
            return Failed(not_ready())
        service = state.configuration.services.get(name)
        if service is None:
            return Failed(unknown_service(name))
        match self.make_query(service, request):
            case Failed() as failed:
                self.metrics.searches.labels(name, failed.error.kind).inc()
                return failed
            case Ok(query):
                pass
        candidates = self.reports.candidates_for(service, query.snapshot)
        started = time.perf_counter()
        fingerprint = search_fingerprint(name, request.query)
        canaries = canaries_for(fingerprint, service.backend_servers)
        verdict = self.quarantine.check(fingerprint)
        if isinstance(verdict, Isolated):
            trial = trial_candidates(verdict, canaries, candidates)
            if trial:
                await self.run(query, trial, service, track_candidates=False)
            verdict = self.quarantine.check(fingerprint)
        if not isinstance(verdict, Allowed):
            error = search_refusal(verdict)
            self.metrics.searches.labels(name, error.kind).inc()
            return Failed(error)
        if not self.completed_searches.has_completed(fingerprint):
            query = replace(query, canaries=canaries)
        finish = await self.run(query, candidates, service)
        if finish.coverage.complete():
            self.completed_searches.add(fingerprint)
        self.record_metrics(name, finish, time.perf_counter() - started)
        return Ok(self.answer(query, request, finish))

    async def run(
        self,
        query: Query,
        candidates: tuple[Candidate, ...],
        service: Service,
        track_candidates: bool = True,
    ) -> Finish:
        """Run a search; `track_candidates` applies later changes of the candidates."""
        runner = SearchRunner(
            query, candidates, self.dispatcher, self.rng, self.service_state(service)
        )
        if track_candidates:
            self.running[query.id] = runner
        try:
            return await runner.run()
        finally:
            self.running.pop(query.id, None)

    def service_state(self, service: Service) -> ServiceState:
        """Return the observations of a service, initially from the stored reports."""
        state = self.services.get(service.name)
        if state is None:
            state = ServiceState(self.settings.search, self.budget)
            self.services[service.name] = state
            at = asyncio.get_running_loop().time()
            for report in self.reports.reports_for(service):
                observe_report(state, report, at)
        return state

    def handle_report(self, report: Report) -> None:
        """Apply a new report to the observations and the searches in flight."""
        at = asyncio.get_running_loop().time()
        services = self.replica.machine.state.configuration.services
        for name, state in self.services.items():
            service = services.get(name)
            if service and report.backend_server in service.backend_servers:
                observe_report(state, report, at)
        for runner in tuple(self.running.values()):
            service = services.get(runner.query.service)
            if service and report.backend_server in service.backend_servers:
                candidate = candidate_of(report, runner.query.snapshot)
                runner.machine.feed(CandidateChanged(at, candidate))

    def make_query(
        self, service: Service, request: SearchRequestModel
    ) -> Outcome[Query, ApiError]:
        """Pin a search to a snapshot and a deadline."""
        deadline_ms = request.deadline_ms or service.policy.default_deadline_ms
        limit = self.settings.callers.max_deadline_ms
        if deadline_ms > limit:
            message = f"deadline_ms {deadline_ms} exceeds the limit of {limit}"
            return Failed(ApiError("impossible_deadline", 400, message))
        match self.select_snapshot(service, request):
            case Failed() as failed:
                return failed
            case Ok(snapshot):
                partition = service.partition(snapshot.generation)
        return Ok(
            Query(
                id=secrets.token_hex(16),
                service=service.name,
                text=request.query,
                limit=request.offset + request.k,
                snapshot=snapshot,
                partition=partition,
                deadline_at=asyncio.get_running_loop().time() + deadline_ms / 1000,
                policy=service.policy,
            )
        )

    def select_snapshot(
        self, service: Service, request: SearchRequestModel
    ) -> Outcome[Snapshot, ApiError]:
        """Return the requested snapshot or, for a first page, the current one."""
        if request.snapshot is None:
            snapshot = self.reports.snapshot_for(service)
        else:
            snapshot = Snapshot.parse(request.snapshot)
        if snapshot and service.partition(snapshot.generation):
            if request.snapshot is None:
                return Ok(snapshot)
            if self.reports.candidates_for(service, snapshot):
                return Ok(snapshot)
        if snapshot and self.reports.was_ever_reported(service, snapshot):
            message = f"service {service.name} no longer serves snapshot {snapshot}"
            return Failed(ApiError("snapshot_gone", 410, message))
        message = f"no backend server of {service.name} serves a matching snapshot"
        return Failed(ApiError("no_snapshot", 503, message))

    def answer(
        self, query: Query, request: SearchRequestModel, finish: Finish
    ) -> SearchAnswerModel:
        """Return the wire model of an answer with signed evidence."""
        configuration = self.replica.machine.state.configuration
        coverage = coverage_model(query.snapshot, finish.coverage)
        evidence = EvidenceModel(
            request=query.id,
            instance=self.settings.instance.id,
            incarnation=self.incarnation,
            time=time.time(),
            service=query.service,
            configuration_version=configuration.version,
            configuration_digest=configuration.digest,
            snapshot=str(query.snapshot),
            coverage=coverage,
            decisions=decisions_model(query, finish),
        )
        return SearchAnswerModel(
            results=tuple(hit_model(hit) for hit in finish.hits[request.offset :]),
            snapshot=str(query.snapshot),
            coverage=coverage,
            evidence=sign(evidence, self.settings.callers.audit_keys[0]),
        )

    def record_metrics(self, service: str, finish: Finish, seconds: float) -> None:
        """Update the metrics for a finished search."""
        outcome = "complete" if finish.coverage.complete() else "partial"
        self.metrics.searches.labels(service, outcome).inc()
        self.metrics.search_seconds.labels(service).observe(seconds)
        for kind, number in asdict(finish.counts).items():
            self.metrics.sub_requests.labels(service, kind).inc(number)


def sign(evidence: EvidenceModel, key: AuditKeySettings) -> EvidenceModel:
    """Return the evidence with the id of the key and the signature."""
    named = evidence.model_copy(update={"key_id": key.id})
    signature = compute_signature(named.model_dump(mode="json"), key.key)
    return named.model_copy(update={"signature": signature})
