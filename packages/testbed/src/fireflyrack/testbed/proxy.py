"""Fault-injecting TCP proxy between two processes."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from dataclasses import dataclass

CHUNK_BYTES = 64 * 1024


class Fault(enum.Enum):
    """Fault that the proxy injects into its connections."""

    NONE = "none"
    # Refuses connections.
    REFUSE = "refuse"
    # Resets each connection after accepting it.
    RESET = "reset"
    # Accepts connections and forwards no bytes.
    HALF_OPEN = "half_open"
    # Forwards requests and discards replies.
    STALL_REPLIES = "stall_replies"
    # Resets the connection when the first byte of a request arrives.
    CUT_BEFORE_SEND = "cut_before_send"
    # Forwards the first half of a chunk of a request, then resets the connection.
    CUT_IN_SEND = "cut_in_send"
    # Forwards the whole request and resets when the first byte of its reply arrives.
    CUT_AFTER_SEND = "cut_after_send"


@dataclass(slots=True)
class ProxyFaults:
    """Active fault and delay; both may change while the proxy runs."""

    fault: Fault = Fault.NONE
    # Added before each chunk, in both directions.
    delay_s: float = 0.0


class FaultProxy:
    """TCP proxy that forwards connections to a target and injects faults.

    Use it as an asynchronous context manager. It listens on `address`. A change of
    `faults` also applies to connections that are already open.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.faults = ProxyFaults()
        self.connections = 0
        self.aborted = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> FaultProxy:
        await self.listen()
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.stop_listening()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def listen(self) -> None:
        """Start accepting connections."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self.server:
            self.server.close()
            self.server = None

    async def set_fault(self, fault: Fault) -> None:
        """Activate a fault; NONE deactivates the previous one."""
        self.faults.fault = fault
        if fault is Fault.REFUSE:
            await self.stop_listening()
        elif self.server is None:
            await self.listen()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one client connection."""
        self.connections += 1
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if self.faults.fault is Fault.RESET:
            self.reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            self.reset(writer)
            return
        await self.forward(reader, writer, *upstream)

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream_reader: asyncio.StreamReader,
        upstream_writer: asyncio.StreamWriter,
    ) -> None:
        """Forward bytes in both directions until either side closes."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.forward_requests(reader, upstream_writer))
                group.create_task(self.forward_replies(upstream_reader, writer))
        except* (OSError, ConnectionAbortedError):
            self.aborted += 1
        finally:
            self.reset(writer)
            self.reset(upstream_writer)

    async def forward_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes from the client to the target."""
        while chunk := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self.faults.delay_s)
            match self.faults.fault:
                case Fault.HALF_OPEN:
                    continue
                case Fault.CUT_BEFORE_SEND:
                    raise ConnectionAbortedError
                case Fault.CUT_IN_SEND:
                    writer.write(chunk[: len(chunk) // 2])
                    await writer.drain()
                    raise ConnectionAbortedError
            writer.write(chunk)
            await writer.drain()
        raise ConnectionAbortedError

    async def forward_replies(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes from the target to the client."""
        while chunk := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self.faults.delay_s)
            if self.faults.fault is Fault.CUT_AFTER_SEND:
                raise ConnectionAbortedError
            if self.faults.fault in (Fault.STALL_REPLIES, Fault.HALF_OPEN):
                continue
            writer.write(chunk)
            await writer.drain()
        raise ConnectionAbortedError

    def reset(self, writer: asyncio.StreamWriter) -> None:
        """Reset a connection and discard its buffered data."""
        with contextlib.suppress(OSError, RuntimeError):
            writer.transport.abort()
