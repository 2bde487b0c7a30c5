"""Server that writes scripted bytes, and attempts of the platform's client at it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

from fireflyrack.core import steady_now
from fireflyrack.discovery import BackendServer, ServerState
from fireflyrack.forwarding import Attempt, AttemptOutcome, CallerRequest
from fireflyrack.http_client import ResponseLimits
from fireflyrack.platform.backend_client import BackendClient
from fireflyrack.testbed.ports import free_address

ATTEMPT_TIMEOUT_S = 0.05
LIMITS = ResponseLimits()


@dataclass(frozen=True)
class Script:
    """Bytes for each request of a connection, and how the connection ends."""

    parts: tuple[bytes, ...]
    # Position at which the bytes end, as a fraction; 1 for all of them.
    cut: float
    reset: bool
    # Bytes for each packet; 0 for all in one.
    packet: int

    @property
    def data(self) -> bytes:
        whole = b"".join(self.parts)
        return whole[: round(self.cut * len(whole))]


class ScriptedServer:
    """Server that answers each request of a connection with a script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.address = free_address()
        self.handlers: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> ScriptedServer:
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))
        return self

    async def __aexit__(self, *details: object) -> None:
        self.server.close()
        for handler in self.handlers:
            handler.cancel()
        await asyncio.gather(*self.handlers, return_exceptions=True)

    async def accept(self, reader, writer) -> None:
        """Handle one connection; nothing of it may outlive the loop of an example."""
        self.handlers.add(asyncio.current_task())
        try:
            # The client may close the connection at any time.
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.send_script(reader, writer)
        finally:
            writer.transport.abort()

    async def send_script(self, reader, writer) -> None:
        """Read one request, send the script, then close or reset the connection."""
        await reader.readuntil(b"\r\n\r\n")
        data, size = self.script.data, self.script.packet or len(self.script.data)
        for start in range(0, len(data), max(1, size)):
            writer.write(data[start : start + size])
            await writer.drain()
        if self.script.reset:
            # Lets the client receive the data before the reset.
            await asyncio.sleep(0.002)
            # With a linger time of zero, aborting sends a reset.
            linger = struct.pack("ii", 1, 0)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        else:
            writer.close()
            await writer.wait_closed()


def request(id: str) -> CallerRequest:
    return CallerRequest(id, "h", "GET", "/x", (), b"", steady_now(), None)


async def run_attempts(
    script: Script, count: int = 2, timeout_s: float = ATTEMPT_TIMEOUT_S
) -> list[AttemptOutcome]:
    """Send requests over the same connections; return their outcomes."""
    outcomes = []
    async with ScriptedServer(script) as server:
        known = BackendServer("i-1", "s", server.address, "d", 2, ServerState.READY)
        client = BackendClient(LIMITS)
        try:
            for number in range(count):
                until = steady_now() + timeout_s
                attempt = Attempt(number, 0, known, until)
                outcomes.append(await client.send(request("own"), attempt))
        finally:
            await client.close()
            # The transports close in the next cycles of the loop.
            await asyncio.sleep(0.001)
    return outcomes
