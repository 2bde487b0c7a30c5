"""Issuer's side of non-idempotent requests: tickets, attempts and forwarding."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod

from fireflyrack.configuration import Service
from fireflyrack.core import Failed, Ok, Outcome, SequenceGenerator, StateMachine
from fireflyrack.links import IncomingMessage, LinkPool, LinkServer, Respond
from fireflyrack.membership import Member
from fireflyrack.requests import (
    AttemptEnded,
    AttemptOutcomeUnknown,
    AttemptResult,
    AttemptResultModel,
    CallEnded,
    ForwardedModel,
    HelloModel,
    IssuerState,
    IssueTickets,
    NotSent,
    OutcomeRequested,
    Quarantined,
    QueryOwner,
    RefuseTickets,
    Rejected,
    Reply,
    ReplyModel,
    RequestReceived,
    RequestSettings,
    RunModel,
    SendReply,
    StartAttempt,
    SweepTimerFired,
    Ticket,
    TicketKey,
    TicketsModel,
    TicketsRequested,
    Unknown,
    UnknownCause,
    body_digest,
    candidates_for,
    decide_issuer,
    reply_model,
    request_fingerprint,
)

from .quarantine import Quarantine
from .request_handover import Handover
from .request_runs import HELLO_KIND, RESULT_KIND, RUN_KIND, RunOwner

FORWARD_KIND = "requests.forward"
FindOwner = Callable[[str], Member | None]
FindService = Callable[[str], Service | None]


class RequestDispatcher:
    """Issue tickets and run their requests at most once.

    Call `issue` and `call`; calls that other instances forward arrive over the links.
    """

    def __init__(
        self,
        member: Member,
        settings: RequestSettings,
        secret: str,
        links: LinkPool,
        find_owner: FindOwner,
        find_service: FindService,
        owner: RunOwner,
        quarantine: Quarantine,
    ) -> None:
        self.member = member
        self.settings = settings
        self.key = TicketKey(secret)
        self.links = links
        self.find_owner = find_owner
        self.find_service = find_service
        self.owner = owner
        self.quarantine = quarantine
        self.loop = asyncio.get_running_loop()
        self.call_ids = SequenceGenerator()
        self.waiters: dict[int, asyncio.Future[Reply]] = {}
        # Outcome of the last tickets requested; `issue` reads it at once.
        self.issued: IssueTickets | RefuseTickets | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        # Link address, empty for this instance, and incarnation of the owner that each
        # unresolved attempt was sent to.
        self.attempt_owners: dict[int, tuple[str, str]] = {}
        # Last known incarnation of each owner by link address.
        self.known_incarnations: dict[str, str] = {}
        self.machine = StateMachine(IssuerState(settings), decide_issuer, self.perform)
        self.handover = Handover(member, settings, links, self.machine)

    def register_handlers(self, server: LinkServer) -> None:
        """Register the message handlers."""
        server.register(FORWARD_KIND, self.serve_forwarded)
        self.handover.register_handlers(server)

    def issue(
        self, service: str, count: int, caller: str
    ) -> Outcome[TicketsModel, Rejected]:
        """Return new tickets that are bound to the service and the caller."""
        self.machine.feed(TicketsRequested(self.loop.time(), service, count))
        if isinstance(self.issued, RefuseTickets):
            return Failed(self.issued.rejection)
        member = self.member
        tickets = (
            Ticket(member.incarnation, member.link_address, n, secrets.token_hex(16))
            for n in self.issued.numbers
        )
        texts = tuple(self.key.text(t, caller) for t in tickets)
        return Ok(TicketsModel(tickets=texts, ttl_s=self.settings.ticket_ttl_s))

    async def call(
        self,
        ticket: Ticket,
        service: str,
        body: str | None,
        remaining_s: float,
        caller: str,
    ) -> Reply:
        """Run a request or, without a body, read its outcome, here or at its issuer."""
        model = ForwardedModel(
            incarnation=ticket.incarnation,
            number=ticket.number,
            service=service,
            body=body,
            caller=caller,
            remaining_ms=remaining_s * 1000,
        )
        if (reply := await self.call_local(model)) is not None:
            return reply
        address = self.handover.successors.get(ticket.incarnation, ticket.address)
        if address == self.member.link_address:
            return Unknown(UnknownCause.ISSUER_GONE)
        outcome = await self.links.request(
            address,
            FORWARD_KIND,
            model.model_dump_json().encode(),
            timeout_s=remaining_s + 3 * self.settings.answer_margin_s,
        )
        if isinstance(outcome, Failed):
            return Unknown(UnknownCause.ISSUER_UNREACHABLE)
        return ReplyModel.model_validate_json(outcome.value).to_domain()

    async def serve_forwarded(
        self, message: IncomingMessage, respond: Respond
    ) -> bytes:
        """Answer a call that another instance forwards."""
        model = ForwardedModel.model_validate_json(message.body)
        reply = await self.call_local(model)
        if reply is None:
            reply = Unknown(UnknownCause.ISSUER_GONE)
        return reply_model(reply).model_dump_json().encode()

    async def call_local(self, model: ForwardedModel) -> Reply | None:
        """Answer a call from local records; return None if they are elsewhere."""
        at = self.loop.time()
        if model.incarnation != self.member.incarnation:
            digest = ""
            if model.body is not None:
                digest = body_digest(model.service, model.body)
            return self.handover.reply(model.incarnation, model.number, digest, at)
        call = self.call_ids.next()
        if model.body is None:
            event = OutcomeRequested(at, call, model.number)
        else:
            event = self.request_event(model, call, at)
        margin_s = 2 * self.settings.answer_margin_s
        return await self.wait(call, model, event, model.remaining_ms / 1000 + margin_s)

    def request_event(
        self, model: ForwardedModel, call: int, at: float
    ) -> RequestReceived:
        """Return the event for a request whose ticket this instance issued."""
        fingerprint = request_fingerprint(model.service, model.body, model.caller)
        verdict = self.quarantine.check(fingerprint)
        service = self.find_service(model.service)
        names = tuple(service.backend_servers) if service else ()
        owned = [name for name in names if self.is_owned_locally(name)]
        refusal = "quarantined" if isinstance(verdict, Quarantined) else ""
        return RequestReceived(
            at=at,
            call=call,
            number=model.number,
            service=model.service,
            body=model.body,
            digest=body_digest(model.service, model.body),
            fingerprint=fingerprint,
            deadline_at=at + model.remaining_ms / 1000,
            candidates=candidates_for(verdict, fingerprint, names, owned),
            refusal=refusal,
        )

    def is_owned_locally(self, backend_server: str) -> bool:
        """Return whether this instance owns a backend server."""
        owner = self.find_owner(backend_server)
        return owner is not None and owner.id == self.member.id

    async def wait(
        self, call: int, model: ForwardedModel, event: object, timeout_s: float
    ) -> Reply:
        """Feed the event of a call and wait for its reply.

        Cancelling the call does not cancel the run.
        """
        waiter = self.waiters[call] = self.loop.create_future()
        try:
            self.machine.feed(event)
            done, _ = await asyncio.wait((waiter,), timeout=timeout_s)
            if not done:
                self.machine.feed(CallEnded(self.loop.time(), call, model.number))
            return await waiter
        finally:
            del self.waiters[call]
            self.machine.feed(CallEnded(self.loop.time(), call, model.number))

    def sweep(self) -> None:
        """Drop expired records."""
        self.machine.feed(SweepTimerFired(self.loop.time()))
        self.handover.sweep()

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Run work as a task that `close` cancels."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def finish_attempt(self, sequence: int, result: AttemptResult) -> None:
        """Feed the result of an attempt; drop its owner entry once it is resolved."""
        self.machine.feed(AttemptEnded(self.loop.time(), sequence, result))
        if sequence not in self.machine.state.attempts:
            self.attempt_owners.pop(sequence, None)

    async def run_attempt(self, action: StartAttempt) -> None:
        """Send an attempt to the owner of its backend server."""
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        sequence = action.attempt.sequence
        owner = self.find_owner(action.attempt.backend_server)
        if owner is None:
            self.finish_attempt(sequence, NotSent("no_owner"))
        elif owner.id == self.member.id:
            self.finish_attempt(sequence, await self.run_local(action))
        else:
            self.finish_attempt(
                sequence, await self.run_remote(action, owner.link_address)
            )

    async def run_local(self, action: StartAttempt) -> AttemptResult:
        """Run an attempt on a backend server that this instance owns."""
        self.attempt_owners[action.attempt.sequence] = ("", self.member.incarnation)
        remaining_s = action.deadline_at - self.loop.time()
        try:
            async with asyncio.timeout(remaining_s + self.settings.answer_margin_s):
                model = self.run_model(action, self.member.incarnation)
                return await self.owner.run(model)
        except TimeoutError:
            return AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE)

    async def run_remote(self, action: StartAttempt, address: str) -> AttemptResult:
        """Run an attempt through another instance that owns the backend server."""
        result: AttemptResult = NotSent("owner_unreachable")
        # A second round runs only after proof that the owner restarted before it got
        # the message, so nothing was sent in the first.
        for _ in range(2):
            incarnation = await self.incarnation_at(address)
            remaining_s = action.deadline_at - self.loop.time()
            if not incarnation or remaining_s <= 0:
                return result
            self.attempt_owners[action.attempt.sequence] = (address, incarnation)
            model = self.run_model(action, incarnation)
            timeout_s = remaining_s + self.settings.answer_margin_s
            result = await self.send_to_owner(address, RUN_KIND, model, timeout_s)
            if result != NotSent("owner_restarted"):
                return result
        return result

    async def send_to_owner(
        self, address: str, kind: str, model: RunModel, timeout_s: float
    ) -> AttemptResult:
        """Send a message about an attempt to an owner and return the result."""
        body = model.model_dump_json().encode()
        outcome = await self.links.request(address, kind, body, timeout_s)
        match outcome:
            case Ok(content):
                answer = AttemptResultModel.model_validate_json(content)
                self.known_incarnations[address] = answer.owner
                return answer.to_domain()
            case Failed(failure):
                self.known_incarnations.pop(address, None)
                if not failure.sent and kind == RUN_KIND:
                    return NotSent("owner_unreachable")
                return AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE)

    async def incarnation_at(self, address: str) -> str:
        """Return the incarnation of an owner, or an empty text if it is unreachable."""
        if known := self.known_incarnations.get(address):
            return known
        body = HelloModel().model_dump_json().encode()
        timeout_s = self.settings.answer_margin_s
        outcome = await self.links.request(address, HELLO_KIND, body, timeout_s)
        if isinstance(outcome, Failed):
            return ""
        hello = HelloModel.model_validate_json(outcome.value)
        self.known_incarnations[address] = hello.incarnation
        return hello.incarnation

    def run_model(self, action: StartAttempt, owner: str) -> RunModel:
        """Return the message that sends an attempt to its owner."""
        member = self.member
        attempt = action.attempt
        return RunModel(
            issuer=member.incarnation,
            sequence=attempt.sequence,
            owner=owner,
            backend_server=attempt.backend_server,
            service=action.service,
            ticket=f"{member.incarnation}.{attempt.number}",
            body=action.body,
            fingerprint=action.fingerprint,
            remaining_ms=(action.deadline_at - self.loop.time()) * 1000,
        )

    async def query_owner(self, action: QueryOwner) -> None:
        """Query the owner for the result of an attempt whose reply was lost."""
        await asyncio.sleep(action.delay_s)
        sequence = action.attempt.sequence
        if (sent_to := self.attempt_owners.get(sequence)) is None:
            return
        address, owner = sent_to
        model = RunModel(issuer=self.member.incarnation, sequence=sequence, owner=owner)
        timeout_s = 2 * self.settings.answer_margin_s
        if address:
            self.finish_attempt(
                sequence,
                await self.send_to_owner(address, RESULT_KIND, model, timeout_s),
            )
            return
        result: AttemptResult = AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE)
        try:
            async with asyncio.timeout(timeout_s):
                result = await self.owner.result(model)
        except TimeoutError:
            pass
        self.finish_attempt(sequence, result)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the issuer."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register(IssueTickets)
    @perform.register(RefuseTickets)
    def _(self, action: IssueTickets | RefuseTickets) -> None:
        self.issued = action

    @perform.register
    def _(self, action: SendReply) -> None:
        waiter = self.waiters.get(action.call)
        if waiter and not waiter.done():
            waiter.set_result(action.reply)

    @perform.register
    def _(self, action: StartAttempt) -> None:
        self.start(self.run_attempt(action))

    @perform.register
    def _(self, action: QueryOwner) -> None:
        self.start(self.query_owner(action))

    async def close(self) -> None:
        """Cancel the background tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
