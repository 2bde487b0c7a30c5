"""Outcomes of requests and results of single attempts."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class UnknownCause(enum.Enum):
    """Name why it is not known whether a request ran."""

    RUNNING = "running"
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_RESTARTED = "owner_restarted"
    BACKEND_LOST = "backend_lost"
    ISSUER_GONE = "issuer_gone"
    ISSUER_UNREACHABLE = "issuer_unreachable"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class Ran:
    """Say that the request ran once, with its answer.

    `answer` is None if it exceeded the size limit of a record.
    """

    answer: str | None


@dataclass(frozen=True, slots=True)
class NotRun:
    """Say that the request did not run and never will under its ticket."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Say that the request may have run; `final` if no later answer can tell."""

    cause: UnknownCause
    final: bool = False


@dataclass(frozen=True, slots=True)
class Unused:
    """Say that the ticket is valid and no request has come with it."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """Say that a call was wrong or came too early; it settles nothing."""

    kind: str
    message: str


Outcome = Ran | NotRun | Unknown
Reply = Outcome | Unused | Rejected


@dataclass(frozen=True, slots=True)
class NotSent:
    """Prove that an attempt reached no backend server and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class AttemptOutcomeUnknown:
    """Say that an attempt may have run; `final` if asking again cannot help."""

    cause: UnknownCause
    final: bool = False


AttemptResult = Ran | NotSent | AttemptOutcomeUnknown
