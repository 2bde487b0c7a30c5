"""Errors of requests over links between entry instances."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from fireflyrack.core import FireflyrackError


class FrameTooLarge(FireflyrackError):
    """A peer announced a frame that exceeds the limit."""


class LinkFailureKind(enum.Enum):
    """Reason why a request to a peer failed."""

    UNREACHABLE = "unreachable"
    # The stream closed before the response arrived.
    BROKEN = "broken"
    TIMEOUT = "timeout"
    # The local send queue is full.
    OVERLOADED = "overloaded"
    # The peer has no handler for the kind of the request, or its handler failed.
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class LinkFailure:
    """A failed request; `sent` is False only if no byte of it was sent."""

    kind: LinkFailureKind
    sent: bool
    detail: str = ""
