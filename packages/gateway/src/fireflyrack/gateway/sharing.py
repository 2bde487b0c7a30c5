"""Exchange of observations and cached store items with peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import singledispatch
from typing import TYPE_CHECKING

from fireflyrack.availability import AvailabilityTable, StatementShared
from fireflyrack.core import StateMachine, steady_now
from fireflyrack.discovery import EntryInstance, Item, PrefixCache, StoreHealth
from fireflyrack.forwarding import (
    Assessment,
    ClearedReport,
    CrashReport,
    CrashTracker,
    FleetHealth,
    PeerUpdate,
    apply_report,
)
from fireflyrack.telemetry import EventLog, LogEvent

from .log_events import (
    CrashReportsReceived,
    PeerItemsAdopted,
    PeerLinksOpened,
    RequestCleared,
    RequestSuspected,
    ServerReportsReceived,
)
from .settings import GatewaySettings

if TYPE_CHECKING:
    from fireflyrack.peers import PeerExchange

# Interval at which batched observations are sent to peers.
BATCH_INTERVAL_S = 0.1
# Peers that an instance asks for later states of its entries when it starts.
MAX_PEERS_ASKED = 3
# Interval of the checks and of the fetches from peers until this instance is synced.
POLL_INTERVAL_S = 0.1


class PeerSharing:
    """Exchange state with peers; run `run` as a task and call `close` at the end.

    `synced` returns whether this instance has the cached state that it needs to serve.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        log: EventLog,
        fleet: FleetHealth,
        crashes: CrashTracker,
        availability: StateMachine[AvailabilityTable],
        caches: tuple[PrefixCache, ...],
        instance_cache: PrefixCache,
        store_health: StoreHealth,
        synced: Callable[[], bool],
        now: Callable[[], float] = steady_now,
    ) -> None:
        self.settings = settings
        self.log = log
        self.fleet = fleet
        self.crashes = crashes
        self.availability = availability
        self.caches = caches
        self.instance_cache = instance_cache
        self.store_health = store_health
        self.synced = synced
        self.now = now
        self.rng = random.Random()
        self.exchange: PeerExchange | None = None
        self.deliveries: dict[str, asyncio.Task[None]] = {}
        # Number of own crash reports that each peer acknowledged, by its incarnation.
        self.acknowledged_reports: dict[str, int] = {}
        self.logged_reports = 0

    async def run(self) -> None:
        """Open links, fetch items from peers if needed, then send updates forever."""
        if self.settings.peer_address is None:
            return
        while not self.synced() and self.store_health.lost_since is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        # Imported late: it takes a tenth of the startup time; serving does not need it.
        from fireflyrack.peers import PeerExchange  # noqa: PLC0415

        self.exchange = PeerExchange(
            self.settings.id,
            self.settings.peer_address,
            self.log,
            self.now,
            self.apply_update,
            self.cached_items,
        )
        await self.exchange.start()
        self.log.record(PeerLinksOpened(self.settings.peer_address))
        self.instance_cache.on_removed.append(
            lambda removal: self.close_link(removal.value)
        )
        while not self.synced():
            await self.fetch_from_peers()
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.fetch_newer_entries()
        while True:
            await asyncio.sleep(BATCH_INTERVAL_S)
            self.send_updates()

    async def close(self) -> None:
        """Cancel pending deliveries and close all links."""
        for delivery in self.deliveries.values():
            delivery.cancel()
        await asyncio.gather(*self.deliveries.values(), return_exceptions=True)
        if self.exchange is not None:
            await self.exchange.close()

    def close_link(self, instance: EntryInstance) -> None:
        """Close the link to a removed instance and drop its delivery state."""
        address = instance.peer_address
        self.acknowledged_reports.pop(instance.incarnation, None)
        if delivery := self.deliveries.pop(address, None):
            delivery.cancel()
        if address:
            self.deliveries[address] = asyncio.create_task(
                self.exchange.close_link(address)
            )

    def cached_items(self) -> dict[str, tuple[Item, ...]]:
        """Return the items that this instance uses, by store prefix."""
        return {
            cache.prefix: tuple(cache.items.values())
            for cache in self.caches
            if cache.first_listed_at is not None
        }

    async def fetch_from_peers(self) -> None:
        """Fetch the cached items of known peers while the store is unavailable."""
        fetches = (self.fetch_items(address) for address in self.settings.known_peers)
        # Concurrently, because the settings may name peers that no longer exist.
        for completed in asyncio.as_completed(tuple(fetches)):
            address, items = await completed
            adopted = sum(
                len(items[cache.prefix])
                for cache in self.caches
                if cache.prefix in items and cache.seed(items[cache.prefix])
            )
            if adopted:
                self.log.record(PeerItemsAdopted(address, adopted))

    async def fetch_newer_entries(self) -> None:
        """Adopt entries without a lease that peers know in a later state.

        A store that was restored from a backup may list an earlier configuration to an
        instance that starts before the operator has written the newest one again.
        """
        peers = [
            peer.peer_address
            for peer in self.instance_cache.table.entries.values()
            if peer.id != self.settings.id and peer.peer_address
        ]
        asked = self.rng.sample(peers, min(len(peers), MAX_PEERS_ASKED))
        for cache in self.caches:
            if cache.table.leased:
                continue
            fetches = (self.exchange.fetch_items(a, cache.prefix) for a in asked)
            for items in await asyncio.gather(*fetches):
                cache.adopt_newer((items or {}).get(cache.prefix, ()))

    async def fetch_items(
        self, address: str
    ) -> tuple[str, dict[str, tuple[Item, ...]]]:
        """Return the address of a peer and its items, which are empty on failure."""
        return address, await self.exchange.fetch_items(address) or {}

    def send_updates(self) -> None:
        """Send new observations to the peers that need them."""
        self.log_crash_reports()
        server_reports = self.fleet.drain_reports(self.now())
        statements = self.availability.state.take_unshared()
        for peer in self.instance_cache.table.entries.values():
            if peer.id == self.settings.id or not peer.peer_address:
                continue
            # Only peers in the same failure domain prefer the same backend servers and
            # share their network path; traffic to other domains is billed.
            same_domain = peer.failure_domain == self.settings.failure_domain
            crash_reports, report_count = self.crashes.reports_after(
                self.acknowledged_reports.get(peer.incarnation, 0), self.now()
            )
            delivery = self.deliveries.get(peer.peer_address)
            update = PeerUpdate(
                server_reports if same_domain else (), crash_reports, statements
            )
            # Nothing is queued for a slow peer: server reports would be outdated.
            if update != PeerUpdate() and (not delivery or delivery.done()):
                self.deliveries[peer.peer_address] = asyncio.create_task(
                    self.deliver_update(peer, update, report_count)
                )

    async def deliver_update(
        self, peer: EntryInstance, update: PeerUpdate, report_count: int
    ) -> None:
        """Send an update; crash reports are sent again until it is acknowledged."""
        if await self.exchange.send_update(peer.peer_address, update):
            self.acknowledged_reports[peer.incarnation] = report_count

    def log_crash_reports(self) -> None:
        """Log the own crash reports since the last call."""
        crash_reports, self.logged_reports = self.crashes.reports_after(
            self.logged_reports, self.now()
        )
        for report in crash_reports:
            self.log.record(crash_report_event(report, self.crashes, self.now()))

    def apply_update(self, peer: str, update: PeerUpdate) -> None:
        """Apply the update of a peer to the observations of this instance."""
        at = self.now()
        for report in update.servers:
            self.fleet.apply_report(peer, report, at)
        for report in update.requests:
            apply_report(report, self.crashes, at)
        for statement in update.statements:
            self.availability.feed(StatementShared(at, statement))
        if update.servers:
            self.log.record(
                ServerReportsReceived(peer, tuple(r.server for r in update.servers))
            )
        if update.requests:
            self.log.record(CrashReportsReceived(peer, len(update.requests)))


@singledispatch
def crash_report_event(report: object, crashes: CrashTracker, at: float) -> LogEvent:
    """Return the log event of an own crash report or cleared report."""
    raise TypeError(f"unsupported report type: {type(report).__name__}")


@crash_report_event.register
def _(report: CrashReport, crashes: CrashTracker, at: float) -> LogEvent:
    suspect = crashes.suspects.get(report.fingerprint)
    assessment = crashes.assess(report.fingerprint, at)
    return RequestSuspected(
        report.crash.request,
        report.fingerprint,
        report.crash.server,
        len(suspect.crashes) if suspect else 0,
        assessment is not Assessment.NO_EVIDENCE,
        assessment.value,
    )


@crash_report_event.register
def _(report: ClearedReport, crashes: CrashTracker, at: float) -> LogEvent:
    return RequestCleared(report.fingerprint)
