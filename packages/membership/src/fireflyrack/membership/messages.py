"""Wire and storage models of membership."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict

from .events import (
    Acknowledgement,
    Announcement,
    Heartbeat,
    Statement,
    Verdict,
)
from .members import Member, MemberState
from .roster import Change, Roster, RosterEntry


class WireModel(BaseModel):
    """Base of the wire models; unknown keys of newer peers are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class MemberModel(WireModel):
    """Member, in the form of the platform's list of instances."""

    id: str
    incarnation: str
    failure_domain: str
    http_address: str
    link_address: str
    state: Literal["live", "leaving"] = "live"

    def to_domain(self) -> Member:
        """Return the data class of this model."""
        return Member(
            id=self.id,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            http_address=self.http_address,
            link_address=self.link_address,
            state=MemberState(self.state),
        )


class InstanceListModel(WireModel):
    """The platform's list of instances."""

    instances: tuple[MemberModel, ...]


class AddressModel(WireModel):
    """Address of an instance that a caller can connect to."""

    instance: str
    address: str
    failure_domain: str


class AddressesModel(WireModel):
    """Addresses for a caller, best first, valid for `ttl_s` seconds."""

    addresses: tuple[AddressModel, ...]
    ttl_s: float


class RosterEntryModel(WireModel):
    """Entry of the roster.

    `entered`, `since` and `arranged` are `joined_version`, `created_version` and
    `voters_version` of `RosterEntry`.
    """

    member: MemberModel
    entered: int
    since: int
    arranged: int
    voters: dict[str, int]
    previous: dict[str, int] = {}

    def to_domain(self) -> RosterEntry:
        """Return the data class of this model."""
        return RosterEntry(
            self.member.to_domain(),
            self.entered,
            self.since,
            self.arranged,
            self.voters,
            self.previous,
        )


class ChangeModel(WireModel):
    """One change of the roster; `seat` is the entry, or None for a removal."""

    version: int
    id: str
    seat: RosterEntryModel | None

    def to_domain(self) -> Change:
        """Return the data class of this model."""
        return Change(
            self.version, self.id, self.seat.to_domain() if self.seat else None
        )


class ChangesModel(WireModel):
    """Latest changes of the roster."""

    changes: tuple[ChangeModel, ...]

    def to_domain(self) -> tuple[Change, ...]:
        """Return the data classes of this model."""
        return tuple(change.to_domain() for change in self.changes)


class RosterModel(ChangesModel):
    """Full roster, as stored and as sent between instances; `seats` are its entries."""

    version: int
    seats: tuple[RosterEntryModel, ...]

    def to_roster(self) -> Roster:
        """Return the roster; the inherited `to_domain` returns only its changes."""
        entries = (entry.to_domain() for entry in self.seats)
        return Roster(
            self.version,
            {entry.member.id: entry for entry in entries},
            self.to_domain(),
        )


class HeartbeatModel(WireModel):
    """Heartbeat of the holder of a roster entry to a voter."""

    since: int
    version: int
    sent_at: float

    def to_domain(self) -> Heartbeat:
        """Return the data class of this model."""
        return Heartbeat(self.since, self.version, self.sent_at)


class AcknowledgementModel(WireModel):
    """A voter's reply to a heartbeat."""

    since: int
    sent_at: float
    voter_entered: int
    version: int
    arranged: int

    def to_domain(self) -> Acknowledgement:
        """Return the data class of this model."""
        return Acknowledgement(
            self.since, self.sent_at, self.voter_entered, self.version, self.arranged
        )


class ClaimModel(WireModel):
    """Claim to the backend servers for which the sender's new entry ranks highest."""

    since: int


class YieldModel(WireModel):
    """Reply to a claim."""

    sender_since: int
    since: int


class StatementModel(WireModel):
    """A voter's statement; the version of its register is the number."""

    subject: str
    since: int
    arranged: int
    voter: str
    voter_entered: int
    verdict: Verdict

    def to_domain(self, number: int) -> Statement:
        """Return the data class of this model."""
        return Statement(
            self.subject,
            self.since,
            self.arranged,
            self.voter,
            self.voter_entered,
            self.verdict,
            number,
        )


class AnnouncementModel(WireModel):
    """A member's announcement; the version of its register is the number."""

    member: str
    since: int
    state: MemberState

    def to_domain(self, number: int) -> Announcement:
        """Return the data class of this model."""
        return Announcement(self.member, self.since, self.state, number)


def entry_model(entry: RosterEntry) -> RosterEntryModel:
    """Convert a roster entry to its wire model."""
    member = entry.member
    return RosterEntryModel(
        member=MemberModel(
            id=member.id,
            incarnation=member.incarnation,
            failure_domain=member.failure_domain,
            http_address=member.http_address,
            link_address=member.link_address,
        ),
        entered=entry.joined_version,
        since=entry.created_version,
        arranged=entry.voters_version,
        voters=dict(entry.voters),
        previous=dict(entry.previous_voters),
    )


def change_models(changes: tuple[Change, ...]) -> tuple[ChangeModel, ...]:
    """Convert changes of the roster to their wire models."""
    return tuple(
        ChangeModel(
            version=change.version,
            id=change.id,
            seat=entry_model(change.entry) if change.entry else None,
        )
        for change in changes
    )


def roster_model(roster: Roster) -> RosterModel:
    """Convert a roster to its wire model."""
    return RosterModel(
        version=roster.version,
        seats=tuple(entry_model(entry) for entry in roster.entries.values()),
        changes=change_models(roster.changes),
    )
