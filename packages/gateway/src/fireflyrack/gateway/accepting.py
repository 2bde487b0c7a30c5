"""Acceptance of connections, so that a stop drops none that was accepted."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

# Connections accepted before the event loop continues.
MAX_ACCEPTED_AT_ONCE = 100
# Pause after an error of a listener, such as a lack of file descriptors.
ACCEPT_RETRY_DELAY_S = 1.0

CreateProtocol = Callable[[], asyncio.Protocol]
# Called with the error if a connection could not be accepted or opened.
AcceptFailed = Callable[[Exception], None]


class Acceptor:
    """Accept the connections of listeners; `start` it, then `close` it.

    A server of asyncio gives an accepted connection its transport in a later turn of
    the loop, and drops the connection silently if the server was closed in between.
    """

    def __init__(
        self,
        listeners: Sequence[socket.socket],
        create_protocol: CreateProtocol,
        on_failure: AcceptFailed,
    ) -> None:
        self.listeners = listeners
        self.create_protocol = create_protocol
        self.on_failure = on_failure
        self.loop = asyncio.get_running_loop()
        self.opening: set[asyncio.Task[None]] = set()
        self.closed = False

    def start(self) -> None:
        """Accept connections from now on."""
        for listener in self.listeners:
            listener.setblocking(False)
            self.loop.add_reader(listener, self.accept, listener)

    def close(self) -> None:
        """Accept the connections that wait, then stop listening."""
        if self.closed:
            return
        self.closed = True
        for listener in self.listeners:
            self.loop.remove_reader(listener)
            # Closing a listener resets the connections that wait to be accepted.
            while self.accept(listener) == MAX_ACCEPTED_AT_ONCE:
                pass
            listener.close()

    async def wait_opened(self) -> None:
        """Wait until each accepted connection has its protocol, or has failed."""
        while self.opening:
            await asyncio.wait(self.opening)

    async def wait_closed(self) -> None:
        """Wait for what `close` started."""
        await self.wait_opened()

    def accept(self, listener: socket.socket) -> int:
        """Accept connections that wait at a listener; return their number."""
        for accepted in range(MAX_ACCEPTED_AT_ONCE):
            try:
                connection, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return accepted
            except OSError as error:
                self.on_failure(error)
                self.pause(listener)
                return accepted
            connection.setblocking(False)
            task = self.loop.create_task(self.open(connection))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        return MAX_ACCEPTED_AT_ONCE

    async def open(self, connection: socket.socket) -> None:
        """Give an accepted connection its transport and protocol."""
        try:
            await self.loop.connect_accepted_socket(self.create_protocol, connection)
        except Exception as error:  # noqa: BLE001
            connection.close()
            self.on_failure(error)

    def pause(self, listener: socket.socket) -> None:
        """Accept nothing for a time, since the listener would stay readable."""
        self.loop.remove_reader(listener)
        self.loop.call_later(ACCEPT_RETRY_DELAY_S, self.resume, listener)

    def resume(self, listener: socket.socket) -> None:
        """Accept connections again, unless closed meanwhile."""
        if not self.closed:
            self.loop.add_reader(listener, self.accept, listener)
