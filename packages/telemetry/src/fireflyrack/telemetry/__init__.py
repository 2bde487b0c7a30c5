"""Structured event log with a bounded volume, and metrics helpers."""

from __future__ import annotations

from .event_log import EventLog, EventLogSettings
from .events import Importance, LogEvent
from .lines import LineWriter

__all__ = [
    "EventLog",
    "EventLogSettings",
    "Importance",
    "LineWriter",
    "LogEvent",
]
