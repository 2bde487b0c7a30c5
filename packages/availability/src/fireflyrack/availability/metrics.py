"""Prometheus metrics of the availability slice."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Gauge

from .table import AvailabilityTable, Obstacle


def register_metrics(registry: CollectorRegistry, table: AvailabilityTable) -> None:
    """Register a gauge of the backend servers that restrict their requests."""
    gauge = Gauge(
        "fireflyrack_restricted_servers",
        "Backend servers that have stated a restriction, by its kind.",
        ("restriction",),
        registry=registry,
    )
    for obstacle in Obstacle:
        gauge.labels(obstacle.value).set_function(
            lambda obstacle=obstacle: table.count(obstacle)
        )
