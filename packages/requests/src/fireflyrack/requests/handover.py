"""Records of stopped issuers: their successor answers for their tickets."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from .records import RECORD_BYTES, IssuerState, Phase, answer_bytes
from .results import NotRun, Outcome, Unknown, UnknownCause
from .settings import RequestSettings


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """Hold the final outcome of one used ticket."""

    number: int
    digest: str
    outcome: Outcome
    # Time for which the record is still kept; clocks are not compared.
    remaining_s: float


@dataclass(slots=True)
class StoppedIssuerRecords:
    """Hold the records of one stopped issuer; complete once `closed`."""

    incarnation: str
    forgotten: int = 0
    closed: bool = False
    expires_at: float = 0.0
    outcomes: dict[int, tuple[str, Outcome, float]] = field(default_factory=dict)

    def outcome(self, number: int, at: float) -> Outcome:
        """Return the outcome of a ticket of the stopped issuer."""
        if stored := self.outcomes.get(number):
            return stored[1]
        if number > self.forgotten:
            # The issuer stopped without a record of this ticket being used.
            return NotRun("issuer_stopped")
        return Unknown(UnknownCause.EXPIRED, final=True)

    def digest(self, number: int) -> str:
        """Return the hash of the body that a ticket was used with, or ""."""
        stored = self.outcomes.get(number)
        return stored[0] if stored else ""


@dataclass(slots=True)
class HandoverTable:
    """Hold the records of stopped issuers, bounded like those of an issuer.

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
        """Take one part of the records; return False if there is no room."""
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
        """Return the complete records of a stopped issuer."""
        issuer_records = self.by_incarnation.get(incarnation)
        return issuer_records if issuer_records and issuer_records.closed else None

    def drop_expired(self, at: float) -> tuple[str, ...]:
        """Drop what is no longer kept; return the issuers that were dropped."""
        for issuer_records in self.by_incarnation.values():
            for number in [n for n, e in issuer_records.outcomes.items() if e[2] <= at]:
                del issuer_records.outcomes[number]
                issuer_records.forgotten = max(issuer_records.forgotten, number)
        expired = tuple(n for n, e in self.by_incarnation.items() if e.expires_at <= at)
        for name in expired:
            del self.by_incarnation[name]
        return expired


def export_records(state: IssuerState, at: float) -> Iterator[HandoverRecord]:
    """Yield the used records of a closed issuer.

    A record without final outcome is handed over as "unknown" for good, since
    nobody will ask its owner again.
    """
    for record in state.records.values():
        if record.phase is Phase.UNUSED:
            continue
        outcome = record.outcome
        if record.phase is not Phase.FINISHED:
            cause = outcome.cause if outcome else UnknownCause.ISSUER_GONE
            outcome = Unknown(cause, final=True)
        remaining_s = max(record.expires_at - at, state.settings.keep_finished_s)
        yield HandoverRecord(record.number, record.digest, outcome, remaining_s)


def export_received_records(
    issuer_records: StoppedIssuerRecords, at: float
) -> Iterator[HandoverRecord]:
    """Yield the records of an earlier issuer, to hand them on."""
    for number, (digest, outcome, expires_at) in issuer_records.outcomes.items():
        yield HandoverRecord(number, digest, outcome, max(0.0, expires_at - at))
