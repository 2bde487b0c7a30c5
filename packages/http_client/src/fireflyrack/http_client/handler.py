"""Protocol of one connection, which bounds responses and ends them exactly."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any

from aiohttp.client_proto import ResponseHandler

from .errors import ResponseTooLarge
from .settings import ResponseLimits

# Ends a head, and a body in chunks.
BLANK_LINE = b"\r\n\r\n"


class CheckedResponseHandler(ResponseHandler):
    """Pass at most one bounded response for each request to the parser.

    Bytes after a complete response are dropped and the connection is not used again.
    If they reached the parser together with the response, bytes that are not HTTP
    would make it fail and the response would be lost.
    """

    def __init__(self, limits: ResponseLimits, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self.limits = limits
        self.received_bytes = 0
        self.payload: Any = None
        # None for a body in chunks and for one that ends with its connection.
        self.body_bytes: int | None = None

    def set_response_params(self, **params: Any) -> None:
        """Expect the response to a new request."""
        self.received_bytes = 0
        self.payload = None
        self.body_bytes = None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a parsed head; remember the body of one that is not interim."""
        message, payload = data
        if message.code >= HTTPStatus.OK or (
            message.code == HTTPStatus.SWITCHING_PROTOCOLS
        ):
            self.payload = payload
            length = message.headers.get("Content-Length")
            self.body_bytes = None if length is None else int(length)
        super().feed_data(data, size)

    def is_complete(self) -> bool:
        """Return whether the response to the current request was received whole."""
        return self.payload is not None and self.payload.is_eof()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes up to the end of the response, within the limits."""
        if not data:
            # aiohttp resumes its paused parser by an empty block.
            super().data_received(data)
        while data:
            if self.is_complete():
                self.force_close()
                return
            size = self.piece_size(data)
            super().data_received(data[:size])
            self.received_bytes += size
            if self.fail_if_too_large():
                return
            data = data[size:]

    def piece_size(self, data: bytes) -> int:
        """Return how many bytes to parse before checking whether that was the end."""
        if self.payload is not None and self.body_bytes is not None:
            remaining = self.body_bytes - self.payload.total_bytes
            return min(len(data), max(1, remaining))
        end = data.find(BLANK_LINE)
        return len(data) if end < 0 else end + len(BLANK_LINE)

    def fail_if_too_large(self) -> bool:
        """End a response that exceeds a limit with an error; return whether it did."""
        limits = self.limits
        limit = limits.max_head_bytes
        if self.payload is not None:
            limit += limits.max_body_bytes
        if self.received_bytes <= limit or self.is_complete():
            return False
        error = ResponseTooLarge(f"response exceeds {limit} bytes")
        self.set_exception(error)
        if self.payload is not None:
            self.payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
        return True
