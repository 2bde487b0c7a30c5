"""Work for one backend server: sub-requests and non-idempotent requests."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyrack.core import ShardSet

from .errors import RefusalReason


@dataclass(frozen=True, slots=True)
class SearchWork:
    """Hold one sub-request as its owner queues it."""

    # Unique over all entry instances.
    id: str
    service: str
    snapshot: str
    shards: ShardSet
    text: str
    limit: int
    # Seconds on this process's monotonic clock.
    deadline_at: float
    # Entry instance that asks; queues are fair between coordinators.
    coordinator: str = ""


@dataclass(frozen=True, slots=True)
class RunRequest:
    """Hold one non-idempotent request; its body is UTF-8 text."""

    # Unique over all entry instances.
    id: str
    service: str
    body: bytes
    # Seconds on this process's monotonic clock.
    deadline_at: float
    fingerprint: str


Work = SearchWork | RunRequest


@dataclass(frozen=True, slots=True)
class FoundDocument:
    """Hold one document that a backend server found."""

    document: str
    score: float
    shard: int


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Hold a backend server's reply to one sub-request."""

    snapshot: str
    searched: ShardSet
    documents: tuple[FoundDocument, ...]


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """Say that a non-idempotent request ran, and hold its answer."""

    answer: bytes


@dataclass(frozen=True, slots=True)
class RunRefused:
    """Say that a non-idempotent request did not run and will not run."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class RunOutcomeUnknown:
    """Say that a non-idempotent request was sent and may have run."""

    detail: str


RunOutcome = RunAnswered | RunRefused | RunOutcomeUnknown
