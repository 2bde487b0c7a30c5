"""Ticket records of an issuer: at-most-once execution of each request.

Only the issuer starts attempts, one at a time, and starts the next one only after
the previous one is confirmed as not sent.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.core import Decision

from .results import (
    AttemptOutcomeUnknown,
    AttemptResult,
    NotRun,
    NotSent,
    Outcome,
    Ran,
    Rejected,
    Reply,
    Unknown,
    UnknownCause,
    Unused,
)
from .settings import RequestSettings

# Accounted size of a record without its answer: its fields, rounded up.
RECORD_BYTES = 1024
# Backend servers that one request may reach, and thus the most that a request can
# crash (guarantee 9).
MAX_BACKEND_SERVERS = 2
# Reasons that no longer apply once an owner has stopped or been replaced: the same
# backend servers are retried until the deadline.
TRANSIENT_REASONS = frozenset(
    {
        "no_owner",
        "not_owner",
        "not_permitted",
        "owner_restarted",
        "owner_stopping",
        "owner_unreachable",
    }
)
RETRY_DELAY_S = 0.1


class RecordPhase(enum.Enum):
    """Phase of a ticket's record."""

    UNUSED = "unused"
    RUNNING = "running"
    # The attempt may have run; its owner is queried for the result.
    UNSETTLED = "unsettled"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Attempt to run a request on one backend server."""

    # Increases within the issuer, so that owners can tell old attempts from new ones.
    sequence: int
    number: int
    backend_server: str


@dataclass(slots=True)
class Record:
    """Request, attempt and outcome of one ticket."""

    number: int
    service: str
    expires_at: float
    phase: RecordPhase = RecordPhase.UNUSED
    digest: str = ""
    body: str = ""
    fingerprint: str = ""
    deadline_at: float = 0.0
    candidates: tuple[str, ...] = ()
    # Candidates that failed for a transient reason; retried after RETRY_DELAY_S.
    retry_candidates: tuple[str, ...] = ()
    attempt: Attempt | None = None
    # When an unsettled record becomes finally unknown.
    settle_until: float = 0.0
    outcome: Outcome | None = None
    reserved_bytes: int = RECORD_BYTES
    calls: list[int] = field(default_factory=list)


@dataclass(slots=True)
class IssuerState:
    """Records of one incarnation of an issuer; updated in place."""

    settings: RequestSettings
    records: dict[int, Record] = field(default_factory=dict)
    # Ticket number by the sequence of the attempt in flight.
    attempts: dict[int, int] = field(default_factory=dict)
    last_number: int = 0
    last_sequence: int = 0
    used_bytes: int = 0
    # Highest number of a used ticket whose record was dropped after expiry. A ticket
    # with a higher number and no record was never used.
    forgotten: int = 0
    closed: bool = False


@dataclass(frozen=True, slots=True)
class TicketsRequested:
    """A caller requested tickets."""

    at: float
    service: str
    count: int


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request arrived with a ticket of this issuer; `call` waits for the reply."""

    at: float
    call: int
    number: int
    service: str
    body: str
    digest: str
    fingerprint: str
    deadline_at: float
    # Backend servers to try, best first.
    candidates: tuple[str, ...]
    # Why the quarantine refuses the request, or "".
    refusal: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeRequested:
    """A call asked for the outcome of a ticket."""

    at: float
    call: int
    number: int


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call timed out or its caller disconnected."""

    at: float
    call: int
    number: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or a query to its owner, returned a result."""

    at: float
    sequence: int
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class SweepTimerFired:
    """The timer for dropping expired records fired."""

    at: float


@dataclass(frozen=True, slots=True)
class IssuerStopping:
    """This instance is stopping: unused tickets can no longer be used."""

    at: float


@dataclass(frozen=True, slots=True)
class IssueTickets:
    """Return the numbers of new tickets to the caller."""

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RefuseTickets:
    """Refuse to issue tickets, with the reason."""

    rejection: Rejected


@dataclass(frozen=True, slots=True)
class SendReply:
    """Send a reply to a waiting call."""

    call: int
    reply: Reply


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request, after `delay_s`, to the owner of a backend server."""

    attempt: Attempt
    service: str
    body: str
    fingerprint: str
    deadline_at: float
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class QueryOwner:
    """Query an owner, after `delay_s`, for the result of an attempt."""

    attempt: Attempt
    delay_s: float


@singledispatch
def decide(event: object, state: IssuerState) -> Decision[IssuerState]:
    """Apply one event; return the new state and the actions that follow."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: TicketsRequested, state: IssuerState) -> Decision[IssuerState]:
    settings = state.settings
    if state.closed:
        rejection = Rejected("stopping", "this instance is stopping; use another one")
        return Decision(state, (RefuseTickets(rejection),))
    drop_expired(state, event.at)
    needed = event.count * RECORD_BYTES
    if (
        len(state.records) + event.count > settings.max_records
        or state.used_bytes + needed > settings.max_record_bytes
    ):
        rejection = Rejected("records_full", "no memory for more tickets; try later")
        return Decision(state, (RefuseTickets(rejection),))
    first = state.last_number + 1
    state.last_number += event.count
    state.used_bytes += needed
    numbers = tuple(range(first, state.last_number + 1))
    for number in numbers:
        expires_at = event.at + settings.ticket_ttl_s
        state.records[number] = Record(number, event.service, expires_at)
    return Decision(state, (IssueTickets(numbers),))


@decide.register
def _(event: RequestReceived, state: IssuerState) -> Decision[IssuerState]:
    record = state.records.get(event.number)
    if record is None:
        return reply_to_call(
            state, event.call, reply_without_record(state, event.number)
        )
    if record.service != event.service:
        message = f"the ticket is for service {record.service!r}"
        return reply_to_call(state, event.call, Rejected("service_conflict", message))
    if record.phase is not RecordPhase.UNUSED:
        if record.digest != event.digest:
            message = "the ticket was used with another body"
            return reply_to_call(state, event.call, Rejected("body_conflict", message))
        return reply_or_wait(state, record, event.call)
    reason = refusal_to_start(event, record, state)
    if not reason:
        reserved = state.settings.max_answer_bytes
        if state.used_bytes + reserved > state.settings.max_record_bytes:
            rejection = Rejected("records_full", "no memory for the answer; resend")
            return reply_to_call(state, event.call, rejection)
        reserve(state, record, RECORD_BYTES + reserved)
    record.digest = event.digest
    record.calls.append(event.call)
    if reason:
        return finish(state, record, NotRun(reason), event.at)
    record.phase = RecordPhase.RUNNING
    record.body = event.body
    record.fingerprint = event.fingerprint
    record.deadline_at = event.deadline_at
    record.candidates = event.candidates[:MAX_BACKEND_SERVERS]
    return start_next(state, record, event.at, "no_backend_server")


@decide.register
def _(event: OutcomeRequested, state: IssuerState) -> Decision[IssuerState]:
    record = state.records.get(event.number)
    if record is None:
        return reply_to_call(
            state, event.call, reply_without_record(state, event.number)
        )
    return reply_to_call(state, event.call, current_reply(record, state, event.at))


@decide.register
def _(event: CallEnded, state: IssuerState) -> Decision[IssuerState]:
    record = state.records.get(event.number)
    if record is None or event.call not in record.calls:
        return Decision(state)
    record.calls.remove(event.call)
    return reply_to_call(state, event.call, Unknown(UnknownCause.RUNNING))


@decide.register
def _(event: AttemptEnded, state: IssuerState) -> Decision[IssuerState]:
    number = state.attempts.get(event.sequence)
    if number is None:
        # The attempt already has a final result.
        return Decision(state)
    record = state.records[number]
    return apply_result(event.result, state, record, event.at)


@decide.register
def _(event: SweepTimerFired, state: IssuerState) -> Decision[IssuerState]:
    drop_expired(state, event.at)
    return Decision(state)


@decide.register
def _(event: IssuerStopping, state: IssuerState) -> Decision[IssuerState]:
    state.closed = True
    return Decision(state)


@singledispatch
def apply_result(
    result: object, state: IssuerState, record: Record, at: float
) -> Decision[IssuerState]:
    """Apply the result of a record's attempt and decide what follows."""
    raise TypeError(f"unsupported result type: {type(result).__name__}")


@apply_result.register
def _(
    result: Ran, state: IssuerState, record: Record, at: float
) -> Decision[IssuerState]:
    return finish(state, record, result, at)


@apply_result.register
def _(
    result: NotSent, state: IssuerState, record: Record, at: float
) -> Decision[IssuerState]:
    if record.phase is RecordPhase.UNSETTLED:
        # Callers have received "unknown" and may have sent the request another way,
        # so it is not started again.
        return finish(state, record, NotRun(result.reason), at)
    return start_next(state, record, at, result.reason)


@apply_result.register
def _(
    result: AttemptOutcomeUnknown, state: IssuerState, record: Record, at: float
) -> Decision[IssuerState]:
    settings = state.settings
    if record.phase is RecordPhase.RUNNING:
        record.phase = RecordPhase.UNSETTLED
        record.settle_until = at + settings.settle_for_s
    if result.final or at >= record.settle_until:
        return finish(state, record, Unknown(result.cause, final=True), at)
    record.outcome = Unknown(result.cause)
    return Decision(
        state,
        (
            *reply_to_waiting_calls(record),
            QueryOwner(record.attempt, settings.ask_period_s),
        ),
    )


def refusal_to_start(event: RequestReceived, record: Record, state: IssuerState) -> str:
    """Return why an unused ticket can no longer start a request, or ""."""
    if state.closed:
        return "issuer_stopping"
    if record.expires_at <= event.at:
        return "ticket_expired"
    return event.refusal


def start_next(
    state: IssuerState, record: Record, at: float, reason: str
) -> Decision[IssuerState]:
    """Start the next attempt, or finish with the reason if no candidate is left."""
    if record.attempt:
        state.attempts.pop(record.attempt.sequence, None)
        if reason in TRANSIENT_REASONS:
            record.retry_candidates = (
                *record.retry_candidates,
                record.attempt.backend_server,
            )
    if record.deadline_at <= at:
        return finish(state, record, NotRun("deadline"), at)
    delay_s = 0.0
    if not record.candidates and at + RETRY_DELAY_S < record.deadline_at:
        record.candidates, record.retry_candidates = record.retry_candidates, ()
        delay_s = RETRY_DELAY_S
    if not record.candidates:
        return finish(state, record, NotRun(reason), at)
    backend_server, *rest = record.candidates
    record.candidates = tuple(rest)
    state.last_sequence += 1
    record.attempt = Attempt(state.last_sequence, record.number, backend_server)
    state.attempts[record.attempt.sequence] = record.number
    start = StartAttempt(
        record.attempt,
        record.service,
        record.body,
        record.fingerprint,
        record.deadline_at,
        delay_s,
    )
    return Decision(state, (start,))


def finish(
    state: IssuerState, record: Record, outcome: Outcome, at: float
) -> Decision[IssuerState]:
    """Store the final outcome of a record and reply to the waiting calls."""
    if answer_bytes(outcome) > state.settings.max_answer_bytes:
        outcome = Ran(None)
    reserve(state, record, RECORD_BYTES + answer_bytes(outcome))
    record.phase = RecordPhase.FINISHED
    record.outcome = outcome
    record.body = ""
    record.expires_at = max(record.expires_at, at + state.settings.keep_finished_s)
    if record.attempt:
        state.attempts.pop(record.attempt.sequence, None)
    return Decision(state, reply_to_waiting_calls(record))


def answer_bytes(outcome: Outcome) -> int:
    """Return the size in bytes of the answer that an outcome holds."""
    if isinstance(outcome, Ran) and outcome.answer is not None:
        return len(outcome.answer.encode())
    return 0


def reply_to_waiting_calls(record: Record) -> tuple[SendReply, ...]:
    """Return a reply for each call that waits for a record; none waits afterwards."""
    calls, record.calls = record.calls, []
    return tuple(SendReply(call, record.outcome) for call in calls)


def reply_to_call(state: IssuerState, call: int, reply: Reply) -> Decision[IssuerState]:
    """Return the decision that replies to one call."""
    return Decision(state, (SendReply(call, reply),))


def reply_or_wait(
    state: IssuerState, record: Record, call: int
) -> Decision[IssuerState]:
    """Reply to a resend with the outcome, or let it wait for the running attempt."""
    if record.outcome is None:
        record.calls.append(call)
        return Decision(state)
    return reply_to_call(state, call, record.outcome)


def current_reply(record: Record, state: IssuerState, at: float) -> Reply:
    """Return the reply that a record gives at a point in time."""
    if record.phase is RecordPhase.UNUSED:
        if state.closed or record.expires_at <= at:
            return NotRun("issuer_stopping" if state.closed else "ticket_expired")
        return Unused()
    return record.outcome or Unknown(UnknownCause.RUNNING)


def reply_without_record(state: IssuerState, number: int) -> Reply:
    """Return the reply for a ticket that has no record."""
    if number > state.last_number:
        return Rejected("ticket_invalid", "this ticket was not issued")
    if number > state.forgotten:
        return NotRun("ticket_expired")
    return Unknown(UnknownCause.EXPIRED, final=True)


def reserve(state: IssuerState, record: Record, size: int) -> None:
    """Set the memory, in bytes, that a record reserves."""
    state.used_bytes += size - record.reserved_bytes
    record.reserved_bytes = size


def drop_expired(state: IssuerState, at: float) -> None:
    """Drop expired records that are unused or finished."""
    expired = [
        record
        for record in state.records.values()
        if record.expires_at <= at
        and record.phase in (RecordPhase.UNUSED, RecordPhase.FINISHED)
    ]
    for record in expired:
        if record.phase is RecordPhase.FINISHED:
            state.forgotten = max(state.forgotten, record.number)
        state.used_bytes -= record.reserved_bytes
        del state.records[record.number]
