"""Forwarding of requests and searches to backend servers."""

from __future__ import annotations

from .attempts import (
    Attempt,
    AttemptOutcome,
    BackendTransport,
    Completed,
    Interrupted,
    NotConnected,
    Refusal,
    Refused,
    TimedOut,
)
from .budget import BudgetLimits, RetryBudget
from .choice import SelectionContext, connection_limit
from .crashes import (
    Admitted,
    ClearedReport,
    CrashReport,
    CrashTracker,
    PeerUpdate,
    Quarantined,
    apply_report,
)
from .fleet import FleetHealth
from .metrics import ForwardingMetrics
from .reports import ServerReport
from .requests import (
    Answer,
    CallerRequest,
    Cause,
    Headers,
    Merged,
    NoRoute,
    NotRun,
    Relayed,
    Unknown,
)
from .runner import ClusterView, RequestRunner
from .state import ForwardingContext
from .suspects import Assessment, AttemptTimes, Crash

__all__ = [
    "Admitted",
    "Answer",
    "Assessment",
    "Attempt",
    "AttemptOutcome",
    "AttemptTimes",
    "BackendTransport",
    "BudgetLimits",
    "CallerRequest",
    "Cause",
    "ClearedReport",
    "ClusterView",
    "Completed",
    "Crash",
    "CrashReport",
    "CrashTracker",
    "FleetHealth",
    "ForwardingContext",
    "ForwardingMetrics",
    "Headers",
    "Interrupted",
    "Merged",
    "NoRoute",
    "NotConnected",
    "NotRun",
    "PeerUpdate",
    "Quarantined",
    "Refusal",
    "Refused",
    "Relayed",
    "RequestRunner",
    "RetryBudget",
    "SelectionContext",
    "ServerReport",
    "TimedOut",
    "Unknown",
    "apply_report",
    "connection_limit",
]
