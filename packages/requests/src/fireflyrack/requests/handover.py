"""Handover of a stopped issuer's records to the successor that answers for them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from .records import RECORD_BYTES, IssuerState, RecordPhase, answer_bytes
from .results import NotRun, Outcome, Unknown, UnknownCause
from .settings import RequestSettings


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """Final outcome of one used ticket."""

    number: int
    digest: str
    outcome: Outcome
    # Remaining retention: a duration, since instances do not compare clocks.
    remaining_s: float


@dataclass(slots=True)
class StoppedIssuerRecords:
    """Records received from one stopped issuer; complete once `closed`."""

    incarnation: str
    # Highest number of a used ticket whose record was dropped; see IssuerState.
    forgotten: int = 0
    closed: bool = False
    expires_at: float = 0.0
    # Body digest, outcome and expiry time, by ticket number.
    outcomes: dict[int, tuple[str, Outcome, float]] = field(default_factory=dict)

    def outcome(self, number: int, at: float) -> Outcome:
        """Return the outcome of a ticket of the stopped issuer."""
        if stored := self.outcomes.get(number):
            return stored[1]
        if number > self.forgotten:
            # The issuer handed over no record, so the ticket was never used.
            return NotRun("issuer_stopped")
        return Unknown(UnknownCause.EXPIRED, final=True)

    def digest(self, number: int) -> str:
        """Return the hash of the body that a ticket was used with, or ""."""
        stored = self.outcomes.get(number)
        return stored[0] if stored else ""


@dataclass(slots=True)
class HandoverTable:
    """Records of stopped issuers, within the limits that apply to an issuer.

    Call `take` with each part and `find` to answer for a ticket.
    """

    settings: RequestSettings
    by_incarnation: dict[str, StoppedIssuerRecords] = field(default_factory=dict)

    def take(
        self,
        at: float,
        incarnation: str,
        records: tuple[HandoverRecord, ...],
        forgotten: int,
        keep_s: float,
        last: bool,
    ) -> bool:
        """Store one part of the records; return False if it exceeds the limits."""
        outcomes = [
            stored[1]
            for h in self.by_incarnation.values()
            for stored in h.outcomes.values()
        ]
        outcomes.extend(record.outcome for record in records)
        size = sum(RECORD_BYTES + answer_bytes(outcome) for outcome in outcomes)
        settings = self.settings
        if len(outcomes) > settings.max_records or size > settings.max_record_bytes:
            return False
        issuer_records = self.by_incarnation.setdefault(
            incarnation, StoppedIssuerRecords(incarnation)
        )
        issuer_records.expires_at = max(issuer_records.expires_at, at + keep_s)
        for record in records:
            expires_at = at + record.remaining_s
            entry = (record.digest, record.outcome, expires_at)
            issuer_records.outcomes[record.number] = entry
        issuer_records.forgotten = max(issuer_records.forgotten, forgotten)
        issuer_records.closed = issuer_records.closed or last
        return True

    def find(self, incarnation: str) -> StoppedIssuerRecords | None:
        """Return the records of a stopped issuer, or None while incomplete."""
        issuer_records = self.by_incarnation.get(incarnation)
        return issuer_records if issuer_records and issuer_records.closed else None

    def drop_expired(self, at: float) -> tuple[str, ...]:
        """Drop expired records; return the issuers that were dropped entirely."""
        for issuer_records in self.by_incarnation.values():
            for number in [n for n, e in issuer_records.outcomes.items() if e[2] <= at]:
                del issuer_records.outcomes[number]
                issuer_records.forgotten = max(issuer_records.forgotten, number)
        expired = tuple(n for n, e in self.by_incarnation.items() if e.expires_at <= at)
        for issuer in expired:
            del self.by_incarnation[issuer]
        return expired


def export_records(state: IssuerState, at: float) -> Iterator[HandoverRecord]:
    """Yield the used records of a closed issuer.

    A record without a final outcome is handed over as finally unknown, since no
    instance will query its owner again.
    """
    for record in state.records.values():
        if record.phase is RecordPhase.UNUSED:
            continue
        outcome = record.outcome
        if record.phase is not RecordPhase.FINISHED:
            cause = outcome.cause if outcome else UnknownCause.ISSUER_GONE
            outcome = Unknown(cause, final=True)
        remaining_s = max(record.expires_at - at, state.settings.keep_finished_s)
        yield HandoverRecord(record.number, record.digest, outcome, remaining_s)


def export_received_records(
    issuer_records: StoppedIssuerRecords, at: float
) -> Iterator[HandoverRecord]:
    """Yield the records received from an issuer, for the next successor."""
    for number, (digest, outcome, expires_at) in issuer_records.outcomes.items():
        yield HandoverRecord(number, digest, outcome, max(0.0, expires_at - at))
