"""State machine of one confirmation, from a confirmed plan to its outcome."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatch
from typing import Any

from fireflyrack.core import Decision, Failed, Ok

from .audit import (
    MAX_LOOKUP_RECORDS,
    SEGMENT_RECORDS,
    AuditRecordModel,
    StoredPlanModel,
    close_segment,
    stored_plan,
)
from .errors import (
    ConfirmationError,
    ConfirmationOutcomeUnknown,
    ConfirmationUnavailable,
    PlanAltered,
    PlanConflict,
    PlanExpired,
    PlanRejected,
    PlanTooLarge,
    StoreFailure,
    StoreFailureKind,
    StoreReverted,
)
from .messages import (
    ChangeSinceModel,
    ConfirmationModel,
    ConflictModel,
    HeadModel,
    ServiceModel,
    digest_of,
)
from .plans import DeployedConfiguration, make_plan, next_head, target_service
from .values import pack

# An attempt is repeated after a concurrent confirmation or a failed call. A few are
# enough for operators who confirm plans at the same time.
MAX_ATTEMPTS = 8
# Maximum number of conflicting changes that are reported to the operator.
MAX_CONFLICT_CHANGES = 20


@dataclass(frozen=True, slots=True)
class ConfirmationState:
    """State of a confirmation in progress."""

    confirmation: ConfirmationModel
    # Nonce of the new plan that is returned with a conflict.
    nonce: str
    # Wall-clock time of the confirmation, seconds since the epoch.
    time: float
    # Active version on this instance; a lower version in the store is an error.
    known_version: int
    max_value_bytes: int
    attempts: int = 0
    deployed: DeployedConfiguration | None = None
    revision: int = 0
    target: ServiceModel | None = None
    records: tuple[AuditRecordModel, ...] = ()
    head: HeadModel | None = None
    # Expected revision of a head write whose reply was lost. The write is in doubt: it
    # may still be applied while the head has this revision.
    in_doubt_revision: int | None = None


@dataclass(frozen=True, slots=True)
class ConfirmationStarted:
    """A plan was confirmed."""


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The configuration in the store and the intent's document were read."""

    deployed: DeployedConfiguration
    revision: int
    target: ServiceModel | None


@dataclass(frozen=True, slots=True)
class AuditRecordsRead:
    """The requested audit records were read; they are ordered oldest first."""

    records: tuple[AuditRecordModel, ...]


@dataclass(frozen=True, slots=True)
class ValuesWritten:
    """The values that the next head refers to are in the store."""


@dataclass(frozen=True, slots=True)
class HeadWritten:
    """The head was replaced."""


@dataclass(frozen=True, slots=True)
class PlansRead:
    """The requested plans were read, by digest."""

    plans: dict[str, StoredPlanModel]


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """A call to the store failed; `wrote_head` is set for a write of the head."""

    failure: StoreFailure
    wrote_head: bool = False


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the configuration, after a delay if `attempt` is at least 1."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ReadAuditRecords:
    """Read the audit records after a version."""

    head: HeadModel
    after_version: int


@dataclass(frozen=True, slots=True)
class WriteValues:
    """Write immutable values by key."""

    values: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class WriteHead:
    """Replace the head if it has the expected revision (compare-and-swap)."""

    head: HeadModel
    expected_revision: int


@dataclass(frozen=True, slots=True)
class ReadPlans:
    """Read plans by digest."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """End the confirmation; a successful outcome is the head with the plan."""

    outcome: Ok[HeadModel] | Failed[ConfirmationError]


@singledispatch
def decide(event: Any, state: ConfirmationState) -> Decision[ConfirmationState]:
    """Return the new state and exactly one action for an event."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(
    event: ConfirmationStarted, state: ConfirmationState
) -> Decision[ConfirmationState]:
    plan = state.confirmation.plan
    if plan.operation != plan.expected_operation():
        return fail(state, PlanAltered("its operation id does not match its content"))
    return Decision(state, (ReadHead(0),))


@decide.register
def _(event: HeadRead, state: ConfirmationState) -> Decision[ConfirmationState]:
    head = event.deployed.head
    plan = state.confirmation.plan
    state = replace(
        state, deployed=event.deployed, revision=event.revision, target=event.target
    )
    if head.version < state.known_version:
        if state.in_doubt_revision is not None:
            return finish_unknown(state, "the store has an earlier version")
        return fail(state, StoreReverted(head.version, state.known_version))
    if head.operation == plan.operation:
        return Decision(state, (Finish(Ok(head)),))
    if head.version < plan.base_version:
        return fail(state, PlanAltered("its base version is not in the store yet"))
    if head.version - plan.base_version > MAX_LOOKUP_RECORDS:
        return fail(state, PlanExpired(plan.base_version, head.version))
    after = plan.base_version
    if head.version and head.version % SEGMENT_RECORDS == 0:
        # The next head closes a segment, which requires all records of it.
        after = min(after, head.version - SEGMENT_RECORDS)
    return Decision(state, (ReadAuditRecords(head, after),))


@decide.register
def _(event: AuditRecordsRead, state: ConfirmationState) -> Decision[ConfirmationState]:
    plan, deployed = state.confirmation.plan, state.deployed
    for record in event.records:
        if record.operation == plan.operation:
            accepted = HeadModel(
                version=record.version,
                audit=record.digest(),
                operation=record.operation,
            )
            return Decision(state, (Finish(Ok(accepted)),))
    state = replace(state, records=event.records)
    if state.in_doubt_revision is not None and state.revision > state.in_doubt_revision:
        # The head changed without this operation, so the write in doubt had no effect.
        state = replace(state, in_doubt_revision=None)
    service = target_service(plan.intent)
    if deployed.head.services.get(service, "") != plan.base_document:
        return read_conflicting_plans(state, {service})
    match make_plan(plan.intent, state.target, deployed, plan.nonce):
        case Failed(PlanRejected(reason)):
            if owner := owner_of_taken_id(state):
                return read_conflicting_plans(state, {owner})
            return fail(state, PlanRejected(reason))
        case Ok(expected):
            pass
    if (expected.document, expected.changes, expected.effects) != (
        plan.document,
        plan.changes,
        plan.effects,
    ):
        return fail(state, PlanAltered("its changes do not match its intent"))
    return write_values(state)


@decide.register
def _(event: ValuesWritten, state: ConfirmationState) -> Decision[ConfirmationState]:
    return Decision(state, (WriteHead(state.head, state.revision),))


@decide.register
def _(event: HeadWritten, state: ConfirmationState) -> Decision[ConfirmationState]:
    return Decision(state, (Finish(Ok(state.head)),))


@decide.register
def _(event: StoreCallFailed, state: ConfirmationState) -> Decision[ConfirmationState]:
    kind, detail = event.failure.kind, event.failure.detail
    if event.wrote_head and kind is StoreFailureKind.UNKNOWN:
        state = replace(state, in_doubt_revision=state.revision)
    elif kind is not StoreFailureKind.CONFLICT and state.in_doubt_revision is None:
        return fail(state, ConfirmationUnavailable(detail))
    attempt = state.attempts + 1
    if attempt < MAX_ATTEMPTS:
        return Decision(replace(state, attempts=attempt), (ReadHead(attempt),))
    if state.in_doubt_revision is not None:
        return finish_unknown(state, detail)
    return fail(state, ConfirmationUnavailable("the head changed at each attempt"))


@decide.register
def _(event: PlansRead, state: ConfirmationState) -> Decision[ConfirmationState]:
    plan, deployed = state.confirmation.plan, state.deployed
    since = tuple(
        ChangeSinceModel(
            version=record.version,
            operator=record.operator,
            time=record.time,
            service=record.service,
            changes=event.plans[record.plan].changes,
        )
        for record in state.records
        if record.plan in event.plans and record.version > plan.base_version
    )
    match make_plan(plan.intent, state.target, deployed, state.nonce):
        case Ok(new_plan):
            service = target_service(plan.intent)
            reason = f"service {service} has changed since version {plan.base_version}"
        case Failed(PlanRejected(reason)):
            new_plan = None
    conflict = ConflictModel(reason=reason, since=since, plan=new_plan)
    return fail(state, PlanConflict(conflict, deployed.head.version))


def write_values(state: ConfirmationState) -> Decision[ConfirmationState]:
    """Build the next head and write the values that it refers to."""
    plan, head = state.confirmation.plan, state.deployed.head
    service = target_service(plan.intent)
    stored = stored_plan(plan, service).encode()
    record = AuditRecordModel(
        version=head.version + 1,
        previous=head.audit,
        operation=plan.operation,
        operator=state.confirmation.operator,
        time=state.time,
        kind=plan.intent.kind,
        service=service,
        base_version=plan.base_version,
        base_document=plan.base_document,
        base_changed=head.changed.get(service, 0),
        document=plan.document,
        plan=digest_of(stored),
    )
    values = {
        f"plans/{digest_of(stored)}": pack(stored),
        f"audit/records/{record.digest()}": pack(record.encode()),
    }
    if state.target:
        values[f"documents/{plan.document}"] = pack(state.target.encode())
    segment = head.segment
    if closed := close_segment(head, state.records):
        values[f"audit/segments/{closed.number}"] = pack(closed.encode())
        segment = digest_of(closed.encode())
    next_state = replace(state, head=next_head(plan, head, record.digest(), segment))
    sizes = {key: len(value) for key, value in values.items()}
    sizes["head"] = len(next_state.head.encode())
    what = max(sizes, key=sizes.__getitem__)
    if sizes[what] > state.max_value_bytes:
        return fail(state, PlanTooLarge(what, sizes[what], state.max_value_bytes))
    return Decision(next_state, (WriteValues(values),))


def owner_of_taken_id(state: ConfirmationState) -> str | None:
    """Return another service that has one of the plan's backend server ids, or None."""
    if state.target is None:
        return None
    ids = {server.id for server in state.target.backend_servers}
    for name, digest in state.deployed.head.services.items():
        if name == state.target.service:
            continue
        servers = state.deployed.documents[digest].backend_servers
        if ids & {server.id for server in servers}:
            return name
    return None


def read_conflicting_plans(
    state: ConfirmationState, services: set[str]
) -> Decision[ConfirmationState]:
    """Read the newest plans that changed the services after the plan's base version."""
    base = state.confirmation.plan.base_version
    records = [r for r in state.records if r.version > base and r.service in services]
    digests = tuple(r.plan for r in records[-MAX_CONFLICT_CHANGES:])
    return Decision(state, (ReadPlans(digests),))


def fail(
    state: ConfirmationState, error: ConfirmationError
) -> Decision[ConfirmationState]:
    """End with an error, or as unknown while a head write is in doubt."""
    if state.in_doubt_revision is not None:
        return finish_unknown(state, "the reply of a write was lost")
    return Decision(state, (Finish(Failed(error)),))


def finish_unknown(
    state: ConfirmationState, detail: str
) -> Decision[ConfirmationState]:
    """End without knowing whether the plan was accepted."""
    return Decision(state, (Finish(Failed(ConfirmationOutcomeUnknown(detail))),))
