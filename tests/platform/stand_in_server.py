"""Stand-in of a backend server on the platform, with faults."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from fireflyrack.platform import names


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Hold a request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold the bytes to send and what happens to the connection afterwards."""

    data: bytes
    close: bool = False
    reset: bool = False


Behaviour = Callable[["StandInServer", ReceivedRequest], Awaitable[Reply]]


@dataclass(slots=True)
class StandInServer:
    """Serve requests in this process by a behaviour that tests may change."""

    id: str
    service: str
    address: str
    behaviour: Behaviour
    body: bytes = b"body"
    delay_s: float = 0.0
    requests: list[ReceivedRequest] = field(default_factory=list)
    # Requests whose connection closed before they were answered.
    abandoned: int = 0
    server: asyncio.Server | None = None

    async def __aenter__(self) -> StandInServer:
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))
        return self

    async def __aexit__(self, *details: object) -> None:
        self.server.close()

    def register(self, **changes) -> dict:
        """Return the register in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "za",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            **changes,
        }

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                pairs = (line.split(": ", 1) for line in lines[1:] if line)
                headers = {name.lower(): value for name, value in pairs}
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                request = ReceivedRequest(method, target, headers, body)
                self.requests.append(request)
                reply = await self.reply(request, reader)
                if reply is None:
                    break
                writer.write(reply.data)
                await writer.drain()
                if reply.reset:
                    # Let the bytes arrive before the reset.
                    await asyncio.sleep(0.02)
                    # Closing without lingering sends a reset.
                    linger = struct.pack("ii", 1, 0)
                    connection = writer.get_extra_info("socket")
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    return
                if reply.close:
                    break
        writer.close()

    async def reply(
        self, request: ReceivedRequest, reader: asyncio.StreamReader
    ) -> Reply | None:
        """Return the reply, None if the connection closes before it is known."""
        work = asyncio.ensure_future(self.behaviour(self, request))
        gone = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if work in done:
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await gone
            return work.result()
        work.cancel()
        self.abandoned += 1
        return None


def http(
    request: ReceivedRequest,
    body: bytes,
    status: str = "200 OK",
    headers: dict[str, str] | None = None,
    request_id: str | None = None,
) -> bytes:
    """Return a response with a length that echoes the request's id."""
    fields = {
        names.REQUEST_ID: request_id or request.headers[names.REQUEST_ID.lower()],
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = [f"HTTP/1.1 {status}", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def answer(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Answer with the body and a signature; refuse what is for another server."""
    await asyncio.sleep(server.delay_s)
    expected = request.headers.get(names.EXPECTED_SERVER.lower())
    if expected not in (None, server.id):
        return Reply(http(request, b"", "421 Misdirected Request"))
    signature = {names.SIGNATURE: f"sig.{server.id}", names.SERVER_LOAD: "1,0,2"}
    return Reply(http(request, server.body, headers=signature))


async def shed(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Refuse without running."""
    refused = http(
        request, b"", "503 Service Unavailable", headers={names.NOT_RUN: "1"}
    )
    return Reply(refused)


async def reset_in_body(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send a body without length and reset the connection inside it."""
    head = (
        f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: sig\r\n"
        f"{names.REQUEST_ID}: {request.headers[names.REQUEST_ID.lower()]}\r\n\r\n"
    )
    return Reply(head.encode() + b"half", reset=True)


async def unframed(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send a body without length that ends with the connection."""
    head = (
        f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: sig.{server.id}\r\n"
        f"{names.REQUEST_ID}: {request.headers[names.REQUEST_ID.lower()]}\r\n\r\n"
    )
    return Reply(head.encode() + server.body, close=True)


async def garbage(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send bytes that are no response."""
    return Reply(b"\x00\x01 no response\r\n\r\n")


async def foreign(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send the response of another request."""
    signature = {names.SIGNATURE: "sig.other"}
    return Reply(http(request, b"foreign", headers=signature, request_id="other"))


async def extra(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send a second, foreign response behind the right one."""
    first = await answer(server, request)
    second = await foreign(server, request)
    return Reply(first.data + second.data)


async def truncated(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Close the connection inside a body with a length."""
    whole = await answer(server, request)
    return Reply(whole.data[:-2], close=True)


async def crash(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Crash on one path: take no connections any more and reset this one."""
    if not request.target.endswith("/crash"):
        return await answer(server, request)
    server.server.close()
    return Reply(b"", reset=True)
