"""Shell of the queues: the backend servers that an instance owns."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from functools import partial, singledispatchmethod
from typing import Any

import logbook

from fireflyrack.configuration import BackendServer
from fireflyrack.core import Failed, Ok, Outcome, StateMachine

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
    GiveUpWork,
    HoldEnded,
    HoldStarted,
    LimitsChanged,
    PauseEnded,
    RefuseWork,
    ResumeAt,
    ServerLost,
    ServerReleased,
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
from .queues import QueueState, decide
from .sending import MaySend, Send
from .settings import AdmissionSettings
from .work import RunLost, RunOutcome, RunRequest, SearchResult, SearchWork, Work

WorkOutcome = Outcome[SearchResult, WorkRefused | WorkFailed]
ClientFactory = Callable[..., BackendClient]

log = logbook.Logger("admission")


@dataclass(slots=True)
class Waiter:
    """Hold those who wait for the outcome of some work."""

    work: Work
    future: asyncio.Future[Any]
    timer: asyncio.TimerHandle
    count: int = 0


@dataclass(slots=True)
class OwnedServer:
    """Hold the queue and the client of one backend server."""

    client: BackendClient
    machine: StateMachine[QueueState]
    waiters: dict[str, Waiter] = field(default_factory=dict)
    # The sub-requests of a batch share one.
    sends: dict[str, Send] = field(default_factory=dict)
    # Requests in flight, and calls that do not carry work.
    requests: set[asyncio.Task[None]] = field(default_factory=set)
    calls: set[asyncio.Task[None]] = field(default_factory=set)
    to_cancel: list[str] = field(default_factory=list)
    warming: bool = False
    # Set while connections are replaced.
    replacement: asyncio.Task[None] | None = None


class OwnedServers:
    """Run work on the backend servers that this instance owns.

    Call `submit` for each sub-request and `run` for each non-idempotent request;
    cancel the task that awaits it to cancel the work. `may_send` says whether this
    instance may act as owner now; it is asked before each send. `counters` counts
    what was sent, refused and cancelled.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        may_send: MaySend,
        open_client: ClientFactory = BackendClient,
    ) -> None:
        self.settings = settings
        self.may_send = may_send
        self.open_client = open_client
        self.loop = asyncio.get_running_loop()
        self.servers: dict[str, OwnedServer] = {}
        self.wanted: dict[str, BackendServer] = {}
        self.releases: dict[str, asyncio.Task[None]] = {}
        self.counters: Counter[str] = Counter()

    async def own(self, servers: Iterable[BackendServer]) -> tuple[str, ...]:
        """Take over the given backend servers and release all others.

        Return the names of those released, after their last request has ended and
        their connections are closed. A backend server whose release is still going
        on is taken over afterwards.
        """
        self.wanted = merge_limits(servers)
        started = {
            name: self.release(name)
            for name in self.servers.keys() - self.wanted.keys()
        }
        for name in self.wanted:
            self.follow(name)
        if started:
            await asyncio.wait(started.values())
        return tuple(started)

    def follow(self, name: str) -> None:
        """Open a wanted backend server or follow its new limits."""
        server = self.wanted.get(name)
        if server is None or name in self.releases:
            return
        owned = self.servers.get(name)
        if owned is None:
            self.servers[name] = self.open(server)
        elif owned.client.server.address != server.address:
            # The release opens the new address when it ends.
            self.release(name)
        elif owned.client.server != server:
            self.change_limits(owned, server)

    def open(self, server: BackendServer) -> OwnedServer:
        """Return the queue and client of a backend server; warm its connections."""
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
        """Open connections ahead of their use unless this goes on already."""
        if not owned.warming:
            owned.warming = True
            self.start_call(owned, self.finish_warming(owned))

    async def finish_warming(self, owned: OwnedServer) -> None:
        """Open connections."""
        try:
            await owned.client.warm()
        finally:
            owned.warming = False

    def start_call(self, owned: OwnedServer, call: Coroutine[Any, Any, Any]) -> None:
        """Make a call that carries no work."""
        task = asyncio.create_task(call)
        owned.calls.add(task)
        task.add_done_callback(owned.calls.discard)

    def change_limits(self, owned: OwnedServer, server: BackendServer) -> None:
        """Follow the limits of a new configuration."""
        old, owned.client.server = owned.client.server, server
        slots = usable_slots(server, self.settings)
        owned.machine.feed(LimitsChanged(self.loop.time(), slots))
        if old.connections != server.connections and owned.replacement is None:
            owned.machine.feed(HoldStarted(self.loop.time()))
            owned.replacement = asyncio.create_task(self.replace_connections(owned))

    async def replace_connections(self, owned: OwnedServer) -> None:
        """Open connections under new limits when nothing is in flight."""
        while owned.requests or owned.calls:
            await asyncio.wait(owned.requests | owned.calls)
        await owned.client.replace_connections(owned.client.server)
        owned.replacement = None
        owned.machine.feed(HoldEnded(self.loop.time()))
        self.warm(owned)

    def release(self, name: str) -> asyncio.Task[None]:
        """Start to release a backend server."""
        task = self.releases.get(name)
        if task is None:
            owned = self.servers.pop(name)
            task = asyncio.create_task(self.finish_release(name, owned))
            self.releases[name] = task
        return task

    async def finish_release(self, name: str, owned: OwnedServer) -> None:
        """Refuse what waits, finish what runs and close the connections."""
        owned.machine.feed(ServerReleased(self.loop.time()))
        if owned.replacement:
            await owned.replacement
        while owned.requests or owned.calls:
            await asyncio.wait(owned.requests | owned.calls)
        await owned.client.close()
        del self.releases[name]
        self.follow(name)

    async def submit(self, backend_server: str, work: SearchWork) -> WorkOutcome:
        """Queue a sub-request and return its outcome.

        Work with the same id is sent once; it is cancelled when all who wait for it
        are cancelled.
        """
        owned = self.servers.get(backend_server)
        if owned is None:
            self.counters["refused_not_owner"] += 1
            return refused_outcome(work, RefusalReason.NOT_OWNER)
        return await self.wait_for(owned, work)

    async def run(self, backend_server: str, run_request: RunRequest) -> RunOutcome:
        """Take a slot, run a non-idempotent request once and return its outcome.

        A cancelled awaiting task cancels the request if it has not been sent.
        """
        owned = self.servers.get(backend_server)
        if owned is None:
            self.counters["refused_not_owner"] += 1
            return refused_outcome(run_request, RefusalReason.NOT_OWNER)
        return await self.wait_for(owned, run_request)

    def cancel_run(self, backend_server: str, run_request: str) -> None:
        """Cancel a request; `run` returns RunRefused only if it was not sent."""
        if owned := self.servers.get(backend_server):
            self.abandon(owned, run_request)

    async def wait_for(self, owned: OwnedServer, work: Work) -> Any:
        """Queue work unless it is queued already, and wait for its outcome."""
        waiter = owned.waiters.get(work.id)
        if waiter is None:
            waiter = self.enqueue(owned, work)
        waiter.count += 1
        try:
            return await asyncio.shield(waiter.future)
        except asyncio.CancelledError:
            waiter.count -= 1
            if not waiter.count and not waiter.future.done():
                self.abandon(owned, work.id)
            raise

    def enqueue(self, owned: OwnedServer, work: Work) -> Waiter:
        """Feed new work to the queue."""
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
        """Feed a passed deadline to the queue."""
        owned.machine.feed(DeadlinePassed(self.loop.time(), work))

    def abandon(self, owned: OwnedServer, work: str) -> None:
        """Cancel work wherever it is."""
        if send := owned.sends.get(work):
            send.cancelled = True
        waiting = work in owned.machine.state.waiting
        self.counters["cancelled_waiting"] += waiting
        owned.machine.feed(WorkCancelled(self.loop.time(), work))

    def settle(self, owned: OwnedServer, work: str, outcome: Any) -> None:
        """Give an outcome to those who wait for some work."""
        if waiter := owned.waiters.pop(work, None):
            waiter.timer.cancel()
            waiter.future.set_result(outcome)

    def refuse(self, owned: OwnedServer, work: str, reason: RefusalReason) -> None:
        """Refuse work that has not been sent."""
        if waiter := owned.waiters.get(work):
            self.counters[f"refused_{reason.value}"] += 1
            self.settle(owned, work, refused_outcome(waiter.work, reason))

    def perform_for(self, owned: OwnedServer, action: object) -> None:
        """Perform one action of a backend server's queue."""
        self.perform(action, owned)

    @singledispatchmethod
    def perform(self, action: object, owned: OwnedServer) -> None:
        """Perform one action of a backend server's queue."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: RefuseWork, owned: OwnedServer) -> None:
        self.refuse(owned, action.work, action.reason)

    @perform.register
    def _(self, action: GiveUpWork, owned: OwnedServer) -> None:
        self.counters["gave_up"] += 1
        self.settle(owned, action.work, Failed(WorkFailed("deadline")))

    @perform.register
    def _(self, action: CancelWork, owned: OwnedServer) -> None:
        if not owned.sends[action.work].sent:
            # The backend server has not seen it; `send_batch` leaves it out.
            self.refuse(owned, action.work, RefusalReason.CANCELLED)
            return
        # The slot stays in use until the backend server has replied.
        self.counters["cancelled_sent"] += 1
        if not owned.to_cancel:
            self.start_call(owned, self.send_cancel(owned))
        owned.to_cancel.append(action.work)

    @perform.register
    def _(self, action: ResumeAt, owned: OwnedServer) -> None:
        self.loop.call_at(
            action.at, lambda: owned.machine.feed(PauseEnded(self.loop.time()))
        )

    @perform.register
    def _(self, action: StartBatch, owned: OwnedServer) -> None:
        send = self.permit_batch(owned, action.works)
        self.start_request(owned, self.run_batch(owned, action, send))

    @perform.register
    def _(self, action: StartRun, owned: OwnedServer) -> None:
        request = action.request
        send = owned.sends[request.id] = Send(self.may_send, request.deadline_at)
        self.start_request(owned, self.run_single(owned, action, send))

    def start_request(
        self, owned: OwnedServer, request: Coroutine[Any, Any, None]
    ) -> None:
        """Send a request that carries work."""
        task = asyncio.create_task(request)
        owned.requests.add(task)
        task.add_done_callback(owned.requests.discard)

    def permit_batch(self, owned: OwnedServer, works: tuple[SearchWork, ...]) -> Send:
        """Return what permits a batch to leave until one of its work is too late."""
        send = Send(self.may_send, min(work.deadline_at for work in works))
        owned.sends.update((work.id, send) for work in works)
        return send

    async def run_batch(
        self, owned: OwnedServer, batch: StartBatch, send: Send
    ) -> None:
        """Send a batch and settle its work."""
        works = batch.works
        result = BatchResult.NOT_SENT
        try:
            outcome, works = await self.send_batch(owned, works, send)
            result = batch_result(outcome)
            match outcome:
                case Ok(replies):
                    self.settle_replies(owned, works, replies)
                case Failed(error):
                    for work in works:
                        self.settle_failed(owned, work, work_error(error))
        finally:
            # Only an unexpected exception leaves work without outcome here.
            for work in batch.works:
                self.settle(owned, work.id, Failed(WorkFailed("internal error")))
                owned.sends.pop(work.id, None)
            self.end_request(owned, batch.batch, result)

    def end_request(self, owned: OwnedServer, batch: int, result: BatchResult) -> None:
        """Free the slot of a request; replace the connection that it broke."""
        owned.machine.feed(BatchEnded(self.loop.time(), batch, result))
        if result is BatchResult.BROKEN and not owned.machine.state.released:
            self.warm(owned)

    async def send_batch(
        self, owned: OwnedServer, works: tuple[SearchWork, ...], send: Send
    ) -> tuple[Outcome[RepliesModel, BackendError], tuple[SearchWork, ...]]:
        """Send the part of a batch that is neither late nor cancelled."""
        while True:
            now = self.loop.time()
            latest = max(work.deadline_at for work in works)
            timeout_s = max(0.0, latest - now) + self.settings.reply_grace_s
            outcome = await owned.client.search(works, send, timeout_s)
            if batch_result(outcome) is BatchResult.NOT_SENT:
                left = self.leave_out(owned, works)
                if left and len(left) < len(works):
                    works, send = left, self.permit_batch(owned, left)
                    continue
            if send.sent:
                self.counters["sent_batches"] += 1
                self.counters["sent_sub_requests"] += len(works)
            return outcome, works

    def leave_out(
        self, owned: OwnedServer, works: tuple[SearchWork, ...]
    ) -> tuple[SearchWork, ...]:
        """Refuse the late work of an unsent batch; return what still has waiters."""
        now = self.loop.time()
        for work in works:
            if work.deadline_at <= now:
                self.refuse(owned, work.id, RefusalReason.DEADLINE)
        return tuple(work for work in works if work.id in owned.waiters)

    async def run_single(self, owned: OwnedServer, start: StartRun, send: Send) -> None:
        """Send a non-idempotent request and settle it."""
        request = start.request
        result = BatchResult.NOT_SENT
        try:
            left_s = max(0.0, request.deadline_at - self.loop.time())
            timeout_s = left_s + self.settings.reply_grace_s
            outcome = await owned.client.run(request, send, timeout_s)
            result = batch_result(outcome)
            self.counters["sent_runs"] += send.sent
            self.settle(owned, request.id, run_outcome(request, outcome))
        finally:
            self.settle(owned, request.id, RunLost("internal error"))
            owned.sends.pop(request.id, None)
            self.end_request(owned, start.batch, result)

    async def send_cancel(self, owned: OwnedServer) -> None:
        """Send the cancellations that have come together."""
        # One turn of the loop collects those of one coordinator.
        await asyncio.sleep(0)
        ids, owned.to_cancel = tuple(owned.to_cancel), []
        self.counters["cancel_calls"] += 1
        await owned.client.cancel(ids)

    def settle_replies(
        self, owned: OwnedServer, works: tuple[SearchWork, ...], replies: RepliesModel
    ) -> None:
        """Give each reply of a batch to its work."""
        for work, outcome in reply_outcomes(works, replies):
            self.settle(owned, work.id, outcome)

    def settle_failed(
        self, owned: OwnedServer, work: SearchWork, error: WorkRefused | WorkFailed
    ) -> None:
        """Settle work whose batch failed."""
        match error:
            case WorkRefused(reason):
                self.refuse(owned, work.id, reason)
            case WorkFailed():
                self.settle(owned, work.id, Failed(error))

    async def poll_status(
        self, backend_server: str
    ) -> Outcome[BackendStatusModel, BackendError]:
        """Read a backend server's status and follow its state."""
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
                was_lost = not state.reachable
                owned.machine.feed(ServingReported(now))
                if was_lost:
                    log.info("backend server {} is reachable", backend_server)
                    self.warm(owned)
            case Failed(BackendUnreachable(detail)):
                if state.reachable:
                    log.info("backend server {} is lost: {}", backend_server, detail)
                owned.machine.feed(ServerLost(now))
        return outcome

    async def close(self) -> None:
        """Release all backend servers."""
        self.wanted = {}
        for name in tuple(self.servers):
            self.release(name)
        if self.releases:
            await asyncio.wait(self.releases.values())
