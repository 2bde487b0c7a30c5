"""Errors of the admission package."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from fireflyrack.core import FireflyrackError


class AdmissionError(FireflyrackError):
    """Base class of the exceptions of the admission package."""


class RefusalReason(enum.Enum):
    """Name why work was refused before it reached a backend server."""

    NOT_OWNER = "not_owner"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    SHED = "shed"
    # The estimated wait is longer than the time that is left.
    OVERLOADED = "overloaded"
    # This instance may not act as owner now.
    NOT_PERMITTED = "not_permitted"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class WorkRefused:
    """Say that work was not run and why."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class WorkFailed:
    """Say that work was sent but has no usable reply."""

    detail: str
    # The connection broke while the work ran.
    disconnected: bool = False


@dataclass(frozen=True, slots=True)
class BackendNotSent:
    """Say that a request was held back before anything of it was sent."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class BackendUnreachable:
    """Say that no connection to a backend server could be opened."""

    detail: str


@dataclass(frozen=True, slots=True)
class BackendShed:
    """Say that a backend server refused a request before it ran."""

    detail: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class BackendCallFailed:
    """Say that a request was sent and its reply was lost or unusable."""

    detail: str
    # The connection broke; a time-out or an unusable reply is no sign of a crash.
    disconnected: bool = False


BackendError = BackendNotSent | BackendUnreachable | BackendShed | BackendCallFailed
