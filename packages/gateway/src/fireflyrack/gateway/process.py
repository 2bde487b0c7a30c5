"""Process of a gateway: listeners, signals and the graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from fireflyrack.core import StateMachine
from fireflyrack.routing import RoutingTable

from . import shutdown
from .instance import Gateway
from .log_events import InternalFault, ProcessStarted, ProcessStopping
from .serving import HttpServer
from .shutdown import CloseListeners, Exit, ShutdownState, Withdraw


class GatewayProcess:
    """Run a gateway until it is asked to stop; await `run` once."""

    def __init__(
        self,
        gateway: Gateway,
        caller_server: HttpServer,
        control_server: HttpServer,
        reload_settings: Callable[[], None],
    ) -> None:
        self.gateway = gateway
        self.caller_server = caller_server
        self.control_server = control_server
        self.reload_settings = reload_settings
        self.exited = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.machine = StateMachine(
            ShutdownState(gateway.settings.grace_s), shutdown.decide, self.perform
        )
        gateway.on_table.append(self.follow_limits)

    async def run(self) -> None:
        """Serve until the shutdown has ended; raise OSError if an address is in use."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        loop.set_exception_handler(self.note_fault)
        gateway = self.gateway
        self.control_server.bind()
        self.caller_server.bind()
        gateway.start()
        async with self.control_server:
            await self.caller_server.__aenter__()
            started = ProcessStarted(gateway.own.incarnation, gateway.own.address)
            gateway.log.record(started)
            await self.exited.wait()
        await gateway.stop()

    def note_fault(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an exception that nothing handled."""
        where = str(context.get("message", ""))
        event = InternalFault(where, repr(context.get("exception")))
        self.gateway.log.record(event)

    def request_stop(self) -> None:
        """Start the graceful shutdown."""
        self.machine.feed(shutdown.StopRequested(self.gateway.now()))

    def follow_limits(self, table: RoutingTable) -> None:
        """Follow the idle timeout of the configuration."""
        self.caller_server.set_idle_timeout(table.limits.idle_timeout_s)

    def at(self, at: float) -> None:
        """Feed the passing of a time."""
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, at - self.gateway.now())
        loop.call_later(
            delay_s,
            lambda: self.machine.feed(shutdown.TimePassed(self.gateway.now())),
        )

    def tell(self) -> None:
        """Log the phase of the shutdown."""
        phase = self.machine.state.phase.value
        event = ProcessStopping(phase, self.gateway.runner.in_flight)
        self.gateway.log.record(event)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the shutdown."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: Withdraw) -> None:
        self.tell()
        self.spawn(self.gateway.withdraw())
        self.at(action.until)

    @perform.register
    def _(self, action: CloseListeners) -> None:
        self.tell()
        self.at(action.until)
        self.spawn(self.close_listeners())

    @perform.register
    def _(self, action: Exit) -> None:
        self.tell()
        self.exited.set()

    def spawn(self, work) -> None:
        """Run a coroutine and keep it from being collected."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close_listeners(self) -> None:
        """Finish the requests in flight and report that."""
        await self.caller_server.close()
        self.machine.feed(shutdown.ConnectionsClosed(self.gateway.now()))
