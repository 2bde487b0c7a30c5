"""Routes by host and path prefix, weighted splits, and the active routing table."""

from __future__ import annotations

from .routes import (
    CallerLimits,
    Route,
    SearchTarget,
    Service,
    ServiceTarget,
    SplitTarget,
    Target,
    WeightedService,
    services_of,
)
from .splits import SplitState, select_shards
from .table import ActiveRoutingTable, RoutingTable, TableAdopted, TableIgnored

__all__ = [
    "ActiveRoutingTable",
    "CallerLimits",
    "Route",
    "RoutingTable",
    "SearchTarget",
    "Service",
    "ServiceTarget",
    "SplitState",
    "SplitTarget",
    "TableAdopted",
    "TableIgnored",
    "Target",
    "WeightedService",
    "select_shards",
    "services_of",
]
