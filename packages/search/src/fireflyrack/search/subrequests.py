"""State, events and actions of the fan-out of one search."""

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
    """Search pinned to one snapshot."""

    id: str
    service: str
    text: str
    limit: int
    snapshot: Snapshot
    partition: Partition
    # Seconds on the monotonic clock.
    deadline_at: float
    policy: Policy = Policy()
    # Backend servers that run the search before all others, in order of preference;
    # empty for a search that has completed before.
    canaries: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SubRequest:
    """Shards that one backend server is asked to search."""

    id: int
    backend_server: str
    shards: ShardSet


@dataclass(slots=True)
class Counts:
    """Counters of one search for its evidence."""

    sub_requests: int = 0
    hedges: int = 0
    retries: int = 0
    refused: int = 0
    failed: int = 0
    cancelled: int = 0
    dropped_replies: int = 0
    # Hedges and retries not sent because of overload or an exhausted budget.
    withheld: int = 0


@dataclass(slots=True)
class FanoutState:
    """State of one search in flight; updated in place until it finishes.

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
    # Shards that each backend server was sent in this round.
    tried: dict[str, ShardSet] = field(default_factory=dict)
    # Shards that were sent to two replicas in this round.
    tried_twice: ShardSet = EMPTY
    # Unordered; may hold more hits than the limit until they are merged.
    hits: list[Hit] = field(default_factory=list)
    counts: Counts = field(default_factory=Counts)
    # Shards that each usable reply covered first, with its backend server.
    answered: list[tuple[str, ShardSet]] = field(default_factory=list)
    # Backend servers whose connection broke during this search, presumed crashed.
    crashed: set[str] = field(default_factory=set)
    # Pending sub-request at the canary, None once the search may go to all servers.
    canary: int | None = None
    # Shards not sent until the canary has replied.
    deferred: ShardSet = EMPTY
    retry_delay_s: float = 0.0
    retry_scheduled: bool = False
    finished: bool = False


@dataclass(frozen=True, slots=True)
class QueryStarted:
    """The search started."""

    at: float


@dataclass(frozen=True, slots=True)
class ReplyArrived:
    """A reply to a sub-request arrived."""

    at: float
    sub_request: int
    snapshot: Snapshot
    searched: ShardSet
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class SubRequestFailed:
    """A sub-request failed without a reply."""

    at: float
    sub_request: int
    cause: Cause
    # None stands for the default kind of the cause.
    kind: FailureKind | None = None


@dataclass(frozen=True, slots=True)
class CandidateChanged:
    """The shards of the snapshot that a backend server can search changed."""

    at: float
    candidate: Candidate


@dataclass(frozen=True, slots=True)
class HedgeTimerFired:
    """Missing shards have been awaited for the hedge delay."""

    at: float


@dataclass(frozen=True, slots=True)
class CanaryTimerFired:
    """The time in which a crash of the canary would have shown is over."""

    at: float


@dataclass(frozen=True, slots=True)
class RetryTimerFired:
    """The delay before another round of retries is over."""

    at: float


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The deadline of the search has passed."""

    at: float


@dataclass(frozen=True, slots=True)
class SendSubRequests:
    """Action: send sub-requests."""

    sub_requests: tuple[SubRequest, ...]


@dataclass(frozen=True, slots=True)
class CancelSubRequests:
    """Action: cancel sub-requests whose replies are no longer needed."""

    sub_requests: tuple[SubRequest, ...]


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Action: feed an event at its time."""

    event: HedgeTimerFired | RetryTimerFired | CanaryTimerFired


@dataclass(frozen=True, slots=True)
class Finish:
    """Action: return the answer of the search."""

    hits: tuple[Hit, ...]
    coverage: Coverage
    counts: Counts
    answered: tuple[tuple[str, ShardSet], ...] = ()
    ejected: tuple[str, ...] = ()
