"""What this instance shares with its peers, and what it takes from them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import singledispatch
from typing import TYPE_CHECKING

from fireflyrack.core import steady_now
from fireflyrack.discovery import EntryInstance, Item, PrefixCache, StoreHealth
from fireflyrack.forwarding import (
    ClearedReport,
    CrashBook,
    CrashReport,
    FleetHealth,
    News,
    take_report,
)
from fireflyrack.telemetry import EventLog, LogEvent

from .log_events import (
    BeliefsAdopted,
    CrashReportsTaken,
    PeerLinksOpened,
    RequestCleared,
    RequestSuspected,
    ServerReportsTaken,
)
from .settings import GatewaySettings

if TYPE_CHECKING:
    from fireflyrack.peers import PeerExchange

# Observations are gathered this long before peers are told.
GATHER_S = 0.1
# Pause between two questions to peers while this instance knows nothing.
ASK_PAUSE_S = 0.1


class Sharing:
    """Tell peers observations and take theirs; run `run` as a task, `close` at the end.

    `informed` tells whether this instance knows enough to serve without asking.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        log: EventLog,
        fleet: FleetHealth,
        crashes: CrashBook,
        followers: tuple[PrefixCache, ...],
        peers: PrefixCache,
        store_health: StoreHealth,
        informed: Callable[[], bool],
        now: Callable[[], float] = steady_now,
    ) -> None:
        self.settings = settings
        self.log = log
        self.fleet = fleet
        self.crashes = crashes
        self.followers = followers
        self.peers = peers
        self.store_health = store_health
        self.informed = informed
        self.now = now
        self.exchange: PeerExchange | None = None
        self.deliveries: dict[str, asyncio.Task[None]] = {}
        # Number of own crash reports that each peer took, by its incarnation.
        self.taken: dict[str, int] = {}
        self.logged = 0

    async def run(self) -> None:
        """Share for ever."""
        if self.settings.peer_address is None:
            return
        while not self.informed() and self.store_health.lost_since is None:
            await asyncio.sleep(ASK_PAUSE_S)
        # Loading the links takes a tenth of the time to start, and serving goes first.
        from fireflyrack.peers import PeerExchange  # noqa: PLC0415

        self.exchange = PeerExchange(
            self.settings.id,
            self.settings.peer_address,
            self.log,
            self.now,
            self.take_news,
            self.beliefs,
        )
        await self.exchange.start()
        self.log.record(PeerLinksOpened(self.settings.peer_address))
        self.peers.on_removed.append(lambda gone: self.forget(gone.value))
        while not self.informed():
            await self.ask_peers()
            await asyncio.sleep(ASK_PAUSE_S)
        while True:
            await asyncio.sleep(GATHER_S)
            self.tell_peers()

    async def close(self) -> None:
        """End the links."""
        for delivery in self.deliveries.values():
            delivery.cancel()
        await asyncio.gather(*self.deliveries.values(), return_exceptions=True)
        if self.exchange is not None:
            await self.exchange.close()

    def forget(self, instance: EntryInstance) -> None:
        """Close the link to an instance that is gone."""
        address = instance.peer_address
        self.taken.pop(instance.incarnation, None)
        if delivery := self.deliveries.pop(address, None):
            delivery.cancel()
        if address:
            self.deliveries[address] = asyncio.create_task(
                self.exchange.forget(address)
            )

    def beliefs(self) -> dict[str, tuple[Item, ...]]:
        """Return the items that this instance uses, by prefix of the store."""
        return {
            follower.prefix: tuple(follower.items.values())
            for follower in self.followers
            if follower.first_listed_at is not None
        }

    async def ask_peers(self) -> None:
        """Ask known peers for their beliefs while the store gives none."""
        asked = (self.ask(address) for address in self.settings.known_peers)
        # All at once: the settings may name peers that are gone.
        for answer in asyncio.as_completed(tuple(asked)):
            address, items = await answer
            adopted = sum(
                len(items[follower.prefix])
                for follower in self.followers
                if follower.prefix in items and follower.seed(items[follower.prefix])
            )
            if adopted:
                self.log.record(BeliefsAdopted(address, adopted))

    async def ask(self, address: str) -> tuple[str, dict[str, tuple[Item, ...]]]:
        """Return a peer's address and what it believes, nothing if it is away."""
        return address, await self.exchange.ask(address) or {}

    def tell_peers(self) -> None:
        """Tell peers what was observed since the last time."""
        self.log_crashes()
        servers = self.fleet.take_reports(self.now())
        for peer in self.peers.table.entries.values():
            if peer.id == self.settings.id or not peer.peer_address:
                continue
            # Only those of the own failure domain prefer the same backend servers and
            # reach them by the same way; bytes to the others cost money.
            near = peer.failure_domain == self.settings.failure_domain
            reports, number = self.crashes.reports_after(
                self.taken.get(peer.incarnation, 0)
            )
            delivery = self.deliveries.get(peer.peer_address)
            # Reports on servers that wait for a slow peer would be outdated.
            if (reports or (near and servers)) and (not delivery or delivery.done()):
                news = News(servers if near else (), reports)
                self.deliveries[peer.peer_address] = asyncio.create_task(
                    self.deliver(peer, news, number)
                )

    async def deliver(self, peer: EntryInstance, news: News, number: int) -> None:
        """Send news to a peer; reports on crashes are sent until it took them."""
        if await self.exchange.tell(peer.peer_address, news):
            self.taken[peer.incarnation] = number

    def log_crashes(self) -> None:
        """Log the own crash reports that are new."""
        reports, self.logged = self.crashes.reports_after(self.logged)
        for report in reports:
            self.log.record(event_of(report, self.crashes))

    def take_news(self, peer: str, news: News) -> None:
        """Follow the news of a peer."""
        at = self.now()
        for report in news.servers:
            self.fleet.take_report(peer, report, at)
        for report in news.requests:
            take_report(report, self.crashes, at)
        if news.servers:
            self.log.record(
                ServerReportsTaken(peer, tuple(r.server for r in news.servers))
            )
        if news.requests:
            self.log.record(CrashReportsTaken(peer, len(news.requests)))


@singledispatch
def event_of(report: object, crashes: CrashBook) -> LogEvent:
    """Return the log event of an own crash report."""
    raise TypeError(f"not a report: {type(report).__name__}")


@event_of.register
def _(report: CrashReport, crashes: CrashBook) -> LogEvent:
    suspect = crashes.suspects.get(report.fingerprint)
    return RequestSuspected(
        report.crash.request,
        report.fingerprint,
        report.crash.server,
        len(suspect.crashes) if suspect else 0,
        suspect is not None and suspect.quarantined,
    )


@event_of.register
def _(report: ClearedReport, crashes: CrashBook) -> LogEvent:
    return RequestCleared(report.fingerprint)
