"""Prometheus metrics of the forwarding slice."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .attempts import AttemptOutcome
from .log_events import AttemptSent, ExtraAttemptWithheld
from .requests import Answer
from .state import RequestState

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)
COVERAGE_BUCKETS = (0.5, 0.75, 0.9, 0.95, 0.999)


class ForwardingMetrics:
    """Metrics of the forwarding slice; each label has a small set of values."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            "fireflyrack_requests_total",
            "Requests by outcome and cause.",
            ("outcome", "cause"),
            registry=registry,
        )
        self.latency = Histogram(
            "fireflyrack_request_seconds",
            "Latency of requests by outcome.",
            ("outcome",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.coverage = Histogram(
            "fireflyrack_search_coverage",
            "Share of the shards in the answers of searches.",
            buckets=COVERAGE_BUCKETS,
            registry=registry,
        )
        self.attempts = Counter(
            "fireflyrack_attempts_total",
            "Attempts at backend servers by purpose.",
            ("purpose",),
            registry=registry,
        )
        self.withheld = Counter(
            "fireflyrack_attempts_withheld_total",
            "Hedges and retries not sent, by reason.",
            ("purpose", "reason"),
            registry=registry,
        )
        self.outcomes = Counter(
            "fireflyrack_attempt_outcomes_total",
            "Ended attempts by outcome.",
            ("outcome",),
            registry=registry,
        )
        self.unsendable = Counter(
            "fireflyrack_unsendable_answers_total",
            "Answers without a valid response, which became failures.",
            registry=registry,
        )
        self.configuration_version = Gauge(
            "fireflyrack_routing_version",
            "Version of the routing table in force.",
            registry=registry,
        )
        self.loop_lag = Gauge(
            "fireflyrack_event_loop_lag_seconds",
            "How late the last timer ran.",
            registry=registry,
        )
        self.instances = Gauge(
            "fireflyrack_entry_instances",
            "Entry instances known, this one included.",
            registry=registry,
        )

    def record_request(
        self, state: RequestState, answer: Answer, latency_s: float
    ) -> None:
        """Count an answered request and the attempts sent or withheld for it."""
        outcome = type(answer).__name__
        cause = getattr(answer, "cause", None)
        self.requests.labels(outcome, cause.value if cause else "").inc()
        self.latency.labels(outcome).observe(latency_s)
        if state.search is not None:
            covered = sum(shard.result is not None for shard in state.shards)
            self.coverage.observe(covered / len(state.shards))
        for event in state.trace:
            if isinstance(event, AttemptSent):
                self.attempts.labels(event.purpose).inc()
            elif isinstance(event, ExtraAttemptWithheld):
                self.withheld.labels(event.purpose, event.reason).inc()

    def record_attempt(self, outcome: AttemptOutcome) -> None:
        """Count an ended attempt by outcome."""
        self.outcomes.labels(type(outcome).__name__).inc()
