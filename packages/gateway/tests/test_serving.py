"""Guard against responses that wait for a delayed acknowledgement."""

from __future__ import annotations

import asyncio
import socket

import falcon.asgi
import pytest

from fireflyrack.gateway import HttpServer
from fireflyrack.testbed.ports import free_address


async def test_accepted_connections_send_without_delay():
    server = HttpServer(falcon.asgi.App(), free_address())
    server.bind()
    async with server:
        host, _, port = server.addresses[0].rpartition(":")
        probe = socket.create_connection((host, int(port)))
        accepted = await next_connection(server)
        option = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        probe.close()
    assert option != 0


async def next_connection(server):
    """Return the socket of the first connection of a server."""
    async with asyncio.timeout(5):
        while not server.server.server_state.connections:
            await asyncio.sleep(0.01)
    (connection,) = server.server.server_state.connections
    return connection.transport.get_extra_info("socket")


async def test_an_address_in_use_is_reported():
    first = HttpServer(falcon.asgi.App(), free_address())
    first.bind()
    second = HttpServer(falcon.asgi.App(), first.addresses[0])
    with pytest.raises(OSError, match="in use"):
        second.bind()
    first.release()
