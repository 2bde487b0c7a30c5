"""Gateway: the slices of one entry instance that forwards requests."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import secrets
from collections.abc import Awaitable, Callable

from prometheus_client import CollectorRegistry

from fireflyrack.core import StateMachine, steady_now
from fireflyrack.discovery import (
    REREGISTRATION_S,
    EntryChanged,
    EntryGone,
    EntryInstance,
    PrefixFollower,
    Registration,
    RegistrationEntry,
    StoreHealth,
    StoreWatcher,
)
from fireflyrack.forwarding import (
    Answer,
    Beliefs,
    BudgetLimits,
    CallerRequest,
    Cause,
    Chooser,
    CrashBook,
    FleetHealth,
    ForwardingMetrics,
    RequestRunner,
    Surroundings,
    Unknown,
)
from fireflyrack.routing import (
    Adopted,
    RoutingInForce,
    RoutingTable,
    services_of,
)
from fireflyrack.telemetry import EventLog

from . import pressure
from .directory import Addresses, addresses_for
from .instances import (
    INSTANCES_PREFIX,
    decode_instance,
    encode_instance,
    instance_key,
)
from .log_events import (
    InstancesChanged,
    InternalFault,
    ReadinessChanged,
    RoutingAdopted,
    RoutingIgnored,
    ServerChanged,
    StrainObserved,
    TimeSkipped,
)
from .ports import Ports
from .registers import ServersByService
from .settings import GatewaySettings
from .sharing import Sharing

# Instances that are assumed to share the limits before the store listed them.
UNKNOWN_INSTANCES = 8
LAG_CHECK_S = 0.05
# Pause before work that met a fault is started again.
FAULT_PAUSE_S = 0.5
# The loop is late by less than this on a busy machine.
PAUSE_S = 1.0


class Gateway:
    """Connect the slices; create it inside a running loop, `start`, then `stop`."""

    def __init__(
        self,
        settings: GatewaySettings,
        ports: Ports,
        log: EventLog,
        now: Callable[[], float] = steady_now,
    ) -> None:
        self.settings = settings
        self.log = log
        self.now = now
        self.own = EntryInstance(
            settings.id,
            secrets.token_hex(8),
            settings.failure_domain,
            settings.caller_address,
            peer_address=settings.peer_address or "",
        )
        self.rng = random.Random()
        self.registry = CollectorRegistry()
        self.metrics = ForwardingMetrics(self.registry)
        self.fleet = FleetHealth(
            BudgetLimits(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
                now(),
            )
        )
        self.fleet.share_among(UNKNOWN_INSTANCES)
        self.crashes = CrashBook()
        self.pressure = StateMachine(
            pressure.Pressure(), pressure.decide, self.follow_strain
        )
        self.routing = RoutingInForce()
        self.routing_at = 0.0
        # Services that routes of the configuration in force use.
        self.services: tuple[str, ...] = ()
        self.servers = ServersByService()
        self.store_health = StoreHealth(log, now)
        self.withdrawn = False
        self.was_ready = False

        def follower(prefix, decode) -> PrefixFollower:
            return PrefixFollower(prefix, decode, log, self.store_health, now)

        self.configurations = follower(
            ports.configuration_prefix, ports.decode_configuration
        )
        self.configurations.on_changed.append(self.take_configuration)
        self.registers = follower(ports.servers_prefix, ports.decode_server)
        self.registers.on_changed.append(self.take_server)
        self.registers.on_gone.append(self.drop_server)
        self.peers = follower(INSTANCES_PREFIX, decode_instance)
        self.peers.on_changed.append(lambda change: self.count_instances())
        self.peers.on_gone.append(lambda gone: self.count_instances())
        followers = (self.configurations, self.registers, self.peers)
        self.watcher = StoreWatcher(
            followers,
            ports.store,
            log,
            self.store_health,
            min(settings.configuration_bound_s, settings.drain_bound_s),
            now,
        )
        key = instance_key(settings.id)
        self.registration = Registration(
            RegistrationEntry(key, encode_instance(self.own)),
            ports.store,
            log,
            self.store_health,
            lambda: self.peers.revision is None or key in self.peers.table.entries,
        )
        self.runner = RequestRunner(
            Surroundings(
                self.fleet,
                Chooser(settings.failure_domain, self.rng),
                self.servers.servers_of,
                lambda: self.pressure.state.strained,
                self.crashes,
            ),
            ports.transport,
            self.beliefs,
            log,
            self.metrics,
            now,
        )
        self.sharing = Sharing(
            settings,
            log,
            self.fleet,
            self.crashes,
            followers,
            self.peers,
            self.store_health,
            lambda: self.informed,
            now,
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.replacing: set[asyncio.Task[None]] = set()
        self.on_table: list[Callable[[RoutingTable], None]] = []

    def start(self) -> None:
        """Start the periodic work."""
        for work in (
            self.watcher.follow,
            self.watcher.tick,
            self.register_when_ready,
            self.sharing.run,
            self.watch_lag,
        ):
            self.tasks.append(asyncio.create_task(self.supervise(work)))

    async def supervise(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run periodic work; log a fault and start the work again."""
        while True:
            try:
                await work()
                return
            except Exception as error:  # noqa: BLE001
                self.log.record(InternalFault(work.__qualname__, repr(error)))
                await asyncio.sleep(FAULT_PAUSE_S)

    async def stop(self) -> None:
        """End the periodic work."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.sharing.close()

    @property
    def ready(self) -> bool:
        """Return whether callers should be sent here."""
        return not self.withdrawn and self.informed

    @property
    def informed(self) -> bool:
        """Return whether the configuration and the backend servers are known.

        After an outage of the store living backend servers may be missing from it,
        so a service without any is waited for until they had time to return.
        """
        table = self.routing.table
        if table is None or self.registers.first_listed_at is None:
            return False
        if self.now() >= self.registers.first_listed_at + REREGISTRATION_S:
            return True
        return all(self.servers.servers_of(service) for service in self.services)

    def beliefs(self) -> Beliefs:
        """Return what is believed now, with its ages."""
        at = self.now()
        current_at = self.registers.current_at
        return Beliefs(
            self.routing.table,
            at - self.routing_at if self.routing.table else -1.0,
            at - current_at if current_at is not None else -1.0,
            self.fleet.instances,
        )

    def addresses(self, failure_domain: str) -> Addresses | None:
        """Return the addresses for a caller in a failure domain."""
        return addresses_for(
            self.peers.table.entries.values(),
            self.own,
            self.ready,
            failure_domain,
            self.settings.address_ttl_s,
            self.rng,
        )

    async def register_when_ready(self) -> None:
        """Register this instance once it can serve, and keep it registered."""
        while not self.informed:
            await asyncio.sleep(0.02)
        self.note_readiness("configuration and backend servers are known")
        await self.registration.keep()

    async def withdraw(self) -> None:
        """Tell callers and peers that this instance leaves."""
        self.withdrawn = True
        self.note_readiness("stop requested")
        await self.registration.withdraw()

    def note_readiness(self, reason: str) -> None:
        """Log a change of the readiness."""
        if self.ready != self.was_ready:
            self.was_ready = self.ready
            self.log.record(ReadinessChanged(self.ready, reason))

    def take_configuration(self, change: EntryChanged) -> None:
        """Follow a configuration that was read from the store."""
        self.offer(change.value, "store")

    def offer(self, table: RoutingTable, source: str) -> None:
        """Adopt a configuration if it is newer."""
        outcome = self.routing.offer(table)
        if not isinstance(outcome, Adopted):
            in_force = outcome.version_in_force
            event = RoutingIgnored(table.version, table.revision, in_force, source)
            self.log.record(event)
            return
        self.routing_at = self.now()
        used = {s for route in table.routes for s in services_of(route.target)}
        self.services = tuple(used)
        self.metrics.configuration_version.set(table.version)
        self.log.record(
            RoutingAdopted(
                table.version,
                table.revision,
                outcome.replaced_version or 0,
                len(table.routes),
                source,
            )
        )
        for listener in self.on_table:
            listener(table)

    def take_server(self, change: EntryChanged) -> None:
        """Follow a new or changed backend server."""
        server, previous = change.value, change.previous
        self.servers.changed(change)
        if previous is not None and previous.incarnation != server.incarnation:
            self.crashes.note_away(previous.id, previous.incarnation, self.now())
        cold_until = self.now() + server.cold_s
        self.fleet.note_start(server.id, server.incarnation, cold_until)
        if previous is None or (
            (previous.state, previous.address, previous.incarnation)
            != (server.state, server.address, server.incarnation)
        ):
            self.log.record(
                ServerChanged(
                    server.id,
                    server.service,
                    server.state.value,
                    server.address,
                    server.incarnation,
                    self.registers.revision or 0,
                )
            )

    def drop_server(self, gone: EntryGone) -> None:
        """Follow the end of a backend server."""
        self.servers.gone(gone)
        self.crashes.note_away(gone.value.id, gone.value.incarnation, self.now())
        self.fleet.forget_server(gone.value.id)

    def count_instances(self) -> None:
        """Share the limits among the instances that are known."""
        known = set(self.peers.table.entries) | {instance_key(self.settings.id)}
        if len(known) != self.fleet.instances:
            self.fleet.share_among(len(known))
            self.metrics.instances.set(len(known))
            event = InstancesChanged(tuple(sorted(known)), len(known))
            self.log.record(event)

    async def watch_lag(self) -> None:
        """Measure how late timers are, and log times without any progress."""
        while True:
            before = self.now()
            await asyncio.sleep(LAG_CHECK_S)
            at = self.now()
            lag_s = max(0.0, at - before - LAG_CHECK_S)
            self.metrics.loop_lag.set(lag_s)
            if lag_s > PAUSE_S:
                # A pause says nothing about the processor time after it.
                self.log.record(TimeSkipped(lag_s))
                continue
            self.pressure.feed(pressure.LagSampled(at, lag_s))

    async def answer(self, request: CallerRequest) -> Answer:
        """Return the answer to a request, also where the system has a fault."""
        try:
            return await self.runner.handle(request)
        except Exception as error:  # noqa: BLE001
            self.log.record(InternalFault(f"request {request.id}", repr(error)))
            return Unknown(Cause.INTERNAL)

    def follow_strain(self, change: pressure.StrainChanged) -> None:
        """Tell peers whether callers should go elsewhere."""
        self.log.record(StrainObserved(change.strained, change.lag_s))
        self.own = dataclasses.replace(self.own, strained=change.strained)
        value = encode_instance(self.own)
        task = asyncio.create_task(self.registration.replace(value))
        self.replacing.add(task)
        task.add_done_callback(self.replacing.discard)
