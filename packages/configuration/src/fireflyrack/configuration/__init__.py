"""Intents, plans, confirmation, replication and audit of the configuration."""

from __future__ import annotations

from .confirmation import HEAD_KEY, Confirmations
from .documents import (
    BackendServer,
    BelowMinimum,
    Configuration,
    Partition,
    Placement,
    Policy,
    Service,
)
from .errors import (
    ConfirmationError,
    ConfirmationUnavailable,
    ConfirmationUnknown,
    PlanConflict,
    PlanRejected,
    StoreFailure,
    StoreFailureKind,
)
from .messages import (
    BundleModel,
    ConfirmationModel,
    HeadModel,
    PlanModel,
    PlanRequestModel,
    ServiceModel,
    digest_of,
)
from .plans import Deployed, make_plan
from .replication import (
    ConfigurationChanged,
    ConfigurationOffered,
    ReplicaState,
    decide,
)
from .settings import StoreSettings
from .store import REVISION_HEADER, Entry, StoreClient

__all__ = [
    "HEAD_KEY",
    "REVISION_HEADER",
    "BackendServer",
    "BelowMinimum",
    "BundleModel",
    "Configuration",
    "ConfigurationChanged",
    "ConfigurationOffered",
    "ConfirmationError",
    "ConfirmationModel",
    "ConfirmationUnavailable",
    "ConfirmationUnknown",
    "Confirmations",
    "Deployed",
    "Entry",
    "HeadModel",
    "Partition",
    "Placement",
    "PlanConflict",
    "PlanModel",
    "PlanRejected",
    "PlanRequestModel",
    "Policy",
    "ReplicaState",
    "Service",
    "ServiceModel",
    "StoreClient",
    "StoreFailure",
    "StoreFailureKind",
    "StoreSettings",
    "decide",
    "digest_of",
    "make_plan",
]
