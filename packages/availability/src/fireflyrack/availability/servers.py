"""State that backend servers have stated of themselves, one for each incarnation."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.core import Decision
from fireflyrack.discovery import BackendServer

from .log_events import RateLimitChanged, StatementIgnored
from .notices import Notice, Source


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """Event: a response of a backend server stated something about it."""

    at: float
    server: BackendServer
    notice: Notice


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """Event: a backend server is no longer registered."""

    server: BackendServer


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit that a backend server names."""

    # Requests per second from all instances together.
    rate_per_s: float
    source: Source
    # Time at which the server was first and last observed to state it.
    since: float
    confirmed_at: float


@dataclass(slots=True)
class StatedServer:
    """Statements of one incarnation of a backend server; mutable."""

    incarnation: int
    rate_limit: RateLimit | None = None

    @property
    def empty(self) -> bool:
        """Return whether the server has stated nothing that still holds."""
        return self.rate_limit is None


@dataclass(slots=True)
class AvailabilityTable:
    """Statements of all backend servers; mutable.

    Servers without statements have no entry, so that a check of them is one lookup.
    """

    servers: dict[str, StatedServer] = field(default_factory=dict)

    @property
    def rate_limited(self) -> int:
        """Return how many servers name a rate limit."""
        return sum(s.rate_limit is not None for s in self.servers.values())

    def find(self, server: BackendServer) -> StatedServer | None:
        """Return the statements of this incarnation of a server, if any."""
        stated = self.servers.get(server.id)
        if stated is None or stated.incarnation != server.incarnation:
            return None
        return stated

    def concerns(self, event: NoticeReceived) -> bool:
        """Return whether a notice states something or ends an earlier statement."""
        return event.notice.states_anything or self.find(event.server) is not None


@singledispatch
def decide(event: object, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    """Apply one event to the table; the actions are log events."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: NoticeReceived, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    server, notice = event.server, event.notice
    events = [StatementIgnored(server.id, text) for text in notice.unreadable]
    stated = table.find(server)
    if stated is None:
        if notice.rate_limit is None:
            return Decision(table, tuple(events))
        stated = table.servers[server.id] = StatedServer(server.incarnation)
    if not notice.unreadable:
        events += apply_rate_limit(stated, event, table)
    if stated.empty:
        del table.servers[server.id]
    return Decision(table, tuple(events))


@decide.register
def _(event: ServerRemoved, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    if table.find(event.server) is not None:
        del table.servers[event.server.id]
    return Decision(table)


def apply_rate_limit(
    stated: StatedServer, event: NoticeReceived, table: AvailabilityTable
) -> list[RateLimitChanged]:
    """Store the rate limit that a response names; a response without one ends it."""
    at, rate = event.at, event.notice.rate_limit
    previous = stated.rate_limit
    if rate is None:
        stated.rate_limit = None
    elif previous is None:
        stated.rate_limit = RateLimit(rate, Source.RESPONSE, at, at)
    else:
        stated.rate_limit = RateLimit(rate, Source.RESPONSE, previous.since, at)
    previous_rate = previous.rate_per_s if previous else None
    if rate == previous_rate:
        return []
    return [
        RateLimitChanged(
            server=event.server.id,
            service=event.server.service,
            rate_per_s=rate,
            previous_per_s=previous_rate,
            source=Source.RESPONSE.value,
            held_s=at - previous.since if previous else 0.0,
        )
    ]
