"""Guard against lost updates and undetected unreachable peers."""

from __future__ import annotations

import contextlib

import pytest

from fireflyrack.core import steady_now
from fireflyrack.discovery import Item
from fireflyrack.forwarding import PeerUpdate, ServerReport
from fireflyrack.peers import PeerExchange
from fireflyrack.testbed.ports import free_address
from fireflyrack.testbed.proxy import Fault, FaultProxy

UPDATE = PeerUpdate((ServerReport("i-1", 0, 4.0, 0.0),))
CACHED_ITEMS = {"a/": (Item("a/1", b"1", 5),)}


class RecordingLog:
    def __init__(self) -> None:
        self.events = []

    def record(self, event) -> None:
        self.events.append(event.kind)


class Peer:
    """Peer exchange that records received updates and log events."""

    def __init__(self, name: str) -> None:
        self.updates = []
        self.log = RecordingLog()
        self.address = free_address()
        self.exchange = PeerExchange(
            name,
            self.address,
            self.log,
            steady_now,
            lambda peer, update: self.updates.append((peer, update)),
            lambda: CACHED_ITEMS,
        )


@pytest.fixture
async def pair():
    async with contextlib.AsyncExitStack() as stack:
        peers = Peer("a"), Peer("b")
        for peer in peers:
            await peer.exchange.start()
            stack.push_async_callback(peer.exchange.close)
        yield peers


async def test_update_reaches_the_peer(pair):
    """Guards against updates that are acknowledged but not passed on."""
    a, b = pair
    assert await a.exchange.send_update(b.address, UPDATE)
    assert b.updates == [("a", UPDATE)]


async def test_peer_returns_its_cached_items(pair):
    """Guards against an instance that cannot start from a peer without the store."""
    a, b = pair
    assert await a.exchange.fetch_items(b.address) == CACHED_ITEMS


async def test_half_open_stream_is_detected_and_replaced(pair):
    """Guards against a half-open stream that stays in use."""
    a, b = pair
    async with FaultProxy(free_address(), b.address) as proxy:
        assert await a.exchange.fetch_items(proxy.address) == CACHED_ITEMS
        await proxy.set_fault(Fault.HALF_OPEN)
        assert await a.exchange.fetch_items(proxy.address) is None
        assert a.log.events == ["dependency_lost"]
        await proxy.set_fault(Fault.NONE)
        assert await a.exchange.fetch_items(proxy.address) == CACHED_ITEMS
        assert a.log.events == ["dependency_lost", "dependency_regained"]


async def test_send_update_reports_failed_delivery(pair):
    """Guards against reports counted as delivered to an unreachable peer."""
    a, _ = pair
    assert not await a.exchange.send_update(free_address(), UPDATE)


async def test_undecodable_message_is_logged_and_discarded(pair):
    """Guards against an invalid message that blocks the valid ones after it."""
    a, b = pair
    await a.exchange.request(b.address, "peers.news", b"\xff")
    assert b.log.events == ["peer_message_rejected"] and not b.updates
    assert await a.exchange.send_update(b.address, UPDATE)
    assert b.updates


async def test_address_in_use_leaves_outgoing_links_working(pair):
    """Guards against a process that exits because it cannot accept links."""
    a, _ = pair
    third = Peer("c")
    third.exchange.address = a.address
    await third.exchange.start()
    assert third.log.events == ["peer_links_unavailable"]
    assert await third.exchange.fetch_items(a.address) == CACHED_ITEMS
    await third.exchange.close()


async def test_close_link_releases_the_link_of_a_removed_peer(pair):
    """Guards against tasks that accumulate for instances that no longer exist."""
    a, b = pair
    await a.exchange.fetch_items(b.address)
    await a.exchange.close_link(b.address)
    assert not a.exchange.pool.links
