"""Builders for the tests of the forwarding slice."""

from __future__ import annotations

import math
import random

from fireflyrack.availability import AvailabilityTable, SharerCount
from fireflyrack.discovery import BackendServer, ServerState
from fireflyrack.forwarding import (
    BudgetLimits,
    CallerRequest,
    Completed,
    FleetHealth,
    ForwardingContext,
    SelectionContext,
)
from fireflyrack.forwarding.decisions import decide
from fireflyrack.forwarding.state import (
    AttemptEnded,
    Cancel,
    Finish,
    RequestState,
    Send,
    ShardProgress,
    Started,
    TimerFired,
)
from fireflyrack.routing import Route, SearchTarget, ServiceTarget

OBJECTIVE_S = 0.1
DEADLINE_S = 1.0
CUTOFF_S = 0.085


def server(service: str, number: int, **changes) -> BackendServer:
    values = {
        "id": f"{service}-{number}",
        "service": service,
        "address": f"10.0.0.{number}:80",
        "failure_domain": f"d{number}",
        "slots": 2,
        "state": ServerState.READY,
    }
    return BackendServer(**{**values, **changes})


def open_availability() -> AvailabilityTable:
    """Return the table of an instance that knows of no restrictions."""
    return AvailabilityTable(random.Random(2), SharerCount(1))


def record(number: int) -> bytes:
    return number.to_bytes(16, "big")


def completed(name: str = "sig", body: bytes = b"", status: int = 200) -> Completed:
    return Completed(status, (("x-name", name),), body, name)


class Case:
    """Runs the decisions on one request; times are seconds since its arrival."""

    def __init__(
        self,
        shards: int = 0,
        coverage: float = 0.8,
        replicas: int = 3,
        idempotent: bool = True,
        max_attempts: int = 2,
        burst: float = 100.0,
    ) -> None:
        services = tuple(f"s{i}" for i in range(shards)) or ("s",)
        target = SearchTarget(services, coverage, 3) if shards else ServiceTarget("s")
        self.servers = {
            name: tuple(server(name, i) for i in range(replicas)) for name in services
        }
        self.fleet = FleetHealth(BudgetLimits(0.2, burst, 10.0))
        self.availability = open_availability()
        route = Route(
            "r", "h", "/", target, idempotent, DEADLINE_S, OBJECTIVE_S, 1, max_attempts
        )
        request = CallerRequest("id", "h", "GET", "/x", (), b"", 0.0, None)
        self.state = RequestState(
            request=request,
            route=route,
            shards=tuple(ShardProgress(name, 100) for name in services),
            context=ForwardingContext(
                self.fleet,
                self.availability,
                SelectionContext("d0", random.Random(1)),
                lambda name: self.servers.get(name, ()),
                lambda: self.overloaded,
                lambda: self.exit_at,
            ),
            deadline_at=DEADLINE_S,
            cutoff_at=CUTOFF_S,
        )
        self.overloaded = False
        self.exit_at = math.inf
        self.sent = []
        self.cancelled = []
        self.answer = None

    def feed(self, event):
        """Feed an event and return the attempts that are sent."""
        actions = decide(event, self.state).actions
        sent = [a.attempt for a in actions if isinstance(a, Send)]
        self.sent += sent
        self.cancelled += [a.attempt for a in actions if isinstance(a, Cancel)]
        for action in actions:
            if isinstance(action, Finish):
                assert self.answer is None, "answered twice"
                self.answer = action.answer
        return sent

    def start(self):
        return self.feed(Started(0.0))

    def end(self, attempt, outcome, at: float = 0.02):
        return self.feed(AttemptEnded(at, attempt.id, outcome))

    def fire_timer(self, at: float):
        return self.feed(TimerFired(at))
