"""Tests of what is sent to a backend server after one of its connections broke."""

from __future__ import annotations

import asyncio

import pytest

from fireflyrack.admission import (
    RefusalReason,
    RunOutcomeUnknown,
    RunRefused,
    RunRequest,
)
from fireflyrack.configuration import BackendServer

STATUS = b'{"state":"serving","snapshots":{}}'


class HalfClosedServer:
    """Server whose connections are not closed together when it stops.

    It answers each status call, holds each run, and at `stop` refuses connections and
    closes those that hold a run, while the idle ones stay open.
    """

    def __init__(self):
        self.connections = set()
        self.holding = set()
        self.runs = 0
        self.status_delay_s = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        while head := await self.read_head(reader):
            if b"/v1/run" in head:
                self.runs += 1
                self.holding.add(writer)
                continue
            await asyncio.sleep(self.status_delay_s)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(STATUS), STATUS)
            )

    async def read_head(self, reader):
        try:
            return await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    def stop(self):
        self.server.close()
        for writer in self.holding:
            writer.close()

    def close(self):
        for writer in self.connections:
            writer.close()


@pytest.fixture
async def server():
    running = HalfClosedServer()
    running.address = await running.start()
    yield running
    running.close()


async def test_queued_runs_are_not_sent_on_idle_connections_after_a_crash(
    server, owned
):
    """Fails if a run is sent to a crashed server and its outcome is then unknown."""
    limits = {"slots": 1, "connections": 6}
    server.status_delay_s = 0.05
    await owned.own((BackendServer("b0", server.address, "a", **limits),))
    # Concurrent status calls open connections that are idle afterwards.
    await asyncio.gather(*(owned.poll_status("b0") for _ in range(3)))
    assert len(server.connections) >= 2
    deadline_at = asyncio.get_running_loop().time() + 2
    runs = [
        asyncio.create_task(
            owned.run("b0", RunRequest(f"r{n}", "docs", b"{}", deadline_at, "f"))
        )
        for n in range(3)
    ]
    async with asyncio.timeout(1):
        while not server.holding:
            await asyncio.sleep(0.01)
    server.stop()
    first, *queued = await asyncio.gather(*runs)
    assert isinstance(first, RunOutcomeUnknown)
    assert queued == [RunRefused(RefusalReason.UNREACHABLE)] * 2
    assert server.runs == 1
