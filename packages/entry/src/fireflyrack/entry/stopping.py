"""Runner of the graceful shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from functools import singledispatchmethod
from typing import Any

import logbook

from fireflyrack.core import StateMachine
from fireflyrack.links import LinkServer
from fireflyrack.membership import MembershipSettings, events, shutdown

from .fleet import MembershipRunner
from .owning import OwnershipReconciler

# How long to wait for the removal from the roster; else the voters remove the member.
LEAVE_TIMEOUT_S = 3.0
LEAVE_POLL_INTERVAL_S = 0.05

Step = Callable[[], Awaitable[None]]
log = logbook.Logger("shutdown")


class GracefulShutdown:
    """Stop this instance without interrupting a request.

    Slices register what they hand over with `add_step`; a final step runs after the
    requests in flight have ended. Call `request_stop` for each signal, set
    `close_http` to the coroutine function that stops the HTTP server, and await
    `stopped`.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        fleet: MembershipRunner,
        reconciler: OwnershipReconciler,
        link_server: LinkServer,
    ) -> None:
        self.fleet = fleet
        self.reconciler = reconciler
        self.link_server = link_server
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        self.close_http: Step | None = None
        self.steps: list[tuple[str, Step, bool]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        state = shutdown.ShutdownState(settings)
        self.machine = StateMachine(state, shutdown.decide, self.perform)

    @property
    def withdrawn(self) -> bool:
        """Return whether the address is withdrawn, so that callers must reconnect."""
        return self.machine.state.phase is not shutdown.Phase.SERVING

    def add_step(self, name: str, step: Step, final: bool = False) -> None:
        """Register a step that hands state over to another instance."""
        self.steps.append((name, step, final))

    def request_stop(self) -> None:
        """Start the shutdown; a second call skips the wait for address expiry."""
        self.machine.feed(shutdown.StopRequested(self.loop.time()))

    def start(self, phase: shutdown.Phase, work: Coroutine[Any, Any, None]) -> None:
        """Run the work of a phase as a task, then feed its end."""

        async def run() -> None:
            log.info("{}", phase.value)
            try:
                await work
            except Exception:
                # A failed step must not keep the process from stopping.
                log.exception("{} failed; continuing the shutdown", phase.value)
            self.machine.feed(shutdown.PhaseEnded(self.loop.time(), phase))

        task = asyncio.create_task(run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the shutdown."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: shutdown.WithdrawAddress) -> None:
        log.info(
            "address withdrawn; releasing backend servers in {:.1f} s",
            action.until - self.loop.time(),
        )
        self.fleet.feed(events.LeaveStarted)
        self.loop.call_at(
            action.until,
            lambda: self.machine.feed(shutdown.TimePassed(self.loop.time())),
        )

    @perform.register
    def _(self, action: shutdown.ReleaseServers) -> None:
        self.start(shutdown.Phase.RELEASING, self.release())

    @perform.register
    def _(self, action: shutdown.HandOver) -> None:
        self.start(shutdown.Phase.HANDING_OVER, self.run_steps(final=False))

    @perform.register
    def _(self, action: shutdown.Drain) -> None:
        self.start(shutdown.Phase.DRAINING, self.drain(action.limit_s))

    @perform.register
    def _(self, action: shutdown.LeaveRoster) -> None:
        self.start(shutdown.Phase.LEAVING, self.wait_for_removal())

    @perform.register
    def _(self, action: shutdown.Exit) -> None:
        self.stopped.set()

    async def release(self) -> None:
        """Release all backend servers and announce it once nothing runs on them."""
        self.fleet.state.released = True
        await self.reconciler.wait_reconciled()
        self.fleet.feed(events.ServersReleased)

    async def run_steps(self, final: bool) -> None:
        """Run the registered steps; one that fails does not stop the others."""
        for name, step, is_final in self.steps:
            if is_final is not final:
                continue
            try:
                await step()
            except Exception:
                log.exception("step {} failed; continuing with the next one", name)

    async def drain(self, limit_s: float) -> None:
        """Drain the requests of callers, then those of peers."""
        if self.close_http:
            await self.close_http()
        await self.link_server.drain(limit_s)
        await self.run_steps(final=True)

    async def wait_for_removal(self) -> None:
        """Wait until the roster no longer lists this incarnation."""
        deadline = self.loop.time() + LEAVE_TIMEOUT_S
        while self.fleet.state.own_entry() and self.loop.time() < deadline:
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
