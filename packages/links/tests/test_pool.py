"""Guard against lost, mismatched and late responses between entry instances."""

from __future__ import annotations

import asyncio

import pytest

from fireflyrack.core import Ok
from fireflyrack.links import LinkFailureKind, LinkPool, LinkServer, LinkSettings
from fireflyrack.testbed.ports import free_address


@pytest.fixture
async def pair():
    server = LinkServer(LinkSettings(), "server")
    pool = LinkPool(LinkSettings(), "client")
    address = free_address()
    await server.start(address)
    yield server, pool, address
    await pool.close()
    await server.close()


async def test_concurrent_responses_match_their_requests(pair):
    """Guards against responses that complete another request of the same stream."""
    server, pool, address = pair

    async def echo(message, respond):
        await asyncio.sleep(0.001 * (7 - len(message.body) % 7))
        return message.body

    server.register("echo", echo)
    bodies = [b"x" * n for n in range(1, 40)]
    outcomes = await asyncio.gather(
        *(pool.request(address, "echo", body, 5) for body in bodies)
    )
    assert outcomes == [Ok(body) for body in bodies]


async def test_request_timeout_cancels_the_handler(pair):
    """Guards against handlers that keep working for a caller that timed out."""
    server, pool, address = pair
    cancelled = asyncio.Event()

    async def slow(message, respond):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    server.register("slow", slow)
    outcome = await pool.request(address, "slow", b"", 0.2)
    assert outcome.error.kind is LinkFailureKind.TIMEOUT
    async with asyncio.timeout(5):
        await cancelled.wait()


async def test_request_to_unreachable_peer_is_reported_as_not_sent():
    """Guards against `sent` being set for a request that may safely be retried."""
    pool = LinkPool(LinkSettings(), "client")
    outcome = await pool.request(free_address(), "echo", b"", 5)
    await pool.close()
    assert outcome.error.kind is LinkFailureKind.UNREACHABLE
    assert outcome.error.sent is False


async def test_handler_error_does_not_close_the_stream(pair):
    """Guards against one failing handler that ends the requests of other callers."""
    server, pool, address = pair

    async def broken(message, respond):
        raise ValueError

    async def echo(message, respond):
        return message.body

    server.register("broken", broken)
    server.register("echo", echo)
    outcome = await pool.request(address, "broken", b"", 5)
    assert outcome.error.kind is LinkFailureKind.REJECTED
    assert await pool.request(address, "echo", b"a", 5) == Ok(b"a")


async def test_closed_stream_cancels_only_stream_bound_handlers(pair):
    """Guards against a disconnect that cancels all handlers or none of them."""
    server, pool, address = pair
    cancelled = []

    async def wait(message, respond):
        try:
            await asyncio.sleep(0.5)
        except asyncio.CancelledError:
            cancelled.append(message.kind)
            raise

    server.register("bound", wait, cancel_with_stream=True)
    server.register("free", wait)
    for kind in ("bound", "free"):
        pool.notify(address, kind, b"")
    async with asyncio.timeout(5):
        while len(server.tasks) < 2:
            await asyncio.sleep(0.01)
        await pool.close()
        while server.tasks:
            await asyncio.sleep(0.01)
    assert cancelled == ["bound"]
