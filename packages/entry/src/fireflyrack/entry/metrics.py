"""Prometheus metrics of an entry instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.34,
    0.5,
    1,
    2.5,
    5,
)


class Metrics:
    """Metrics of one instance, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.searches = Counter(
            "fireflyrack_searches_total",
            "Searches by service and outcome.",
            ("service", "outcome"),
            registry=self.registry,
        )
        self.search_seconds = Histogram(
            "fireflyrack_search_seconds",
            "Latency of searches.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.sub_requests = Counter(
            "fireflyrack_sub_requests_total",
            "Decisions on sub-requests by kind.",
            ("service", "kind"),
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "fireflyrack_configuration_version",
            "Configuration version in force.",
            registry=self.registry,
        )
        self.members = Gauge(
            "fireflyrack_members",
            "Entry instances known.",
            registry=self.registry,
        )
        self.owned_servers = Gauge(
            "fireflyrack_owned_backend_servers",
            "Backend servers owned by this instance.",
            registry=self.registry,
        )
        self.refused_offers = Gauge(
            "fireflyrack_configuration_offers_refused",
            "Configurations not taken: of a lower version, or of another digest.",
            ("source", "problem"),
            registry=self.registry,
        )
        self.store_calls = Gauge(
            "fireflyrack_store_calls",
            "Calls to the platform's store by kind.",
            ("kind",),
            registry=self.registry,
        )
