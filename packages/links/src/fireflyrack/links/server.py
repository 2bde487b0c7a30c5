"""Server side of the links: handlers by kind of message."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import logbook
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server, Stream

from .frames import (
    CANCEL_KIND,
    REJECTED_KIND,
    IncomingMessage,
    decode_frame,
    encode_frame,
)
from .link_grpc import LinkBase
from .link_pb2 import Frame, Message
from .outbox import Outbox
from .settings import LinkSettings

log = logbook.Logger("links")

Respond = Callable[[bytes], None]
Handler = Callable[[IncomingMessage, Respond], Awaitable[bytes | None]]


class LinkServer(LinkBase):
    """Answer the messages of peers with the handler registered for their kind.

    Register handlers, then call `start`; `drain` waits for handlers in flight and
    `close` ends the streams.
    """

    def __init__(self, settings: LinkSettings, instance: str) -> None:
        self.settings = settings
        self.instance = instance
        self.handlers: dict[str, Handler] = {}
        self.bound_to_stream: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server = Server([self])
        self.listening = False

    def register(
        self, kind: str, handler: Handler, cancel_with_stream: bool = False
    ) -> None:
        """Register the handler of a kind of message.

        With cancel_with_stream, a handler is cancelled when the stream of its message
        breaks, since nobody can receive its response.
        """
        self.handlers[kind] = handler
        if cancel_with_stream:
            self.bound_to_stream.add(kind)

    async def start(self, address: str) -> None:
        """Listen on an address; raise OSError if it is in use."""
        host, _, port = address.rpartition(":")
        await self.server.start(host, int(port))
        self.listening = True

    async def Exchange(self, stream: Stream[Frame, Frame]) -> None:  # noqa: N802
        """Serve one stream of a peer."""
        settings = self.settings
        outbox = Outbox(settings.max_waiting_messages, settings.max_frame_messages)
        running: dict[int, asyncio.Task[None]] = {}
        bound: set[asyncio.Task[None]] = set()
        writer = asyncio.create_task(self.write(outbox, stream))
        try:
            async for frame in stream:
                for message in decode_frame(frame):
                    task = self.dispatch(message, outbox, running)
                    if task and message.kind in self.bound_to_stream:
                        bound.add(task)
                        task.add_done_callback(bound.discard)
        finally:
            for task in tuple(bound):
                task.cancel()
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await writer

    def dispatch(
        self,
        message: IncomingMessage,
        outbox: Outbox,
        running: dict[int, asyncio.Task[None]],
    ) -> asyncio.Task[None] | None:
        """Start the handler of a message, or cancel that of an earlier one."""
        if message.kind == CANCEL_KIND:
            if task := running.get(message.correlation):
                task.cancel()
            return None
        task = asyncio.create_task(self.answer(message, outbox))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if message.correlation:
            running[message.correlation] = task
            task.add_done_callback(lambda _: running.pop(message.correlation, None))
        return task

    async def answer(self, message: IncomingMessage, outbox: Outbox) -> None:
        """Run the handler of a message and queue its responses."""

        def queue(kind: str, body: bytes, partial: bool = False) -> None:
            outbox.put(
                Message(
                    kind=kind,
                    correlation=message.correlation,
                    response=True,
                    partial=partial,
                    body=body,
                )
            )

        handler = self.handlers.get(message.kind)
        if handler is None:
            queue(REJECTED_KIND, f"unknown kind {message.kind}".encode())
            return
        try:
            body = await handler(message, lambda part: queue(message.kind, part, True))
        except Exception as error:
            # One bad message must not end the stream for all others.
            log.exception("handler of {} failed", message.kind)
            queue(REJECTED_KIND, type(error).__name__.encode())
            return
        if message.correlation and body is not None:
            queue(message.kind, body)

    async def write(self, outbox: Outbox, stream: Stream[Frame, Frame]) -> None:
        """Write waiting responses, as many as there are in one frame."""
        with contextlib.suppress(StreamTerminatedError, ConnectionError):
            while True:
                messages = await outbox.take()
                await stream.send_message(encode_frame(self.instance, messages))

    async def drain(self, timeout_s: float) -> None:
        """Wait for the handlers in flight for at most timeout_s seconds."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)

    async def close(self) -> None:
        """Stop listening and end the streams."""
        if not self.listening:
            return
        self.server.close()
        await self.server.wait_closed()
