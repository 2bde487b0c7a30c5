"""Decisions of one confirmation: from a confirmed plan to its outcome."""

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

# Each attempt after the first follows a confirmation of another operator or a
# failed call, so a handful is enough for operators who work at the same moment.
MAX_ATTEMPTS = 8
# Changes of others that an operator is shown with a conflict.
MAX_CONFLICT_CHANGES = 20


@dataclass(frozen=True, slots=True)
class ConfirmationState:
    """Hold what is known while a plan is confirmed."""

    confirmation: ConfirmationModel
    # Nonce of the new plan, if there is a conflict.
    nonce: str
    # Wall-clock time of the confirmation, seconds since the epoch.
    time: float
    # Version in force on this instance; the store must not show a lower one.
    known_version: int
    max_value_bytes: int
    attempts: int = 0
    deployed: DeployedConfiguration | None = None
    revision: int = 0
    target: ServiceModel | None = None
    records: tuple[AuditRecordModel, ...] = ()
    head: HeadModel | None = None
    # Revision that a head write with a lost reply expects; it may still be applied
    # while the head has this revision.
    in_doubt_revision: int | None = None


@dataclass(frozen=True, slots=True)
class ConfirmationStarted:
    """Report a confirmed plan."""


@dataclass(frozen=True, slots=True)
class HeadRead:
    """Report the configuration in the store and the document of the intent."""

    deployed: DeployedConfiguration
    revision: int
    target: ServiceModel | None


@dataclass(frozen=True, slots=True)
class AuditRecordsRead:
    """Report the audit records that were asked for, oldest first."""

    records: tuple[AuditRecordModel, ...]


@dataclass(frozen=True, slots=True)
class ValuesWritten:
    """Report that the values which the next head refers to are in the store."""


@dataclass(frozen=True, slots=True)
class HeadWritten:
    """Report that the head was replaced."""


@dataclass(frozen=True, slots=True)
class PlansRead:
    """Report plans of the audit trail by digest."""

    plans: dict[str, StoredPlanModel]


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """Report that a call to the store failed, and whether it wrote the head."""

    failure: StoreFailure
    wrote_head: bool = False


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Ask the shell to read the configuration, after a pause from attempt 1 on."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ReadAuditRecords:
    """Ask the shell to read the audit records after a version."""

    head: HeadModel
    after_version: int


@dataclass(frozen=True, slots=True)
class WriteValues:
    """Ask the shell to write immutable values by key."""

    values: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class WriteHead:
    """Ask the shell to replace the head if it has the expected revision."""

    head: HeadModel
    expected_revision: int


@dataclass(frozen=True, slots=True)
class ReadPlans:
    """Ask the shell to read plans of the audit trail."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the outcome of the confirmation; the head contains an accepted plan."""

    outcome: Ok[HeadModel] | Failed[ConfirmationError]


@singledispatch
def decide(event: Any, state: ConfirmationState) -> Decision[ConfirmationState]:
    """Return the new state and the one action that follows from an event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(
    event: ConfirmationStarted, state: ConfirmationState
) -> Decision[ConfirmationState]:
    plan = state.confirmation.plan
    if plan.operation != plan.expected_operation():
        return fail(state, PlanAltered("the operation id does not match the content"))
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
            return finish_unknown(state, "the store shows an earlier version")
        return fail(state, StoreReverted(head.version, state.known_version))
    if head.operation == plan.operation:
        return Decision(state, (Finish(Ok(head)),))
    if head.version < plan.base_version:
        return fail(state, PlanAltered("the plan is based on a later version"))
    if head.version - plan.base_version > MAX_LOOKUP_RECORDS:
        return fail(state, PlanExpired(plan.base_version, head.version))
    after = plan.base_version
    if head.version and head.version % SEGMENT_RECORDS == 0:
        # The next head closes a segment, which needs all of its records.
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
        # The head moved on without the operation: the lost write had no effect.
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
        return fail(state, PlanAltered("its changes are not those of its intent"))
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
    """Write the values that the next head refers to."""
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
    """Return the service that took a backend server id of the plan meanwhile."""
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
    """Read the changes that conflict with the plan."""
    base = state.confirmation.plan.base_version
    records = [r for r in state.records if r.version > base and r.service in services]
    digests = tuple(r.plan for r in records[-MAX_CONFLICT_CHANGES:])
    return Decision(state, (ReadPlans(digests),))


def fail(
    state: ConfirmationState, error: ConfirmationError
) -> Decision[ConfirmationState]:
    """End with an error, or as unknown while a lost write may still be applied."""
    if state.in_doubt_revision is not None:
        return finish_unknown(state, "the reply of a write was lost")
    return Decision(state, (Finish(Failed(error)),))


def finish_unknown(
    state: ConfirmationState, detail: str
) -> Decision[ConfirmationState]:
    """End without knowing whether the plan is in force."""
    return Decision(state, (Finish(Failed(ConfirmationOutcomeUnknown(detail))),))
