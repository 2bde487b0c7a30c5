"""State, events and actions of one request."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fireflyrack.availability import AvailabilityTable, NoticeReceived
from fireflyrack.discovery import BackendServer
from fireflyrack.routing import Route, SearchTarget

from .attempts import Attempt, AttemptOutcome, Completed
from .choice import SelectionContext
from .crashes import CrashTracker
from .fleet import FleetHealth
from .requests import Answer, CallerRequest, Cause


@dataclass(slots=True)
class ShardProgress:
    """Progress of a request on one shard; mutable."""

    service: str
    max_connections: int
    # Ids of the backend servers that an attempt was sent to.
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    outstanding: dict[int, Attempt] = field(default_factory=dict)
    result: Completed | None = None
    # Last unsuccessful response of a backend server.
    failure: Completed | None = None
    cause: Cause | None = None
    # Whether a backend server may have executed the request.
    may_have_run: bool = False
    # Time at which a hedge is considered next, None if no hedge is possible.
    hedge_at: float | None = None

    @property
    def open(self) -> bool:
        """Return whether a result may still arrive."""
        return self.result is None and bool(self.outstanding)


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Objects that all requests of an instance share."""

    fleet: FleetHealth
    availability: AvailabilityTable
    selection_context: SelectionContext
    servers_of: Callable[[str], tuple[BackendServer, ...]]
    # Returns whether this instance is short of CPU time.
    overloaded: Callable[[], bool]
    # Returns when this instance cuts off requests in flight; infinity unless it stops.
    exit_at: Callable[[], float]
    crashes: CrashTracker = field(default_factory=CrashTracker)


@dataclass(slots=True)
class RequestState:
    """State of one request; mutable."""

    request: CallerRequest
    route: Route
    shards: tuple[ShardProgress, ...]
    context: ForwardingContext
    deadline_at: float
    # Time from which a search with enough results is answered without the other shards.
    cutoff_at: float
    sent_at: dict[int, float] = field(default_factory=dict)
    finished: bool = False
    timer_at: float | None = None
    # Log events of the decisions so far.
    trace: list[Any] = field(default_factory=list)

    @property
    def search(self) -> SearchTarget | None:
        """Return the target if the request is a search, else None."""
        target = self.route.target
        return target if isinstance(target, SearchTarget) else None


def required_shards(state: RequestState) -> int:
    """Return how many shards must respond for a result."""
    search = state.search
    if search is None:
        return 1
    # Coverage is a decimal fraction; without the tolerance 0.28 * 25 rounds up to 8.
    return max(1, math.ceil(search.minimum_coverage * len(state.shards) - 1e-9))


@dataclass(frozen=True, slots=True)
class Started:
    """The request was received."""

    at: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended with an outcome."""

    at: float
    attempt: int
    outcome: AttemptOutcome


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of the last SetTimer was reached."""

    at: float


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""

    at: float


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt, so that its backend server stops the work."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Probe whether a backend server that closed a connection still accepts others."""

    server: BackendServer


@dataclass(frozen=True, slots=True)
class RecordNotice:
    """Apply what a response states about its backend server."""

    event: NoticeReceived


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Feed TimerFired at a given time; replaces the timer of an earlier SetTimer."""

    at: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Send the answer to the caller."""

    answer: Answer
