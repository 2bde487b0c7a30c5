"""Runs the fan-out of one search: timers, transport and cancellation."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Protocol

from fireflyrack.core import StateMachine

from .fanout import decide
from .observations import ServiceState
from .replicas import Candidate
from .subrequests import (
    CancelSubRequests,
    DeadlineReached,
    FanoutState,
    Finish,
    Query,
    QueryStarted,
    SendSubRequests,
    StartTimer,
    SubRequest,
)


class Transport(Protocol):
    """Transport of sub-requests to the owners of their backend servers."""

    def send(
        self,
        query: Query,
        sub_requests: tuple[SubRequest, ...],
        feed: Callable[[Any], None],
    ) -> None:
        """Send sub-requests; pass their replies and failures to `feed`."""

    def cancel(self, query: Query, sub_requests: tuple[SubRequest, ...]) -> None:
        """Cancel sub-requests whose replies are no longer needed."""


class SearchRunner:
    """Runner of a single search; create one per query and await `run`."""

    def __init__(
        self,
        query: Query,
        candidates: tuple[Candidate, ...],
        transport: Transport,
        rng: random.Random,
        service: ServiceState,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.query = query
        self.transport = transport
        self.answer: asyncio.Future[Finish] = self.loop.create_future()
        self.machine = StateMachine(
            FanoutState(query, candidates, rng, service), decide, self.perform
        )
        self.timers: list[asyncio.TimerHandle] = []

    async def run(self) -> Finish:
        """Return the answer, no later than the deadline of the query."""
        deadline_at = self.query.deadline_at
        self.timers.append(self.loop.call_at(deadline_at, self.feed_deadline))
        try:
            self.machine.feed(QueryStarted(self.loop.time()))
            return await self.answer
        finally:
            for timer in self.timers:
                timer.cancel()
            if not self.machine.state.finished:
                # The caller disconnected: cancel and count what is still in flight.
                self.machine.feed(DeadlineReached(self.loop.time()))

    def feed_deadline(self) -> None:
        """End the search at its deadline."""
        self.machine.feed(DeadlineReached(self.loop.time()))

    def feed_timer(self, event: type) -> None:
        """Feed the event of a timer with the time at which it fired."""
        self.machine.feed(event(self.loop.time()))

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the fan-out."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: SendSubRequests) -> None:
        self.transport.send(self.query, action.sub_requests, self.machine.feed)

    @perform.register
    def _(self, action: CancelSubRequests) -> None:
        self.transport.cancel(self.query, action.sub_requests)

    @perform.register
    def _(self, action: StartTimer) -> None:
        event = action.event
        self.timers.append(self.loop.call_at(event.at, self.feed_timer, type(event)))

    @perform.register
    def _(self, action: Finish) -> None:
        if not self.answer.done():
            self.answer.set_result(action)
