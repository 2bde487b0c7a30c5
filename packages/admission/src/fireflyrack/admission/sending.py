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
    """Conditions under which a request may be sent, and whether it was sent."""

    may_send: MaySend
    deadline_at: float = math.inf
    cancelled: bool = False
    sent: bool = False

    def refusal_reason(self, at: float) -> RefusalReason | None:
        """Return why the request may not be sent, or None."""
        if self.cancelled:
            return RefusalReason.CANCELLED
        if at >= self.deadline_at:
            return RefusalReason.DEADLINE
        if not self.may_send():
            return RefusalReason.NOT_PERMITTED
        return None


class SendRefused(AdmissionError):
    """Raised when a request may no longer be sent once its connection is ready."""

    def __init__(self, reason: RefusalReason) -> None:
        self.reason = reason
        super().__init__(reason.value)


# State of the request that the current task sends; aiohttp passes none to `send`.
current_send: ContextVar[SendState] = ContextVar("current_send")


class CheckedRequest(aiohttp.ClientRequest):
    """Request that checks its `SendState` between connecting and writing.

    Opening a connection takes milliseconds, in which a lease may expire.
    """

    async def send(self, conn):
        """Write the request; raise SendRefused if it may no longer be sent."""
        send = current_send.get()
        if reason := send.refusal_reason(asyncio.get_running_loop().time()):
            raise SendRefused(reason)
        send.sent = True
        return await super().send(conn)
