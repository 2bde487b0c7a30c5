"""Outcomes of requests and results of single attempts."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class UnknownCause(enum.Enum):
    """Reason why it is unknown whether a request ran."""

    RUNNING = "running"
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_RESTARTED = "owner_restarted"
    BACKEND_LOST = "backend_lost"
    ISSUER_GONE = "issuer_gone"
    ISSUER_UNREACHABLE = "issuer_unreachable"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class Ran:
    """Outcome of a request that ran once, with its answer.

    `answer` is None if it exceeded the size limit of a record.
    """

    answer: str | None


@dataclass(frozen=True, slots=True)
class NotRun:
    """Outcome of a request that did not run and never will under its ticket."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Outcome of a request that may have run; `final` if it will never be known."""

    cause: UnknownCause
    final: bool = False


@dataclass(frozen=True, slots=True)
class Unused:
    """Reply for a valid ticket that no request has used."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """Reply to an invalid or premature call; it determines no outcome."""

    kind: str
    message: str


Outcome = Ran | NotRun | Unknown
Reply = Outcome | Unused | Rejected


@dataclass(frozen=True, slots=True)
class NotSent:
    """Result of an attempt that reached no backend server and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class AttemptOutcomeUnknown:
    """Result of an attempt that may have run; `final` if no query can resolve it."""

    cause: UnknownCause
    final: bool = False


AttemptResult = Ran | NotSent | AttemptOutcomeUnknown
