"""Events and actions of the fleet's decisions."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .members import Member, MemberState
from .roster import Change, Roster


class Verdict(enum.Enum):
    """Name what a voter states about a seat."""

    LIVE = "live"
    SUSPECTED = "suspected"
    # Final for the seat: the voter never acknowledges its heartbeats again.
    EXPIRED = "lapsed"


class RosterEdit(enum.Enum):
    """Name the changes that an instance makes to the roster."""

    JOIN = "join"
    LEAVE = "leave"
    CHANGE_VOTERS = "rearrange"
    DROP_PREVIOUS_VOTERS = "settle"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Statement:
    """Hold what a voter states about a seat, and the arrangement it voted under."""

    subject: str
    since: int
    arranged: int
    voter: str
    voter_entered: int
    verdict: Verdict
    number: int


@dataclass(frozen=True, slots=True)
class Announcement:
    """Hold what a member says of itself during a graceful shutdown."""

    member: str
    since: int
    state: MemberState
    number: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Ask a voter for an acknowledgement; `sent_at` is on the sender's clock."""

    since: int
    version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Answer a heartbeat; `arranged` is 0 if the voter refuses."""

    since: int
    sent_at: float
    voter_entered: int
    version: int
    arranged: int


@dataclass(frozen=True, slots=True)
class RosterReceived:
    """Report a whole roster from the store or a peer."""

    at: float
    roster: Roster
    from_store: bool = False


@dataclass(frozen=True, slots=True)
class ChangesReceived:
    """Report the latest changes of a roster version from the dissemination."""

    at: float
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SeedsReceived:
    """Report the platform's list of instances, which lags."""

    at: float
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """Report a heartbeat of a peer."""

    at: float
    sender: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class AcknowledgementReceived:
    """Report a voter's answer to an own heartbeat."""

    at: float
    voter: str
    acknowledgement: Acknowledgement


@dataclass(frozen=True, slots=True)
class StatementReceived:
    """Report a voter's statement."""

    at: float
    statement: Statement


@dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """Report a member's announcement."""

    at: float
    announcement: Announcement


@dataclass(frozen=True, slots=True)
class ClaimReceived:
    """Report that a new seat asks for what it outranks."""

    at: float
    sender: str
    since: int


@dataclass(frozen=True, slots=True)
class YieldReceived:
    """Report that a peer acts by a roster that holds the own seat."""

    at: float
    sender: str
    sender_since: int
    since: int


@dataclass(frozen=True, slots=True)
class EditFinished:
    """Report that a change of the roster was made or failed."""

    at: float
    succeeded: bool


@dataclass(frozen=True, slots=True)
class LeaveStarted:
    """Report the start of a graceful shutdown."""

    at: float


@dataclass(frozen=True, slots=True)
class ServersReleased:
    """Report that no request runs any more on a backend server owned before."""

    at: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Report that it is time for heartbeats and checks."""

    at: float


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Ask the shell to send a heartbeat to voters."""

    peers: tuple[str, ...]
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class SendAcknowledgement:
    """Ask the shell to answer a heartbeat."""

    peer: str
    acknowledgement: Acknowledgement


@dataclass(frozen=True, slots=True)
class SendClaim:
    """Ask the shell to claim what the own seat outranks."""

    peers: tuple[str, ...]
    since: int


@dataclass(frozen=True, slots=True)
class SendYield:
    """Ask the shell to answer a claim once outranked work has ended."""

    peer: str
    sender_since: int
    since: int


@dataclass(frozen=True, slots=True)
class RequestRoster:
    """Ask the shell to fetch the whole roster from a peer."""

    peer: str


@dataclass(frozen=True, slots=True)
class PublishStatement:
    """Ask the shell to spread a statement."""

    statement: Statement


@dataclass(frozen=True, slots=True)
class PublishAnnouncement:
    """Ask the shell to spread an announcement."""

    announcement: Announcement


@dataclass(frozen=True, slots=True)
class PublishRoster:
    """Ask the shell to spread the latest changes of a roster."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class EditRoster:
    """Ask the shell to change the roster in the store by compare-and-swap."""

    edit: RosterEdit
    subject: str
    since: int
    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Tell the shell that members or owners may have changed."""

    members: tuple[Member, ...]
