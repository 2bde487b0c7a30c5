"""HTTP server that runs uvicorn inside an existing event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

LISTEN_BACKLOG = 2048
GRACEFUL_TIMEOUT_S = 30.0
STARTUP_POLL_INTERVAL_S = 0.01
# How long connections that were just accepted may take to send their first request
# once nothing more is accepted.
FIRST_REQUEST_TIMEOUT_S = 0.2
FIRST_REQUEST_POLL_INTERVAL_S = 0.01
# Interval of uvicorn's periodic work; it counts on ten ticks a second.
TICK_INTERVAL_S = 0.1


class EmbeddedServer(uvicorn.Server):
    """Uvicorn server without signal handlers; the process decides when to stop."""

    def __init__(self, config: uvicorn.Config, first_request_timeout_s: float) -> None:
        super().__init__(config)
        self.first_request_timeout_s = first_request_timeout_s
        self.exit_requested = asyncio.Event()

    async def main_loop(self) -> None:
        """Run the periodic work until an exit is requested, then return at once.

        uvicorn looks for the request at each tick only, which the grace period of a
        process that stops has no time for.
        """
        tick = 0
        while not await self.on_tick(tick):
            tick += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self.exit_requested.wait()

    def request_exit(self) -> None:
        """Stop serving; requests in flight are finished."""
        self.should_exit = True
        self.exit_requested.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Replace the context manager of uvicorn that installs signal handlers."""
        yield

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop accepting, read the requests of accepted connections, then finish.

        uvicorn closes a connection without a request at once; one that was accepted
        just before would be cut off with its request unread.
        """
        # Closing a listener resets the connections that wait to be accepted.
        accepted = [c for listener in sockets or () for c in accept_waiting(listener)]
        for server in self.servers:
            server.close()
        loop = asyncio.get_running_loop()
        for connection in accepted:
            await loop.connect_accepted_socket(self.create_protocol, connection)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.first_request_timeout_s):
                # The loop gives an accepted connection its protocol later.
                await asyncio.sleep(FIRST_REQUEST_POLL_INTERVAL_S)
                while self.has_unused_connection():
                    await asyncio.sleep(FIRST_REQUEST_POLL_INTERVAL_S)
        await super().shutdown(sockets)

    def create_protocol(self) -> asyncio.Protocol:
        """Return the protocol of a connection, as uvicorn creates it."""
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    def has_unused_connection(self) -> bool:
        """Return whether the first request of a connection has not been read."""
        return any(c.cycle is None for c in self.server_state.connections)


def accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Accept and return the connections that wait at a non-blocking listener."""
    accepted = []
    # BlockingIOError once none waits; any other error must not stop the shutdown.
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            connection.setblocking(False)
            accepted.append(connection)
    return accepted


class HttpServer:
    """Serve an ASGI application; call `bind`, then use it as a context manager.

    Leaving the context stops listening and finishes the requests in flight.
    """

    def __init__(
        self,
        app: Any,
        *addresses: str,
        drain_s: float = GRACEFUL_TIMEOUT_S,
        first_request_timeout_s: float = FIRST_REQUEST_TIMEOUT_S,
    ) -> None:
        self.addresses = addresses
        config = uvicorn.Config(
            app,
            log_level="critical",
            access_log=False,
            lifespan="off",
            server_header=False,
            timeout_graceful_shutdown=drain_s,
        )
        self.server = EmbeddedServer(config, first_request_timeout_s)
        self.sockets: list[socket.socket] = []
        self.task: asyncio.Task[None] | None = None

    def bind(self) -> None:
        """Bind and listen on all addresses; raise OSError if one is in use."""
        for address in self.addresses:
            host, _, port = address.rpartition(":")
            # asyncio sets TCP_NODELAY only on sockets whose protocol is given; without
            # it each response waits 40 ms for a delayed acknowledgement.
            listener = socket.socket(
                socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
            )
            self.sockets.append(listener)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind((host, int(port)))
            except OSError:
                self.release()
                raise
            listener.listen(LISTEN_BACKLOG)

    def release(self) -> None:
        """Close the listening sockets of a server that was not started."""
        for listener in self.sockets:
            listener.close()
        self.sockets.clear()

    def set_idle_timeout(self, timeout_s: float) -> None:
        """Set the idle timeout of connections accepted from now on, in seconds."""
        self.server.config.timeout_keep_alive = timeout_s

    async def __aenter__(self) -> HttpServer:
        self.task = asyncio.create_task(self.server.serve(self.sockets or None))
        while not self.server.started:
            await asyncio.sleep(STARTUP_POLL_INTERVAL_S)
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Stop listening and wait for the requests in flight."""
        self.server.request_exit()
        if self.task:
            await self.task
