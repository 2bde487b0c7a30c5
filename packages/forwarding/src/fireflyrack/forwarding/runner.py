"""Runner of requests: performs the decisions on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod

from fireflyrack.core import StateMachine
from fireflyrack.discovery import BackendServer
from fireflyrack.routing import Route, RoutingTable, SplitState, shards_of
from fireflyrack.telemetry import EventLog, Importance

from .attempts import Attempt, BackendTransport, Interrupted
from .crashes import QUARANTINE_S
from .decisions import decide
from .log_events import RequestOver, RequestRejected
from .metrics import ForwardingMetrics
from .requests import (
    Answer,
    CallerRequest,
    Cause,
    Merged,
    NoRoute,
    NotRun,
    Relayed,
)
from .state import (
    AttemptEnded,
    CallerLeft,
    Cancel,
    CheckServer,
    Finish,
    RequestState,
    Send,
    ShardProgress,
    Started,
    Surroundings,
    WakeAt,
    Woken,
)

# Part of the latency objective that is left for the way to the caller and back when
# a search answers without its last shards, and the most of it.
CUT_RESERVE_PART = 0.15
MAX_CUT_RESERVE_S = 0.02
# Callers come back after this time while no configuration is known.
UNCONFIGURED_RETRY_AFTER_S = 0.5
# A quarantined request is told to come back after the quarantine may have ended.
QUARANTINED_RETRY_AFTER_S = QUARANTINE_S
# Connections of a service that the configuration does not declare.
DEFAULT_MAX_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class Beliefs:
    """Hold what the instance believes when a request arrives; ages in seconds."""

    table: RoutingTable | None
    table_age_s: float
    registers_age_s: float
    instances: int


class RequestRunner:
    """Answer requests of callers; call `handle` for each.

    Cancelling `handle` cancels the work at the backend servers.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        transport: BackendTransport,
        beliefs: Callable[[], Beliefs],
        log: EventLog,
        metrics: ForwardingMetrics,
        now: Callable[[], float],
    ) -> None:
        self.surroundings = surroundings
        self.transport = transport
        self.beliefs = beliefs
        self.log = log
        self.metrics = metrics
        self.now = now
        self.splits = SplitState()
        self.in_flight = 0
        self.checks: dict[str, asyncio.Task[None]] = {}

    async def handle(self, request: CallerRequest) -> Answer:
        """Return the answer to a request."""
        beliefs = self.beliefs()
        table = beliefs.table
        if table is None:
            return self.reject(
                request,
                beliefs,
                NotRun(Cause.NO_CONFIGURATION, UNCONFIGURED_RETRY_AFTER_S),
            )
        route = table.match(request.host, request.path)
        if route is None:
            return self.reject(request, beliefs, NoRoute())
        if self.surroundings.crashes.quarantined(request, self.now()):
            refusal = NotRun(Cause.QUARANTINED, QUARANTINED_RETRY_AFTER_S)
            return self.reject(request, beliefs, refusal)
        self.in_flight += 1
        try:
            run = RequestRun(self, request, route, table)
            answer = await run.answer()
        finally:
            self.in_flight -= 1
        self.tell(run.machine.state, answer, beliefs)
        return answer

    def check(self, server: BackendServer) -> None:
        """Look whether a backend server is still there, unless that is under way."""
        if server.id not in self.checks:
            task = asyncio.create_task(self.find_away(server))
            self.checks[server.id] = task
            task.add_done_callback(lambda _: self.checks.pop(server.id, None))

    async def find_away(self, server: BackendServer) -> None:
        """Record a backend server that takes no connection."""
        if not await self.transport.reachable(server):
            crashes = self.surroundings.crashes
            crashes.note_away(server.id, server.incarnation, self.now())

    def reject(
        self, request: CallerRequest, beliefs: Beliefs, answer: Answer
    ) -> Answer:
        """Answer a request that is not run."""
        outcome = type(answer).__name__
        cause = answer.cause.value if isinstance(answer, NotRun) else "no route"
        version = beliefs.table.version if beliefs.table else 0
        self.metrics.requests.labels(outcome, cause).inc()
        self.log.record(
            RequestRejected(
                request.id,
                request.host,
                request.target,
                outcome,
                cause,
                version,
                beliefs.table_age_s,
            )
        )
        return answer

    def tell(self, state: RequestState, answer: Answer, beliefs: Beliefs) -> None:
        """Count and log an answered request."""
        latency_s = self.now() - state.request.received_at
        missing = tuple(s.service for s in state.shards if s.result is None)
        outcome = type(answer).__name__
        cause = getattr(answer, "cause", None)
        patience_s = state.request.patience_s
        failed = not isinstance(answer, (Relayed, Merged)) or bool(missing)
        late = latency_s > state.route.objective_s
        self.metrics.note_request(state, answer, latency_s)
        state.story.append(
            RequestOver(
                request=state.request.id,
                route=state.route.name,
                host=state.request.host,
                target=state.request.target,
                outcome=outcome,
                cause=cause.value if cause else "",
                latency_s=latency_s,
                objective_s=state.route.objective_s,
                patience_s=-1.0 if patience_s is None else patience_s,
                shards=len(state.shards),
                missing=missing,
                configuration=beliefs.table.version,
                configuration_age_s=beliefs.table_age_s,
                registers_age_s=beliefs.registers_age_s,
                instances=beliefs.instances,
            )
        )
        importance = Importance.NOTABLE if failed or late else Importance.ROUTINE
        self.log.record_story(tuple(state.story), importance)


class RequestRun:
    """Run one request; await `answer` once."""

    def __init__(
        self,
        runner: RequestRunner,
        request: CallerRequest,
        route: Route,
        table: RoutingTable,
    ) -> None:
        self.runner = runner
        self.loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Answer] = self.loop.create_future()
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        state = initial_state(runner, request, route, table)
        self.machine = StateMachine(state, decide, self.perform)

    async def answer(self) -> Answer:
        """Return the answer; cancelling this ends all attempts."""
        try:
            self.machine.feed(Started(self.runner.now()))
            return await self.future
        except asyncio.CancelledError:
            self.machine.feed(CallerLeft(self.runner.now()))
            raise
        finally:
            if self.timer:
                self.timer.cancel()

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: Send) -> None:
        task = self.loop.create_task(self.attempt(action.attempt))
        self.tasks[action.attempt.id] = task

    @perform.register
    def _(self, action: Cancel) -> None:
        task = self.tasks.pop(action.attempt, None)
        if task:
            task.cancel()

    @perform.register
    def _(self, action: CheckServer) -> None:
        self.runner.check(action.server)

    @perform.register
    def _(self, action: WakeAt) -> None:
        if self.timer:
            self.timer.cancel()
        delay_s = max(0.0, action.at - self.runner.now())
        self.timer = self.loop.call_later(delay_s, self.wake)

    @perform.register
    def _(self, action: Finish) -> None:
        if not self.future.done():
            self.future.set_result(action.answer)

    def wake(self) -> None:
        """Feed the time that has come."""
        self.timer = None
        self.machine.feed(Woken(self.runner.now()))

    async def attempt(self, attempt: Attempt) -> None:
        """Send one attempt and feed its outcome."""
        request = self.machine.state.request
        try:
            outcome = await self.runner.transport.send(request, attempt)
        except Exception as error:  # noqa: BLE001
            # A fault of the transport ends one attempt, not the request.
            outcome = Interrupted(f"transport: {error!r}")
        self.tasks.pop(attempt.id, None)
        self.runner.metrics.note_attempt(outcome)
        self.machine.feed(AttemptEnded(self.runner.now(), attempt.id, outcome))


def initial_state(
    runner: RequestRunner, request: CallerRequest, route: Route, table: RoutingTable
) -> RequestState:
    """Return the state of a request that was just read."""
    wait_s = route.timeout_s
    if request.patience_s is not None:
        wait_s = min(wait_s, request.patience_s)
    reserve_s = min(MAX_CUT_RESERVE_S, CUT_RESERVE_PART * route.objective_s)
    health = runner.surroundings.fleet.route(route.name, route.objective_s)
    reserve_s += health.spent_s(route.timeout_s, request.patience_s)
    services = shards_of(route.target, route, runner.splits)
    shards = tuple(
        ShardProgress(service, max_connections_of(table, service))
        for service in services
    )
    return RequestState(
        request=request,
        route=route,
        shards=shards,
        surroundings=runner.surroundings,
        deadline_at=request.received_at + wait_s,
        cut_at=request.received_at + route.objective_s - reserve_s,
    )


def max_connections_of(table: RoutingTable, service: str) -> int:
    """Return the connections that backend servers of a service accept."""
    declared = table.services.get(service)
    return declared.max_connections if declared else DEFAULT_MAX_CONNECTIONS
