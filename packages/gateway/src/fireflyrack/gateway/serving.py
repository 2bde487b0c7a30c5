"""HTTP server that runs uvicorn inside an existing event loop."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn
from logbook import Logger

from .accepting import AcceptFailed, Acceptor
from .http_protocol import DecliningHttpProtocol

log = Logger("serving")

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

    def __init__(
        self,
        config: uvicorn.Config,
        first_request_timeout_s: float,
        on_accept_failure: AcceptFailed,
    ) -> None:
        super().__init__(config)
        self.first_request_timeout_s = first_request_timeout_s
        self.on_accept_failure = on_accept_failure
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

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Accept the connections of listening sockets."""
        await self.lifespan.startup()
        self.acceptor = Acceptor(
            sockets or (), self.create_protocol, self.on_accept_failure
        )
        self.acceptor.start()
        self.servers = [self.acceptor]
        self.started = True

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop accepting, read the requests that were sent, then finish.

        uvicorn closes a connection without a request at once; one that was accepted
        just before would be cut off with its request unread.
        """
        self.acceptor.close()
        await self.acceptor.wait_opened()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.first_request_timeout_s):
                while self.close_quiet_connections():
                    await asyncio.sleep(FIRST_REQUEST_POLL_INTERVAL_S)
        await super().shutdown(sockets)

    def create_protocol(self) -> asyncio.Protocol:
        """Return the protocol of a connection, as uvicorn creates it."""
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    def close_quiet_connections(self) -> bool:
        """Close connections without a request to read; return whether others remain.

        Those with a request in flight close after its response. Those without a first
        request were accepted just before.
        """
        remain = False
        for connection in tuple(self.server_state.connections):
            if connection.cycle is None or is_readable(connection.transport):
                remain = True
            else:
                connection.shutdown()
        return remain


def is_readable(transport: asyncio.Transport) -> bool:
    """Return whether bytes wait in the kernel to be read."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), select.POLLIN)
    return bool(poll.poll(0))


def log_accept_failure(error: Exception) -> None:
    """Log that a connection could not be accepted."""
    log.error("a connection could not be accepted: {!r}", error)


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
        # Replaced by the process that serves, to log and count.
        self.on_accept_failure: AcceptFailed = log_accept_failure
        self.addresses = addresses
        config = uvicorn.Config(
            app,
            http=DecliningHttpProtocol,
            ws="none",
            log_level="critical",
            access_log=False,
            lifespan="off",
            server_header=False,
            timeout_graceful_shutdown=drain_s,
        )
        self.server = EmbeddedServer(
            config,
            first_request_timeout_s,
            lambda error: self.on_accept_failure(error),
        )
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
        self.task = asyncio.create_task(self.server.serve(self.sockets))
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
