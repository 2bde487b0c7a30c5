"""Planning, confirmation and audit calls; runs the actions of confirmations."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Awaitable, Callable
from functools import singledispatch, singledispatchmethod
from typing import Any

from fireflyrack.core import Failed, Ok, Outcome

from . import confirmation as steps
from .audit import AuditPageModel, AuditRecordModel
from .errors import (
    ConfirmationError,
    ConfirmationUnavailable,
    PlanRejected,
    StoreFailure,
    StoreReverted,
    VersionNotFound,
)
from .messages import (
    ConfirmationModel,
    DeclareModel,
    HeadModel,
    PlanModel,
    PlanRequestModel,
    RemoveModel,
    RollbackModel,
    ServiceModel,
)
from .plans import DeployedConfiguration, make_plan, target_service
from .repository import HEAD_KEY, Repository, ServicesAtVersion
from .settings import StoreSettings

MAX_AUDIT_PAGE = 1000
NONCE_BYTES = 16
ResolvedDocument = Outcome[ServiceModel | None, StoreFailure | PlanRejected]


class ConfirmationService:
    """Make plans, apply confirmed plans and read the audit trail.

    Call `plan` with an intent and `confirm` with a plan. A plan takes effect only by
    the compare-and-swap of the head. `known_version` returns the active version on
    this instance.
    """

    def __init__(
        self,
        repository: Repository,
        settings: StoreSettings,
        known_version: Callable[[], int],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        rng: random.Random | None = None,
    ) -> None:
        self.repository = repository
        self.settings = settings
        self.known_version = known_version
        self.sleep = sleep
        self.rng = rng or random.Random(secrets.randbits(64))

    def nonce(self) -> str:
        """Return a random nonce that makes the operation id of a plan unique."""
        return self.rng.randbytes(NONCE_BYTES).hex()

    async def plan(
        self, request: PlanRequestModel
    ) -> Outcome[PlanModel, ConfirmationError]:
        """Return the plan of an intent against the configuration in the store."""
        match await self.repository.read_deployed():
            case Failed(error):
                return Failed(ConfirmationUnavailable(error.detail))
            case Ok((deployed, _)):
                pass
        if deployed.head.version < self.known_version():
            return Failed(StoreReverted(deployed.head.version, self.known_version()))
        match await resolve_document(request.intent, self.repository, deployed):
            case Failed(PlanRejected() as rejected):
                return Failed(rejected)
            case Failed(StoreFailure() as failure):
                return Failed(ConfirmationUnavailable(failure.detail))
            case Ok(target):
                return make_plan(request.intent, target, deployed, self.nonce())

    async def confirm(
        self, confirmation: ConfirmationModel
    ) -> Outcome[HeadModel, ConfirmationError]:
        """Apply a plan; return the head of the version that contains it."""
        state = steps.ConfirmationState(
            confirmation=confirmation,
            nonce=self.nonce(),
            time=time.time(),
            known_version=self.known_version(),
            max_value_bytes=self.settings.max_value_bytes,
        )
        event: Any = steps.ConfirmationStarted()
        while True:
            decision = steps.decide(event, state)
            state = decision.state
            (action,) = decision.actions
            if isinstance(action, steps.Finish):
                return action.outcome
            event = await self.perform(action, confirmation.plan)

    @singledispatchmethod
    async def perform(self, action: object, plan: PlanModel) -> Any:
        """Perform one action of a confirmation; return the resulting event."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    async def _(self, action: steps.ReadHead, plan: PlanModel) -> Any:
        if action.attempt:
            await self.sleep(self.settings.backoff_s(action.attempt, self.rng))
        match await self.repository.read_deployed():
            case Failed(failure):
                return steps.StoreCallFailed(failure)
            case Ok((deployed, revision)):
                pass
        match await resolve_document(plan.intent, self.repository, deployed):
            case Ok(target):
                return steps.HeadRead(deployed, revision, target)
            case Failed(StoreFailure() as failure):
                return steps.StoreCallFailed(failure)
            case Failed(PlanRejected()):
                # The audit records show whether the plan was altered or superseded.
                return steps.HeadRead(deployed, revision, None)

    @perform.register
    async def _(self, action: steps.ReadAuditRecords, plan: PlanModel) -> Any:
        match await self.repository.records_after(action.head, action.after_version):
            case Failed(failure):
                return steps.StoreCallFailed(failure)
            case Ok(records):
                return steps.AuditRecordsRead(records)

    @perform.register
    async def _(self, action: steps.WriteValues, plan: PlanModel) -> Any:
        for key, value in action.values.items():
            if failure := await self.repository.write_immutable(key, value):
                return steps.StoreCallFailed(failure)
        return steps.ValuesWritten()

    @perform.register
    async def _(self, action: steps.WriteHead, plan: PlanModel) -> Any:
        store = self.repository.store
        body = action.head.encode()
        match await store.write(HEAD_KEY, body, action.expected_revision):
            case Ok(_):
                return steps.HeadWritten()
            case Failed(failure):
                return steps.StoreCallFailed(failure, wrote_head=True)

    @perform.register
    async def _(self, action: steps.ReadPlans, plan: PlanModel) -> Any:
        plans = {}
        for digest in action.digests:
            match await self.repository.plan(digest):
                case Failed(failure):
                    return steps.StoreCallFailed(failure)
                case Ok(found):
                    plans[digest] = found
        return steps.PlansRead(plans)

    async def audit(
        self, from_version: int, limit: int, with_plans: bool = False
    ) -> Outcome[AuditPageModel, ConfirmationError]:
        """Return a page of the audit trail as stored; the client verifies it."""
        match await self.repository.read_head():
            case Failed(error):
                return Failed(ConfirmationUnavailable(error.detail))
            case Ok((head, _)):
                pass
        first = max(from_version, 1)
        last = min(first + min(limit, MAX_AUDIT_PAGE) - 1, head.version)
        records: tuple[AuditRecordModel, ...] = ()
        if first <= last:
            match await self.repository.records_between(head, first, last):
                case Failed(error):
                    return Failed(ConfirmationUnavailable(error.detail))
                case Ok(records):
                    pass
        plans = {}
        for record in records if with_plans else ():
            match await self.repository.plan(record.plan):
                case Failed(error):
                    return Failed(ConfirmationUnavailable(error.detail))
                case Ok(plan):
                    plans[record.plan] = plan
        return Ok(
            AuditPageModel(
                head_version=head.version,
                head_audit=head.audit,
                records=records,
                plans=plans,
            )
        )

    async def services_at(
        self, version: int
    ) -> Outcome[ServicesAtVersion, ConfirmationError]:
        """Return the services of a version and its audit record."""
        match await self.repository.read_head():
            case Failed(error):
                return Failed(ConfirmationUnavailable(error.detail))
            case Ok((head, _)):
                pass
        if not 1 <= version <= head.version:
            return Failed(VersionNotFound(version, head.version))
        match await self.repository.services_at(head, version):
            case Failed(error):
                return Failed(ConfirmationUnavailable(error.detail))
            case found:
                return found


@singledispatch
async def resolve_document(
    intent: object, repository: Repository, deployed: DeployedConfiguration
) -> ResolvedDocument:
    """Return the document that an intent activates, or None if it removes one."""
    raise TypeError(f"unsupported intent type: {type(intent).__name__}")


@resolve_document.register
async def _(
    intent: DeclareModel, repository: Repository, deployed: DeployedConfiguration
) -> ResolvedDocument:
    return Ok(intent.declaration)


@resolve_document.register
async def _(
    intent: RemoveModel, repository: Repository, deployed: DeployedConfiguration
) -> ResolvedDocument:
    return Ok(None)


@resolve_document.register
async def _(
    intent: RollbackModel, repository: Repository, deployed: DeployedConfiguration
) -> ResolvedDocument:
    head = deployed.head
    if intent.version > head.version:
        reason = f"version {intent.version} is later than the newest, {head.version}"
        return Failed(PlanRejected(reason))
    if intent.version == 0:
        return Ok(None)
    match await repository.services_at(head, intent.version):
        case Failed() as failed:
            return failed
        case Ok(found):
            digest = found.services.get(target_service(intent))
    if digest is None:
        return Ok(None)
    return await repository.document(digest)
