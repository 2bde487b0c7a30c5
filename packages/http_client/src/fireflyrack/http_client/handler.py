"""Protocol of one connection, which bounds responses and ends them exactly."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler

from .budget import ReceiveBudget
from .errors import ResponseTooLarge
from .framing import Framing, Head, framing_of_body, may_have_extra_bytes, take
from .settings import ResponseLimits

# Largest block that is read at once, which bounds how long its parsing takes.
MAX_BLOCK_BYTES = 32 * 1024


class CheckedResponseHandler(ResponseHandler):
    """Pass one bounded response for each request to aiohttp.

    Bytes after a complete response are dropped and the connection is not used again.
    """

    def __init__(
        self,
        limits: ResponseLimits,
        budget: ReceiveBudget[CheckedResponseHandler],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(loop=loop)
        self.limits = limits
        self.budget = budget
        self.received_bytes = 0
        self.payload: Any = None
        self.framing: Framing = Head()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the blocks that are read; only transports on a selector know this."""
        transport.max_size = MAX_BLOCK_BYTES
        super().connection_made(transport)

    def connection_lost(self, error: BaseException | None) -> None:
        """End the response in progress."""
        self.budget.release(self)
        super().connection_lost(error)

    def set_response_params(self, **params: Any) -> None:
        """Expect the response to a new request."""
        self.budget.release(self)
        self.received_bytes = 0
        self.payload = None
        self.framing = Head()
        super().set_response_params(**params)

    @property
    def should_close(self) -> bool:
        """Return whether the connection must not be used again."""
        return super().should_close or may_have_extra_bytes(self.framing)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a parsed head; drop one that follows the response."""
        if self.payload is not None:
            self.force_close()
            return
        message, payload = data
        if message.code >= HTTPStatus.OK or (
            message.code == HTTPStatus.SWITCHING_PROTOCOLS
        ):
            self.payload = payload
            if not payload.is_eof():
                self.framing = framing_of_body(message.headers, message.chunked)
        super().feed_data(data, size)

    def is_complete(self) -> bool:
        """Return whether the response to the current request was received whole."""
        return self.payload is not None and self.payload.is_eof()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes up to the end of the response, within the limits."""
        if not data:
            # aiohttp resumes its paused parser by an empty block.
            super().data_received(data)
        start = 0
        while start < len(data):
            if self.is_complete():
                self.force_close()
                return
            end = take(self.framing, data, start)
            super().data_received(data[start:end])
            self.received_bytes += end - start
            if self.fail_if_invalid() or self.fail_if_too_large():
                return
            start = end
        self.enforce_budget()

    def fail_if_invalid(self) -> bool:
        """End the body after an error of the parser; return whether there was one.

        aiohttp ends only the wait for a head; a reader of the body would wait on.
        """
        error = self.exception()
        if error is None:
            return False
        if self.payload is not None and not self.payload.is_eof():
            self.payload.set_exception(ClientPayloadError(f"invalid body: {error}"))
        return True

    def fail_if_too_large(self) -> bool:
        """End a response that exceeds a limit with an error; return whether it did."""
        limits = self.limits
        limit = limits.max_head_bytes
        if self.payload is not None:
            limit += limits.max_body_bytes
        if self.received_bytes <= limit or self.is_complete():
            return False
        self.fail(ResponseTooLarge(f"response exceeds {limit} bytes"))
        return True

    def enforce_budget(self) -> None:
        """End the largest response if those in progress exceed their limit."""
        if self.is_complete() or self.exception() is not None:
            self.budget.release(self)
            return
        largest = self.budget.record(self, self.received_bytes)
        if largest is not None:
            limit = self.budget.max_bytes
            largest.fail(ResponseTooLarge(f"all responses exceed {limit} bytes"))

    def fail(self, error: ResponseTooLarge) -> None:
        """End the response with an error and close the connection."""
        self.budget.release(self)
        self.set_exception(error)
        if self.payload is not None:
            self.payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
