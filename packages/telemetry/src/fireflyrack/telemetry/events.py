"""Base of the structured log events of all slices."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar


class Importance(enum.Enum):
    """Rank log events; each rank has a volume budget of its own."""

    # Start, stop, reload, lost and regained dependencies.
    LIFECYCLE = "lifecycle"
    # Changes of what the process believes.
    BELIEF = "belief"
    # Decisions on requests that failed, were refused, or were late.
    NOTABLE = "notable"
    # Decisions on requests that went well.
    ROUTINE = "routine"


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Base of the events; each subclass is one kind of line with its fields."""

    kind: ClassVar[str] = "event"
    importance: ClassVar[Importance] = Importance.BELIEF


@dataclass(frozen=True, slots=True)
class DependencyLost(LogEvent):
    """Tell that a dependency stopped answering."""

    kind: ClassVar[str] = "dependency_lost"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    dependency: str
    reason: str


@dataclass(frozen=True, slots=True)
class DependencyRegained(LogEvent):
    """Tell that a dependency answers again after an absence in seconds."""

    kind: ClassVar[str] = "dependency_regained"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    dependency: str
    away_s: float
