"""Responses of backend servers that are cut, doubled, reordered and stretched.

One statement holds for all of them: an attempt ends with the whole response to its own
request, or as a failure. By hand, with fresh examples for some minutes:

    FUZZ_EXAMPLES=20000 pytest tests/platform/test_response_fuzz.py
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from dataclasses import dataclass, replace

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from fireflyrack.core import steady_now
from fireflyrack.discovery import BackendServer, ServerState
from fireflyrack.forwarding import Attempt, AttemptOutcome, CallerRequest, Completed
from fireflyrack.http_client import CheckedResponse, ResponseLimits
from fireflyrack.platform import backend_client, names
from fireflyrack.platform.backend_client import BackendClient
from fireflyrack.testbed.ports import free_address

# More examples and fresh ones where the variable is set.
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))
BODY = b"the whole body"
ATTEMPT_TIMEOUT_S = 0.05
LIMITS = ResponseLimits()


def head(request_id: str, *lines: str) -> bytes:
    fields = (
        "HTTP/1.1 200 OK",
        f"{names.REQUEST_ID}: {request_id}",
        f"{names.SIGNATURE}: sig",
        *lines,
    )
    return "\r\n".join(fields).encode() + b"\r\n\r\n"


def by_length(request_id: str, body: bytes) -> bytes:
    return head(request_id, f"Content-Length: {len(body)}") + body


def in_chunks(request_id: str, body: bytes) -> bytes:
    chunks = (b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:5], body[5:], b""))
    return head(request_id, "Transfer-Encoding: chunked") + b"".join(chunks)


def until_close(request_id: str, body: bytes) -> bytes:
    return head(request_id, "Connection: close") + body


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


FRAMINGS = (by_length, in_chunks)
own = st.sampled_from([framing("own", BODY) for framing in FRAMINGS])
foreign = st.sampled_from([framing("other", b"foreign body") for framing in FRAMINGS])
noise = st.sampled_from(
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n",
        b"\r\n",
        b"\x00\x01\x02",
        b"x" * (2 * LIMITS.max_line_bytes),
        b"Content-Length: 3\r\n\r\nabc",
        b"0\r\n\r\n",
    ]
)
parts = st.lists(st.one_of(own, own, foreign, noise), min_size=1, max_size=4)
packets = st.sampled_from([0, 1, 7, 64])
framed = st.builds(
    Script,
    parts.map(tuple),
    st.one_of(st.just(1.0), st.floats(0, 1)),
    st.booleans(),
    packets,
)
# A body without a length is all that comes until its connection closes. Only a reset
# tells that something is missing, so it is cut only together with one.
unframed = st.builds(
    Script,
    st.just((until_close("own", BODY),)),
    st.floats(0, 1),
    st.just(True),
    packets,
)
scripts = st.one_of(framed, framed, unframed)


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


async def run_attempts(script: Script) -> list[AttemptOutcome]:
    """Send two requests over the same connections; return their outcomes."""
    outcomes = []
    async with ScriptedServer(script) as server:
        known = BackendServer("i-1", "s", server.address, "d", 2, ServerState.READY)
        client = BackendClient(LIMITS)
        try:
            for number in range(2):
                until = steady_now() + ATTEMPT_TIMEOUT_S
                attempt = Attempt(number, 0, known, until)
                outcomes.append(await client.send(request("own"), attempt))
        finally:
            await client.close()
            # The transports close in the next cycles of the loop.
            await asyncio.sleep(0.001)
    return outcomes


def check(outcome: AttemptOutcome) -> None:
    """Check that an attempt ended with the whole own response, or as a failure."""
    if isinstance(outcome, Completed):
        assert outcome.body == BODY, "a body that is not the whole own one"
        assert (outcome.status, outcome.signature) == (200, "sig")


def fuzz(examples: int = 150) -> None:
    @settings(
        max_examples=EXAMPLES or examples,
        derandomize=not EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(scripts)
    def property_holds(script: Script) -> None:
        for outcome in asyncio.run(run_attempts(script)):
            check(outcome)

    property_holds()


def test_an_attempt_gets_the_whole_own_response_or_fails():
    """Guards against responses of others, and parts of responses, for a caller."""
    fuzz()


def ignore_request_id(original):
    def decode(response, body, request):
        echoed = response.headers.get(names.REQUEST_ID, request.id)
        return original(response, body, replace(request, id=echoed))

    return decode


def test_the_statement_finds_a_client_that_ignores_request_ids(monkeypatch):
    """Guards against a property that cannot fail."""
    patched = ignore_request_id(backend_client.decode_response)
    monkeypatch.setattr(backend_client, "decode_response", patched)
    with pytest.raises(AssertionError):
        fuzz()


def test_the_statement_finds_a_client_that_ignores_resets(monkeypatch):
    """Guards against a property that cannot fail."""
    monkeypatch.setattr(CheckedResponse, "is_complete", lambda self: True)
    with pytest.raises(AssertionError):
        fuzz(600)
