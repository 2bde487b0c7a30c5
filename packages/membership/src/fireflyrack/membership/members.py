"""Members of the fleet: entry instances and their states."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class MemberState(enum.Enum):
    """State of a member."""

    # Cannot give complete answers yet: it may own backend servers, but gets no
    # callers while any member is live.
    STARTING = "starting"
    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    # Has released all backend servers and never acts on one again.
    RELEASED = "released"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """An entry instance; an incarnation is one run of its process."""

    id: str
    incarnation: str
    failure_domain: str
    http_address: str
    link_address: str
    state: MemberState = MemberState.LIVE
