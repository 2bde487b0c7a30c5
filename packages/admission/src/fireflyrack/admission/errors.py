"""Errors of the admission package."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from fireflyrack.core import FireflyrackError


class AdmissionError(FireflyrackError):
    """Base class of the exceptions of the admission package."""


class RefusalReason(enum.Enum):
    """Reason why work was refused and did not run."""

    NOT_OWNER = "not_owner"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    SHED = "shed"
    # The estimated wait exceeds the time left until the deadline.
    OVERLOADED = "overloaded"
    # This instance may not act as owner, for example because its lease has expired.
    NOT_PERMITTED = "not_permitted"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class WorkRefused:
    """Work was not run."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class WorkFailed:
    """Work was sent but has no usable reply."""

    detail: str
    # The connection broke while the work ran.
    disconnected: bool = False


@dataclass(frozen=True, slots=True)
class BackendNotSent:
    """A request was refused before any of it was sent."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class BackendUnreachable:
    """No connection to the backend server could be opened."""

    detail: str


@dataclass(frozen=True, slots=True)
class BackendShed:
    """The backend server refused a request before running it."""

    detail: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class BackendCallFailed:
    """A request was sent, but its reply was lost or unusable."""

    detail: str
    # The connection broke. A time-out or an unusable reply does not suggest a crash.
    disconnected: bool = False


BackendError = BackendNotSent | BackendUnreachable | BackendShed | BackendCallFailed
