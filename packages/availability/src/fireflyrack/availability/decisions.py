"""Decisions on what backend servers state; each event updates the table in place."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from functools import singledispatch

from fireflyrack.core import Decision
from fireflyrack.telemetry import LogEvent

from .closures import close
from .events import (
    InstancesCounted,
    NoticeReceived,
    ServerRemoved,
    StatementShared,
)
from .log_events import (
    LeavingStated,
    RateLimitChanged,
    ServerClosed,
    ServerReopened,
    StatementIgnored,
)
from .notices import SharedStatement, Source
from .quotas import open_quota
from .table import AvailabilityTable, RateLimit, StatedServer

# Time for which the statements of a server that leaves, or is no longer registered, are
# kept. It is longer than such a server goes on living.
DEPARTED_RETENTION_S = 600.0
# An own observation of a rate limit that is not older goes before that of a peer.
OWN_OBSERVATION_S = 1.0
# Fraction by which a rate must change to be logged and shared. A server may name a
# slightly different one in each response.
ANNOUNCED_CHANGE_FRACTION = 0.1
# A closed time that grows by less has no log line; many requests are refused at once.
MIN_LOGGED_EXTENSION_S = 1.0


@singledispatch
def decide(event: object, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    """Apply one event to the table; the actions are log events."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: NoticeReceived, table: AvailabilityTable) -> Decision[AvailabilityTable]:
    server, notice = event.server, event.notice
    known = table.servers.get(server.id)
    if known is not None and known.incarnation > server.incarnation:
        # The request was sent before the server started again.
        return Decision(table)
    ignored = (*notice.unreadable, *notice.unusable)
    events = [StatementIgnored(server.id, text) for text in ignored]
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
        source, incarnation = Source.PEER.value, statement.incarnation
        events.append(LeavingStated(statement.server, "", incarnation, source))
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
        None if limit is None else limit.announced_per_s,
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
    if stated is not None:
        stated.removed_at = event.at
    for id, known in tuple(table.servers.items()):
        departed_at = known.removed_at or known.leaving_since
        if departed_at is not None and event.at > departed_at + DEPARTED_RETENTION_S:
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
    closed_for_s = min(closed_for_s, table.max_closure_s)
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
    """Store the rate limit that a response names; a response without one ends it.

    A refusal ends no limit: whatever made it may not know of the limit.
    """
    if event.notice.rate_limit is None and not event.accepted:
        return []
    server = event.server
    update = RateLimitUpdate(event.at, server.id, server.service, Source.RESPONSE)
    return set_rate_limit(stated, event.notice.rate_limit, update, table)


def is_notable_change(rate: float, announced: float) -> bool:
    """Return whether a rate differs so much from an earlier one that others care."""
    return abs(rate - announced) > ANNOUNCED_CHANGE_FRACTION * announced


def set_rate_limit(
    stated: StatedServer,
    rate: float | None,
    update: RateLimitUpdate,
    table: AvailabilityTable,
) -> list[LogEvent]:
    """Store, change or end the rate limit of a server; return a log event if so."""
    at, previous = update.at, stated.rate_limit
    previous_rate = previous.announced_per_s if previous else None
    if rate is None:
        stated.rate_limit = None
    elif previous is None:
        sharers = table.sharers
        quota = open_quota(rate, sharers.at(at), sharers.rank, at, table.rng)
        stated.rate_limit = RateLimit(rate, rate, update.source, at, at, quota)
    else:
        announced = rate if is_notable_change(rate, previous_rate) else previous_rate
        stated.rate_limit = replace(
            previous,
            rate_per_s=rate,
            announced_per_s=announced,
            source=update.source,
            confirmed_at=at,
        )
    limit = stated.rate_limit
    if (limit.announced_per_s if limit else None) == previous_rate:
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
