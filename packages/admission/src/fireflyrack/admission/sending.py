"""Last check before a request leaves for a backend server."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass

import aiohttp

from .errors import AdmissionError, RefusalReason

MaySend = Callable[[], bool]


@dataclass(slots=True)
class SendState:
    """Hold what permits a request to leave, and whether it has left."""

    may_send: MaySend
    deadline_at: float = math.inf
    cancelled: bool = False
    sent: bool = False

    def refusal_reason(self, at: float) -> RefusalReason | None:
        """Return why the request may not leave, or None."""
        if self.cancelled:
            return RefusalReason.CANCELLED
        if at >= self.deadline_at:
            return RefusalReason.DEADLINE
        if not self.may_send():
            return RefusalReason.NOT_PERMITTED
        return None


class SendRefused(AdmissionError):
    """Report a request that was held back when its connection was ready."""

    def __init__(self, reason: RefusalReason) -> None:
        self.reason = reason
        super().__init__(reason.value)


# The request that the current task sends.
current_send: ContextVar[SendState] = ContextVar("current_send")


class CheckedRequest(aiohttp.ClientRequest):
    """Check the permission when the connection is ready and nothing is written.

    Opening a connection takes milliseconds, in which a lease may expire.
    """

    async def send(self, conn):
        """Write the request; raise SendRefused if it may not leave any more."""
        send = current_send.get()
        if reason := send.refusal_reason(asyncio.get_running_loop().time()):
            raise SendRefused(reason)
        send.sent = True
        return await super().send(conn)
