"""Typed reads and writes of the configuration in the store, verified by digest."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from pydantic import BaseModel, ValidationError

from fireflyrack.core import Failed, Ok, Outcome

from .audit import (
    AuditRecordModel,
    AuditSegmentModel,
    StoredPlanModel,
    closed_record_count,
    revert_records,
    segment_of,
)
from .errors import StoreFailure, StoreFailureKind
from .messages import HeadModel, ServiceModel, digest_of
from .plans import DeployedConfiguration
from .store import Entry
from .values import unpack

HEAD_KEY = "head"
# Records, plans and segments are immutable, so cached ones never become stale. All
# but segments take less than 1 KB of JSON, so the records of the open segment fit.
MAX_CACHE_BYTES = 4 * 1024 * 1024
Model = TypeVar("Model", bound=BaseModel)


class Store(Protocol):
    """Key-value store with compare-and-swap writes."""

    async def read(self, key: str) -> Outcome[Entry, StoreFailure]:
        """Read a key."""

    async def write(
        self, key: str, value: bytes, expected_revision: int
    ) -> Outcome[int, StoreFailure]:
        """Replace the value of a key if it has the expected revision."""


@dataclass(frozen=True, slots=True)
class ServicesAtVersion:
    """Services that were active at a version, and its audit record."""

    record: AuditRecordModel
    services: dict[str, str]
    changed: dict[str, int]
    # Digest of the newest closed segment at that version.
    segment: str

    def head(self) -> HeadModel:
        """Return the reconstructed head of that version."""
        return HeadModel(
            version=self.record.version,
            services=self.services,
            changed=self.changed,
            audit=self.record.digest(),
            segment=self.segment,
            operation=self.record.operation,
        )


class Repository:
    """Read heads, documents, plans and records; write immutable values."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.cache: dict[str, tuple[BaseModel, int]] = {}
        self.cached_bytes = 0
        # Documents of the head that was read last. Older ones are not cached, because
        # the document of a large service takes several megabytes of memory.
        self.current_documents: dict[str, ServiceModel] = {}

    async def read_head(self) -> Outcome[tuple[HeadModel, int], StoreFailure]:
        """Return the head and its revision, which is 0 if there is no head."""
        match await self.store.read(HEAD_KEY):
            case Failed() as failed:
                return failed
            case Ok(Entry(_, 0)):
                return Ok((HeadModel(), 0))
            case Ok(Entry(value, revision)):
                pass
        match parse_value(HEAD_KEY, value, HeadModel):
            case Ok(head):
                return Ok((head, revision))
            case failed:
                return failed

    async def read_deployed(
        self,
    ) -> Outcome[tuple[DeployedConfiguration, int], StoreFailure]:
        """Return the configuration in the store and the revision of its head."""
        match await self.read_head():
            case Failed() as failed:
                return failed
            case Ok((head, revision)):
                pass
        match await self.documents_of(head):
            case Failed() as failed:
                return failed
            case Ok(documents):
                return Ok((DeployedConfiguration(head, documents), revision))

    async def documents_of(
        self, head: HeadModel
    ) -> Outcome[dict[str, ServiceModel], StoreFailure]:
        """Return the documents that a head refers to, by digest."""
        documents = {}
        for digest in head.services.values():
            match await self.document(digest):
                case Failed() as failed:
                    return failed
                case Ok(document):
                    documents[digest] = document
        self.current_documents = documents
        return Ok(documents)

    async def document(self, digest: str) -> Outcome[ServiceModel, StoreFailure]:
        """Return a document by its digest."""
        if document := self.current_documents.get(digest):
            return Ok(document)
        key = f"documents/{digest}"
        match await self.read_value(key, digest):
            case Failed() as failed:
                return failed
            case Ok(value):
                return parse_value(key, value, ServiceModel)

    async def record(self, digest: str) -> Outcome[AuditRecordModel, StoreFailure]:
        """Return an audit record by its digest."""
        return await self.read_immutable("audit/records", digest, AuditRecordModel)

    async def plan(self, digest: str) -> Outcome[StoredPlanModel, StoreFailure]:
        """Return the plan of an audit record by its digest."""
        return await self.read_immutable("plans", digest, StoredPlanModel)

    async def read_immutable(
        self, folder: str, digest: str, model: type[Model]
    ) -> Outcome[Model, StoreFailure]:
        """Return a value by its digest, from the cache if possible."""
        return await self.read_model(f"{folder}/{digest}", digest, model)

    async def segment(self, number: int) -> Outcome[AuditSegmentModel, StoreFailure]:
        """Return a closed segment of the audit trail."""
        return await self.read_model(f"audit/segments/{number}", "", AuditSegmentModel)

    async def read_model(
        self, key: str, digest: str, model: type[Model]
    ) -> Outcome[Model, StoreFailure]:
        """Return a value from the cache or the store; verify a non-empty digest."""
        if key in self.cache:
            return Ok(self.cache[key][0])
        match await self.read_value(key, digest):
            case Failed() as failed:
                return failed
            case Ok(value):
                pass
        outcome = parse_value(key, value, model)
        if isinstance(outcome, Ok):
            self.cache_value(key, outcome.value, len(value))
        return outcome

    async def read_value(self, key: str, digest: str) -> Outcome[bytes, StoreFailure]:
        """Return a decompressed value; fail if it is missing or its digest differs."""
        match await self.store.read(key):
            case Failed() as failed:
                return failed
            case Ok(Entry(_, 0)):
                return corrupted_value(f"{key} is missing")
            case Ok(Entry(packed, _)):
                pass
        try:
            value = unpack(packed)
        except ValueError as error:
            return corrupted_value(f"{key}: {error}")
        if digest and digest_of(value) != digest:
            return corrupted_value(f"{key} was changed")
        return Ok(value)

    def cache_value(self, key: str, model: BaseModel, size: int) -> None:
        """Cache an immutable value; evict the oldest ones beyond the size limit."""
        self.cache[key] = (model, size)
        self.cached_bytes += size
        while self.cached_bytes > MAX_CACHE_BYTES:
            _, evicted_bytes = self.cache.pop(next(iter(self.cache)))
            self.cached_bytes -= evicted_bytes

    async def records_after(
        self, head: HeadModel, version: int
    ) -> Outcome[tuple[AuditRecordModel, ...], StoreFailure]:
        """Return the records after a version, oldest first.

        The hash chain is verified backwards from the head.
        """
        records: list[AuditRecordModel] = []
        digest, current = head.audit, head.version
        while current > max(version, closed_record_count(head.version)):
            match await self.record(digest):
                case Failed() as failed:
                    return failed
                case Ok(record):
                    records.append(record)
                    digest, current = record.previous, current - 1
        while current > version:
            match await self.segment(segment_of(current)):
                case Failed() as failed:
                    return failed
                case Ok(segment):
                    pass
            for record in reversed(segment.records):
                if record.digest() != digest or record.version != current:
                    return corrupted_value(
                        f"the audit record of version {current} was changed"
                    )
                records.append(record)
                digest, current = record.previous, current - 1
        return Ok(tuple(r for r in reversed(records) if r.version > version))

    async def records_between(
        self, head: HeadModel, first: int, last: int
    ) -> Outcome[tuple[AuditRecordModel, ...], StoreFailure]:
        """Return the records from first to last, oldest first, without verification.

        The client verifies them, so that it can report each defect.
        """
        closed = closed_record_count(head.version)
        records: list[AuditRecordModel] = []
        if first <= closed:
            for number in range(segment_of(first), segment_of(min(last, closed)) + 1):
                match await self.segment(number):
                    case Failed() as failed:
                        return failed
                    case Ok(segment):
                        records += segment.records
        if last > closed:
            match await self.records_after(head, closed):
                case Failed() as failed:
                    return failed
                case Ok(found):
                    records += found
        return Ok(tuple(r for r in records if first <= r.version <= last))

    async def services_at(
        self, head: HeadModel, version: int
    ) -> Outcome[ServicesAtVersion, StoreFailure]:
        """Return the services that were active at a version, which is at least 1."""
        if version <= closed_record_count(head.version):
            match await self.segment(segment_of(version)):
                case Failed() as failed:
                    return failed
                case Ok(segment):
                    services, changed = segment.services, segment.changed
                    records, previous = segment.records, segment.previous
        else:
            match await self.records_after(head, closed_record_count(head.version)):
                case Failed() as failed:
                    return failed
                case Ok(records):
                    services, changed = head.services, head.changed
                    previous = head.segment
        record = next((r for r in records if r.version == version), None)
        if record is None:
            return corrupted_value(f"the audit record of version {version} is missing")
        later = [r for r in reversed(records) if r.version > version]
        return Ok(
            ServicesAtVersion(
                record, *revert_records(services, changed, later), previous
            )
        )

    async def write_immutable(self, key: str, value: bytes) -> StoreFailure | None:
        """Write an immutable value; return the failure, or None on success."""
        match await self.store.write(key, value, 0):
            case Failed(StoreFailure(StoreFailureKind.CONFLICT)):
                return None  # the key already holds the same value
            case Failed(StoreFailure(StoreFailureKind.UNKNOWN, detail)):
                # Nothing refers to the value yet, so the attempt had no visible effect.
                return StoreFailure(StoreFailureKind.UNAVAILABLE, detail)
            case Failed(failure):
                return failure
        return None


def parse_value(
    key: str, value: bytes, model: type[Model]
) -> Outcome[Model, StoreFailure]:
    """Parse JSON into a model; fail if it is invalid."""
    try:
        return Ok(model.model_validate_json(value))
    except ValidationError as error:
        return corrupted_value(f"{key} has {error.error_count()} validation errors")


def corrupted_value(detail: str) -> Failed[StoreFailure]:
    """Return the failure of reading a value that is missing or corrupted."""
    return Failed(StoreFailure(StoreFailureKind.INVALID, detail))
