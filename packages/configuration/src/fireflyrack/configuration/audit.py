"""Audit trail: chained records of accepted intents, cut into segments.

The head names the newest record, so a record belongs to the trail exactly if its
head was written. The records of a full segment are decided by then, so each
instance that closes the segment writes the same bytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .messages import ChangeModel, HeadModel, PlanModel, WireModel, digest_of

# Records of a segment. A record takes less than 1 KB, so a segment stays far below
# the value limit, and a walk over the open records takes at most as many reads.
SEGMENT_RECORDS = 128
# Records that a confirmation looks through for its operation: more than a day at
# 3,300 changes a day. An older plan is refused.
MAX_LOOKUP_RECORDS = 32 * SEGMENT_RECORDS


class AuditRecordModel(WireModel):
    """Record one accepted intent; each record names the digest of the one before."""

    version: int
    previous: str
    operation: str
    operator: str
    # Wall-clock time, seconds since the epoch.
    time: float
    kind: str
    service: str
    # Version that the operator saw when the plan was made.
    base_version: int
    base_document: str
    # Version that had put the replaced document in force; 0 if there was none.
    base_changed: int
    document: str
    # Digest of the plan in the store.
    plan: str

    def encode(self) -> bytes:
        """Return the canonical JSON form."""
        return self.model_dump_json().encode()

    def digest(self) -> str:
        """Return the digest that names the record."""
        return digest_of(self.encode())


class AuditSegmentModel(WireModel):
    """Hold consecutive records and the services in force after the last one."""

    number: int
    # Digest of the segment before; empty for the first.
    previous: str
    services: dict[str, str]
    changed: dict[str, int]
    records: tuple[AuditRecordModel, ...]

    def encode(self) -> bytes:
        """Return the canonical JSON form."""
        return self.model_dump_json().encode()


class StoredPlanModel(WireModel):
    """Keep what an operator confirmed; the document is kept under its digest."""

    operation: str
    kind: str
    service: str
    base_version: int
    base_document: str
    document: str
    # Version that a rollback returns to.
    rollback_version: int | None = None
    changes: tuple[ChangeModel, ...]
    effects: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the canonical JSON form."""
        return self.model_dump_json().encode()


class AuditPageModel(WireModel):
    """Carry part of the trail with the head that it ends at."""

    head_version: int
    head_audit: str
    records: tuple[AuditRecordModel, ...]
    # Plans by digest, if they were asked for.
    plans: dict[str, StoredPlanModel] = {}


@dataclass(frozen=True, slots=True)
class ChainDefect:
    """Name a record that is missing or does not fit the chain."""

    version: int
    reason: str


def stored_plan(plan: PlanModel, service: str) -> StoredPlanModel:
    """Return the form of a plan that the trail keeps."""
    return StoredPlanModel(
        operation=plan.operation,
        kind=plan.intent.kind,
        service=service,
        base_version=plan.base_version,
        base_document=plan.base_document,
        document=plan.document,
        rollback_version=getattr(plan.intent, "version", None),
        changes=plan.changes,
        effects=plan.effects,
    )


def closed_record_count(head_version: int) -> int:
    """Return how many of the first records are in closed segments.

    The head that follows the last record of a segment closes it.
    """
    return max(head_version - 1, 0) // SEGMENT_RECORDS * SEGMENT_RECORDS


def segment_of(version: int) -> int:
    """Return the number of the segment that holds the record of a version."""
    return (version - 1) // SEGMENT_RECORDS


def revert_records(
    services: Mapping[str, str],
    changed: Mapping[str, int],
    records: Iterable[AuditRecordModel],
) -> tuple[dict[str, str], dict[str, int]]:
    """Return the services before the records, which are given newest first."""
    before, changed_versions = dict(services), dict(changed)
    for record in records:
        if record.base_document:
            before[record.service] = record.base_document
            changed_versions[record.service] = record.base_changed
        else:
            before.pop(record.service, None)
            changed_versions.pop(record.service, None)
    return dict(sorted(before.items())), dict(sorted(changed_versions.items()))


def close_segment(
    head: HeadModel, records: tuple[AuditRecordModel, ...]
) -> AuditSegmentModel | None:
    """Return the segment that the change after a head closes, or None."""
    if head.version == 0 or head.version % SEGMENT_RECORDS:
        return None
    return AuditSegmentModel(
        number=segment_of(head.version),
        previous=head.segment,
        services=head.services,
        changed=head.changed,
        records=records[-SEGMENT_RECORDS:],
    )


def verify_chain(
    records: Iterable[AuditRecordModel],
    previous: str | None,
    from_version: int,
) -> tuple[ChainDefect, ...]:
    """Return the defects of consecutive records.

    `previous` is the digest of the record before, or None if it is not known.
    """
    defects = []
    expected = from_version
    for record in records:
        if record.version != expected:
            reason = f"missing; version {record.version} follows instead"
            defects.append(ChainDefect(expected, reason))
        elif previous is not None and record.previous != previous:
            reason = "the record, or the one after it, was changed"
            defects.append(ChainDefect(record.version - 1, reason))
        previous = record.digest()
        expected = record.version + 1
    return tuple(defects)


def verify_head(page: AuditPageModel) -> tuple[ChainDefect, ...]:
    """Return the defects of the last record against the head."""
    last = page.records[-1] if page.records else None
    if last is None or last.version > page.head_version:
        return ()
    if last.version == page.head_version and last.digest() != page.head_audit:
        return (
            ChainDefect(last.version, "the record differs from the one the head names"),
        )
    return ()
