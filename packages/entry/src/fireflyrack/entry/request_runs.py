"""Owner's side of non-idempotent requests: runs on owned backend servers."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod

from fireflyrack.admission import (
    RunAnswered,
    RunOutcomeUnknown,
    RunRefused,
    RunRequest,
)
from fireflyrack.core import SequenceGenerator, StateMachine
from fireflyrack.links import IncomingMessage, LinkServer, Respond
from fireflyrack.requests import (
    AttemptOutcomeUnknown,
    AttemptResult,
    HelloModel,
    Isolated,
    NotSent,
    OwnedRun,
    OwnerState,
    OwnerStopping,
    Ran,
    RequestRunner,
    RequestSettings,
    ResultRequested,
    ReturnResult,
    RunEnded,
    RunId,
    RunModel,
    RunReceived,
    RunSweepTimerFired,
    SendRun,
    UnknownCause,
    decide_owner,
    refusal_at,
    result_model,
)

from .owning import OwnershipReconciler
from .quarantine import Quarantine

RUN_KIND = "requests.run"
RESULT_KIND = "requests.result"
HELLO_KIND = "requests.hello"


class AdmissionRunner:
    """Run requests through the queues of the owned backend servers."""

    def __init__(self, reconciler: OwnershipReconciler) -> None:
        self.reconciler = reconciler

    async def run(self, backend_server: str, run: OwnedRun) -> AttemptResult:
        """Send a request at most once, not after its deadline; return the result."""
        request = RunRequest(
            id=run.id,
            service=run.service,
            body=run.body.encode(),
            deadline_at=run.deadline_at,
            fingerprint=run.fingerprint,
        )
        match await self.reconciler.run(backend_server, request):
            case RunAnswered(answer):
                return Ran(answer.decode(errors="replace"))
            case RunRefused(reason):
                return NotSent(reason.value)
            case RunOutcomeUnknown():
                return AttemptOutcomeUnknown(UnknownCause.BACKEND_LOST, final=True)


class RunOwner:
    """Run the attempts of issuers on the backend servers that this instance owns.

    Call `run` and `result` for attempts of this instance; attempts of others arrive
    over the links.
    """

    def __init__(
        self,
        incarnation: str,
        settings: RequestSettings,
        runner: RequestRunner,
        quarantine: Quarantine,
    ) -> None:
        self.incarnation = incarnation
        self.runner = runner
        self.quarantine = quarantine
        self.loop = asyncio.get_running_loop()
        self.call_ids = SequenceGenerator()
        self.waiters: dict[int, asyncio.Future[AttemptResult]] = {}
        self.runs: dict[RunId, OwnedRun] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.machine = StateMachine(
            OwnerState(incarnation, settings), decide_owner, self.perform
        )

    def register_handlers(self, server: LinkServer) -> None:
        """Register the message handlers."""
        server.register(RUN_KIND, self.serve_run)
        server.register(RESULT_KIND, self.serve_result)
        server.register(HELLO_KIND, self.serve_hello)

    async def serve_run(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Run an attempt of another instance."""
        result = await self.run(RunModel.model_validate_json(message.body))
        return result_model(result, self.incarnation).model_dump_json().encode()

    async def serve_result(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Return the result of an attempt to the instance that sent it."""
        result = await self.result(RunModel.model_validate_json(message.body))
        return result_model(result, self.incarnation).model_dump_json().encode()

    async def serve_hello(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Return the incarnation of this instance."""
        return HelloModel(incarnation=self.incarnation).model_dump_json().encode()

    async def run(self, model: RunModel) -> AttemptResult:
        """Run an attempt and return its result.

        Cancelling the call does not cancel the run.
        """
        at = self.loop.time()
        run = RunId(model.issuer, model.sequence)
        deadline_at = at + model.remaining_ms / 1000
        verdict = self.quarantine.check(model.fingerprint)
        call = self.call_ids.next()
        event = RunReceived(
            at,
            call,
            run,
            model.owner,
            model.backend_server,
            deadline_at,
            isinstance(verdict, Isolated),
            refusal_at(verdict, model.backend_server),
        )
        name = f"{model.ticket}.{model.sequence}"
        owned = OwnedRun(
            name, model.service, model.body, deadline_at, model.fingerprint
        )
        if run not in self.machine.state.runs:
            self.runs[run] = owned
        try:
            return await self.wait(call, event)
        finally:
            state = self.machine.state.runs.get(run)
            if state is None or state.result is not None:
                self.runs.pop(run, None)

    async def result(self, model: RunModel) -> AttemptResult:
        """Return the result of an attempt; one that was not sent yet never will be."""
        run = RunId(model.issuer, model.sequence)
        call = self.call_ids.next()
        event = ResultRequested(self.loop.time(), call, run, model.owner)
        return await self.wait(call, event)

    async def wait(self, call: int, event: object) -> AttemptResult:
        """Feed an event and wait for the result that it requests."""
        waiter = self.waiters[call] = self.loop.create_future()
        try:
            self.machine.feed(event)
            return await waiter
        finally:
            del self.waiters[call]

    def sweep(self) -> None:
        """Drop expired runs."""
        self.machine.feed(RunSweepTimerFired(self.loop.time()))
        for run in self.runs.keys() - self.machine.state.runs.keys():
            del self.runs[run]

    async def send(self, action: SendRun, run: OwnedRun) -> None:
        """Send a run to its backend server and feed its result."""
        name = action.backend_server
        # The verdict may have changed while the run waited for a suspected run to end.
        if refusal := refusal_at(self.quarantine.check(run.fingerprint), name):
            self.finish_run(action.id, NotSent(refusal))
            return
        alone = self.machine.state.runs[action.id].alone
        self.quarantine.record_start(name, run.service, run.fingerprint)
        result: AttemptResult = AttemptOutcomeUnknown(
            UnknownCause.BACKEND_LOST, final=True
        )
        try:
            result = await self.runner.run(name, run)
        finally:
            self.record_outcome(name, run, result, alone)
            self.finish_run(action.id, result)

    def finish_run(self, run: RunId, result: AttemptResult) -> None:
        """Drop the request of a run and feed its result."""
        self.runs.pop(run, None)
        self.machine.feed(RunEnded(self.loop.time(), run, result))

    def record_outcome(
        self, name: str, run: OwnedRun, result: AttemptResult, alone: bool
    ) -> None:
        """Report the end of a run to the quarantine."""
        crashed = (
            isinstance(result, AttemptOutcomeUnknown)
            and self.loop.time() < run.deadline_at
        )
        # A reply lost before the deadline means that the connection broke. All runs
        # on the backend server fail with it and count as one crash.
        if crashed and self.quarantine.is_running(name, run.fingerprint):
            self.quarantine.record_crash(name)
        else:
            passed = alone and isinstance(result, Ran)
            self.quarantine.record_end(name, run.fingerprint, passed)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the owner."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: ReturnResult) -> None:
        waiter = self.waiters.get(action.call)
        if waiter and not waiter.done():
            waiter.set_result(action.result)

    @perform.register
    def _(self, action: SendRun) -> None:
        task = asyncio.create_task(self.send(action, self.runs[action.id]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def drain(self, timeout_s: float) -> None:
        """Refuse new runs; wait at most `timeout_s` seconds for those in flight."""
        self.machine.feed(OwnerStopping(self.loop.time()))
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)
