"""Structured event log with a bounded volume."""

from __future__ import annotations

from .event_log import EventLog, EventLogSettings
from .events import (
    DependencyLost,
    DependencyRegained,
    Importance,
    LogEvent,
    Severity,
    severity_of,
)
from .lines import LineWriter

__all__ = [
    "DependencyLost",
    "DependencyRegained",
    "EventLog",
    "EventLogSettings",
    "Importance",
    "LineWriter",
    "LogEvent",
    "Severity",
    "severity_of",
]
