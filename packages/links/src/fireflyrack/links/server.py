"""Server side of the links: dispatches messages to handlers by kind."""

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
    bound_frames,
    decode_frame,
    encode_frame,
)
from .link_grpc import LinkBase
from .link_pb2 import Frame, Message
from .outbox import Outbox
from .settings import LinkSettings

log = logbook.Logger("links")

# Sends a partial response; the return value of the handler is the final one.
Respond = Callable[[bytes], None]
Handler = Callable[[IncomingMessage, Respond], Awaitable[bytes | None]]


class LinkServer(LinkBase):
    """Run the handler that is registered for the kind of each message.

    Register handlers, then call `start`. `drain` waits for running handlers and
    `close` closes the streams.
    """

    def __init__(self, settings: LinkSettings, instance: str) -> None:
        self.settings = settings
        self.instance = instance
        self.handlers: dict[str, Handler] = {}
        self.stream_bound_kinds: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server = Server([self])
        self.listening = False

    def register(
        self, kind: str, handler: Handler, cancel_with_stream: bool = False
    ) -> None:
        """Register the handler for a kind of message.

        With cancel_with_stream, a handler is cancelled when the stream of its message
        closes, because its response could no longer be delivered.
        """
        self.handlers[kind] = handler
        if cancel_with_stream:
            self.stream_bound_kinds.add(kind)

    async def start(self, address: str) -> None:
        """Listen on an address `host:port`; raise OSError if it is in use."""
        host, _, port = address.rpartition(":")
        await self.server.start(host, int(port))
        self.listening = True

    async def Exchange(self, stream: Stream[Frame, Frame]) -> None:  # noqa: N802
        """Serve one stream of a peer (gRPC method)."""
        bound_frames(stream, self.settings.max_message_bytes)
        outbox = Outbox(self.settings)
        running_handlers: dict[int, asyncio.Task[None]] = {}
        stream_bound_tasks: set[asyncio.Task[None]] = set()
        writer = asyncio.create_task(self.write_frames(outbox, stream))
        try:
            async for frame in stream:
                for message in decode_frame(frame):
                    task = self.dispatch(message, outbox, running_handlers)
                    if task and message.kind in self.stream_bound_kinds:
                        stream_bound_tasks.add(task)
                        task.add_done_callback(stream_bound_tasks.discard)
        finally:
            for task in tuple(stream_bound_tasks):
                task.cancel()
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await writer

    def dispatch(
        self,
        message: IncomingMessage,
        outbox: Outbox,
        running_handlers: dict[int, asyncio.Task[None]],
    ) -> asyncio.Task[None] | None:
        """Start the handler of a message; a cancel message cancels a running one."""
        if message.kind == CANCEL_KIND:
            if task := running_handlers.get(message.correlation):
                task.cancel()
            return None
        task = asyncio.create_task(self.run_handler(message, outbox))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if message.correlation:
            running_handlers[message.correlation] = task
            task.add_done_callback(
                lambda _: running_handlers.pop(message.correlation, None)
            )
        return task

    async def run_handler(self, message: IncomingMessage, outbox: Outbox) -> None:
        """Run the handler of a message and enqueue its responses."""

        def enqueue(kind: str, body: bytes, partial: bool = False) -> None:
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
            enqueue(REJECTED_KIND, f"unknown kind {message.kind}".encode())
            return
        try:
            body = await handler(
                message, lambda part: enqueue(message.kind, part, True)
            )
        except Exception as error:
            # An error in one handler must not close the stream for other messages.
            log.exception("handler of {} failed", message.kind)
            enqueue(REJECTED_KIND, type(error).__name__.encode())
            return
        if message.correlation and body is not None:
            enqueue(message.kind, body)

    async def write_frames(self, outbox: Outbox, stream: Stream[Frame, Frame]) -> None:
        """Send queued responses, batched into frames."""
        with contextlib.suppress(StreamTerminatedError, ConnectionError):
            while True:
                messages = await outbox.take()
                await stream.send_message(encode_frame(self.instance, messages))

    async def drain(self, timeout_s: float) -> None:
        """Wait for running handlers for at most timeout_s seconds."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)

    async def close(self) -> None:
        """Stop listening and close the streams."""
        if not self.listening:
            return
        self.server.close()
        await self.server.wait_closed()
