"""Handover of ticket records to a successor at a planned stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from itertools import chain

import logbook

from fireflyrack.core import Ok, StateMachine, rank
from fireflyrack.dissemination import Register
from fireflyrack.links import IncomingMessage, LinkPool, LinkServer, Respond
from fireflyrack.membership import Member, live_members
from fireflyrack.requests import (
    HandoverModel,
    HandoverRecord,
    HandoverRecordModel,
    HandoverTable,
    IssuerState,
    IssuerStopping,
    RecordPhase,
    Rejected,
    Reply,
    RequestSettings,
    SuccessorModel,
    export_received_records,
    export_records,
    handover_record_model,
)

HANDOVER_KIND = "requests.handover"
HANDOVER_TOPIC = "requests.handover"
ACCEPTED = b"accepted"
REFUSED = b"refused"
# Far below the size limit of a message, so that other messages need not wait long.
PART_BYTES = 256 * 1024
PART_TIMEOUT_S = 2.0
MAX_SUCCESSORS_TRIED = 3
MAX_SUCCESSORS_KNOWN = 10_000
POLL_S = 0.05

log = logbook.Logger("requests")


class Handover:
    """Hand over the records of this issuer, and answer for those of others.

    Call `hand_over` at a planned stop and `reply` for tickets of other issuers;
    `publish` spreads who the successor of an issuer is.
    """

    def __init__(
        self,
        member: Member,
        settings: RequestSettings,
        links: LinkPool,
        issuer: StateMachine[IssuerState],
    ) -> None:
        self.member = member
        self.settings = settings
        self.links = links
        self.issuer = issuer
        self.loop = asyncio.get_running_loop()
        self.handed = HandoverTable(settings)
        # Link address of the successor by incarnation.
        self.successors: dict[str, str] = {}
        self.publish: Callable[[str, str, bytes], None] = lambda *_: None

    def register_handlers(self, server: LinkServer) -> None:
        """Register the handler of the messages."""
        server.register(HANDOVER_KIND, self.serve)

    def reply(
        self, incarnation: str, number: int, digest: str, at: float
    ) -> Reply | None:
        """Answer for a ticket whose records were handed over, or return None."""
        handed = self.handed.find(incarnation)
        if handed is None:
            return None
        used_with = handed.digest(number)
        if digest and used_with and digest != used_with:
            message = "the ticket was used with another body"
            return Rejected("body_conflict", message)
        return handed.outcome(number, at)

    def receive(self, register: Register) -> None:
        """Learn the successor of an issuer."""
        model = SuccessorModel.model_validate_json(register.body)
        self.successors.pop(model.incarnation, None)
        self.successors[model.incarnation] = model.link_address
        if len(self.successors) > MAX_SUCCESSORS_KNOWN:
            del self.successors[next(iter(self.successors))]

    async def serve(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Take a part of the records of a stopping instance."""
        model = HandoverModel.model_validate_json(message.body)
        if self.issuer.state.closed:
            return REFUSED
        records = tuple(record.to_domain() for record in model.records)
        taken = self.handed.take(
            self.loop.time(),
            model.incarnation,
            records,
            model.forgotten,
            model.keep_s,
            model.last,
        )
        if not taken:
            return REFUSED
        if model.last:
            successor = SuccessorModel(
                incarnation=model.incarnation,
                instance=self.member.id,
                link_address=self.member.link_address,
            )
            body = successor.model_dump_json().encode()
            self.publish(HANDOVER_TOPIC, model.incarnation, body)
        return ACCEPTED

    async def hand_over(self, members: Iterable[Member], timeout_s: float) -> bool:
        """Stop starting requests, finish those in flight and hand the records over.

        Return whether a successor has all records.
        """
        self.issuer.feed(IssuerStopping(self.loop.time()))
        await self.finish(timeout_s)
        if not self.issuer.state.last_number and not self.handed.by_incarnation:
            return True
        others = {m.id: m for m in live_members(members) if m.id != self.member.id}
        ranked = rank(self.member.incarnation, others)[:MAX_SUCCESSORS_TRIED]
        for name in ranked:
            if await self.hand_to(others[name].link_address):
                log.info("ticket records were handed over to {}", name)
                return True
        log.warning("no successor took the ticket records")
        return False

    async def finish(self, timeout_s: float) -> None:
        """Wait for requests in flight for at most timeout_s seconds."""
        until = self.loop.time() + timeout_s
        busy = (RecordPhase.RUNNING, RecordPhase.UNSETTLED)
        while self.loop.time() < until and any(
            record.phase in busy for record in self.issuer.state.records.values()
        ):
            await asyncio.sleep(POLL_S)

    async def hand_to(self, address: str) -> bool:
        """Send all records to one successor; return whether it took them."""
        at = self.loop.time()
        state = self.issuer.state
        own = export_records(state, at)
        keep_s = self.settings.ticket_ttl_s + self.settings.keep_finished_s
        messages = parts(self.member.incarnation, own, state.forgotten, keep_s)
        for name, handed in self.handed.by_incarnation.items():
            if handed.closed:
                left_s = max(0.0, handed.expires_at - at)
                records = export_received_records(handed, at)
                handed_on = parts(name, records, handed.forgotten, left_s)
                messages = chain(messages, handed_on)
        for message in messages:
            body = message.model_dump_json().encode()
            outcome = await self.links.request(
                address, HANDOVER_KIND, body, PART_TIMEOUT_S
            )
            if outcome != Ok(ACCEPTED):
                return False
        return True

    def sweep(self) -> None:
        """Drop what is no longer kept."""
        for incarnation in self.handed.drop_expired(self.loop.time()):
            self.successors.pop(incarnation, None)


def parts(
    incarnation: str, records: Iterable[HandoverRecord], forgotten: int, keep_s: float
) -> Iterator[HandoverModel]:
    """Yield the messages that carry the records of one issuer."""
    models: list[HandoverRecordModel] = []
    size = 0

    def part(last: bool) -> HandoverModel:
        return HandoverModel(
            incarnation=incarnation,
            records=tuple(models),
            forgotten=forgotten,
            keep_s=keep_s,
            last=last,
        )

    for record in records:
        model = handover_record_model(record)
        models.append(model)
        size += len(model.model_dump_json())
        if size >= PART_BYTES:
            yield part(False)
            models, size = [], 0
    yield part(True)
