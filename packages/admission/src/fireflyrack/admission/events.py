"""Events and actions of the queue of one backend server."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .errors import RefusalReason
from .work import RunRequest, SearchWork, Work


class BatchResult(enum.Enum):
    """How a request to a backend server ended."""

    ANSWERED = "answered"
    SHED = "shed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of the events; `at` is in seconds on the monotonic clock."""

    at: float


@dataclass(frozen=True, slots=True)
class WorkSubmitted(Event):
    """New work to queue."""

    work: Work


@dataclass(frozen=True, slots=True)
class WorkCancelled(Event):
    """The last waiter of some work was cancelled; `work` is its id."""

    work: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed(Event):
    """The deadline of some work has passed; `work` is its id."""

    work: str


@dataclass(frozen=True, slots=True)
class BatchEnded(Event):
    """A request in flight has ended and frees its slot."""

    batch: int
    result: BatchResult = BatchResult.ANSWERED


@dataclass(frozen=True, slots=True)
class LimitsChanged(Event):
    """A new configuration sets the number of slots."""

    slots: int


@dataclass(frozen=True, slots=True)
class ReconnectStarted(Event):
    """The connections are being replaced; nothing may be sent until that ends."""


@dataclass(frozen=True, slots=True)
class ReconnectEnded(Event):
    """The connections have been replaced."""


@dataclass(frozen=True, slots=True)
class DrainReported(Event):
    """A status or response of the backend server says that it is draining."""


@dataclass(frozen=True, slots=True)
class ServingReported(Event):
    """The status of the backend server says that it accepts work."""


@dataclass(frozen=True, slots=True)
class ServerUnreachable(Event):
    """No connection to the backend server can be opened."""


@dataclass(frozen=True, slots=True)
class ServerReleased(Event):
    """This instance no longer owns the backend server."""


@dataclass(frozen=True, slots=True)
class PauseEnded(Event):
    """The timer of a pause after a shed fired; a later shed may have extended it."""


@dataclass(frozen=True, slots=True)
class StartBatch:
    """Action: send sub-requests to the backend server in one request."""

    batch: int
    work_items: tuple[SearchWork, ...]


@dataclass(frozen=True, slots=True)
class StartRun:
    """Action: send a non-idempotent request to the backend server."""

    batch: int
    request: RunRequest


@dataclass(frozen=True, slots=True)
class RefuseWork:
    """Action: refuse work that has not been sent; `work` is its id."""

    work: str
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class FailExpiredWork:
    """Action: fail a sent sub-request whose deadline has passed."""

    work: str


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Action: cancel work that has been given to a request."""

    work: str


@dataclass(frozen=True, slots=True)
class ResumeAt:
    """Action: feed `PauseEnded` at a time on the monotonic clock."""

    at: float
