"""Wiring of the slices of an entry instance that forwards requests."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
import secrets
from collections.abc import Awaitable, Callable

from prometheus_client import CollectorRegistry

from fireflyrack import availability
from fireflyrack.availability import AvailabilityTable, SharerCount
from fireflyrack.core import StateMachine, steady_now
from fireflyrack.discovery import (
    REREGISTRATION_GRACE_S,
    EntryChanged,
    EntryInstance,
    EntryRemoved,
    PrefixCache,
    Registration,
    RegistrationEntry,
    StoreHealth,
    StoreWatcher,
    WriteOrder,
    write_order,
)
from fireflyrack.forwarding import (
    Answer,
    BudgetLimits,
    CallerRequest,
    Cause,
    ClusterView,
    CrashTracker,
    FleetHealth,
    ForwardingContext,
    ForwardingMetrics,
    RequestRunner,
    SelectionContext,
    Unknown,
)
from fireflyrack.routing import (
    ActiveRoutingTable,
    RoutingTable,
    TableAdopted,
    services_of,
)
from fireflyrack.telemetry import EventLog

from . import overload
from .directory import Addresses, addresses_for
from .instances import (
    INSTANCES_PREFIX,
    decode_instance,
    encode_instance,
    instance_key,
)
from .log_events import (
    AnswerUnsendable,
    InstancesChanged,
    InternalFault,
    OverloadObserved,
    ProcessPaused,
    ReadinessChanged,
    RoutingAdopted,
    RoutingIgnored,
    ServerChanged,
)
from .ports import Ports
from .server_index import ServerIndex
from .settings import GatewaySettings
from .sharing import PeerSharing

# Number of instances assumed to share the limits until the store has listed them.
INITIAL_INSTANCE_COUNT = 8
# Assumed number of instances that watch the store until this one is synced. While a
# whole site starts, backend servers register for seconds and instances are not listed.
STARTING_INSTANCE_COUNT = 40
LAG_SAMPLE_INTERVAL_S = 0.05
# Delay before a background task that failed is restarted.
RESTART_DELAY_S = 0.5
# Lag above this means that the process was paused; a busy machine causes less.
MIN_PROCESS_PAUSE_S = 1.0


@write_order.register
def _(value: RoutingTable) -> WriteOrder:
    return WriteOrder("", (value.version,))


class Gateway:
    """Connect the slices; create inside a running loop, call `start`, then `stop`."""

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
        self.own_instance = EntryInstance(
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
        self.fleet.set_instance_count(INITIAL_INSTANCE_COUNT)
        self.crashes = CrashTracker()
        self.availability = StateMachine(
            AvailabilityTable(
                self.rng, SharerCount(INITIAL_INSTANCE_COUNT), settings.max_closure_s
            ),
            availability.decide,
            log.record,
        )
        availability.register_metrics(self.registry, self.availability.state)
        self.overload = StateMachine(
            overload.OverloadState(), overload.decide, self.publish_overload
        )
        self.routing = ActiveRoutingTable()
        self.routing_activated_at = 0.0
        # Services that the routes of the active configuration use.
        self.routed_services: tuple[str, ...] = ()
        self.server_index = ServerIndex()
        self.store_health = StoreHealth(log, now)
        self.withdrawn = False
        # Time at which requests in flight are cut off, once a stop was requested.
        self.exit_at = math.inf
        self.logged_ready = False

        def create_cache(prefix, decode, leased: bool = True) -> PrefixCache:
            return PrefixCache(prefix, decode, log, self.store_health, now, leased)

        self.configuration_cache = create_cache(
            ports.configuration_prefix, ports.decode_configuration, leased=False
        )
        self.configuration_cache.on_changed.append(self.on_configuration_changed)
        self.server_cache = create_cache(ports.servers_prefix, ports.decode_server)
        self.server_cache.on_changed.append(self.on_server_changed)
        self.server_cache.on_removed.append(self.on_server_removed)
        self.instance_cache = create_cache(INSTANCES_PREFIX, decode_instance)
        self.instance_cache.on_changed.append(
            lambda change: self.update_instance_count()
        )
        self.instance_cache.on_removed.append(
            lambda removal: self.update_instance_count()
        )
        caches = (self.configuration_cache, self.server_cache, self.instance_cache)
        self.watcher = StoreWatcher(
            caches,
            ports.store,
            log,
            self.store_health,
            min(settings.configuration_bound_s, settings.drain_bound_s),
            self.watching_instances,
            now,
        )
        key = instance_key(settings.id)
        self.registration = Registration(
            RegistrationEntry(key, self.encode_registration),
            ports.store,
            log,
            self.store_health,
            lambda: (
                self.instance_cache.revision is None or self.instance_cache.lists(key)
            ),
        )
        self.runner = RequestRunner(
            ForwardingContext(
                self.fleet,
                self.availability.state,
                SelectionContext(settings.failure_domain, self.rng),
                self.server_index.servers_of,
                lambda: self.overload.state.overloaded,
                lambda: self.exit_at,
                self.crashes,
            ),
            ports.transport,
            self.availability.feed,
            self.cluster_view,
            log,
            self.metrics,
            now,
        )
        self.sharing = PeerSharing(
            settings,
            log,
            self.fleet,
            self.crashes,
            self.availability,
            caches,
            self.instance_cache,
            self.store_health,
            lambda: self.synced,
            now,
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.registration_updates: set[asyncio.Task[None]] = set()
        self.on_routing_activated: list[Callable[[RoutingTable], None]] = []

    def start(self) -> None:
        """Start the background tasks."""
        for work in (
            self.watcher.run_watch_loop,
            self.watcher.run_expiry_loop,
            self.register_when_ready,
            self.sharing.run,
            self.monitor_loop_lag,
        ):
            self.tasks.append(asyncio.create_task(self.supervise(work)))

    async def supervise(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a background task; log an exception and restart the task."""
        while True:
            try:
                await work()
                return
            except Exception as error:  # noqa: BLE001
                self.log.record(InternalFault(work.__qualname__, repr(error)))
                await asyncio.sleep(RESTART_DELAY_S)

    async def stop(self) -> None:
        """Cancel the background tasks and close the links to peers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.sharing.close()

    @property
    def ready(self) -> bool:
        """Return whether callers should be directed to this instance."""
        return not self.withdrawn and self.synced

    @property
    def synced(self) -> bool:
        """Return whether the configuration and the backend servers are known.

        After an outage of the store, live backend servers may be missing from it. A
        service without any is waited for until they had time to register again.
        """
        table = self.routing.table
        if table is None or self.server_cache.first_listed_at is None:
            return False
        if self.now() >= self.server_cache.first_listed_at + REREGISTRATION_GRACE_S:
            return True
        return all(
            self.server_index.servers_of(service) for service in self.routed_services
        )

    def watching_instances(self) -> int:
        """Return how many instances are expected to watch the store."""
        return self.fleet.instances if self.synced else STARTING_INSTANCE_COUNT

    def cluster_view(self) -> ClusterView:
        """Return the cached cluster state with the age of each part, -1 if unknown."""
        at = self.now()
        last_synced_at = self.server_cache.last_synced_at
        return ClusterView(
            self.routing.table,
            at - self.routing_activated_at if self.routing.table else -1.0,
            at - last_synced_at if last_synced_at is not None else -1.0,
            self.fleet.instances,
        )

    def addresses(self, failure_domain: str) -> Addresses | None:
        """Return the addresses to offer in a failure domain, None if there are none."""
        return addresses_for(
            self.instance_cache.table.entries.values(),
            self.own_instance,
            self.ready,
            failure_domain,
            self.settings.address_ttl_s,
            self.rng,
        )

    async def register_when_ready(self) -> None:
        """Register this instance once it is synced, and keep it registered."""
        while not self.synced:
            await asyncio.sleep(0.02)
        self.log_readiness_change("configuration and backend servers are known")
        await self.registration.keep_registered()

    def encode_registration(self, number: int) -> bytes:
        """Return the value of the own registration at its n-th write."""
        return encode_instance(
            dataclasses.replace(self.own_instance, registration=number)
        )

    async def withdraw(self, exit_at: float) -> None:
        """Stop offering this instance to callers and remove its registration."""
        self.withdrawn = True
        self.exit_at = exit_at
        self.log_readiness_change("stop requested")
        await self.registration.withdraw()

    def log_readiness_change(self, reason: str) -> None:
        """Log the readiness if it differs from the last one logged."""
        if self.ready != self.logged_ready:
            self.logged_ready = self.ready
            self.log.record(ReadinessChanged(self.ready, reason))

    def on_configuration_changed(self, change: EntryChanged) -> None:
        """Offer a configuration read from the store."""
        self.offer(change.value, "store")

    def offer(self, table: RoutingTable, source: str) -> None:
        """Activate a configuration if it is newer than the active one."""
        outcome = self.routing.offer(table)
        if not isinstance(outcome, TableAdopted):
            active_version = outcome.active_version
            event = RoutingIgnored(
                table.version, table.revision, active_version, source
            )
            self.log.record(event)
            return
        self.routing_activated_at = self.now()
        routed = {s for route in table.routes for s in services_of(route.target)}
        self.routed_services = tuple(routed)
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
        for listener in self.on_routing_activated:
            listener(table)

    def on_server_changed(self, change: EntryChanged) -> None:
        """Update the index and health state for a new or changed backend server."""
        server, previous = change.value, change.previous
        self.server_index.apply_change(change)
        if previous is not None and previous.incarnation != server.incarnation:
            self.crashes.record_unavailable(
                previous.id, previous.incarnation, self.now()
            )
        cold_until = self.now() + server.cold_s
        self.fleet.record_incarnation(server.id, server.incarnation, cold_until)
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
                    self.server_cache.revision or 0,
                )
            )

    def on_server_removed(self, removal: EntryRemoved) -> None:
        """Remove a backend server from the index and health state."""
        self.server_index.apply_removal(removal)
        self.crashes.record_unavailable(
            removal.value.id, removal.value.incarnation, self.now()
        )
        self.fleet.remove_server(removal.value.id)
        self.availability.feed(availability.ServerRemoved(self.now(), removal.value))

    def update_instance_count(self) -> None:
        """Divide the fleet-wide limits among the known instances."""
        own_key = instance_key(self.settings.id)
        known = sorted({own_key, *self.instance_cache.table.entries})
        rank = known.index(own_key)
        self.crashes.rank = rank
        if len(known) != self.fleet.instances:
            self.fleet.set_instance_count(len(known))
            self.availability.feed(
                availability.InstancesCounted(self.now(), len(known), rank)
            )
            self.metrics.instances.set(len(known))
            event = InstancesChanged(tuple(known), len(known))
            self.log.record(event)

    async def monitor_loop_lag(self) -> None:
        """Sample the lag of the event loop and log pauses of the process."""
        while True:
            before = self.now()
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            at = self.now()
            lag_s = max(0.0, at - before - LAG_SAMPLE_INTERVAL_S)
            self.metrics.loop_lag.set(lag_s)
            if lag_s > MIN_PROCESS_PAUSE_S:
                # A pause of the process does not indicate a lack of CPU time after it.
                self.log.record(ProcessPaused(lag_s))
                continue
            self.overload.feed(overload.LagSampled(at, lag_s))

    async def answer(self, request: CallerRequest) -> Answer:
        """Return the answer to a request; log exceptions and answer `Unknown`."""
        try:
            return await self.runner.handle(request)
        except Exception as error:  # noqa: BLE001
            self.log.record(InternalFault(f"request {request.id}", repr(error)))
            return Unknown(Cause.INTERNAL)

    def record_unsendable(self, request: CallerRequest, reason: str) -> None:
        """Count and log an answer that had no valid response."""
        self.metrics.unsendable.inc()
        self.log.record(AnswerUnsendable(request.id, reason))

    def publish_overload(self, change: overload.OverloadChanged) -> None:
        """Log the change and update the registration that directories read."""
        self.log.record(OverloadObserved(change.overloaded, change.lag_s))
        self.own_instance = dataclasses.replace(
            self.own_instance, overloaded=change.overloaded
        )
        task = asyncio.create_task(self.registration.rewrite())
        self.registration_updates.add(task)
        task.add_done_callback(self.registration_updates.discard)
