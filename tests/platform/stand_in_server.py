"""Stand-in for a backend server on the platform, with faulty behaviours."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from fireflyrack.core import steady_now
from fireflyrack.platform import names


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    # Monotonic time in seconds.
    received_at: float = field(default_factory=steady_now)


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes to send, and whether to close or reset the connection afterwards."""

    data: bytes
    # Bytes that are repeated after the data until the connection closes.
    endless: bytes = b""
    close: bool = False
    reset: bool = False


Behaviour = Callable[["StandInServer", ReceivedRequest], Awaitable[Reply]]


@dataclass(slots=True)
class StandInServer:
    """Server in this process whose replies come from a replaceable behaviour."""

    id: str
    service: str
    address: str
    behaviour: Behaviour
    body: bytes = b"body"
    delay_s: float = 0.0
    requests: list[ReceivedRequest] = field(default_factory=list)
    # Number of requests whose connection closed before the reply.
    abandoned: int = 0
    server: asyncio.Server | None = None

    async def __aenter__(self) -> StandInServer:
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))
        return self

    async def __aexit__(self, *details: object) -> None:
        self.server.close()

    def registration(self, **changes) -> dict:
        """Return the registration that the store holds, with some fields replaced."""
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
        """Handle the requests of one connection in order."""
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
                while reply.endless:
                    writer.write(reply.endless)
                    await writer.drain()
                if reply.reset:
                    # Lets the client receive the data before the reset.
                    await asyncio.sleep(0.02)
                    # With a linger time of zero, closing sends a reset.
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
        """Return the reply, or None if the connection closes first."""
        answering = asyncio.ensure_future(self.behaviour(self, request))
        disconnected = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait(
            {answering, disconnected}, return_when=asyncio.FIRST_COMPLETED
        )
        if answering in done:
            disconnected.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await disconnected
            return answering.result()
        answering.cancel()
        self.abandoned += 1
        return None


def encode_response(
    request: ReceivedRequest,
    body: bytes,
    status: str = "200 OK",
    headers: dict[str, str] | None = None,
    request_id: str | None = None,
) -> bytes:
    """Encode a response with Content-Length and the id of its request."""
    fields = {
        names.REQUEST_ID: request_id or request.headers[names.REQUEST_ID.lower()],
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = [f"HTTP/1.1 {status}", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def answer(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Answer with a body and a signature; reject requests for another server."""
    await asyncio.sleep(server.delay_s)
    expected = request.headers.get(names.EXPECTED_SERVER.lower())
    if expected not in (None, server.id):
        return Reply(encode_response(request, b"", "421 Misdirected Request"))
    signature = {names.SIGNATURE: f"sig.{server.id}", names.SERVER_LOAD: "1,0,2"}
    return Reply(encode_response(request, server.body, headers=signature))


def stating(headers: dict[str, str]) -> Behaviour:
    """Return a behaviour that adds headers to each answer; the dict may change."""

    async def answer_with_headers(
        server: StandInServer, request: ReceivedRequest
    ) -> Reply:
        whole = await answer(server, request)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        return Reply(whole.data.replace(b"\r\n", b"\r\n" + lines.encode(), 1))

    return answer_with_headers


async def shed(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Refuse a request as not executed."""
    refused = encode_response(
        request, b"", "503 Service Unavailable", headers={names.NOT_RUN: "1"}
    )
    return Reply(refused)


def closing(retry_after: str) -> Behaviour:
    """Return a behaviour that refuses requests and asks for a pause."""

    async def refuse(server: StandInServer, request: ReceivedRequest) -> Reply:
        headers = {names.NOT_RUN: "1", "Retry-After": retry_after}
        status = "503 Service Unavailable"
        return Reply(encode_response(request, b"", status, headers))

    return refuse


async def reset_in_body(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send part of a body without a length, then reset the connection."""
    head = (
        f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: sig\r\n"
        f"{names.REQUEST_ID}: {request.headers[names.REQUEST_ID.lower()]}\r\n\r\n"
    )
    return Reply(head.encode() + b"half", reset=True)


async def close_delimited_body(
    server: StandInServer, request: ReceivedRequest
) -> Reply:
    """Send a body without a length, then close the connection."""
    head = (
        f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: sig.{server.id}\r\n"
        f"{names.REQUEST_ID}: {request.headers[names.REQUEST_ID.lower()]}\r\n\r\n"
    )
    return Reply(head.encode() + server.body, close=True)


async def malformed_response(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send bytes that are not an HTTP response."""
    return Reply(b"\x00\x01 no response\r\n\r\n")


async def wrong_request_id(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send a response with the id of another request."""
    signature = {names.SIGNATURE: "sig.other"}
    return Reply(
        encode_response(request, b"foreign", headers=signature, request_id="other")
    )


async def unsolicited_response(
    server: StandInServer, request: ReceivedRequest
) -> Reply:
    """Send a response for another request directly after the correct one."""
    first = await answer(server, request)
    second = await wrong_request_id(server, request)
    return Reply(first.data + second.data)


async def truncated_body(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Close the connection before Content-Length bytes are sent."""
    whole = await answer(server, request)
    return Reply(whole.data[:-2], close=True)


async def cut_head(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Close the connection inside the head of a response."""
    whole = await answer(server, request)
    return Reply(whole.data[: whole.data.index(b"Content-Length")], close=True)


async def cut_chunks(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Close the connection before the last chunk of a body."""
    head = (
        f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: sig\r\n"
        f"{names.REQUEST_ID}: {request.headers[names.REQUEST_ID.lower()]}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    return Reply(head.encode() + b"4\r\nhalf\r\n", close=True)


async def endless_head(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send interim responses without end."""
    return Reply(b"", endless=b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" * 100)


async def endless_body(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Send a body without length and without end."""
    head = (
        f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: sig\r\n"
        f"{names.REQUEST_ID}: {request.headers[names.REQUEST_ID.lower()]}\r\n\r\n"
    )
    return Reply(head.encode(), endless=b"b" * 65536)


async def switch_protocols(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Switch to a protocol that was not requested."""
    head = f"HTTP/1.1 101 Switching Protocols\r\n{names.SIGNATURE}: sig\r\n"
    return Reply(head.encode() + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n")


async def crash_on_path(server: StandInServer, request: ReceivedRequest) -> Reply:
    """Simulate a crash on paths ending in /crash: stop listening and reset."""
    if not request.target.endswith("/crash"):
        return await answer(server, request)
    server.server.close()
    return Reply(b"", reset=True)
