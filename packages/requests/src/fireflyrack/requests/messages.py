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
    """Base of what callers send: immutable, unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PeerModel(BaseModel):
    """Base of what instances send: immutable; a newer peer may send more keys."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class TicketsRequestModel(CallerModel):
    """Ask for tickets."""

    count: int = Field(default=1, ge=1, le=MAX_TICKETS_PER_CALL)


class TicketsModel(CallerModel):
    """Give tickets to a caller; `ttl_s` counts from the answer."""

    tickets: tuple[str, ...]
    ttl_s: float


class RunRequestModel(CallerModel):
    """Ask for one run of a request; the body is text, usually JSON."""

    ticket: str = Field(max_length=300)
    body: str = Field(max_length=MAX_BODY_CHARACTERS)
    deadline_ms: int = Field(default=5000, ge=1, le=600_000)


class ReplyModel(PeerModel):
    """Carry the reply to a call with a ticket."""

    outcome: Literal["ran", "not_run", "unknown", "unused", "rejected"]
    answer: str | None = None
    reason: str = ""
    cause: UnknownCause | None = None
    final: bool = False
    message: str = ""

    def to_domain(self) -> Reply:
        """Return the data class of this model."""
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
    """Carry a call to the instance that answers for its ticket."""

    incarnation: str
    number: int
    service: str
    # None asks for the outcome only.
    body: str | None = None
    caller: str = ""
    # Time that is left for the call.
    remaining_ms: float


class RunModel(PeerModel):
    """Carry an attempt, or the question what became of it, to an owner."""

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
    """Carry the result of an attempt."""

    result: Literal["ran", "not_sent", "lost"]
    answer: str | None = None
    reason: str = ""
    cause: UnknownCause | None = None
    final: bool = False
    # Incarnation of the owner that answers.
    owner: str = ""

    def to_domain(self) -> AttemptResult:
        """Return the data class of this model."""
        match self.result:
            case "ran":
                return Ran(self.answer)
            case "not_sent":
                return NotSent(self.reason)
            case "lost":
                cause = self.cause or UnknownCause.OWNER_UNREACHABLE
                return AttemptOutcomeUnknown(cause, self.final)


class HelloModel(PeerModel):
    """Carry the incarnation of an instance."""

    incarnation: str = ""


class HandoverRecordModel(PeerModel):
    """Carry one record of a stopping issuer."""

    number: int
    digest: str
    outcome: ReplyModel
    remaining_s: float

    def to_domain(self) -> HandoverRecord:
        """Return the data class of this model."""
        outcome = self.outcome.to_domain()
        return HandoverRecord(self.number, self.digest, outcome, self.remaining_s)


class HandoverModel(PeerModel):
    """Carry a part of the records of a stopping issuer to its successor."""

    incarnation: str
    records: tuple[HandoverRecordModel, ...]
    forgotten: int
    keep_s: float
    last: bool


class SuccessorModel(PeerModel):
    """Name the instance that answers for the tickets of a stopped issuer."""

    incarnation: str
    instance: str
    link_address: str


class CrashModel(PeerModel):
    """Carry one crash."""

    round: int = Field(ge=1)
    backend_server: str
    alone: bool
    occurrence: int = 1


class EvidenceModel(PeerModel):
    """Carry what one instance reported on a fingerprint."""

    fingerprint: str
    service: str
    crashes: tuple[CrashModel, ...] = Field(max_length=MAX_CRASHES)
    cleared: int = 0
    lifted: int = 0

    def to_domain(self) -> Evidence:
        """Return the data class of this model."""
        crashes = frozenset(
            Crash(c.round, c.backend_server, c.alone, c.occurrence)
            for c in self.crashes
        )
        return Evidence(self.service, crashes, self.cleared, self.lifted)


@singledispatch
def reply_model(reply: object) -> ReplyModel:
    """Return the wire model of a reply."""
    raise TypeError(f"not a reply: {type(reply).__name__}")


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
    """Return the wire model of an attempt's result."""
    raise TypeError(f"not a result: {type(result).__name__}")


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
    """Return the wire model of evidence."""
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
            )
            for c in crashes[:MAX_CRASHES]
        ),
        cleared=evidence.cleared,
        lifted=evidence.lifted,
    )
