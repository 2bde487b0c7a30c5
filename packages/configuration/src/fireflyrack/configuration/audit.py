"""Audit trail: a hash chain of records of accepted intents, stored in segments.

The head holds the digest of the newest record, so a record belongs to the trail if
and only if its head was written. The records of a full segment are final when it is
closed, so every instance that closes it writes the same bytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .messages import ChangeModel, HeadModel, PlanModel, WireModel, digest_of

# Records per segment. A record takes less than 1 KB, so a segment stays far below the
# value limit, and reading the records of the open segment takes at most as many reads.
SEGMENT_RECORDS = 128
# Records that a confirmation searches for its operation id: more than a day at
# 3,300 changes a day. An older plan is refused.
MAX_LOOKUP_RECORDS = 32 * SEGMENT_RECORDS


class AuditRecordModel(WireModel):
    """An accepted intent; `previous` is the digest of the preceding record."""

    version: int
    previous: str
    operation: str
    operator: str
    # Wall-clock time, seconds since the epoch.
    time: float
    kind: str
    service: str
    # Version that the plan was made against.
    base_version: int
    base_document: str
    # Version that activated the replaced document; 0 if there was none.
    base_changed: int
    document: str
    # Digest of the plan in the store.
    plan: str

    def encode(self) -> bytes:
        """Return the canonical JSON form."""
        return self.model_dump_json().encode()

    def digest(self) -> str:
        """Return the digest under which the record is stored."""
        return digest_of(self.encode())


class AuditSegmentModel(WireModel):
    """Consecutive records, and the services that are active after the last one."""

    number: int
    # Digest of the preceding segment; empty for the first.
    previous: str
    services: dict[str, str]
    changed: dict[str, int]
    records: tuple[AuditRecordModel, ...]

    def encode(self) -> bytes:
        """Return the canonical JSON form."""
        return self.model_dump_json().encode()


class StoredPlanModel(WireModel):
    """A confirmed plan as stored; its document is stored under its own digest."""

    operation: str
    kind: str
    service: str
    base_version: int
    base_document: str
    document: str
    # Version that a rollback restores.
    rollback_version: int | None = None
    changes: tuple[ChangeModel, ...]
    effects: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the canonical JSON form."""
        return self.model_dump_json().encode()


class AuditPageModel(WireModel):
    """A page of the audit trail, with the head at the time of reading."""

    head_version: int
    head_audit: str
    records: tuple[AuditRecordModel, ...]
    # Plans by digest, if requested.
    plans: dict[str, StoredPlanModel] = {}


@dataclass(frozen=True, slots=True)
class ChainDefect:
    """A record that is missing or breaks the hash chain."""

    version: int
    reason: str


def stored_plan(plan: PlanModel, service: str) -> StoredPlanModel:
    """Return the form of a plan that is stored with the audit trail."""
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
    """Return how many records are in closed segments.

    A full segment is closed by the change after its last record.
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
    """Return services and their change versions from before the records.

    The records are given newest first.
    """
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
    """Return the segment that is closed by the change after a head, or None."""
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
    """Return the defects in a sequence of records that starts at from_version.

    `previous` is the digest of the record before it, or None if unknown.
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
    """Return a defect if the last record of a page does not match the head."""
    last = page.records[-1] if page.records else None
    if last is None or last.version > page.head_version:
        return ()
    if last.version == page.head_version and last.digest() != page.head_audit:
        return (
            ChainDefect(last.version, "the record does not match the head's digest"),
        )
    return ()
