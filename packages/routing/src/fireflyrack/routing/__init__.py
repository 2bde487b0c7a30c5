"""Routes by host and prefix, splits, and the configuration version in force."""

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
from .splits import SplitState, shards_of
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
    "services_of",
    "shards_of",
]
