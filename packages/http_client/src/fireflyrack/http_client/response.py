"""Response that knows whether its body was received whole."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar
from weakref import WeakSet

import aiohttp


class CheckedResponse(aiohttp.ClientResponse):
    """Distinguish a close-delimited body from one that a reset cut short.

    A body without a length ends when its connection closes, and aiohttp reports a
    reset as the same end.
    """

    handled_ends: ClassVar[WeakSet[asyncio.Future[None]]] = WeakSet()
    connection_end: asyncio.Future[None] | None = None

    async def start(self, connection: Any) -> CheckedResponse:
        """Save the future of the connection's end, then start reading."""
        end = connection.protocol.closed
        self.connection_end = end
        if end is not None and end not in self.handled_ends:
            self.handled_ends.add(end)
            # Retrieves the exception, so that asyncio does not log it as unhandled.
            end.add_done_callback(asyncio.Future.exception)
        await super().start(connection)
        return self

    async def read(self) -> bytes:
        """Return the body; free what was received of one that fails."""
        if self._body is None:
            self._body = await self.read_blocks()
        return await super().read()

    async def read_blocks(self) -> bytes:
        """Return all blocks of the body in one piece."""
        body = bytearray()
        try:
            async for block in self.content.iter_any():
                body += block
        except BaseException:
            # The error refers to this frame, until the garbage collector runs.
            body.clear()
            self.close()
            raise
        return bytes(body)

    def is_complete(self) -> bool:
        """Return whether the body was received whole."""
        if "Content-Length" in self.headers or self.is_chunked():
            return True
        end = self.connection_end
        return end is None or not end.done() or end.exception() is None

    def is_chunked(self) -> bool:
        """Return whether the body came in chunks; other codings end by a close."""
        return self.headers.get("Transfer-Encoding", "").lower() == "chunked"
