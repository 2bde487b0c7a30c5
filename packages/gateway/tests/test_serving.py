"""Guard against delayed responses and unreported bind errors."""

from __future__ import annotations

import asyncio
import resource
import socket

import falcon.asgi
import pytest

from fireflyrack.gateway import HttpServer, accepting
from fireflyrack.testbed.ports import free_address

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


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


class ReadyApp:
    """Application that answers each request at once."""

    async def __call__(self, scope, receive, send):
        headers = [(b"content-length", b"5")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ready"})


def connect(server: HttpServer) -> socket.socket:
    host, _, port = server.addresses[0].rpartition(":")
    return socket.create_connection((host, int(port)))


async def read_to_end(client: socket.socket) -> bytes:
    """Return all bytes until the server closes; raise if it resets."""
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(5):
        while data := await loop.sock_recv(client, 4096):
            received += data
    client.close()
    return received


@pytest.mark.parametrize("turns", range(6))
async def test_connection_accepted_as_the_server_stops_is_answered(turns):
    """Guards against a connection that is dropped between accept and protocol.

    The listener is closed some turns of the loop after a connection was established;
    asyncio's server dropped it silently if it was closed in the turn after the accept.
    """
    server = HttpServer(ReadyApp(), free_address())
    server.bind()
    async with server:
        client = connect(server)
        client.sendall(REQUEST)
        for _ in range(turns):
            await asyncio.sleep(0)
        server.server.request_exit()
        received = await read_to_end(client)
    assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"ready")


@pytest.mark.parametrize("repeated", [True, False])
async def test_kept_connection_is_closed_once_its_request_is_read(repeated):
    """Guards against closing an idle connection whose next request has arrived.

    The request waits in the kernel's buffer, since the loop has had no turn to read it.
    """
    server = HttpServer(ReadyApp(), free_address())
    server.bind()
    async with server:
        client = connect(server)
        client.sendall(REQUEST)
        await next_connection(server)
        client.setblocking(False)
        first = await asyncio.get_running_loop().sock_recv(client, 4096)
        if repeated:
            client.sendall(REQUEST)
        assert server.server.close_quiet_connections() is repeated
        server.server.request_exit()
        second = await read_to_end(client)
    assert first.endswith(b"ready")
    assert second.endswith(b"ready") is repeated


async def test_connection_without_protocol_is_reported():
    """Guards against a dropped connection that no log line and no counter shows."""
    errors = []
    server = HttpServer(ReadyApp(), free_address())
    server.on_accept_failure = errors.append
    server.bind()
    async with server:

        def fail():
            raise ValueError("no protocol")

        server.server.acceptor.create_protocol = fail
        client = connect(server)
        with pytest.raises(ConnectionError):
            if not await read_to_end(client):
                raise ConnectionResetError
    assert [str(error) for error in errors] == ["no protocol"]


async def test_listener_out_of_descriptors_is_tried_again(monkeypatch):
    """Guards against a loop that spins, or stops accepting, without descriptors."""
    monkeypatch.setattr(accepting, "ACCEPT_RETRY_DELAY_S", 0.05)
    errors = []
    server = HttpServer(ReadyApp(), free_address())
    server.on_accept_failure = errors.append
    server.bind()
    async with server:
        client = connect(server)
        client.sendall(REQUEST)
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, limits[1]))
        await asyncio.sleep(0.2)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        failures = len(errors)
        async with asyncio.timeout(5):
            assert (await next_connection(server)) is not None
        client.close()
    assert 1 <= failures <= 10
