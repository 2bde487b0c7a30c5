"""Failure causes and errors of searches."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from fireflyrack.core import FireflyrackError


class SnapshotFormatError(FireflyrackError):
    """The text form of a snapshot cannot be parsed."""


class Cause(enum.Enum):
    """Reason why a shard is missing from an answer."""

    DEADLINE = "deadline"
    REFUSED = "refused"
    FAILED = "failed"
    NO_REPLICA = "no_replica"
    WRONG_SNAPSHOT = "wrong_snapshot"


class FailureKind(enum.Enum):
    """How a sub-request ended without a usable reply."""

    # The backend server or its owner's queue is overloaded.
    SHED = "shed"
    # The backend server is draining and accepts no new work.
    DRAINING = "draining"
    # There is no owner or its link broke; the backend server may be healthy.
    OWNER_LOST = "owner_lost"
    # No connection to the backend server.
    UNREACHABLE = "unreachable"
    # The sub-request may have run, but its reply was lost or is unusable.
    BROKEN = "broken"
    # The reply was computed from another snapshot.
    WRONG_SNAPSHOT = "wrong_snapshot"
    # No reply arrived before the deadline of the sub-request.
    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True)
class SearchRejected:
    """Rejection of a search before it started."""

    kind: str
    reason: str
