"""State that an owner keeps of one backend server."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from fireflyrack.core import StateMachine

from .backend_client import BackendClient
from .queues import QueueState
from .sending import SendState
from .work import Work


@dataclass(slots=True)
class Waiter:
    """Future of the outcome of some work, and how many tasks await it."""

    work: Work
    future: asyncio.Future[Any]
    timer: asyncio.TimerHandle
    count: int = 0


@dataclass(slots=True)
class OwnedServer:
    """Queue and client of one backend server, with its running tasks."""

    client: BackendClient
    machine: StateMachine[QueueState]
    waiters: dict[str, Waiter] = field(default_factory=dict)
    # By work id; the sub-requests of a batch share one state.
    sends: dict[str, SendState] = field(default_factory=dict)
    # Requests in flight carry work; calls are status, cancel and warm-up calls.
    requests: set[asyncio.Task[None]] = field(default_factory=set)
    calls: set[asyncio.Task[None]] = field(default_factory=set)
    pending_cancellations: list[str] = field(default_factory=list)
    warming: bool = False
    # Set while the connections are being replaced.
    replacement: asyncio.Task[None] | None = None
