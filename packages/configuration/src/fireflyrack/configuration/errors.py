"""Errors of the configuration package."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .messages import ConflictModel


class StoreFailureKind(enum.Enum):
    """Name the ways in which a call to the store can fail."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    # The write may or may not have taken effect.
    UNKNOWN = "unknown"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """Describe a failed call to the store."""

    kind: StoreFailureKind
    detail: str = ""


@dataclass(frozen=True, slots=True)
class PlanRejected:
    """Say why an intent has no plan."""

    reason: str


@dataclass(frozen=True, slots=True)
class PlanAltered:
    """Say that the content of a plan is not what the system had planned."""

    reason: str


@dataclass(frozen=True, slots=True)
class PlanExpired:
    """Say that a plan is too old to tell whether it was accepted earlier."""

    base_version: int
    current_version: int


@dataclass(frozen=True, slots=True)
class PlanTooLarge:
    """Say that a value of a plan exceeds what the store holds."""

    what: str
    size: int
    limit: int


@dataclass(frozen=True, slots=True)
class PlanConflict:
    """Say what changed after a plan was made, and which plan applies now."""

    conflict: ConflictModel
    current_version: int


@dataclass(frozen=True, slots=True)
class StoreReverted:
    """Say that the store shows a lower version than the one in force."""

    store_version: int
    known_version: int


@dataclass(frozen=True, slots=True)
class ConfirmationUnavailable:
    """Say that the store cannot take a confirmation now.

    The call changed nothing; an earlier one of the same plan may have.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class ConfirmationOutcomeUnknown:
    """Say that a confirmation may have taken effect; repeat it to find out."""

    detail: str


@dataclass(frozen=True, slots=True)
class VersionNotFound:
    """Say that the trail holds no such version."""

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
