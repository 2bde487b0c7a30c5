"""Server that writes scripted bytes: a faulty backend server, peer or store."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aiohttp

from fireflyrack.http_client import ResponseLimits, open_session

LIMITS = ResponseLimits(max_head_bytes=20_000, max_body_bytes=100_000)
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
# Deadline of each request.
DEADLINE_S = 20.0


class ScriptedServer:
    """Server that answers each request with the next script, then closes or waits."""

    def __init__(self, scripts, endless=b"", close=False):
        self.scripts = list(scripts)
        self.endless = endless
        self.close = close
        self.connections = 0
        self.requests = 0
        self.sent_bytes = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self.scripts.pop(0))
                await writer.drain()
                while self.endless:
                    writer.write(self.endless)
                    await writer.drain()
                    self.sent_bytes += len(self.endless)
                if self.close:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass


@asynccontextmanager
async def client_of(server, limits=LIMITS):
    serving = set()

    async def serve(reader, writer):
        serving.add(asyncio.current_task())
        try:
            await server.serve(reader, writer)
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    async with open_session(limits, base_url=f"http://{host}:{port}") as session:
        yield session
    listener.close()
    await asyncio.gather(*serving, return_exceptions=True)


async def fetch(session, method="GET"):
    timeout = aiohttp.ClientTimeout(total=DEADLINE_S)
    async with session.request(method, "/", timeout=timeout) as response:
        body = await response.read()
        return response.status, body, response.is_complete()
