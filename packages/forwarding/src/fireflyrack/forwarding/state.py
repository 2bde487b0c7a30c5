"""State, events and actions of one request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fireflyrack.discovery import BackendServer
from fireflyrack.routing import Route, SearchTarget

from .attempts import Attempt, AttemptOutcome, Completed
from .crashes import CrashTracker
from .fleet import FleetHealth
from .requests import Answer, CallerRequest, Cause
from .selection import SelectionContext


@dataclass(slots=True)
class ShardProgress:
    """Hold how far the request is on one shard; updated in place."""

    service: str
    max_connections: int
    # Backend servers that an attempt was sent to.
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    outstanding: dict[int, Attempt] = field(default_factory=dict)
    result: Completed | None = None
    # Last response of a backend server that was a failure.
    failure: Completed | None = None
    cause: Cause | None = None
    # Whether a backend server may have run the request.
    may_have_run: bool = False
    # Time at which a hedge is considered next, None while there is nothing to hedge.
    hedge_at: float | None = None

    @property
    def open(self) -> bool:
        """Return whether a result may still come."""
        return self.result is None and bool(self.outstanding)


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Hold what all requests of an instance share."""

    fleet: FleetHealth
    selection_context: SelectionContext
    servers_of: Callable[[str], tuple[BackendServer, ...]]
    # Whether this instance lacks processor time.
    overloaded: Callable[[], bool]
    crashes: CrashTracker = field(default_factory=CrashTracker)


@dataclass(slots=True)
class RequestState:
    """Hold one request; updated in place."""

    request: CallerRequest
    route: Route
    shards: tuple[ShardProgress, ...]
    context: ForwardingContext
    deadline_at: float
    # Time at which a search answers without shards that are not in.
    cutoff_at: float
    sent_at: dict[int, float] = field(default_factory=dict)
    finished: bool = False
    timer_at: float | None = None
    # Decisions so far, for the log.
    trace: list[Any] = field(default_factory=list)

    @property
    def search(self) -> SearchTarget | None:
        """Return the target of a search, None for other requests."""
        target = self.route.target
        return target if isinstance(target, SearchTarget) else None


@dataclass(frozen=True, slots=True)
class Started:
    """Report that the request was read."""

    at: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report the outcome of an attempt."""

    at: float
    attempt: int
    outcome: AttemptOutcome


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Report that the time of the last SetTimer has come."""

    at: float


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Report that the caller closed its connection."""

    at: float


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt, so that its backend server stops work."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Look whether a backend server that broke off still takes connections."""

    server: BackendServer


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Feed Woken at a time; a later SetTimer replaces this one."""

    at: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the answer to the caller."""

    answer: Answer
