"""Gateway process: listeners, signal handlers and graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from prometheus_client import Counter

from fireflyrack.core import StateMachine
from fireflyrack.routing import RoutingTable

from . import shutdown
from .instance import Gateway
from .log_events import AcceptFailed, InternalFault, ProcessStarted, ProcessStopping
from .serving import HttpServer
from .shutdown import CloseListeners, Exit, ShutdownState, Withdraw

# Closing the control addresses takes about this long, and nothing needs them any more
# shortly before the exit.
CONTROL_CLOSE_LEAD_S = 0.25


class GatewayProcess:
    """Run a gateway until a stop signal; await `run` once."""

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
        self.accept_failures = Counter(
            "fireflyrack_accept_failures_total",
            "Connections that could not be accepted.",
            registry=gateway.registry,
        )
        for server in (caller_server, control_server):
            server.on_accept_failure = self.record_accept_failure
        self.machine = StateMachine(
            ShutdownState(gateway.settings.grace_s), shutdown.decide, self.perform
        )
        gateway.on_routing_activated.append(self.apply_limits)

    async def run(self) -> None:
        """Serve until shutdown completes; raise OSError if an address is in use."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        loop.set_exception_handler(self.log_unhandled_exception)
        gateway = self.gateway
        self.control_server.bind()
        self.caller_server.bind()
        gateway.start()
        async with self.control_server:
            await self.caller_server.__aenter__()
            started = ProcessStarted(
                gateway.own_instance.incarnation, gateway.own_instance.address
            )
            gateway.log.record(started)
            await self.exited.wait()
            await asyncio.gather(self.control_server.close(), gateway.stop())

    def log_unhandled_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an exception that no task or callback handled."""
        description = str(context.get("message", ""))
        event = InternalFault(description, repr(context.get("exception")))
        self.gateway.log.record(event)

    def record_accept_failure(self, error: Exception) -> None:
        """Count and log a connection that could not be accepted."""
        self.accept_failures.inc()
        self.gateway.log.record(AcceptFailed(repr(error)))

    def request_stop(self) -> None:
        """Start the graceful shutdown; repeated calls have no effect."""
        self.machine.feed(shutdown.StopRequested(self.gateway.now()))

    def apply_limits(self, table: RoutingTable) -> None:
        """Apply the idle timeout of a new configuration."""
        self.caller_server.set_idle_timeout(table.limits.idle_timeout_s)

    def start_phase_timer(self, at: float) -> None:
        """Schedule the timer event of the shutdown for a steady time."""
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, at - self.gateway.now())
        loop.call_later(
            delay_s,
            lambda: self.machine.feed(shutdown.PhaseTimerFired(self.gateway.now())),
        )

    def log_phase(self) -> None:
        """Log the phase of the shutdown."""
        phase = self.machine.state.phase.value
        event = ProcessStopping(phase, self.gateway.runner.in_flight)
        self.gateway.log.record(event)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform an action of the shutdown."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: Withdraw) -> None:
        self.log_phase()
        self.spawn(self.gateway.withdraw(action.exit_at))
        self.start_phase_timer(action.until)

    @perform.register
    def _(self, action: CloseListeners) -> None:
        self.log_phase()
        self.start_phase_timer(action.until)
        self.spawn(self.close_listeners())
        self.spawn(self.close_control_server(action.until - CONTROL_CLOSE_LEAD_S))

    @perform.register
    def _(self, action: Exit) -> None:
        self.log_phase()
        self.exited.set()

    def spawn(self, work) -> None:
        """Run a coroutine as a task and hold a reference against garbage collection."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close_control_server(self, at: float) -> None:
        """Close the control addresses at a steady time, before the exit."""
        await asyncio.sleep(at - self.gateway.now())
        await self.control_server.close()

    async def close_listeners(self) -> None:
        """Stop listening, finish the requests in flight and report that."""
        await self.caller_server.close()
        self.machine.feed(shutdown.ConnectionsClosed(self.gateway.now()))
