"""Events and actions of the membership protocol.

`since`, `arranged` and `voter_entered` have the names of the wire fields. They are the
`created_version` and `voters_version` of a roster entry and the `joined_version` of a
voter.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .members import Member, MemberState
from .roster import Change, Roster


class Verdict(enum.Enum):
    """Verdict of a voter on the holder of a roster entry."""

    LIVE = "live"
    SUSPECTED = "suspected"
    # Final: the voter never acknowledges a heartbeat for this entry again.
    EXPIRED = "lapsed"


class RosterEdit(enum.Enum):
    """Kinds of changes to the roster."""

    JOIN = "join"
    LEAVE = "leave"
    CHANGE_VOTERS = "rearrange"
    DROP_PREVIOUS_VOTERS = "settle"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Statement:
    """A voter's verdict on a roster entry, and the version of the voter set it used."""

    subject: str
    since: int
    arranged: int
    voter: str
    voter_entered: int
    verdict: Verdict
    number: int


@dataclass(frozen=True, slots=True)
class Announcement:
    """A member's own state: live, leaving or released."""

    member: str
    since: int
    state: MemberState
    number: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat to a voter; `sent_at` is in seconds of the sender's clock."""

    since: int
    version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A voter's reply to a heartbeat; `arranged` is 0 if it refuses."""

    since: int
    sent_at: float
    voter_entered: int
    version: int
    arranged: int


@dataclass(frozen=True, slots=True)
class RosterReceived:
    """A full roster arrived from the store or a peer."""

    at: float
    roster: Roster
    from_store: bool = False


@dataclass(frozen=True, slots=True)
class ChangesReceived:
    """The latest changes of a roster version arrived by gossip."""

    at: float
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SeedsReceived:
    """The platform's list of instances was read; it may be out of date."""

    at: float
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat of a peer arrived."""

    at: float
    sender: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class AcknowledgementReceived:
    """A voter's reply to an own heartbeat arrived."""

    at: float
    voter: str
    acknowledgement: Acknowledgement


@dataclass(frozen=True, slots=True)
class StatementReceived:
    """A voter's statement arrived."""

    at: float
    statement: Statement


@dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """A member's announcement arrived."""

    at: float
    announcement: Announcement


@dataclass(frozen=True, slots=True)
class ClaimReceived:
    """A peer with a new entry claims the backend servers for which it ranks highest."""

    at: float
    sender: str
    since: int


@dataclass(frozen=True, slots=True)
class YieldReceived:
    """A peer that has the entry of this instance in its roster replied to a claim."""

    at: float
    sender: str
    sender_since: int
    since: int


@dataclass(frozen=True, slots=True)
class EditFinished:
    """An attempt to change the roster succeeded or failed."""

    at: float
    succeeded: bool


@dataclass(frozen=True, slots=True)
class LeaveStarted:
    """A graceful shutdown started."""

    at: float


@dataclass(frozen=True, slots=True)
class ServersReleased:
    """No request runs any more on the backend servers that were owned."""

    at: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer for heartbeats and failure detection fired."""

    at: float


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat to voters."""

    peers: tuple[str, ...]
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class SendAcknowledgement:
    """Reply to a heartbeat."""

    peer: str
    acknowledgement: Acknowledgement


@dataclass(frozen=True, slots=True)
class SendClaim:
    """Claim the backend servers for which this instance ranks highest."""

    peers: tuple[str, ...]
    since: int


@dataclass(frozen=True, slots=True)
class SendYield:
    """Reply to a claim once no request runs on the claimed backend servers."""

    peer: str
    sender_since: int
    since: int


@dataclass(frozen=True, slots=True)
class RequestRoster:
    """Fetch the full roster from a peer."""

    peer: str


@dataclass(frozen=True, slots=True)
class PublishStatement:
    """Disseminate a statement."""

    statement: Statement


@dataclass(frozen=True, slots=True)
class PublishAnnouncement:
    """Disseminate an announcement."""

    announcement: Announcement


@dataclass(frozen=True, slots=True)
class PublishRoster:
    """Disseminate the latest changes of a roster."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class EditRoster:
    """Change the roster in the store by compare-and-swap.

    The change applies only if the entry of `subject` still has `expected_version`: its
    `voters_version` for DROP_PREVIOUS_VOTERS, else its `created_version`. JOIN ignores
    it.
    """

    edit: RosterEdit
    subject: str
    expected_version: int
    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Update what depends on the members or on the owners of backend servers."""

    members: tuple[Member, ...]
