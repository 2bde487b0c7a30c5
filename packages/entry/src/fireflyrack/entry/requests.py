"""Non-idempotent requests: issuer, owner and quarantine of one instance."""

from __future__ import annotations

import asyncio
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge

from fireflyrack.core import Failed, Ok, Outcome
from fireflyrack.dissemination import Disseminator
from fireflyrack.links import LinkPool, LinkServer
from fireflyrack.membership import Member
from fireflyrack.requests import (
    Rejected,
    ReplyModel,
    RequestRunner,
    RequestSettings,
    TicketsModel,
    reply_model,
)

from .errors import ApiError, unknown_service
from .quarantine import QUARANTINE_TOPIC, Quarantine
from .request_dispatch import FindOwner, FindService, RequestDispatcher
from .request_handover import HANDOVER_TOPIC
from .request_runs import RunOwner

SWEEP_INTERVAL_S = 1.0
REJECTED_STATUS = {"records_full": 503, "stopping": 503, "ticket_invalid": 403}


class RequestService:
    """Connect issuer, owner and quarantine of one instance.

    Call `register_handlers` before the links start, run `run_sweep_loop` as a task, and
    call `hand_over` in a graceful shutdown before the links close.
    """

    def __init__(
        self,
        member: Member,
        settings: RequestSettings,
        secret: str,
        links: LinkPool,
        disseminator: Disseminator,
        runner: RequestRunner,
        find_owner: FindOwner,
        find_service: FindService,
        registry: CollectorRegistry,
    ) -> None:
        self.settings = settings
        self.find_service = find_service
        self.disseminator = disseminator
        self.quarantine = Quarantine(member.incarnation, settings, disseminator)
        self.owner = RunOwner(member.incarnation, settings, runner, self.quarantine)
        self.dispatcher = RequestDispatcher(
            member,
            settings,
            secret,
            links,
            find_owner,
            find_service,
            self.owner,
            self.quarantine,
        )
        self.dispatcher.handover.publish = partial(disseminator.publish, urgent=True)
        self.replies = Counter(
            "fireflyrack_requests_total",
            "Replies to non-idempotent requests by outcome and cause.",
            ("service", "outcome", "cause"),
            registry=registry,
        )
        self.records = Gauge(
            "fireflyrack_ticket_records",
            "Ticket records kept by this issuer.",
            registry=registry,
        )
        self.records.set_function(lambda: len(self.dispatcher.machine.state.records))

    def register_handlers(self, server: LinkServer) -> None:
        """Register the message handlers and subscribe to the topics."""
        self.owner.register_handlers(server)
        self.dispatcher.register_handlers(server)
        self.disseminator.subscribe(QUARANTINE_TOPIC, self.quarantine.receive)
        self.disseminator.subscribe(HANDOVER_TOPIC, self.dispatcher.handover.receive)

    async def run_sweep_loop(self) -> None:
        """Drop expired state once per period until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.dispatcher.sweep()
            self.owner.sweep()
            self.quarantine.sweep()

    def issue(
        self, service: str, count: int, caller: str
    ) -> Outcome[TicketsModel, ApiError]:
        """Return new tickets that are bound to the service and the caller."""
        if self.find_service(service) is None:
            return Failed(unknown_service(service))
        match self.dispatcher.issue(service, count, caller):
            case Ok() as issued:
                return issued
            case Failed(rejected):
                return Failed(rejection_error(rejected.kind, rejected.message))

    async def call(
        self,
        service: str,
        text: str,
        body: str | None,
        remaining_s: float,
        caller: str,
    ) -> Outcome[ReplyModel, ApiError]:
        """Run a request or, without a body, read its outcome."""
        ticket = self.dispatcher.key.parse(text, caller)
        if ticket is None:
            message = "the ticket is not valid for this caller"
            return Failed(rejection_error("ticket_invalid", message))
        reply = await self.dispatcher.call(ticket, service, body, remaining_s, caller)
        model = reply_model(reply)
        if isinstance(reply, Rejected):
            return Failed(rejection_error(reply.kind, reply.message))
        cause = model.cause.value if model.cause else model.reason
        self.replies.labels(service, model.outcome, cause).inc()
        return Ok(model)

    async def hand_over(self, members: tuple[Member, ...], timeout_s: float) -> bool:
        """Hand the ticket records over and drain the runs of other issuers.

        Return whether a peer has all records.
        """
        handed_over = await self.dispatcher.handover.hand_over(members, timeout_s)
        await self.owner.drain(timeout_s)
        return handed_over

    async def close(self) -> None:
        """Cancel the background tasks."""
        await self.dispatcher.close()


def rejection_error(kind: str, message: str) -> ApiError:
    """Return the API error of a rejected request."""
    return ApiError(kind, REJECTED_STATUS.get(kind, 409), message)
