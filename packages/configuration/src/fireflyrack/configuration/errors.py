"""Errors of the configuration package."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .messages import ConflictModel


class StoreFailureKind(enum.Enum):
    """Reason why a call to the store failed."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    # The write may or may not have taken effect.
    UNKNOWN = "unknown"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A failed call to the store."""

    kind: StoreFailureKind
    detail: str = ""


@dataclass(frozen=True, slots=True)
class PlanRejected:
    """An intent cannot be planned."""

    reason: str


@dataclass(frozen=True, slots=True)
class PlanAltered:
    """The content of a plan differs from what was planned for its intent."""

    reason: str


@dataclass(frozen=True, slots=True)
class PlanExpired:
    """A plan is too old to determine whether it was accepted earlier."""

    base_version: int
    current_version: int


@dataclass(frozen=True, slots=True)
class PlanTooLarge:
    """A value of a plan exceeds the size limit of the store; sizes in bytes."""

    what: str
    size: int
    limit: int


@dataclass(frozen=True, slots=True)
class PlanConflict:
    """A plan conflicts with later changes; carries these and a new plan."""

    conflict: ConflictModel
    current_version: int


@dataclass(frozen=True, slots=True)
class StoreReverted:
    """The store has a lower version than the active one."""

    store_version: int
    known_version: int


@dataclass(frozen=True, slots=True)
class ConfirmationUnavailable:
    """The store cannot accept a confirmation now.

    This call had no effect, but an earlier one for the same plan may have had.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class ConfirmationOutcomeUnknown:
    """A confirmation may have taken effect; repeat it to determine the outcome."""

    detail: str


@dataclass(frozen=True, slots=True)
class VersionNotFound:
    """The audit trail does not contain the version."""

    version: int
    current_version: int


ConfirmationError = (
    PlanRejected
    | PlanAltered
    | PlanExpired
    | PlanTooLarge
    | PlanConflict
    | StoreReverted
    | ConfirmationUnavailable
    | ConfirmationOutcomeUnknown
    | VersionNotFound
)
