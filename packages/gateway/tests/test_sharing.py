"""Guard against news that reach too many peers, too few, or none."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from fireflyrack.core import steady_now
from fireflyrack.discovery import EntryInstance, Item, PrefixCache, StoreHealth
from fireflyrack.forwarding import (
    BudgetLimits,
    CallerRequest,
    CrashBook,
    FleetHealth,
    News,
)
from fireflyrack.gateway import GatewaySettings
from fireflyrack.gateway.sharing import Sharing

REQUEST = CallerRequest("r1", "h", "GET", "/crash", (), b"", 0.0, None)
OWN = "10.0.0.1:7"


class Log:
    def __init__(self) -> None:
        self.events = []

    def record(self, event) -> None:
        self.events.append(event)


class Exchange:
    """Record what is told; peers in `away` take nothing."""

    def __init__(self) -> None:
        self.told = []
        self.away = set()
        self.answers = {}

    async def tell(self, address: str, news: News) -> bool:
        if address in self.away:
            return False
        self.told.append((address, news))
        return True

    async def ask(self, address: str):
        return self.answers.get(address)


def instance(number: int, domain: str, incarnation: str = "i1") -> EntryInstance:
    address = f"10.0.0.{number}:7"
    return EntryInstance(
        f"e{number}", f"{number}-{incarnation}", domain, "c", peer_address=address
    )


class World:
    def __init__(self) -> None:
        self.log = Log()
        health = StoreHealth(self.log, steady_now)
        self.peers = PrefixCache(
            "e/", lambda item: item.value, self.log, health, steady_now
        )
        self.fleet = FleetHealth(BudgetLimits(0.2, 50, 10.0))
        self.crashes = CrashBook()
        settings = GatewaySettings(
            id="e1",
            failure_domain="a",
            caller_address="10.0.0.1:1",
            directory_address="10.0.0.1:2",
            readiness_address="10.0.0.1:3",
            peer_address=OWN,
            known_peers=("10.0.0.2:7", "10.0.0.3:7"),
        )
        self.sharing = Sharing(
            settings,
            self.log,
            self.fleet,
            self.crashes,
            (self.peers,),
            self.peers,
            health,
            lambda: bool(self.peers.table.entries),
        )
        self.exchange = self.sharing.exchange = Exchange()

    def list(self, *instances: EntryInstance) -> None:
        self.peers.table.entries.update({f"e/{i.id}": i for i in instances})

    async def tick(self) -> list:
        """Tell peers once; return what they were told."""
        self.exchange.told.clear()
        self.sharing.tell_peers()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return list(self.exchange.told)

    def crash(self) -> None:
        self.crashes.note_interrupted(REQUEST, "s-1", 0, 1.0)
        self.crashes.note_away("s-1", 0, 1.0)


@pytest.fixture
async def world():
    world = World()
    world.list(instance(1, "a"), instance(2, "a"), instance(3, "b"))
    return world


async def test_slow_servers_are_told_to_the_own_failure_domain_only(world):
    """Guards against bytes between failure domains for peers that gain nothing."""
    world.fleet.note_start("s-1", 0, 0.0)
    world.fleet.server("s-1").note_slowness(20.0, steady_now())
    world.fleet.note_observed("s-1", steady_now())
    ((address, news),) = await world.tick()
    assert address == "10.0.0.2:7"
    assert [report.server for report in news.servers] == ["s-1"]
    assert await world.tick() == []


async def test_crashes_are_told_to_all_until_they_took_it(world):
    """Guards against a crashing request that one peer never hears of."""
    world.crash()
    world.exchange.away.add("10.0.0.3:7")
    assert [address for address, _ in await world.tick()] == ["10.0.0.2:7"]
    world.exchange.away.clear()
    assert [address for address, _ in await world.tick()] == ["10.0.0.3:7"]
    assert await world.tick() == []
    assert [e.kind for e in world.log.events] == ["request_suspected"]


async def test_a_peer_that_started_anew_is_told_again(world):
    """Guards against a restarted instance that runs a quarantined request."""
    world.crash()
    await world.tick()
    world.list(instance(2, "a", "i2"))
    assert [address for address, _ in await world.tick()] == ["10.0.0.2:7"]


async def test_reports_of_peers_are_followed(world):
    world.crash()
    reports, _ = world.crashes.reports_after(0)
    other = World()
    other.sharing.take_news("e1", News((), reports))
    assert other.crashes.suspects
    assert [e.kind for e in other.log.events] == ["peer_crash_reports_taken"]


async def test_an_instance_without_the_store_asks_peers_one_after_another():
    """Guards against a start that waits for a peer that is gone."""
    world = World()
    value = dataclasses.replace(instance(3, "b"))
    world.exchange.answers["10.0.0.3:7"] = {"e/": (Item("e/e3", value, 4),)}
    await world.sharing.ask_peers()
    assert world.peers.table.entries == {"e/e3": value}
    assert [e.kind for e in world.log.events] == ["peer_beliefs_adopted"]
    # What the store listed once is never replaced by what a peer believes.
    assert not world.peers.seed((Item("e/e9", value, 9),))
