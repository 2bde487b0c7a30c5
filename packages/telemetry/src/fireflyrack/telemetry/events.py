"""Base classes and shared kinds of structured log events."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from functools import singledispatch
from typing import ClassVar


class Importance(enum.Enum):
    """Importance of a log event; each importance has its own rate limit."""

    # Process start, stop and reload; dependencies lost and regained.
    LIFECYCLE = "lifecycle"
    # Changes of the cached state that decisions are based on.
    STATE_CHANGE = "belief"
    # Decisions on requests that failed, were refused or missed their objective.
    NOTABLE = "notable"
    # Decisions on requests that succeeded in time.
    ROUTINE = "routine"


class Severity(enum.Enum):
    """Level of a log line."""

    INFO = "info"
    # A lost dependency, a refused or failed request, unusable data.
    WARNING = "warning"
    # A fault of this program.
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Base of all log events; a subclass defines one event kind and its fields."""

    kind: ClassVar[str] = "event"
    importance: ClassVar[Importance] = Importance.STATE_CHANGE


@dataclass(frozen=True, slots=True)
class DependencyLost(LogEvent):
    """A dependency stopped responding."""

    kind: ClassVar[str] = "dependency_lost"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    dependency: str
    reason: str


@dataclass(frozen=True, slots=True)
class DependencyRegained(LogEvent):
    """A dependency responds again, `away_s` seconds after it was lost."""

    kind: ClassVar[str] = "dependency_regained"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    dependency: str
    away_s: float


@singledispatch
def severity_of(event: LogEvent) -> Severity:
    """Return the level at which an event is logged, by its type."""
    return Severity.INFO


@severity_of.register
def _(event: DependencyLost) -> Severity:
    return Severity.WARNING
