"""Sub-requests of one search, their state and the events and actions on them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from fireflyrack.configuration import Partition, Policy
from fireflyrack.core import EMPTY, ShardSet

from .coverage import Coverage
from .errors import Cause, FailureKind
from .merge import Hit
from .observations import ServiceState
from .replicas import Candidate
from .snapshots import Snapshot


@dataclass(frozen=True, slots=True)
class Query:
    """Hold a search that is pinned to one snapshot."""

    id: str
    service: str
    text: str
    limit: int
    snapshot: Snapshot
    partition: Partition
    # Seconds on the monotonic clock.
    deadline_at: float
    policy: Policy = Policy()
    # Backend servers that run the search before all others, best first; none for a
    # search that is known to run to its end.
    canaries: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SubRequest:
    """Name the shards that one backend server is to search."""

    id: int
    backend_server: str
    shards: ShardSet


@dataclass(slots=True)
class Counts:
    """Count the decisions of one search, for its evidence."""

    sub_requests: int = 0
    hedges: int = 0
    retries: int = 0
    refused: int = 0
    failed: int = 0
    cancelled: int = 0
    dropped_replies: int = 0
    # Hedges and retries that were not sent for overload or want of budget.
    withheld: int = 0


@dataclass(slots=True)
class FanoutState:
    """Hold one search in flight; updated in place until the answer is made.

    `service` is shared by all searches of the service on this instance.
    """

    query: Query
    candidates: tuple[Candidate, ...]
    rng: random.Random
    service: ServiceState = field(default_factory=ServiceState)
    outstanding: dict[int, SubRequest] = field(default_factory=dict)
    sent_at: dict[int, float] = field(default_factory=dict)
    covered: ShardSet = EMPTY
    causes: dict[int, Cause] = field(default_factory=dict)
    # Backend servers that were sent each sub-request's shards, by shard.
    tried: dict[str, ShardSet] = field(default_factory=dict)
    # Shards that two replicas were sent in this round.
    tried_twice: ShardSet = EMPTY
    # Not yet merged, in no order.
    hits: list[Hit] = field(default_factory=list)
    counts: Counts = field(default_factory=Counts)
    # Shards of each usable reply that no earlier reply covered.
    answered: list[tuple[str, ShardSet]] = field(default_factory=list)
    # Backend servers that broke the connection while they ran this search.
    crashed: set[str] = field(default_factory=set)
    # Sub-request at the canary that runs the search first, None when all may run it.
    canary: int | None = None
    # Shards that wait for the canary.
    deferred: ShardSet = EMPTY
    retry_delay_s: float = 0.0
    retry_scheduled: bool = False
    finished: bool = False


@dataclass(frozen=True, slots=True)
class QueryStarted:
    """Report that a search begins."""

    at: float


@dataclass(frozen=True, slots=True)
class ReplyArrived:
    """Report the reply to a sub-request."""

    at: float
    sub_request: int
    snapshot: Snapshot
    searched: ShardSet
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class SubRequestFailed:
    """Report that a sub-request has no reply."""

    at: float
    sub_request: int
    cause: Cause
    # None takes the usual kind of the cause.
    kind: FailureKind | None = None


@dataclass(frozen=True, slots=True)
class CandidateChanged:
    """Report what a backend server now holds of the search's snapshot."""

    at: float
    candidate: Candidate


@dataclass(frozen=True, slots=True)
class HedgeTimerFired:
    """Report that missing shards have been awaited for the hedge delay."""

    at: float


@dataclass(frozen=True, slots=True)
class CanaryTimerFired:
    """Report that a canary has had the time in which a crash would have shown."""

    at: float


@dataclass(frozen=True, slots=True)
class RetryTimerFired:
    """Report that missing shards may be tried again."""

    at: float


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """Report that the time of the search is over."""

    at: float


@dataclass(frozen=True, slots=True)
class SendSubRequests:
    """Ask the shell to send sub-requests."""

    sub_requests: tuple[SubRequest, ...]


@dataclass(frozen=True, slots=True)
class CancelSubRequests:
    """Ask the shell to cancel sub-requests that are no longer needed."""

    sub_requests: tuple[SubRequest, ...]


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Ask the shell to feed an event at its time."""

    event: HedgeTimerFired | RetryTimerFired | CanaryTimerFired


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the answer of the search."""

    hits: tuple[Hit, ...]
    coverage: Coverage
    counts: Counts
    answered: tuple[tuple[str, ShardSet], ...] = ()
    ejected: tuple[str, ...] = ()
