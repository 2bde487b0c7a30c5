"""Guard against updates that reach too many peers, too few, or none."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest

from fireflyrack import availability
from fireflyrack.availability import (
    AvailabilityTable,
    Notice,
    NoticeReceived,
    SharerCount,
)
from fireflyrack.core import StateMachine, steady_now
from fireflyrack.discovery import (
    BackendServer,
    EntryInstance,
    Item,
    PrefixCache,
    ServerState,
    StoreHealth,
)
from fireflyrack.forwarding import (
    AttemptTimes,
    BudgetLimits,
    CallerRequest,
    CrashTracker,
    FleetHealth,
    PeerUpdate,
)
from fireflyrack.gateway import GatewaySettings
from fireflyrack.gateway.sharing import PeerSharing
from fireflyrack.routing import RoutingTable

REQUEST = CallerRequest("r1", "h", "GET", "/crash", (), b"", 0.0, None)
OWN_ADDRESS = "10.0.0.1:7"
SERVER = BackendServer("s-1", "s", "10.0.0.5:80", "a", 2, ServerState.READY)


class RecordingLog:
    def __init__(self) -> None:
        self.events = []

    def record(self, event) -> None:
        self.events.append(event)


class ExchangeStub:
    """Stub that records sent updates; sending to `unreachable` addresses fails."""

    def __init__(self) -> None:
        self.sent = []
        self.unreachable = set()
        self.items_by_address = {}

    async def send_update(self, address: str, update: PeerUpdate) -> bool:
        if address in self.unreachable:
            return False
        self.sent.append((address, update))
        return True

    async def fetch_items(self, address: str, prefix: str = ""):
        return self.items_by_address.get(address)


def decode_table(item: Item) -> RoutingTable:
    return RoutingTable(int(item.value), item.revision)


def instance(number: int, domain: str, incarnation: str = "i1") -> EntryInstance:
    address = f"10.0.0.{number}:7"
    return EntryInstance(
        f"e{number}", f"{number}-{incarnation}", domain, "c", peer_address=address
    )


class SharingEnvironment:
    def __init__(self) -> None:
        self.log = RecordingLog()
        health = StoreHealth(self.log, steady_now)
        self.instance_cache = PrefixCache(
            "e/", lambda item: item.value, self.log, health, steady_now
        )
        self.fleet = FleetHealth(BudgetLimits(0.2, 50, 10.0))
        self.crashes = CrashTracker()
        self.availability = StateMachine(
            AvailabilityTable(random.Random(1), SharerCount(3)),
            availability.decide,
            self.log.record,
        )
        self.configuration_cache = PrefixCache(
            "op/", decode_table, self.log, health, steady_now, leased=False
        )
        settings = GatewaySettings(
            id="e1",
            failure_domain="a",
            caller_address="10.0.0.1:1",
            directory_address="10.0.0.1:2",
            readiness_address="10.0.0.1:3",
            peer_address=OWN_ADDRESS,
            known_peers=("10.0.0.2:7", "10.0.0.3:7"),
        )
        self.sharing = PeerSharing(
            settings,
            self.log,
            self.fleet,
            self.crashes,
            self.availability,
            (self.instance_cache, self.configuration_cache),
            self.instance_cache,
            health,
            lambda: bool(self.instance_cache.table.entries),
        )
        self.exchange = self.sharing.exchange = ExchangeStub()

    def add_instances(self, *instances: EntryInstance) -> None:
        self.instance_cache.table.entries.update({f"e/{i.id}": i for i in instances})

    async def send_updates(self) -> list:
        """Run one sending cycle; return the addresses and updates sent."""
        self.exchange.sent.clear()
        self.sharing.send_updates()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return list(self.exchange.sent)

    def record_crash(self) -> None:
        self.crashes.record_interrupted(REQUEST, "s-1", 0, AttemptTimes(0.9, 1.0))
        self.crashes.record_unavailable("s-1", 0, 1.0)


@pytest.fixture
async def env():
    env = SharingEnvironment()
    env.add_instances(instance(1, "a"), instance(2, "a"), instance(3, "b"))
    return env


async def test_server_reports_are_sent_within_the_failure_domain_only(env):
    """Guards against cross-domain traffic that its receivers do not need."""
    env.fleet.record_incarnation("s-1", 0, 0.0)
    env.fleet.server("s-1").record_latency_ratio(20.0, steady_now())
    env.fleet.mark_for_report("s-1", steady_now())
    ((address, update),) = await env.send_updates()
    assert address == "10.0.0.2:7"
    assert [report.server for report in update.servers] == ["s-1"]
    assert await env.send_updates() == []


async def test_crash_reports_are_sent_until_each_peer_acknowledges(env):
    """Guards against a peer that never learns of a crashing request."""
    env.record_crash()
    env.exchange.unreachable.add("10.0.0.3:7")
    assert [address for address, _ in await env.send_updates()] == ["10.0.0.2:7"]
    env.exchange.unreachable.clear()
    assert [address for address, _ in await env.send_updates()] == ["10.0.0.3:7"]
    assert await env.send_updates() == []
    assert [e.kind for e in env.log.events] == ["request_suspected"]


async def test_crash_reports_are_sent_again_to_a_restarted_peer(env):
    """Guards against a restarted instance that sends out a quarantined request."""
    env.record_crash()
    await env.send_updates()
    env.add_instances(instance(2, "a", "i2"))
    assert [address for address, _ in await env.send_updates()] == ["10.0.0.2:7"]


async def test_crash_reports_of_peers_are_applied(env):
    """Guards against received crash reports that are ignored or not logged."""
    env.record_crash()
    crash_reports, _ = env.crashes.reports_after(0, 1.1)
    other = SharingEnvironment()
    other.sharing.apply_update("e1", PeerUpdate((), crash_reports))
    assert other.crashes.suspects
    assert [e.kind for e in other.log.events] == ["peer_crash_reports_taken"]


async def test_unsynced_instance_adopts_items_of_a_reachable_peer():
    """Guards against a startup that waits for an unreachable peer."""
    env = SharingEnvironment()
    value = dataclasses.replace(instance(3, "b"))
    env.exchange.items_by_address["10.0.0.3:7"] = {"e/": (Item("e/e3", value, 4),)}
    await env.sharing.fetch_from_peers()
    assert env.instance_cache.table.entries == {"e/e3": value}
    assert [e.kind for e in env.log.events] == ["peer_beliefs_adopted"]
    # Items of a peer are taken only before the first listing.
    assert not env.instance_cache.seed((Item("e/e9", value, 9),))


async def test_statements_of_servers_reach_all_peers_once(env):
    """Guards against peers that go on sending to a server that leaves or limits."""
    notice = Notice(rate_limit=3.0, leaving=True)
    for at in (1.0, 2.0):
        env.availability.feed(NoticeReceived(at, SERVER, notice))
    updates = await env.send_updates()
    assert [address for address, _ in updates] == ["10.0.0.2:7", "10.0.0.3:7"]
    other = SharingEnvironment()
    other.add_instances(instance(1, "a"), instance(2, "a"), instance(3, "b"))
    other.sharing.apply_update("e1", updates[0][1])
    stated = other.availability.state.find(SERVER)
    assert stated.leaving_since is not None
    assert stated.rate_limit.rate_per_s == 3.0
    # What a peer reported is not passed on.
    assert await other.send_updates() == []
    assert await env.send_updates() == []


async def test_a_starting_instance_adopts_a_later_configuration_of_a_peer(env):
    """Guards against a start that brings an earlier version back into force."""
    env.configuration_cache.apply_current_listing((Item("op/config", b"4", 9),), 9)
    for address, version in (("10.0.0.2:7", b"7"), ("10.0.0.3:7", b"3")):
        items = {"op/": (Item("op/config", version, 5),)}
        env.exchange.items_by_address[address] = items
    await env.sharing.fetch_newer_entries()
    assert env.configuration_cache.table.entries["op/config"].version == 7
