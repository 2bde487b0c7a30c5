"""Guard against delayed responses and unreported bind errors."""

from __future__ import annotations

import asyncio
import socket

import falcon.asgi
import pytest

from fireflyrack.gateway import HttpServer
from fireflyrack.testbed.ports import free_address


async def test_accepted_connections_set_tcp_nodelay():
    """Guards against responses that wait 40 ms for a delayed acknowledgement."""
    server = HttpServer(falcon.asgi.App(), free_address())
    server.bind()
    async with server:
        host, _, port = server.addresses[0].rpartition(":")
        client = socket.create_connection((host, int(port)))
        accepted = await next_connection(server)
        option = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        client.close()
    assert option != 0


async def next_connection(server):
    """Wait for the first connection of a server and return its socket."""
    async with asyncio.timeout(5):
        while not server.server.server_state.connections:
            await asyncio.sleep(0.01)
    (connection,) = server.server.server_state.connections
    return connection.transport.get_extra_info("socket")


async def test_bind_raises_if_the_address_is_in_use():
    """Guards against a server that starts without its listening socket."""
    first = HttpServer(falcon.asgi.App(), free_address())
    first.bind()
    second = HttpServer(falcon.asgi.App(), first.addresses[0])
    with pytest.raises(OSError, match="in use"):
        second.bind()
    first.release()
