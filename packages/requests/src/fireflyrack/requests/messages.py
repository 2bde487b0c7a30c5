"""Wire models of requests, runs, handovers and quarantine."""

from __future__ import annotations

from functools import singledispatch
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from .handover import HandoverRecord
from .quarantine import Crash, Evidence
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

MAX_TICKETS_PER_CALL = 100
MAX_BODY_CHARACTERS = 200_000
MAX_CRASHES = 64


class CallerModel(BaseModel):
    """Base of messages from callers: immutable, unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PeerModel(BaseModel):
    """Base of messages from instances: immutable; ignores keys of newer versions."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class TicketsRequestModel(CallerModel):
    """Request of a caller for `count` tickets."""

    count: int = Field(default=1, ge=1, le=MAX_TICKETS_PER_CALL)


class TicketsModel(CallerModel):
    """Tickets issued to a caller; `ttl_s` counts from the response."""

    tickets: tuple[str, ...]
    ttl_s: float


class RunRequestModel(CallerModel):
    """Request to run once under a ticket; the body is text, usually JSON."""

    ticket: str = Field(max_length=300)
    body: str = Field(max_length=MAX_BODY_CHARACTERS)
    deadline_ms: int = Field(default=5000, ge=1, le=600_000)


class ReplyModel(PeerModel):
    """Reply to a call that presents a ticket."""

    outcome: Literal["ran", "not_run", "unknown", "unused", "rejected"]
    answer: str | None = None
    reason: str = ""
    cause: UnknownCause | None = None
    final: bool = False
    message: str = ""

    def to_domain(self) -> Reply:
        """Convert to a reply; a missing cause defaults to an unreachable issuer."""
        match self.outcome:
            case "ran":
                return Ran(self.answer)
            case "not_run":
                return NotRun(self.reason)
            case "unknown":
                cause = self.cause or UnknownCause.ISSUER_UNREACHABLE
                return Unknown(cause, self.final)
            case "unused":
                return Unused()
            case "rejected":
                return Rejected(self.reason, self.message)


class ForwardedModel(PeerModel):
    """Call forwarded to the instance that answers for its ticket."""

    incarnation: str
    number: int
    service: str
    # None queries the outcome without submitting a request.
    body: str | None = None
    caller: str = ""
    # Time left until the deadline of the call.
    remaining_ms: float


class RunModel(PeerModel):
    """Attempt sent to the owner of a backend server, or a query for its result."""

    issuer: str
    sequence: int
    owner: str
    backend_server: str = ""
    service: str = ""
    ticket: str = ""
    body: str = ""
    fingerprint: str = ""
    remaining_ms: float = 0.0


class AttemptResultModel(PeerModel):
    """Result of an attempt as its owner reports it."""

    result: Literal["ran", "not_sent", "lost"]
    answer: str | None = None
    reason: str = ""
    cause: UnknownCause | None = None
    final: bool = False
    # Incarnation of the reporting owner.
    owner: str = ""

    def to_domain(self) -> AttemptResult:
        """Convert to a result; a missing cause defaults to an unreachable owner."""
        match self.result:
            case "ran":
                return Ran(self.answer)
            case "not_sent":
                return NotSent(self.reason)
            case "lost":
                cause = self.cause or UnknownCause.OWNER_UNREACHABLE
                return AttemptOutcomeUnknown(cause, self.final)


class HelloModel(PeerModel):
    """Incarnation of an instance, requested by a peer on first contact."""

    incarnation: str = ""


class HandoverRecordModel(PeerModel):
    """Outcome of one used ticket of a stopping issuer."""

    number: int
    digest: str
    outcome: ReplyModel
    remaining_s: float

    def to_domain(self) -> HandoverRecord:
        """Convert to the domain data class."""
        outcome = self.outcome.to_domain()
        return HandoverRecord(self.number, self.digest, outcome, self.remaining_s)


class HandoverModel(PeerModel):
    """Part of the records that a stopping issuer transfers to its successor."""

    incarnation: str
    records: tuple[HandoverRecordModel, ...]
    forgotten: int
    keep_s: float
    last: bool


class SuccessorModel(PeerModel):
    """Instance that answers for the tickets of a stopped issuer."""

    incarnation: str
    instance: str
    link_address: str


class CrashModel(PeerModel):
    """Crash of a backend server while a fingerprint ran on it."""

    round: int = Field(ge=1)
    backend_server: str
    alone: bool
    occurrence: int = 1
    tried: bool = False


class EvidenceModel(PeerModel):
    """Evidence that one instance reports on a fingerprint."""

    fingerprint: str
    service: str
    crashes: tuple[CrashModel, ...] = Field(max_length=MAX_CRASHES)
    cleared: int = 0
    lifted: int = 0

    def to_domain(self) -> Evidence:
        """Convert to the domain data class."""
        crashes = frozenset(
            Crash(c.round, c.backend_server, c.alone, c.occurrence, c.tried)
            for c in self.crashes
        )
        return Evidence(self.service, crashes, self.cleared, self.lifted)


@singledispatch
def reply_model(reply: object) -> ReplyModel:
    """Return the wire model of a reply; raise TypeError for any other type."""
    raise TypeError(f"unsupported reply type: {type(reply).__name__}")


@reply_model.register
def _(reply: Ran) -> ReplyModel:
    message = "" if reply.answer is not None else "the answer was too large to keep"
    return ReplyModel(outcome="ran", answer=reply.answer, message=message)


@reply_model.register
def _(reply: NotRun) -> ReplyModel:
    return ReplyModel(outcome="not_run", reason=reply.reason)


@reply_model.register
def _(reply: Unknown) -> ReplyModel:
    message = (
        "this will not be known; ask the service whether the request took effect"
        if reply.final
        else "resend with the same ticket, or read /v1/requests/{ticket}"
    )
    return ReplyModel(
        outcome="unknown", cause=reply.cause, final=reply.final, message=message
    )


@reply_model.register
def _(reply: Unused) -> ReplyModel:
    return ReplyModel(outcome="unused")


@reply_model.register
def _(reply: Rejected) -> ReplyModel:
    return ReplyModel(outcome="rejected", reason=reply.kind, message=reply.message)


@singledispatch
def result_model(result: object, owner: str) -> AttemptResultModel:
    """Return the wire model of an attempt's result; raise TypeError for other types."""
    raise TypeError(f"unsupported result type: {type(result).__name__}")


@result_model.register
def _(result: Ran, owner: str) -> AttemptResultModel:
    return AttemptResultModel(result="ran", answer=result.answer, owner=owner)


@result_model.register
def _(result: NotSent, owner: str) -> AttemptResultModel:
    return AttemptResultModel(result="not_sent", reason=result.reason, owner=owner)


@result_model.register
def _(result: AttemptOutcomeUnknown, owner: str) -> AttemptResultModel:
    return AttemptResultModel(
        result="lost", cause=result.cause, final=result.final, owner=owner
    )


def handover_record_model(record: HandoverRecord) -> HandoverRecordModel:
    """Return the wire model of a record of a stopping issuer."""
    outcome: Outcome = record.outcome
    return HandoverRecordModel(
        number=record.number,
        digest=record.digest,
        outcome=reply_model(outcome),
        remaining_s=record.remaining_s,
    )


def evidence_model(fingerprint: str, evidence: Evidence) -> EvidenceModel:
    """Return the wire model of evidence, limited to MAX_CRASHES crashes."""
    crashes = sorted(
        evidence.crashes, key=lambda c: (c.round, c.backend_server, c.occurrence)
    )
    return EvidenceModel(
        fingerprint=fingerprint,
        service=evidence.service,
        crashes=tuple(
            CrashModel(
                round=c.round,
                backend_server=c.backend_server,
                alone=c.alone,
                occurrence=c.occurrence,
                tried=c.tried,
            )
            for c in crashes[:MAX_CRASHES]
        ),
        cleared=evidence.cleared,
        lifted=evidence.lifted,
    )
