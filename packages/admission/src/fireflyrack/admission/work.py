"""Work for one backend server: sub-requests and non-idempotent requests."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyrack.core import ShardSet

from .errors import RefusalReason


@dataclass(frozen=True, slots=True)
class SearchWork:
    """One sub-request as its owner queues it."""

    # Unique over all entry instances.
    id: str
    service: str
    snapshot: str
    shards: ShardSet
    text: str
    limit: int
    # Seconds on this process's monotonic clock.
    deadline_at: float
    # Entry instance that sent the sub-request; queues are fair between coordinators.
    coordinator: str = ""


@dataclass(frozen=True, slots=True)
class RunRequest:
    """One non-idempotent request; its body is UTF-8 text."""

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
    """One hit of a search, with its score and shard."""

    document: str
    score: float
    shard: int


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Result of one sub-request and the shards that were searched."""

    snapshot: str
    searched: ShardSet
    documents: tuple[FoundDocument, ...]


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """A non-idempotent request ran and was answered."""

    answer: bytes


@dataclass(frozen=True, slots=True)
class RunRefused:
    """A non-idempotent request did not run and will not run."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class RunOutcomeUnknown:
    """A non-idempotent request was sent and may have run."""

    detail: str


RunOutcome = RunAnswered | RunRefused | RunOutcomeUnknown
