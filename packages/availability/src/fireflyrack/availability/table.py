"""State that backend servers have stated of themselves, one for each incarnation."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field

from fireflyrack.discovery import BackendServer, ServerState

from .closures import Closure
from .events import NoticeReceived
from .notices import SharedStatement, Source
from .quotas import PacedQuota, interval_of
from .sharers import SharerCount


class Obstacle(enum.Enum):
    """Reason why a backend server must not get a request now."""

    DRAINING = "draining"
    LEAVING = "leaving"
    CLOSED = "closed for a time"
    RATE_LIMITED = "rate limited"


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of a backend server and this instance's share of it."""

    # Requests per second from all instances together.
    rate_per_s: float
    # The rate that was last logged and shared; small changes of the rate are neither.
    announced_per_s: float
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
    # Time at which its registration ended. It may come back, with what was stated.
    removed_at: float | None = None

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
        """Return how many registered servers have stated a kind of obstacle."""
        return sum(
            stated.removed_at is None and obstacle in stated.obstacles
            for stated in self.servers.values()
        )

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
