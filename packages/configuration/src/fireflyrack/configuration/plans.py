"""Plans: the changes and effects of an intent, and the head that results."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from fireflyrack.core import EMPTY, Failed, Ok, Outcome, ShardSet

from .documents import Configuration, Service
from .errors import PlanRejected
from .messages import (
    OPERATION_CHARACTERS,
    ChangeModel,
    DeclareModel,
    HeadModel,
    PlanModel,
    RemoveModel,
    RollbackModel,
    ServiceModel,
    digest_of,
)

ABSENT = "(absent)"
Intent = DeclareModel | RemoveModel | RollbackModel


@dataclass(frozen=True, slots=True)
class DeployedConfiguration:
    """A head and the documents that it refers to, by digest."""

    head: HeadModel
    documents: Mapping[str, ServiceModel]

    def document(self, service: str) -> ServiceModel | None:
        """Return the active document of a service, or None."""
        return self.documents.get(self.head.services.get(service, ""))

    def configuration(self) -> Configuration:
        """Return the configuration as data classes."""
        return Configuration(
            version=self.head.version,
            digest=digest_of(self.head.encode()),
            services={
                name: self.documents[digest].to_domain()
                for name, digest in self.head.services.items()
            },
        )


@singledispatch
def target_service(intent: object) -> str:
    """Return the name of the service that an intent changes."""
    raise TypeError(f"unsupported intent type: {type(intent).__name__}")


@target_service.register
def _(intent: DeclareModel) -> str:
    return intent.declaration.service


@target_service.register
def _(intent: RemoveModel) -> str:
    return intent.service


@target_service.register
def _(intent: RollbackModel) -> str:
    return intent.service


def make_plan(
    intent: Intent,
    after: ServiceModel | None,
    deployed: DeployedConfiguration,
    nonce: str,
) -> Outcome[PlanModel, PlanRejected]:
    """Return the plan of an intent against a configuration.

    `after` is the document that the intent activates, or None if it removes one.
    """
    service = target_service(intent)
    before = deployed.document(service)
    if rejected := find_rejection(service, before, after, deployed):
        return Failed(rejected)
    plan = PlanModel(
        operation="0" * OPERATION_CHARACTERS,
        nonce=nonce,
        base_version=deployed.head.version,
        base_document=deployed.head.services.get(service, ""),
        document=digest_of(after.encode()) if after else "",
        intent=intent,
        changes=tuple(changes(before, after)),
        effects=tuple(effects(before, after)),
    )
    return Ok(plan.model_copy(update={"operation": plan.expected_operation()}))


def find_rejection(
    service: str,
    before: ServiceModel | None,
    after: ServiceModel | None,
    deployed: DeployedConfiguration,
) -> PlanRejected | None:
    """Return why an intent cannot be planned, or None if it can."""
    if before is None and after is None:
        return PlanRejected(f"service {service} does not exist")
    if before == after:
        return PlanRejected(f"service {service} already has this declaration")
    if after is None:
        return None
    ids = {server.id for server in after.backend_servers}
    for name, digest in deployed.head.services.items():
        if name == service:
            continue
        other_ids = {server.id for server in deployed.documents[digest].backend_servers}
        if taken := ids & other_ids:
            return PlanRejected(
                f"backend server {min(taken)} belongs to service {name}"
            )
    return None


def changes(
    before: ServiceModel | None, after: ServiceModel | None
) -> Iterator[ChangeModel]:
    """Yield the difference between two documents, ordered by path."""
    old = dict(flatten(before))
    new = dict(flatten(after))
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path):
            yield ChangeModel(
                path=path,
                before=old.get(path, ABSENT),
                after=new.get(path, ABSENT),
            )


def flatten(document: ServiceModel | None) -> Iterator[tuple[str, str]]:
    """Yield path and text of each value of a document."""
    if document is None:
        return
    for server in document.backend_servers:
        yield (
            f"backend_servers.{server.id}",
            f"{server.address} in {server.failure_domain}, {server.slots} slots, "
            f"{server.connections} connections",
        )
    for partition in document.partitions:
        path = f"partitions.{partition.generation}"
        yield f"{path}.shards", str(partition.shards)
        for placement in partition.placement:
            yield f"{path}.{placement.shards}", ", ".join(placement.replicas)
    policy: dict[str, Any] = document.policy.model_dump()
    for key, value in policy.items():
        yield f"policy.{key}", str(value)


def effects(before: ServiceModel | None, after: ServiceModel | None) -> Iterator[str]:
    """Yield the consequences of a change that the operator should know."""
    old = before.to_domain() if before else None
    new = after.to_domain() if after else None
    if new is None:
        yield "the service stops answering"
        return
    for partition in new.partitions:
        unplaced = partition.all_shards() - shards_with_replicas(
            new, partition.generation
        )
        if unplaced:
            yield f"generation {partition.generation}: no replica of shards {unplaced}"
    if old is not None:
        yield from reduced_limits(old, new)
        yield from lost_shards(old, new)


def shards_with_replicas(service: Service, generation: int) -> ShardSet:
    """Return the shards of a generation that have at least one replica."""
    partition = service.partition(generation)
    placed = EMPTY
    if partition:
        for placement in partition.placement:
            placed |= placement.shards
    return placed


def reduced_limits(old: Service, new: Service) -> Iterator[str]:
    """Yield the backend servers that are removed or have lower limits than before."""
    for name, server in old.backend_servers.items():
        remaining = new.backend_servers.get(name)
        if remaining is None:
            yield f"backend server {name} gets no more work"
        elif remaining.slots < server.slots:
            yield f"backend server {name}: slots {server.slots} to {remaining.slots}"
        elif remaining.connections < server.connections:
            yield (
                f"backend server {name}: connections {server.connections} "
                f"to {remaining.connections}"
            )


def lost_shards(old: Service, new: Service) -> Iterator[str]:
    """Yield the shards that lose their last replica."""
    for partition in old.partitions:
        generation = partition.generation
        if new.partition(generation) is None:
            yield f"generation {generation} can no longer be searched"
            continue
        lost = shards_with_replicas(old, generation) - shards_with_replicas(
            new, generation
        )
        if lost:
            yield f"generation {generation}: shards {lost} lose their last replica"


def next_head(plan: PlanModel, head: HeadModel, audit: str, segment: str) -> HeadModel:
    """Return the head that results from a confirmed plan."""
    service = target_service(plan.intent)
    services = {name: d for name, d in head.services.items() if name != service}
    changed = {name: v for name, v in head.changed.items() if name != service}
    if plan.document:
        services[service] = plan.document
        changed[service] = head.version + 1
    return HeadModel(
        version=head.version + 1,
        services=dict(sorted(services.items())),
        changed=dict(sorted(changed.items())),
        audit=audit,
        segment=segment,
        operation=plan.operation,
    )
