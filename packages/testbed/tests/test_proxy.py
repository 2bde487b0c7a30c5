"""Guard against a proxy that injects a different fault than the one set."""

from __future__ import annotations

import asyncio

import aiohttp
import falcon.asgi
import pytest

from fireflyrack.gateway import HttpServer
from fireflyrack.testbed.ports import free_address
from fireflyrack.testbed.proxy import Fault, FaultProxy


class CountingResource:
    """Resource that counts the requests received in full."""

    def __init__(self):
        self.received = 0

    async def on_post(self, req, resp):
        body = await req.stream.read()
        self.received += len(body) == 1000
        resp.text = "done"


@pytest.fixture
async def target():
    resource = CountingResource()
    app = falcon.asgi.App()
    app.add_route("/", resource)
    address = free_address()
    server = HttpServer(app, address)
    server.bind()
    async with server:
        yield resource, address


async def post(address, timeout_s=0.4):
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.post(f"http://{address}/", data=b"x" * 1000) as response:
            return await response.text()


@pytest.mark.parametrize(
    ("fault", "error", "received"),
    [
        (Fault.REFUSE, aiohttp.ClientConnectorError, 0),
        (Fault.RESET, aiohttp.ClientError, 0),
        (Fault.HALF_OPEN, asyncio.TimeoutError, 0),
        (Fault.CUT_BEFORE_SEND, aiohttp.ClientError, 0),
        (Fault.CUT_IN_SEND, aiohttp.ClientError, 0),
        (Fault.STALL_REPLIES, asyncio.TimeoutError, 1),
        (Fault.CUT_AFTER_SEND, aiohttp.ClientError, 1),
    ],
)
async def test_each_fault_loses_the_request_or_its_reply(
    target, fault, error, received
):
    """Guards against a fault that loses the request instead of its reply or vice versa.

    Also guards against one that persists after it is deactivated.
    """
    resource, address = target
    async with FaultProxy(free_address(), address) as proxy:
        assert await post(proxy.address) == "done"
        await proxy.set_fault(fault)
        with pytest.raises(error):
            await post(proxy.address)
        assert resource.received == 1 + received
        await proxy.set_fault(Fault.NONE)
        assert await post(proxy.address) == "done"


async def test_a_delay_applies_to_both_directions(target):
    """Guards against a delay that is applied to requests only or to replies only."""
    _, address = target
    loop = asyncio.get_running_loop()
    async with FaultProxy(free_address(), address) as proxy:
        proxy.faults.delay_s = 0.05
        started_at = loop.time()
        assert await post(proxy.address, timeout_s=5) == "done"
        assert loop.time() - started_at >= 0.1
