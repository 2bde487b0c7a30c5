"""Prometheus metrics of the availability slice."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Gauge

from .servers import AvailabilityTable


def register_metrics(registry: CollectorRegistry, table: AvailabilityTable) -> None:
    """Register a gauge of the backend servers that name a rate limit."""
    gauge = Gauge(
        "fireflyrack_rate_limited_servers",
        "Backend servers that name a rate limit.",
        registry=registry,
    )
    gauge.set_function(lambda: table.rate_limited)
