"""Handover of ticket records to a successor in a graceful shutdown."""

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
# Size at which a message is sent. Far below the limit of a message, so that other
# messages are not delayed long.
MESSAGE_BYTES = 256 * 1024
MESSAGE_TIMEOUT_S = 2.0
MAX_SUCCESSOR_ATTEMPTS = 3
MAX_KNOWN_SUCCESSORS = 10_000
POLL_INTERVAL_S = 0.05

log = logbook.Logger("requests")


class Handover:
    """Hand over the records of this issuer, and answer from those received.

    Call `hand_over` in a graceful shutdown and `reply` for tickets of other issuers;
    `publish` announces the successor of an issuer to all instances.
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
        self.received = HandoverTable(settings)
        # Link address of the successor by incarnation of the issuer.
        self.successors: dict[str, str] = {}
        self.publish: Callable[[str, str, bytes], None] = lambda *_: None

    def register_handlers(self, server: LinkServer) -> None:
        """Register the message handler."""
        server.register(HANDOVER_KIND, self.serve)

    def reply(
        self, incarnation: str, number: int, digest: str, at: float
    ) -> Reply | None:
        """Return the reply for a ticket of another issuer, None without its records."""
        received = self.received.find(incarnation)
        if received is None:
            return None
        used_digest = received.digest(number)
        if digest and used_digest and digest != used_digest:
            message = "the ticket was used with another body"
            return Rejected("body_conflict", message)
        return received.outcome(number, at)

    def receive(self, register: Register) -> None:
        """Store the announced successor of an issuer."""
        model = SuccessorModel.model_validate_json(register.body)
        self.successors.pop(model.incarnation, None)
        self.successors[model.incarnation] = model.link_address
        if len(self.successors) > MAX_KNOWN_SUCCESSORS:
            del self.successors[next(iter(self.successors))]

    async def serve(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Store a part of the records of a stopping instance."""
        model = HandoverModel.model_validate_json(message.body)
        if self.issuer.state.closed:
            return REFUSED
        records = tuple(record.to_domain() for record in model.records)
        accepted = self.received.take(
            self.loop.time(),
            model.incarnation,
            records,
            model.forgotten,
            model.keep_s,
            model.last,
        )
        if not accepted:
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
        """Refuse new requests, wait for those in flight and hand the records over.

        Return whether a successor has all records or there are none.
        """
        self.issuer.feed(IssuerStopping(self.loop.time()))
        await self.wait_in_flight(timeout_s)
        if not self.issuer.state.last_number and not self.received.by_incarnation:
            return True
        others = {m.id: m for m in live_members(members) if m.id != self.member.id}
        ranked = rank(self.member.incarnation, others)[:MAX_SUCCESSOR_ATTEMPTS]
        for name in ranked:
            if await self.send_records(others[name].link_address):
                log.info("handed the ticket records over to {}", name)
                return True
        log.warning(
            "no successor accepted the ticket records; their outcomes become unknown"
        )
        return False

    async def wait_in_flight(self, timeout_s: float) -> None:
        """Wait at most `timeout_s` seconds for requests in flight."""
        deadline = self.loop.time() + timeout_s
        in_flight = (RecordPhase.RUNNING, RecordPhase.UNSETTLED)
        while self.loop.time() < deadline and any(
            record.phase in in_flight for record in self.issuer.state.records.values()
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def send_records(self, address: str) -> bool:
        """Send all records to one successor; return whether it accepted them."""
        at = self.loop.time()
        state = self.issuer.state
        own_records = export_records(state, at)
        keep_s = self.settings.ticket_ttl_s + self.settings.keep_finished_s
        messages = handover_messages(
            self.member.incarnation, own_records, state.forgotten, keep_s
        )
        for name, received in self.received.by_incarnation.items():
            if received.closed:
                remaining_s = max(0.0, received.expires_at - at)
                records = export_received_records(received, at)
                received_messages = handover_messages(
                    name, records, received.forgotten, remaining_s
                )
                messages = chain(messages, received_messages)
        for message in messages:
            body = message.model_dump_json().encode()
            outcome = await self.links.request(
                address, HANDOVER_KIND, body, MESSAGE_TIMEOUT_S
            )
            if outcome != Ok(ACCEPTED):
                return False
        return True

    def sweep(self) -> None:
        """Drop expired records and their successors."""
        for incarnation in self.received.drop_expired(self.loop.time()):
            self.successors.pop(incarnation, None)


def handover_messages(
    incarnation: str, records: Iterable[HandoverRecord], forgotten: int, keep_s: float
) -> Iterator[HandoverModel]:
    """Yield the messages that carry the records of one issuer."""
    models: list[HandoverRecordModel] = []
    size = 0

    def build_message(last: bool) -> HandoverModel:
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
        if size >= MESSAGE_BYTES:
            yield build_message(False)
            models, size = [], 0
    yield build_message(True)
