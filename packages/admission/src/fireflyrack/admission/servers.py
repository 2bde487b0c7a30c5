"""I/O and timers for the queues of the backend servers that an instance owns."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from functools import partial, singledispatchmethod
from typing import Any

import logbook

from fireflyrack.configuration import BackendServer
from fireflyrack.core import Failed, Ok, Outcome, StateMachine
from fireflyrack.http_client import ReceiveBudget

from .backend_client import BackendClient, usable_slots
from .errors import (
    BackendError,
    BackendNotSent,
    BackendUnreachable,
    RefusalReason,
    WorkFailed,
    WorkRefused,
)
from .events import (
    BatchEnded,
    BatchResult,
    CancelWork,
    DeadlinePassed,
    DrainReported,
    FailExpiredWork,
    LimitsChanged,
    PauseEnded,
    ReconnectEnded,
    ReconnectStarted,
    RefuseWork,
    ResumeAt,
    ServerReleased,
    ServerUnreachable,
    ServingReported,
    StartBatch,
    StartRun,
    WorkCancelled,
    WorkSubmitted,
)
from .limits import merge_limits
from .messages import BackendStatusModel, RepliesModel
from .outcomes import (
    batch_result,
    refused_outcome,
    reply_outcomes,
    run_outcome,
    work_error,
)
from .owned_server import OwnedServer, Waiter
from .queues import QueueState, decide
from .sending import MaySend, SendState
from .settings import AdmissionSettings
from .work import (
    RunOutcome,
    RunOutcomeUnknown,
    RunRequest,
    SearchResult,
    SearchWork,
    Work,
)

WorkOutcome = Outcome[SearchResult, WorkRefused | WorkFailed]
ClientFactory = Callable[..., BackendClient]

log = logbook.Logger("admission")


class OwnedServers:
    """Run work on the backend servers that this instance owns.

    Call `submit` for each sub-request and `run` for each non-idempotent request;
    cancel the task that awaits it to cancel the work. `may_send` tells whether this
    instance may act as owner; it is called before each send. `counters` counts the
    work that was sent, refused and cancelled.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        may_send: MaySend,
        open_client: ClientFactory | None = None,
    ) -> None:
        self.settings = settings
        self.may_send = may_send
        budget = ReceiveBudget(settings.response_limits.max_total_bytes)
        self.open_client = open_client or partial(BackendClient, budget=budget)
        self.loop = asyncio.get_running_loop()
        self.servers: dict[str, OwnedServer] = {}
        self.desired: dict[str, BackendServer] = {}
        self.releases: dict[str, asyncio.Task[None]] = {}
        self.counters: Counter[str] = Counter()

    async def own(self, servers: Iterable[BackendServer]) -> tuple[str, ...]:
        """Make the given backend servers the owned ones and release all others.

        Return the names of those released, after their last request has ended and
        their connections are closed. A backend server that is still being released
        is opened again afterwards.
        """
        self.desired = merge_limits(servers)
        releasing = {
            name: self.release(name)
            for name in self.servers.keys() - self.desired.keys()
        }
        for name in self.desired:
            self.reconcile(name)
        if releasing:
            await asyncio.wait(releasing.values())
        return tuple(releasing)

    def reconcile(self, name: str) -> None:
        """Open a desired backend server, or apply its new address or limits."""
        server = self.desired.get(name)
        if server is None or name in self.releases:
            return
        owned = self.servers.get(name)
        if owned is None:
            self.servers[name] = self.open_server(server)
        elif owned.client.server.address != server.address:
            # `finish_release` opens the new address.
            self.release(name)
        elif owned.client.server != server:
            self.change_limits(owned, server)

    def open_server(self, server: BackendServer) -> OwnedServer:
        """Create the queue and client of a backend server and warm its connections."""
        slots = usable_slots(server, self.settings)
        machine = StateMachine(
            QueueState(slots, self.settings), decide, lambda action: None
        )

        def on_draining() -> None:
            if not machine.state.draining:
                log.info("backend server {} is draining", server.id)
            machine.feed(DrainReported(self.loop.time()))

        client = self.open_client(server, self.settings, self.may_send, on_draining)
        owned = OwnedServer(client, machine)
        machine.perform = partial(self.perform_for, owned)
        self.warm(owned)
        return owned

    def warm(self, owned: OwnedServer) -> None:
        """Open connections before they are needed, unless that is in progress."""
        if not owned.warming:
            owned.warming = True
            self.start_call(owned, self.finish_warming(owned))

    async def finish_warming(self, owned: OwnedServer) -> None:
        """Open connections and clear the flag that this is in progress."""
        try:
            await owned.client.warm()
        finally:
            owned.warming = False

    def start_call(self, owned: OwnedServer, call: Coroutine[Any, Any, Any]) -> None:
        """Start a call that carries no work."""
        task = asyncio.create_task(call)
        owned.calls.add(task)
        task.add_done_callback(owned.calls.discard)

    def change_limits(self, owned: OwnedServer, server: BackendServer) -> None:
        """Apply new limits; reconnect if the connection limit has changed."""
        old, owned.client.server = owned.client.server, server
        slots = usable_slots(server, self.settings)
        owned.machine.feed(LimitsChanged(self.loop.time(), slots))
        if old.connections != server.connections and owned.replacement is None:
            owned.machine.feed(ReconnectStarted(self.loop.time()))
            owned.replacement = asyncio.create_task(self.replace_connections(owned))

    async def replace_connections(self, owned: OwnedServer) -> None:
        """Reconnect under the new limits once nothing is in flight."""
        while owned.requests or owned.calls:
            await asyncio.wait(owned.requests | owned.calls)
        await owned.client.replace_connections(owned.client.server)
        owned.replacement = None
        owned.machine.feed(ReconnectEnded(self.loop.time()))
        self.warm(owned)

    def release(self, name: str) -> asyncio.Task[None]:
        """Start the release of a backend server and return its task."""
        task = self.releases.get(name)
        if task is None:
            owned = self.servers.pop(name)
            task = asyncio.create_task(self.finish_release(name, owned))
            self.releases[name] = task
        return task

    async def finish_release(self, name: str, owned: OwnedServer) -> None:
        """Refuse waiting work, await work in flight and close the connections."""
        owned.machine.feed(ServerReleased(self.loop.time()))
        if owned.replacement:
            await owned.replacement
        while owned.requests or owned.calls:
            await asyncio.wait(owned.requests | owned.calls)
        await owned.client.close()
        del self.releases[name]
        self.reconcile(name)

    async def submit(self, backend_server: str, work: SearchWork) -> WorkOutcome:
        """Queue a sub-request and return its outcome.

        Work with the same id is sent once; it is cancelled when all tasks that await
        it are cancelled.
        """
        owned = self.servers.get(backend_server)
        if owned is None:
            self.counters["refused_not_owner"] += 1
            return refused_outcome(work, RefusalReason.NOT_OWNER)
        return await self.wait_for(owned, work)

    async def run(self, backend_server: str, run_request: RunRequest) -> RunOutcome:
        """Run a non-idempotent request at most once and return its outcome.

        Cancelling the awaiting task cancels the request if it has not been sent.
        """
        owned = self.servers.get(backend_server)
        if owned is None:
            self.counters["refused_not_owner"] += 1
            return refused_outcome(run_request, RefusalReason.NOT_OWNER)
        return await self.wait_for(owned, run_request)

    def cancel_run(self, backend_server: str, run_request: str) -> None:
        """Cancel a request; `run` returns RunRefused only if it was not sent."""
        if owned := self.servers.get(backend_server):
            self.cancel_work(owned, run_request)

    async def wait_for(self, owned: OwnedServer, work: Work) -> Any:
        """Queue work unless its id is queued or in flight, and await its outcome."""
        waiter = owned.waiters.get(work.id)
        if waiter is None:
            waiter = self.enqueue(owned, work)
        waiter.count += 1
        try:
            return await asyncio.shield(waiter.future)
        except asyncio.CancelledError:
            waiter.count -= 1
            if not waiter.count and not waiter.future.done():
                self.cancel_work(owned, work.id)
            raise

    def enqueue(self, owned: OwnedServer, work: Work) -> Waiter:
        """Submit new work to the queue, with a timer for its deadline."""
        now = self.loop.time()
        expire = partial(self.expire, owned, work.id)
        timer = self.loop.call_at(work.deadline_at, expire)
        waiter = Waiter(work, self.loop.create_future(), timer)
        owned.waiters[work.id] = waiter
        if self.may_send():
            owned.machine.feed(WorkSubmitted(now, work))
        else:
            self.refuse(owned, work.id, RefusalReason.NOT_PERMITTED)
        return waiter

    def expire(self, owned: OwnedServer, work: str) -> None:
        """Report to the queue that the deadline of some work has passed."""
        owned.machine.feed(DeadlinePassed(self.loop.time(), work))

    def cancel_work(self, owned: OwnedServer, work: str) -> None:
        """Cancel work that waits, is about to be sent or was sent."""
        if send := owned.sends.get(work):
            send.cancelled = True
        waiting = work in owned.machine.state.waiting
        self.counters["cancelled_waiting"] += waiting
        owned.machine.feed(WorkCancelled(self.loop.time(), work))

    def resolve(self, owned: OwnedServer, work: str, outcome: Any) -> None:
        """Resolve the future of some work and cancel its deadline timer."""
        if waiter := owned.waiters.pop(work, None):
            waiter.timer.cancel()
            waiter.future.set_result(outcome)

    def refuse(self, owned: OwnedServer, work: str, reason: RefusalReason) -> None:
        """Resolve work as refused and count the reason."""
        if waiter := owned.waiters.get(work):
            self.counters[f"refused_{reason.value}"] += 1
            self.resolve(owned, work, refused_outcome(waiter.work, reason))

    def perform_for(self, owned: OwnedServer, action: object) -> None:
        """Perform an action; `perform` dispatches on its first argument, the action."""
        self.perform(action, owned)

    @singledispatchmethod
    def perform(self, action: object, owned: OwnedServer) -> None:
        """Perform one action of a backend server's queue."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: RefuseWork, owned: OwnedServer) -> None:
        self.refuse(owned, action.work, action.reason)

    @perform.register
    def _(self, action: FailExpiredWork, owned: OwnedServer) -> None:
        self.counters["gave_up"] += 1
        self.resolve(owned, action.work, Failed(WorkFailed("deadline")))

    @perform.register
    def _(self, action: CancelWork, owned: OwnedServer) -> None:
        if not owned.sends[action.work].sent:
            # Not sent yet; `send_batch` leaves it out of the batch.
            self.refuse(owned, action.work, RefusalReason.CANCELLED)
            return
        # The slot stays in use until the backend server has replied.
        self.counters["cancelled_sent"] += 1
        if not owned.pending_cancellations:
            self.start_call(owned, self.send_cancel(owned))
        owned.pending_cancellations.append(action.work)

    @perform.register
    def _(self, action: ResumeAt, owned: OwnedServer) -> None:
        self.loop.call_at(
            action.at, lambda: owned.machine.feed(PauseEnded(self.loop.time()))
        )

    @perform.register
    def _(self, action: StartBatch, owned: OwnedServer) -> None:
        send = self.register_send(owned, action.work_items)
        self.start_request(owned, self.run_batch(owned, action, send))

    @perform.register
    def _(self, action: StartRun, owned: OwnedServer) -> None:
        request = action.request
        send = owned.sends[request.id] = SendState(self.may_send, request.deadline_at)
        self.start_request(owned, self.run_single(owned, action, send))

    def start_request(
        self, owned: OwnedServer, request: Coroutine[Any, Any, None]
    ) -> None:
        """Start a request that carries work."""
        task = asyncio.create_task(request)
        owned.requests.add(task)
        task.add_done_callback(owned.requests.discard)

    def register_send(
        self, owned: OwnedServer, work_items: tuple[SearchWork, ...]
    ) -> SendState:
        """Register one send state for a batch, with the earliest of its deadlines."""
        send = SendState(self.may_send, min(work.deadline_at for work in work_items))
        owned.sends.update((work.id, send) for work in work_items)
        return send

    async def run_batch(
        self, owned: OwnedServer, batch: StartBatch, send: SendState
    ) -> None:
        """Send a batch and resolve its work."""
        work_items = batch.work_items
        result = BatchResult.NOT_SENT
        try:
            outcome, work_items = await self.send_batch(owned, work_items, send)
            result = batch_result(outcome)
            match outcome:
                case Ok(replies):
                    self.resolve_replies(owned, work_items, replies)
                case Failed(error):
                    for work in work_items:
                        self.resolve_failed(owned, work, work_error(error))
        finally:
            # Work is unresolved here only after an unexpected exception.
            for work in batch.work_items:
                self.resolve(owned, work.id, Failed(WorkFailed("internal error")))
                owned.sends.pop(work.id, None)
            self.end_request(owned, batch.batch, result)

    def end_request(self, owned: OwnedServer, batch: int, result: BatchResult) -> None:
        """Free the slot of a request; open a connection for one that broke."""
        owned.machine.feed(BatchEnded(self.loop.time(), batch, result))
        if result is BatchResult.BROKEN and not owned.machine.state.released:
            self.warm(owned)

    async def send_batch(
        self, owned: OwnedServer, work_items: tuple[SearchWork, ...], send: SendState
    ) -> tuple[Outcome[RepliesModel, BackendError], tuple[SearchWork, ...]]:
        """Send a batch without the work that expired or was cancelled meanwhile."""
        while True:
            now = self.loop.time()
            latest = max(work.deadline_at for work in work_items)
            timeout_s = max(0.0, latest - now) + self.settings.reply_grace_s
            outcome = await owned.client.search(work_items, send, timeout_s)
            if batch_result(outcome) is BatchResult.NOT_SENT:
                remaining = self.drop_expired(owned, work_items)
                if remaining and len(remaining) < len(work_items):
                    work_items, send = remaining, self.register_send(owned, remaining)
                    continue
            if send.sent:
                self.counters["sent_batches"] += 1
                self.counters["sent_sub_requests"] += len(work_items)
            return outcome, work_items

    def drop_expired(
        self, owned: OwnedServer, work_items: tuple[SearchWork, ...]
    ) -> tuple[SearchWork, ...]:
        """Refuse the expired work of an unsent batch; return what still has waiters."""
        now = self.loop.time()
        for work in work_items:
            if work.deadline_at <= now:
                self.refuse(owned, work.id, RefusalReason.DEADLINE)
        return tuple(work for work in work_items if work.id in owned.waiters)

    async def run_single(
        self, owned: OwnedServer, start: StartRun, send: SendState
    ) -> None:
        """Send a non-idempotent request and resolve it."""
        request = start.request
        result = BatchResult.NOT_SENT
        try:
            remaining_s = max(0.0, request.deadline_at - self.loop.time())
            timeout_s = remaining_s + self.settings.reply_grace_s
            outcome = await owned.client.run(request, send, timeout_s)
            result = batch_result(outcome)
            self.counters["sent_runs"] += send.sent
            self.resolve(owned, request.id, run_outcome(request, outcome))
        finally:
            self.resolve(owned, request.id, RunOutcomeUnknown("internal error"))
            owned.sends.pop(request.id, None)
            self.end_request(owned, start.batch, result)

    async def send_cancel(self, owned: OwnedServer) -> None:
        """Send the pending cancellations in one call."""
        # A coordinator cancels all its work within one iteration of the event loop.
        await asyncio.sleep(0)
        ids, owned.pending_cancellations = tuple(owned.pending_cancellations), []
        self.counters["cancel_calls"] += 1
        await owned.client.cancel(ids)

    def resolve_replies(
        self,
        owned: OwnedServer,
        work_items: tuple[SearchWork, ...],
        replies: RepliesModel,
    ) -> None:
        """Resolve the work of a batch with its replies."""
        for work, outcome in reply_outcomes(work_items, replies):
            self.resolve(owned, work.id, outcome)

    def resolve_failed(
        self, owned: OwnedServer, work: SearchWork, error: WorkRefused | WorkFailed
    ) -> None:
        """Resolve work whose batch failed."""
        match error:
            case WorkRefused(reason):
                self.refuse(owned, work.id, reason)
            case WorkFailed():
                self.resolve(owned, work.id, Failed(error))

    async def poll_status(
        self, backend_server: str
    ) -> Outcome[BackendStatusModel, BackendError]:
        """Read the status of a backend server and report its state to the queue."""
        owned = self.servers.get(backend_server)
        if owned is None:
            return Failed(BackendNotSent(RefusalReason.NOT_OWNER))
        task = asyncio.create_task(owned.client.status())
        owned.calls.add(task)
        task.add_done_callback(owned.calls.discard)
        outcome = await asyncio.shield(task)
        now = self.loop.time()
        state = owned.machine.state
        match outcome:
            case Ok(status) if status.state == "draining":
                owned.machine.feed(DrainReported(now))
            case Ok():
                was_unreachable = not state.reachable
                owned.machine.feed(ServingReported(now))
                if was_unreachable:
                    log.info("backend server {} is reachable again", backend_server)
                    self.warm(owned)
            case Failed(BackendUnreachable(detail)):
                if state.reachable:
                    log.info(
                        "backend server {} is unreachable: {}", backend_server, detail
                    )
                owned.machine.feed(ServerUnreachable(now))
        return outcome

    async def close(self) -> None:
        """Release all backend servers and wait until that has ended."""
        self.desired = {}
        for name in tuple(self.servers):
            self.release(name)
        if self.releases:
            await asyncio.wait(self.releases.values())
