"""Events and actions of the queue of one backend server."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .errors import RefusalReason
from .work import RunRequest, SearchWork, Work


class BatchResult(enum.Enum):
    """Say how a request to a backend server ended."""

    ANSWERED = "answered"
    SHED = "shed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class Event:
    """Base of the events; `at` is in seconds on the monotonic clock."""

    at: float


@dataclass(frozen=True, slots=True)
class WorkSubmitted(Event):
    """Report work that wants a slot."""

    work: Work


@dataclass(frozen=True, slots=True)
class WorkCancelled(Event):
    """Report that nobody waits for some work any more."""

    work: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed(Event):
    """Report that the deadline of some work has passed."""

    work: str


@dataclass(frozen=True, slots=True)
class BatchEnded(Event):
    """Report that a request has left its slot."""

    batch: int
    result: BatchResult = BatchResult.ANSWERED


@dataclass(frozen=True, slots=True)
class LimitsChanged(Event):
    """Report the slots of a new configuration."""

    slots: int


@dataclass(frozen=True, slots=True)
class ReconnectStarted(Event):
    """Report that nothing may be sent until the connections are replaced."""


@dataclass(frozen=True, slots=True)
class ReconnectEnded(Event):
    """Report that the connections are replaced."""


@dataclass(frozen=True, slots=True)
class DrainReported(Event):
    """Report that the backend server says that it is leaving."""


@dataclass(frozen=True, slots=True)
class ServingReported(Event):
    """Report that the backend server says that it takes work."""


@dataclass(frozen=True, slots=True)
class ServerUnreachable(Event):
    """Report that no connection to the backend server can be opened."""


@dataclass(frozen=True, slots=True)
class ServerReleased(Event):
    """Report that this instance gives up the backend server."""


@dataclass(frozen=True, slots=True)
class PauseEnded(Event):
    """Report that the pause after a shed may be over."""


@dataclass(frozen=True, slots=True)
class StartBatch:
    """Ask the shell to send sub-requests to the backend server in one request."""

    batch: int
    work_items: tuple[SearchWork, ...]


@dataclass(frozen=True, slots=True)
class StartRun:
    """Ask the shell to send a non-idempotent request to the backend server."""

    batch: int
    request: RunRequest


@dataclass(frozen=True, slots=True)
class RefuseWork:
    """Ask the shell to refuse work that has not been sent."""

    work: str
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class FailExpiredWork:
    """Ask the shell to fail a sent sub-request whose deadline has passed."""

    work: str


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Ask the shell to cancel work at the backend server."""

    work: str


@dataclass(frozen=True, slots=True)
class ResumeAt:
    """Ask the shell to feed `PauseEnded` at a time."""

    at: float
