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
class HandedRecords:
    """Hold the records of one stopped issuer; complete once `closed`."""

    incarnation: str
    forgotten: int = 0
    closed: bool = False
    expires_at: float = 0.0
    outcomes: dict[int, tuple[str, Outcome, float]] = field(default_factory=dict)

    def outcome(self, number: int, at: float) -> Outcome:
        """Return the outcome of a ticket of the stopped issuer."""
        if kept := self.outcomes.get(number):
            return kept[1]
        if number > self.forgotten:
            # The issuer stopped without a record of this ticket being used.
            return NotRun("issuer_stopped")
        return Unknown(UnknownCause.EXPIRED, final=True)

    def digest(self, number: int) -> str:
        """Return the hash of the body that a ticket was used with, or ""."""
        kept = self.outcomes.get(number)
        return kept[0] if kept else ""


@dataclass(slots=True)
class HandoverTable:
    """Hold the records of stopped issuers, bounded like those of an issuer.

    Call `take` with each part and `find` to answer for a ticket.
    """

    settings: RequestSettings
    by_incarnation: dict[str, HandedRecords] = field(default_factory=dict)

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
            kept[1]
            for h in self.by_incarnation.values()
            for kept in h.outcomes.values()
        ]
        outcomes.extend(record.outcome for record in records)
        size = sum(RECORD_BYTES + answer_bytes(outcome) for outcome in outcomes)
        settings = self.settings
        if len(outcomes) > settings.max_records or size > settings.max_record_bytes:
            return False
        handed = self.by_incarnation.setdefault(incarnation, HandedRecords(incarnation))
        handed.expires_at = max(handed.expires_at, at + keep_s)
        for record in records:
            expires_at = at + record.remaining_s
            entry = (record.digest, record.outcome, expires_at)
            handed.outcomes[record.number] = entry
        handed.forgotten = max(handed.forgotten, forgotten)
        handed.closed = handed.closed or last
        return True

    def find(self, incarnation: str) -> HandedRecords | None:
        """Return the complete records of a stopped issuer."""
        handed = self.by_incarnation.get(incarnation)
        return handed if handed and handed.closed else None

    def drop_expired(self, at: float) -> tuple[str, ...]:
        """Drop what is no longer kept; return the issuers that were dropped."""
        for handed in self.by_incarnation.values():
            for number in [n for n, e in handed.outcomes.items() if e[2] <= at]:
                del handed.outcomes[number]
                handed.forgotten = max(handed.forgotten, number)
        gone = tuple(n for n, e in self.by_incarnation.items() if e.expires_at <= at)
        for name in gone:
            del self.by_incarnation[name]
        return gone


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
        kept_s = max(record.expires_at - at, state.settings.keep_finished_s)
        yield HandoverRecord(record.number, record.digest, outcome, kept_s)


def export_received_records(
    handed: HandedRecords, at: float
) -> Iterator[HandoverRecord]:
    """Yield the records of an earlier issuer, to hand them on."""
    for number, (digest, outcome, expires_at) in handed.outcomes.items():
        yield HandoverRecord(number, digest, outcome, max(0.0, expires_at - at))
