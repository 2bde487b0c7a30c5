"""Guard against news that get lost, and against peers that stopped answering."""

from __future__ import annotations

import contextlib

import pytest

from fireflyrack.core import steady_now
from fireflyrack.discovery import Item
from fireflyrack.forwarding import PeerUpdate, ServerReport
from fireflyrack.peers import PeerExchange
from fireflyrack.testbed.ports import free_address
from fireflyrack.testbed.proxy import Fault, FaultProxy

NEWS = PeerUpdate((ServerReport("i-1", 0, 4.0, 0.0),))
ITEMS = {"a/": (Item("a/1", b"1", 5),)}


class RecordingLog:
    def __init__(self) -> None:
        self.events = []

    def record(self, event) -> None:
        self.events.append(event.kind)


class Peer:
    """Run one end of an exchange."""

    def __init__(self, name: str) -> None:
        self.news = []
        self.log = RecordingLog()
        self.address = free_address()
        self.exchange = PeerExchange(
            name,
            self.address,
            self.log,
            steady_now,
            lambda peer, news: self.news.append((peer, news)),
            lambda: ITEMS,
        )


@pytest.fixture
async def pair():
    async with contextlib.AsyncExitStack() as stack:
        peers = Peer("a"), Peer("b")
        for peer in peers:
            await peer.exchange.start()
            stack.push_async_callback(peer.exchange.close)
        yield peers


async def test_news_reach_the_peer(pair):
    a, b = pair
    assert await a.exchange.tell(b.address, NEWS)
    assert b.news == [("a", NEWS)]


async def test_a_peer_tells_its_beliefs(pair):
    a, b = pair
    assert await a.exchange.ask(b.address) == ITEMS


async def test_a_silent_stream_is_noticed_and_replaced(pair):
    """Guards against a stream that goes silent without a reset and stays in use."""
    a, b = pair
    async with FaultProxy(free_address(), b.address) as proxy:
        assert await a.exchange.ask(proxy.address) == ITEMS
        await proxy.set_fault(Fault.HALF_OPEN)
        assert await a.exchange.ask(proxy.address) is None
        assert a.log.events == ["dependency_lost"]
        await proxy.set_fault(Fault.NONE)
        assert await a.exchange.ask(proxy.address) == ITEMS
        assert a.log.events == ["dependency_lost", "dependency_regained"]


async def test_news_that_reach_nobody_are_said_to_be_lost(pair):
    """Guards against a report that counts as told to a peer that was not there."""
    a, _ = pair
    assert not await a.exchange.tell(free_address(), NEWS)


async def test_a_message_that_cannot_be_read_is_logged_and_harms_no_other(pair):
    a, b = pair
    await a.exchange.request(b.address, "peers.news", b"\xff")
    assert b.log.events == ["peer_message_rejected"] and not b.news
    assert await a.exchange.tell(b.address, NEWS)
    assert b.news


async def test_an_address_in_use_leaves_the_rest_working(pair):
    """Guards against a process that ends because its peers cannot reach it."""
    a, _ = pair
    third = Peer("c")
    third.exchange.address = a.address
    await third.exchange.start()
    assert third.log.events == ["peer_links_unavailable"]
    assert await third.exchange.ask(a.address) == ITEMS
    await third.exchange.close()


async def test_no_link_stays_to_a_peer_that_is_gone(pair):
    """Guards against a task for each instance that ever was."""
    a, b = pair
    await a.exchange.ask(b.address)
    await a.exchange.forget(b.address)
    assert not a.exchange.pool.links
