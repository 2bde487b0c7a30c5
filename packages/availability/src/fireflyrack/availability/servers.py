"""State that backend servers have stated of themselves, one for each incarnation."""

from __future__ import annotations

import enum
import math
import random
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.core import Decision
from fireflyrack.discovery import BackendServer, ServerState
from fireflyrack.telemetry import LogEvent

from .closures import Closure, close
from .log_events import (
    LeavingStated,
    RateLimitChanged,
    ServerClosed,
    ServerReopened,
    StatementIgnored,
)
from .notices import Notice, SharedStatement, Source
from .quotas import PacedQuota, interval_of, open_quota
from .sharers import SharerCount

# Time for which it is remembered that a server leaves, longer than it goes on living.
LEAVING_RETENTION_S = 600.0

# An own observation of a rate limit that is not older goes before that of a peer.
OWN_OBSERVATION_S = 1.0
# A closed time that grows by less has no log line; many requests are refused at once.
MIN_LOGGED_EXTENSION_S = 1.0


class Obstacle(enum.Enum):
    """Reason why a backend server must not get a request now."""

    DRAINING = "draining"
    LEAVING = "leaving"
    CLOSED = "closed for a time"
    RATE_LIMITED = "rate limited"


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """Event: a response of a backend server stated something about it."""

    at: float
    server: BackendServer
    notice: Notice
    # Whether the server accepted the request, even if it failed.
    accepted: bool = True


@dataclass(frozen=True, slots=True)
class StatementShared:
    """Event: a peer has learned something of a backend server."""

    at: float
    statement: SharedStatement


@dataclass(frozen=True, slots=True)
class InstancesCounted:
    """Event: the number of registered entry instances changed."""

    at: float
    instances: int
    # Position of this instance among them, from 0.
    rank: int


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """Event: a backend server is no longer registered."""

    at: float
    server: BackendServer


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of a backend server and this instance's share of it."""

    # Requests per second from all instances together.
    rate_per_s: float
    source: Source
    # Time at which the server was first and last observed to state it.
    since: float
    confirmed_at: float
    quota: PacedQuota


@dataclass(slots=True)
class StatedServer:
    """Statements of one incarnation of a backend server; mutable."""

    incarnation: int
    # Time at which it stated that it leaves. No later response takes that back.
    leaving_since: float | None = None
    closure: Closure | None = None
    rate_limit: RateLimit | None = None

    @property
    def obstacles(self) -> tuple[Obstacle, ...]:
        """Return the kinds of statements that hold."""
        held = {
            Obstacle.LEAVING: self.leaving_since,
            Obstacle.CLOSED: self.closure,
            Obstacle.RATE_LIMITED: self.rate_limit,
        }
        return tuple(kind for kind, value in held.items() if value is not None)


@dataclass(slots=True)
class AvailabilityTable:
    """Statements of all backend servers; mutable.

    Servers without statements have no entry, so that a check of them is one lookup.
    """

    rng: random.Random
    sharers: SharerCount
    # Longest time in seconds for which a server may ask for no requests.
    max_closure_s: float = 300.0
    servers: dict[str, StatedServer] = field(default_factory=dict)
    # Statements that responses have changed since they were last taken, by server.
    unshared: dict[str, SharedStatement] = field(default_factory=dict)

    def take_unshared(self) -> tuple[SharedStatement, ...]:
        """Return and clear the statements that peers may not know."""
        statements, self.unshared = tuple(self.unshared.values()), {}
        return statements

    def count(self, obstacle: Obstacle) -> int:
        """Return how many servers have stated a reason not to send to them freely."""
        return sum(obstacle in stated.obstacles for stated in self.servers.values())

    def find(self, server: BackendServer) -> StatedServer | None:
        """Return the statements of this incarnation of a server, if any."""
        stated = self.servers.get(server.id)
        if stated is None or stated.incarnation != server.incarnation:
            return None
        return stated

    def concerns(self, event: NoticeReceived) -> bool:
        """Return whether a notice states something or ends an earlier statement."""
        return event.notice.states_anything or self.find(event.server) is not None

    def obstacle(self, server: BackendServer, at: float) -> Obstacle | None:
        """Return why a server must not get a request now, None if it may."""
        if server.state is not ServerState.READY:
            return Obstacle.DRAINING
        stated = self.find(server)
        if stated is None:
            return None
        if stated.leaving_since is not None:
            return Obstacle.LEAVING
        if stated.closure is not None and not stated.closure.available(at):
            return Obstacle.CLOSED
        quota = self.quota(server, at)
        if quota is not None and not quota.available(at):
            return Obstacle.RATE_LIMITED
        return None

    def available_at(self, server: BackendServer, at: float) -> float | None:
        """Return when a server takes the next request, None if it takes no more."""
        if server.state is not ServerState.READY:
            return None
        stated = self.find(server)
        if stated is None:
            return at
        if stated.leaving_since is not None:
            return None
        opens_at = at if stated.closure is None else stated.closure.available_at(at)
        quota = self.quota(server, at)
        return opens_at if quota is None else max(opens_at, quota.available_at(at))

    def quota(self, server: BackendServer, at: float) -> PacedQuota | None:
        """Return the quota of a server that limits its rate, at the current share."""
        stated = self.find(server)
        if stated is None or stated.rate_limit is None:
            return None
        limit = stated.rate_limit
        interval_s = interval_of(limit.rate_per_s, self.sharers.at(at))
        if interval_s != limit.quota.interval_s:
            limit.quota.set_interval(interval_s, at)
        return limit.quota

    def record_sent(self, server: BackendServer, at: float) -> None:
        """Count a request that is sent to a server."""
        stated = self.find(server)
        if stated is None:
            return
        if stated.closure is not None:
            stated.closure.record_sent(at)
        quota = self.quota(server, at)
        if quota is not None:
            quota.take()

    def record_not_sent(self, server: BackendServer, at: float) -> None:
        """Discount a request that did not reach its server."""
        stated = self.find(server)
        if stated is None:
            return
        if stated.closure is not None:
            stated.closure.record_not_sent()
        quota = self.quota(server, at)
        if quota is not None:
            quota.refund()

    def record_unmet_demand(
        self, servers: tuple[BackendServer, ...], at: float
    ) -> None:
        """Record that a request was refused that needed one of some servers."""
        for server in servers:
            quota = self.quota(server, at)
            if quota is not None:
                quota.record_unmet_demand(at)


@singledispatch
def decide(event: object, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    """Apply one event to the table; the actions are log events."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: NoticeReceived, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    server, notice = event.server, event.notice
    events = [StatementIgnored(server.id, text) for text in notice.unreadable]
    stated = table.find(server) or StatedServer(server.incarnation)
    before = shared_statement(server.id, stated)
    events += apply_leaving(stated, event)
    events += apply_closure(stated, event, table)
    if not notice.unreadable:
        events += apply_rate_limit(stated, event, table)
    after = shared_statement(server.id, stated)
    if after != before:
        table.unshared[server.id] = after
    store_statements(table, server.id, stated)
    return Decision(table, tuple(events))


@decide.register
def _(event: StatementShared, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    statement, at = event.statement, event.at
    stated = table.servers.get(statement.server)
    if stated is None or stated.incarnation < statement.incarnation:
        stated = StatedServer(statement.incarnation)
    if stated.incarnation != statement.incarnation:
        return Decision(table)
    events: list[LogEvent] = []
    if statement.leaving and stated.leaving_since is None:
        stated.leaving_since = at
        source = Source.PEER.value
        event = LeavingStated(statement.server, "", statement.incarnation, source)
        events.append(event)
    limit = stated.rate_limit
    if limit is None or at - limit.confirmed_at > OWN_OBSERVATION_S:
        update = RateLimitUpdate(at, statement.server, "", Source.PEER)
        events += set_rate_limit(stated, statement.rate_limit, update, table)
    store_statements(table, statement.server, stated)
    return Decision(table, tuple(events))


def shared_statement(server_id: str, stated: StatedServer) -> SharedStatement:
    """Return the part of the statements of a server that concerns all instances."""
    limit = stated.rate_limit
    return SharedStatement(
        server_id,
        stated.incarnation,
        stated.leaving_since is not None,
        None if limit is None else limit.rate_per_s,
    )


def store_statements(
    table: AvailabilityTable, server_id: str, stated: StatedServer
) -> None:
    """Store the statements of a server, or drop them if none holds any more."""
    if stated.obstacles:
        table.servers[server_id] = stated
    elif table.servers.get(server_id) is stated:
        del table.servers[server_id]


@decide.register
def _(event: InstancesCounted, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    table.sharers.set(event.instances, event.rank, event.at)
    return Decision(table)


@decide.register
def _(event: ServerRemoved, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    stated = table.find(event.server)
    if stated is not None and stated.leaving_since is None:
        del table.servers[event.server.id]
    # The registration of a server that leaves may lapse and come back.
    for id, known in tuple(table.servers.items()):
        since = known.leaving_since
        if since is not None and event.at > since + LEAVING_RETENTION_S:
            del table.servers[id]
    return Decision(table)


def apply_leaving(stated: StatedServer, event: NoticeReceived) -> list[LeavingStated]:
    """Record that a server leaves."""
    if not event.notice.leaving or stated.leaving_since is not None:
        return []
    stated.leaving_since = event.at
    server, source = event.server, Source.RESPONSE.value
    return [LeavingStated(server.id, server.service, server.incarnation, source)]


def apply_closure(
    stated: StatedServer, event: NoticeReceived, table: AvailabilityTable
) -> list[LogEvent]:
    """Close a server for the time that it asks for, or open it again."""
    at, server, closed_for_s = event.at, event.server, event.notice.closed_for_s
    closure = stated.closure
    if closed_for_s is None:
        if closure is None or not closure.ends(event.accepted, at):
            return []
        stated.closure = None
        return [ServerReopened(server.id, server.service, at - closure.since)]
    if closed_for_s > table.max_closure_s:
        return [StatementIgnored(server.id, f"closed for {closed_for_s:g} s")]
    known_until = -math.inf if closure is None else closure.until
    if closure is None:
        closure = stated.closure = close(closed_for_s, at, table.rng)
    else:
        closure.extend(closed_for_s, at, table.rng)
    if closure.until - known_until < MIN_LOGGED_EXTENSION_S:
        return []
    return [
        ServerClosed(
            server=server.id,
            service=server.service,
            closed_for_s=closed_for_s,
            reopens_in_s=closure.reopens_at - at,
            source=Source.RESPONSE.value,
        )
    ]


@dataclass(frozen=True, slots=True)
class RateLimitUpdate:
    """Time, server and source of a statement on a rate limit."""

    at: float
    server: str
    # Empty if a peer reported it.
    service: str
    source: Source


def apply_rate_limit(
    stated: StatedServer, event: NoticeReceived, table: AvailabilityTable
) -> list[LogEvent]:
    """Store the rate limit that a response names; a response without one ends it."""
    server = event.server
    update = RateLimitUpdate(event.at, server.id, server.service, Source.RESPONSE)
    return set_rate_limit(stated, event.notice.rate_limit, update, table)


def set_rate_limit(
    stated: StatedServer,
    rate: float | None,
    update: RateLimitUpdate,
    table: AvailabilityTable,
) -> list[LogEvent]:
    """Store, change or end the rate limit of a server; return a log event if so."""
    at, previous = update.at, stated.rate_limit
    if rate is None:
        stated.rate_limit = None
    elif previous is None:
        sharers = table.sharers
        quota = open_quota(rate, sharers.at(at), sharers.rank, at, table.rng)
        stated.rate_limit = RateLimit(rate, update.source, at, at, quota)
    else:
        stated.rate_limit = RateLimit(
            rate, update.source, previous.since, at, previous.quota
        )
    previous_rate = previous.rate_per_s if previous else None
    if rate == previous_rate:
        return []
    return [
        RateLimitChanged(
            server=update.server,
            service=update.service,
            rate_per_s=rate,
            previous_per_s=previous_rate,
            source=update.source.value,
            held_s=at - previous.since if previous else 0.0,
            sharers=table.sharers.at(at),
        )
    ]
