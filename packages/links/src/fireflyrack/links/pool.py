"""Client side of the links: one stream per peer."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

import logbook
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from fireflyrack.core import Failed, Ok, Outcome, SequenceGenerator

from .errors import LinkFailure, LinkFailureKind
from .frames import (
    CANCEL_KIND,
    REJECTED_KIND,
    IncomingMessage,
    bound_frames,
    decode_frame,
    encode_frame,
)
from .link_grpc import LinkStub
from .link_pb2 import Message
from .outbox import Outbox
from .settings import LinkSettings

log = logbook.Logger("links")

RequestOutcome = Outcome[bytes, LinkFailure]
PartialHandler = Callable[[bytes], None]

STREAM_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


@dataclass(slots=True)
class PendingRequest:
    """A request that awaits its response."""

    future: asyncio.Future[RequestOutcome]
    on_partial: PartialHandler | None = None
    sent: bool = False


@dataclass(slots=True)
class Link:
    """The stream to one peer, its send queue and its requests in flight."""

    address: str
    outbox: Outbox
    pending: dict[int, PendingRequest] = field(default_factory=dict)
    connected: bool = False
    task: asyncio.Task[None] | None = None


class LinkPool:
    """Send messages to peers over one long-lived stream per peer.

    Call `request` or `notify` with a peer's address. The stream is opened on first
    use and reopened after a failure. All `open_listeners` are called with the address
    of each link that opens. Call `close` to close all streams.
    """

    def __init__(
        self, settings: LinkSettings, instance: str, address: str = ""
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.address = address
        self.links: dict[str, Link] = {}
        self.open_listeners: list[Callable[[str], None]] = []
        self.correlation_ids = SequenceGenerator()

    async def request(
        self,
        address: str,
        kind: str,
        body: bytes,
        timeout_s: float,
        on_partial: PartialHandler | None = None,
    ) -> RequestOutcome:
        """Send a request and await its final response for at most timeout_s seconds.

        Partial responses are passed to `on_partial`. A timeout or cancellation also
        cancels the request at the peer.
        """
        link = self.get_link(address)
        correlation = self.correlation_ids.next()
        pending = PendingRequest(asyncio.get_running_loop().create_future(), on_partial)
        link.pending[correlation] = pending
        message = Message(kind=kind, correlation=correlation, body=body)
        if not link.outbox.put(message):
            del link.pending[correlation]
            return Failed(LinkFailure(LinkFailureKind.OVERLOADED, sent=False))
        try:
            async with asyncio.timeout(timeout_s):
                return await pending.future
        except TimeoutError:
            return Failed(LinkFailure(LinkFailureKind.TIMEOUT, sent=pending.sent))
        finally:
            self.cancel_request(link, message, pending)

    def cancel_request(
        self, link: Link, message: Message, pending: PendingRequest
    ) -> None:
        """Cancel a request that has no final response yet, here and at the peer."""
        if link.pending.pop(message.correlation, None) is None:
            return
        if pending.sent:
            link.outbox.put(Message(kind=CANCEL_KIND, correlation=message.correlation))
        else:
            # A cancelled request must not be sent later.
            with contextlib.suppress(ValueError):
                link.outbox.messages.remove(message)

    def notify(self, address: str, kind: str, body: bytes) -> bool:
        """Queue a one-way message; return False if the queue is full."""
        return self.get_link(address).outbox.put(Message(kind=kind, body=body))

    def get_link(self, address: str) -> Link:
        """Return the link to a peer; create it and start its task on first use."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(address, Outbox(self.settings))
            link.task = asyncio.create_task(self.maintain_stream(link))
        return link

    async def maintain_stream(self, link: Link) -> None:
        """Reopen the stream of a link after each failure until cancelled."""
        while True:
            try:
                await self.run_stream(link)
            except STREAM_ERRORS as error:
                self.fail_pending(link, error)
            except Exception as error:
                # A malformed frame, or a handler of a partial response that fails,
                # costs this stream only.
                log.exception("link to {} failed", link.address)
                self.fail_pending(link, error)
            # Needs no jitter: each link has one reconnecting task and a bounded rate.
            await asyncio.sleep(self.settings.reconnect_delay_s)

    async def run_stream(self, link: Link) -> None:
        """Open the stream and transfer frames until it fails; always raises."""
        host, _, port = link.address.rpartition(":")
        async with Channel(host, int(port)) as channel:
            async with asyncio.timeout(self.settings.connect_timeout_s):
                await channel.__connect__()
            async with LinkStub(channel).Exchange.open() as stream:
                await stream.send_request()
                bound_frames(stream, self.settings.max_message_bytes)
                link.connected = True
                log.info("link to {} is open", link.address)
                for listener in self.open_listeners:
                    listener(link.address)
                writer = asyncio.create_task(self.write_frames(link, stream))
                try:
                    async for frame in stream:
                        for message in decode_frame(frame):
                            self.handle_response(link, message)
                finally:
                    writer.cancel()
                    with contextlib.suppress(asyncio.CancelledError, Exception):
                        await writer
                raise StreamTerminatedError("the peer closed the stream")

    async def write_frames(self, link: Link, stream) -> None:
        """Send queued messages, batched into frames."""
        while True:
            messages = await link.outbox.take()
            for message in messages:
                if pending := link.pending.get(message.correlation):
                    pending.sent = True
            frame = encode_frame(self.instance, messages, self.address)
            await stream.send_message(frame)

    def handle_response(self, link: Link, message: IncomingMessage) -> None:
        """Pass a response to its request; ignore it if the request has ended."""
        pending = link.pending.get(message.correlation)
        if pending is None or pending.future.done():
            return
        if message.partial:
            if pending.on_partial:
                pending.on_partial(message.body)
            return
        del link.pending[message.correlation]
        if message.kind == REJECTED_KIND:
            failure = LinkFailure(
                LinkFailureKind.REJECTED, sent=True, detail=message.body.decode()
            )
            pending.future.set_result(Failed(failure))
        else:
            pending.future.set_result(Ok(message.body))

    def fail_pending(self, link: Link, error: Exception) -> None:
        """Fail all requests of a link whose stream failed to open or was closed."""
        if link.connected:
            log.info("link to {} is closed: {}", link.address, error)
        kind = LinkFailureKind.BROKEN if link.connected else LinkFailureKind.UNREACHABLE
        link.connected = False
        link.outbox.messages.clear()
        link.outbox.available.clear()
        failed_requests, link.pending = link.pending, {}
        for pending in failed_requests.values():
            if not pending.future.done():
                pending.future.set_result(
                    Failed(LinkFailure(kind, pending.sent, str(error)))
                )

    async def disconnect(self, address: str) -> None:
        """Close the stream to a peer and fail its requests; the next use reopens it."""
        link = self.links.pop(address, None)
        if link is None or link.task is None:
            return
        link.task.cancel()
        await asyncio.gather(link.task, return_exceptions=True)
        self.fail_pending(link, StreamTerminatedError("the link was closed locally"))

    async def close(self) -> None:
        """Close all streams without completing the requests in flight."""
        tasks = [link.task for link in self.links.values() if link.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.links.clear()
