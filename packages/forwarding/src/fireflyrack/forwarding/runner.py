"""Execution of requests: performs the actions of the decisions on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from fireflyrack.availability import NoticeReceived
from fireflyrack.core import StateMachine
from fireflyrack.discovery import BackendServer
from fireflyrack.routing import Route, RoutingTable, SplitState, select_shards
from fireflyrack.telemetry import EventLog, Importance

from .attempts import Attempt, BackendTransport, Interrupted
from .crashes import Quarantined, fingerprint_of
from .decisions import decide
from .log_events import RequestFinished, RequestRejected, RequestTried
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
    CallerDisconnected,
    Cancel,
    Finish,
    ForwardingContext,
    ProbeServer,
    RecordNotice,
    RequestState,
    Send,
    SetTimer,
    ShardProgress,
    Started,
    TimerFired,
)

# Time reserved for the network path between caller and instance when a search is cut
# off: a fraction of the latency objective, and its maximum in seconds.
CUTOFF_RESERVE_FRACTION = 0.15
MAX_CUTOFF_RESERVE_S = 0.02
# Retry delay for callers while no configuration is known.
UNCONFIGURED_RETRY_AFTER_S = 0.5
# Connection limit for services that the configuration does not declare.
DEFAULT_MAX_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class ClusterView:
    """Cached cluster state at the arrival of a request; ages are in seconds."""

    table: RoutingTable | None
    table_age_s: float
    registrations_age_s: float
    instances: int


class RequestRunner:
    """Handler of requests from callers; call `handle` for each.

    Cancelling `handle` cancels the work on the backend servers.
    """

    def __init__(
        self,
        context: ForwardingContext,
        transport: BackendTransport,
        record_notice: Callable[[NoticeReceived], None],
        cluster_view: Callable[[], ClusterView],
        log: EventLog,
        metrics: ForwardingMetrics,
        now: Callable[[], float],
    ) -> None:
        self.context = context
        self.record_notice = record_notice
        self.transport = transport
        self.cluster_view = cluster_view
        self.log = log
        self.metrics = metrics
        self.now = now
        self.splits = SplitState()
        self.in_flight = 0
        self.probes: dict[str, asyncio.Task[None]] = {}

    async def handle(self, request: CallerRequest) -> Answer:
        """Return the answer to a request."""
        cluster_view = self.cluster_view()
        table = cluster_view.table
        if table is None:
            return self.reject(
                request,
                cluster_view,
                NotRun(Cause.NO_CONFIGURATION, UNCONFIGURED_RETRY_AFTER_S),
            )
        route = table.match(request.host, request.path)
        if route is None:
            return self.reject(request, cluster_view, NoRoute())
        admission = self.context.crashes.admit(request, self.now())
        if isinstance(admission, Quarantined):
            refusal = NotRun(Cause.QUARANTINED, admission.retry_after_s)
            return self.reject(request, cluster_view, refusal)
        if admission.trial:
            self.log.record(RequestTried(request.id, fingerprint_of(request)))
            route = replace(route, max_attempts=1)
        self.in_flight += 1
        try:
            run = RequestExecution(self, request, route, table)
            answer = await run.answer()
        finally:
            self.in_flight -= 1
        self.record_answer(run.machine.state, answer, cluster_view)
        return answer

    def probe(self, server: BackendServer) -> None:
        """Start a probe of a backend server unless one is in progress."""
        if server.id not in self.probes:
            task = asyncio.create_task(self.record_if_unreachable(server))
            self.probes[server.id] = task
            task.add_done_callback(lambda _: self.probes.pop(server.id, None))

    async def record_if_unreachable(self, server: BackendServer) -> None:
        """Probe a backend server and record it if it accepts no connection."""
        if not await self.transport.reachable(server):
            crashes = self.context.crashes
            crashes.record_unavailable(server.id, server.incarnation, self.now())

    def reject(
        self, request: CallerRequest, cluster_view: ClusterView, answer: Answer
    ) -> Answer:
        """Count, log and return the answer to a request that is not executed."""
        outcome = type(answer).__name__
        cause = answer.cause.value if isinstance(answer, NotRun) else "no route"
        version = cluster_view.table.version if cluster_view.table else 0
        self.metrics.requests.labels(outcome, cause).inc()
        self.log.record(
            RequestRejected(
                request.id,
                request.host,
                request.target,
                outcome,
                cause,
                version,
                cluster_view.table_age_s,
            )
        )
        return answer

    def record_answer(
        self, state: RequestState, answer: Answer, cluster_view: ClusterView
    ) -> None:
        """Count and log an answered request."""
        latency_s = self.now() - state.request.received_at
        missing = tuple(s.service for s in state.shards if s.result is None)
        outcome = type(answer).__name__
        cause = getattr(answer, "cause", None)
        caller_timeout_s = state.request.caller_timeout_s
        failed = not isinstance(answer, (Relayed, Merged)) or bool(missing)
        late = latency_s > state.route.objective_s
        self.metrics.record_request(state, answer, latency_s)
        state.trace.append(
            RequestFinished(
                request=state.request.id,
                route=state.route.name,
                host=state.request.host,
                target=state.request.target,
                outcome=outcome,
                cause=cause.value if cause else "",
                latency_s=latency_s,
                objective_s=state.route.objective_s,
                patience_s=-1.0 if caller_timeout_s is None else caller_timeout_s,
                shards=len(state.shards),
                missing=missing,
                configuration=cluster_view.table.version,
                configuration_age_s=cluster_view.table_age_s,
                registers_age_s=cluster_view.registrations_age_s,
                instances=cluster_view.instances,
            )
        )
        importance = Importance.NOTABLE if failed or late else Importance.ROUTINE
        self.log.record_all(tuple(state.trace), importance)


class RequestExecution:
    """Execution of one request; await `answer` exactly once."""

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
        """Return the answer; cancellation cancels all attempts."""
        try:
            self.machine.feed(Started(self.runner.now()))
            return await self.future
        except asyncio.CancelledError:
            self.machine.feed(CallerDisconnected(self.runner.now()))
            raise
        finally:
            if self.timer:
                self.timer.cancel()

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

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
    def _(self, action: ProbeServer) -> None:
        self.runner.probe(action.server)

    @perform.register
    def _(self, action: RecordNotice) -> None:
        self.runner.record_notice(action.event)

    @perform.register
    def _(self, action: SetTimer) -> None:
        if self.timer:
            self.timer.cancel()
        delay_s = max(0.0, action.at - self.runner.now())
        self.timer = self.loop.call_later(delay_s, self.on_timer)

    @perform.register
    def _(self, action: Finish) -> None:
        if not self.future.done():
            self.future.set_result(action.answer)

    def on_timer(self) -> None:
        """Feed the expiry of the timer."""
        self.timer = None
        self.machine.feed(TimerFired(self.runner.now()))

    async def attempt(self, attempt: Attempt) -> None:
        """Send one attempt and feed its outcome."""
        request = self.machine.state.request
        try:
            outcome = await self.runner.transport.send(request, attempt)
        except Exception as error:  # noqa: BLE001
            # An error in the transport ends this attempt, not the request.
            outcome = Interrupted(f"transport: {error!r}")
        self.tasks.pop(attempt.id, None)
        self.runner.metrics.record_attempt(outcome)
        self.machine.feed(AttemptEnded(self.runner.now(), attempt.id, outcome))


def initial_state(
    runner: RequestRunner, request: CallerRequest, route: Route, table: RoutingTable
) -> RequestState:
    """Return the state of a request that was just received."""
    wait_s = route.timeout_s
    if request.caller_timeout_s is not None:
        wait_s = min(wait_s, request.caller_timeout_s)
    reserve_s = min(MAX_CUTOFF_RESERVE_S, CUTOFF_RESERVE_FRACTION * route.objective_s)
    health = runner.context.fleet.route(route.name, route.objective_s)
    reserve_s += health.elapsed_before_receipt_s(
        route.timeout_s, request.caller_timeout_s
    )
    services = select_shards(route.target, route, runner.splits)
    shards = tuple(
        ShardProgress(service, max_connections_of(table, service))
        for service in services
    )
    return RequestState(
        request=request,
        route=route,
        shards=shards,
        context=runner.context,
        deadline_at=request.received_at + wait_s,
        cutoff_at=request.received_at + route.objective_s - reserve_s,
    )


def max_connections_of(table: RoutingTable, service: str) -> int:
    """Return how many connections each backend server of a service accepts."""
    declared = table.services.get(service)
    return declared.max_connections if declared else DEFAULT_MAX_CONNECTIONS
