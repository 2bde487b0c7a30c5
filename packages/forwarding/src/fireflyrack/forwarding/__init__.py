"""Forwarding of requests and searches to backend servers."""

from __future__ import annotations

from .attempts import (
    Attempt,
    AttemptOutcome,
    BackendTransport,
    Completed,
    Interrupted,
    Load,
    NotConnected,
    Refusal,
    Refused,
    TimedOut,
)
from .budget import BudgetLimits, RetryBudget
from .choice import Chooser, connection_share
from .crashes import (
    ClearedReport,
    Crash,
    CrashBook,
    CrashReport,
    News,
    take_report,
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
from .runner import Beliefs, RequestRunner
from .state import Surroundings

__all__ = [
    "Answer",
    "Attempt",
    "AttemptOutcome",
    "BackendTransport",
    "Beliefs",
    "BudgetLimits",
    "CallerRequest",
    "Cause",
    "Chooser",
    "ClearedReport",
    "Completed",
    "Crash",
    "CrashBook",
    "CrashReport",
    "FleetHealth",
    "ForwardingMetrics",
    "Headers",
    "Interrupted",
    "Load",
    "Merged",
    "News",
    "NoRoute",
    "NotConnected",
    "NotRun",
    "Refusal",
    "Refused",
    "Relayed",
    "RequestRunner",
    "RetryBudget",
    "ServerReport",
    "Surroundings",
    "TimedOut",
    "Unknown",
    "connection_share",
    "take_report",
]
