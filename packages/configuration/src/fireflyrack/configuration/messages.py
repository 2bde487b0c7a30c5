"""Wire models of configuration documents, intents, plans and heads."""

from __future__ import annotations

import hashlib
from functools import cached_property
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

from fireflyrack.core import ShardSet, ShardSetError

from .documents import (
    BackendServer,
    BelowMinimum,
    Partition,
    Placement,
    Policy,
    Service,
)

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Operator = Annotated[str, Field(min_length=1, max_length=100)]
MAX_SHARDS_PER_PARTITION = 1 << 16
OPERATION_CHARACTERS = 32


class WireModel(BaseModel):
    """Base of the wire models: immutable, rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class BackendServerModel(WireModel):
    """Declaration of a backend server."""

    id: Name
    address: Address
    failure_domain: Name
    slots: int = Field(ge=1, le=1000)
    connections: int = Field(ge=1, le=10_000)

    def to_domain(self) -> BackendServer:
        """Return the data class of this model."""
        return BackendServer(
            id=self.id,
            address=self.address,
            failure_domain=self.failure_domain,
            slots=self.slots,
            connections=self.connections,
        )


class PlacementModel(WireModel):
    """Backend servers that hold a set of shards, written as in `0-19,25`."""

    shards: str
    replicas: tuple[Name, ...] = Field(min_length=1)

    @field_validator("shards")
    @classmethod
    def check_shards(cls, text: str) -> str:
        """Normalize the shards; raise ValueError if their text form is malformed."""
        try:
            return str(ShardSet.parse(text))
        except ShardSetError as error:
            raise ValueError(str(error)) from error

    def to_domain(self) -> Placement:
        """Return the data class of this model."""
        return Placement(ShardSet.parse(self.shards), self.replicas)


class PartitionModel(WireModel):
    """Declaration of a partition of an index."""

    generation: int = Field(ge=1)
    shards: int = Field(ge=1, le=MAX_SHARDS_PER_PARTITION)
    placement: tuple[PlacementModel, ...]

    def to_domain(self) -> Partition:
        """Return the data class of this model."""
        return Partition(
            generation=self.generation,
            shards=self.shards,
            placement=tuple(p.to_domain() for p in self.placement),
        )


class PolicyModel(WireModel):
    """Declaration of the policy of a service."""

    minimum_coverage: float = Field(default=1.0, ge=0, le=1)
    below_minimum: Literal["wait", "answer"] = "answer"
    default_deadline_ms: int = Field(default=1000, ge=1, le=600_000)
    hedge: bool = True

    def to_domain(self) -> Policy:
        """Return the data class of this model."""
        return Policy(
            minimum_coverage=self.minimum_coverage,
            below_minimum=BelowMinimum(self.below_minimum),
            default_deadline_ms=self.default_deadline_ms,
            hedge=self.hedge,
        )


class ServiceModel(WireModel):
    """Declaration of a service; stored as the document of the service."""

    service: Name
    backend_servers: tuple[BackendServerModel, ...] = Field(min_length=1)
    partitions: tuple[PartitionModel, ...] = ()
    policy: PolicyModel = PolicyModel()

    @model_validator(mode="after")
    def check_references(self) -> ServiceModel:
        """Check that ids and generations are unique and that references exist."""
        known = {server.id for server in self.backend_servers}
        if len(known) < len(self.backend_servers):
            raise ValueError("two backend servers have the same id")
        generations = [partition.generation for partition in self.partitions]
        if len(set(generations)) < len(generations):
            raise ValueError("two partitions have the same generation")
        for partition in self.partitions:
            allowed = ShardSet.span(0, partition.shards)
            for placement in partition.placement:
                if unknown := set(placement.replicas) - known:
                    raise ValueError(f"unknown backend server {min(unknown)}")
                if not ShardSet.parse(placement.shards) <= allowed:
                    raise ValueError(
                        f"shards {placement.shards} exceed the {partition.shards} "
                        f"shards of generation {partition.generation}"
                    )
        return self

    def to_domain(self) -> Service:
        """Return the data class of this model."""
        return self.domain

    @cached_property
    def domain(self) -> Service:
        """Return the data class, converted once.

        Unchanged documents are shared between configuration versions, and converting
        a large one takes about 0.1 s.
        """
        return Service(
            name=self.service,
            backend_servers={s.id: s.to_domain() for s in self.backend_servers},
            partitions=tuple(p.to_domain() for p in self.partitions),
            policy=self.policy.to_domain(),
        )

    def encode(self) -> bytes:
        """Return the canonical JSON form."""
        return self.model_dump_json().encode()


class DeclareModel(WireModel):
    """Intent to create a service or to replace its declaration."""

    kind: Literal["declare"] = "declare"
    declaration: ServiceModel


class RemoveModel(WireModel):
    """Intent to remove a service."""

    kind: Literal["remove"]
    service: Name


class RollbackModel(WireModel):
    """Intent to restore the declaration of a service at an earlier version."""

    kind: Literal["rollback"]
    service: Name
    version: int = Field(ge=0)


IntentModel = Annotated[
    DeclareModel | RemoveModel | RollbackModel, Field(discriminator="kind")
]


class PlanRequestModel(WireModel):
    """Request for the plan of an intent."""

    operator: Operator
    intent: IntentModel


class ChangeModel(WireModel):
    """One change of a plan, as text for the operator."""

    path: str
    before: str
    after: str


class PlanModel(WireModel):
    """Plan that the operator receives and returns with the confirmation."""

    # Derived from the other fields, so that altering a plan changes its operation id.
    operation: str = Field(pattern=r"^[0-9a-f]{32}$")
    nonce: str = Field(pattern=r"^[0-9a-f]{32}$")
    base_version: int = Field(ge=0)
    # Digest of the document that the plan replaces; empty if there was none.
    base_document: str
    # Digest of the document that the plan activates; empty if it removes one.
    document: str
    intent: IntentModel
    changes: tuple[ChangeModel, ...]
    effects: tuple[str, ...]

    def expected_operation(self) -> str:
        """Return the operation id derived from the content of the plan."""
        content = self.model_dump_json(exclude={"operation"}).encode()
        return digest_of(content)[:OPERATION_CHARACTERS]


class ConfirmationModel(WireModel):
    """Confirmation of a plan by an operator."""

    operator: Operator
    plan: PlanModel


class ChangeSinceModel(WireModel):
    """Change that another operator made after a plan was made."""

    version: int
    operator: str
    time: float
    service: str
    changes: tuple[ChangeModel, ...]


class ConflictModel(WireModel):
    """Why a plan can no longer be applied, and a new plan if there is one."""

    reason: str
    since: tuple[ChangeSinceModel, ...]
    plan: PlanModel | None


class HeadModel(WireModel):
    """Digests of the active documents; the only value in the store that is replaced."""

    version: int = 0
    services: dict[Name, str] = {}
    # Version of the last change to each service.
    changed: dict[Name, int] = {}
    # Digest of the newest audit record.
    audit: str = ""
    # Digest of the newest closed segment of the audit trail.
    segment: str = ""
    operation: str = ""

    def encode(self) -> bytes:
        """Return the canonical JSON form."""
        return self.model_dump_json().encode()


def digest_of(data: bytes) -> str:
    """Return the hexadecimal SHA-256 digest that identifies a value."""
    return hashlib.sha256(data).hexdigest()
